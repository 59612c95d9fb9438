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
	j.assigned["a"], j.adding = 5, true
	h.startLeading(time.Now(), 1, 2)
	c.Check(h.joiner == j, qt.IsTrue)
	c.Check(j.assigned, qt.HasLen, 0)
	c.Check(j.adding, qt.IsFalse)
}

// The end of an addition from an earlier leadership must not clear adding for a later one.
func TestEarlierAdditionDoesNotEndLaterOne(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	j := h.joiner
	ended := make(chan struct{})
	j.startAdding(func(context.Context) { <-ended })
	j.reset()
	j.adding = true
	close(ended)
	(<-h.events)(time.Now())
	c.Check(j.adding, qt.IsTrue)
}
