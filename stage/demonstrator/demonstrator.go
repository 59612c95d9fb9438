package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/controller"
	"redwingstage.org/stage/dispatcher"
	"redwingstage.org/stage/logger"
	"redwingstage.org/standin/inferer"
	"redwingstage.org/standin/launcher"
	"redwingstage.org/standin/modeler"
	"redwingstage.org/standin/orderer"
)

// Sizes and times of the demo deployment.
const (
	engineCount     = 3
	adapterSlots    = 4
	maxConcurrent   = 16
	adapterLoadTime = 250 * time.Millisecond
	loadRate        = 3.5 // loads per second
	loadParallel    = 3
	orderTime       = 2 * time.Millisecond
	closeTimeout    = 10 * time.Second
)

// OperatorToken is the name and the token of the demo's operator.
var OperatorToken = controller.Token{Name: "demo", Token: "demo-operator-token"}

// Config holds the demo's folder and listen addresses (ip:port); an empty address picks a free loopback port.
type Config struct {
	// Folder is the data folder of the control replica.
	Folder string
	// Callers are the addresses at which the two entries listen for callers.
	Callers [2]string
	// Operators is the address at which the control replica listens for operators.
	Operators string
	// Metrics is the first entry's metrics address.
	Metrics string
}

// Demonstrator is a running demo deployment.
type Demonstrator struct {
	cfg     Config
	closers []io.Closer
	entries []*dispatcher.Dispatcher
}

// New starts a control replica, two entries, engines and an order service, applies a configuration and waits for answers.
func New(ctx context.Context, cfg Config, log *logger.Logger) (*Demonstrator, error) {
	if err := cfg.setFreeAddrs(ctx); err != nil {
		return nil, err
	}
	d := &Demonstrator{cfg: cfg}
	if err := d.start(ctx, log); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (c *Config) setFreeAddrs(ctx context.Context) error {
	for _, addr := range []*string{&c.Callers[0], &c.Callers[1], &c.Operators, &c.Metrics} {
		if *addr != "" {
			continue
		}
		free, err := launcher.FreeAddr(ctx)
		if err != nil {
			return err
		}
		*addr = free
	}
	return nil
}

// Callers returns the address at which the first entry listens for callers.
func (d *Demonstrator) Callers() string { return d.cfg.Callers[0] }

// Operators returns the address at which the control replica listens for operators.
func (d *Demonstrator) Operators() string { return d.cfg.Operators }

// Close shuts the entries down gracefully within 10 s, then stops the other components in reverse start order.
func (d *Demonstrator) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var errs []error
	for _, e := range d.entries {
		errs = append(errs, e.Close(ctx))
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		errs = append(errs, d.closers[i].Close())
	}
	d.entries, d.closers = nil, nil
	return errors.Join(errs...)
}

func (d *Demonstrator) start(ctx context.Context, log *logger.Logger) error {
	control, err := d.startControl(ctx, log)
	if err != nil {
		return err
	}
	for i, callers := range d.cfg.Callers {
		if err := d.startEntry(ctx, i, callers, control, log); err != nil {
			return err
		}
	}
	for i := range engineCount {
		if err := d.startEngine(i); err != nil {
			return err
		}
	}
	if err := d.startOrders(); err != nil {
		return err
	}
	if err := d.apply(ctx, initialConfig()); err != nil {
		return err
	}
	for _, addr := range d.cfg.Callers {
		if err := awaitAnswer(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demonstrator) startControl(ctx context.Context, log *logger.Logger) (string, error) {
	addr, err := launcher.FreeAddr(ctx)
	if err != nil {
		return "", err
	}
	c, err := controller.New(controller.Config{
		ID:            1,
		Cluster:       "demo",
		Addr:          addr,
		OperatorsAddr: d.cfg.Operators,
		DataFolder:    filepath.Join(d.cfg.Folder, "control-1"),
		Members:       []runner.Member{{ID: 1, Addr: addr}},
		Tokens:        []controller.Token{OperatorToken},
		Store:         registrar.StoreLimits{Rate: loadRate, Parallel: loadParallel},
	}, controller.WithLogger(log.Base()))
	if err != nil {
		return "", errors.Wrap(err, "start control replica")
	}
	d.closers = append(d.closers, c)
	return addr, nil
}

func (d *Demonstrator) startEntry(ctx context.Context, i int, callers, control string, log *logger.Logger) error {
	peers, err := launcher.FreeAddr(ctx)
	if err != nil {
		return err
	}
	name, incarnation := fmt.Sprintf("entry-%d", i+1), rand.Uint64()
	client, err := controller.NewClient(controller.ClientConfig{
		Name: name, Incarnation: incarnation, Addr: peers, Zone: zoneName(i), ControlAddrs: []string{control},
	}, controller.WithClientLogger(log.Base()))
	if err != nil {
		return errors.Wrapf(err, "start control client of %s", name)
	}
	d.closers = append(d.closers, client)
	cfg := dispatcher.Config{Name: name, Incarnation: incarnation, Zone: zoneName(i), CallersAddr: callers, PeersAddr: peers}
	if i == 0 {
		cfg.MetricsAddr = d.cfg.Metrics
	}
	e, err := dispatcher.New(cfg, client, dispatcher.WithLog(log))
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	d.entries = append(d.entries, e)
	return nil
}

func (d *Demonstrator) startEngine(i int) error {
	e, err := inferer.New(inferer.Config{
		Name: fmt.Sprintf("engine-%d", i+1), Addr: "127.0.0.1:0", Zone: zoneName(i), Service: modelService,
		Entries: d.cfg.Callers[:], Fenced: i%2 == 0, Seed: uint64(i + 1),
		Model: modeler.Config{Slots: adapterSlots, Batch: maxConcurrent, LoadTime: adapterLoadTime, RefusesUnloadInUse: i%2 == 0},
	})
	if err != nil {
		return errors.Wrap(err, "start engine")
	}
	d.closers = append(d.closers, e)
	return nil
}

func (d *Demonstrator) startOrders() error {
	o, err := orderer.New(orderer.Config{
		Name: "orders-1", Addr: "127.0.0.1:0", Zone: zoneName(0), Service: orderService,
		Entries: d.cfg.Callers[:], Batch: maxConcurrent, CallTime: orderTime,
	})
	if err != nil {
		return errors.Wrap(err, "start order service")
	}
	d.closers = append(d.closers, o)
	return nil
}

func zoneName(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }
