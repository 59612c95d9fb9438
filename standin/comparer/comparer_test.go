package comparer

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newShortScenario returns a scenario that is brief enough for a test.
func newShortScenario(change func(*Scenario)) Scenario {
	sc := Scenario{Name: "steady", Rate: meanRate, Zipf: zipfExponent, Warmup: 20 * time.Second, Length: 60 * time.Second}
	if change != nil {
		change(&sc)
	}
	return sc
}

func TestRunsAreRepeatable(t *testing.T) {
	c := qt.New(t)
	sc := newShortScenario(func(s *Scenario) { s.Stragglers, s.Slowdown, s.LongShare = 1, stragglerSlowdown, 0.05 })
	a, b := Run(Deployments()[0], sc, Policies()[0], 3), Run(Deployments()[0], sc, Policies()[0], 3)
	c.Assert(*a, qt.DeepEquals, *b)
	c.Assert(a.Requests > 500, qt.IsTrue)
}

func TestPoliciesCauseNoEngineViolations(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := Run(Deployments()[1], newShortScenario(func(s *Scenario) { s.CrashInterval = 15 * time.Second }), p, 1)
			c.Assert(r.Violations, qt.Equals, 0.0)
			c.Assert(r.Lost, qt.Equals, 0.0)
		})
	}
}

func TestBoundIsBelowEveryPolicy(t *testing.T) {
	c := qt.New(t)
	sc := newShortScenario(nil)
	deployment := Deployments()[0]
	reqs := newRequests(deployment, sc, 1)
	future := IdealBound(deployment, sc, reqs, KnowsFuture)
	c.Assert(future.StallShare > 0, qt.IsTrue)
	for _, p := range Policies()[:3] {
		r := Run(deployment, sc, p, 1)
		c.Check(r.StallShare >= future.StallShare, qt.IsTrue, qt.Commentf("%s: %v < %v", p.Name, r.StallShare, future.StallShare))
	}
}

func TestExcessSumsMatchStallsAndSlots(t *testing.T) {
	c := qt.New(t)
	deployment := Deployments()[0]
	r := Run(deployment, newShortScenario(func(s *Scenario) { s.Stragglers, s.Slowdown = 2, stragglerSlowdown }), Policies()[0], 2)
	x, stalled, late := r.Excess, 0.0, 0.0
	for i := range causeCount {
		c.Check(x.StalledBeyondIdeal[i] <= x.Stalled[i] && x.StalledBeyondIdealPast[i] <= x.Stalled[i], qt.IsTrue, qt.Commentf("%s", Cause(i)))
		stalled += x.Stalled[i]
		late += x.Late[i]
	}
	c.Assert(x.Stalled[CauseNone], qt.Equals, 0.0)
	c.Assert(stalled/r.Requests, qt.Equals, r.StallShare)
	c.Assert(late, qt.Equals, float64(int(r.Requests)/100))
	slots := x.Distinct + x.Copies + x.Loading + x.Free
	c.Assert(math.Abs(slots-float64(deployment.Engines*deployment.Slots)) < 0.001, qt.IsTrue, qt.Commentf("%v slots", slots))
	c.Assert(x.DetectSeconds > 0 && x.UndetectedShare < 1, qt.IsTrue)
}
