package governor

import (
	"context"
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

// scripted is an engine client whose responses come from functions.
type scripted struct {
	order  func(o EngineOrder) (Verdict, error)
	report func() (EngineReport, error)
}

func (s *scripted) Order(_ context.Context, _ tracker.Instance, o EngineOrder) (Verdict, error) {
	return s.order(o)
}

func (s *scripted) Report(context.Context, tracker.Instance) (EngineReport, error) { return s.report() }

var (
	testKey  = tracker.Key{ID: "x", Born: 1}
	testBase = tracker.Resident{Adapter: tracker.Adapter{Model: "m"}, Version: 1}
)

func testAdapter(name string) tracker.Resident {
	return tracker.Resident{Adapter: tracker.Adapter{Model: "m", Name: name}, Version: 1}
}

// lead returns the hub of a leader that knows one engine with the given adapter capacity.
func lead(c *qt.C, engine Engines, adapters int) *hub {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	l := logger.New(io.Discard, "error").Part("test")
	h := newHub(ctx, Config{Node: "n"}, Deps{Engines: engine}, newSeat(Config{}, l), l, wg.Go)
	h.desk = newDesk(1, time.Now(), &durable{}, func(string) (allocator.Room, bool) {
		return allocator.Room{Adapters: adapters, Models: []matcher.Model{{Name: "m", LoadTime: time.Millisecond}}}, true
	})
	h.desk.listed = h.heard.Add(lastOrders)
	h.desk.announce(time.Now(), tracker.Instance{Key: testKey, Service: "s", Addr: "a", Sequence: 1})
	c.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

// until runs the hub's plans and events until done returns true.
func (h *hub) until(done func() bool) {
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
	for _, have := range h.desk.placing.Residents(testKey.ID) {
		if have == r {
			return true
		}
	}
	return false
}

func (h *hub) want(name string) {
	h.desk.placing.Want(time.Now(), allocator.Want{Service: "s", Adapter: testAdapter(name).Adapter, Zone: "z"})
}

// onePlace checks the orders to an engine whose only adapter slot holds a1.
type onePlace struct{ evicted, overrun bool }

// take executes an order.
func (p *onePlace) take(o EngineOrder) (Verdict, error) {
	p.evicted = p.evicted || !o.Load
	p.overrun = p.overrun || o.Load && !p.evicted
	return Holds, nil
}

// check wants a2 until the engine holds it.
func (p *onePlace) check(c *qt.C, h *hub) {
	h.until(func() bool {
		h.want("a2")
		return h.holds(testAdapter("a2"))
	})
	c.Check(p.overrun, qt.IsFalse, qt.Commentf("a1 occupies the only slot until it is unloaded"))
}

// A new leader's first report may count an order of the previous leader whose adapter it doesn't list yet.
func TestANewLeaderWaitsForReportsThatListAllOrders(t *testing.T) {
	c := qt.New(t)
	reports := 0
	var place onePlace
	h := lead(c, &scripted{
		report: func() (EngineReport, error) {
			reports++
			r := EngineReport{Orders: 1, Residents: []tracker.Resident{testBase}}
			if reports > 1 {
				r.Pending = []tracker.Resident{testAdapter("a1")}
			}
			return r, nil
		},
		order: func(o EngineOrder) (Verdict, error) {
			return place.take(o)
		},
	}, 1)
	place.check(c, h)
}

// Reports include all orders of a leader that has been silent for long, so that the next one can send orders at once.
func TestALeaderAfterASilentOneOrdersByTheFirstReport(t *testing.T) {
	c := qt.New(t)
	reports := 0
	h := lead(c, &scripted{
		report: func() (EngineReport, error) {
			reports++
			return EngineReport{Orders: 5, Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(o EngineOrder) (Verdict, error) {
			c.Check(o.Expect, qt.Equals, uint64(5))
			return Holds, nil
		},
	}, 1)
	h.desk.listed = time.Now()
	h.until(func() bool {
		h.want("a1")
		return h.holds(testAdapter("a1"))
	})
	c.Check(reports, qt.Equals, 1)
}

func TestAnOrderWithoutAnAnswerKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	var orders []EngineOrder
	h := lead(c, &scripted{
		report: func() (EngineReport, error) {
			return EngineReport{Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(o EngineOrder) (Verdict, error) {
			orders = append(orders, o)
			if len(orders) == 1 {
				return Refused, context.DeadlineExceeded
			}
			return Holds, nil
		},
	}, 1)
	h.want("a1")
	h.until(func() bool { return len(orders) > 0 })
	h.until(func() bool {
		h.want("a2")
		return h.holds(testAdapter("a2"))
	})
	c.Check(orders[0].Load, qt.IsTrue)
	c.Check(orders[1].Load, qt.IsFalse, qt.Commentf("the engine may hold a1, so it is unloaded first"))
	c.Check(orders[1].Adapter.Name, qt.Equals, "a1")
}

func TestAConflictHasTheEngineAskedBeforeTheNextOrder(t *testing.T) {
	c := qt.New(t)
	taken, reports := uint64(0), 0
	h := lead(c, &scripted{
		report: func() (EngineReport, error) {
			reports++
			return EngineReport{Orders: taken, Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(o EngineOrder) (Verdict, error) {
			if o.Expect != 3 {
				taken = 3
				return Conflict, nil
			}
			return Holds, nil
		},
	}, 1)
	h.until(func() bool {
		h.want("a1")
		return h.holds(testAdapter("a1"))
	})
	c.Check(reports > 1, qt.IsTrue)
}

// An order whose response was lost may be executed seconds later, and reports count it before they list its adapter.
func TestAReportThatCountsUnknownOrdersIsAskedForAgain(t *testing.T) {
	c := qt.New(t)
	taken, reports := uint64(0), 0
	var place onePlace
	h := lead(c, &scripted{
		report: func() (EngineReport, error) {
			r := EngineReport{Orders: taken, Residents: []tracker.Resident{testBase}}
			if taken == 1 {
				if reports++; reports > 1 {
					r.Residents = append(r.Residents, testAdapter("a1"))
				}
			}
			return r, nil
		},
		order: func(o EngineOrder) (Verdict, error) {
			if taken == 0 {
				taken = 1
				return Conflict, nil
			}
			return place.take(o)
		},
	}, 1)
	place.check(c, h)
}

// A report of an engine's earlier incarnation doesn't apply to the current one.
func TestAReportOfAnEarlierStartIsDropped(t *testing.T) {
	c := qt.New(t)
	h := lead(c, &scripted{}, 1)
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	h.desk.announce(time.Now(), tracker.Instance{Key: tracker.Key{ID: testKey.ID, Born: 2}, Service: "s", Addr: "a", Sequence: 1})
	w.take(EngineReport{Orders: 9, Residents: []tracker.Resident{testBase, testAdapter("a1")}})
	(<-h.events)(time.Now())
	c.Check(h.desk.placing.Unsynced(), qt.DeepEquals, []string{testKey.ID})
	c.Check(h.desk.placing.Residents(testKey.ID), qt.HasLen, 0)
}

// lateEngine has one slot. It doesn't respond to the first loads of some adapters and executes one of them late: as soon as
// it has accepted as many orders as the load expects.
type lateEngine struct {
	mu      sync.Mutex
	taken   uint64
	held    map[string]bool
	silent  map[string]bool
	late    []EngineOrder
	overrun bool
}

func (e *lateEngine) order(o EngineOrder) (Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := o.Adapter.Name
	switch {
	case o.Load && e.silent[name]:
		// Expect is checked only when the load is executed.
		delete(e.silent, name)
		if name == "a1" {
			e.late = append(e.late, o)
		}
		return Refused, context.DeadlineExceeded
	case o.Expect != e.taken:
		return Conflict, nil
	case o.Load && e.held[name]:
		return Holds, nil
	case !o.Load && !e.held[name]:
		// Nothing changes, so it doesn't count as an order.
		return Holds, nil
	}
	e.carryOut(o)
	for _, l := range e.late {
		if l.Expect == e.taken {
			e.carryOut(l)
		}
	}
	return Holds, nil
}

func (e *lateEngine) carryOut(o EngineOrder) {
	e.taken++
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
	r := EngineReport{Orders: e.taken, Residents: []tracker.Resident{testBase}}
	for name := range e.held {
		r.Residents = append(r.Residents, testAdapter(name))
	}
	return r, nil
}

// The unload of an absent adapter doesn't count as an order. When it was counted, the next load expected too many orders:
// without a response, that load was executed after the following one, in a slot that was reassigned.
func TestALoadIsNeverCarriedOutInAPlaceThatWasGivenAway(t *testing.T) {
	c := qt.New(t)
	e := &lateEngine{held: make(map[string]bool), silent: map[string]bool{"a0": true, "a1": true}}
	// The engine responds at once, so that loads end as soon as they are ordered.
	h := lead(c, &scripted{order: e.order, report: e.report}, 1)
	for _, name := range []string{"a0", "a1"} {
		h.until(func() bool {
			if e.isSilent(name) {
				h.want(name)
			}
			return !e.isSilent(name)
		})
	}
	h.until(func() bool {
		h.want("a2")
		return h.holds(testAdapter("a2")) || e.isOverrun()
	})
	c.Check(e.isOverrun(), qt.IsFalse)
}

// An unanswered load keeps its slot, whatever reports list, until the engine has accepted more orders than it expects.
func TestAnOpenLoadKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	h := lead(c, &scripted{}, 2)
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	w.open = []EngineOrder{{Load: true, Adapter: testAdapter("a1").Adapter, Version: 1, Expect: 5}}
	for _, row := range []struct {
		taken uint64
		open  int
	}{{4, 1}, {5, 1}, {6, 0}} {
		w.take(EngineReport{Orders: row.taken, Residents: []tracker.Resident{testBase}})
		(<-h.events)(time.Now())
		c.Check(w.open, qt.HasLen, row.open)
	}
}

// A load without a response is executed late, while the next order changes nothing. The engine's count is then one higher,
// but not because the unload counted: a new report is needed.
func TestACountThatGrewByAnOpenLoadIsAskedFor(t *testing.T) {
	c := qt.New(t)
	h := lead(c, &scripted{}, 1)
	taken := uint64(7)
	h.deps.Engines = &scripted{order: func(o EngineOrder) (Verdict, error) {
		switch {
		case o.Expect != taken:
			return Conflict, nil
		case o.Load && o.Adapter.Name == "a1":
			return Refused, context.DeadlineExceeded
		case !o.Load:
			// a1 is loaded late, right after this.
			taken++
			return Holds, nil
		}
		taken++
		return Accepted, nil
	}}
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	w.taken, w.sure = taken, true
	_, err := w.order(EngineOrder{Load: true, Adapter: testAdapter("a1").Adapter}, true)
	c.Assert(err, qt.IsNotNil)
	w.sure = true
	_, err = w.order(EngineOrder{Adapter: testAdapter("a9").Adapter}, true)
	c.Assert(err, qt.IsNil)
	v, err := w.order(EngineOrder{Load: true, Adapter: testAdapter("a2").Adapter}, true)
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, Conflict)
	c.Check(w.sure, qt.IsFalse)
}

// A report may still list an unloaded adapter. Its second unload changes nothing and doesn't count as an order.
func TestASecondUnloadCountsAsNoOrder(t *testing.T) {
	c := qt.New(t)
	h := lead(c, &scripted{}, 1)
	taken := uint64(7)
	there := true
	h.deps.Engines = &scripted{order: func(o EngineOrder) (Verdict, error) {
		switch {
		case o.Expect != taken:
			return Conflict, nil
		case !o.Load && !there:
			return Holds, nil
		case !o.Load:
			there = false
			taken++
			return Holds, nil
		}
		taken++
		return Accepted, nil
	}}
	w := newWorker(h, tracker.Instance{Key: testKey, Service: "s", Addr: "a"})
	w.taken, w.sure = taken, true
	unload, load := EngineOrder{Adapter: testAdapter("a1").Adapter}, EngineOrder{Load: true, Adapter: testAdapter("a2").Adapter}
	for _, row := range []struct {
		order EngineOrder
		want  Verdict
	}{{unload, Holds}, {unload, Holds}, {load, Accepted}, {unload, Holds}, {load, Accepted}, {load, Accepted}} {
		v, err := w.order(row.order, true)
		c.Assert(err, qt.IsNil)
		c.Check(v, qt.Equals, row.want)
		c.Check(w.taken <= taken, qt.IsTrue, qt.Commentf("counted %d orders of %d", w.taken, taken))
		c.Check(w.sure, qt.IsTrue)
	}
}
