package governor

import (
	"context"
	"slices"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	// orderTimeout is when an order without an answer is uncertain; an engine answers within milliseconds, and all others
	// for it wait meanwhile.
	orderTimeout = 300 * time.Millisecond
	// loadTime and recentLoadTime are how long engines take for an adapter that they didn't hold before, and for one
	// that they did; a longer load is asked about again.
	loadTime       = 250 * time.Millisecond
	recentLoadTime = 26 * time.Millisecond
	// confirmEvery is how often an engine is asked whether a load has ended.
	confirmEvery = 25 * time.Millisecond
	// modelConfirmEvery is the same for base models, which take seconds, and modelLoadFactor how much longer than alone
	// one may take beside others.
	modelConfirmEvery = 200 * time.Millisecond
	modelLoadFactor   = 8
	// loadLimit is when a load counts as failed.
	loadLimit = 4 * time.Second
	// evictLimit is how long an eviction may wait for the adapter's last requests.
	evictLimit = time.Second
	// syncPause is the wait before an engine is asked again what it holds.
	syncPause = 300 * time.Millisecond
	// lastOrders is how long after the last word of a leader its orders may still reach engines, and reports may not list
	// them: its lease is shorter than an election, its orders end with it, and reports lag.
	lastOrders = orderTimeout + tickEvery + allocator.ReportLag
	// lagPause is the wait for a report that is younger than the latest order, and lagTries how often it is waited for.
	lagPause = 100 * time.Millisecond
	lagTries = 10
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
	// Orders is how many orders the engine has taken since its start.
	Orders    uint64
	Residents []tracker.Resident
	// Pending are adapters that it is loading.
	Pending []tracker.Resident
}

// Engines gives orders to engines.
type Engines interface {
	Order(ctx context.Context, in tracker.Instance, o EngineOrder) (Verdict, error)
	Report(ctx context.Context, in tracker.Instance) (EngineReport, error)
}

// worker gives orders to one start of an engine, one at a time.
type worker struct {
	hub    *hub
	target tracker.Instance
	fence  uint64
	ctx    context.Context
	cancel context.CancelFunc
	// turn is held while an order or a report is under way; it guards the fields below.
	turn chan struct{}
	// taken is how many orders the engine has taken; it counts only while sure.
	taken  uint64
	sure   bool
	fenced bool
	// oneMore says that the engine may have taken one order more: one to unload what may not have been there, which then
	// counted as none.
	oneMore bool
	// open are loads without an answer that the engine may still carry out: as long as it hasn't taken more orders than they
	// expect.
	open []EngineOrder
	// asking says that the engine is being asked what it holds; the control goroutine sets it.
	asking bool
	// asked says that it was asked before; only one goroutine asks at a time.
	asked bool
	// told says that this leader has taken a report before, or tried to.
	told bool
	// listed is from when reports list all orders of earlier leaders.
	listed time.Time
}

