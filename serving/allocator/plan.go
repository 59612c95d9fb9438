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
	a.updateCounts()
	for _, k := range a.sortedWants(now) {
		o, done, ok := a.place(now, k)
		if ok {
			orders = append(orders, o)
		}
		if ok || done {
			delete(a.wants, k)
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

// sortedWants drops expired wants and returns the others: first those that can still meet their deadline, the latest
// deadline first, then late ones, the oldest first, then copies, the most used first.
//
// Under overload, oldest first would make all of them late.
func (a *Allocator) sortedWants(now time.Time) []wantKey {
	keys := make([]wantKey, 0, len(a.wants))
	for k, v := range a.wants {
		if now.Sub(v.last) > wantTTL {
			delete(a.wants, k)
			continue
		}
		keys = append(keys, k)
	}
	loadEnd := now.Add(max(a.fastestFetch, initialFetchTime))
	slices.SortFunc(keys, func(x, y wantKey) int {
		wx, wy := a.wants[x], a.wants[y]
		rx, ry := a.rank(x, wx, loadEnd), a.rank(y, wy, loadEnd)
		switch {
		case rx != ry:
			return rx - ry
		case rx == rankInTime && !wx.deadline.Equal(wy.deadline):
			return wy.deadline.Compare(wx.deadline)
		case rx == rankLate && !wx.since.Equal(wy.since):
			return wx.since.Compare(wy.since)
		}
		if c := cmp.Compare(a.uses(now, y.adapter), a.uses(now, x.adapter)); c != 0 {
			return c
		}
		return strings.Compare(x.adapter.Name, y.adapter.Name)
	})
	return keys
}

// The ranks of wants; lower is loaded first.
const (
	rankInTime = iota
	rankLate
	rankCopy
)

// rank returns the rank of a want whose load would end at loadEnd.
func (a *Allocator) rank(k wantKey, w wantState, loadEnd time.Time) int {
	switch {
	case k.isCopy:
		return rankCopy
	case w.deadline.Before(loadEnd):
		return rankLate
	}
	return rankInTime
}
