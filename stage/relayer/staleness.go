package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/stage/governor"
)

const (
	// watchInterval is the interval between two checks of the leader's age.
	watchInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe of another replica, several of which may be unreachable.
	probeTimeout = 200 * time.Millisecond
	// relayReconnectTime is how long after a change of leader this entry's own replica may take to connect to the new one.
	relayReconnectTime = 500 * time.Millisecond
)

// staleAfter returns the leader's age from which this entry looks for another replica.
func (c *controlClient) staleAfter() time.Duration { return governor.StaleAfter(c.applyTime()) }

// applyTime returns the time in which a version must be in force.
func (c *controlClient) applyTime() time.Duration {
	if c.entry.cfg.ApplyTime == 0 {
		return governor.DefaultApplyTime
	}
	return c.entry.cfg.ApplyTime
}

// freshness returns for how long this entry may have lacked versions that are in force elsewhere, 0 if it has them, and how
// long ago the leader is known to have served it, negative if never. Both follow from the last confirmation, of documents that
// could be read: sessions that begin or end bring no knowledge.
func (c *controlClient) freshness(now time.Time) (stale, leaderAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return max(now.Sub(c.startedAt), 1), -1
	}
	stale = c.staleFor(now)
	if !c.unreadSince.IsZero() {
		stale = max(stale, now.Sub(c.unreadSince), 1)
	}
	return stale, max(waiter.Elapsed(now, c.confirmedAt), 0)
}

// staleFor returns how much longer than staleAfter the last confirmation is ago, or 0. The caller holds mu.
func (c *controlClient) staleFor(now time.Time) time.Duration {
	return max(waiter.Elapsed(now, c.confirmedAt)-c.staleAfter(), 0)
}

// watchLeader leaves the session's replica if that one has lost the leader while another one has it. The session is kept
// until then: during a change of leader no replica has one.
func (c *controlClient) watchLeader(ctx context.Context) {
	var w confirmationWatch
	for ctx.Err() == nil {
		waiter.Wait(ctx, watchInterval)
		c.logConfirmation(&w, time.Now())
		current, ok := c.staleReplica(time.Now())
		if !ok || ctx.Err() != nil {
			continue
		}
		if next := c.findLeader(ctx, current); next != "" {
			c.leave(current, next)
		}
	}
}

// findLeader returns the first candidate besides current that has a leader, or "". It probes all at once: the sum of the
// timeouts of silent ones may exceed ApplyTime.
func (c *controlClient) findLeader(ctx context.Context, current string) string {
	addrs := c.candidates(time.Now())
	hasLeader := make([]bool, len(addrs))
	var probes conc.WaitGroup
	for i, addr := range addrs {
		if addr != current {
			probes.Go(func() { hasLeader[i] = c.hasLeader(ctx, addr) })
		}
	}
	probes.Wait()
	if i := slices.Index(hasLeader, true); i >= 0 {
		return addrs[i]
	}
	return ""
}

// staleReplica returns the address of the session's replica if that one has lost the leader.
func (c *controlClient) staleReplica(now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.canLeave(now)
}

// canLeave reports whether the session's replica has lost the leader and the session isn't ending. The caller holds mu.
func (c *controlClient) canLeave(now time.Time) bool {
	return c.inSession && c.cancel != nil && c.staleFor(now) > 0
}

func (c *controlClient) hasLeader(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	link, err := governor.ProbeLink(ctx, addr, c.entry.deps.Dialer)
	return err == nil && link.Age < c.staleAfter() && link.ConnectedFor >= relayReconnectTime
}

// leave ends the session with a replica that is still stale, and connects to next.
func (c *controlClient) leave(stale, next string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr != stale || !c.canLeave(now) {
		return
	}
	c.entry.log.Warn("the control replica has lost the leader, going to another one", next)
	c.failedAt[stale], c.preferred = now, next
	c.cancel()
	c.cancel = nil
}
