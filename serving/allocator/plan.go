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
	orders := append(a.fetch(now), a.replace(now)...)
	if now.Sub(a.surveyed) >= surveyEvery {
		a.surveyed = now
		a.survey(now)
	}
	if len(a.wants) == 0 {
		return orders
	}
	a.count()
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

// fetch orders engines without a base model, such as those that started anew, to load the one with the fewest copies.
func (a *Allocator) fetch(now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(a.engines)) {
		e := a.engines[id]
		if !e.synced || e.Leaving || len(e.models) > 0 || e.fetching != "" || len(e.room.Models) == 0 {
			continue
		}
		if e.room.LoadsPerSecond > 0 && now.Sub(a.fetched) < time.Duration(float64(time.Second)/e.room.LoadsPerSecond) {
			break
		}
		m := a.rarest(e)
		a.fetched, e.fetching = now, m.Name
		out = append(out, Order{Engine: id, Adapter: tracker.Adapter{Model: m.Name}, Version: 1, Time: m.LoadTime})
	}
	return out
}

// rarest returns the base model of the engine's service that the fewest engines hold or load.
func (a *Allocator) rarest(e *engine) matcher.Model {
	copies := make(map[string]int)
	for _, o := range a.engines {
		if o.Service != e.Service || o.Leaving {
			continue
		}
		copies[o.fetching]++
		for m := range o.models {
			copies[m]++
		}
	}
	return slices.MinFunc(e.room.Models, func(x, y matcher.Model) int { return copies[x.Name] - copies[y.Name] })
}

// sortedWants returns what is wanted and drops what is too old: first what can still come in time, the latest first, then
// what can't, the oldest first, then more copies, the most used first.
//
// When there is more than can be loaded, the oldest first would have all come late.
func (a *Allocator) sortedWants(now time.Time) []wantKey {
	keys := make([]wantKey, 0, len(a.wants))
	for k, v := range a.wants {
		if now.Sub(v.last) > wantTTL {
			delete(a.wants, k)
			continue
		}
		keys = append(keys, k)
	}
	inTime := now.Add(max(a.fastest, fetchTime))
	slices.SortFunc(keys, func(x, y wantKey) int {
		wx, wy := a.wants[x], a.wants[y]
		rx, ry := a.rank(x, wx, inTime), a.rank(y, wy, inTime)
		switch {
		case rx != ry:
			return rx - ry
		case rx == rankInTime && !wx.due.Equal(wy.due):
			return wy.due.Compare(wx.due)
		case rx == rankLate && !wx.since.Equal(wy.since):
			return wx.since.Compare(wy.since)
		}
		if c := cmp.Compare(a.rate(now, y.adapter), a.rate(now, x.adapter)); c != 0 {
			return c
		}
		return strings.Compare(x.adapter.Name, y.adapter.Name)
	})
	return keys
}

// The ranks of what is wanted.
const (
	rankInTime = iota
	rankLate
	rankCopy
)

// rank returns the rank of what is wanted if it comes at a time.
func (a *Allocator) rank(k wantKey, w wanting, at time.Time) int {
	switch {
	case k.copied:
		return rankCopy
	case w.due.Before(at):
		return rankLate
	}
	return rankInTime
}
