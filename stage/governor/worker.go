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
	// orderTimeout is when an order without a response has an unknown outcome; engines respond within milliseconds, and
	// their other orders wait meanwhile.
	orderTimeout = 300 * time.Millisecond
	// typicalLoadTime and typicalReloadTime are how long engines take for an adapter that they haven't held before, and for
	// one that they have; a load is confirmed after them.
	typicalLoadTime   = 250 * time.Millisecond
	typicalReloadTime = 26 * time.Millisecond
	// confirmEvery is how often an accepted order is repeated until it has ended.
	confirmEvery = 25 * time.Millisecond
	// modelConfirmEvery is the same for base models, which take seconds, and modelLoadFactor how many times its load time
	// one may take beside others.
	modelConfirmEvery = 200 * time.Millisecond
	modelLoadFactor   = 8
	// loadTimeout is when a load's outcome counts as unknown.
	loadTimeout = 4 * time.Second
	// evictTimeout is how long an eviction may wait for the adapter's requests in flight.
	evictTimeout = time.Second
	// syncRetryPause is the wait before a failed report is requested again.
	syncRetryPause = 300 * time.Millisecond
	// lateOrderTime is how long after a leader's last message its orders may still reach engines or be missing from
	// reports: its lease is shorter than an election, its orders end with it, and reports lag.
	lateOrderTime = orderTimeout + tickEvery + allocator.ReportLag
	// reportLagPause is the wait for a report to include the latest order; reportLagTries is the number of
	// attempts.
	reportLagPause = 100 * time.Millisecond
	reportLagTries = 10
)

// OrderResult is an engine's response to an order.
type OrderResult int

// Responses of engines to orders.
const (
	// Rejected means that the engine can't execute the order.
	Rejected OrderResult = iota
	// Accepted means that the engine is executing the order.
	Accepted
	// InEffect means that the ordered state is already in effect.
	InEffect
	// Conflict means that the engine has accepted other orders meanwhile, or is executing one.
	Conflict
	// Fenced means that another holder has sent orders with a higher fencing token.
	Fenced
)

// EngineOrder is an order to load or unload an adapter.
type EngineOrder struct {
	Load    bool
	Adapter tracker.Adapter
	Version int
	Holder  string
	Fence   uint64
	// ExpectedOrders is the number of orders that the engine must have accepted before; otherwise it rejects the order,
	// even when it executes it late.
	ExpectedOrders uint64
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
	Order(ctx context.Context, in tracker.Instance, o EngineOrder) (OrderResult, error)
	Report(ctx context.Context, in tracker.Instance) (EngineReport, error)
}

// worker sends orders to one incarnation of an engine, one at a time.
type worker struct {
	hub         *hub
	target      tracker.Instance
	leaderEpoch uint64
	ctx         context.Context
	cancel      context.CancelFunc
	// lock is held while an order or a report is in flight; it guards the fields below.
	lock chan struct{}
	// accepted is the number of accepted orders; it is valid only if countKnown.
	accepted   uint64
	countKnown bool
	fenced     bool
	// maybeOneMore is set after an unload, which the engine counts only if the adapter was there.
	maybeOneMore bool
	// unanswered are loads without a response, which the engine may still execute until it has accepted more orders than
	// they expect. They take no place: until then, an order of ours expects as many.
	unanswered []EngineOrder
	// syncing is set while a report is being requested; only the control goroutine uses it.
	syncing bool
	// hasSynced is set after the first sync; only one goroutine syncs at a time.
	hasSynced bool
	// hasFetched is set once this leader has fetched a report, or tried to.
	hasFetched bool
	// reportsCompleteAt is from when reports include all orders of earlier leaders.
	reportsCompleteAt time.Time
}

