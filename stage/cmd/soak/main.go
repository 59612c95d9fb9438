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
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	broken, err := run(ctx, a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	if err != nil || broken {
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) (broken bool, err error) {
	dep, err := rehearser.New(rehearser.Config{Bin: a.Bin, Folder: a.Folder, Engines: 1, Servers: a.Servers, Net: a.Net, Work: a.Work})
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, dep.Close()) }()
	if err := dep.StartAll(); err != nil {
		return false, err
	}
	if err := dep.Apply(ctx, 1); err != nil {
		return false, err
	}
	began := time.Now()
	report, err := soaker.New(soaker.Config{
		Seed: a.Seed, Length: a.Length, Callers: a.Callers,
		Log: func(line string) { fmt.Fprintf(os.Stderr, "%6.1fs %s\n", time.Since(began).Seconds(), line) },
	}, dep).Run(ctx)
	if err != nil {
		return false, err
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return false, errors.Wrap(err, "print report")
	}
	return len(report.Violations) > 0, nil
}
