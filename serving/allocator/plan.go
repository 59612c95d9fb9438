package allocator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
)

// Plan returns the orders that follow from what is wanted.
func (a *Allocator) Plan(now time.Time) []Order {
	orders := append(a.loadModels(now), a.replaceVersions(now)...)
	if now.Sub(a.copiesCheckedAt) >= copyCheckInterval {
		a.copiesCheckedAt = now
		a.requestCopies(now)
	}
	if len(a.wants) == 0 {
		return orders
	}
	a.survey(now)
	for _, w := range a.sortedWants(now) {
		o, done, ok := a.place(now, w)
		if ok {
			orders = append(orders, o)
		}
		if ok || done {
			delete(a.wants, w.wantKey)
		}
	}
	return orders
}

// loadModels orders engines without a base model, such as restarted ones, to load the one with the fewest copies.
func (a *Allocator) loadModels(now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(a.engines)) {
		e := a.engines[id]
		if !e.synced || e.Leaving || len(e.models) > 0 || e.loadingModel != "" || len(e.capacity.Models) == 0 {
			continue
		}
		if e.capacity.LoadsPerSecond > 0 && now.Sub(a.lastModelLoad) < time.Duration(float64(time.Second)/e.capacity.LoadsPerSecond) {
			break
		}
		m := a.rarestModel(e)
		a.lastModelLoad, e.loadingModel = now, m.Name
		out = append(out, Order{Engine: id, Adapter: tracker.Adapter{Model: m.Name}, Version: 1, ExpectedLoadTime: m.LoadTime})
	}
	return out
}

// rarestModel returns the base model of the engine's service that the fewest engines hold or load.
func (a *Allocator) rarestModel(e *engine) matcher.Model {
	copies := make(map[string]int)
	for _, o := range a.engines {
		if o.Service != e.Service || o.Leaving {
			continue
		}
		copies[o.loadingModel]++
		for m := range o.models {
			copies[m]++
		}
	}
	return slices.MinFunc(e.capacity.Models, func(x, y matcher.Model) int { return copies[x.Name] - copies[y.Name] })
}

// pendingWant is a want that an engine may be ordered for.
type pendingWant struct {
	wantKey
	wantState
	rank int
}

// sortedWants drops wants that have expired or need no order, and returns those that some engine has room for: first those that can
// still meet their deadline, the latest deadline first, then late ones, the oldest first, then copies, the most used first.
//
// Under overload, oldest first would make all of them late.
func (a *Allocator) sortedWants(now time.Time) []pendingWant {
	var wants []pendingWant
	loadEnd := now.Add(max(a.fastestFetch, initialFetchTime))
	for k, v := range a.wants {
		w := pendingWant{wantKey: k, wantState: v}
		switch {
		case now.Sub(v.last) > wantTTL || a.isSatisfied(now, w):
			delete(a.wants, k)
		case len(a.open) > 0 && (!a.fetchLimitReached() || len(a.diskHolders[k.adapter]) > 0):
			w.rank = w.rankAt(loadEnd)
			wants = append(wants, w)
		case k.isCopy:
			delete(a.wants, k)
		}
	}
	slices.SortFunc(wants, func(x, y pendingWant) int {
		switch {
		case x.rank != y.rank:
			return x.rank - y.rank
		case x.rank == rankInTime && !x.deadline.Equal(y.deadline):
			return y.deadline.Compare(x.deadline)
		case x.rank == rankLate && !x.since.Equal(y.since):
			return x.since.Compare(y.since)
		}
		if c := cmp.Compare(a.uses(now, y.adapter), a.uses(now, x.adapter)); c != 0 {
			return c
		}
		return strings.Compare(x.adapter.Name, y.adapter.Name)
	})
	return wants
}

// The ranks of wants; lower is loaded first.
const (
	rankInTime = iota
	rankLate
	rankCopy
)

// rankAt returns the rank of a want whose load would end at loadEnd.
func (w *pendingWant) rankAt(loadEnd time.Time) int {
	switch {
	case w.isCopy:
		return rankCopy
	case w.deadline.Before(loadEnd):
		return rankLate
	}
	return rankInTime
}
