package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/tracker"
)

// The load: 120 requests at once for four engines of 16 slots, of which one is half as fast as the others and one a third
// faster.
func TestLoadFollowsSpeed(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	var list []tracker.Instance
	for _, id := range []string{"fast", "slow", "x", "y"} {
		in := server(id, "z")
		in.Slots = 16
		list = append(list, in)
	}
	b.Set(list, true)
	b.SetSpeeds([]profiler.Speed{{Server: "slow", Step: 50, Prefill: 50}, {Server: "fast", Step: 133, Prefill: 133}}, false)
	got := make(map[string]int)
	for range 120 {
		ch, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
		c.Assert(status, qt.Equals, balancer.Picked)
		got[ch.Key.ID]++
	}
	c.Check(got["slow"]*10 < got["x"]*6, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got["fast"] > got["x"], qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got["slow"] > 0, qt.IsTrue, qt.Commentf("an engine without requests would never be seen to recover"))
}

// Only the leader's first message lists all speeds; a restart makes a server a usual one.
func TestSpeedsAreForgotten(t *testing.T) {
	c := qt.New(t)
	slowFirst := func(b *balancer.Balancer) string {
		ch, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z"})
		c.Assert(status, qt.Equals, balancer.Picked)
		b.End(start, ch, tracker.Adapter{}, balancer.OK)
		return ch.Key.ID
	}
	newBalancer := func() *balancer.Balancer {
		b := balancer.New()
		b.Set([]tracker.Instance{server("a", "z"), server("b", "z")}, true)
		b.SetSpeeds([]profiler.Speed{{Server: "a", Step: 40, Prefill: 40}}, false)
		c.Assert(slowFirst(b), qt.Equals, "b")
		return b
	}
	b := newBalancer()
	b.SetSpeeds(nil, false)
	c.Check(slowFirst(b), qt.Equals, "b")
	b.SetSpeeds(nil, true)
	c.Check(slowFirst(b), qt.Equals, "a")
	b = newBalancer()
	restarted := server("a", "z")
	restarted.Key.StartedMS = 2
	b.Set([]tracker.Instance{restarted}, true)
	c.Check(slowFirst(b), qt.Equals, "a")
}

// The prompts that a slow engine prefills at once follow its own speed, those of others theirs.
func TestPrefillLimitFollowsServerSpeed(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct{ percent, want int }{{40, 1}, {100, 2}, {200, 4}} {
		b := balancer.New()
		b.Set([]tracker.Instance{server("x", "z")}, true)
		for range 64 {
			b.RecordPrefillTime("s", 1000, 25*time.Millisecond)
		}
		b.SetSpeeds([]profiler.Speed{{Server: "x", Step: row.percent, Prefill: row.percent}}, false)
		got := 0
		for range 8 {
			if _, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Tokens: 2500, MaxPause: 400 * time.Millisecond}); status == balancer.Picked {
				got++
			}
		}
		c.Check(got, qt.Equals, row.want, qt.Commentf("speed %d", row.percent))
	}
}

// A prompt that waited behind others says nothing about its server's speed.
func TestWaitingPromptsAreNotSamples(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	in := server("x", "z")
	in.Slots = 1
	b.Set([]tracker.Instance{in}, true)
	req := balancer.Request{Service: "s", Zone: "z"}
	first, _ := b.Pick(start, req)
	second, _ := b.Pick(start, req)
	for range 8 {
		b.RecordFirstEvent(start, second, 646, time.Second)
	}
	c.Check(b.SpeedSamples(), qt.HasLen, 0)
	for range 8 {
		b.RecordFirstEvent(start, first, 646, time.Second)
	}
	b.RecordEvents(start, first, 3, 150*time.Millisecond)
	samples := b.SpeedSamples()
	c.Assert(samples, qt.HasLen, 1)
	c.Check(samples[0].Events, qt.Equals, 3)
	c.Check(samples[0].Prompts > 0, qt.IsTrue)
	c.Check(b.SpeedSamples(), qt.HasLen, 0)
}
