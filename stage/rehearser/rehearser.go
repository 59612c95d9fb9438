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

// The programs that a rehearsal starts.
const (
	daemon  = "redwingstaged"
	standin = "standin"
)

// standinPort is the port of every stand-in on its own loopback address.
const standinPort = 9000

// Config says what to rehearse.
type Config struct {
	// Bin holds the built programs.
	Bin string
	// Folder holds the settings that the questionnaire made; logs go to its folder "log".
	Folder string
	// Engines and Servers are the numbers of stand-ins of each model and each plain service.
	Engines int
	Servers int
	// Net is the second byte of the stand-ins' loopback addresses.
	Net int
	// Work is how long a plain service takes for a call, as a Go duration; empty means the stand-in's default.
	Work string
	// Engine are further flags of every stand-in engine.
	Engine []string
	// Ledgers gives every plain service a data folder for its ledger, which then outlives a kill.
	Ledgers bool
}

// Standin is a stand-in of a backend server.
type Standin struct {
	name  string
	addr  string
	plain bool
}

// Name returns the backend server's name.
func (s Standin) Name() string { return s.name }

// Addr returns its ip:port.
func (s Standin) Addr() string { return s.addr }

// IsPlain reports whether it stands in for a plain service.
func (s Standin) IsPlain() bool { return s.plain }

// Rehearser owns the processes of a deployment.
type Rehearser struct {
	*launcher.Launcher

	cfg      Config
	controls []*loader.Settings
	entries  []*loader.Settings
	standins []Standin
	models   []string
	specs    map[string]launcher.Spec
	relays   map[string][]*cutter.Cutter
}

// New reads the settings of a deployment; nothing runs yet.
func New(cfg Config) (*Rehearser, error) {
	logs := filepath.Join(cfg.Folder, "log")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, errors.Wrap(err, "make folder for logs")
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
			Name: s.Name(), Path: filepath.Join(r.cfg.Bin, daemon), Args: []string{"--level", "warn", "run", s.File()},
		}
	}
	if len(r.controls) == 0 || len(r.entries) == 0 {
		return errors.Errorf("%s: needs settings of at least one control replica and one entry", r.cfg.Folder)
	}
	return nil
}

// planStandins gives every service of the first configuration its stand-ins, spread over the data centres.
func (r *Rehearser) planStandins() error {
	path := filepath.Join(r.cfg.Folder, questioner.DocFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the first configuration")
	}
	var doc configurer.Doc
	if err := json.Unmarshal(b, &doc); err != nil {
		return errors.Wrap(err, path)
	}
	for i, s := range doc.Services {
		n := r.cfg.Servers
		if s.Kind == configurer.KindModel {
			n = r.cfg.Engines
			r.models = append(r.models, s.Name)
		}
		for k := range n {
			r.planStandin(s, i, k)
		}
	}
	return nil
}

func (r *Rehearser) planStandin(s configurer.ServiceSpec, service, k int) {
	si := Standin{
		name:  fmt.Sprintf("%s-%d", s.Name, k+1),
		addr:  fmt.Sprintf("127.%d.%d.%d:%d", r.cfg.Net, service+1, k+1, standinPort),
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
		// Every second engine neither checks fence numbers nor protects the adapters that serve.
		args = append(args, "--seed", strconv.Itoa(k+1))
		if k%2 == 0 {
			args = append(args, "--fenced", "--protects")
		}
		args = append(args, r.cfg.Engine...)
	} else {
		args = append(args, r.plainArgs(si.name)...)
	}
	args = append(append(args, "--entries"), r.Callers()...)
	r.standins = append(r.standins, si)
	r.specs[si.name] = launcher.Spec{Name: si.name, Path: filepath.Join(r.cfg.Bin, standin), Args: args}
}

func (r *Rehearser) plainArgs(name string) []string {
	var args []string
	if r.cfg.Work != "" {
		args = append(args, "--work", r.cfg.Work)
	}
	if r.cfg.Ledgers {
		args = append(args, "--folder", filepath.Join(r.cfg.Folder, "ledger", name))
	}
	return args
}

// Callers returns the callers' addresses of all entries.
func (r *Rehearser) Callers() []string {
	var addrs []string
	for _, e := range r.entries {
		addrs = append(addrs, e.Entry().Callers())
	}
	return addrs
}

// Operators returns the operators' addresses of all control replicas.
func (r *Rehearser) Operators() []string {
	var addrs []string
	for _, c := range r.controls {
		addrs = append(addrs, c.Control().Operators())
	}
	return addrs
}

// Controls returns the names of the control replicas.
func (r *Rehearser) Controls() []string { return names(r.controls) }

// Entries returns the names of the entries.
func (r *Rehearser) Entries() []string { return names(r.entries) }

func names(list []*loader.Settings) []string {
	var out []string
	for _, s := range list {
		out = append(out, s.Name())
	}
	return out
}

// Standins returns the stand-ins of backend servers.
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

// StartOne starts one process of the deployment by its name.
func (r *Rehearser) StartOne(name string) error {
	spec, ok := r.specs[name]
	if !ok {
		return errors.Errorf("no process %q in the deployment", name)
	}
	return r.Start(spec)
}