func newWorker(h *hub, in tracker.Instance) *worker {
	w := &worker{hub: h, target: in, fence: h.desk.era, listed: h.desk.listed, turn: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(h.ctx)
	return w
}

func (w *worker) close() { w.cancel() }

// post has f run by the control goroutine while the worker's era and its start of the engine last.
func (w *worker) post(f func(now time.Time, d *desk)) {
	w.hub.post(func(now time.Time) {
		d := w.hub.desk
		if d == nil || d.era != w.fence || w.ctx.Err() != nil {
			return
		}
		if in, ok := d.engines.Instance(w.target.Key.ID); ok && in.Key == w.target.Key {
			f(now, d)
		}
	})
}

// sync asks the engine what it holds, until it has said so; the control goroutine calls it.
func (w *worker) sync() {
	if w.asking {
		return
	}
	w.asking = true
	w.hub.spawn(func() {
		if w.asked {
			// A report lags behind the orders that the engine took last.
			waiter.Wait(w.ctx, lagPause)
		}
		w.asked = true
		for !w.ask() && w.ctx.Err() == nil {
			waiter.Wait(w.ctx, syncPause)
		}
	})
}

// ask takes up one report that is as young as the latest order.
func (w *worker) ask() bool {
	if !w.enter() {
		return false
	}
	defer w.leave()
	first := !w.told
	w.told = true
	for range lagTries {
		ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
		report, err := w.hub.deps.Engines.Report(ctx, w.target)
		cancel()
		if err != nil {
			w.hub.log.Error("report of "+w.target.Key.ID, err)
			return false
		}
		if report.Orders < w.taken {
			waiter.Wait(w.ctx, lagPause)
			continue
		}
		if first && w.isListed() {
			// The earlier leader has been silent for so long that the report lists all of its orders.
			w.take(report)
			return true
		}
		if report.Orders != w.taken {
			// Orders that the table doesn't account for count already and may not be listed yet: those of an earlier leader, and
			// those whose answers were lost.
			w.taken = report.Orders
			w.post(func(now time.Time, d *desk) { d.report(now, w.target.Key.ID, report, false) })
			waiter.Wait(w.ctx, allocator.ReportLag)
			continue
		}
		w.take(report)
		return true
	}
	// The engine has taken fewer orders than were counted here.
	w.taken = 0
	return false
}

// isListed reports whether a report lists all orders that engines took from earlier leaders.
func (w *worker) isListed() bool { return !time.Now().Before(w.listed) }

func (w *worker) take(report EngineReport) {
	w.taken, w.sure, w.oneMore = report.Orders, true, false
	w.open = slices.DeleteFunc(w.open, func(o EngineOrder) bool { return o.Expect < report.Orders })
	for _, o := range w.open {
		r := tracker.Resident{Adapter: o.Adapter, Version: o.Version}
		if o.Adapter.Name != "" && !slices.Contains(report.Residents, r) && !slices.Contains(report.Pending, r) {
			report.Pending = append(report.Pending, r)
		}
	}
	w.post(func(now time.Time, d *desk) {
		w.asking = false
		d.report(now, w.target.Key.ID, report, true)
	})
}

func (w *worker) enter() bool {
	select {
	case w.turn <- struct{}{}:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *worker) leave() { <-w.turn }

// add carries an order out; the allocator bounds how many are under way.
func (w *worker) add(o allocator.Order) { w.hub.spawn(func() { w.carryOut(o) }) }

// carryOut evicts, orders the load and awaits its end.
func (w *worker) carryOut(o allocator.Order) {
	if o.Evict.Name != "" {
		out := w.evict(EngineOrder{Adapter: o.Evict})
		w.hub.metrics.ordered("unload", out)
		w.post(func(now time.Time, d *desk) { d.placing.Evicted(now, o, out) })
		if out != allocator.Done {
			w.post(func(now time.Time, d *desk) { d.placing.Loaded(now, o, allocator.Undone) })
			return
		}
	}
	out := w.load(&o)
	w.hub.metrics.ordered("load", out)
	w.hub.log.Loaded(logger.Load{
		Engine: o.Engine, Adapter: o.Adapter.Name, Victim: o.Evict.Name, Cause: string(o.Cause), Outcome: outcomes[out],
		Recent: o.Recent, Waited: o.Waited, Took: o.Took,
	})
	if out == allocator.Done {
		w.hub.metrics.loaded(o.Recent, o.Took)
	}
	w.post(func(now time.Time, d *desk) { d.placing.Loaded(now, o, out) })
}

func (w *worker) evict(o EngineOrder) allocator.Outcome {
	switch v, err := w.order(o, true); {
	case err != nil:
		return allocator.Doubtful
	case v == Holds:
		return allocator.Done
	case v == Accepted:
		waiter.Wait(w.ctx, confirmEvery)
		return w.confirm(o, confirmEvery, evictLimit)
	}
	return allocator.Undone
}

func (w *worker) load(ordered *allocator.Order) allocator.Outcome {
	o := EngineOrder{Load: true, Adapter: ordered.Adapter, Version: ordered.Version}
	first, every, limit := loadTime, confirmEvery, loadLimit
	switch {
	case ordered.Time > 0:
		o.Version = 0
		first, every, limit = ordered.Time/4, modelConfirmEvery, modelLoadFactor*ordered.Time
	case ordered.Recent:
		first = recentLoadTime
	}
	switch v, err := w.order(o, true); {
	case err != nil:
		return allocator.Doubtful
	case v == Holds:
		return allocator.Done
	case v == Accepted:
		began := time.Now()
		waiter.Wait(w.ctx, first)
		out := w.confirm(o, every, limit)
		ordered.Took = time.Since(began)
		return out
	}
	return allocator.Undone
}

// confirm repeats an order that the engine has taken until it says that it is done.
func (w *worker) confirm(o EngineOrder, every, limit time.Duration) allocator.Outcome {
	for until := time.Now().Add(limit); w.ctx.Err() == nil && time.Now().Before(until); waiter.Wait(w.ctx, every) {
		v, err := w.order(o, false)
		if err == nil && v == Holds {
			return allocator.Done
		}
		if err == nil && v == Refused {
			break
		}
	}
	w.doubt()
	return allocator.Doubtful
}

// doubt has the engine asked what it holds before the next order.
func (w *worker) doubt() {
	w.post(func(_ time.Time, d *desk) { d.placing.Unsync(w.target.Key.ID) })
}

// order gives one order and keeps count of those that the engine has taken; an order that it is carrying out already,
// and one that changes nothing, count once. After an error the order may have been taken, or may be later, as long as
// the engine takes no other. So the count may be too low, since then the engine refuses, but never too high: an order that
// expects more than there were is carried out after those that come next, in a place that was given away.
func (w *worker) order(o EngineOrder, first bool) (Verdict, error) {
	if !w.enter() {
		return Refused, nil
	}
	defer w.leave()
	if !w.sure || w.fenced {
		w.doubt()
		return Conflict, nil
	}
	v, err := w.give(&o, first)
	if err == nil && v == Conflict && w.oneMore && len(w.open) == 0 {
		// Where loads are open, one of them may have been carried out meanwhile.
		w.taken++
		if v, err = w.give(&o, first); err != nil || v == Conflict {
			// It wasn't the count that stood in the way.
			w.taken--
		}
	}
	switch {
	case err != nil, v == Conflict && first:
		if err != nil && o.Load {
			w.open = append(w.open, o)
		}
		w.sure = false
		w.doubt()
	case v == Fenced:
		w.fenced = true
		w.doubt()
	case first && v == Accepted:
		w.taken++
		w.oneMore = false
	case first && v == Holds:
		w.oneMore = !o.Load
	}
	return v, err
}

// give sends an order that expects as many before it as are known.
func (w *worker) give(o *EngineOrder, first bool) (Verdict, error) {
	ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
	defer cancel()
	o.Holder, o.Fence, o.Expect = w.hub.cfg.Node, w.fence, w.taken
	v, err := w.hub.deps.Engines.Order(ctx, w.target, *o)
	if first || err != nil {
		w.hub.log.Order(w.target.Key.ID, o.Adapter.Name, o.Load, int(v), o.Expect, err)
	}
	return v, err
}
