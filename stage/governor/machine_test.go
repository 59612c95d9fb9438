package governor

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// holding returns the adapters held by an incarnation of an engine.
func holding(id string, born int64, names ...string) allocator.Holding {
	h := allocator.Holding{Engine: tracker.Key{ID: id, StartedMS: born}}
	for _, name := range names {
		h.Adapters = append(h.Adapters, tracker.Adapter{Model: "m", Name: name})
	}
	return h
}

func TestLogKeepsHeldAdapters(t *testing.T) {
	c := qt.New(t)
	m := newMachine(func() {}, func(uint64, error) {})
	record := func(list ...allocator.Holding) {
		applyCommand(c, m, command{Held: list})
	}
	record(holding("x", 1, "a1"), holding("y", 1, "a2"))
	first := m.current()
	record(holding("x", 1, "a3"))
	c.Check(first.Held[0].Adapters, qt.HasLen, 1, qt.Commentf("a published state is immutable"))
	c.Check(m.current().Held, qt.DeepEquals, []allocator.Holding{holding("x", 1, "a1", "a3"), holding("y", 1, "a2")})
	record(holding("x", 1, "a1"))
	c.Check(m.current().Held[0], qt.DeepEquals, holding("x", 1, "a3", "a1"), qt.Commentf("a1 was loaded last"))
	record(holding("x", 2, "a4"))
	c.Check(m.current().Held, qt.DeepEquals, []allocator.Holding{holding("y", 1, "a2"), holding("x", 2, "a4")})

	var many []string
	for i := range 2 * maxHeldPerEngine {
		many = append(many, fmt.Sprint("b", i))
	}
	record(holding("y", 1, many...))
	c.Check(m.current().Held[0].Adapters, qt.HasLen, maxHeldPerEngine)

	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	other := newMachine(func() {}, func(uint64, error) {})
	c.Assert(other.Restore(data), qt.IsNil)
	c.Check(other.current().Held, qt.DeepEquals, m.current().Held)
}

func TestLogKeepsServers(t *testing.T) {
	c := qt.New(t)
	m := newMachine(func() {}, func(uint64, error) {})
	apply := func(cmd command) {
		applyCommand(c, m, cmd)
	}
	server := func(id string, born int64) tracker.Instance {
		return tracker.Instance{Key: tracker.Key{ID: id, StartedMS: born}, Addr: id}
	}
	apply(command{Servers: []tracker.Instance{server("x", 2), server("y", 1)}})
	first := m.current().Servers
	apply(command{Servers: []tracker.Instance{server("x", 1), server("z", 1)}, RemovedServers: []string{"y"}})
	c.Check(m.current().Servers, qt.DeepEquals, []tracker.Instance{server("x", 2), server("z", 1)}, qt.Commentf("an earlier incarnation is ignored"))
	c.Check(first, qt.HasLen, 2, qt.Commentf("a published state is immutable"))
}

func TestRecorderDiffsServersAgainstLog(t *testing.T) {
	c := qt.New(t)
	x, y := tracker.Instance{Key: tracker.Key{ID: "x", StartedMS: 1}, Slots: 2}, tracker.Instance{Key: tracker.Key{ID: "y", StartedMS: 1}}
	var r recorder
	r.reset([]tracker.Instance{x, y})
	x.Sequence, x.Residents = 9, []tracker.Resident{testBase}
	updated, removed := r.diff([]tracker.Instance{x})
	c.Check(updated, qt.HasLen, 0, qt.Commentf("only Sequence and Residents changed"))
	c.Check(removed, qt.DeepEquals, []string{"y"})
	x.Slots = 3
	updated, _ = r.diff([]tracker.Instance{x, y})
	c.Check(updated, qt.HasLen, 1)
}
