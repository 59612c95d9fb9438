package rehearser

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/questioner"
	"redwingstage.org/standin/cutter"
	"redwingstage.org/standin/launcher"
)

// Names of the program files in Config.Bin.
const (
	daemonBinary  = "redwingstaged"
	standinBinary = "standin"
)

// standinPort is the TCP port of every stand-in; each has a loopback address of its own.
const standinPort = 9000

// Config describes the deployment to run.
type Config struct {
	// Bin is the folder of the built programs.
	Bin string
	// Folder holds the settings that `init` wrote; process logs go to its subfolder "log".
	Folder string
	// Engines and Servers are the numbers of stand-ins per model service and per plain service.
	Engines int
	Servers int
	// LoopbackNet is the second byte of the stand-ins' loopback addresses.
	LoopbackNet int
	// CallTime is the time that a plain service takes per call, as a Go duration; empty means the stand-in's default.
	CallTime string
	// EngineFlags lists additional flags for every stand-in engine.
	EngineFlags []string
	// PersistLedgers makes every plain service store its ledger in a data folder, so that it survives a kill.
	PersistLedgers bool
}

// Standin identifies a stand-in process for a backend server.
type Standin struct {
	name  string
	addr  string
	plain bool
}

// Name returns the backend server's name.
func (s Standin) Name() string { return s.name }

// Addr returns the stand-in's ip:port.
func (s Standin) Addr() string { return s.addr }

// IsPlain reports whether the stand-in belongs to a plain service rather than a model service.
func (s Standin) IsPlain() bool { return s.plain }

// Rehearser starts, stops and configures the processes of a deployment.
type Rehearser struct {
	*launcher.Launcher

	cfg           Config
	controls      []*loader.Settings
	entries       []*loader.Settings
	standins      []Standin
	modelServices []string
	specs         map[string]launcher.Spec
	relays        map[string][]*cutter.Cutter
}

// New reads and checks the deployment's settings without starting any process.
func New(cfg Config) (*Rehearser, error) {
	logs := filepath.Join(cfg.Folder, "log")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, errors.Wrap(err, "create log folder")
	}
	r := &Rehearser{
		Launcher: launcher.New(logs), cfg: cfg,
		specs: make(map[string]launcher.Spec), relays: make(map[string][]*cutter.Cutter),
	}
	if err := r.readSettings(); err != nil {
		return nil, err
	}
	return r, r.planStandins()
}

func (r *Rehearser) readSettings() error {
	var paths []string
	for _, pattern := range []string{"control-*.json", "entry-*.json"} {
		found, err := filepath.Glob(filepath.Join(r.cfg.Folder, pattern))
		if err != nil {
			return errors.Wrap(err, "find settings")
		}
		paths = append(paths, found...)
	}
	all, err := loader.Check(paths)
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.Role() == loader.RoleControl {
			r.controls = append(r.controls, s)
		} else {
			r.entries = append(r.entries, s)
		}
		r.specs[s.Name()] = launcher.Spec{
			Name: s.Name(), Path: filepath.Join(r.cfg.Bin, daemonBinary), Args: []string{"--level", "warn", "run", s.File()},
		}
	}
	if len(r.controls) == 0 || len(r.entries) == 0 {
		return errors.Errorf("%s: settings of at least one control replica and one entry are required", r.cfg.Folder)
	}
	return nil
}

// planStandins defines the stand-ins of every service in the initial configuration, spread over the data centres.
func (r *Rehearser) planStandins() error {
	path := filepath.Join(r.cfg.Folder, questioner.DocFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read initial configuration")
	}
	var doc configurer.Doc
	if err := json.Unmarshal(b, &doc); err != nil {
		return errors.Wrap(err, path)
	}
	for i, s := range doc.Services {
		n := r.cfg.Servers
		if s.Kind == configurer.KindModel {
			n = r.cfg.Engines
			r.modelServices = append(r.modelServices, s.Name)
		}
		for k := range n {
			r.planStandin(s, i, k)
		}
	}
	return nil
}

func (r *Rehearser) planStandin(s configurer.ServiceSpec, serviceIndex, k int) {
	si := Standin{
		name:  fmt.Sprintf("%s-%d", s.Name, k+1),
		addr:  fmt.Sprintf("127.%d.%d.%d:%d", r.cfg.LoopbackNet, serviceIndex+1, k+1, standinPort),
		plain: s.Kind == configurer.KindPlain,
	}
	zones := r.controls[0].Zones()
	kind := "engine"
	if si.plain {
		kind = "orders"
	}
	args := []string{
		kind, "--name", si.name, "--addr", si.addr, "--zone", zones[k%len(zones)], "--service", s.Name,
	}
	if !si.plain {
		// Every second engine neither checks fence numbers nor protects adapters in use from eviction.
		args = append(args, "--seed", strconv.Itoa(k+1))
		if k%2 == 0 {
			args = append(args, "--fenced", "--protects")
		}
		args = append(args, r.cfg.EngineFlags...)
	} else {
		args = append(args, r.plainArgs(si.name)...)
	}
	args = append(append(args, "--entries"), r.CallerAddrs()...)
	r.standins = append(r.standins, si)
	r.specs[si.name] = launcher.Spec{Name: si.name, Path: filepath.Join(r.cfg.Bin, standinBinary), Args: args}
}

func (r *Rehearser) plainArgs(name string) []string {
	var args []string
	if r.cfg.CallTime != "" {
		args = append(args, "--work", r.cfg.CallTime)
	}
	if r.cfg.PersistLedgers {
		args = append(args, "--folder", filepath.Join(r.cfg.Folder, "ledger", name))
	}
	return args
}

// CallerAddrs returns the addresses at which the entries listen for callers.
func (r *Rehearser) CallerAddrs() []string {
	var addrs []string
	for _, e := range r.entries {
		addrs = append(addrs, e.Entry().CallersAddr())
	}
	return addrs
}

// OperatorAddrs returns the addresses at which the control replicas listen for operators.
func (r *Rehearser) OperatorAddrs() []string {
	var addrs []string
	for _, c := range r.controls {
		addrs = append(addrs, c.Control().OperatorsAddr())
	}
	return addrs
}

// Controls returns the names of the control replicas.
func (r *Rehearser) Controls() []string { return settingsNames(r.controls) }

// Entries returns the names of the entries.
func (r *Rehearser) Entries() []string { return settingsNames(r.entries) }

func settingsNames(list []*loader.Settings) []string {
	var out []string
	for _, s := range list {
		out = append(out, s.Name())
	}
	return out
}

// Standins returns the stand-ins for backend servers.
func (r *Rehearser) Standins() []Standin { return r.standins }

// StartAll starts every process: control replicas, entries, then stand-ins.
func (r *Rehearser) StartAll() error {
	order := slices.Concat(r.Controls(), r.Entries())
	for _, s := range r.standins {
		order = append(order, s.name)
	}
	for _, name := range order {
		if err := r.StartOne(name); err != nil {
			return err
		}
	}
	return nil
}

// StartOne starts the process with the given name; it fails if the deployment has none of that name.
func (r *Rehearser) StartOne(name string) error {
	spec, ok := r.specs[name]
	if !ok {
		return errors.Errorf("no process %q in the deployment", name)
	}
	return r.Start(spec)
}
