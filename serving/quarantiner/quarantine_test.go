package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestQuarantine(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	q := NewQuarantine(New(Config{}), now.Add(5*time.Second))
	poison, harmless := Digest{1}, Digest{2}
	s := &Standings{}
	sync := func() { s = s.With(false, q.Changes(now)) }
	q.ReportCrash(now, Crash{"e#1", 1}, []Digest{poison, harmless})
	q.ReportCrash(now, Crash{"e#1", 1}, []Digest{poison})
	sync()
	c.Assert(s.Of(poison), qt.Equals, Suspect)
	q.ReportCrash(now, Crash{"e#2", 1}, []Digest{poison})
	q.MergeStanding(now, harmless, Clear)
	q.MergeStanding(now, Digest{3}, Quarantined)
	sync()
	c.Assert(s.NotClear(), qt.DeepEquals, map[Digest]Standing{poison: Quarantined, harmless: Suspect, {3}: Quarantined})
	c.Assert(q.Changes(now), qt.IsNil)
	c.Assert((&Standings{}).With(true, q.All(now)).NotClear(), qt.DeepEquals, s.NotClear())

	// No lock is granted before those of an earlier leader have expired, then one at a time.
	c.Assert(q.Lock(Ticket{harmless, "a", 1}), qt.IsTrue)
	c.Assert(q.Lock(Ticket{harmless, "b", 1}), qt.IsTrue)
	c.Assert(q.Grant(now), qt.IsNil)
	now = now.Add(5 * time.Second)
	c.Assert(q.Grant(now), qt.DeepEquals, []Ticket{{harmless, "a", 1}})
	q.Unlock(Ticket{harmless, "a", 2})
	c.Assert(q.Grant(now), qt.IsNil)
	q.Unlock(Ticket{harmless, "a", 1})
	c.Assert(q.Grant(now), qt.DeepEquals, []Ticket{{harmless, "b", 1}})

	now = now.Add(2 * time.Hour)
	q.Expire(now)
	sync()
	c.Assert(s.NotClear(), qt.HasLen, 0)
}

// A run that ended clears only the suspect state it began under, despite reordered or repeated messages and later leaders.
func TestReportCompletion(t *testing.T) {
	d, now := Digest{1}, time.Unix(1_700_000_000, 0)
	// Each case begins with a suspect that revision 5 lists.
	for _, tt := range []struct {
		name    string
		report  func(q *Quarantine, spread func(revision uint64)) bool
		want    Standing
		cleared bool
	}{
		{"suspect", func(q *Quarantine, _ func(uint64)) bool { return q.ReportCompletion(now, d, 5) }, Clear, true},
		{"run began before", func(q *Quarantine, _ func(uint64)) bool { return q.ReportCompletion(now, d, 4) }, Suspect, false},
		{"quarantined", func(q *Quarantine, spread func(uint64)) bool {
			q.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			spread(6)
			return q.ReportCompletion(now, d, 9)
		}, Quarantined, false},
		{"quarantined, not spread yet", func(q *Quarantine, _ func(uint64)) bool {
			q.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			return q.ReportCompletion(now, d, 9)
		}, Quarantined, false},
		{"repeated", func(q *Quarantine, spread func(uint64)) bool {
			q.ReportCompletion(now, d, 5)
			spread(6)
			return q.ReportCompletion(now, d, 5)
		}, Clear, false},
		{"repeated after a newer crash", func(q *Quarantine, spread func(uint64)) bool {
			q.ReportCompletion(now, d, 5)
			spread(6)
			q.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			spread(7)
			return q.ReportCompletion(now, d, 6)
		}, Suspect, false},
		{"newer crash in the same revision", func(q *Quarantine, spread func(uint64)) bool {
			q.ReportCompletion(now, d, 5)
			q.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			spread(6)
			return q.ReportCompletion(now, d, 5)
		}, Suspect, false},
		{"newer crash, not spread yet", func(q *Quarantine, _ func(uint64)) bool {
			q.ReportCompletion(now, d, 5)
			q.ReportCrash(now, Crash{"e#2", 1}, []Digest{d})
			return q.ReportCompletion(now, d, 9)
		}, Suspect, false},
		{"later leader", func(q *Quarantine, _ func(uint64)) bool {
			*q = *NewQuarantine(New(Config{}), now)
			q.MergeStanding(now, d, Suspect)
			q.Changes(now)
			q.Published(1 << 40)
			return q.ReportCompletion(now, d, 5)
		}, Suspect, false},
		{"later leader, then a run under it", func(q *Quarantine, _ func(uint64)) bool {
			*q = *NewQuarantine(New(Config{}), now)
			q.MergeStanding(now, d, Suspect)
			q.Changes(now)
			q.Published(1 << 40)
			return q.ReportCompletion(now, d, 1<<40)
		}, Clear, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q, s := NewQuarantine(New(Config{}), now), &Standings{}
			spread := func(revision uint64) {
				s = s.With(false, q.Changes(now))
				q.Published(revision)
			}
			q.ReportCrash(now, Crash{"e#1", 1}, []Digest{d})
			spread(5)
			qt.Check(t, tt.report(q, spread), qt.Equals, tt.cleared)
			spread(1 << 41)
			qt.Check(t, q.Standing(now, d), qt.Equals, tt.want)
			qt.Check(t, s.Of(d) >= tt.want, qt.IsTrue)
			if tt.cleared {
				qt.Check(t, s.Of(d), qt.Equals, Clear)
			}
		})
	}
}
