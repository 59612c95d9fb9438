package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
)

func testServer(n int) tracker.Key { return tracker.Key{ID: "e", StartedMS: int64(n)} }

// A part that was answered a moment before it began to crash servers was left out of the reports for a minute: an answer
// before a crash only lets the report wait for an answer after it.
func TestAnswerBeforeCrashOnlyDelaysReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	o := NewObserver("n")
	bad, shared, unknown := Digest{1}, Digest{2}, Digest{3}
	o.RecordAnswer(now, []Digest{bad, shared})
	now = now.Add(time.Second)
	o.RecordCrash(now, ServerCrash{Server: testServer(1), Digests: []Digest{bad, shared, unknown}})
	c.Check(o.TakeReports(now), qt.DeepEquals, []ServerCrash{{Server: testServer(1), Digests: []Digest{unknown}}})
	c.Check(o.TakeReports(now), qt.HasLen, 0)
	now = now.Add(answerGrace)
	o.RecordAnswer(now, []Digest{shared})
	c.Check(o.TakeReports(now), qt.DeepEquals, []ServerCrash{
		{Server: testServer(1), Digests: []Digest{unknown}}, {Server: testServer(1), Digests: []Digest{bad}},
	})
}

// Reports were lost with a relay, a full queue or a leader's memory: they are repeated until an answer settles them.
func TestCrashesAreReportedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	o := NewObserver("n")
	bad, sound := Digest{1}, Digest{2}
	both := []ServerCrash{{Server: testServer(1), Digests: []Digest{bad, sound}}}
	o.RecordCrash(now, both[0])
	for range maxReports {
		c.Check(o.TakeReports(now), qt.DeepEquals, both)
		c.Check(o.TakeReports(now), qt.HasLen, 0)
		now = now.Add(time.Minute)
	}
	c.Check(o.TakeReports(now), qt.HasLen, 0)
	o.Reset(now)
	c.Check(o.TakeReports(now), qt.DeepEquals, both)
	// The next leader doesn't list what only an earlier one knew.
	o.SetState(now, bad, State{Standing: Suspect})
	o.SetState(now, sound, State{IsAnswered: true})
	o.SetState(now, bad, State{})
	c.Check(o.TakeReports(now), qt.DeepEquals, []ServerCrash{{Server: testServer(1), Digests: []Digest{bad}}})
	now = now.Add(2 * keepCrashFor)
	o.Reset(now)
	c.Check(o.TakeReports(now), qt.HasLen, 0)
}

// A quarantined digest is sent once for each grant, by its holder and in the request that asked for it.
func TestTrialIsUsedOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	o := NewObserver("n")
	d, sound := Digest{1}, Digest{2}
	admit := func(want Admission, wantTrial, wantRequest bool) {
		c.Helper()
		a, isTrial, mustRequest := o.Admit(now, []Digest{sound, d})
		c.Check([]any{a, isTrial, mustRequest}, qt.DeepEquals, []any{want, wantTrial, wantRequest})
	}
	admit(Admitted, false, false)
	o.SetState(now, d, State{Standing: Quarantined, IsTrialDue: true})
	admit(Undecided, false, true)
	admit(Undecided, false, false)
	o.SetState(now, d, State{Standing: Quarantined, Holder: "other"})
	admit(OnTrialElsewhere, false, false)
	o.SetState(now, d, State{Standing: Quarantined, Holder: "n", Own: d})
	o.SetState(now, d, State{Standing: Quarantined, Holder: "n", Own: d})
	c.Check(o.Check([]Digest{d}), qt.Equals, Admitted)
	a, _, _ := o.Admit(now, []Digest{d, {3}})
	c.Check(a, qt.Equals, OnTrialElsewhere)
	admit(Admitted, true, false)
	admit(OnTrialElsewhere, false, false)
	o.SetState(now, d, State{Standing: Quarantined})
	admit(Refused, false, false)
	c.Check(o.Check([]Digest{d}), qt.Equals, Refused)
	o.SetState(now, d, State{Standing: Quarantined, Holder: "n", Own: d})
	now = now.Add(grantValidFor)
	c.Check(o.TakeExpiredGrants(now), qt.DeepEquals, []Digest{d})
	admit(OnTrialElsewhere, false, false)
}
