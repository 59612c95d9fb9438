package governor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Handlers read hub.joiner without a lock, so that it must not be replaced when a leadership begins.
func TestNewLeadershipResetsJoiner(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	j := h.joiner
	j.assigned["a"], j.lastReceived[7], j.changing = 5, time.Now(), true
	h.startLeading(time.Now(), 1, 2)
	c.Check(h.joiner == j, qt.IsTrue)
	c.Check(j.assigned, qt.HasLen, 0)
	c.Check(j.lastReceived, qt.HasLen, 0)
	c.Check(j.changing, qt.IsFalse)
}

// The end of a change from an earlier leadership must not clear changing for a later one.
func TestEarlierChangeDoesNotEndLaterOne(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	j := h.joiner
	ended := make(chan struct{})
	j.startChange(func(context.Context) { <-ended })
	j.reset()
	j.changing = true
	close(ended)
	(<-h.events)(time.Now())
	c.Check(j.changing, qt.IsTrue)
}
