package controller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

// TestBookingsOfATurnShareACommand counts the messages and commands of calls that arrive together.
func TestBookingsOfATurnShareACommand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		calls    int
		messages int
		commands int
	}{{1, 1, 1}, {maxCalls, 1, 1}, {64, 2, 1}, {maxBatch + 1, 9, 2}} {
		t.Run(fmt.Sprint(tt.calls), func(t *testing.T) {
			c := qt.New(t)
			a := newAgent(ClientConfig{Name: "entry-1", Incarnation: 1, Addr: "127.0.0.1:1"})
			a.connected(now)
			d := newDesk(1, now, true, registrar.StoreLimits{}, spreader.New(), nil)
			key := peerKey{session: 1}
			d.receive(now, key, a.take()[0])
			d.registry.Join(now, d.peers[key].entry())
			a.welcomed = true
			for i := range tt.calls {
				a.call(now, callFrame{Kind: callBegin, Begin: &recorder.Begin{Key: benchKey(i), Attempt: fmt.Sprint(i)}}, nil)
			}
			frames := a.take()
			c.Assert(frames, qt.HasLen, tt.messages)
			for _, f := range frames {
				d.receive(now, key, f)
			}
			d.propose(now)
			_, proposed := d.take()
			c.Assert(proposed, qt.HasLen, tt.commands)
			n := 0
			for _, p := range proposed {
				n += len(p.cmd.Bookings)
			}
			c.Assert(n, qt.Equals, tt.calls)
		})
	}
}
