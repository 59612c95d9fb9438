package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/rehearser"
)

type args struct {
	Folder   string `arg:"positional,required" help:"folder that 'redwingstage init' made, on loopback addresses"`
	Bin      string `arg:"--bin" default:"bin" help:"folder of the built programs"`
	Engines  int    `arg:"--engines" default:"12" help:"stand-in engines of each model"`
	Servers  int    `arg:"--servers" default:"3" help:"stand-ins of each plain service"`
	Adapters int    `arg:"--adapters" default:"3000" help:"adapters of each model"`
	Net      int    `arg:"--net" default:"77" help:"second byte of the stand-ins' loopback addresses"`
	Batch    string `arg:"--batch" help:"requests that run at once on a stand-in engine"`
	Step     string `arg:"--step" help:"time of a stand-in engine's step with an empty batch, such as 10ms"`
	Token    string `arg:"--token" help:"time added to a step by each decoded token, such as 1us"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "rehearse starts every process of a deployment and ends them all when it is interrupted."
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(1)
	}
}

// engineFlags returns the flags that every stand-in engine gets.
func (a args) engineFlags() []string {
	var flags []string
	for _, f := range []struct{ name, value string }{{"--batch", a.Batch}, {"--step", a.Step}, {"--token", a.Token}} {
		if f.value != "" {
			flags = append(flags, f.name, f.value)
		}
	}
	return flags
}

func run(ctx context.Context, a args) error {
	r, err := rehearser.New(rehearser.Config{
		Bin: a.Bin, Folder: a.Folder, Engines: a.Engines, Servers: a.Servers, LoopbackNet: a.Net, EngineFlags: a.engineFlags(),
	})
	if err != nil {
		return err
	}
	err = r.StartAll()
	if err == nil {
		err = r.Apply(ctx, a.Adapters)
	}
	if err == nil {
		fmt.Printf("ready: callers at %s\n", strings.Join(r.CallerAddrs(), ", "))
		<-ctx.Done()
	}
	return errors.Join(err, r.Close())
}
