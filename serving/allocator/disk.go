package allocator

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"redwingstage.org/serving/tracker"
)

const (
	// initialDiskFactor is how many adapters an engine is assumed to load from its own disk, per adapter that it can
	// hold, until load times show otherwise; engines were seen to keep six times what they hold. Each load that was
	// faster or slower than expected moves the factor by diskFactorStep, within minDiskFactor and maxDiskFactor.
	initialDiskFactor = 6
	diskFactorStep    = 0.05
	minDiskFactor     = 1
	maxDiskFactor     = 64
)

// Holding lists the adapters that one start of an engine held, which it loads faster than from the store.
type Holding struct {
	Engine   tracker.Key       `cbor:"1,keyasint"`
	Adapters []tracker.Adapter `cbor:"2,keyasint"`
}

// RestoreHoldings restores holdings recorded by an earlier Allocator.
func (a *Allocator) RestoreHoldings(list []Holding) {
	for _, h := range list {
		a.restoredHoldings[h.Engine] = append(a.restoredHoldings[h.Engine], h.Adapters...)
	}
}

// TakeNewHoldings returns, sorted by engine ID, the loads that were neither restored nor returned before.
func (a *Allocator) TakeNewHoldings() []Holding {
	out := make([]Holding, 0, len(a.newHoldings))
	for k, list := range a.newHoldings {
		out = append(out, Holding{Engine: k, Adapters: list})
	}
	clear(a.newHoldings)
	slices.SortFunc(out, func(x, y Holding) int { return strings.Compare(x.Engine.ID, y.Engine.ID) })
	return out
}

// recordLoad records that an engine loaded an adapter.
func (a *Allocator) recordLoad(e *engine, ad tracker.Adapter) {
	a.addToDisk(e, ad)
	a.newHoldings[e.Key] = append(a.newHoldings[e.Key], ad)
}

// diskSize returns how many adapters an engine is assumed to load from its own disk.
func (a *Allocator) diskSize(capacity Capacity) int {
	return max(int(a.diskFactor*float64(capacity.Adapters)), 1)
}

// addToDisk records that an engine has an adapter on its disk.
func (a *Allocator) addToDisk(e *engine, ad tracker.Adapter) {
	if !e.onDisk.Contains(ad) {
		a.diskHolders.add(ad, e)
	}
	e.onDisk.Add(ad, struct{}{})
}

// newDiskCache returns the cache of an engine's adapters on disk, whose removals keep diskHolders up to date.
func (a *Allocator) newDiskCache(e *engine, size int) *simplelru.LRU[tracker.Adapter, struct{}] {
	cache, err := simplelru.NewLRU(size, func(ad tracker.Adapter, _ struct{}) { a.diskHolders.remove(ad, e) })
	if err != nil {
		// The size is at least 1, and the library rejects nothing else.
		panic(err)
	}
	return cache
}

// recordLoadTime adapts the fetch limit and the disk factor to the time that a load took.
func (a *Allocator) recordLoadTime(e *engine, fromStore bool, took time.Duration) {
	if took <= 0 {
		return
	}
	slow := a.fastestFetch > 0 && took > a.fastestFetch*9/10
	switch {
	case !fromStore && slow:
		a.diskFactor = max(a.diskFactor-diskFactorStep, minDiskFactor)
		e.onDisk.Resize(a.diskSize(e.capacity))
		return
	case !fromStore:
		return
	case took < a.fastestFetch/2:
		a.diskFactor = min(a.diskFactor+diskFactorStep, maxDiskFactor)
		e.onDisk.Resize(a.diskSize(e.capacity))
		return
	}
	a.recordFetch(took)
}
