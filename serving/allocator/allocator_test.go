package allocator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/matcher"
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

func room(adapters int) allocator.Room {
	return allocator.Room{
		Adapters: adapters, Models: []matcher.Model{{Name: "m", LoadTime: time.Second}}, LoadsPerSecond: 2,
	}
}

// add takes up an engine that holds the base model only.
func add(a *allocator.Allocator, in tracker.Instance, capacity int) {
	a.SetEngine(in, room(capacity))
	a.Sync(start, in.Key.ID, residents(""), nil)
}

// load has an adapter loaded and returns its order.
func load(c *qt.C, a *allocator.Allocator, now time.Time, w allocator.Want) allocator.Order {
	a.Want(now, w)
	orders := a.Plan(now)
	c.Assert(orders, qt.HasLen, 1)
	if orders[0].Evict.Name != "" {
		a.Evicted(now, orders[0], allocator.Done)
	}
	a.Loaded(now, orders[0], allocator.Done)
	return orders[0]
}

func TestPlacesInTheCallersDataCentre(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z1"), 2)
	add(a, engine("y", "z2"), 2)
	c.Check(load(c, a, start, want("a1", "z2")).Engine, qt.Equals, "y")
	a.Want(start, want("a1", "z1"))
	c.Check(a.Plan(start), qt.HasLen, 0, qt.Commentf("a copy exists"))
	copied := want("a1", "z1")
	copied.Copy = true
	a.Want(start, copied)
	c.Check(a.Plan(start), qt.HasLen, 0, qt.Commentf("a copy isn't worth a fetch yet"))
	a.Use(start, "p", "y", adapter("a1"), 30, 0)
	c.Check(load(c, a, start, copied).Engine, qt.Equals, "x")
}

func TestAnAdapterWaitsForTheEngineThatHeldIt(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z1"), 1)
	load(c, a, start, want("a1", "z1"))
	later := start.Add(time.Second)
	load(c, a, later, want("a2", "z1"))
	a.Use(later, "p", "x", adapter("a2"), 1, 1)
	add(a, engine("y", "z1"), 1)
	a.Want(later, want("a1", "z1"))
	c.Check(a.Plan(later), qt.HasLen, 0, qt.Commentf("x is in use, and y would fetch the adapter from the store"))
	orders := a.Plan(later.Add(300 * time.Millisecond))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
}

func TestEvictsWhatIsUsedLeastAndNeverWhatRuns(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 2)
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
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	a.Want(start.Add(100*time.Millisecond), want("a2", "z"))
	c.Check(a.Plan(start.Add(100*time.Millisecond)), qt.HasLen, 0)
	c.Check(a.Plan(start.Add(600*time.Millisecond)), qt.HasLen, 1)
}

func TestBoundsLoadsUnderWay(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{Transit: 2})
	add(a, engine("x", "z"), 8)
	add(a, engine("y", "z"), 0)
	for _, name := range []string{"a1", "a2", "a3"} {
		a.Want(start, want(name, "z"))
	}
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 2)
	a.Loaded(start, orders[0], allocator.Undone)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestBoundsFetchesFromTheStore(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 8)
	add(a, engine("y", "z"), 8)
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		a.Want(start, want(name, "z"))
	}
	a.Want(start, want("a6", "z"))
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 4, qt.Commentf("two for each engine"))
	c.Check(orders[0].Adapter, qt.Equals, adapter("a6"), qt.Commentf("the most wanted first"))
	a.Loaded(start, orders[0], allocator.Done)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestFetchesFollowTheStoresSpeed(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 500)
	add(a, engine("y", "z"), 500)
	next := 0
	// round has adapters fetched that take so long each, and returns how many were under way at once.
	round := func(took time.Duration) int {
		for range 8 {
			next++
			a.Want(start, want(fmt.Sprintf("a%d", next), "z"))
		}
		orders := a.Plan(start)
		for _, o := range orders {
			o.Took = took
			a.Loaded(start, o, allocator.Done)
		}
		for rest := a.Plan(start); len(rest) > 0; rest = a.Plan(start) {
			for _, o := range rest {
				o.Took = took
				a.Loaded(start, o, allocator.Done)
			}
		}
		return len(orders)
	}
	c.Check(round(250*time.Millisecond), qt.Equals, 4)
	for range 20 {
		round(400 * time.Millisecond)
	}
	c.Check(round(400*time.Millisecond), qt.Equals, 2)
	for range 50 {
		round(250 * time.Millisecond)
	}
	c.Check(round(250*time.Millisecond), qt.Equals, 8)
}

