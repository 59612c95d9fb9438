package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/rehearser"
	"redwingstage.org/stage/soaker"
)

type args struct {
	Folder  string        `arg:"positional,required" help:"folder that 'redwingstage init' made, on loopback addresses"`
	Bin     string        `arg:"--bin" default:"bin" help:"folder of the built programs"`
	Seed    uint64        `arg:"--seed" default:"1" help:"seed of the faults"`
	Length  time.Duration `arg:"--length" default:"60s" help:"how long faults strike"`
	Callers int           `arg:"--callers" default:"16" help:"callers that book at once"`
	Servers int           `arg:"--servers" default:"3" help:"order services"`
	Work    string        `arg:"--work" default:"100ms" help:"how long an order service takes for a booking"`
	Net     int           `arg:"--net" default:"77" help:"second byte of the stand-ins' loopback addresses"`
	Leave   bool          `arg:"--leave" help:"in place of faults, have backend servers leave under load"`
	Mute    bool          `arg:"--mute" help:"with --leave: load reports don't say so, which must show as a violation"`
	Rate    float64       `arg:"--rate" default:"80" help:"with --leave: requests a second"`
	Engines int           `arg:"--engines" default:"6" help:"stand-in engines of each model"`
	Chats   float64       `arg:"--chats" default:"20" help:"streamed chats a second beside the bookings"`
	Forget  bool          `arg:"--forget" help:"order services keep no ledger file, which must show as violations"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	violated, err := run(ctx, a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	if err != nil || violated {
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) (violated bool, err error) {
	cfg := rehearser.Config{Bin: a.Bin, Folder: a.Folder, Engines: a.Engines, Servers: a.Servers, LoopbackNet: a.Net, CallTime: a.Work, PersistLedgers: !a.Forget}
	adapters := 1
	if a.Leave {
		adapters = leaveAdapters
	}
	deployment, err := rehearser.New(cfg)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, deployment.Close()) }()
	if a.Leave {
		if err := deployment.StartRelays(ctx); err != nil {
			return false, err
		}
	}
	if err := deployment.StartAll(); err != nil {
		return false, err
	}
	if err := deployment.Apply(ctx, adapters); err != nil {
		return false, err
	}
	start := time.Now()
	log := func(line string) { fmt.Fprintf(os.Stderr, "%6.1fs %s\n", time.Since(start).Seconds(), line) }
	if a.Leave {
		return runLeave(ctx, a, deployment, log)
	}
	report, err := soaker.New(soaker.Config{Seed: a.Seed, Duration: a.Length, Callers: a.Callers, ChatRate: a.Chats, Log: log}, deployment).Run(ctx)
	if err != nil {
		return false, err
	}
	return len(report.Violations) > 0, printReport(report)
}

// leaveAdapters is the number of adapters in a run with --leave.
const leaveAdapters = 20

func runLeave(ctx context.Context, a args, deployment *rehearser.Rehearser, log func(string)) (violated bool, err error) {
	report, err := soaker.NewLeaver(soaker.LeaveConfig{
		Seed: a.Seed, Rate: a.Rate, Adapters: leaveAdapters, HideLeave: a.Mute, Log: log,
	}, deployment).Run(ctx)
	if err != nil {
		return false, err
	}
	return len(report.Violations) > 0, printReport(report)
}

func printReport(report any) error {
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return errors.Wrap(err, "print report")
	}
	return nil
}
