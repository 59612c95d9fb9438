package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/registrar"
)

// TestProposeAbsentKeepsJoiningProcess has a new leader look for absent processes when the log lists one already, but the
// leader lacks the command's result: the process must neither be recorded as lost nor count as listed while it isn't.
func TestProposeAbsentKeepsJoiningProcess(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := newMachine()
	h := &hub{machine: m, leader: newLeaderState(1, now, true, registrar.StoreLimits{}, spreader.New(), nil)}
	index := uint64(0)
	// apply applies the proposed commands and returns them.
	apply := func() []command {
		_, proposed := h.leader.takeOutput()
		var list []command
		for _, p := range proposed {
			index++
			b, err := encoder.Marshal(p.cmd)
			c.Assert(err, qt.IsNil)
			_, err = m.Apply(index, b)
			c.Assert(err, qt.IsNil)
			list = append(list, p.cmd)
		}
		return list
	}
	e1 := entryProcess{"e1", 1}
	h.leader.tick(now)
	h.leader.receive(now, peerKey{}, entryMessage{Hello: &helloFrame{Name: e1.Entry, Incarnation: e1.Incarnation, Addr: "a"}})
	h.leader.receive(now, peerKey{}, entryMessage{Live: h.leader.live.Revision(), Heartbeat: 1})
	joined := apply()
	c.Assert(joined, qt.HasLen, 1)
	c.Assert(joined[0].Joined, qt.DeepEquals, []entryProcess{e1})

	h.proposeAbsent(now)
	lost := apply()
	for _, cmd := range append(joined, lost...) {
		h.leader.handleProcessResult(now, cmd, nil)
	}
	c.Check(lost, qt.HasLen, 0)
	c.Check(h.leader.registry.Live(now, e1.holder()), qt.IsTrue)
	c.Check(m.leasedProcesses(), qt.DeepEquals, []entryProcess{e1})
	c.Check(h.leader.listedHolders[e1.holder()], qt.IsTrue)

	// A process lost while its joining command is in flight must be listed again before it is known.
	h.leader.proposeLost(now, []entryProcess{e1})
	h.leader.handleProcessResult(now, joined[0], nil)
	c.Check(h.leader.listedHolders[e1.holder()], qt.IsFalse)
}
