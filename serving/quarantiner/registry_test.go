package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRegistry(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bad, good := Digest{1}, Digest{2}
	r := New(Config{MaxDigests: 3})
	r.ReportCrash(now, "e1/a", []Digest{bad, good})
	r.ReportCrash(now, "e1/a", []Digest{bad, good})
	c.Assert(r.Standing(now, bad), qt.Equals, Suspect)
	r.Clear(good)
	c.Assert(r.Standing(now, good), qt.Equals, Clear)
	r.ReportCrash(now, "e2/a", []Digest{bad, good})
	c.Assert(r.Standing(now, bad), qt.Equals, Quarantined)
	c.Assert(r.Standing(now, good), qt.Equals, Suspect)
	r.Clear(bad)
	c.Assert(r.Standing(now, bad), qt.Equals, Quarantined)
	r.ReportCrash(now.Add(time.Second), "e3/a", []Digest{{3}, {4}, {5}})
	c.Assert(r.Len(), qt.Equals, 3)
	c.Assert(r.Standing(now, bad), qt.Equals, Quarantined)
	late := now.Add(DefaultQuarantineFor + time.Minute)
	c.Assert(r.Standing(late, bad), qt.Equals, Clear)
	r.ReportCrash(late, "e4/a", []Digest{bad})
	c.Assert(r.Standing(late, bad), qt.Equals, Suspect)
	r.Expire(late)
	c.Assert(r.Len(), qt.Equals, 1)
}

// With CrashInterval, servers that end together count as one crash, and a repeated report of an earlier crash counts once.
func TestCrashesThatCount(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bad := []Digest{{1}}
	r := New(Config{Crashes: 3, CrashInterval: 200 * time.Millisecond})
	for _, incident := range []string{"e1", "e2", "e3", "e4"} {
		r.ReportCrash(now, incident, bad)
	}
	c.Check(r.Standing(now, bad[0]), qt.Equals, Suspect)
	now = now.Add(time.Second)
	r.ReportCrash(now, "e1", bad)
	r.ReportCrash(now, "e5", bad)
	now = now.Add(time.Second)
	r.ReportCrash(now, "e1", bad)
	r.ReportCrash(now, "e5", bad)
	c.Check(r.Standing(now, bad[0]), qt.Equals, Suspect)
	r.ReportCrash(now, "e6", bad)
	c.Check(r.Standing(now, bad[0]), qt.Equals, Quarantined)
	r.Quarantine(now, Digest{2})
	c.Check(r.Standing(now, Digest{2}), qt.Equals, Quarantined)
	c.Check(r.Standing(now.Add(2*DefaultQuarantineFor), Digest{2}), qt.Equals, Clear)
}

func TestDigestsOfTexts(t *testing.T) {
	c := qt.New(t)
	c.Check(DigestOf("a", "bc"), qt.Equals, DigestOf("a", "bc"))
	c.Check(DigestOf("a", "bc"), qt.Not(qt.Equals), DigestOf("ab", "c"))
}
