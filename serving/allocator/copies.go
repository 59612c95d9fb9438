package allocator

import (
	"time"

	"redwingstage.org/serving/tracker"
)

const (
	// copyCheckInterval is the time between checks for adapters that need one more copy; uses are reported as often.
	copyCheckInterval = 100 * time.Millisecond
	// maxCopyShare is the part of an engine's mean uses that one copy of an adapter may bring, so that no engine is
	// busy with one adapter while others are idle.
	maxCopyShare = 0.2
)

// copies returns the number of engines that hold or load an adapter.
func (a *Allocator) copies(ad tracker.Adapter) int {
	n := 0
	for _, e := range a.holders[ad] {
		if s := e.slots[ad]; s.state == resident || s.state == loading {
			n++
		}
	}
	return n
}

// usesPerCopy returns the decayed uses of each copy of an adapter, if all copies are used equally.
func (a *Allocator) usesPerCopy(now time.Time, ad tracker.Adapter, copies int) float64 {
	return a.uses(now, ad) / float64(max(copies, 1))
}

// SetSpeed records an engine's speed in relation to its service's median; a slow engine counts as loaded.
func (a *Allocator) SetSpeed(id string, speed float64) {
	if e := a.engines[id]; e != nil {
		e.speed = speed
	}
}

// relativeLoad returns an engine's running requests relative to the mean over engines, weighed by its speed.
func (a *Allocator) relativeLoad(e *engine) float64 {
	load := float64(e.running+1) * float64(len(a.engines)) / float64(a.running+len(a.engines))
	if e.speed > 0 {
		load /= e.speed
	}
	return load
}

// requestCopies requests one more copy of each adapter whose copies each exceed maxCopyShare.
func (a *Allocator) requestCopies(now time.Time) {
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
		total[service] += a.uses(now, ad)
	}
	for ad, service := range services {
		n := a.copies(ad)
		if n < engines[service] && a.usesPerCopy(now, ad, n) > maxCopyShare*total[service]/float64(engines[service]) {
			a.recordWant(now, wantKey{service: service, adapter: ad, isCopy: true}, time.Time{})
		}
	}
}
