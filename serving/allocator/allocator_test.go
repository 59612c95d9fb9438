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
	return tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}, Service: "s", Zone: zone}
}

func want(name, zone string) allocator.Want {
	return allocator.Want{Service: "s", Adapter: adapter(name), Zone: zone}
}

func capacity(adapters int) allocator.Capacity {
	return allocator.Capacity{
		Adapters: adapters, Models: []matcher.Model{{Name: "m", LoadTime: time.Second}}, LoadsPerSecond: 2,
	}
}

// add adds an engine that holds the base model only.
func add(a *allocator.Allocator, in tracker.Instance, adapters int) {
	a.SetEngine(in, capacity(adapters))
	a.Sync(start, in.Key.ID, residents(""), nil, true)
}

// load loads an adapter and returns its order.
func load(c *qt.C, a *allocator.Allocator, now time.Time, w allocator.Want) allocator.Order {
	a.Want(now, w)
	orders := a.Plan(now)
	c.Assert(orders, qt.HasLen, 1)
	if orders[0].Evict.Name != "" {
		a.EndEviction(now, orders[0], allocator.Done)
	}
	a.EndLoad(now, orders[0], allocator.Done)
	return orders[0]
}

func TestPlacementPrefersCallersDataCentre(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z1"), 2)
	add(a, engine("y", "z2"), 2)
	c.Check(load(c, a, start, want("a1", "z2")).Engine, qt.Equals, "y")
	a.Want(start, want("a1", "z1"))
	c.Check(a.Plan(start), qt.HasLen, 0, qt.Commentf("a copy exists"))
	copyWant := want("a1", "z1")
	copyWant.Copy = true
	a.Want(start, copyWant)
	c.Check(a.Plan(start), qt.HasLen, 0, qt.Commentf("too few uses for one more copy"))
	a.RecordUse(start, "p", "y", adapter("a1"), 30, 0)
	c.Check(load(c, a, start, copyWant).Engine, qt.Equals, "x")
}

func TestAdapterWaitsForRecentHolder(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z1"), 1)
	load(c, a, start, want("a1", "z1"))
	later := start.Add(time.Second)
	load(c, a, later, want("a2", "z1"))
	a.RecordUse(later, "p", "x", adapter("a2"), 1, 1)
	add(a, engine("y", "z1"), 1)
	a.Want(later, want("a1", "z1"))
	c.Check(a.Plan(later), qt.HasLen, 0, qt.Commentf("x's adapter is in use, and y would fetch a1 from the store"))
	orders := a.Plan(later.Add(300 * time.Millisecond))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
}

func TestEvictsLeastUsedAdapterNotInUse(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 2)
	load(c, a, start, want("a1", "z"))
	load(c, a, start, want("a2", "z"))
	a.RecordUse(start, "p", "x", adapter("a1"), 1, 1)
	a.RecordUse(start, "p", "x", adapter("a2"), 9, 0)
	later := start.Add(time.Second)
	o := load(c, a, later, want("a3", "z"))
	c.Check(o.Evict, qt.Equals, adapter("a2"), qt.Commentf("a1 is in use"))
	a.RecordUse(later, "p", "x", adapter("a3"), 1, 1)
	later = later.Add(time.Second)
	a.Want(later, want("a4", "z"))
	c.Check(a.Plan(later), qt.HasLen, 0, qt.Commentf("all are in use"))
	a.RemoveReporter("p")
	c.Check(a.Plan(later), qt.HasLen, 1)
}

func TestLoadedAdapterIsNotEvictedBeforeUsesAreReported(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	a.Want(start.Add(100*time.Millisecond), want("a2", "z"))
	c.Check(a.Plan(start.Add(100*time.Millisecond)), qt.HasLen, 0)
	c.Check(a.Plan(start.Add(600*time.Millisecond)), qt.HasLen, 1)
}

