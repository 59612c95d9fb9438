package main

import (
	"context"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/frankban/quicktest"
)

func parse(c *quicktest.C, flags ...string) args {
	var a args
	p, err := arg.NewParser(arg.Config{}, &a)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Parse(flags), quicktest.IsNil)
	return a
}

func TestRunServesUntilStopped(t *testing.T) {
	for _, kind := range []string{"engine", "orders"} {
		c := quicktest.New(t)
		a := parse(c, kind, "--name", "x", "--addr", "127.0.0.1:0", "--zone", "z", "--service", "base")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.Assert(run(ctx, a), quicktest.IsNil)
	}
}

func TestNonLoopbackIsRejected(t *testing.T) {
	tests := []struct{ addr, entry, want string }{
		{"10.0.0.1:80", "127.0.0.1:1", `address "10.0.0.1:80" is not a loopback address`},
		{"127.0.0.1:0", "example.org:80", `address "example.org:80" is not a loopback address`},
		{"127.0.0.1", "127.0.0.1:1", `address "127.0.0.1": .*missing port.*`},
	}
	for _, tt := range tests {
		c := quicktest.New(t)
		a := parse(c, "orders", "--name", "x", "--addr", tt.addr, "--zone", "z", "--service", "s", "--entries", tt.entry)
		c.Assert(run(context.Background(), a), quicktest.ErrorMatches, tt.want)
	}
}
