package governor

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// holding returns what a start of an engine holds.
func holding(id string, born int64, names ...string) allocator.Holding {
	h := allocator.Holding{Engine: tracker.Key{ID: id, Born: born}}
	for _, name := range names {
		h.Adapters = append(h.Adapters, tracker.Adapter{Model: "m", Name: name})
	}
	return h
}

func TestTheLogRemembersWhatEnginesHeld(t *testing.T) {
	c := qt.New(t)
	m := newMachine(func() {})
	record := func(list ...allocator.Holding) {
		data, err := encoder.Marshal(command{Held: list})
		c.Assert(err, qt.IsNil)
		m.Apply(1, data)
	}
	record(holding("x", 1, "a1"), holding("y", 1, "a2"))
	first := m.now()
	record(holding("x", 1, "a3"))
	c.Check(first.Held[0].Adapters, qt.HasLen, 1, qt.Commentf("a published state is never changed"))
	c.Check(m.now().Held, qt.DeepEquals, []allocator.Holding{holding("x", 1, "a1", "a3"), holding("y", 1, "a2")})
	record(holding("x", 1, "a1"))
	c.Check(m.now().Held[0], qt.DeepEquals, holding("x", 1, "a3", "a1"), qt.Commentf("a1 was loaded last"))
	record(holding("x", 2, "a4"))
	c.Check(m.now().Held, qt.DeepEquals, []allocator.Holding{holding("y", 1, "a2"), holding("x", 2, "a4")})

	var many []string
	for i := range 2 * maxHeld {
		many = append(many, fmt.Sprint("b", i))
	}
	record(holding("y", 1, many...))
	c.Check(m.now().Held[0].Adapters, qt.HasLen, maxHeld)

	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	other := newMachine(func() {})
	c.Assert(other.Restore(data), qt.IsNil)
	c.Check(other.now().Held, qt.DeepEquals, m.now().Held)
}
