package governor

import (
	"context"
	"time"

	"redwingstage.org/coord/waiter"
)

const (
	// watchEvery is the interval of the checks of the control goroutine, and blockedChecks how many in a row must find it without
	// progress: a count, as a process that was suspended must get time for both.
	watchEvery    = 100 * time.Millisecond
	blockedChecks = 20
)

// watchHub hands the lead over while the control goroutine makes no progress: the log would go on leading, but no entry would have
// a session, and no engine would get an order.
func (g *Governor) watchHub(ctx context.Context) {
	ticks, checks := g.hub.ticks.Load(), 0
	for ctx.Err() == nil {
		waiter.Wait(ctx, watchEvery)
		now := g.hub.ticks.Load()
		if now != ticks {
			ticks, checks = now, 0
			continue
		}
		checks++
		if r := g.membership.log(); checks%blockedChecks != 0 || r == nil || !r.Status().IsLeader(time.Now()) {
			continue
		}
		g.log.Warn("the control goroutine is blocked, handing the lead over", "")
		g.membership.transferLeadership()
	}
}
