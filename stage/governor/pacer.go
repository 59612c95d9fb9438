package governor

import "time"

// workShare is the part of the control goroutine's time that one kind of work may take, one in workShare: the rest is for sessions, the
// ends of orders and other work.
const workShare = 4

// pacer bounds how often a kind of work is done whose time grows with what waits for it.
type pacer struct {
	// least is the shortest time from one begin to the next.
	least  time.Duration
	nextAt time.Time
	// spent is the time that the work has taken.
	spent time.Duration
}

// wait returns the time until the work may be done again, 0 if it may now.
func (p *pacer) wait(now time.Time) time.Duration { return max(p.nextAt.Sub(now), 0) }

// end records that work that began at a time has ended, and returns how long it took.
func (p *pacer) end(began time.Time) time.Duration {
	took := time.Since(began)
	p.spent += took
	p.nextAt = began.Add(max(p.least, workShare*took))
	return took
}
