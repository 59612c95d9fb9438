package allocator

import "time"

const (
	// fetchesPerEngine is how many adapters may be on their way from the store at once for each engine, at first and at the
	// least. More than the store serves at full speed only take longer each, and what is wanted most should come first, so
	// the bound follows the times that fetches take.
	fetchesPerEngine    = 2
	minFetchesPerEngine = 1
	maxFetchesPerEngine = 4
	// slowFetch is how much longer than the fastest ever the fastest of some fetches takes when the store is beyond its full
	// speed. Then all fetches share the store, so that a bound slightly too high costs little and one too low leaves it
	// idle. Single fetches tell nothing: their ends may be seen late.
	slowFetch = 1.15
	// fetchWindow is how many fetches are judged together, fetchDecrease and fetchIncrease what moves the bound after slow
	// ones and after others.
	fetchWindow   = 16
	fetchDecrease = 0.85
	fetchIncrease = 0.1
)

// judgeFetch adapts how many fetches may be under way once some have ended.
func (a *Allocator) judgeFetch(took time.Duration) {
	if a.fastest == 0 || took < a.fastest {
		a.fastest = took
	}
	if a.window.n == 0 || took < a.window.fastest {
		a.window.fastest = took
	}
	if a.window.n++; a.window.n < fetchWindow {
		return
	}
	if float64(a.window.fastest) > slowFetch*float64(a.fastest) {
		a.perEngine = max(a.perEngine*fetchDecrease, minFetchesPerEngine)
	} else {
		a.perEngine = min(a.perEngine+fetchIncrease, maxFetchesPerEngine)
	}
	a.window.n = 0
}

// fetches returns how many adapters are on their way from the store.
func (a *Allocator) fetches() int {
	n := 0
	for _, e := range a.engines {
		for _, s := range e.slots {
			if s.state == loading && s.fetched {
				n++
			}
		}
	}
	return n
}
