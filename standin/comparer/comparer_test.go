package comparer

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// short returns a scenario that is brief enough for a test.
func short(change func(*Scenario)) Scenario {
	sc := Scenario{Name: "steady", Rate: meanRate, Zipf: exponent, Warmup: 20 * time.Second, Length: 60 * time.Second}
	if change != nil {
		change(&sc)
	}
	return sc
}

func TestRunsAreRepeatable(t *testing.T) {
	c := qt.New(t)
	sc := short(func(s *Scenario) { s.Stragglers, s.Factor, s.LongShare = 1, slowFactor, 0.05 })
	a, b := Run(Teams()[0], sc, Policies()[0], 3), Run(Teams()[0], sc, Policies()[0], 3)
	c.Assert(*a, qt.DeepEquals, *b)
	c.Assert(a.Requests > 500, qt.IsTrue)
}

func TestNoPolicyBreaksEngines(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := Run(Teams()[1], short(func(s *Scenario) { s.CrashEvery = 15 * time.Second }), p, 1)
			c.Assert(r.Violations, qt.Equals, 0.0)
			c.Assert(r.Lost, qt.Equals, 0.0)
		})
	}
}

func TestBoundIsBelowEveryPolicy(t *testing.T) {
	c := qt.New(t)
	sc := short(nil)
	team := Teams()[0]
	reqs := generate(team, sc, 1)
	future := Unavoidable(team, sc, reqs, Future)
	c.Assert(future.Share > 0, qt.IsTrue)
	for _, p := range Policies()[:3] {
		r := Run(team, sc, p, 1)
		c.Check(r.StallShare >= future.Share, qt.IsTrue, qt.Commentf("%s: %v < %v", p.Name, r.StallShare, future.Share))
	}
}

func TestExcessAccountsForStallsAndSlots(t *testing.T) {
	c := qt.New(t)
	team := Teams()[0]
	r := Run(team, short(func(s *Scenario) { s.Stragglers, s.Factor = 2, slowFactor }), Policies()[0], 2)
	x, stalled, late := r.Excess, 0.0, 0.0
	for i := range causes {
		c.Check(x.Beyond[i] <= x.Stalled[i] && x.BeyondPast[i] <= x.Stalled[i], qt.IsTrue, qt.Commentf("%s", Cause(i)))
		stalled += x.Stalled[i]
		late += x.Late[i]
	}
	c.Assert(x.Stalled[CauseNone], qt.Equals, 0.0)
	c.Assert(stalled/r.Requests, qt.Equals, r.StallShare)
	c.Assert(late, qt.Equals, float64(int(r.Requests)/100))
	slots := x.Distinct + x.Copies + x.Loading + x.Free
	c.Assert(math.Abs(slots-float64(team.Engines*team.Slots)) < 0.001, qt.IsTrue, qt.Commentf("%v slots", slots))
	c.Assert(x.Notice > 0 && x.Missed < 1, qt.IsTrue)
}
