package allocator

import (
	"maps"
	"slices"
	"time"

	"redwingstage.org/serving/tracker"
)

// SetVersion says which version of an adapter is in force; engines that hold an older one get it in turn.
func (a *Allocator) SetVersion(ad tracker.Adapter, version int) {
	if version > a.versions[ad] {
		a.versions[ad] = version
	}
}

// version returns the version of an adapter to load; each adapter begins at version 1.
func (a *Allocator) version(ad tracker.Adapter) int { return max(a.versions[ad], 1) }

// replace has engines with older versions take up the newer ones.
//
// An engine that is ordered to replace an adapter in use carries out no other order until its last request has ended.
// So older copies first retire, as many at once as there are newer ones already, and are replaced once they are idle.
// Where no engine has the newer version, one that doesn't hold the adapter is asked to load it.
func (a *Allocator) replace(now time.Time) []Order {
	if len(a.versions) == 0 {
		return nil
	}
	var out []Order
	newer, retired := a.versionCopies()
	for _, id := range slices.Sorted(maps.Keys(a.engines)) {
		e := a.engines[id]
		for ad, s := range e.slots {
			if !e.synced || s.version >= a.version(ad) || s.state != resident && s.state != retiring {
				continue
			}
			k := wantKey{service: e.Service, adapter: ad, zone: e.Zone}
			switch {
			case s.state == retiring && a.isIdle(now, s) && e.busy < a.cfg.Transit:
				s.state, s.since = loading, now
				a.touched[id] = true
				e.busy++
				out = append(out, Order{Engine: id, Adapter: ad, Version: a.version(ad), Cause: Newer, want: k})
			case s.state == resident && (len(s.inUse) == 0 || retired[ad] < newer[ad]):
				s.state, s.since = retiring, now
				a.touched[id] = true
				retired[ad]++
			case s.state == resident && newer[ad] == 0:
				a.want(now, k, now.Add(versionWait))
			}
		}
	}
	return out
}

// versionCopies returns how many engines have the version in force of each adapter, and at how many older ones retire.
func (a *Allocator) versionCopies() (newer, retired map[tracker.Adapter]int) {
	newer, retired = make(map[tracker.Adapter]int), make(map[tracker.Adapter]int)
	for _, e := range a.engines {
		for ad, s := range e.slots {
			switch {
			case s.state == retiring:
				retired[ad]++
			case s.state == resident && s.version >= a.version(ad) && !e.Leaving:
				newer[ad]++
			}
		}
	}
	return newer, retired
}

// isIdle reports whether no request uses an adapter, as far as all processes have told since it could be used last.
func (a *Allocator) isIdle(now time.Time, s *slot) bool {
	return len(s.inUse) == 0 && now.Sub(s.since) >= settleTime
}
