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

// Four servers of a service that ended within a quarter of a second counted as one, so that a request crashed all of them
// three times over before it was refused: each server's end counts, and a repeated report of it doesn't.
func TestServersThatEndTogetherCountEach(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bad := []Digest{{1}}
	r := New(Config{Crashes: 3})
	for _, incident := range []string{"e1", "e2", "e1", "e2"} {
		r.ReportCrash(now, incident, bad)
	}
	c.Check(r.Standing(now, bad[0]), qt.Equals, Suspect)
	now = now.Add(time.Second)
	r.ReportCrash(now, "e1", bad)
	c.Check(r.Standing(now, bad[0]), qt.Equals, Suspect)
	r.ReportCrash(now, "e3", bad)
	c.Check(r.Standing(now, bad[0]), qt.Equals, Quarantined)
	c.Check(r.State(now, bad[0]), qt.Equals, State{Standing: Quarantined})
	r.Quarantine(now, Digest{2}, FailedTrials{})
	c.Check(r.Standing(now, Digest{2}), qt.Equals, Quarantined)
	c.Check(r.Standing(now.Add(2*DefaultQuarantineFor), Digest{2}), qt.Equals, Clear)
}

// One request at a time to a service is on trial: an answer clears its digests, a crash refuses it for a longer pause each time.
func TestTrials(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	d, other := []Digest{{1}}, []Digest{{2}}
	r := New(Config{Crashes: 1, TrialPauses: []time.Duration{time.Minute, time.Hour}, TrialFor: 10 * time.Second, QuarantineFor: 24 * time.Hour})
	c.Check(r.GrantTrial(now, d, "s", "a"), qt.IsFalse)
	r.ReportCrash(now, "e1", []Digest{d[0], other[0]})
	c.Check(r.State(now, d[0]), qt.Equals, State{Standing: Quarantined, IsTrialDue: true})
	c.Check(r.GrantTrial(now, d, "s", "a"), qt.IsTrue)
	c.Check(r.GrantTrial(now, d, "s", "b"), qt.IsFalse)
	c.Check(r.GrantTrial(now, other, "s", "b"), qt.IsFalse)
	c.Check(r.GrantTrial(now, other, "t", "b"), qt.IsTrue)
	r.CancelTrial(d, "b")
	c.Check(r.State(now, d[0]), qt.Equals, State{Standing: Quarantined, Holder: "a", Own: d[0]})
	r.CancelTrial(d, "a")
	c.Check(r.GrantTrial(now, d, "s", "b"), qt.IsTrue)
	now = now.Add(10 * time.Second)
	c.Check(r.GrantTrial(now, d, "s", "a"), qt.IsTrue)
	r.FailTrial(now, "e2", d)
	r.FailTrial(now, "e2", d)
	c.Check(r.FailedTrials(d[0]), qt.DeepEquals, FailedTrials{[]string{"e2"}, now})
	c.Check(r.GrantTrial(now.Add(59*time.Second), d, "s", "a"), qt.IsFalse)
	now = now.Add(time.Minute)
	c.Check(r.GrantTrial(now, d, "s", "a"), qt.IsTrue)
	r.FailTrial(now, "e3", d)
	c.Check(r.GrantTrial(now.Add(time.Minute), d, "s", "a"), qt.IsFalse)
	now = now.Add(time.Hour)
	c.Check(r.GrantTrial(now, d, "s", "a"), qt.IsTrue)
	r.PassTrial(d)
	c.Check(r.State(now, d[0]), qt.Equals, State{})
	c.Check(r.GrantTrial(now, other, "s", "a"), qt.IsTrue)
}

// A request that crashes servers was sent again and again on trial while servers refused it or gave errors: each trial without
// a result delays the next one.
func TestTrialsWithoutResultAreDelayed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	shared, own := Digest{1}, Digest{2}
	r := New(Config{Crashes: 1, TrialPauses: []time.Duration{time.Minute}, TrialFor: 10 * time.Second, QuarantineFor: time.Hour})
	r.ReportCrash(now, "e1", []Digest{own})
	for _, pause := range []time.Duration{2 * time.Second, 6 * time.Second, 18 * time.Second} {
		c.Check(r.GrantTrial(now, []Digest{shared, own}, "s", "a"), qt.IsTrue)
		r.DeferTrial(now, []Digest{shared, own}, "b")
		c.Check(r.State(now, own).Holder, qt.Equals, "a")
		r.DeferTrial(now, []Digest{shared, own}, "a")
		c.Check(r.GrantTrial(now.Add(pause-1), []Digest{own}, "s", "a"), qt.IsFalse)
		now = now.Add(pause)
	}
	for range 2 * maxUndecided {
		c.Check(r.GrantTrial(now, []Digest{own}, "s", "a"), qt.IsTrue)
		r.DeferTrial(now, []Digest{own}, "a")
		now = now.Add(time.Hour)
	}
}

