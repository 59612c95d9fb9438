package waiter_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/waiter"
)

func TestWait(t *testing.T) {
	c := qt.New(t)
	c.Check(waiter.Wait(context.Background(), time.Millisecond), qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(waiter.Wait(ctx, time.Hour), qt.IsFalse)
}
