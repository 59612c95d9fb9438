package allocator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

var start = time.Unix(1000, 0)

func adapter(name string) tracker.Adapter { return tracker.Adapter{Model: "m", Name: name} }

func engine(id, zone string) tracker.Instance {
	return tracker.Instance{Key: tracker.Key{ID: id, Born: 1}, Service: "s", Zone: zone}
}

func want(name, zone string) allocator.Want {
	return allocator.Want{Service: "s", Adapter: adapter(name), Zone: zone}
}

// load has an adapter loaded and returns its order.
func load(c *qt.C, a *allocator.Allocator, now time.Time, w allocator.Want) allocator.Order {
	a.Want(now, w)
	orders := a.Plan(now)
	c.Assert(orders, qt.HasLen, 1)
	if orders[0].Evict.Name != "" {
		a.Evicted(now, orders[0], true)
	}
	a.Loaded(now, orders[0], true)
	return orders[0]
}

func TestPlacesInTheCallersDataCentre(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	a.SetEngine(start, engine("x", "z1"), 2)
	a.SetEngine(start, engine("y", "z2"), 2)
	c.Check(load(c, a, start, want("a1", "z2")).Engine, qt.Equals, "y")
	a.Want(start, want("a1", "z1"))
	c.Check(a.Plan(start), qt.HasLen, 0, qt.Commentf("a copy exists"))
	copied := want("a1", "z1")
	copied.Copy = true
	a.Use(start, "p", "y", adapter("a1"), 3, 0)
	c.Check(load(c, a, start, copied).Engine, qt.Equals, "x")
}

func TestEvictsWhatIsUsedLeastAndNeverWhatRuns(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	a.SetEngine(start, engine("x", "z"), 2)
	load(c, a, start, want("a1", "z"))
	load(c, a, start, want("a2", "z"))
	a.Use(start, "p", "x", adapter("a1"), 1, 1)
	a.Use(start, "p", "x", adapter("a2"), 9, 0)
	later := start.Add(time.Second)
	o := load(c, a, later, want("a3", "z"))
	c.Check(o.Evict, qt.Equals, adapter("a2"), qt.Commentf("a1 is in use"))
	a.Use(later, "p", "x", adapter("a3"), 1, 1)
	later = later.Add(time.Second)
	a.Want(later, want("a4", "z"))
	c.Check(a.Plan(later), qt.HasLen, 0, qt.Commentf("all are in use"))
	a.Forget("p")
	c.Check(a.Plan(later), qt.HasLen, 1)
}

func TestALoadedAdapterStaysUntilItsUseCanBeKnown(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	a.SetEngine(start, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	a.Want(start.Add(300*time.Millisecond), want("a2", "z"))
	c.Check(a.Plan(start.Add(300*time.Millisecond)), qt.HasLen, 0)
	c.Check(a.Plan(start.Add(600*time.Millisecond)), qt.HasLen, 1)
}

func TestBoundsLoadsUnderWay(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{Transit: 2})
	a.SetEngine(start, engine("x", "z"), 8)
	for _, name := range []string{"a1", "a2", "a3"} {
		a.Want(start, want(name, "z"))
	}
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 2)
	a.Loaded(start, orders[0], false)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestReplacesOldVersions(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	a.SetEngine(start, engine("x", "z"), 2)
	load(c, a, start, want("a1", "z"))
	a.SetVersion(adapter("a1"), 7)
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Version, qt.Equals, 7)
	c.Check(a.Residents("x"), qt.HasLen, 0)
	a.Loaded(start, orders[0], true)
	c.Check(a.Residents("x"), qt.DeepEquals, []tracker.Resident{{Adapter: adapter("a1"), Version: 7}})
}

func TestAnEnginesListCountsOnceOrdersAreOld(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	in := engine("x", "z")
	a.SetEngine(start, in, 2)
	load(c, a, start, want("a1", "z"))
	c.Check(a.SetEngine(start.Add(time.Second), in, 2), qt.IsFalse, qt.Commentf("the list may be older than the load"))
	c.Check(a.SetEngine(start.Add(time.Minute), in, 2), qt.IsTrue)
	c.Check(a.Residents("x"), qt.HasLen, 0)
	in.Key.Born = 2
	in.Residents = []tracker.Resident{{Adapter: adapter("a9"), Version: 1}}
	a.SetEngine(start, in, 2)
	c.Check(a.Residents("x"), qt.DeepEquals, in.Residents)
}
