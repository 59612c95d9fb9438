package allocator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingstage.org/serving/tracker"
)

// The weights of an engine's score, relative to one load in flight there: sameZoneScore for an engine in the caller's
// data centre, loadPenalty for each multiple of the mean engine's load, up to maxScoredLoad multiples.
const (
	sameZoneScore = 0.5
	loadPenalty   = 1.5
	maxScoredLoad = 4
)

// candidate is an engine that could load an adapter now.
type candidate struct {
	engine *engine
	victim tracker.Adapter
	score  float64
}

// place chooses the engine for an adapter; done reports that no order is needed.
func (a *Allocator) place(now time.Time, k wantKey) (o Order, done, ok bool) {
	if a.isSatisfied(now, k) {
		return Order{}, true, false
	}
	best := a.bestCandidate(now, k)
	if best.engine == nil {
		return Order{}, k.isCopy, false
	}
	return a.startLoad(now, k, best), true, true
}

// isSatisfied reports whether nothing needs to be ordered: the adapter is loaded or being loaded, or one more copy of
// it saves less than it costs.
func (a *Allocator) isSatisfied(now time.Time, k wantKey) bool {
	if k.isCopy && a.uses(now, k.adapter) < minCopyUses {
		return true
	}
	version, excluded := a.version(k.adapter), a.wants[k].excluded
	for id, e := range a.engines {
		s := e.slots[k.adapter]
		if !k.fits(e) || e.Leaving || s == nil || slices.Contains(excluded, id) {
			continue
		}
		if s.state == draining && len(s.inUse) == 0 && !k.isCopy {
			// It is replaced once useReportDelay confirms that it is idle.
			return true
		}
		if s.version < version {
			continue
		}
		if s.state == loading || !k.isCopy && s.state == resident {
			return true
		}
	}
	return false
}

// bestCandidate returns the candidate with the highest score, or one without an engine.
func (a *Allocator) bestCandidate(now time.Time, k wantKey) candidate {
	awaitHolder := !k.isCopy && now.Sub(a.wants[k].since) < holderWait && a.hasRecentHolder(k)
	fetchLimitReached := float64(a.fetches()) >= a.fetchLimitPerEngine*float64(len(a.engines))
	var best candidate
	for _, id := range slices.Sorted(maps.Keys(a.engines)) {
		e := a.engines[id]
		if !a.canLoad(e, k) || slices.Contains(a.wants[k].excluded, id) || (awaitHolder || fetchLimitReached) && !e.onDisk.Contains(k.adapter) {
			continue
		}
		v, free := a.victim(now, e, k)
		if !free && v.Name == "" {
			continue
		}
		if score := a.score(now, e, k, v); best.engine == nil || score > best.score {
			best = candidate{engine: e, victim: v, score: score}
		}
	}
	return best
}

// canLoad reports whether an engine may be ordered to load the adapter.
func (a *Allocator) canLoad(e *engine, k wantKey) bool {
	_, hasModel := e.models[k.adapter.Model]
	return k.fits(e) && !e.Leaving && e.synced && hasModel && e.slots[k.adapter] == nil && e.loadsInFlight < a.cfg.MaxLoadsPerEngine
}

// startLoad records a load and the eviction that frees its slot, and returns the order.
func (a *Allocator) startLoad(now time.Time, k wantKey, c candidate) Order {
	e, version := c.engine, a.version(k.adapter)
	a.changedEngines[e.Key.ID] = true
	recent := e.onDisk.Contains(k.adapter)
	e.slots[k.adapter] = &slot{version: version, state: loading, since: now, fromStore: !recent}
	e.loadsInFlight++
	if c.victim.Name != "" {
		e.slots[c.victim].state, e.slots[c.victim].since = evicting, now
	}
	return Order{
		Engine: e.Key.ID, Adapter: k.adapter, Version: version, Evict: c.victim, ExpectedOnDisk: recent, want: k,
		Cause: a.cause(k, recent), Waited: now.Sub(a.wants[k].since), deadline: a.wants[k].deadline,
	}
}

func (a *Allocator) cause(k wantKey, recent bool) Cause {
	switch {
	case k.isCopy:
		return CauseCopy
	case recent:
		return CauseReloaded
	case a.hasRecentHolder(k):
		return CauseHolderUnavailable
	}
	return CauseFirst
}

// hasRecentHolder reports whether an engine that accepts work held the adapter recently and doesn't hold it now.
func (a *Allocator) hasRecentHolder(k wantKey) bool {
	for _, e := range a.engines {
		if k.fits(e) && !e.Leaving && e.synced && e.slots[k.adapter] == nil && e.onDisk.Contains(k.adapter) {
			return true
		}
	}
	return false
}

// score prefers engines that held the adapter recently, since others fetch it from the store, then the caller's data
// centre, engines with less load, and those whose victim is used least.
func (a *Allocator) score(now time.Time, e *engine, k wantKey, victim tracker.Adapter) float64 {
	score := 0.0
	if e.onDisk.Contains(k.adapter) {
		score += 8
	}
	if e.Zone == k.zone {
		score += sameZoneScore
	}
	score -= float64(e.loadsInFlight) + loadPenalty*min(a.relativeLoad(e), maxScoredLoad)
	if victim.Name != "" {
		score -= min(a.usesPerCopy(now, victim, a.copies[victim])/4, 2)
	} else {
		score++
	}
	// Hashing engine and adapter spreads adapters over engines that are equal otherwise.
	h := xxhash.Sum64String(e.Key.ID + "\x00" + k.adapter.Name)
	return score + float64(h>>11)/float64(1<<53)
}

// victim returns the adapter to evict, none if there isn't one, and whether the engine has a free slot. Only an adapter
// that the engine holds makes way: an eviction of one that it may not hold, or of one beyond its capacity, frees no slot.
func (a *Allocator) victim(now time.Time, e *engine, k wantKey) (tracker.Adapter, bool) {
	switch n := e.occupied(); {
	case n < e.capacity.Adapters:
		return tracker.Adapter{}, true
	case n > e.capacity.Adapters:
		return tracker.Adapter{}, false
	}
	var leastUsed tracker.Adapter
	leastUses := math.Inf(1)
	for ad, s := range e.slots {
		if s.state != resident && s.state != draining || !a.isIdle(now, s) {
			continue
		}
		if r := a.usesPerCopy(now, ad, a.copies[ad]); r < leastUses || r == leastUses && ad.Name < leastUsed.Name {
			leastUsed, leastUses = ad, r
		}
	}
	if k.isCopy && leastUses*minCopyUseRatio > a.usesPerCopy(now, k.adapter, a.copies[k.adapter]+1) {
		return tracker.Adapter{}, false
	}
	return leastUsed, false
}
