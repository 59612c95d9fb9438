package allocator

import "time"

const (
	// initialFetchesPerEngine is the initial number of fetches from the store that may be in flight per engine; the
	// limit then follows the fetch times between minFetchesPerEngine and maxFetchesPerEngine. More fetches than the
	// store serves at full speed only take longer each, and the most wanted adapters should come first.
	initialFetchesPerEngine = 2
	minFetchesPerEngine     = 1
	maxFetchesPerEngine     = 4
	// slowFetchRatio is the ratio of the fastest fetch in a window to the fastest ever above which the store is
	// overloaded. Then all fetches share the store, so a limit slightly too high costs little and one too low leaves it
	// idle. Single fetches are no evidence: their ends may be seen late.
	slowFetchRatio = 1.15
	// fetchWindow is the number of fetches in a window, fetchDecreaseFactor and fetchIncreaseStep how the limit changes
	// after a slow window and after others.
	fetchWindow         = 16
	fetchDecreaseFactor = 0.85
	fetchIncreaseStep   = 0.1
)

// recordFetch records a fetch time and adapts the limit at the end of each window.
func (a *Allocator) recordFetch(took time.Duration) {
	if a.fastestFetch == 0 || took < a.fastestFetch {
		a.fastestFetch = took
	}
	if a.window.n == 0 || took < a.window.fastest {
		a.window.fastest = took
	}
	if a.window.n++; a.window.n < fetchWindow {
		return
	}
	if float64(a.window.fastest) > slowFetchRatio*float64(a.fastestFetch) {
		a.fetchLimitPerEngine = max(a.fetchLimitPerEngine*fetchDecreaseFactor, minFetchesPerEngine)
	} else {
		a.fetchLimitPerEngine = min(a.fetchLimitPerEngine+fetchIncreaseStep, maxFetchesPerEngine)
	}
	a.window.n = 0
}

// fetches returns the number of fetches from the store in flight.
func (a *Allocator) fetches() int {
	n := 0
	for _, e := range a.engines {
		for _, s := range e.slots {
			if s.isFetch() {
				n++
			}
		}
	}
	return n
}

// isFetch reports whether the adapter is being fetched from the store.
func (s *slot) isFetch() bool { return s.state == loading && s.fromStore }

// fetchLimitReached reports whether no fetch may start; survey and startLoad count those in flight.
func (a *Allocator) fetchLimitReached() bool {
	return float64(a.fetching) >= a.fetchLimitPerEngine*float64(len(a.engines))
}
