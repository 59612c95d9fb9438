package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/frankban/quicktest"

	"redwingstage.org/standin/inferer"
	"redwingstage.org/standin/modeler"
)

func parse(c *quicktest.C, flags ...string) args {
	var a args
	p, err := arg.NewParser(arg.Config{}, &a)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Parse(flags), quicktest.IsNil)
	return a
}

func TestTableAndJSON(t *testing.T) {
	c := quicktest.New(t)
	s, err := inferer.New(inferer.Config{
		Name: "e", Addr: "127.0.0.1:0", Service: "base", Model: modeler.Config{BaseStepTime: 200 * time.Microsecond},
	})
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Assert(s.Close(), quicktest.IsNil) }()
	a := parse(c, "--entries", s.Addr(), "--direct", s.Addr(), "--rate", "500", "--duration", "100ms", "--tokens", "4")
	var out strings.Builder
	c.Assert(run(context.Background(), a, &out), quicktest.IsNil)
	c.Assert(out.String(), quicktest.Contains, "KIND")
	c.Assert(out.String(), quicktest.Contains, "first token against direct: p50 ")
	c.Assert(strings.Count(out.String(), "done="), quicktest.Equals, 2)
	a.JSON, a.PIDs = true, []int{os.Getpid()}
	out.Reset()
	c.Assert(run(context.Background(), a, &out), quicktest.IsNil)
	var body struct {
		Report struct {
			Rows []struct {
				Name     string
				Count    int
				Outcomes map[string]int
			}
		}
	}
	c.Assert(json.Unmarshal([]byte(out.String()), &body), quicktest.IsNil)
	c.Assert(body.Report.Rows[0].Name, quicktest.Equals, "short")
	c.Assert(body.Report.Rows[0].Outcomes["done"], quicktest.Equals, body.Report.Rows[0].Count)
}

func TestErrors(t *testing.T) {
	c := quicktest.New(t)
	var out strings.Builder
	err := run(context.Background(), parse(c, "--entries", "10.1.1.1:80"), &out)
	c.Assert(err, quicktest.ErrorMatches, `load: "10.1.1.1:80" is no loopback address of the form ip:port`)
	err = run(context.Background(), parse(c, "--entries", "127.0.0.1:1", "--pids", "-1"), &out)
	c.Assert(err, quicktest.ErrorMatches, `processor time of process -1: .*`)
}

func TestParseStat(t *testing.T) {
	c := quicktest.New(t)
	d, err := parseStat("12 (a name) with) S 1 1 1 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 5 0")
	c.Assert(err, quicktest.IsNil)
	c.Assert(d, quicktest.Equals, 2*time.Second)
	_, err = parseStat("12 (a) S 1")
	c.Assert(err, quicktest.ErrorMatches, "too few fields in stat")
}