// Processes hear first that an older version isn't to be used any more, so that no request holds the replacement up.
func TestReplacesOldVersions(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 2)
	load(c, a, start, want("a1", "z"))
	a.SetVersion(adapter("a1"), 7)
	c.Check(a.Plan(start), qt.HasLen, 0)
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""))
	orders := a.Plan(start.Add(300 * time.Millisecond))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Version, qt.Equals, 7)
	c.Check(orders[0].Evict.Name, qt.Equals, "")
	a.Loaded(start.Add(time.Second), orders[0], allocator.Done)
	c.Check(a.Residents("x"), qt.Contains, tracker.Resident{Adapter: adapter("a1"), Version: 7})
}

// An engine takes no other order while a replacement waits for the requests that use the adapter.
func TestAnAdapterInUseIsReplacedOnceANewerCopyServes(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	add(a, engine("y", "z"), 1)
	later := start.Add(time.Second)
	a.Use(later, "p", "x", adapter("a1"), 5, 2)
	a.SetVersion(adapter("a1"), 2)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a1"), qt.Commentf("it serves until y has the newer version"))
	a.Loaded(later, orders[0], allocator.Done)
	later = later.Add(time.Second)
	c.Check(a.Plan(later), qt.HasLen, 0, qt.Commentf("x is in use"))
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""), qt.Commentf("x gets no new requests"))
	a.Use(later, "p", "x", adapter("a1"), 0, 0)
	orders = a.Plan(later.Add(300 * time.Millisecond))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "x")
	c.Check(orders[0].Version, qt.Equals, 2)
}

func residents(names ...string) []tracker.Resident {
	var out []tracker.Resident
	for _, name := range names {
		out = append(out, tracker.Resident{Adapter: adapter(name), Version: 1})
	}
	return out
}

func TestNothingIsOrderedBeforeTheEngineSaidWhatItHolds(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	a.SetEngine(engine("x", "z"), room(2))
	a.Want(start, want("a1", "z"))
	c.Check(a.Plan(start), qt.HasLen, 0)
	c.Check(a.Unsynced(), qt.DeepEquals, []string{"x"})
	a.Sync(start, "x", residents("", "a8"), residents("a9"))
	orders := a.Plan(start.Add(time.Second))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict, qt.Equals, adapter("a9"), qt.Commentf("what is loading takes a place too"))
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a8"))
}

func TestADoubtfulLoadTakesAPlace(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	a.Want(start, want("a1", "z"))
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	a.Loaded(start, orders[0], allocator.Doubtful)
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""))
	a.Want(start, want("a2", "z"))
	for _, o := range a.Plan(start) {
		c.Check(o.Evict, qt.Equals, adapter("a1"))
	}
}

func TestSyncTakesUpWhatTheEngineReports(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 3)
	load(c, a, start, want("a1", "z"))
	a.Want(start, want("a2", "z"))
	c.Assert(a.Plan(start), qt.HasLen, 1)
	a.Sync(start, "x", residents(""), nil)
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a1"), qt.Commentf("the report may be older than the load"))
	a.Sync(start.Add(time.Second), "x", residents("", "a3"), nil)
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a3"), qt.Commentf("a1 is gone, a2 is under way"))
	again := engine("x", "z")
	again.Key.Born = 2
	a.SetEngine(again, room(3))
	c.Check(a.Residents("x"), qt.HasLen, 0)
}

func TestWhatFailedIsPlacedAgain(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	a.Want(start, want("a1", "z"))
	orders := a.Plan(start)
	a.Loaded(start, orders[0], allocator.Undone)
	a.Unsync("x")
	c.Check(a.Plan(start), qt.HasLen, 0)
	a.Sync(start, "x", residents(""), nil)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestAnEngineWithoutABaseModelLoadsOneFirst(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	for _, id := range []string{"x", "y"} {
		a.SetEngine(engine(id, "z"), room(2))
		a.Sync(start, id, nil, nil)
	}
	a.Want(start, want("a1", "z"))
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 1, qt.Commentf("the store allows two loads a second"))
	c.Check(orders[0].Adapter, qt.Equals, adapter(""))
	c.Check(orders[0].Time, qt.Equals, time.Second)
	later := start.Add(600 * time.Millisecond)
	c.Check(a.Plan(later), qt.HasLen, 1)
	a.Loaded(later, orders[0], allocator.Done)
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""))
	orders = a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Adapter, qt.Equals, adapter("a1"))
}

