package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBoard(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	b := NewQuarantine(New(Config{}), now.Add(5*time.Second))
	poison, harmless := Digest{1}, Digest{2}
	s := &Standings{}
	sync := func() { s = s.With(false, b.Changes(now)) }
	b.ReportCrash(now, Crash{"e#1", 1}, []Digest{poison, harmless})
	b.ReportCrash(now, Crash{"e#1", 1}, []Digest{poison})
	sync()
	c.Assert(s.Of(poison), qt.Equals, Suspect)
	b.ReportCrash(now, Crash{"e#2", 1}, []Digest{poison})
	b.MergeStanding(now, harmless, Clear)
	b.MergeStanding(now, Digest{3}, Quarantined)
	sync()
	c.Assert(s.Known(), qt.DeepEquals, map[Digest]Standing{poison: Quarantined, harmless: Suspect, {3}: Quarantined})
	c.Assert(b.Changes(now), qt.IsNil)
	c.Assert((&Standings{}).With(true, b.All(now)).Known(), qt.DeepEquals, s.Known())

	// No lock is granted before those of an earlier leader have expired, then one at a time.
	c.Assert(b.Lock(Ticket{harmless, "a", 1}), qt.IsTrue)
	c.Assert(b.Lock(Ticket{harmless, "b", 1}), qt.IsTrue)
	c.Assert(b.Grant(now), qt.IsNil)
	now = now.Add(5 * time.Second)
	c.Assert(b.Grant(now), qt.DeepEquals, []Ticket{{harmless, "a", 1}})
	b.Unlock(Ticket{harmless, "a", 2})
	c.Assert(b.Grant(now), qt.IsNil)
	b.Unlock(Ticket{harmless, "a", 1})
	c.Assert(b.Grant(now), qt.DeepEquals, []Ticket{{harmless, "b", 1}})

	now = now.Add(2 * time.Hour)
	b.Expire(now)
	sync()
	c.Assert(s.Known(), qt.HasLen, 0)
}

// A run that ended clears only the suspect state it began under, despite reordered or repeated messages and later leaders.
func TestAbsolve(t *testing.T) {
	d, now := Digest{1}, time.Unix(1_700_000_000, 0)
	// Each case begins with a suspect that revision 5 lists.
	for _, tt := range []struct {
		name    string
		absolve func(b *Quarantine, spread func(revision uint64)) bool
		want    Standing
		cleared bool
	}{
		{"suspect", func(b *Quarantine, _ func(uint64)) bool { return b.ReportCompletion(now, d, 5) }, Clear, true},
		{"run began before", func(b *Quarantine, _ func(uint64)) bool { return b.ReportCompletion(now, d, 4) }, Suspect, false},
		{"convicted", func(b *Quarantine, spread func(uint64)) bool {
			b.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			spread(6)
			return b.ReportCompletion(now, d, 9)
		}, Quarantined, false},
		{"convicted, not spread yet", func(b *Quarantine, _ func(uint64)) bool {
			b.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			return b.ReportCompletion(now, d, 9)
		}, Quarantined, false},
		{"repeated", func(b *Quarantine, spread func(uint64)) bool {
			b.ReportCompletion(now, d, 5)
			spread(6)
			return b.ReportCompletion(now, d, 5)
		}, Clear, false},
		{"repeated after a newer crash", func(b *Quarantine, spread func(uint64)) bool {
			b.ReportCompletion(now, d, 5)
			spread(6)
			b.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			spread(7)
			return b.ReportCompletion(now, d, 6)
		}, Suspect, false},
		{"newer crash in the same revision", func(b *Quarantine, spread func(uint64)) bool {
			b.ReportCompletion(now, d, 5)
			b.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			spread(6)
			return b.ReportCompletion(now, d, 5)
		}, Suspect, false},
		{"newer crash, not spread yet", func(b *Quarantine, _ func(uint64)) bool {
			b.ReportCompletion(now, d, 5)
			b.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			return b.ReportCompletion(now, d, 9)
		}, Suspect, false},
		{"later leader", func(b *Quarantine, _ func(uint64)) bool {
			*b = *NewQuarantine(New(Config{}), now)
			b.MergeStanding(now, d, Suspect)
			b.Changes(now)
			b.Published(1 << 40)
			return b.ReportCompletion(now, d, 5)
		}, Suspect, false},
		{"later leader, then a run under it", func(b *Quarantine, _ func(uint64)) bool {
			*b = *NewQuarantine(New(Config{}), now)
			b.MergeStanding(now, d, Suspect)
			b.Changes(now)
			b.Published(1 << 40)
			return b.ReportCompletion(now, d, 1<<40)
		}, Clear, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, s := NewQuarantine(New(Config{}), now), &Standings{}
			spread := func(revision uint64) {
				s = s.With(false, b.Changes(now))
				b.Published(revision)
			}
			b.ReportCrash(now, Crash{"e#1", 1}, []Digest{d})
			spread(5)
			qt.Check(t, tt.absolve(b, spread), qt.Equals, tt.cleared)
			spread(1 << 41)
			qt.Check(t, b.Standing(now, d), qt.Equals, tt.want)
			qt.Check(t, s.Of(d) >= tt.want, qt.IsTrue)
			if tt.cleared {
				qt.Check(t, s.Of(d), qt.Equals, Clear)
			}
		})
	}
}
