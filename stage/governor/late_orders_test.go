package governor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
)

const (
	lateOrderSeeds = 60
	// lateOrdersEnd is when the last drawn disruption ends.
	lateOrdersEnd = 90 * time.Second
	// calmTime is how long adapters are wanted afterwards, and quietTime how long the last loads may take.
	calmTime, quietTime = 40 * time.Second, 10 * time.Second
	enginePlaces        = 6
	// reportAge is the age of the state that reports show.
	reportAge = 300 * time.Millisecond
	fetchTime = 250 * time.Millisecond
)

// placesEngine is an engine that counts its places. While it is disturbed, it loses orders or responses, or executes
// orders seconds later.
type placesEngine struct {
	mu     sync.Mutex
	random *rand.Rand
	key    tracker.Key
	// shareLate, shareLost and shareUnanswered are the parts of the orders that are executed late, never, and without
	// a response.
	shareLate, shareLost, shareUnanswered float64
	orders                                uint64
	fence                                 uint64
	held                                  map[tracker.Adapter]int
	pending                               map[tracker.Adapter]int
	history                               []placesState
	overrun                               string
	// countsFirst is set if reports count orders before they list their adapters.
	countsFirst bool
}

// placesState is the state of a placesEngine from a time on.
type placesState struct {
	at     time.Time
	report EngineReport
}

func newPlacesEngine(seed uint64) *placesEngine {
	e := &placesEngine{random: rand.New(rand.NewPCG(seed, 1)), key: testKey, countsFirst: seed%2 == 1}
	e.restart()
	return e
}

// restart empties the engine and starts its next incarnation.
func (e *placesEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.key.StartedMS++
	e.orders, e.fence, e.history = 0, 0, nil
	e.held, e.pending = make(map[tracker.Adapter]int), make(map[tracker.Adapter]int)
	e.record()
}

// record keeps the current state for later reports.
func (e *placesEngine) record() {
	r := EngineReport{Orders: e.orders, Residents: []tracker.Resident{testBase}}
	for ad, v := range e.held {
		r.Residents = append(r.Residents, tracker.Resident{Adapter: ad, Version: v})
	}
	for ad, v := range e.pending {
		r.Pending = append(r.Pending, tracker.Resident{Adapter: ad, Version: v})
	}
	e.history = append(e.history, placesState{time.Now(), r})
}

// Report implements Engines.
func (e *placesEngine) Report(context.Context, tracker.Instance) (EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.history[0].report
	for _, s := range e.history {
		if time.Since(s.at) >= reportAge {
			r = s.report
		}
	}
	if e.countsFirst {
		r.Orders = e.orders
	}
	return r, nil
}

// Order implements Engines.
func (e *placesEngine) Order(ctx context.Context, in tracker.Instance, o EngineOrder) (OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Key != e.key {
		return Rejected, nil
	}
	switch x := e.random.Float64(); {
	case x < e.shareLate:
		time.AfterFunc(2*time.Second+time.Duration(e.random.Int64N(int64(10*time.Second))), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if in.Key == e.key {
				e.execute(o)
			}
		})
	case x < e.shareLate+e.shareLost:
	case x < e.shareLate+e.shareLost+e.shareUnanswered:
		e.execute(o)
	default:
		return e.execute(o), nil
	}
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return Rejected, ctx.Err()
}

func (e *placesEngine) execute(o EngineOrder) OrderResult {
	_, isHeld := e.held[o.Adapter]
	version, isPending := e.pending[o.Adapter]
	switch {
	case o.Fence < e.fence:
		return Fenced
	case o.Load && isHeld && e.held[o.Adapter] >= o.Version:
		return InEffect
	case o.Load && isPending && version >= o.Version:
		return Accepted
	case !o.Load && !isHeld && !isPending:
		return InEffect
	case o.ExpectedOrders != e.orders || isPending:
		return Conflict
	}
	e.fence = max(e.fence, o.Fence)
	e.orders++
	defer e.record()
	if !o.Load {
		delete(e.held, o.Adapter)
		return InEffect
	}
	if !isHeld && len(e.held)+len(e.pending) >= enginePlaces && e.overrun == "" {
		e.overrun = fmt.Sprintf("%s as order %d, beside %v and %v", o.Adapter.Name, e.orders, e.held, e.pending)
	}
	delete(e.held, o.Adapter)
	e.pending[o.Adapter] = o.Version
	key := e.key
	time.AfterFunc(fetchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.key == key {
			delete(e.pending, o.Adapter)
			e.held[o.Adapter] = o.Version
			e.record()
		}
	})
	return Accepted
}