func TestAReplacementThatIsNotCarriedOutLeavesTheOlderVersion(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	a.SetVersion(adapter("a1"), 2)
	later := start.Add(time.Second)
	a.Plan(later)
	later = later.Add(time.Second)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	a.Loaded(later, orders[0], allocator.Undone)
	a.Want(later, want("a2", "z"))
	for _, o := range a.Plan(later.Add(time.Second)) {
		c.Check(o.Adapter == adapter("a1") || o.Evict == adapter("a1"), qt.IsTrue, qt.Commentf("the engine still holds the older version"))
	}
}

func TestWhatEnginesHeldOutlivesTheAllocator(t *testing.T) {
	c := qt.New(t)
	before := allocator.New(allocator.Config{})
	add(before, engine("x", "z1"), 1)
	load(c, before, start, want("a1", "z1"))
	load(c, before, start.Add(time.Second), want("a2", "z1"))
	held := before.TakeHeld()
	c.Check(held, qt.DeepEquals, []allocator.Holding{
		{Engine: tracker.Key{ID: "x", Born: 1}, Adapters: []tracker.Adapter{adapter("a1"), adapter("a2")}},
	})
	c.Check(before.TakeHeld(), qt.HasLen, 0)

	after := allocator.New(allocator.Config{})
	after.Remember(held)
	add(after, engine("x", "z1"), 1)
	add(after, engine("y", "z2"), 1)
	o := load(c, after, start, want("a1", "z2"))
	c.Check(o.Engine, qt.Equals, "x", qt.Commentf("it loads a1 from its own disk"))
	c.Check(o.Recent, qt.IsTrue)
	c.Check(after.TakeHeld(), qt.DeepEquals, []allocator.Holding{
		{Engine: tracker.Key{ID: "x", Born: 1}, Adapters: []tracker.Adapter{adapter("a1")}},
	}, qt.Commentf("a1 was loaded last now"))

	reborn := engine("x", "z1")
	reborn.Key.Born = 2
	add(after, reborn, 1)
	o = load(c, after, start.Add(time.Second), want("a2", "z1"))
	c.Check(o.Recent, qt.IsFalse, qt.Commentf("a new start holds nothing of before"))
}

// fetchTime is what a load from the store takes in these tests.
const fetchTime = 250 * time.Millisecond

// An engine keeps the adapters that it loaded last on its own disk, how many is learned from the times of loads.
func TestLearnsHowManyAdaptersEnginesKeep(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	now := start
	const keeps = 3
	var disk []string
	back := 0
	for i := range 600 {
		now = now.Add(time.Second)
		name := fmt.Sprint("a", i%(keeps+1))
		a.Want(now, want(name, "z"))
		orders := a.Plan(now)
		c.Assert(orders, qt.HasLen, 1)
		o := orders[0]
		if o.Evict.Name != "" {
			a.Evicted(now, o, allocator.Done)
		}
		o.Took = fetchTime
		for j, have := range disk {
			if have == name {
				o.Took = fetchTime / 10
				disk = append(disk[:j:j], disk[j+1:]...)
				break
			}
		}
		disk = append(disk, name)
		disk = disk[max(len(disk)-keeps, 0):]
		if i > 500 && o.Recent {
			back++
		}
		a.Loaded(now, o, allocator.Done)
	}
	c.Check(back < 10, qt.IsTrue, qt.Commentf("%d loads of the last 100 were expected from the disk, none came from it", back))
}

// A crest asks for more adapters than can be loaded: those that can still come in time go first, the others aren't lost.
func TestWhatCanComeInTimeIsLoadedFirst(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{Transit: 1})
	add(a, engine("x", "z"), 8)
	now := start
	for i, left := range []time.Duration{-200, 100, 400, 600} {
		w := want(fmt.Sprint("a", i), "z")
		w.Due = now.Add(left * time.Millisecond)
		a.Want(now.Add(time.Duration(i)*time.Millisecond), w)
	}
	now = now.Add(4 * time.Millisecond)
	var got []string
	for range 4 {
		orders := a.Plan(now)
		c.Assert(orders, qt.HasLen, 1)
		got = append(got, orders[0].Adapter.Name)
		a.Loaded(now, orders[0], allocator.Done)
	}
	c.Check(got, qt.DeepEquals, []string{"a3", "a2", "a0", "a1"})
}

