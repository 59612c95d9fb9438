package governor

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

// stubEngines is an engine client whose responses come from functions.
type stubEngines struct {
	order  func(o EngineOrder) (OrderResult, error)
	report func() (EngineReport, error)
}

func (s *stubEngines) Order(_ context.Context, _ tracker.Instance, o EngineOrder) (OrderResult, error) {
	return s.order(o)
}

func (s *stubEngines) Report(context.Context, tracker.Instance) (EngineReport, error) {
	return s.report()
}

var (
	testKey  = tracker.Key{ID: "x", StartedMS: 1}
	testBase = tracker.Resident{Adapter: tracker.Adapter{Model: "m"}, Version: 1}
)

func testAdapter(name string) tracker.Resident {
	return tracker.Resident{Adapter: tracker.Adapter{Model: "m", Name: name}, Version: 1}
}

// testCapacity returns the capacity of engines with this many places.
func testCapacity(adapters int) CapacityFunc {
	return func(string) (allocator.Capacity, bool) {
		return allocator.Capacity{Adapters: adapters, Models: []matcher.Model{{Name: "m", LoadTime: time.Millisecond}}}, true
	}
}

// newLeadingHub returns the hub of a leader that knows one engine.
func newLeadingHub(c *qt.C, engine Engines, adapters int) *hub {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	l := logger.New(io.Discard, "error").Component("test")
	h := newHub(ctx, Config{Node: "n"}, Deps{Engines: engine}, newMembership(Config{}, Deps{}, l), l, wg.Go)
	h.leader = newLeaderState(1, time.Now(), &replicatedState{}, testCapacity(adapters))
	h.leader.reportsCompleteAt = h.leaderSeenAt.Add(lateOrderTime)
	h.leader.announce(time.Now(), tracker.Instance{Key: testKey, Service: "s", Addr: "a", Sequence: 1})
	c.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

// runUntil runs the hub's plans and events until done returns true.
func (h *hub) runUntil(done func() bool) {
	for !done() {
		h.plan(time.Now())
		select {
		case f := <-h.events:
			f(time.Now())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (h *hub) holds(r tracker.Resident) bool {
	for _, have := range h.leader.alloc.Residents(testKey.ID) {
		if have == r {
			return true
		}
	}
	return false
}

func (h *hub) want(name string) {
	h.leader.alloc.Want(time.Now(), allocator.Want{Service: "s", Adapter: testAdapter(name).Adapter, Zone: "z"})
}

// oneSlot checks the orders to an engine whose only adapter slot holds a1.
type oneSlot struct{ evicted, overrun bool }

// execute executes an order.
func (p *oneSlot) execute(o EngineOrder) (OrderResult, error) {
	p.evicted = p.evicted || !o.Load
	p.overrun = p.overrun || o.Load && !p.evicted
	return InEffect, nil
}

// check wants a2 until the engine holds it.
func (p *oneSlot) check(c *qt.C, h *hub) {
	h.runUntil(func() bool {
		h.want("a2")
		return h.holds(testAdapter("a2"))
	})
	c.Check(p.overrun, qt.IsFalse, qt.Commentf("a1 occupies the only slot until it is unloaded"))
}

// A new leader's first report may count an order of the previous leader whose adapter it doesn't list yet.
func TestNewLeaderWaitsForCompleteReports(t *testing.T) {
	c := qt.New(t)
	reports := 0
	var slot oneSlot
	h := newLeadingHub(c, &stubEngines{
		report: func() (EngineReport, error) {
			reports++
			r := EngineReport{Orders: 1, Residents: []tracker.Resident{testBase}}
			switch {
			case reports > 2:
				r.Residents = append(r.Residents, testAdapter("a1"))
			case reports > 1:
				r.Pending = []tracker.Resident{testAdapter("a1")}
			}
			return r, nil
		},
		order: func(o EngineOrder) (OrderResult, error) {
			return slot.execute(o)
		},
	}, 1)
	slot.check(c, h)
}

// Reports include all orders of a leader that has been silent for long, so that the next one orders at once. It leaves one
// place free, since the engine may have executed an order without a response just now.
func TestLeaderAfterSilentOneUsesFirstReport(t *testing.T) {
	c := qt.New(t)
	reports := 0
	h := newLeadingHub(c, &stubEngines{
		report: func() (EngineReport, error) {
			reports++
			return EngineReport{Orders: 5, Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(o EngineOrder) (OrderResult, error) {
			c.Check(o.ExpectedOrders, qt.Equals, uint64(5))
			return InEffect, nil
		},
	}, 2)
	h.leader.reportsCompleteAt = time.Now()
	h.runUntil(func() bool {
		h.want("a1")
		return h.holds(testAdapter("a1"))
	})
	c.Check(reports, qt.Equals, 1)
}

// An engine has one slot and a load without a response. Whether it executes that load late or not, it never gets another
// one beside it: the next load expects as many orders, and the slot is freed only if the engine lists the adapter.
func TestOrderWithoutResponseNeverSharesItsSlot(t *testing.T) {
	for _, isExecuted := range []bool{false, true} {
		t.Run(fmt.Sprint(isExecuted), func(t *testing.T) {
			c := qt.New(t)
			var orders []EngineOrder
			accepted, held := uint64(0), ""
			h := newLeadingHub(c, &stubEngines{
				report: func() (EngineReport, error) {
					r := EngineReport{Orders: accepted, Residents: []tracker.Resident{testBase}}
					if held != "" {
						r.Residents = append(r.Residents, testAdapter(held))
					}
					return r, nil
				},
				order: func(o EngineOrder) (OrderResult, error) {
					orders = append(orders, o)
					switch {
					case len(orders) == 1:
						return Rejected, context.DeadlineExceeded
					case len(orders) == 2 && isExecuted:
						accepted, held = 1, "a1"
						return Conflict, nil
					case o.ExpectedOrders != accepted:
						return Conflict, nil
					}
					accepted++
					if o.Load {
						c.Check(held, qt.Equals, "", qt.Commentf("%s is loaded beside it", o.Adapter.Name))
						held = o.Adapter.Name
					} else if o.Adapter.Name == held {
						held = ""
					}
					return InEffect, nil
				},
			}, 1)
			h.want("a1")
			h.runUntil(func() bool { return len(orders) > 0 })
			h.runUntil(func() bool {
				h.want("a2")
				return h.holds(testAdapter("a2"))
			})
			c.Check(orders[0].Load, qt.IsTrue)
			c.Check(orders[1].ExpectedOrders, qt.Equals, orders[0].ExpectedOrders)
			c.Check(held, qt.Equals, "a2")
		})
	}
}

func TestConflictRequiresReportBeforeNextOrder(t *testing.T) {
	c := qt.New(t)
	accepted, reports := uint64(0), 0
	h := newLeadingHub(c, &stubEngines{
		report: func() (EngineReport, error) {
			reports++
			return EngineReport{Orders: accepted, Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(o EngineOrder) (OrderResult, error) {
			if o.ExpectedOrders != 3 {
				accepted = 3
				return Conflict, nil
			}
			return InEffect, nil
		},
	}, 1)
	h.runUntil(func() bool {
		h.want("a1")
		return h.holds(testAdapter("a1"))
	})
	c.Check(reports > 1, qt.IsTrue)
}

// An order whose response was lost may be executed seconds later, and reports count it before they list its adapter.
func TestReportThatCountsUnknownOrdersIsFetchedAgain(t *testing.T) {
	c := qt.New(t)
	accepted, reports := uint64(0), 0
	var slot oneSlot
	h := newLeadingHub(c, &stubEngines{
		report: func() (EngineReport, error) {
			r := EngineReport{Orders: accepted, Residents: []tracker.Resident{testBase}}
			if accepted == 1 {
				if reports++; reports > 1 {
					r.Residents = append(r.Residents, testAdapter("a1"))
				}
			}
			return r, nil
		},
		order: func(o EngineOrder) (OrderResult, error) {
			if accepted == 0 {
				accepted = 1
				return Conflict, nil
			}
			return slot.execute(o)
		},
	}, 1)
	slot.check(c, h)
}

// A report of an engine's earlier incarnation doesn't apply to the current one.
func TestReportOfEarlierIncarnationIsDropped(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	h.leader.announce(time.Now(), tracker.Instance{Key: tracker.Key{ID: testKey.ID, StartedMS: 2}, Service: "s", Addr: "a", Sequence: 1})
	w.applyReport(EngineReport{Orders: 9, Residents: []tracker.Resident{testBase, testAdapter("a1")}}, false)
	(<-h.events)(time.Now())
	c.Check(h.leader.alloc.Unsynced(time.Now()), qt.DeepEquals, []string{testKey.ID})
	c.Check(h.leader.alloc.Residents(testKey.ID), qt.HasLen, 0)
}

// lateEngine has one slot. It doesn't respond to the first loads of some adapters and executes one of them late: as
// soon as it has accepted as many orders as the load expects.
type lateEngine struct {
	mu       sync.Mutex
	accepted uint64
	held     map[string]bool
	silent   map[string]bool
	late     []EngineOrder
	overrun  bool
}

func (e *lateEngine) order(o EngineOrder) (OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := o.Adapter.Name
	switch {
	case o.Load && e.silent[name]:
		// ExpectedOrders is checked only when the load is executed.
		delete(e.silent, name)
		if name == "a1" {
			e.late = append(e.late, o)
		}
		return Rejected, context.DeadlineExceeded
	case o.ExpectedOrders != e.accepted:
		return Conflict, nil
	case o.Load && e.held[name]:
		return InEffect, nil
	case !o.Load && !e.held[name]:
		// Nothing changes, so it doesn't count as an order.
		return InEffect, nil
	}
	e.execute(o)
	for _, l := range e.late {
		if l.ExpectedOrders == e.accepted {
			e.execute(l)
		}
	}
	return InEffect, nil
}

func (e *lateEngine) execute(o EngineOrder) {
	e.accepted++
	if o.Load {
		e.held[o.Adapter.Name] = true
	} else {
		delete(e.held, o.Adapter.Name)
	}
	e.overrun = e.overrun || len(e.held) > 1
}

// isSilent reports whether the first load of an adapter has yet to arrive.
func (e *lateEngine) isSilent(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent[name]
}

func (e *lateEngine) isOverrun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overrun
}

func (e *lateEngine) report() (EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := EngineReport{Orders: e.accepted, Residents: []tracker.Resident{testBase}}
	for name := range e.held {
		r.Residents = append(r.Residents, testAdapter(name))
	}
	return r, nil
}

// The unload of an absent adapter doesn't count as an order. When it was counted, the next load expected too many
// orders: without a response, that load was executed after the following one, in a slot that was reassigned.
func TestLoadIsNeverExecutedInReassignedSlot(t *testing.T) {
	c := qt.New(t)
	e := &lateEngine{held: make(map[string]bool), silent: map[string]bool{"a0": true, "a1": true}}
	// The engine responds at once, so that loads end as soon as they are ordered.
	h := newLeadingHub(c, &stubEngines{order: e.order, report: e.report}, 1)
	for _, name := range []string{"a0", "a1"} {
		h.runUntil(func() bool {
			if e.isSilent(name) {
				h.want(name)
			}
			return !e.isSilent(name)
		})
	}
	h.runUntil(func() bool {
		h.want("a2")
		return h.holds(testAdapter("a2")) || e.isOverrun()
	})
	c.Check(e.isOverrun(), qt.IsFalse)
}

// An unanswered load may still be executed, whatever reports list, until the engine has accepted more orders than it
// expects.
func TestUnansweredLoadIsKnownUntilLaterOrder(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 2)
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	w.unanswered = []EngineOrder{{Load: true, Adapter: testAdapter("a1").Adapter, Version: 1, ExpectedOrders: 5}}
	for _, row := range []struct {
		accepted   uint64
		unanswered int
	}{{4, 1}, {5, 1}, {6, 0}} {
		w.applyReport(EngineReport{Orders: row.accepted, Residents: []tracker.Resident{testBase}}, false)
		(<-h.events)(time.Now())
		c.Check(w.unanswered, qt.HasLen, row.unanswered)
	}
}

// A load without a response is executed late, while the next order changes nothing. The engine's count is then one
// higher, but not because the unload counted: a new report is needed.
func TestCountRaisedByUnansweredLoadRequiresReport(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	accepted := uint64(7)
	h.deps.Engines = &stubEngines{order: func(o EngineOrder) (OrderResult, error) {
		switch {
		case o.ExpectedOrders != accepted:
			return Conflict, nil
		case o.Load && o.Adapter.Name == "a1":
			return Rejected, context.DeadlineExceeded
		case !o.Load:
			// a1 is loaded late, right after this.
			accepted++
			return InEffect, nil
		}
		accepted++
		return Accepted, nil
	}}
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	w.accepted, w.countKnown = accepted, true
	_, err := w.submit(EngineOrder{Load: true, Adapter: testAdapter("a1").Adapter}, true)
	c.Assert(err, qt.IsNotNil)
	w.countKnown = true
	_, err = w.submit(EngineOrder{Adapter: testAdapter("a9").Adapter}, true)
	c.Assert(err, qt.IsNil)
	v, err := w.submit(EngineOrder{Load: true, Adapter: testAdapter("a2").Adapter}, true)
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, Conflict)
	c.Check(w.countKnown, qt.IsFalse)
}

// A report may still list an unloaded adapter. Its second unload changes nothing and doesn't count as an order.
func TestSecondUnloadDoesNotCountAsOrder(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	accepted := uint64(7)
	present := true
	h.deps.Engines = &stubEngines{order: func(o EngineOrder) (OrderResult, error) {
		switch {
		case o.ExpectedOrders != accepted:
			return Conflict, nil
		case !o.Load && !present:
			return InEffect, nil
		case !o.Load:
			present = false
			accepted++
			return InEffect, nil
		}
		accepted++
		return Accepted, nil
	}}
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	w.accepted, w.countKnown = accepted, true
	unload, load := EngineOrder{Adapter: testAdapter("a1").Adapter}, EngineOrder{Load: true, Adapter: testAdapter("a2").Adapter}
	for _, row := range []struct {
		order EngineOrder
		want  OrderResult
	}{{unload, InEffect}, {unload, InEffect}, {load, Accepted}, {unload, InEffect}, {load, Accepted}, {load, Accepted}} {
		v, err := w.submit(row.order, true)
		c.Assert(err, qt.IsNil)
		c.Check(v, qt.Equals, row.want)
		c.Check(w.accepted <= accepted, qt.IsTrue, qt.Commentf("counted %d orders of %d", w.accepted, accepted))
		c.Check(w.countKnown, qt.IsTrue)
	}
}
