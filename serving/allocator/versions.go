package allocator

import (
	"maps"
	"slices"
	"time"

	"redwingstage.org/serving/tracker"
)

// SetVersion sets the version in force of an adapter; engines with an older one get it one after another.
func (a *Allocator) SetVersion(ad tracker.Adapter, version int) {
	if version > a.versions[ad] {
		a.versions[ad] = version
	}
}

// version returns the version of an adapter to load; versions start at 1.
func (a *Allocator) version(ad tracker.Adapter) int { return max(a.versions[ad], 1) }

// replaceVersions orders engines with older versions to load the version in force.
//
// An engine that is ordered to replace an adapter in use carries out no other order until its last request has ended.
// So older copies are drained first, as many at once as there are newer copies, and replaced once idle. A newer copy need
// not have the version in force: while versions follow each other fast, hardly any has. Where no engine has the newest
// version, an engine without the adapter is ordered to load it.
func (a *Allocator) replaceVersions(now time.Time) []Order {
	if len(a.versions) == 0 {
		return nil
	}
	var out []Order
	residentVersions, drainingCopies := a.countVersions()
	for _, id := range slices.Sorted(maps.Keys(a.engines)) {
		e := a.engines[id]
		for ad, s := range e.slots {
			if !e.synced || s.version >= a.version(ad) || s.state != resident && s.state != draining {
				continue
			}
			k := wantKey{service: e.Service, adapter: ad, zone: e.Zone}
			switch {
			case s.state == draining && a.isIdle(now, s) && e.loadsInFlight < a.cfg.MaxLoadsPerEngine:
				s.state, s.since = loading, now
				a.changedEngines[id] = true
				e.loadsInFlight++
				out = append(out, Order{Engine: id, Adapter: ad, Version: a.version(ad), Cause: CauseNewVersion, want: k})
			case s.state == resident && (len(s.inUse) == 0 || drainingCopies[ad] < countAbove(residentVersions[ad], s.version)):
				s.state, s.since = draining, now
				a.changedEngines[id] = true
				drainingCopies[ad]++
			case s.state == resident && countAbove(residentVersions[ad], a.version(ad)-1) == 0:
				a.recordWant(now, k, now.Add(versionWait))
			}
		}
	}
	return out
}

// countVersions returns the versions of each adapter that engines may go on using, and the number of draining copies.
func (a *Allocator) countVersions() (residentVersions map[tracker.Adapter][]int, drainingCopies map[tracker.Adapter]int) {
	residentVersions, drainingCopies = make(map[tracker.Adapter][]int), make(map[tracker.Adapter]int)
	for _, e := range a.engines {
		for ad, s := range e.slots {
			switch {
			case s.state == draining:
				drainingCopies[ad]++
			case s.state == resident && !e.Leaving && a.versions[ad] > 0:
				residentVersions[ad] = append(residentVersions[ad], s.version)
			}
		}
	}
	return residentVersions, drainingCopies
}

// countAbove returns how many versions are above v.
func countAbove(versions []int, v int) int {
	n := 0
	for _, have := range versions {
		if have > v {
			n++
		}
	}
	return n
}

// isIdle reports whether no request uses an adapter, after enough time for all entries to have reported.
func (a *Allocator) isIdle(now time.Time, s *slot) bool {
	return len(s.inUse) == 0 && now.Sub(s.since) >= useReportDelay
}
