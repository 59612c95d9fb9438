package governor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Handlers read hub.joiner without a lock, so that it must not be replaced when a leadership begins.
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

// The end of a membership change from an earlier leadership must not clear busy for the one in progress.
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
