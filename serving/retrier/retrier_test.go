package retrier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.Unix(1_000_000, 0)

func TestDecide(t *testing.T) {
	refused := Result{Outcome: NotRun, Refused: true, HasMoreCandidates: true}
	last := Result{Outcome: NotRun, Refused: true}
	lost := Result{Outcome: Unknown}
	for _, tt := range []struct {
		name string
		req  Request
		res  Result
		step Step
		out  Outcome
	}{
		{"done", Request{}, Result{Outcome: Done}, Finish, Done},
		{"refused, another candidate", Request{}, refused, Next, 0},
		{"refused by the last candidate", Request{}, last, Retry, 0},
		{"not run, tries used up", Request{Tries: DefaultMaxTries}, last, Finish, NotRun},
		{"quarantined", Request{}, Result{Outcome: NotRun, Refused: true, HasMoreCandidates: true, Final: true}, Finish, NotRun},
		{"lost, idempotent", Request{Idempotent: true}, lost, Retry, 0},
		{"lost, not idempotent", Request{}, lost, Finish, Unknown},
		{"lost, partly delivered", Request{Idempotent: true, Delivered: true}, lost, Finish, Unknown},
		{"not run after one that may have run", Request{Idempotent: true, MayHaveRun: true, Tries: 3}, last, Finish, Unknown},
		{"no time left", Request{Deadline: now.Add(time.Millisecond)}, last, Finish, NotRun},
		{"past its deadline", Request{Deadline: now}, refused, Finish, NotRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := New(Config{}, 1).Decide(now, tt.req, tt.res)
			c.Assert(got.Step, qt.Equals, tt.step)
			c.Assert(got.Outcome, qt.Equals, tt.out)
		})
	}
}

func TestBudgetsBoundRetriesAndHedges(t *testing.T) {
	c := qt.New(t)
	r := New(Config{}, 1)
	retries, hedges := 0, 0
	const requests = 10000
	for range requests {
		r.Begin()
		if r.Decide(now, Request{Idempotent: true}, Result{}).Step == Retry {
			retries++
		}
		if r.TakeHedge() {
			hedges++
		}
	}
	c.Assert(retries <= requests*DefaultRetryShare+DefaultBurst, qt.IsTrue, qt.Commentf("%d", retries))
	c.Assert(hedges <= requests*DefaultHedgeShare+DefaultBurst, qt.IsTrue, qt.Commentf("%d", hedges))
}

func TestHedgeDelayFollowsFirstTokens(t *testing.T) {
	c := qt.New(t)
	r := New(Config{}, 1)
	req := Request{Idempotent: true, Urgent: true}
	_, ok := r.HedgeAfter(req)
	c.Assert(ok, qt.IsFalse)
	for i := range windowSize {
		r.ObserveFirst(time.Duration(i%100) * time.Millisecond * 4)
	}
	d, ok := r.HedgeAfter(req)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d >= 360*time.Millisecond && d <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d))
	_, ok = r.HedgeAfter(Request{Urgent: true})
	c.Assert(ok, qt.IsFalse)
}
