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

// TestConcurrentBookingsShareCommand counts the messages and commands of calls that arrive together.
func TestConcurrentBookingsShareCommand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		calls    int
		messages int
		commands int
	}{{1, 1, 1}, {maxCallsPerMessage, 1, 1}, {64, 2, 1}, {maxBookingsPerCommand + 1, 9, 2}} {
		t.Run(fmt.Sprint(tt.calls), func(t *testing.T) {
			c := qt.New(t)
			a := newAgent(ClientConfig{Name: "entry-1", Incarnation: 1, Addr: "127.0.0.1:1"})
			a.startSession(now)
			l := newLeaderState(1, now, true, registrar.StoreLimits{}, spreader.New(), nil)
			key := peerKey{session: 1}
			l.receive(now, key, a.takeMessages()[0])
			l.registry.Join(now, l.peers[key].entry())
			a.welcomed = true
			for i := range tt.calls {
				a.call(now, callFrame{Kind: callBeginBooking, Begin: &recorder.Begin{Key: benchKey(i), Attempt: fmt.Sprint(i)}}, nil)
			}
			frames := a.takeMessages()
			c.Assert(frames, qt.HasLen, tt.messages)
			for _, f := range frames {
				l.receive(now, key, f)
			}
			l.proposeBookings(now)
			_, proposed := l.takeOutput()
			c.Assert(proposed, qt.HasLen, tt.commands)
			n := 0
			for _, p := range proposed {
				n += len(p.cmd.Bookings)
			}
			c.Assert(n, qt.Equals, tt.calls)
		})
	}
}
