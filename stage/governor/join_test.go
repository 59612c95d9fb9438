package governor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Handlers read the joiner without a lock, so that it must stay the same while leaderships come and go.
func TestALeadershipForgetsWhatTheLastOneOffered(t *testing.T) {
	c := qt.New(t)
	h := lead(c, &scripted{}, 1)
	j := h.joiner
	j.offered["a"], j.heard[7], j.busy = 5, time.Now(), true
	h.begin(time.Now(), 1, 2)
	c.Check(h.joiner == j, qt.IsTrue)
	c.Check(j.offered, qt.HasLen, 0)
	c.Check(j.heard, qt.HasLen, 0)
	c.Check(j.busy, qt.IsFalse)
}

// A change that an earlier leadership began says nothing of the one that is under way.
func TestAnEarlierChangeDoesNotEndALaterOne(t *testing.T) {
	c := qt.New(t)
	h := lead(c, &scripted{}, 1)
	j := h.joiner
	ended := make(chan struct{})
	j.start(func(context.Context) { <-ended })
	j.reset()
	j.busy = true
	close(ended)
	(<-h.events)(time.Now())
	c.Check(j.busy, qt.IsTrue)
}