func (e *placesEngine) disturb(late, lost, unanswered float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shareLate, e.shareLost, e.shareUnanswered = late, lost, unanswered
}

func (e *placesEngine) state() (key tracker.Key, held int, overrun string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.key, len(e.held), e.overrun
}

func (e *placesEngine) holds(ad tracker.Adapter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.held[ad]
	return ok
}

// Orders without a response used to take places of their own, which were given away when their adapters were unloaded:
// engines were ordered to load more adapters than they have places for.
func TestLateOrdersNeverExceedPlaces(t *testing.T) {
	t.Parallel()
	for seed := range uint64(lateOrderSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playLateOrders(qt.New(t), seed) })
		})
	}
}

// runFor runs the hub's plans and events for d.
func (h *hub) runFor(d time.Duration) {
	h.plan(time.Now())
	for end := time.After(d); ; {
		select {
		case f := <-h.events:
			f(time.Now())
			h.plan(time.Now())
		case <-end:
			return
		}
	}
}

// changeLeader ends the leadership and begins the next one after a time, with a leader that knows nothing.
func (h *hub) changeLeader(epoch uint64, after time.Duration) {
	h.stepDown()
	lastSeen := time.Now()
	time.Sleep(after)
	h.leader = newLeaderState(epoch, time.Now(), &replicatedState{}, testCapacity(enginePlaces))
	h.leader.reportsCompleteAt = lastSeen.Add(lateOrderTime)
}

func playLateOrders(c *qt.C, seed uint64) {
	e := newPlacesEngine(seed)
	random := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(random, 1.2, 4, 60)
	h := newLeadingHub(c, e, enginePlaces)
	epoch, sequence, version := uint64(1), uint64(1), 1
	announce := func() {
		key, _, _ := e.state()
		sequence++
		h.leader.announce(time.Now(), tracker.Instance{Key: key, Service: "s", Addr: "a", Sequence: sequence})
	}
	isDisturbed, wantEvery := false, 30*time.Millisecond+time.Duration(random.Int64N(int64(400*time.Millisecond)))
	start := time.Now()
	nextDisturbance, nextEvent := start, start.Add(4*time.Second)
	for now := start; now.Sub(start) < lateOrdersEnd+calmTime+quietTime; now = time.Now() {
		isOver := now.Sub(start) >= lateOrdersEnd
		switch {
		case isOver:
			e.disturb(0, 0, 0)
		case now.After(nextDisturbance):
			isDisturbed = !isDisturbed
			if isDisturbed {
				e.disturb(0.35*random.Float64(), 0.2*random.Float64(), 0.2*random.Float64())
				nextDisturbance = now.Add(5500 * time.Millisecond)
			} else {
				e.disturb(0, 0, 0)
				nextDisturbance = now.Add(time.Second)
			}
		case now.After(nextEvent):
			nextEvent = now.Add(time.Duration(random.Int64N(int64(8 * time.Second))))
			switch random.IntN(4) {
			case 0:
				e.restart()
			case 1:
				epoch++
				h.changeLeader(epoch, time.Duration(random.Int64N(int64(2*time.Second))))
			default:
				ad := testAdapter(fmt.Sprint("a", zipf.Uint64())).Adapter
				version++
				h.leader.alloc.SetVersion(ad, version)
			}
		}
		announce()
		if res := h.leader.alloc.Residents(testKey.ID); len(res) > 0 {
			// A request for an adapter that the engine lacks is refused, which its entry reports.
			if ad := res[random.IntN(len(res))].Adapter; ad.Name != "" && !e.holds(ad) {
				h.leader.alloc.RecordMissing(testKey.ID, ad)
			}
		}
		if now.Sub(start) < lateOrdersEnd+calmTime {
			h.want(fmt.Sprint("a", zipf.Uint64()))
		}
		h.runFor(wantEvery)
		_, _, overrun := e.state()
		if overrun != "" {
			c.Fatalf("seed %d: after %v the engine of %d places was ordered to load %s", seed, time.Since(start), enginePlaces, overrun)
		}
	}
	_, held, _ := e.state()
	c.Check(held, qt.Equals, enginePlaces, qt.Commentf("seed %d: adapters that are loaded at the end", seed))
	c.Check(h.leader.alloc.Residents(testKey.ID), qt.HasLen, enginePlaces+1, qt.Commentf("seed %d: with the base model", seed))
}