func TestLimitsLoadsInFlight(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{MaxLoadsPerEngine: 2})
	add(a, engine("x", "z"), 8)
	add(a, engine("y", "z"), 0)
	for _, name := range []string{"a1", "a2", "a3"} {
		a.Want(start, want(name, "z"))
	}
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 2)
	a.EndLoad(start, orders[0], allocator.NotExecuted)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestLimitsFetchesFromTheStore(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 8)
	add(a, engine("y", "z"), 8)
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		a.Want(start, want(name, "z"))
	}
	a.Want(start, want("a6", "z"))
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 4, qt.Commentf("two per engine"))
	c.Check(orders[0].Adapter, qt.Equals, adapter("a6"), qt.Commentf("the most wanted first"))
	a.EndLoad(start, orders[0], allocator.Done)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestFetchLimitFollowsFetchTimes(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 500)
	add(a, engine("y", "z"), 500)
	next := 0
	// round loads eight adapters, each in the time took, and returns how many fetches were in flight at once.
	round := func(took time.Duration) int {
		for range 8 {
			next++
			a.Want(start, want(fmt.Sprintf("a%d", next), "z"))
		}
		orders := a.Plan(start)
		for _, o := range orders {
			o.LoadTime = took
			a.EndLoad(start, o, allocator.Done)
		}
		for rest := a.Plan(start); len(rest) > 0; rest = a.Plan(start) {
			for _, o := range rest {
				o.LoadTime = took
				a.EndLoad(start, o, allocator.Done)
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

// Entries stop using an older version before it is replaced, so that no request delays the replacement.
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
	a.EndLoad(start.Add(time.Second), orders[0], allocator.Done)
	c.Check(a.Residents("x"), qt.Contains, tracker.Resident{Adapter: adapter("a1"), Version: 7})
}

// An engine takes no other order while a replacement waits for the requests that use the adapter.
func TestAdapterInUseIsReplacedOnceNewerCopyIsLoaded(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	add(a, engine("y", "z"), 1)
	later := start.Add(time.Second)
	a.RecordUse(later, "p", "x", adapter("a1"), 5, 2)
	a.SetVersion(adapter("a1"), 2)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a1"), qt.Commentf("x serves the older version until y has the newer one"))
	a.EndLoad(later, orders[0], allocator.Done)
	later = later.Add(time.Second)
	c.Check(a.Plan(later), qt.HasLen, 0, qt.Commentf("x is in use"))
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""), qt.Commentf("x gets no new requests"))
	a.RecordUse(later, "p", "x", adapter("a1"), 0, 0)
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

func TestNoOrdersBeforeSync(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	a.SetEngine(engine("x", "z"), capacity(2))
	a.Want(start, want("a1", "z"))
	c.Check(a.Plan(start), qt.HasLen, 0)
	c.Check(a.Unsynced(start), qt.DeepEquals, []string{"x"})
	a.Sync(start, "x", residents("", "a8"), residents("a9"), true)
	orders := a.Plan(start.Add(time.Second))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict, qt.Equals, adapter("a8"), qt.Commentf("a loading adapter occupies a slot, and its eviction frees none"))
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""))
	c.Check(a.Unsynced(start.Add(time.Second)), qt.DeepEquals, []string{"x"}, qt.Commentf("a newer report tells when a9 is loaded"))
}

func TestUnconfirmedLoadOccupiesSlot(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	a.Want(start, want("a1", "z"))
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	a.EndLoad(start, orders[0], allocator.Unconfirmed)
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""))
	a.Want(start, want("a2", "z"))
	c.Check(a.Plan(start), qt.HasLen, 0)
	a.Sync(start, "x", residents(""), nil, false)
	c.Check(a.Plan(start), qt.HasLen, 0, qt.Commentf("an incomplete report doesn't settle the load"))
	a.Sync(start, "x", residents(""), nil, true)
	orders = a.Plan(start)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict.Name, qt.Equals, "")
}

func TestSyncAppliesEngineReport(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 3)
	load(c, a, start, want("a1", "z"))
	a.Want(start, want("a2", "z"))
	c.Assert(a.Plan(start), qt.HasLen, 1)
	a.Sync(start, "x", residents(""), nil, true)
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a1"), qt.Commentf("the report may predate the load"))
	a.Sync(start.Add(time.Second), "x", residents("", "a3"), nil, true)
	c.Check(a.Residents("x"), qt.DeepEquals, residents("", "a3"), qt.Commentf("a1 is not reported, a2 is being loaded"))
	again := engine("x", "z")
	again.Key.StartedMS = 2
	a.SetEngine(again, capacity(3))
	c.Check(a.Residents("x"), qt.HasLen, 0)
}

