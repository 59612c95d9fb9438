package governor_test

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/relayer"
	"redwingstage.org/standin/launcher"
)

// testApplyTime is the time from a document's acknowledgement until it must be in force at all entries.
const testApplyTime = 2 * time.Second

type noEngines struct{}

// Order implements governor.Engines.
func (noEngines) Order(context.Context, tracker.Instance, governor.EngineOrder) (governor.OrderResult, error) {
	return governor.Rejected, nil
}

// Report implements governor.Engines.
func (noEngines) Report(context.Context, tracker.Instance) (governor.EngineReport, error) {
	return governor.EngineReport{}, nil
}

func decodeEmpty(d governor.Doc) (*matcher.Table, error) {
	return matcher.New(d.Version, nil, nil, matcher.Limits{})
}

// startReplicas starts three replicas, each in a data centre of its own, and returns them with their addresses once one
// leads, the leader first.
func startReplicas(c *qt.C) (replicas []*governor.Governor, addrs []string) {
	for range 3 {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		addrs = append(addrs, addr)
	}
	for i, addr := range addrs {
		g, err := governor.New(governor.Config{
			Node: fmt.Sprint("core-", i), Zone: addr, Addr: addr, DataFolder: filepath.Join(c.TempDir(), "data"), Seeds: addrs, NewDeployment: true,
		}, governor.Deps{Decode: decodeEmpty, Engines: noEngines{}, Log: logger.New(io.Discard, "error")})
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { c.Check(g.Close(), qt.IsNil) })
		replicas = append(replicas, g)
	}
	for {
		for i, g := range replicas {
			if g.Leads() {
				replicas[0], replicas[i] = replicas[i], replicas[0]
				addrs[0], addrs[i] = addrs[i], addrs[0]
				return replicas, addrs
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func startEntry(c *qt.C, zone string, controls []string) *governor.LogBuffer {
	log := &governor.LogBuffer{}
	e, err := relayer.New(relayer.Config{
		Node: "entry", Zone: zone, CallersAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", Controls: controls, RetryWindow: time.Second,
	}, relayer.Deps{Headers: relayer.Headers{ReadyPath: "/ready"}, Decode: decodeEmpty, Log: logger.New(log, "info")})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := e.Close(ctx); err != nil {
			c.Check(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
		}
	})
	return log
}

// An entry stayed at a relay that had lost the leader for longer than a document may take to be in force, while the leader
// acknowledged without it.
func TestEntryLeavesRelayThatLostLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	replicas, addrs := startReplicas(c)
	leader, cut := replicas[0], replicas[1]
	put := func(version uint64) {
		for leader.PutDoc(context.Background(), governor.Doc{Version: version}) != nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	put(1)
	for !cut.Relays() {
		time.Sleep(5 * time.Millisecond)
	}
	log := startEntry(c, addrs[1], addrs[1:2])
	c.Assert(log.Await(10*time.Second, "session with a control replica", addrs[1]), qt.IsTrue)
	c.Assert(log.Await(10*time.Second, `"version":1,`), qt.IsTrue)
	cut.LoseLeader(leader)
	put(2)
	c.Check(log.Await(testApplyTime, `"version":2,`), qt.IsTrue)
}
