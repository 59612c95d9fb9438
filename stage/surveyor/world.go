package surveyor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/controller"
	"redwingstage.org/stage/operator"
	"redwingstage.org/standin/cutter"
	"redwingstage.org/standin/launcher"
)

// The survey's store limits are so high that a permit's cost is that of its messages, without waiting.
const (
	fastRate     = 100_000 // loads a second
	fastParallel = 10_000
)

const (
	readyPause   = 20 * time.Millisecond
	readyTimeout = 20 * time.Second
	secretMode   = 0o600
)

// world is one control replica and the control clients of some entries, which share a relay that counts bytes.
type world struct {
	folder  string
	ctl     *controller.Controller
	addr    string
	ops     string
	relay   *cutter.Cutter
	clients []*controller.Client
	// base is the configuration revision before the first measured change.
	base int
}

// token is the survey's operator token.
var token = controller.Token{Name: "survey", Token: "survey-operator-token"}

func newWorld(ctx context.Context, cfg Config, entries int) (*world, error) {
	folder, err := os.MkdirTemp(cfg.Folder, "survey-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	w := &world{folder: folder}
	if err := w.start(ctx, entries); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return w, nil
}

func (w *world) start(ctx context.Context, entries int) (err error) {
	if w.addr, err = launcher.FreeAddr(ctx); err != nil {
		return err
	}
	if w.ops, err = launcher.FreeAddr(ctx); err != nil {
		return err
	}
	w.ctl, err = controller.New(controller.Config{
		ID: 1, Cluster: "survey", Addr: w.addr, Operators: w.ops, Folder: w.folder,
		Members: []runner.Member{{ID: 1, Addr: w.addr}},
		Tokens:  []controller.Token{token},
		Store:   registrar.StoreLimits{Rate: fastRate, Parallel: fastParallel},
	})
	if err != nil {
		return errors.Wrap(err, "start control replica")
	}
	if w.relay, err = cutter.New(ctx, "127.0.0.1:0", w.addr); err != nil {
		return err
	}
	for i := range entries {
		c, err := controller.NewClient(controller.ClientConfig{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: uint64(i + 1), Zone: fmt.Sprintf("dc-%d", i%5),
			Addr: fmt.Sprintf("127.1.%d.%d:7100", i/200, i%200+1), Controls: []string{w.relay.Addr()},
		})
		if err != nil {
			return errors.Wrap(err, "start control client")
		}
		w.clients = append(w.clients, c)
	}
	return w.await(ctx, func() bool {
		for _, c := range w.clients {
			if time.Now().After(c.LeaseEnd()) || len(c.Roster().Entries()) < entries {
				return false
			}
		}
		return true
	})
}

// await polls until ok returns true, for at most 20 s.
func (w *world) await(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		if err := sleep(ctx, readyPause); err != nil {
			return errors.Wrap(err, "wait for the survey's control replica and clients")
		}
	}
	return nil
}

// announce sends announcements of n backend servers, spread over the clients.
func (w *world) announce(n int) {
	for i := range n {
		w.clients[i%len(w.clients)].Announce(registrar.Server{
			Name: fmt.Sprintf("engine-%03d", i), Kind: configurer.KindModel, Service: "base",
			Addr: fmt.Sprintf("127.2.%d.%d:9000", i/200, i%200+1), Zone: fmt.Sprintf("dc-%d", i%5),
			Incarnation: "a1b2c3d4", Slots: 8, Batch: 16, Fenced: true,
		})
	}
}

// usage reads the current resource use.
func (w *world) usage() (usage, error) {
	u := usage{heap: heapBytes(), at: time.Now()}
	var err error
	if u.cpu, err = cpuTime(); err != nil {
		return u, err
	}
	u.up, u.down = w.relay.Bytes()
	u.folder, err = folderBytes(w.folder)
	return u, err
}

func folderBytes(root string) (int64, error) {
	var sum int64
	err := filepath.WalkDir(root, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil {
			return err
		}
		sum += info.Size()
		return nil
	})
	if err != nil {
		return 0, errors.Wrap(err, "measure data folder")
	}
	return sum, nil
}

// change applies adapter i as one configuration change through the operators' command line.
func (w *world) change(_ context.Context, i int) error {
	doc, err := json.Marshal(configurer.Doc{Adapters: []configurer.AdapterSpec{adapterSpec(i)}})
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	return w.operate(bytes.NewReader(doc), "apply", "--expect", strconv.Itoa(w.base+i), "-")
}

// prepare applies the class and the service that the adapters need.
func (w *world) prepare() error {
	doc, err := json.Marshal(adapterDoc(0))
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	return w.operate(bytes.NewReader(doc), "apply", "--wait", "-")
}

func (w *world) operate(in io.Reader, argv ...string) error {
	file := filepath.Join(w.folder, "token")
	if err := os.WriteFile(file, []byte(token.Token), secretMode); err != nil {
		return errors.Wrap(err, "write token")
	}
	_, err := operator.Call(in, append([]string{"--addrs=" + w.ops, "--token", file}, argv...)...)
	return err
}

// Close stops the clients, the relay and the control replica, and removes the data folder.
func (w *world) Close() error {
	var errs []error
	for _, c := range w.clients {
		errs = append(errs, c.Close())
	}
	if w.relay != nil {
		errs = append(errs, w.relay.Close())
	}
	if w.ctl != nil {
		errs = append(errs, w.ctl.Close())
	}
	return errors.Join(append(errs, os.RemoveAll(w.folder))...)
}