// Each change of leader began the pause after a failed trial anew.
func TestPauseGoesOnAfterChangeOfLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	d := Digest{1}
	for _, tt := range []struct{ failedAgo, want time.Duration }{
		{0, time.Minute}, {40 * time.Second, 20 * time.Second}, {time.Hour, restoreDelay}, {-time.Hour, time.Minute},
	} {
		r := New(Config{Crashes: 3, TrialPauses: []time.Duration{time.Minute}, TrialFor: 10 * time.Second, QuarantineFor: 24 * time.Hour})
		r.Quarantine(now, d, FailedTrials{[]string{"e1"}, now.Add(-tt.failedAgo)})
		c.Check(r.State(now.Add(tt.want-1), d).IsTrialDue, qt.IsFalse)
		c.Check(r.State(now.Add(tt.want), d).IsTrialDue, qt.IsTrue)
	}
}

// A repeated report of a failed trial ended the trial of another request that shares a part, and blamed the part for it.
func TestRepeatedReportLeavesOtherTrials(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	shared, own, other := Digest{1}, Digest{2}, Digest{3}
	r := New(Config{Crashes: 1, TrialPauses: []time.Duration{time.Minute}, TrialFor: 10 * time.Second, QuarantineFor: time.Hour})
	r.ReportCrash(now, "e1", []Digest{shared, own})
	now = now.Add(sharedTrialDelay)
	c.Check(r.GrantTrial(now, []Digest{shared, own}, "s", "a"), qt.IsTrue)
	r.FailTrial(now, "e2", []Digest{shared, own})
	c.Check(r.GrantTrial(now, []Digest{shared, other}, "s", "b"), qt.IsTrue)
	r.FailTrial(now, "e2", []Digest{shared, own})
	c.Check(r.State(now, shared), qt.Equals, State{Standing: Quarantined, Holder: "b", Own: other})
	c.Check(r.GrantTrial(now, []Digest{shared, {4}}, "s", "a"), qt.IsFalse)
}

// A part that all requests share was refused, when requests that hold it crashed servers on trial: it fails only with the
// second of them, and other requests may clear it before.
func TestFailedTrialBlamesTheRequest(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	shared, own, other := Digest{1}, Digest{2}, Digest{3}
	newRegistry := func() *Registry {
		r := New(Config{Crashes: 1, TrialPauses: []time.Duration{time.Minute}, TrialFor: 10 * time.Second, QuarantineFor: time.Hour})
		r.ReportCrash(now, "e1", []Digest{shared, own, other})
		c.Check(r.GrantTrial(now, []Digest{shared, own}, "s", "a"), qt.IsFalse)
		now = now.Add(sharedTrialDelay)
		c.Check(r.GrantTrial(now, []Digest{shared, own}, "s", "a"), qt.IsTrue)
		r.FailTrial(now, "e2", []Digest{shared, own})
		c.Check(r.State(now, own), qt.Equals, State{Standing: Quarantined})
		c.Check(r.State(now, shared), qt.Equals, State{Standing: Quarantined, IsTrialDue: true})
		return r
	}
	r := newRegistry()
	c.Check(r.GrantTrial(now, []Digest{shared, {4}}, "s", "a"), qt.IsTrue)
	r.PassTrial([]Digest{shared, {4}})
	c.Check(r.State(now, shared), qt.Equals, State{})
	c.Check(r.State(now, own), qt.Equals, State{Standing: Quarantined})

	r = newRegistry()
	now = now.Add(sharedTrialDelay)
	c.Check(r.GrantTrial(now, []Digest{shared, other}, "s", "a"), qt.IsTrue)
	r.FailTrial(now, "e3", []Digest{shared, other})
	c.Check(r.State(now, shared), qt.Equals, State{Standing: Quarantined})
}

func TestDigestsOfTexts(t *testing.T) {
	c := qt.New(t)
	c.Check(DigestOf("a", "bc"), qt.Equals, DigestOf("a", "bc"))
	c.Check(DigestOf("a", "bc"), qt.Not(qt.Equals), DigestOf("ab", "c"))
}
