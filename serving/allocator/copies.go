package allocator

import (
	"time"

	"redwingstage.org/serving/tracker"
)

const (
	// surveyEvery is how often it is looked for adapters that need one more copy; uses are told ten times a second.
	surveyEvery = 100 * time.Millisecond
	// copyShare is the part of an engine's mean work that one copy of an adapter may bring, so that no engine is busy with
	// one adapter while others are idle.
	copyShare = 0.2
)

// count notes how many engines hold each adapter and how much each engine has to do.
func (a *Allocator) count() {
	clear(a.copies)
	a.running = 0
	for _, e := range a.engines {
		e.running = 0
		for ad, s := range e.slots {
			if s.state == resident || s.state == loading {
				a.copies[ad]++
			}
			for _, n := range s.inUse {
				e.running += n
			}
		}
		a.running += e.running
	}
}

// worth is how often a copy of an adapter is used, if each of its copies is used as often.
func (a *Allocator) worth(now time.Time, ad tracker.Adapter, copies int) float64 {
	return a.rate(now, ad) / float64(max(copies, 1))
}

// load is an engine's running requests in those of the mean engine.
func (a *Allocator) load(e *engine) float64 {
	return float64(e.running+1) * float64(len(a.engines)) / float64(a.running+len(a.engines))
}

// survey asks for one more copy of each adapter whose copies bring an engine too much of its work.
func (a *Allocator) survey(now time.Time) {
	a.count()
	total := make(map[string]float64)
	engines := make(map[string]int)
	services := make(map[tracker.Adapter]string)
	for _, e := range a.engines {
		if !e.synced || e.Leaving {
			continue
		}
		engines[e.Service]++
		for ad, s := range e.slots {
			if s.state == resident {
				services[ad] = e.Service
			}
		}
	}
	for ad, service := range services {
		total[service] += a.rate(now, ad)
	}
	for ad, service := range services {
		n := a.copies[ad]
		if n < engines[service] && a.worth(now, ad, n) > copyShare*total[service]/float64(engines[service]) {
			a.want(now, wantKey{service: service, adapter: ad, copied: true}, time.Time{})
		}
	}
}
