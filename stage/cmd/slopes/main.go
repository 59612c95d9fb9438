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

	"redwingstage.org/stage/surveyor"
)

type args struct {
	Folder   string        `arg:"--data" help:"folder for the control replica's data [default: the system's temporary one]"`
	Window   time.Duration `arg:"--window" default:"8s" help:"how long each rate is watched"`
	Entries  int           `arg:"--entries" default:"64" help:"larger number of entries"`
	Servers  int           `arg:"--servers" default:"160" help:"larger number of backend servers"`
	Adapters int           `arg:"--adapters" default:"120000" help:"larger number of adapters"`
	Calls    int           `arg:"--calls" default:"400" help:"changes, permits and bookings"`
	JSON     bool          `arg:"--json" help:"print JSON"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	slopes, err := surveyor.Survey(ctx, surveyor.Config{
		Folder: a.Folder, Window: a.Window, Entries: a.Entries, Servers: a.Servers, Adapters: a.Adapters, Calls: a.Calls,
	})
	if err != nil {
		return err
	}
	if !a.JSON {
		return surveyor.Print(os.Stdout, slopes)
	}
	if err := json.NewEncoder(os.Stdout).Encode(slopes); err != nil {
		return errors.Wrap(err, "print slopes")
	}
	return nil
}