func TestFailedLoadIsPlacedAgain(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	a.Want(start, want("a1", "z"))
	orders := a.Plan(start)
	a.EndLoad(start, orders[0], allocator.NotExecuted)
	a.Unsync("x")
	c.Check(a.Plan(start), qt.HasLen, 0)
	a.Sync(start, "x", residents(""), nil, true)
	c.Check(a.Plan(start), qt.HasLen, 1)
}

func TestEngineWithoutBaseModelLoadsOneFirst(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	for _, id := range []string{"x", "y"} {
		a.SetEngine(engine(id, "z"), capacity(2))
		a.Sync(start, id, nil, nil, true)
	}
	a.Want(start, want("a1", "z"))
	orders := a.Plan(start)
	c.Assert(orders, qt.HasLen, 1, qt.Commentf("the limit is two loads a second"))
	c.Check(orders[0].Adapter, qt.Equals, adapter(""))
	c.Check(orders[0].ExpectedLoadTime, qt.Equals, time.Second)
	later := start.Add(600 * time.Millisecond)
	c.Check(a.Plan(later), qt.HasLen, 1)
	a.EndLoad(later, orders[0], allocator.Done)
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""))
	orders = a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Adapter, qt.Equals, adapter("a1"))
}

func TestFailedReplacementKeepsOlderVersion(t *testing.T) {
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
	a.EndLoad(later, orders[0], allocator.NotExecuted)
	a.Want(later, want("a2", "z"))
	for _, o := range a.Plan(later.Add(time.Second)) {
		c.Check(o.Adapter == adapter("a1") || o.Evict == adapter("a1"), qt.IsTrue, qt.Commentf("the engine still holds the older version"))
	}
}

func TestHoldingsAreRestored(t *testing.T) {
	c := qt.New(t)
	before := allocator.New(allocator.Config{})
	add(before, engine("x", "z1"), 1)
	load(c, before, start, want("a1", "z1"))
	load(c, before, start.Add(time.Second), want("a2", "z1"))
	held := before.TakeNewHoldings()
	c.Check(held, qt.DeepEquals, []allocator.Holding{
		{Engine: tracker.Key{ID: "x", StartedMS: 1}, Adapters: []tracker.Adapter{adapter("a1"), adapter("a2")}},
	})
	c.Check(before.TakeNewHoldings(), qt.HasLen, 0)

	after := allocator.New(allocator.Config{})
	after.RestoreHoldings(held)
	add(after, engine("x", "z1"), 1)
	add(after, engine("y", "z2"), 1)
	o := load(c, after, start, want("a1", "z2"))
	c.Check(o.Engine, qt.Equals, "x", qt.Commentf("x loads a1 from its own disk"))
	c.Check(o.ExpectedOnDisk, qt.IsTrue)
	c.Check(after.TakeNewHoldings(), qt.DeepEquals, []allocator.Holding{
		{Engine: tracker.Key{ID: "x", StartedMS: 1}, Adapters: []tracker.Adapter{adapter("a1")}},
	}, qt.Commentf("a1 is now the last loaded"))

	restarted := engine("x", "z1")
	restarted.Key.StartedMS = 2
	add(after, restarted, 1)
	o = load(c, after, start.Add(time.Second), want("a2", "z1"))
	c.Check(o.ExpectedOnDisk, qt.IsFalse, qt.Commentf("holdings of an earlier start don't count"))
}

// fetchTime is the time of a load from the store in these tests.
const fetchTime = 250 * time.Millisecond

// An engine keeps the last loaded adapters on its own disk; their number is estimated from load times.
func TestEstimatesAdaptersOnEngineDisk(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	now := start
	const diskSize = 3
	var disk []string
	expectedFromDisk := 0
	for i := range 600 {
		now = now.Add(time.Second)
		name := fmt.Sprint("a", i%(diskSize+1))
		a.Want(now, want(name, "z"))
		orders := a.Plan(now)
		c.Assert(orders, qt.HasLen, 1)
		o := orders[0]
		if o.Evict.Name != "" {
			a.EndEviction(now, o, allocator.Done)
		}
		o.LoadTime = fetchTime
		for j, onDisk := range disk {
			if onDisk == name {
				o.LoadTime = fetchTime / 10
				disk = append(disk[:j:j], disk[j+1:]...)
				break
			}
		}
		disk = append(disk, name)
		disk = disk[max(len(disk)-diskSize, 0):]
		if i > 500 && o.ExpectedOnDisk {
			expectedFromDisk++
		}
		a.EndLoad(now, o, allocator.Done)
	}
	c.Check(expectedFromDisk < 10, qt.IsTrue, qt.Commentf("%d of the last 100 loads were expected from the disk, none came from it", expectedFromDisk))
}

