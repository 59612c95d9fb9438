package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/recorder"
)

// TestBeginOfLostProcess lets a Begin arrive after its process was recorded as lost: it must not occupy the key.
func TestBeginOfLostProcess(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	index := uint64(0)
	execute := func(cmd command) result {
		index++
		cmd.NowMillis = int64(index)
		b, err := encoder.Marshal(cmd)
		c.Assert(err, qt.IsNil)
		var res result
		out, err := m.Apply(index, b)
		c.Assert(err, qt.IsNil)
		c.Assert(encoder.Unmarshal(out, &res), qt.IsNil)
		return res
	}
	begin := func(entry, attempt string) recorder.Decision {
		res := execute(command{Bookings: []bookingCommand{{Begin: &recorder.Begin{
			Key: recorder.Key{Caller: "c", Service: "orders", Key: "k"}, Attempt: attempt, Entry: entry, Incarnation: 1,
		}}}})
		c.Assert(res.Begun, qt.HasLen, 1)
		return res.Begun[0].Decision
	}
	execute(command{Joined: []entryProcess{{"e1", 1}, {"e2", 1}}})
	execute(command{Lost: []entryProcess{{"e1", 1}}})
	c.Check(begin("e1", "late"), qt.Equals, recorder.DecisionUnknown)
	c.Check(begin("e2", "next"), qt.Equals, recorder.DecisionRun)
}
