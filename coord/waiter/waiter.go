package waiter

import (
	"context"
	"time"
)

// Wait returns true after d, or false as soon as ctx ends.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
