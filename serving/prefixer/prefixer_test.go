package prefixer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
)

var (
	adapter = tracker.Adapter{Model: "m", Name: "a1"}
	engine  = tracker.Key{ID: "e1", StartedMS: 1}
	start   = time.Unix(1000, 0)
)

const retention = 10 * time.Second

func prompt(ids ...string) []Prefix {
	var parts []Part
	for _, id := range ids {
		parts = append(parts, Part{ID: id, Tokens: 100})
	}
	return Prefixes(adapter, parts)
}

func TestHeldCountsTheSharedBeginningOnly(t *testing.T) {
	c := qt.New(t)
	x := New()
	x.Record(start, engine, adapter, prompt("a", "b", "c"), 1<<20, retention)
	for _, row := range []struct {
		list []Prefix
		want int
	}{
		{prompt("a", "b", "c"), 300},
		{prompt("a", "b", "x"), 200},
		{prompt("a", "x", "c"), 100},
		{prompt("b", "a"), 0},
		{Prefixes(tracker.Adapter{Model: "m", Name: "a2"}, []Part{{"a", 100}}), 0},
		{nil, 0},
	} {
		c.Check(x.Held(start, engine, row.list, retention), qt.Equals, row.want)
	}
	c.Check(x.Held(start, tracker.Key{ID: "e1", StartedMS: 2}, prompt("a"), retention), qt.Equals, 0, qt.Commentf("another start"))
}

func TestPrefixesExpireUnlessUsed(t *testing.T) {
	c := qt.New(t)
	x := New()
	x.Record(start, engine, adapter, prompt("a", "b"), 1<<20, retention)
	x.Record(start.Add(6*time.Second), engine, adapter, prompt("a"), 1<<20, retention)
	at := start.Add(12 * time.Second)
	c.Check(x.Held(at, engine, prompt("a", "b"), retention), qt.Equals, 100)
	c.Check(x.Held(start.Add(17*time.Second), engine, prompt("a"), retention), qt.Equals, 0)
}

func TestAdapterAndEngineAreForgotten(t *testing.T) {
	c := qt.New(t)
	x := New()
	other := tracker.Adapter{Model: "m", Name: "a2"}
	otherPrompt := Prefixes(other, []Part{{"a", 100}})
	x.Record(start, engine, adapter, prompt("a"), 1<<20, retention)
	x.Record(start, engine, other, otherPrompt, 1<<20, retention)
	x.ForgetAdapter(engine, adapter)
	c.Check(x.Held(start, engine, prompt("a"), retention), qt.Equals, 0)
	c.Check(x.Held(start, engine, otherPrompt, retention), qt.Equals, 100)
	x.Forget(engine)
	c.Check(x.Held(start, engine, otherPrompt, retention), qt.Equals, 0)
}

func TestOnlyLongPrefixesAreSharedAndNotAtEachUse(t *testing.T) {
	c := qt.New(t)
	x, y := New(), New()
	x.Record(start, engine, adapter, prompt("a", "b", "own"), 150, retention)
	x.Record(start.Add(time.Second), engine, adapter, prompt("a", "b", "own"), 150, retention)
	shared := x.TakeShared()
	c.Assert(shared, qt.HasLen, 1)
	c.Check(shared[0].Prefix.Tokens, qt.Equals, 200)
	y.AddShared(start, shared[0])
	c.Check(y.TakeShared(), qt.HasLen, 0)
	c.Check(y.Held(start, engine, prompt("a", "b", "other"), retention), qt.Equals, 200)
	x.Record(start.Add(6*time.Second), engine, adapter, prompt("a", "b", "own"), 150, retention)
	c.Check(x.TakeShared(), qt.HasLen, 1)
}

func TestRetentionFollowsLoadAndMemory(t *testing.T) {
	c := qt.New(t)
	x := New()
	c.Check(x.Retention(start, 0, 63, 56), qt.Equals, time.Duration(0), qt.Commentf("unknown memory"))
	c.Check(x.Retention(start, 200_000, 63, 56), qt.Equals, maxRetention, qt.Commentf("no load"))
	for i := range 400 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		x.Record(at, engine, adapter, prompt(fmt.Sprint(i), fmt.Sprint("b", i)), 1<<20, retention)
	}
	now := start.Add(40 * time.Second)
	// 2,000 tokens a second here, 63 entries, 56 engines: about 2,250 a second at each engine.
	got := x.Retention(now, 200_000, 63, 56)
	c.Check(got > 40*time.Second && got < 50*time.Second, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(x.Retention(now, 2_000, 63, 56), qt.Equals, minRetention)
}

func TestPrefixesPerEngineAreBounded(t *testing.T) {
	c := qt.New(t)
	x := New()
	for i := range 3 * maxPrefixes {
		x.Record(start.Add(time.Duration(i)*time.Millisecond), engine, adapter, prompt(fmt.Sprint(i)), 1<<20, retention)
	}
	c.Check(len(x.engines[engine]) <= maxPrefixes, qt.IsTrue)
	c.Check(x.Held(start.Add(2*time.Second), engine, prompt(fmt.Sprint(3*maxPrefixes-1)), retention), qt.Equals, 100)
}
