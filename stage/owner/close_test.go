package owner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A task waited for an event that was queued when the event loop had ended, and Close for the task.
func TestAwaitEndsWithTheOwner(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &Owner{inbox: make(chan func(), 1), ctx: ctx}
	returned := make(chan bool, 1)
	go func() {
		_, ok := o.await(func() bool { return true })
		returned <- ok
	}()
	for len(o.inbox) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	select {
	case ok := <-returned:
		c.Check(ok, qt.IsFalse)
	case <-time.After(5 * time.Second):
		c.Error("it waits for an event that no loop handles")
	}
}
