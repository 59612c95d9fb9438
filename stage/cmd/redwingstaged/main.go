package main

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/demonstrator"
	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/starter"
)

// flushTimeout bounds the wait for a reader of the log at the end.
const flushTimeout = 300 * time.Millisecond

// devArgs are the flags of the dev role.
type devArgs struct {
	Folder    string `arg:"--data" help:"data folder [default: a temporary one]"`
	Callers   string `arg:"--callers" default:"127.0.0.1:8080" help:"callers' address of the first entry"`
	Operators string `arg:"--operators" default:"127.0.0.1:8090" help:"operators' address"`
	Metrics   string `arg:"--metrics" default:"127.0.0.1:8070" help:"metrics' address of the first entry"`
}

// runArgs are the flags of the roles entry and control.
type runArgs struct {
	Settings string `arg:"positional,required" help:"settings file"`
}

type args struct {
	Run   *runArgs `arg:"subcommand:run" help:"run the role that a settings file names"`
	Dev   *devArgs `arg:"subcommand:dev" help:"run everything in one process, with stand-ins of the backend servers"`
	Level string   `arg:"--level" default:"info" help:"lowest level of the log: debug, info, warn or error"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "redwingstaged runs one role of the serving layer."
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if p.Subcommand() == nil {
		p.Fail("missing subcommand")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	errOut := logger.NewQueue(os.Stderr, 0)
	// The HTTP library's own lines.
	stdlog.SetOutput(errOut)
	err := run(ctx, a, os.Stdout, logger.New(errOut, a.Level))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "redwingstaged:", err)
	}
	errOut.Close(flushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

func run(ctx context.Context, a args, out io.Writer, l *logger.Logger) error {
	if a.Run != nil {
		return runRole(ctx, a, out, l)
	}
	return runDev(ctx, a, out, l)
}

// runRole serves until ctx is cancelled and then drains open requests.
func runRole(ctx context.Context, a args, out io.Writer, l *logger.Logger) error {
	s, err := loader.Load(a.Run.Settings)
	if err != nil {
		return err
	}
	proc, err := starter.Start(s, l)
	if err != nil {
		return errors.Wrap(err, s.Name())
	}
	if _, err = fmt.Fprintf(out, "%s: serving\n", s.Name()); err == nil {
		<-ctx.Done()
	}
	return errors.Join(err, proc.Close())
}

func runDev(ctx context.Context, a args, out io.Writer, l *logger.Logger) (err error) {
	folder := a.Dev.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "redwingstage-"); err != nil {
			return errors.Wrap(err, "make data folder")
		}
		defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	}
	d, err := demonstrator.New(ctx, demonstrator.Config{
		Folder: folder, Callers: [2]string{a.Dev.Callers}, Operators: a.Dev.Operators, Metrics: a.Dev.Metrics,
	}, l)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "ready: callers at http://%s, operators at http://%s (token %s)\n",
		d.Callers(), d.Operators(), demonstrator.OperatorToken.Token)
	if err == nil {
		<-ctx.Done()
	}
	return errors.Join(err, d.Close())
}
