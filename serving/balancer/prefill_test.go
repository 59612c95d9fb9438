package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

// Which prompts are serialized follows from the engines' prefill rate and the longest pause. The load: prompts of one
// or two lengths that arrive at the same moment for the only engine with their adapter.
func TestPrefillLimitFollowsPauseLimit(t *testing.T) {
	for _, row := range []struct {
		name     string
		perMS    int
		maxPause time.Duration
		tokens   []int
		// want is how many of the prompts the engine gets at once.
		want int
	}{
		{"fast engine prefills many short prompts at once", 35, 400 * time.Millisecond, []int{646, 646, 646, 646, 646, 646, 646, 646}, 8},
		{"fast engine prefills one long prompt at once", 35, 400 * time.Millisecond, []int{9190, 9190}, 1},
		{"short prompt beside a long one does not wait", 35, 400 * time.Millisecond, []int{9190, 646}, 2},
		{"slow engine prefills one medium prompt at once", 15, 300 * time.Millisecond, []int{1460, 1460, 1460}, 1},
		{"slow engine prefills two short prompts at once", 15, 300 * time.Millisecond, []int{646, 646, 646}, 2},
		{"no prompt waits without a pause limit", 15, 0, []int{9190, 9190}, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			b := balancer.New()
			b.Set([]tracker.Instance{server("x", "z")}, true)
			b.AddResident("x", adapter, 1)
			for range 64 {
				b.RecordPrefillTime("s", 1000, time.Duration(1000/row.perMS)*time.Millisecond)
			}
			got := 0
			for _, n := range row.tokens {
				if _, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Tokens: n, MaxPause: row.maxPause}); status == balancer.Picked {
					got++
				}
			}
			c.Check(got, qt.Equals, row.want)
		})
	}
}

// Many entries with few requests each receive the sums late. The load: 195 entries that choose at the same moment among
// sixty equal servers, of which one was reported idle.
func TestEntriesDoNotAllChooseSameServer(t *testing.T) {
	c := qt.New(t)
	const entries, servers = 195, 60
	got := make(map[string]int)
	var list []tracker.Instance
	var sums []balancer.Load
	for i := range servers {
		in := server(string(rune('A'+i/26))+string(rune('a'+i%26)), "z")
		in.Slots = 12
		list = append(list, in)
		sums = append(sums, balancer.Load{Server: in.Key.ID, Running: 4})
	}
	sums[0].Running = 0
	for range entries {
		b := balancer.New()
		b.SetEntries(entries)
		b.Set(list, true)
		b.SetLoads(start, sums)
		ch, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
		c.Assert(status, qt.Equals, balancer.Picked)
		got[ch.Key.ID]++
	}
	// A server has 12 slots and a queue of twice as many: the idle one must not be overloaded.
	c.Check(got[list[0].Key.ID] <= 24, qt.IsTrue, qt.Commentf("%d of %d entries chose the idle server", got[list[0].Key.ID], entries))
	c.Check(got[list[0].Key.ID] >= 1, qt.IsTrue)
}

// One entry may use a server's free slots, however many entries there are; the sums keep all of them within the limit.
func TestOneOfManyEntriesMayUseFreeSlots(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.SetEntries(195)
	in := server("x", "z")
	in.Slots = 12
	b.Set([]tracker.Instance{in}, true)
	b.SetLoads(start, []balancer.Load{{Server: "x"}})
	req := balancer.Request{Service: "s", Zone: "z"}
	for range 3 {
		_, status := b.Pick(start, req)
		c.Check(status, qt.Equals, balancer.Picked)
	}
	b.SetLoads(start, []balancer.Load{{Server: "x", Running: 33}})
	_, status := b.Pick(start, req)
	c.Check(status, qt.Equals, balancer.LimitReached)
}

// A server restarts under the same ID while requests were there: the sums of all entries must not keep them, or the
// server counts as full forever.
func TestRestartEndsReportedLoad(t *testing.T) {
	c := qt.New(t)
	for _, removed := range []bool{false, true} {
		b := balancer.New()
		b.Set([]tracker.Instance{server("x", "z")}, true)
		ch, _ := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
		c.Assert(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Running: 1}})
		if removed {
			b.Remove([]string{"x"})
		}
		restarted := server("x", "z")
		restarted.Key.StartedMS = 2
		b.Set([]tracker.Instance{restarted}, true)
		b.End(start, ch, tracker.Adapter{}, balancer.Failed)
		c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
		c.Check(b.Loads(), qt.HasLen, 0)
	}
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
	b.Loads()
	b.Remove([]string{"x"})
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
}

// Work was reported while a session was starting, and ended before everything was reported again: the last report must
// be that there is none.
func TestResendLoadsReportsEndOfWork(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	ch, _ := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
	c.Assert(b.Loads(), qt.HasLen, 1)
	b.ResendLoads()
	b.End(start, ch, tracker.Adapter{}, balancer.OK)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
	c.Check(b.Loads(), qt.HasLen, 0)
}
