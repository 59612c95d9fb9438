package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBoard(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	b := NewBoard(New(Config{}), now.Add(5*time.Second))
	poison, innocent := Digest{1}, Digest{2}
	s := &Standings{}
	sync := func() { s = s.With(false, b.Changes(now)) }
	b.Accuse(now, Crash{"e#1", 1}, []Digest{poison, innocent})
	b.Accuse(now, Crash{"e#1", 1}, []Digest{poison})
	sync()
	c.Assert(s.Of(poison), qt.Equals, Suspect)
	b.Accuse(now, Crash{"e#2", 1}, []Digest{poison})
	b.Report(now, innocent, Clear)
	b.Report(now, Digest{3}, Convicted)
	sync()
	c.Assert(s.Known(), qt.DeepEquals, map[Digest]Standing{poison: Convicted, innocent: Suspect, {3}: Convicted})
	c.Assert(b.Changes(now), qt.IsNil)
	c.Assert((&Standings{}).With(true, b.All(now)).Known(), qt.DeepEquals, s.Known())

	// No lock before those of the last leader have run out, then one after the other.
	c.Assert(b.Lock(Ticket{innocent, "a", 1}), qt.IsTrue)
	c.Assert(b.Lock(Ticket{innocent, "b", 1}), qt.IsTrue)
	c.Assert(b.Grant(now), qt.IsNil)
	now = now.Add(5 * time.Second)
	c.Assert(b.Grant(now), qt.DeepEquals, []Ticket{{innocent, "a", 1}})
	b.Unlock(Ticket{innocent, "a", 2})
	c.Assert(b.Grant(now), qt.IsNil)
	b.Unlock(Ticket{innocent, "a", 1})
	c.Assert(b.Grant(now), qt.DeepEquals, []Ticket{{innocent, "b", 1}})

	now = now.Add(2 * time.Hour)
	b.Expire(now)
	sync()
	c.Assert(s.Known(), qt.HasLen, 0)
}
