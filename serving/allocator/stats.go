package allocator

import (
	"time"

	"redwingstage.org/serving/tracker"
)

// Stats sums up what stands in the way of those who wait.
type Stats struct {
	// Wants are adapters that are waited for, Copies more copies that are asked for.
	Wants, Copies int
	// Fetches are adapters on their way from the store, Bound is how many may be.
	Fetches, Bound int
	// Places is the number of adapters that all engines may hold, InUse those that requests use now, Idle those that none
	// uses and that may make way.
	Places, InUse, Idle int
	// Distinct is how many different adapters engines hold.
	Distinct int
}

// Stats returns what stands in the way of those who wait.
func (a *Allocator) Stats(now time.Time) Stats {
	s := Stats{Fetches: a.fetches(), Bound: int(a.perEngine * float64(len(a.engines)))}
	for k := range a.wants {
		if k.copied {
			s.Copies++
		} else {
			s.Wants++
		}
	}
	distinct := make(map[tracker.Adapter]bool)
	for _, e := range a.engines {
		s.Places += e.room.Adapters
		for ad, sl := range e.slots {
			distinct[ad] = true
			switch {
			case len(sl.inUse) > 0:
				s.InUse++
			case sl.state == resident && now.Sub(sl.since) >= settleTime:
				s.Idle++
			}
		}
	}
	s.Distinct = len(distinct)
	return s
}
