package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"redwingstage.org/standin/inferer"
	"redwingstage.org/standin/modeler"
	"redwingstage.org/standin/orderer"
)

// crashExitCode is the exit code of a crash injected as a fault.
const crashExitCode = 3

type args struct {
	Engine *engineArgs `arg:"subcommand:engine" help:"run a model engine"`
	Orders *ordersArgs `arg:"subcommand:orders" help:"run an order and stock service"`
}

// commonArgs is the settings of both kinds of server.
type commonArgs struct {
	Name    string   `arg:"--name,required" help:"name of the backend server"`
	Addr    string   `arg:"--addr,required" help:"ip:port to listen on, a loopback address"`
	Zone    string   `arg:"--zone,required" help:"data centre"`
	Entries []string `arg:"--entries" help:"callers' addresses of the entries to announce to"`
	Service string   `arg:"--service,required" help:"name of the service"`
}

type engineArgs struct {
	commonArgs
	Fenced   bool          `arg:"--fenced" help:"refuse orders with an old fence number"`
	Protects bool          `arg:"--protects" help:"refuse to unload an adapter that serves a request"`
	Slots    int           `arg:"--slots" default:"8" help:"adapters that fit"`
	Batch    int           `arg:"--batch" default:"16" help:"requests that run at once"`
	Step     time.Duration `arg:"--step" default:"12ms" help:"time of a step with an empty batch"`
	Token    time.Duration `arg:"--token" default:"400us" help:"time added to a step by each decoded token"`
	Load     time.Duration `arg:"--load" default:"250ms" help:"time of an adapter load"`
	Lag      time.Duration `arg:"--lag" default:"500ms" help:"age of the load report"`
	Cold     time.Duration `arg:"--cold" default:"0s" help:"time of a cold start"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the engine's random source"`
}

type ordersArgs struct {
	commonArgs
	Batch  int           `arg:"--batch" default:"64" help:"calls that run at once"`
	Work   time.Duration `arg:"--work" default:"2ms" help:"time of a call"`
	Folder string        `arg:"--folder" help:"data folder of the ledger [default: none, it ends with the process]"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "standin runs one stand-in backend server; POST /faults switches its faults."
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if p.Subcommand() == nil {
		p.Fail("missing subcommand: engine or orders")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run serves until the context ends.
func run(ctx context.Context, a args) error {
	s, err := start(a)
	if err != nil {
		return err
	}
	log.Info().Msg("standin: serving")
	<-ctx.Done()
	return s.Close()
}

func start(a args) (io.Closer, error) {
	exit := func() { os.Exit(crashExitCode) }
	if a.Orders != nil {
		if err := a.Orders.checkLoopback(); err != nil {
			return nil, err
		}
		return orderer.New(a.Orders.config(), orderer.WithExit(exit))
	}
	if err := a.Engine.checkLoopback(); err != nil {
		return nil, err
	}
	return inferer.New(a.Engine.config(), inferer.WithExit(exit))
}

func (o *ordersArgs) config() orderer.Config {
	return orderer.Config{
		Name: o.Name, Addr: o.Addr, Zone: o.Zone, Service: o.Service, Entries: o.Entries,
		Batch: o.Batch, CallTime: o.Work, Folder: o.Folder,
	}
}

func (e *engineArgs) config() inferer.Config {
	return inferer.Config{
		Name: e.Name, Addr: e.Addr, Zone: e.Zone, Service: e.Service, Entries: e.Entries,
		Fenced: e.Fenced, LoadReportLag: e.Lag, StartsCold: e.Cold > 0, Seed: e.Seed,
		Model: modeler.Config{
			Slots: e.Slots, Batch: e.Batch, BaseStepTime: e.Step, DecodeTime: e.Token, LoadTime: e.Load,
			ColdStartTime: e.Cold, RefusesUnloadInUse: e.Protects,
		},
	}
}

// checkLoopback rejects addresses that aren't loopback addresses.
func (c commonArgs) checkLoopback() error {
	for _, addr := range append([]string{c.Addr}, c.Entries...) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return errors.Wrapf(err, "address %q", addr)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return errors.Errorf("address %q is not a loopback address", addr)
		}
	}
	return nil
}
