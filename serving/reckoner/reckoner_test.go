package reckoner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/reckoner"
)

var start = time.Unix(1000, 0)

// Hints are right at the median and often far off: the room that is reckoned covers four of five answers.
func TestExpectedLengthCoversMostAnswers(t *testing.T) {
	c := qt.New(t)
	var l reckoner.Lengths
	c.Check(l.Expect(60, 400), qt.Equals, 90, qt.Commentf("a hint without answers"))
	c.Check(l.Expect(0, 400), qt.Equals, 400, qt.Commentf("neither hint nor answers"))
	c.Check(l.Expect(0, 0), qt.Equals, 0)
	for i := range 100 {
		// Answers from a fifth to three times the hint.
		l.Learn(60, 400, 12+i*168/99)
	}
	enough := 0
	for i := range 100 {
		if 12+i*168/99 <= l.Expect(60, 400) {
			enough++
		}
	}
	c.Check(enough >= 75 && enough <= 95, qt.IsTrue, qt.Commentf("%d of 100", enough))
	c.Check(l.Expect(60, 70), qt.Equals, 70, qt.Commentf("not more than the most"))
	c.Check(l.Expect(0, 400) < 200, qt.IsTrue, qt.Commentf("%d of 400 without a hint", l.Expect(0, 400)))
	l.Learn(60, 400, 0)
	l.Learn(60, 400, -5)
}

func TestFits(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		held, need, capacity int
		want                 bool
	}{
		{0, 100, 100, true}, {0, 101, 100, false}, {1, 89, 100, true}, {1, 90, 100, false}, {-3, 100, 100, true},
	} {
		c.Check(reckoner.Fits(row.held, row.need, row.capacity), qt.Equals, row.want, qt.Commentf("%+v", row))
	}
	c.Check(reckoner.FitsShare(0, 90, 100, 63), qt.IsTrue, qt.Commentf("one request of each entry"))
	c.Check(reckoner.FitsShare(1, 1, 100, 63), qt.IsFalse)
	c.Check(reckoner.FitsShare(10, 10, 2000, 63), qt.IsTrue)
}

func waiter(memory, priority int, deadline time.Duration) *reckoner.Waiter {
	return &reckoner.Waiter{Group: "m/a", Memory: memory, Priority: priority, Arrived: start, Deadline: start.Add(deadline)}
}

// Requests go in order of urgency, then of the time that they have left; a larger one doesn't hold up smaller ones.
func TestOrderOfWaiting(t *testing.T) {
	c := qt.New(t)
	var q reckoner.Queue
	urgent, late, soon, large := waiter(10, 0, 4*time.Second), waiter(10, 1, 8*time.Second), waiter(10, 1, 2*time.Second), waiter(99, 0, time.Second)
	for _, w := range []*reckoner.Waiter{late, soon, urgent, large} {
		q.Add(w)
	}
	now := start.Add(10 * time.Millisecond)
	c.Check(q.IsBehind(now, urgent), qt.IsFalse)
	c.Check(q.IsBehind(now, soon), qt.IsTrue)
	c.Check(q.IsBehind(now, waiter(10, 1, time.Second)), qt.IsTrue, qt.Commentf("a new request comes after an urgent one"))
	other := waiter(10, 1, time.Second)
	other.Group = "m/b"
	c.Check(q.IsBehind(now, other), qt.IsFalse, qt.Commentf("other servers hold its adapter"))
	q.Remove(urgent)
	c.Check(q.IsBehind(now, soon), qt.IsFalse)
	c.Check(q.IsBehind(now, late), qt.IsTrue)
	c.Check(q.IsBehind(start.Add(4*time.Second+time.Millisecond), late), qt.IsTrue, qt.Commentf("both have waited long"))
	q.Remove(soon)
	c.Check(q.IsBehind(start.Add(4*time.Second+time.Millisecond), waiter(10, 0, 9*time.Second)), qt.IsTrue, qt.Commentf("what waited half of its time counts as urgent"))
}

// One request claims room at a time, for a bounded time, and each gets its turn.
func TestClaimsTakeTurns(t *testing.T) {
	c := qt.New(t)
	var q reckoner.Queue
	a, b := waiter(90, 0, 4*time.Second), waiter(90, 1, 4*time.Second)
	q.Add(a)
	q.Add(b)
	claims := func(at time.Duration, w *reckoner.Waiter) bool {
		v, _ := q.Claim(start.Add(at), w)
		return v
	}
	c.Check(claims(100*time.Millisecond, a), qt.IsFalse, qt.Commentf("too early"))
	c.Check(claims(600*time.Millisecond, b), qt.IsFalse, qt.Commentf("the urgent one goes first"))
	c.Check(claims(600*time.Millisecond, a), qt.IsTrue)
	c.Check(claims(700*time.Millisecond, b), qt.IsFalse)
	c.Check(claims(1500*time.Millisecond, a), qt.IsTrue)
	c.Check(claims(1700*time.Millisecond, a), qt.IsFalse, qt.Commentf("its time is over"))
	c.Check(claims(1700*time.Millisecond, b), qt.IsTrue)
	c.Check(claims(2750*time.Millisecond, b), qt.IsFalse)
	c.Check(claims(2750*time.Millisecond, a), qt.IsTrue, qt.Commentf("its second turn"))
	c.Check(claims(5*time.Second, a), qt.IsFalse)
}