func newWorker(h *hub, in tracker.Instance) *worker {
	w := &worker{hub: h, target: in, leaderEpoch: h.leader.leaderEpoch, reportsCompleteAt: h.leader.reportsCompleteAt, lock: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(h.ctx)
	return w
}

func (w *worker) close() { w.cancel() }

// post runs f on the control goroutine unless the worker's leader epoch or its incarnation of the engine has ended.
func (w *worker) post(f func(now time.Time, l *leaderState)) {
	w.hub.post(func(now time.Time) {
		l := w.hub.leader
		if l == nil || l.leaderEpoch != w.leaderEpoch || w.ctx.Err() != nil {
			return
		}
		if in, ok := l.engines.Instance(w.target.Key.ID); ok && in.Key == w.target.Key {
			f(now, l)
		}
	})
}

// sync requests the engine's report until it succeeds; the control goroutine calls it.
func (w *worker) sync() {
	if w.syncing {
		return
	}
	w.syncing = true
	w.hub.spawn(func() {
		if w.hasSynced {
			// A report lags behind the last orders that the engine accepted.
			waiter.Wait(w.ctx, reportLagPause)
		}
		w.hasSynced = true
		for !w.fetchReport() && w.ctx.Err() == nil {
			waiter.Wait(w.ctx, syncRetryPause)
		}
	})
}

// fetchReport applies one report that includes the latest order.
func (w *worker) fetchReport() bool {
	if !w.acquire() {
		return false
	}
	defer w.release()
	isFirst := !w.hasFetched
	w.hasFetched = true
	for range reportLagTries {
		ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
		report, err := w.hub.deps.Engines.Report(ctx, w.target)
		cancel()
		if err != nil {
			w.hub.log.Error("report of "+w.target.Key.ID, err)
			return false
		}
		if report.Orders < w.accepted {
			waiter.Wait(w.ctx, reportLagPause)
			continue
		}
		if isFirst && w.areReportsComplete() {
			// The earlier leader has been silent for long enough that the report includes all of its orders, except for one
			// without a response that the engine has executed just now.
			w.applyReport(report, report.Orders > 0)
			return true
		}
		if report.Orders != w.accepted {
			// The report counts orders unknown here, whose adapters it may not list yet: an earlier leader's, and those whose
			// responses were lost.
			w.accepted = report.Orders
			w.post(func(now time.Time, l *leaderState) { l.applyReport(now, w.target.Key.ID, report, false) })
			waiter.Wait(w.ctx, allocator.ReportLag)
			continue
		}
		w.applyReport(report, false)
		return true
	}
	// The engine has accepted fewer orders than were counted here.
	w.accepted = 0
	return false
}

// areReportsComplete reports whether reports include all orders that engines accepted from earlier leaders.
func (w *worker) areReportsComplete() bool { return !time.Now().Before(w.reportsCompleteAt) }

// applyReport applies a complete report; mayHoldOneMore means that it may count a load that it doesn't list.
func (w *worker) applyReport(report EngineReport, mayHoldOneMore bool) {
	w.accepted, w.countKnown, w.maybeOneMore = report.Orders, true, false
	w.unanswered = slices.DeleteFunc(w.unanswered, func(o EngineOrder) bool { return o.ExpectedOrders < report.Orders })
	w.post(func(now time.Time, l *leaderState) {
		w.syncing = false
		l.applyReport(now, w.target.Key.ID, report, true)
		if mayHoldOneMore {
			l.alloc.ExpectOneMore(w.target.Key.ID)
		}
	})
}

func (w *worker) acquire() bool {
	select {
	case w.lock <- struct{}{}:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *worker) release() { <-w.lock }

// start executes an order; the allocator bounds how many are in flight.
func (w *worker) start(o allocator.Order) { w.hub.spawn(func() { w.execute(o) }) }

// execute evicts, loads and awaits the end.
func (w *worker) execute(o allocator.Order) {
	if o.Evict.Name != "" {
		out := w.evict(EngineOrder{Adapter: o.Evict})
		w.hub.metrics.countOrder("unload", out)
		// load changes o while the control goroutine may not have read this yet.
		evicted := o
		w.post(func(now time.Time, l *leaderState) { l.alloc.EndEviction(now, evicted, out) })
		if out != allocator.Done {
			w.post(func(now time.Time, l *leaderState) { l.alloc.EndLoad(now, o, allocator.NotExecuted) })
			return
		}
	}
	out := w.load(&o)
	w.hub.metrics.countOrder("load", out)
	w.hub.log.LoadEnded(logger.LoadResult{
		Engine: o.Engine, Adapter: o.Adapter.Name, Evicted: o.Evict.Name, Cause: string(o.Cause), Outcome: outcomeLabels[out],
		WasRecentlyLoaded: o.ExpectedOnDisk, Waited: o.Waited, Duration: o.LoadTime,
	})
	if out == allocator.Done {
		w.hub.metrics.observeLoad(o.ExpectedOnDisk, o.LoadTime)
	}
	w.post(func(now time.Time, l *leaderState) { l.alloc.EndLoad(now, o, out) })
}

func (w *worker) evict(o EngineOrder) allocator.Outcome {
	switch v, err := w.submit(o, true); {
	case err != nil:
		return allocator.Unconfirmed
	case v == InEffect:
		return allocator.Done
	case v == Accepted:
		waiter.Wait(w.ctx, confirmEvery)
		return w.confirm(o, confirmEvery, evictTimeout)
	}
	return allocator.NotExecuted
}

func (w *worker) load(order *allocator.Order) allocator.Outcome {
	o := EngineOrder{Load: true, Adapter: order.Adapter, Version: order.Version}
	firstWait, interval, timeout := typicalLoadTime, confirmEvery, loadTimeout
	switch {
	case order.ExpectedLoadTime > 0:
		o.Version = 0
		firstWait, interval, timeout = order.ExpectedLoadTime/4, modelConfirmEvery, modelLoadFactor*order.ExpectedLoadTime
	case order.ExpectedOnDisk:
		firstWait = typicalReloadTime
	}
	switch v, err := w.submit(o, true); {
	case err != nil:
		return allocator.Unconfirmed
	case v == InEffect:
		return allocator.Done
	case v == Accepted:
		began := time.Now()
		waiter.Wait(w.ctx, firstWait)
		out := w.confirm(o, interval, timeout)
		order.LoadTime = time.Since(began)
		return out
	}
	return allocator.NotExecuted
}

// confirm repeats an accepted order until the engine reports it as done, at most for timeout.
func (w *worker) confirm(o EngineOrder, interval, timeout time.Duration) allocator.Outcome {
	for deadline := time.Now().Add(timeout); w.ctx.Err() == nil && time.Now().Before(deadline); waiter.Wait(w.ctx, interval) {
		v, err := w.submit(o, false)
		if err == nil && v == InEffect {
			return allocator.Done
		}
		if err == nil && v == Rejected {
			break
		}
	}
	w.requireSync()
	return allocator.Unconfirmed
}

// requireSync requires a new report of the engine before the next order.
func (w *worker) requireSync() {
	w.post(func(_ time.Time, l *leaderState) { l.alloc.Unsync(w.target.Key.ID) })
}

// submit sends one order and counts those that the engine has accepted. A repetition of an order being executed, and an
// order that changes nothing, don't count. After an error the order may have been accepted, or may be later until the
// engine accepts another. So the count may be too low, since the engine then rejects the next order, but never too
// high: an order that expects too many is executed after the next ones, in a slot that was reassigned.
func (w *worker) submit(o EngineOrder, isFirst bool) (OrderResult, error) {
	if !w.acquire() {
		return Rejected, nil
	}
	defer w.release()
	if !w.countKnown || w.fenced {
		w.requireSync()
		return Conflict, nil
	}
	v, err := w.send(&o, isFirst)
	if err == nil && v == Conflict && w.maybeOneMore && len(w.unanswered) == 0 {
		// With unanswered loads, one of them may have been executed instead.
		w.accepted++
		if v, err = w.send(&o, isFirst); err != nil || v == Conflict {
			// The count wasn't the cause of the conflict.
			w.accepted--
		}
	}
	switch {
	case err != nil, v == Conflict && isFirst:
		if err != nil && o.Load {
			w.unanswered = append(w.unanswered, o)
		}
		w.countKnown = false
		w.requireSync()
	case v == Fenced:
		w.fenced = true
		w.requireSync()
	case isFirst && v == Accepted:
		w.accepted++
		w.maybeOneMore = false
	case isFirst && v == InEffect:
		w.maybeOneMore = !o.Load
	}
	return v, err
}

// send sends an order that expects the known number of earlier orders.
func (w *worker) send(o *EngineOrder, isFirst bool) (OrderResult, error) {
	ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
	defer cancel()
	o.Holder, o.Fence, o.ExpectedOrders = w.hub.cfg.Node, w.leaderEpoch, w.accepted
	v, err := w.hub.deps.Engines.Order(ctx, w.target, *o)
	if isFirst || err != nil {
		w.hub.log.Order(w.target.Key.ID, o.Adapter.Name, o.Load, int(v), o.ExpectedOrders, err)
	}
	return v, err
}
