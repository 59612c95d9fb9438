package waiter

import (
	"context"
	"time"
)

// Wait returns after d, or with false at once when ctx ends before.
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
