package allocator

import (
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

// room is what an engine has room for.
type room struct {
	// open reports that the engine may be ordered to load one more adapter: it has a free slot, or victim makes way.
	open   bool
	victim tracker.Adapter
	// victimUses are the uses of the victim's copy, +Inf without a victim.
	victimUses float64
}

// candidate is an engine that could load an adapter now.
type candidate struct {
	engine *engine
	score  float64
}

// survey updates what plans need of all engines. A plan looks at each engine once, not once for each wanted adapter: the hundreds that
// are wanted under overload would take longer than the time between plans.
func (a *Allocator) survey(now time.Time) {
	a.running, a.fetching, a.open = 0, 0, a.open[:0]
	for _, e := range a.engines {
		e.running = 0
		for _, s := range e.slots {
			e.running += s.running
			if s.isFetch() {
				a.fetching++
			}
		}
		a.running += e.running
		if a.updateRoom(now, e); e.room.open {
			a.open = append(a.open, e)
		}
	}
}

// updateRoom updates what an engine has room for.
func (a *Allocator) updateRoom(now time.Time, e *engine) {
	e.room = room{victimUses: math.Inf(1)}
	if e.Leaving || !e.synced || len(e.models) == 0 || e.loadsInFlight >= a.cfg.MaxLoadsPerEngine {
		return
	}
	switch n := e.occupied(); {
	case n < e.capacity.Adapters:
		e.room.open = true
	case n == e.capacity.Adapters:
		e.room.victim, e.room.victimUses = a.victim(now, e)
		e.room.open = e.room.victim.Name != ""
	}
}

// place chooses the engine for an adapter; done reports that no order is needed.
func (a *Allocator) place(now time.Time, w pendingWant) (o Order, done, ok bool) {
	if a.isSatisfied(now, w) {
		return Order{}, true, false
	}
	best := a.bestCandidate(now, w)
	if best.engine == nil {
		return Order{}, w.isCopy, false
	}
	return a.startLoad(now, w, best.engine), true, true
}

// isSatisfied reports whether nothing needs to be ordered: the adapter is loaded or being loaded, or one more copy of
// it saves less than it costs.
func (a *Allocator) isSatisfied(now time.Time, w pendingWant) bool {
	if w.isCopy && a.uses(now, w.adapter) < minCopyUses {
		return true
	}
	version := a.version(w.adapter)
	for _, e := range a.holders[w.adapter] {
		if !w.fits(e) || e.Leaving || slices.Contains(w.excluded, e.Key.ID) {
			continue
		}
		s := e.slots[w.adapter]
		if s.state == draining && len(s.inUse) == 0 && !w.isCopy {
			// It is replaced once useReportDelay confirms that it is idle.
			return true
		}
		if s.version < version {
			continue
		}
		if s.state == loading || !w.isCopy && s.state == resident {
			return true
		}
	}
	return false
}

// bestCandidate returns the candidate with the highest score, or one without an engine.
func (a *Allocator) bestCandidate(now time.Time, w pendingWant) candidate {
	engines := a.open
	if a.fetchLimitReached() || !w.isCopy && now.Sub(w.since) < holderWait && a.hasRecentHolder(w.wantKey) {
		engines = a.diskHolders[w.adapter]
	}
	copyUses := 0.0
	if w.isCopy {
		copyUses = a.usesPerCopy(now, w.adapter, a.copies(w.adapter)+1)
	}
	var best candidate
	for _, e := range engines {
		if !e.room.suits(w, copyUses) || !a.canLoad(e, w.wantKey) || slices.Contains(w.excluded, e.Key.ID) {
			continue
		}
		if score := a.score(e, w); best.engine == nil || score > best.score {
			best = candidate{engine: e, score: score}
		}
	}
	return best
}

// suits reports whether there is room for an adapter; a copy that is used copyUses times must be worth its victim.
func (r *room) suits(w pendingWant, copyUses float64) bool {
	return r.open && (!w.isCopy || r.victim.Name == "" || r.victimUses*minCopyUseRatio <= copyUses)
}

// canLoad reports whether an engine with room may be ordered to load the adapter.
func (a *Allocator) canLoad(e *engine, k wantKey) bool {
	_, hasModel := e.models[k.adapter.Model]
	return k.fits(e) && hasModel && e.slots[k.adapter] == nil
}

// startLoad records a load and the eviction that frees its slot, and returns the order.
func (a *Allocator) startLoad(now time.Time, w pendingWant, e *engine) Order {
	a.changedEngines[e.Key.ID] = true
	recent, victim, version := e.onDisk.Contains(w.adapter), e.room.victim, a.version(w.adapter)
	cause := a.cause(w.wantKey, recent)
	a.addSlot(e, w.adapter, &slot{version: version, state: loading, since: now, fromStore: !recent})
	e.loadsInFlight++
	if !recent {
		a.fetching++
	}
	if victim.Name != "" {
		e.slots[victim].state, e.slots[victim].since = evicting, now
	}
	a.updateRoom(now, e)
	return Order{
		Engine: e.Key.ID, Adapter: w.adapter, Version: version, Evict: victim, ExpectedOnDisk: recent, want: w.wantKey,
		Cause: cause, Waited: now.Sub(w.since), deadline: w.deadline,
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
	for _, e := range a.diskHolders[k.adapter] {
		if k.fits(e) && !e.Leaving && e.synced && e.slots[k.adapter] == nil {
			return true
		}
	}
	return false
}

// score prefers engines that held the adapter recently, since others fetch it from the store, then the caller's data
// centre, engines with less load, and those whose victim is used least.
func (a *Allocator) score(e *engine, w pendingWant) float64 {
	score := 0.0
	if e.onDisk.Contains(w.adapter) {
		score += 8
	}
	if e.Zone == w.zone {
		score += sameZoneScore
	}
	score -= float64(e.loadsInFlight) + loadPenalty*min(a.relativeLoad(e), maxScoredLoad)
	if e.room.victim.Name != "" {
		score -= min(e.room.victimUses/4, 2)
	} else {
		score++
	}
	// Hashing engine and adapter spreads adapters over engines that are equal otherwise.
	var buf [64]byte
	h := xxhash.Sum64(append(append(append(buf[:0], e.Key.ID...), 0), w.adapter.Name...))
	return score + float64(h>>11)/float64(1<<53)
}

// victim returns the least used adapter that may be evicted and the uses of its copy, none if there isn't one. Only an adapter that
// the engine holds makes way: an eviction of one that it may not hold frees no slot.
func (a *Allocator) victim(now time.Time, e *engine) (leastUsed tracker.Adapter, leastUses float64) {
	leastUses = math.Inf(1)
	for ad, s := range e.slots {
		if s.state != resident && s.state != draining || !a.isIdle(now, s) {
			continue
		}
		if r := a.usesPerCopy(now, ad, a.copies(ad)); r < leastUses || r == leastUses && ad.Name < leastUsed.Name {
			leastUsed, leastUses = ad, r
		}
	}
	return leastUsed, leastUses
}
