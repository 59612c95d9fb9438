package allocator

import (
	"time"

	"redwingstage.org/serving/tracker"
)

// Stats counts what delays waiting requests.
type Stats struct {
	// Wants are adapters that requests wait for, Copies the additional copies requested.
	Wants, Copies int
	// Fetches is the number of fetches from the store in flight, FetchLimit their limit.
	Fetches, FetchLimit int
	// Slots is the number of adapters that all engines may hold, InUse the adapters that requests use now, Idle the
	// unused ones that may be evicted.
	Slots, InUse, Idle int
	// Distinct is the number of different adapters that engines hold.
	Distinct int
}

// Stats returns the counts at the time now.
func (a *Allocator) Stats(now time.Time) Stats {
	s := Stats{Fetches: a.fetches(), FetchLimit: int(a.fetchLimitPerEngine * float64(len(a.engines)))}
	for k := range a.wants {
		if k.isCopy {
			s.Copies++
		} else {
			s.Wants++
		}
	}
	distinct := make(map[tracker.Adapter]bool)
	for _, e := range a.engines {
		s.Slots += e.capacity.Adapters
		for ad, sl := range e.slots {
			distinct[ad] = true
			switch {
			case len(sl.inUse) > 0:
				s.InUse++
			case sl.state == resident && now.Sub(sl.since) >= useReportDelay:
				s.Idle++
			}
		}
	}
	s.Distinct = len(distinct)
	return s
}