// fetchLoop has n engines load new adapters for some rounds, in which a fetch takes as long as took says of those that are
// under way together, and returns how many that were in the end.
func fetchLoop(c *qt.C, n int, took func(together, i int) time.Duration) int {
	a := allocator.New(allocator.Config{})
	for i := range n {
		add(a, engine(fmt.Sprint("e", i), "z"), 100)
	}
	now := start
	together := 0
	for round := range 60 {
		now = now.Add(2 * time.Second)
		wants := 8 * n
		if round == 0 {
			// One by itself shows how fast the store is.
			wants = 1
		}
		for i := range wants {
			a.Want(now, want(fmt.Sprint("r", round, "-", i), "z"))
		}
		orders := a.Plan(now)
		together = len(orders)
		c.Assert(together > 0, qt.IsTrue)
		for i, o := range orders {
			if o.Evict.Name != "" {
				a.Evicted(now, o, allocator.Done)
			}
			o.Took = took(together, i)
			a.Loaded(now, o, allocator.Done)
		}
	}
	return together
}

func TestFetchesFollowTheStore(t *testing.T) {
	c := qt.New(t)
	const engines = 12
	for _, full := range []int{16, 24, 40} {
		got := fetchLoop(c, engines, func(together, i int) time.Duration {
			return fetchTime * time.Duration(max(together, full)) / time.Duration(full)
		})
		c.Check(got >= full*3/4 && got <= full*3/2, qt.IsTrue, qt.Commentf("%d at once, the store serves %d at full speed", got, full))
	}
	// A leader with much to do sees most ends of fetches late.
	got := fetchLoop(c, engines, func(_, i int) time.Duration {
		if i%8 != 0 {
			return 2 * fetchTime
		}
		return fetchTime
	})
	c.Check(got >= 3*engines, qt.IsTrue, qt.Commentf("%d at once, the store serves any number", got))
}

func TestTellsWhichEnginesChanged(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	add(a, engine("y", "z"), 1)
	c.Check(a.Touched(), qt.DeepEquals, []string{"x", "y"})
	c.Check(a.Touched(), qt.HasLen, 0)
	o := load(c, a, start, want("a1", "z"))
	c.Check(a.Touched(), qt.DeepEquals, []string{o.Engine})
	a.Missing(o.Engine, adapter("a2"))
	c.Check(a.Touched(), qt.HasLen, 0, qt.Commentf("nobody thought that it holds a2"))
	a.Missing(o.Engine, adapter("a1"))
	c.Check(a.Touched(), qt.DeepEquals, []string{o.Engine})
	load(c, a, start, want("a3", "z"))
	a.Touched()
	a.SetVersion(adapter("a3"), 2)
	a.Plan(start.Add(time.Second))
	c.Check(a.Touched(), qt.HasLen, 1, qt.Commentf("an older version gets no new requests"))
}

// An engine that crashed stays listed for a while: those whose requests got no answer there need the adapter elsewhere.
func TestAnEngineThatDoesNotAnswerIsNoReasonNotToLoad(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z1"), 1)
	add(a, engine("y", "z2"), 1)
	c.Assert(load(c, a, start, want("a1", "z1")).Engine, qt.Equals, "x")
	again := want("a1", "z1")
	a.Want(start, again)
	c.Check(a.Plan(start), qt.HasLen, 0)
	again.Except = []string{"x"}
	a.Want(start, again)
	later := start.Add(300 * time.Millisecond)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
}

// A request was denied for an adapter that the engine has loaded since, or holds in another version: its place isn't free.
func TestADeniedAdapterKeepsItsPlaceUntilTheEngineWasAsked(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	a.Missing("x", adapter("a1"))
	a.Want(start, want("a2", "z"))
	c.Check(a.Plan(start), qt.HasLen, 0)
	c.Check(a.Unsynced(), qt.DeepEquals, []string{"x"})
	a.Sync(start, "x", residents("", "a1"), nil)
	later := start.Add(500 * time.Millisecond)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict, qt.Equals, adapter("a1"))

	add(a, engine("y", "z"), 1)
	c.Assert(load(c, a, later, want("a3", "z")).Engine, qt.Equals, "y")
	a.Missing("y", adapter("a3"))
	much := later.Add(allocator.ReportLag + time.Second)
	a.Sync(much, "y", residents(""), nil)
	a.Want(much, want("a4", "z"))
	orders = a.Plan(much)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict, qt.Equals, tracker.Adapter{}, qt.Commentf("the engine doesn't list it"))
}
