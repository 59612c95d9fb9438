package governor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A hello that had waited at a replica that was suspended, on a connection that its sender had given up, closed the sender's
// newer session.
func TestLateHelloKeepsNewerSession(t *testing.T) {
	for _, tt := range []struct {
		name    string
		replica uint64
	}{{"entry", 0}, {"relay", 7}} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			h := newLeadingHub(c, &stubEngines{}, 1)
			now := time.Now()
			h.relay.setUpstream(func(UpMessage) bool { return true })
			h.relay.confirm(now)
			open := func(process, number uint64) *session {
				s := &session{}
				h.receive(now, s, UpMessage{Hello: &Hello{Node: "n", Replica: tt.replica, Process: process, Session: number}})
				return s
			}
			first := open(1, 5)
			late := open(1, 4)
			c.Check(first.closed, qt.IsFalse)
			c.Check(late.closed, qt.IsTrue)
			newer := open(1, 6)
			c.Check(first.closed, qt.IsTrue)
			restarted := open(2, 1)
			c.Check(newer.closed, qt.IsTrue)
			earlierVersion := open(0, 0)
			c.Check(restarted.closed, qt.IsTrue)
			c.Check(earlierVersion.closed, qt.IsFalse)
			open(0, 0)
			c.Check(earlierVersion.closed, qt.IsTrue)
		})
	}
}
