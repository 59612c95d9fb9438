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
