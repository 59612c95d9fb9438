package allocator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingstage.org/serving/tracker"
)

// The weights of an engine's score, in those of one load that is under way there: that it is in the caller's data centre,
// and each time that it has the mean engine's work to do, up to a bound.
const (
	zoneScore    = 0.5
	loadScore    = 1.5
	maxLoadScore = 4
)

// candidate is an engine that could load an adapter now.
type candidate struct {
	engine *engine
	victim tracker.Adapter
	score  float64
}

// place chooses the engine for an adapter; done says that no order is needed.
func (a *Allocator) place(now time.Time, k wantKey) (o Order, done, ok bool) {
	if a.isSettled(now, k) {
		return Order{}, true, false
	}
	best := a.best(now, k)
	if best.engine == nil {
		return Order{}, k.copied, false
	}
	return a.begin(now, k, best), true, true
}

// isSettled reports whether nothing needs to be ordered: the adapter is there or under way, or one more copy of it saves
// less than it costs.
func (a *Allocator) isSettled(now time.Time, k wantKey) bool {
	if k.copied && a.rate(now, k.adapter) < minCopyRate {
		return true
	}
	version, except := a.version(k.adapter), a.wants[k].except
	for id, e := range a.engines {
		s := e.slots[k.adapter]
		if e.Service != k.service || e.Leaving || s == nil || slices.Contains(except, id) {
			continue
		}
		if s.state == retiring && len(s.inUse) == 0 && !k.copied {
			// It is replaced as soon as it is idle for sure.
			return true
		}
		if s.version < version {
			continue
		}
		if s.state == loading || !k.copied && s.state == resident {
			return true
		}
	}
	return false
}

// best returns the candidate with the highest score, if there is one.
func (a *Allocator) best(now time.Time, k wantKey) candidate {
	patient := !k.copied && now.Sub(a.wants[k].since) < holderWait && a.isHeld(k)
	limited := float64(a.fetches()) >= a.perEngine*float64(len(a.engines))
	var best candidate
	for _, id := range slices.Sorted(maps.Keys(a.engines)) {
		e := a.engines[id]
		if !a.takes(e, k) || slices.Contains(a.wants[k].except, id) || (patient || limited) && !e.shelf.Contains(k.adapter) {
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

// takes reports whether an engine may be ordered to load the adapter.
func (a *Allocator) takes(e *engine, k wantKey) bool {
	_, hasModel := e.models[k.adapter.Model]
	return e.Service == k.service && !e.Leaving && e.synced && hasModel && e.slots[k.adapter] == nil && e.busy < a.cfg.Transit
}

// begin enters a load, and the eviction that makes way for it.
func (a *Allocator) begin(now time.Time, k wantKey, c candidate) Order {
	e, version := c.engine, a.version(k.adapter)
	a.touched[e.Key.ID] = true
	recent := e.shelf.Contains(k.adapter)
	e.slots[k.adapter] = &slot{version: version, state: loading, since: now, fetched: !recent}
	e.busy++
	if c.victim.Name != "" {
		e.slots[c.victim].state, e.slots[c.victim].since = evicting, now
	}
	return Order{
		Engine: e.Key.ID, Adapter: k.adapter, Version: version, Evict: c.victim, Recent: recent, want: k,
		Cause: a.cause(k, recent), Waited: now.Sub(a.wants[k].since), due: a.wants[k].due,
	}
}

func (a *Allocator) cause(k wantKey, recent bool) Cause {
	switch {
	case k.copied:
		return Copied
	case recent:
		return Back
	case a.isHeld(k):
		return Away
	}
	return First
}

// isHeld reports whether an engine that takes work held the adapter lately and could take it back.
func (a *Allocator) isHeld(k wantKey) bool {
	for _, e := range a.engines {
		if e.Service == k.service && !e.Leaving && e.synced && e.slots[k.adapter] == nil && e.shelf.Contains(k.adapter) {
			return true
		}
	}
	return false
}

// score prefers engines that held the adapter lately, since others fetch it from the store, then the caller's data
// centre, those that have less to do, and those whose victim is used least.
func (a *Allocator) score(now time.Time, e *engine, k wantKey, victim tracker.Adapter) float64 {
	score := 0.0
	if e.shelf.Contains(k.adapter) {
		score += 8
	}
	if e.Zone == k.zone {
		score += zoneScore
	}
	score -= float64(e.busy) + loadScore*min(a.load(e), maxLoadScore)
	if victim.Name != "" {
		score -= min(a.worth(now, victim, a.copies[victim])/4, 2)
	} else {
		score++
	}
	// A fixed order by adapter spreads adapters over engines that are equal otherwise.
	h := xxhash.Sum64String(e.Key.ID + "\x00" + k.adapter.Name)
	return score + float64(h>>11)/float64(1<<53)
}

// victim returns the adapter that would make way, or that there is a free slot.
func (a *Allocator) victim(now time.Time, e *engine, k wantKey) (tracker.Adapter, bool) {
	if len(e.slots) < e.room.Adapters {
		return tracker.Adapter{}, true
	}
	var worst tracker.Adapter
	worstRate := math.Inf(1)
	for ad, s := range e.slots {
		if s.state == doubtful {
			// An order to unload it makes sure of it.
			return ad, false
		}
		if s.state != resident && s.state != retiring || !a.isIdle(now, s) {
			continue
		}
		if r := a.worth(now, ad, a.copies[ad]); r < worstRate || r == worstRate && ad.Name < worst.Name {
			worst, worstRate = ad, r
		}
	}
	if k.copied && worstRate*copyFactor > a.worth(now, k.adapter, a.copies[k.adapter]+1) {
		return tracker.Adapter{}, false
	}
	return worst, false
}
