package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/prefixer"
	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/tracker"
)

// explainedState is a state in which a request is explained.
type explainedState struct {
	name    string
	entries int
	servers int
	remote  int
	sent    int
	req     balancer.Request
	loads   []balancer.Load
	// prompt reports that server s1 has read the request's prompt.
	prompt bool
}

var explainedStates = []explainedState{
	{name: "one entry", entries: 1, servers: 3, remote: 1, loads: []balancer.Load{{Server: "s0", Running: 2}}},
	{name: "many entries and few servers", entries: 20, servers: 2, remote: 2, loads: []balancer.Load{{Server: "s0", Running: 3}, {Server: "s2", Running: 1}}},
	{name: "many entries and servers", entries: 20, servers: 8, remote: 8, loads: []balancer.Load{{Server: "s3", Running: 4}, {Server: "s9", Running: 2}}},
	{
		name: "many entries and a cached beginning", entries: 20, servers: 8, remote: 4, prompt: true,
		req: balancer.Request{
			Adapter: adapter, Tokens: 3000,
			Prompt: balancer.Prompt{Memory: 100_000, Target: 200 * time.Millisecond, Prefixes: []prefixer.Prefix{{Digest: 1, Tokens: 2000}, {Digest: 2, Tokens: 3000}}},
		},
	},
	{
		name: "little room", entries: 4, servers: 3, remote: 1, sent: 6,
		req: balancer.Request{Adapter: adapter, Tokens: 200, Memory: 400, Capacity: 4000},
	},
	{
		name: "less room than may come", entries: 8, servers: 3, remote: 1, sent: 10,
		req:   balancer.Request{Adapter: adapter, Tokens: 200, Memory: 600, Capacity: 4000},
		loads: []balancer.Load{{Server: "s0", Memory: 2200}, {Server: "s1", Memory: 2400}, {Server: "s2", Memory: 2200}, {Server: "s3", Memory: 2500}},
	},
}

// build returns a balancer in the state, and the request.
func (s explainedState) build(c *qt.C) (*balancer.Balancer, balancer.Request) {
	b := balancer.New()
	r := rand.New(rand.NewPCG(7, 7))
	b.SetRandom(r.IntN)
	var list []tracker.Instance
	var loads []balancer.Load
	for i := range s.servers + s.remote {
		in := server(fmt.Sprintf("s%d", i), "z")
		if i >= s.servers {
			in.Zone = "far"
		}
		list = append(list, in)
		loads = append(loads, balancer.Load{Server: in.Key.ID})
	}
	b.Set(list, false)
	b.SetEntries(s.entries)
	b.SetLoads(start, append(loads, s.loads...))
	req := s.req
	req.Service, req.Zone, req.Arrived, req.Deadline = "s", "z", start, start.Add(5*time.Second)
	for _, in := range list {
		b.AddResident(in.Key.ID, adapter, 1)
	}
	if s.prompt {
		b.RecordPrompt(start, balancer.Choice{Instance: list[1]}, adapter, req.Prompt)
	}
	for range s.sent {
		ch, status := b.Pick(start, req)
		if status == balancer.Picked {
			b.End(start, ch, adapter, balancer.OK)
		}
	}
	return b, req
}

func TestExplainChangesNothing(t *testing.T) {
	for _, s := range explainedStates {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			explained, req := s.build(c)
			untouched, _ := s.build(c)
			c.Assert(explained.HasSameState(untouched), qt.IsTrue, qt.Commentf("before"))
			explained.SetRandom(func(int) int { panic("a random number is drawn") })
			for i := range 50 {
				explained.Explain(start.Add(time.Duration(i)*100*time.Millisecond), req)
				explained.Explain(start, balancer.Request{Service: fmt.Sprint("unknown", i), Adapter: tracker.Adapter{Model: "m", Name: fmt.Sprint(i)}, Memory: 1, Capacity: 2})
			}
			c.Check(explained.HasSameState(untouched), qt.IsTrue)
			for status := balancer.NoRoom; status != balancer.Picked; {
				_, status = untouched.Pick(start, req)
			}
			c.Check(explained.HasSameState(untouched), qt.IsFalse, qt.Commentf("Pick is seen"))
		})
	}
}

