package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

var start = time.Unix(1000, 0)

func server(id, zone string) tracker.Instance {
	return tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}, Service: "s", Zone: zone, Slots: 4}
}

var adapter = tracker.Adapter{Model: "m", Name: "a1"}

func TestPickPrefersOwnDataCentreUntilItIsLoaded(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	x, y := server("x", "z1"), server("y", "z2")
	// The remote penalty is a quarter of its slots, which is between one and two requests.
	x.Slots, y.Slots = 6, 6
	b.Set([]tracker.Instance{x, y}, true)
	var picked []string
	for range 6 {
		ch, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z2"})
		c.Assert(status, qt.Equals, balancer.Picked)
		picked = append(picked, ch.Key.ID)
	}
	c.Check(picked, qt.DeepEquals, []string{"y", "y", "x", "y", "x", "y"})
}

func TestPickAvoidsServersThatFail(t *testing.T) {
	c := qt.New(t)
	for _, r := range []balancer.Result{balancer.Failed, balancer.Unreachable} {
		b := balancer.New()
		b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
		ch, _ := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
		c.Assert(ch.Key.ID, qt.Equals, "x")
		b.End(start, ch, tracker.Adapter{}, r)
		ch, _ = b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
		c.Check(ch.Key.ID, qt.Equals, "y")
	}
}

func TestPickRequiresAdapterVersionInForce(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	req := balancer.Request{Service: "s", Zone: "z", Adapter: adapter}
	_, status := b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.NoServer)
	b.Set([]tracker.Instance{server("x", "z")}, true)
	_, status = b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.NotLoaded)
	loaded := b.NotifyLoaded(adapter)
	b.AddResident("x", adapter, 1)
	<-loaded
	ch, status := b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.Picked)
	c.Check(ch.Version, qt.Equals, 1)
	b.SetVersions(start, []tracker.Resident{{Adapter: adapter, Version: 2}})
	_, status = b.Pick(start.Add(900*time.Millisecond), req)
	c.Check(status, qt.Equals, balancer.Picked, qt.Commentf("the older version serves until the newer one is loaded"))
	_, status = b.Pick(start.Add(1100*time.Millisecond), req)
	c.Check(status, qt.Equals, balancer.NotLoaded, qt.Commentf("a request that waits at its engine for 4 s begins within 5 s"))
}

func TestPickRequiresBaseModel(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	req := balancer.Request{Service: "s", Zone: "z", Adapter: tracker.Adapter{Model: "m"}}
	b.Set([]tracker.Instance{server("x", "z")}, true)
	_, status := b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.NotLoaded)
	b.AddResident("x", req.Adapter, 1)
	_, status = b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.Picked)
}

// A new leader may not know yet what servers hold; its list must not remove their residents.
func TestSetWithoutResidentsKeepsResidents(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.AddResident("x", adapter, 1)
	b.Set([]tracker.Instance{server("x", "z")}, true)
	_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Adapter: adapter})
	c.Check(status, qt.Equals, balancer.Picked)
	known := server("x", "z")
	known.Residents = []tracker.Resident{{Adapter: tracker.Adapter{Model: "m"}, Version: 1}}
	b.Set([]tracker.Instance{known}, true)
	_, status = b.Pick(start, balancer.Request{Service: "s", Zone: "z", Adapter: adapter})
	c.Check(status, qt.Equals, balancer.NotLoaded)
}

func TestLeaveLastsUntilRestart(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.MarkLeaving([]tracker.Key{{ID: "x", StartedMS: 1}})
	b.Set([]tracker.Instance{server("x", "z")}, true)
	_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
	c.Check(status, qt.Equals, balancer.NoServer)
	restarted := server("x", "z")
	restarted.Key.StartedMS = 2
	b.Set([]tracker.Instance{restarted}, true)
	_, status = b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
	c.Check(status, qt.Equals, balancer.Picked)
}

func TestLeaveWithoutStartTimeMeansCurrentStart(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.MarkLeaving([]tracker.Key{{ID: "x"}})
	_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
	c.Check(status, qt.Equals, balancer.NoServer)
	restarted := server("x", "z")
	restarted.Key.StartedMS = 2
	b.Set([]tracker.Instance{restarted}, true)
	b.MarkLeaving([]tracker.Key{{ID: "x"}})
	_, status = b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
	c.Check(status, qt.Equals, balancer.Picked, qt.Commentf("a leave of an earlier start doesn't apply to a later one"))
}

