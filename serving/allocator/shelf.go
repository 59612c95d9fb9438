package allocator

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"redwingstage.org/serving/tracker"
)

const (
	// firstShelved is how many adapters an engine loads from its own disk, for each that it can hold, until loads that
	// were faster or slower than expected tell more; engines were seen to keep six times what they hold. Each such load
	// moves the figure by shelfStep, within minShelved and maxShelved.
	firstShelved = 6
	shelfStep    = 0.05
	minShelved   = 1
	maxShelved   = 64
)

// Holding is what a start of an engine held, so that it loads that faster than from the store.
type Holding struct {
	Engine   tracker.Key       `cbor:"1,keyasint"`
	Adapters []tracker.Adapter `cbor:"2,keyasint"`
}

// Remember takes up what starts of engines held, as recorded by an earlier Allocator.
func (a *Allocator) Remember(list []Holding) {
	for _, h := range list {
		a.past[h.Engine] = append(a.past[h.Engine], h.Adapters...)
	}
}

// TakeHeld returns what engines held that was neither remembered nor returned before.
func (a *Allocator) TakeHeld() []Holding {
	out := make([]Holding, 0, len(a.news))
	for k, list := range a.news {
		out = append(out, Holding{Engine: k, Adapters: list})
	}
	clear(a.news)
	slices.SortFunc(out, func(x, y Holding) int { return strings.Compare(x.Engine.ID, y.Engine.ID) })
	return out
}

// hold notes that an engine loaded an adapter.
func (a *Allocator) hold(e *engine, ad tracker.Adapter) {
	e.shelf.Add(ad, struct{}{})
	a.news[e.Key] = append(a.news[e.Key], ad)
}

// shelfSize returns how many adapters an engine is taken to load from its own disk.
func (a *Allocator) shelfSize(room Room) int { return max(int(a.shelved*float64(room.Adapters)), 1) }

func newShelf(size int) *simplelru.LRU[tracker.Adapter, struct{}] {
	shelf, err := simplelru.NewLRU[tracker.Adapter, struct{}](size, nil)
	if err != nil {
		// The size is at least 1, and the library refuses nothing else.
		panic(err)
	}
	return shelf
}

// learn adapts how many fetches may be under way, and how many adapters engines are taken to load from their own disks, to
// the time that a load took.
func (a *Allocator) learn(e *engine, fetched bool, took time.Duration) {
	if took <= 0 {
		return
	}
	fromStore := a.fastest > 0 && took > a.fastest*9/10
	switch {
	case !fetched && fromStore:
		a.shelved = max(a.shelved-shelfStep, minShelved)
		e.shelf.Resize(a.shelfSize(e.room))
		return
	case !fetched:
		return
	case took < a.fastest/2:
		a.shelved = min(a.shelved+shelfStep, maxShelved)
		e.shelf.Resize(a.shelfSize(e.room))
		return
	}
	a.judgeFetch(took)
}
