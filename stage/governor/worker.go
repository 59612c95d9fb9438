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
	// orderTimeout bounds the wait for the response to an order, whose outcome is unknown afterwards. Engines respond within
	// milliseconds, and other orders for the engine wait meanwhile.
	orderTimeout = 300 * time.Millisecond
	// loadTime and recentLoadTime are the typical times to load an adapter that the engine hasn't held before, and one that
	// it has; a load is first confirmed after them.
	loadTime       = 250 * time.Millisecond
	recentLoadTime = 26 * time.Millisecond
	// confirmEvery is the interval between two checks of whether a load or an eviction has ended.
	confirmEvery = 25 * time.Millisecond
	// modelConfirmEvery is the same for base models, which take seconds; modelLoadFactor is how many times its load time
	// alone one may take while others load.
	modelConfirmEvery = 200 * time.Millisecond
	modelLoadFactor   = 8
	// loadLimit is how long an adapter's load may take before its outcome counts as unknown.
	loadLimit = 4 * time.Second
	// evictLimit is how long an eviction may wait for the adapter's requests in flight.
	evictLimit = time.Second
	// syncPause is the wait before a failed report is requested again.
	syncPause = 300 * time.Millisecond
	// lastOrders is how long after a leader's last message its orders may still reach engines or be missing from reports:
	// its lease is shorter than an election, its orders end with it, and reports lag.
	lastOrders = orderTimeout + tickEvery + allocator.ReportLag
	// lagPause is the wait for a report to include the latest order; lagTries is the number of attempts.
	lagPause = 100 * time.Millisecond
	lagTries = 10
)

// Verdict is an engine's response to an order.
type Verdict int

// Responses of engines to orders.
const (
	// Refused means that the engine can't execute the order.
	Refused Verdict = iota
	// Accepted means that the engine is executing the order.
	Accepted
	// Holds means that the ordered state is already in effect.
	Holds
	// Conflict means that the engine has accepted a number of orders other than expected, or is executing one.
	Conflict
	// Fenced means that another holder has sent orders with a higher fencing token.
	Fenced
)

// EngineOrder is an order to an engine to load or unload an adapter.
type EngineOrder struct {
	Load    bool
	Adapter tracker.Adapter
	Version int
	Holder  string
	Fence   uint64
	// Expect is the number of orders that the engine must have accepted before; otherwise it rejects the order, even when it
	// executes it late.
	Expect uint64
}

// EngineReport is an engine's report on its orders and adapters.
type EngineReport struct {
	// Orders is the number of orders that the engine has accepted since its start.
	Orders    uint64
	Residents []tracker.Resident
	// Pending are the adapters being loaded.
	Pending []tracker.Resident
}

// Engines is the client for engines' orders and reports.
type Engines interface {
	Order(ctx context.Context, in tracker.Instance, o EngineOrder) (Verdict, error)
	Report(ctx context.Context, in tracker.Instance) (EngineReport, error)
}

// worker sends orders to one incarnation of an engine, one at a time.
type worker struct {
	hub    *hub
	target tracker.Instance
	fence  uint64
	ctx    context.Context
	cancel context.CancelFunc
	// turn is a lock held while an order or a report is in flight; it guards the fields below.
	turn chan struct{}
	// taken is the number of orders that the engine has accepted; it is valid only while sure.
	taken  uint64
	sure   bool
	fenced bool
	// oneMore is set if the engine may have counted one more order: an unload, which doesn't count if the adapter was
	// absent.
	oneMore bool
	// open are loads without a response, which the engine may still execute until it has accepted more orders than they
	// expect.
	open []EngineOrder
	// asking is set while a report is being requested; only the control goroutine uses it.
	asking bool
	// asked is set once a report was requested; only the one goroutine that requests reports uses it.
	asked bool
	// told is set once ask has been called.
	told bool
	// listed is the time from which reports include all orders of earlier leaders.
	listed time.Time
}

func newWorker(h *hub, in tracker.Instance) *worker {
	w := &worker{hub: h, target: in, fence: h.desk.era, listed: h.desk.listed, turn: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(h.ctx)
	return w
}

func (w *worker) close() { w.cancel() }

// post runs f on the control goroutine unless the worker's epoch or its incarnation of the engine has ended.
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

// sync requests the engine's report until it succeeds; the control goroutine calls it.
func (w *worker) sync() {
	if w.asking {
		return
	}
	w.asking = true
	w.hub.spawn(func() {
		if w.asked {
			// A report lags behind the last orders that the engine accepted.
			waiter.Wait(w.ctx, lagPause)
		}
		w.asked = true
		for !w.ask() && w.ctx.Err() == nil {
			waiter.Wait(w.ctx, syncPause)
		}
	})
}

// ask fetches and applies one report that includes the latest order; it returns false if there was none.
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
			// The earlier leader has been silent for long enough that the report includes all of its orders.
			w.take(report)
			return true
		}
		if report.Orders != w.taken {
			// The report counts orders unknown here, whose adapters it may not list yet: an earlier leader's, and those whose
			// responses were lost.
			w.taken = report.Orders
			w.post(func(now time.Time, d *desk) { d.report(now, w.target.Key.ID, report, false) })
			waiter.Wait(w.ctx, allocator.ReportLag)
			continue
		}
		w.take(report)
		return true
	}
	// The engine has accepted fewer orders than were counted here.
	w.taken = 0
	return false
}

// isListed reports whether reports include all orders that engines accepted from earlier leaders.
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

// add starts the execution of an order; the allocator bounds how many are in flight.
func (w *worker) add(o allocator.Order) { w.hub.spawn(func() { w.carryOut(o) }) }

// carryOut evicts an adapter if the order has one, then loads the other and waits for the end of the load.
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

// confirm repeats an accepted order until the engine reports it as done, at most for limit.
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

// doubt requires a new report of the engine before the next order.
func (w *worker) doubt() {
	w.post(func(_ time.Time, d *desk) { d.placing.Unsync(w.target.Key.ID) })
}

// order sends one order and counts those that the engine has accepted. A repetition of an order being executed, and an order
// that changes nothing, don't count. After an error the order may have been accepted, or may be later until the engine
// accepts another. So the count may be too low, since the engine then rejects the next order, but never too high: an order
// that expects too many is executed after the next ones, in a slot that was reassigned.
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
		// The count can't be inferred while loads are unanswered, since one of them may have been executed meanwhile.
		w.taken++
		if v, err = w.give(&o, first); err != nil || v == Conflict {
			// The count wasn't the cause of the conflict.
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

// give sends an order that expects the known number of earlier orders.
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
