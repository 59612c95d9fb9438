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
	storeLoadRate      = 100_000 // loads per second
	storeParallelLoads = 10_000
)

const (
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 20 * time.Second
	secretMode        = 0o600
)

// cluster is one control replica and the control clients of some entries, which share a relay that counts bytes.
type cluster struct {
	folder        string
	control       *controller.Controller
	controlAddr   string
	operatorsAddr string
	relay         *cutter.Cutter
	clients       []*controller.Client
	// baseRevision is the configuration revision before the first measured change.
	baseRevision int
}

// token is the survey's operator token.
var token = controller.Token{Name: "survey", Token: "survey-operator-token"}

func newCluster(ctx context.Context, cfg Config, entries int) (*cluster, error) {
	folder, err := os.MkdirTemp(cfg.Folder, "survey-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	cl := &cluster{folder: folder}
	if err := cl.start(ctx, entries); err != nil {
		return nil, errors.Join(err, cl.Close())
	}
	return cl, nil
}

func (cl *cluster) start(ctx context.Context, entries int) (err error) {
	if cl.controlAddr, err = launcher.FreeAddr(ctx); err != nil {
		return err
	}
	if cl.operatorsAddr, err = launcher.FreeAddr(ctx); err != nil {
		return err
	}
	cl.control, err = controller.New(controller.Config{
		ID: 1, Cluster: "survey", Addr: cl.controlAddr, OperatorsAddr: cl.operatorsAddr, DataFolder: cl.folder,
		Members: []runner.Member{{ID: 1, Addr: cl.controlAddr}},
		Tokens:  []controller.Token{token},
		Store:   registrar.StoreLimits{Rate: storeLoadRate, Parallel: storeParallelLoads},
	})
	if err != nil {
		return errors.Wrap(err, "start control replica")
	}
	if cl.relay, err = cutter.New(ctx, "127.0.0.1:0", cl.controlAddr); err != nil {
		return err
	}
	for i := range entries {
		c, err := controller.NewClient(controller.ClientConfig{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: uint64(i + 1), Zone: fmt.Sprintf("dc-%d", i%5),
			Addr: fmt.Sprintf("127.1.%d.%d:7100", i/200, i%200+1), ControlAddrs: []string{cl.relay.Addr()},
		})
		if err != nil {
			return errors.Wrap(err, "start control client")
		}
		cl.clients = append(cl.clients, c)
	}
	return cl.await(ctx, func() bool {
		for _, c := range cl.clients {
			if time.Now().After(c.LeaseEnd()) || len(c.Roster().Entries()) < entries {
				return false
			}
		}
		return true
	})
}

// await polls until ok returns true, for at most 20 s.
func (cl *cluster) await(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		if err := sleep(ctx, readyPollInterval); err != nil {
			return errors.Wrap(err, "wait for the survey's control replica and clients")
		}
	}
	return nil
}

// announceServers sends announcements of n backend servers, spread over the clients.
func (cl *cluster) announceServers(n int) {
	for i := range n {
		cl.clients[i%len(cl.clients)].Announce(registrar.Server{
			Name: fmt.Sprintf("engine-%03d", i), Kind: configurer.KindModel, Service: "base",
			Addr: fmt.Sprintf("127.2.%d.%d:9000", i/200, i%200+1), Zone: fmt.Sprintf("dc-%d", i%5),
			Incarnation: "a1b2c3d4", Slots: 8, Batch: 16, Fenced: true,
		})
	}
}

// usage reads the current resource use.
func (cl *cluster) usage() (usage, error) {
	u := usage{heap: heapBytes(), at: time.Now()}
	var err error
	if u.cpu, err = cpuTime(); err != nil {
		return u, err
	}
	u.toLeader, u.fromLeader = cl.relay.Bytes()
	u.folder, err = folderBytes(cl.folder)
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

// applyAdapter applies adapter i as one configuration change through the operators' command line.
func (cl *cluster) applyAdapter(_ context.Context, i int) error {
	doc, err := json.Marshal(configurer.Doc{Adapters: []configurer.AdapterSpec{adapterSpec(i)}})
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	return cl.runOperator(bytes.NewReader(doc), "apply", "--expect", strconv.Itoa(cl.baseRevision+i), "-")
}

// applyBaseConfig applies the class and the service that the adapters need.
func (cl *cluster) applyBaseConfig() error {
	doc, err := json.Marshal(adapterDoc(0))
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	return cl.runOperator(bytes.NewReader(doc), "apply", "--wait", "-")
}

func (cl *cluster) runOperator(in io.Reader, argv ...string) error {
	file := filepath.Join(cl.folder, "token")
	if err := os.WriteFile(file, []byte(token.Token), secretMode); err != nil {
		return errors.Wrap(err, "write token")
	}
	_, err := operator.Output(in, append([]string{"--addrs=" + cl.operatorsAddr, "--token", file}, argv...)...)
	return err
}

// Close stops the clients, the relay and the control replica, and removes the data folder.
func (cl *cluster) Close() error {
	var errs []error
	for _, c := range cl.clients {
		errs = append(errs, c.Close())
	}
	if cl.relay != nil {
		errs = append(errs, cl.relay.Close())
	}
	if cl.control != nil {
		errs = append(errs, cl.control.Close())
	}
	return errors.Join(append(errs, os.RemoveAll(cl.folder))...)
}
