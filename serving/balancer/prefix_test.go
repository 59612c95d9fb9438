package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/prefixer"
	"redwingstage.org/serving/tracker"
)

// digestPrompt is a digest of a long shared text, whose prefill takes 0.14 s of a target of 0.8 s at 44 tokens a millisecond.
func digestPrompt(own string, memory int) balancer.Prompt {
	parts := []prefixer.Part{{ID: "lecture", Tokens: 6300}, {ID: own, Tokens: 2890}}
	return balancer.Prompt{Prefixes: prefixer.Prefixes(adapter, parts), Memory: memory, Target: 800 * time.Millisecond}
}

func twoEngines() *balancer.Balancer {
	b := balancer.New()
	x, y := server("x", "z"), server("y", "z")
	x.Slots, y.Slots = 16, 16
	b.Set([]tracker.Instance{x, y}, true)
	b.AddResident("x", adapter, 1)
	b.AddResident("y", adapter, 1)
	for range 64 {
		b.RecordPrefillTime("s", 4400, 100*time.Millisecond)
	}
	return b
}

// serveDigest serves one digest at the engine y, which is then believed to hold its prompt.
func serveDigest(c *qt.C, b *balancer.Balancer, p balancer.Prompt) {
	ch, status := b.Pick(start, balancer.Request{
		Service: "s", Zone: "z", Adapter: adapter, Tokens: 9190, MaxPause: 400 * time.Millisecond, Prompt: p, Except: map[string]bool{"x": true},
	})
	c.Assert(status, qt.Equals, balancer.Picked)
	c.Assert(ch.Key.ID, qt.Equals, "y")
	b.EndPrefill(ch)
	b.RecordPrompt(start, ch, adapter, p)
	b.End(start, ch, adapter, balancer.OK)
}

// The saved prefill is worth about three of sixteen running requests. The load: a digest of a text that one engine has read, while
// that engine runs more and more requests than the other one.
func TestSavedPrefillIsWeighedAgainstLoad(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		running int
		memory  int
		want    string
	}{{0, 200_000, "y"}, {2, 200_000, "y"}, {6, 200_000, "x"}, {0, 0, "x"}, {1, 0, "x"}} {
		b := twoEngines()
		serveDigest(c, b, digestPrompt("first", row.memory))
		for range row.running {
			_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Except: map[string]bool{"x": true}})
			c.Assert(status, qt.Equals, balancer.Picked)
		}
		ch, status := b.Pick(start.Add(time.Second), balancer.Request{
			Service: "s", Zone: "z", Adapter: adapter, Tokens: 9190, MaxPause: 400 * time.Millisecond, Prompt: digestPrompt("second", row.memory),
		})
		c.Assert(status, qt.Equals, balancer.Picked)
		c.Check(ch.Key.ID, qt.Equals, row.want, qt.Commentf("%d running, memory of %d tokens", row.running, row.memory))
	}
}

// An engine that ended, lost the adapter or had no use of the prompt for long holds nothing.
func TestCachedPromptIsForgotten(t *testing.T) {
	c := qt.New(t)
	restarted := server("y", "z")
	restarted.Key.StartedMS, restarted.Slots = 2, 16
	for name, end := range map[string]func(b *balancer.Balancer) time.Time{
		"restart": func(b *balancer.Balancer) time.Time {
			b.Set([]tracker.Instance{restarted}, true)
			b.AddResident("y", adapter, 1)
			return start
		},
		"another version": func(b *balancer.Balancer) time.Time { b.AddResident("y", adapter, 2); return start },
		"unloaded": func(b *balancer.Balancer) time.Time {
			b.RemoveResident("y", adapter)
			b.AddResident("y", adapter, 1)
			return start
		},
		"unused": func(*balancer.Balancer) time.Time { return start.Add(time.Hour) },
	} {
		b := twoEngines()
		serveDigest(c, b, digestPrompt("first", 200_000))
		now := end(b)
		ch, _ := b.Pick(now, balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Prompt: digestPrompt("second", 200_000)})
		c.Check(ch.Cached, qt.Equals, 0, qt.Commentf("%s", name))
		c.Check(ch.Key.ID, qt.Equals, "x", qt.Commentf("%s", name))
	}
}

// With more than a few entries each considers few engines; one that another entry's digest warmed is considered all the same, unless
// it is full.
func TestEntriesShareCachedPrompts(t *testing.T) {
	c := qt.New(t)
	const engines = 56
	var list []tracker.Instance
	for i := range engines {
		in := server(string(rune('A'+i/26))+string(rune('a'+i%26)), "z")
		in.Slots = 16
		in.Residents = []tracker.Resident{{Adapter: adapter, Version: 1}}
		list = append(list, in)
	}
	first, second := balancer.New(), balancer.New()
	for _, b := range []*balancer.Balancer{first, second} {
		b.Set(list, true)
		b.SetEntries(63)
		b.SetRandom(rand.New(rand.NewPCG(1, 2)).IntN)
	}
	ch, _ := first.Pick(start, balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Tokens: 9190, Prompt: digestPrompt("first", 200_000)})
	first.RecordPrompt(start, ch, adapter, digestPrompt("first", 200_000))
	shared := first.SharedPrefixes()
	c.Assert(shared, qt.HasLen, 1)
	second.AddSharedPrefixes(start, shared)
	req := balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Tokens: 9190, MaxPause: 400 * time.Millisecond, Prompt: digestPrompt("second", 200_000)}
	got, status := second.Pick(start, req)
	c.Assert(status, qt.Equals, balancer.Picked)
	c.Check(got.Key, qt.Equals, ch.Key)
	c.Check(got.Cached, qt.Equals, 6300)
	second.Pause(ch.Key, start.Add(time.Minute))
	got, _ = second.Pick(start, req)
	c.Check(got.Key, qt.Not(qt.Equals), ch.Key)
}

// A prompt of which an engine holds most doesn't wait behind another one in prefill there.
func TestCachedPromptNeedsNoTurn(t *testing.T) {
	c := qt.New(t)
	b := twoEngines()
	p := digestPrompt("first", 200_000)
	serveDigest(c, b, p)
	long := balancer.Request{Service: "s", Zone: "z", Adapter: adapter, Tokens: 9190, MaxPause: 400 * time.Millisecond, Except: map[string]bool{"x": true}}
	_, status := b.Pick(start, long)
	c.Assert(status, qt.Equals, balancer.Picked)
	_, status = b.Pick(start, long)
	c.Assert(status, qt.Equals, balancer.PrefillBusy)
	long.Prompt = p
	ch, status := b.Pick(start, long)
	c.Check(status, qt.Equals, balancer.Picked)
	c.Check(ch.DelaysPrefill(), qt.IsFalse)
}