func TestRequestsQueueInOrderOnceServersAreFull(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.SetEntries(5)
	req := balancer.Request{Service: "s", Zone: "z"}
	ch, _ := b.Pick(start, req)
	_, status := b.Pick(start, req)
	c.Assert(status, qt.Equals, balancer.Picked)
	_, status = b.Pick(start, req)
	c.Assert(status, qt.Equals, balancer.LimitReached, qt.Commentf("four slots, 2.5 requests per slot, among five entries"))
	first, _ := b.Enqueue(start, "s", tracker.Adapter{}, time.Minute)
	c.Assert(first, qt.IsNotNil)
	none, wait := b.Enqueue(start, "s", tracker.Adapter{}, time.Millisecond)
	c.Check(none, qt.IsNil, qt.Commentf("without answers the expected wait is long"))
	c.Check(wait > time.Millisecond, qt.IsTrue)
	b.End(start, ch, tracker.Adapter{}, balancer.OK)
	<-first.Ready()
	_, status = b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.LimitReached, qt.Commentf("queued requests go first"))
	req.Ticket = first
	_, status = b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.Picked)
	b.Dequeue("s", first)
}

func TestUsesReturnsChanges(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.AddResident("x", adapter, 1)
	ch, _ := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Adapter: adapter})
	uses := b.Uses()
	c.Assert(uses, qt.HasLen, 1)
	c.Check(uses[0].Starts, qt.Equals, 1)
	c.Check(uses[0].Running, qt.Equals, 1)
	c.Check(b.Uses(), qt.HasLen, 0)
	b.End(start, ch, adapter, balancer.OK)
	uses = b.Uses()
	c.Assert(uses, qt.HasLen, 1)
	c.Check(uses[0].Running, qt.Equals, 0)
	c.Check(b.Uses(), qt.HasLen, 0)
}

// long requests a server for a prompt with a long prefill.
var long = balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Tokens: 9190, MaxPause: 400 * time.Millisecond}

func TestLongPromptsAreSerialized(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
	b.AddResident("x", adapter, 1)
	b.AddResident("y", adapter, 1)
	first, _ := b.Pick(start, long)
	second, _ := b.Pick(start, long)
	c.Check(first.Key.ID != second.Key.ID, qt.IsTrue)
	_, status := b.Pick(start, long)
	c.Check(status, qt.Equals, balancer.PrefillBusy)
	short := long
	short.Tokens = 646
	_, status = b.Pick(start, short)
	c.Check(status, qt.Equals, balancer.Picked, qt.Commentf("short prompts don't wait"))
	forced := long
	forced.IgnorePrefillLimit = true
	_, status = b.Pick(start, forced)
	c.Check(status, qt.Equals, balancer.Picked, qt.Commentf("the request has waited long enough"))
	c.Check(b.EndPrefill(first), qt.IsTrue)
	c.Check(b.EndPrefill(first), qt.IsFalse, qt.Commentf("the prompt was prefilled before"))
	third, status := b.Pick(start, long)
	c.Check(status, qt.Equals, balancer.Picked)
	c.Check(third.Key.ID, qt.Equals, first.Key.ID)
	b.End(start, second, adapter, balancer.OK)
	_, status = b.Pick(start, short)
	c.Check(status, qt.Equals, balancer.Picked, qt.Commentf("the end of an attempt ends its prefill too"))
}

// The requests of other entries at servers count while the leader keeps reporting them.
func TestLoadsOfAllEntriesCount(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.SetEntries(3)
	b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
	b.AddResident("x", adapter, 1)
	b.AddResident("y", adapter, 1)
	short := long
	short.Tokens = 646
	ch, _ := b.Pick(start, short)
	c.Check(ch.Key.ID, qt.Equals, "x")
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Running: 1}})
	c.Check(b.Loads(), qt.HasLen, 0)
	b.SetLoads(start, []balancer.Load{{Server: "x", Running: 1}, {Server: "y", Running: 3}})
	ch, _ = b.Pick(start, short)
	c.Check(ch.Key.ID, qt.Equals, "x", qt.Commentf("other entries have three requests at y"))
	c.Check(ch.Running, qt.Equals, 4, qt.Commentf("the two other entries are assumed to have sent one each since"))
	ch, _ = b.Pick(start, short)
	c.Check(ch.Key.ID, qt.Equals, "y")
	later := start.Add(3 * time.Second)
	ch, _ = b.Pick(later, short)
	c.Check(ch.Key.ID, qt.Equals, "y", qt.Commentf("loads reported 3 s ago are stale"))
	b.ResendLoads()
	c.Check(b.Loads(), qt.HasLen, 2)
}