// At peak load more adapters are requested than can be loaded: those that can still meet their deadline go first, the
// others aren't dropped.
func TestLoadsThatCanMeetDeadlineGoFirst(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{MaxLoadsPerEngine: 1})
	add(a, engine("x", "z"), 8)
	now := start
	for i, left := range []time.Duration{-200, 100, 400, 600} {
		w := want(fmt.Sprint("a", i), "z")
		w.Deadline = now.Add(left * time.Millisecond)
		a.Want(now.Add(time.Duration(i)*time.Millisecond), w)
	}
	now = now.Add(4 * time.Millisecond)
	var got []string
	for range 4 {
		orders := a.Plan(now)
		c.Assert(orders, qt.HasLen, 1)
		got = append(got, orders[0].Adapter.Name)
		a.EndLoad(now, orders[0], allocator.Done)
	}
	c.Check(got, qt.DeepEquals, []string{"a3", "a2", "a0", "a1"})
}

// fetchLoop loads new adapters at the given number of engines for 60 rounds and returns how many fetches were in flight
// together in the last one. took returns the time of the i-th of the fetches in flight together.
func fetchLoop(c *qt.C, engines int, took func(inFlight, i int) time.Duration) int {
	a := allocator.New(allocator.Config{})
	for i := range engines {
		add(a, engine(fmt.Sprint("e", i), "z"), 100)
	}
	now := start
	inFlight := 0
	for round := range 60 {
		now = now.Add(2 * time.Second)
		wants := 8 * engines
		if round == 0 {
			// A single fetch measures the store's full speed.
			wants = 1
		}
		for i := range wants {
			a.Want(now, want(fmt.Sprint("r", round, "-", i), "z"))
		}
		orders := a.Plan(now)
		inFlight = len(orders)
		c.Assert(inFlight > 0, qt.IsTrue)
		for i, o := range orders {
			if o.Evict.Name != "" {
				a.EndEviction(now, o, allocator.Done)
			}
			o.LoadTime = took(inFlight, i)
			a.EndLoad(now, o, allocator.Done)
		}
	}
	return inFlight
}

func TestFetchLimitFollowsStoreCapacity(t *testing.T) {
	c := qt.New(t)
	const engines = 12
	for _, fullSpeedFetches := range []int{16, 24, 40} {
		got := fetchLoop(c, engines, func(inFlight, i int) time.Duration {
			return fetchTime * time.Duration(max(inFlight, fullSpeedFetches)) / time.Duration(fullSpeedFetches)
		})
		c.Check(got >= fullSpeedFetches*3/4 && got <= fullSpeedFetches*3/2, qt.IsTrue, qt.Commentf("%d in flight, the store serves %d at full speed", got, fullSpeedFetches))
	}
	// A leader under load sees the end of most fetches late.
	got := fetchLoop(c, engines, func(_, i int) time.Duration {
		if i%8 != 0 {
			return 2 * fetchTime
		}
		return fetchTime
	})
	c.Check(got >= 3*engines, qt.IsTrue, qt.Commentf("%d in flight, the store serves any number", got))
}

func TestTakeChangedReturnsChangedEngines(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	add(a, engine("y", "z"), 1)
	c.Check(a.TakeChanged(), qt.DeepEquals, []string{"x", "y"})
	c.Check(a.TakeChanged(), qt.HasLen, 0)
	o := load(c, a, start, want("a1", "z"))
	c.Check(a.TakeChanged(), qt.DeepEquals, []string{o.Engine})
	a.RecordMissing(o.Engine, adapter("a2"))
	c.Check(a.TakeChanged(), qt.HasLen, 0, qt.Commentf("a2 was not recorded there"))
	a.RecordMissing(o.Engine, adapter("a1"))
	c.Check(a.TakeChanged(), qt.DeepEquals, []string{o.Engine})
	load(c, a, start, want("a3", "z"))
	a.TakeChanged()
	a.SetVersion(adapter("a3"), 2)
	a.Plan(start.Add(time.Second))
	c.Check(a.TakeChanged(), qt.HasLen, 1, qt.Commentf("an older version gets no new requests"))
}