// Pick on copies of the same state chooses each server about as often as Explain says.
func TestExplainedChancesAreThoseOfPick(t *testing.T) {
	const picks = 4000
	for _, s := range explainedStates {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			b, req := s.build(c)
			x := b.Explain(start, req)
			c.Assert(x.Status, qt.Equals, balancer.Picked)
			r := rand.New(rand.NewPCG(11, 11))
			counts := make(map[string]int)
			for range picks {
				b, req := s.build(c)
				b.SetRandom(r.IntN)
				switch ch, status := b.Pick(start, req); status {
				case balancer.Picked:
					counts[ch.Key.ID]++
				default:
					c.Assert(status, qt.Equals, balancer.NoRoom)
					counts[""]++
				}
			}
			sum := x.WaitChance
			near := func(id string, chance float64) {
				share := float64(counts[id]) / picks
				c.Check(share > chance-0.04 && share < chance+0.04, qt.IsTrue, qt.Commentf("%q: %.3f of the picks, chance %.3f", id, share, chance))
			}
			near("", x.WaitChance)
			for _, v := range x.Servers {
				near(v.Key.ID, v.Chance)
				sum += v.Chance
			}
			c.Check(sum > 0.999 && sum < 1.001, qt.IsTrue, qt.Commentf("sum %f", sum))
		})
	}
}

func TestExplainNamesCauses(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *balancer.Balancer, req *balancer.Request)
		cause  balancer.Cause
		status balancer.PickStatus
	}{
		{"free", func(*balancer.Balancer, *balancer.Request) {}, balancer.NoCause, balancer.Picked},
		{"leaving", func(b *balancer.Balancer, _ *balancer.Request) { b.MarkLeaving([]tracker.Key{{ID: "x", StartedMS: 1}}) }, balancer.CauseLeaving, balancer.NoServer},
		{"excluded", func(_ *balancer.Balancer, r *balancer.Request) { r.Except = map[string]bool{"x": true} }, balancer.CauseExcluded, balancer.NoServer},
		{"not loaded", func(b *balancer.Balancer, _ *balancer.Request) { b.RemoveResident("x", adapter) }, balancer.CauseNotLoaded, balancer.NotLoaded},
		{"old version", func(b *balancer.Balancer, _ *balancer.Request) {
			b.SetVersions(start.Add(-time.Minute), []tracker.Resident{{Adapter: adapter, Version: 2}})
		}, balancer.CauseOldVersion, balancer.NotLoaded},
		{"full", func(b *balancer.Balancer, _ *balancer.Request) {
			b.SetLoads(start, []balancer.Load{{Server: "x", Running: 10}})
		}, balancer.CauseFull, balancer.LimitReached},
		{"paused", func(b *balancer.Balancer, _ *balancer.Request) {
			b.Pause(tracker.Key{ID: "x", StartedMS: 1}, start.Add(time.Second))
		}, balancer.CausePaused, balancer.LimitReached},
		{"no room", func(b *balancer.Balancer, r *balancer.Request) {
			r.Memory, r.Capacity = 500, 1000
			b.SetLoads(start, []balancer.Load{{Server: "x", Memory: 800}})
		}, balancer.CauseNoRoom, balancer.NoRoom},
		{"slow", func(b *balancer.Balancer, _ *balancer.Request) {
			b.SetSpeeds([]profiler.Speed{{Server: "x", Step: profiler.Usual / 2, Prefill: profiler.Usual}}, false)
		}, balancer.NoCause, balancer.Picked},
		{"prefill", func(b *balancer.Balancer, r *balancer.Request) {
			r.Tokens, r.MaxPause = 2000, 100*time.Millisecond
			b.SetLoads(start, []balancer.Load{{Server: "x", PrefillTokens: 2000}})
		}, balancer.CausePrefillBusy, balancer.PrefillBusy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := balancer.New()
			b.Set([]tracker.Instance{server("x", "z")}, false)
			b.AddResident("x", adapter, 1)
			req := balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Arrived: start, Deadline: start.Add(time.Second)}
			tt.change(b, &req)
			x := b.Explain(start, req)
			c.Assert(x.Servers, qt.HasLen, 1)
			c.Check(x.Servers[0].Cause, qt.Equals, tt.cause)
			c.Check(x.Status, qt.Equals, tt.status)
			_, status := b.Pick(start, req)
			c.Check(x.Status, qt.Equals, status, qt.Commentf("Pick says the same"))
		})
	}
}

func TestExplainKnowsWhoIsBehind(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, false)
	ticket, _ := b.Enqueue(start, "s", tracker.Adapter{}, time.Second)
	x := b.Explain(start, balancer.Request{Service: "s", Zone: "z"})
	c.Check(x.Status, qt.Equals, balancer.LimitReached)
	c.Check(x.Behind, qt.IsTrue)
	x = b.Explain(start, balancer.Request{Service: "s", Zone: "z", Ticket: ticket})
	c.Check(x.Status, qt.Equals, balancer.Picked)
	c.Check(x.Servers[0].Chance, qt.Equals, 1.0)
}
