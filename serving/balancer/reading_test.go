package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

// Which prompts take turns follows from how fast engines read and how long streams may pause. The load: prompts of two
// lengths that come at the same moment for the only engine with their adapter.
func TestPromptsTakeTurnsAsFarAsPausesAllow(t *testing.T) {
	for _, row := range []struct {
		name   string
		perMS  int
		gap    time.Duration
		tokens []int
		// want is how many of the prompts the engine gets at once.
		want int
	}{
		{"fast engines read many short prompts at once", 35, 400 * time.Millisecond, []int{646, 646, 646, 646, 646, 646, 646, 646}, 8},
		{"and one long one", 35, 400 * time.Millisecond, []int{9190, 9190}, 1},
		{"a short one beside a long one doesn't wait", 35, 400 * time.Millisecond, []int{9190, 646}, 2},
		{"slow engines read one middling prompt at once", 15, 300 * time.Millisecond, []int{1460, 1460, 1460}, 1},
		{"and two short ones", 15, 300 * time.Millisecond, []int{646, 646, 646}, 2},
		{"without a bound on pauses nothing waits", 15, 0, []int{9190, 9190}, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			b := balancer.New()
			b.Set([]tracker.Instance{server("x", "z")}, true)
			b.Hold("x", adapter, 1)
			for range 64 {
				b.Timed("s", 1000, time.Duration(1000/row.perMS)*time.Millisecond)
			}
			got := 0
			for _, n := range row.tokens {
				if _, v := b.Pick(start, balancer.Ask{Service: "s", Zone: "z", Adapter: adapter, Tokens: n, Gap: row.gap}); v == balancer.Chosen {
					got++
				}
			}
			c.Check(got, qt.Equals, row.want)
		})
	}
}

// Many small entries learn sums late. The load: 195 entries that choose at the same moment among sixty equal servers, of
// which one was told to be idle.
func TestManyEntriesDoNotAllChooseTheSameServer(t *testing.T) {
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
		ch, v := b.Pick(start, balancer.Ask{Service: "s", Zone: "z"})
		c.Assert(v, qt.Equals, balancer.Chosen)
		got[ch.Key.ID]++
	}
	// A server has 12 places and a queue of twice as many: the idle one must not be overrun.
	c.Check(got[list[0].Key.ID] <= 24, qt.IsTrue, qt.Commentf("%d of %d", got[list[0].Key.ID], entries))
	c.Check(got[list[0].Key.ID] >= 1, qt.IsTrue)
}

// One entry may use a server's free places, however many entries there are; the sums keep all of them below the bound.
func TestAnEntryMayUseFreePlacesAmongMany(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.SetEntries(195)
	in := server("x", "z")
	in.Slots = 12
	b.Set([]tracker.Instance{in}, true)
	b.SetLoads(start, []balancer.Load{{Server: "x"}})
	ask := balancer.Ask{Service: "s", Zone: "z"}
	for range 3 {
		_, v := b.Pick(start, ask)
		c.Check(v, qt.Equals, balancer.Chosen)
	}
	b.SetLoads(start, []balancer.Load{{Server: "x", Running: 33}})
	_, v := b.Pick(start, ask)
	c.Check(v, qt.Equals, balancer.Full)
}

// A server starts again under its name while requests were there: the sums of all entries must not keep them, or the server
// counts as full for good.
func TestWorkAtAnEarlierStartIsOver(t *testing.T) {
	c := qt.New(t)
	for _, gone := range []bool{false, true} {
		b := balancer.New()
		b.Set([]tracker.Instance{server("x", "z")}, true)
		ch, _ := b.Pick(start, balancer.Ask{Service: "s", Zone: "z"})
		c.Assert(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Running: 1}})
		if gone {
			b.Remove([]string{"x"})
		}
		again := server("x", "z")
		again.Key.Born = 2
		b.Set([]tracker.Instance{again}, true)
		b.End(start, ch, tracker.Adapter{}, balancer.Failed)
		c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
		c.Check(b.Loads(), qt.HasLen, 0)
	}
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.Pick(start, balancer.Ask{Service: "s", Zone: "z"})
	b.Loads()
	b.Remove([]string{"x"})
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
}

// Work was told to a session that was just beginning, and ended before all was told again: the last word must be that
// there is none.
func TestWorkToldBeforeASessionIsTakenBack(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	ch, _ := b.Pick(start, balancer.Ask{Service: "s", Zone: "z"})
	c.Assert(b.Loads(), qt.HasLen, 1)
	b.RetellLoads()
	b.End(start, ch, tracker.Adapter{}, balancer.OK)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
	c.Check(b.Loads(), qt.HasLen, 0)
}