// An engine that crashed stays listed for a while: requests that got no answer there need the adapter at another
// engine.
func TestUnresponsiveHolderDoesNotPreventLoad(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z1"), 1)
	add(a, engine("y", "z2"), 1)
	c.Assert(load(c, a, start, want("a1", "z1")).Engine, qt.Equals, "x")
	again := want("a1", "z1")
	a.Want(start, again)
	c.Check(a.Plan(start), qt.HasLen, 0)
	again.ExcludedEngines = []string{"x"}
	a.Want(start, again)
	later := start.Add(300 * time.Millisecond)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
}

// A request was denied for an adapter that the engine has loaded since or holds in another version: its slot isn't
// free.
func TestDeniedAdapterOccupiesSlotUntilSync(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	a.RecordMissing("x", adapter("a1"))
	a.Want(start, want("a2", "z"))
	c.Check(a.Plan(start), qt.HasLen, 0)
	c.Check(a.Unsynced(start), qt.DeepEquals, []string{"x"})
	a.Sync(start, "x", residents("", "a1"), nil, true)
	later := start.Add(500 * time.Millisecond)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict, qt.Equals, adapter("a1"))

	add(a, engine("y", "z"), 1)
	c.Assert(load(c, a, later, want("a3", "z")).Engine, qt.Equals, "y")
	a.RecordMissing("y", adapter("a3"))
	pastLag := later.Add(allocator.ReportLag + time.Second)
	a.Sync(pastLag, "y", residents(""), nil, true)
	a.Want(pastLag, want("a4", "z"))
	orders = a.Plan(pastLag)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Evict, qt.Equals, tracker.Adapter{}, qt.Commentf("the engine doesn't list it"))
}

// While versions followed each other, no engine had the newest one, so that older copies in use were never replaced.
func TestAdapterInUseIsReplacedWhileVersionsFollowEachOther(t *testing.T) {
	c := qt.New(t)
	a := allocator.New(allocator.Config{})
	add(a, engine("x", "z"), 1)
	load(c, a, start, want("a1", "z"))
	add(a, engine("y", "z"), 1)
	later := start.Add(time.Second)
	a.RecordUse(later, "p", "x", adapter("a1"), 5, 2)
	a.SetVersion(adapter("a1"), 2)
	orders := a.Plan(later)
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "y")
	a.SetVersion(adapter("a1"), 3)
	a.EndLoad(later, orders[0], allocator.Done)
	a.RecordUse(later, "p", "y", adapter("a1"), 5, 2)
	a.Plan(later.Add(100 * time.Millisecond))
	c.Check(a.Residents("x"), qt.DeepEquals, residents(""), qt.Commentf("y has a newer version"))
	c.Check(a.Residents("y"), qt.HasLen, 2)
	a.RecordUse(later, "p", "x", adapter("a1"), 0, 0)
	orders = a.Plan(later.Add(500 * time.Millisecond))
	c.Assert(orders, qt.HasLen, 1)
	c.Check(orders[0].Engine, qt.Equals, "x")
	c.Check(orders[0].Version, qt.Equals, 3)
}

// A stream that only one software version can go on with waited for an adapter that was loaded at an engine of another.
func TestAdapterIsLoadedAtSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	for _, version := range []string{"v1", "v2"} {
		a := allocator.New(allocator.Config{})
		for i, id := range []string{"x", "y", "z"} {
			in := tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}, Service: "s", Software: []string{"v1", "v2", "v1"}[i]}
			a.SetEngine(in, allocator.Capacity{Adapters: 4, LoadsPerSecond: 100})
			a.Sync(start, id, []tracker.Resident{{Adapter: tracker.Adapter{Model: "m"}, Version: 1}}, nil, true)
		}
		w := allocator.Want{Service: "s", Adapter: tracker.Adapter{Model: "m", Name: "a"}, Deadline: start.Add(time.Second)}
		w.Software = version
		a.Want(start, w)
		orders := a.Plan(start.Add(time.Millisecond))
		c.Assert(orders, qt.HasLen, 1)
		c.Check(orders[0].Engine == "y", qt.Equals, version == "v2")
	}
}
