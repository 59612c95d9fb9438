package governor

import (
	"context"
	"time"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

const (
	// orderTimeout is when an order without an answer is uncertain; an engine answers within milliseconds.
	orderTimeout = time.Second
	// loadTime and recentLoadTime are how long engines take for an adapter that they didn't hold before, and for one
	// that they did; a longer load is asked about again.
	loadTime       = 250 * time.Millisecond
	recentLoadTime = 26 * time.Millisecond
	// confirmEvery is how often an engine is asked whether a load has ended.
	confirmEvery = 25 * time.Millisecond
	// loadLimit is when a load counts as failed.
	loadLimit = 4 * time.Second
	// evictLimit is how long an eviction may wait for the adapter's last requests.
	evictLimit = time.Second
	maxOrders  = 64
)

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts of engines.
const (
	// Refused means that the order can't be carried out.
	Refused Verdict = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Holds means that what was ordered is so already.
	Holds
	// Conflict means that the engine has taken other orders meanwhile, or is carrying one out.
	Conflict
	// Fenced means that another holder has given orders under a higher fence.
	Fenced
)

// EngineOrder is an order as it goes to an engine.
type EngineOrder struct {
	Load    bool
	Adapter tracker.Adapter
	Version int
	Holder  string
	Fence   uint64
	// Expect is the number of orders that the engine must have taken before; an engine refuses the order otherwise, also
	// when it carries it out late.
	Expect uint64
}

// EngineReport is what an engine tells of its orders.
type EngineReport struct {
	Orders    uint64
	Residents []tracker.Resident
}

// Engines gives orders to engines.
type Engines interface {
	Order(ctx context.Context, in tracker.Instance, o EngineOrder) (Verdict, error)
	Report(ctx context.Context, in tracker.Instance) (EngineReport, error)
}

// worker gives orders to one start of an engine, one after the other.
type worker struct {
	hub    *hub
	target tracker.Instance
	fence  uint64
	orders chan allocator.Order
	ctx    context.Context
	cancel context.CancelFunc
	turn   chan struct{}
	// taken is how many orders the engine has taken; it counts only while sure.
	taken uint64
	sure  bool
}

func newWorker(h *hub, in tracker.Instance) *worker {
	w := &worker{hub: h, target: in, fence: h.desk.era, orders: make(chan allocator.Order, maxOrders), turn: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(h.ctx)
	h.spawn(w.run)
	return w
}

func (w *worker) close() { w.cancel() }

// add queues an order; the allocator bounds how many are under way.
func (w *worker) add(o allocator.Order) {
	select {
	case w.orders <- o:
	default:
		w.ended(o, false)
	}
}

func (w *worker) run() {
	for {
		select {
		case <-w.ctx.Done():
			return
		case o := <-w.orders:
			w.carryOut(o)
		}
	}
}

// ended tells the control goroutine how a load ended.
func (w *worker) ended(o allocator.Order, ok bool) {
	w.hub.spawn(func() {
		w.hub.post(func(now time.Time) {
			if d := w.hub.desk; d != nil && d.era == w.fence {
				d.placing.Loaded(now, o, ok)
				d.diff(o.Engine)
			}
		})
	})
}

func (w *worker) evicted(o allocator.Order, ok bool) {
	w.hub.post(func(now time.Time) {
		if d := w.hub.desk; d != nil && d.era == w.fence {
			d.placing.Evicted(now, o, ok)
			d.diff(o.Engine)
		}
	})
}

// carryOut evicts, orders the load, and has its end awaited while the next order goes out.
func (w *worker) carryOut(o allocator.Order) {
	if o.Evict.Name != "" {
		evict := EngineOrder{Adapter: o.Evict}
		v := w.order(evict, true)
		ok := v == Holds || v != Refused && v != Fenced && w.repeat(evict, v != Accepted, evictLimit)
		w.evicted(o, ok)
		if !ok {
			w.ended(o, false)
			return
		}
	}
	order := EngineOrder{Load: true, Adapter: o.Adapter, Version: o.Version}
	switch w.order(order, true) {
	case Holds:
		w.ended(o, true)
	case Accepted:
		w.hub.spawn(func() {
			first := loadTime
			if o.Recent {
				first = recentLoadTime
			}
			pause(w.ctx, first)
			w.ended(o, w.repeat(order, false, loadLimit))
		})
	default:
		w.ended(o, false)
	}
}

// repeat gives an order until what it says is so; first says that the engine hasn't taken it yet.
func (w *worker) repeat(o EngineOrder, first bool, limit time.Duration) bool {
	for until := time.Now().Add(limit); w.ctx.Err() == nil && time.Now().Before(until); pause(w.ctx, confirmEvery) {
		switch w.order(o, first) {
		case Holds:
			return true
		case Refused, Fenced:
			return false
		case Accepted:
			first = false
		case Conflict:
		}
	}
	return false
}

// order gives one order and keeps count of those that the engine has taken; an order that it is carrying out already,
// and one that changes nothing, count once.
func (w *worker) order(o EngineOrder, first bool) Verdict {
	select {
	case w.turn <- struct{}{}:
	case <-w.ctx.Done():
		return Refused
	}
	defer func() { <-w.turn }()
	ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
	defer cancel()
	if !w.sure {
		report, err := w.hub.deps.Engines.Report(ctx, w.target)
		if err != nil {
			w.hub.log.Error("report of "+w.target.Key.ID, err)
			return Refused
		}
		w.taken, w.sure = report.Orders, true
	}
	o.Holder, o.Fence, o.Expect = w.hub.cfg.Node, w.fence, w.taken
	v, err := w.hub.deps.Engines.Order(ctx, w.target, o)
	w.hub.log.Order(w.target.Key.ID, o.Adapter.Name, o.Load, int(v), o.Expect)
	if err != nil {
		w.hub.log.Error("order at "+w.target.Key.ID, err)
		w.sure = false
		return Conflict
	}
	switch {
	case v == Conflict:
		w.sure = false
	case first && (v == Accepted || v == Holds && !o.Load):
		w.taken++
	}
	return v
}
