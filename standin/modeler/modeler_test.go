package modeler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// testConfig makes a step take 10 ms, plus 1 ms per decoded token and 1 ms per 10 prompt tokens.
func testConfig() Config {
	return Config{
		Slots: 2, Batch: 2, BaseStepTime: 10 * time.Millisecond, DecodeTime: time.Millisecond, PrefillTime: 100 * time.Microsecond,
		MaxPrefillTokens: 100, LoadTime: 250 * time.Millisecond, CacheTokens: 150, ColdStartTime: time.Second,
	}
}

// newLoadedEngine returns an engine with the adapters resident at ms(0).
func newLoadedEngine(c *quicktest.C, cfg Config, models ...string) *Engine {
	e := New(cfg, 1)
	for _, m := range models {
		c.Assert(e.Load(start.Add(-time.Minute), m), quicktest.IsNil)
	}
	e.Advance(start)
	c.Assert(e.Residents(), quicktest.DeepEquals, models)
	return e
}

// timeline returns the times in ms of the events of a kind for a request or model.
func timeline(events []Event, kind EventKind, name string) []int {
	var list []int
	for _, ev := range events {
		if ev.Kind == kind && (ev.ID == name || ev.Model == name) {
			list = append(list, int(ev.At.Sub(start).Milliseconds()))
		}
	}
	return list
}

func refusalReason(err error) RefusalReason {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return 0
}

func TestStepTimeGrowsWithBatch(t *testing.T) {
	c := quicktest.New(t)
	e := newLoadedEngine(c, testConfig(), "a@1")
	c.Assert(e.Submit(start, Request{ID: "x", Model: "a@1", PromptTokens: 100, OutputTokens: 3}), quicktest.IsNil)
	c.Assert(e.Submit(ms(1), Request{ID: "y", Model: "a@1", PromptTokens: 150, OutputTokens: 2}), quicktest.IsNil)
	events := e.Advance(ms(1000))
	// x alone prefills 100 tokens in 20 ms; y's 150 tokens take two steps of 21 and 16 ms, each with one decode of x.
	c.Assert(timeline(events, Token, "x"), quicktest.DeepEquals, []int{20, 41, 57})
	c.Assert(timeline(events, Token, "y"), quicktest.DeepEquals, []int{57, 68})
	c.Assert(timeline(events, Finished, "y"), quicktest.DeepEquals, []int{68})
	n, ok := e.Progress(ms(1000), "y")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(n, quicktest.Equals, 2)
	_, ok = e.Progress(ms(60000), "y")
	c.Assert(ok, quicktest.IsFalse)
}

func TestPriorityAndCancel(t *testing.T) {
	c := quicktest.New(t)
	cfg := testConfig()
	cfg.Batch = 1
	e := newLoadedEngine(c, cfg, "a@1")
	for _, r := range []Request{{ID: "first"}, {ID: "slow", Priority: 1}, {ID: "late"}, {ID: "gone"}} {
		r.Model, r.PromptTokens, r.OutputTokens = "a@1", 100, 1
		c.Assert(e.Submit(start, r), quicktest.IsNil)
	}
	c.Assert(e.Cancel(start, "gone"), quicktest.IsTrue)
	c.Assert(e.Cancel(start, "gone"), quicktest.IsFalse)
	events := e.Advance(ms(1000))
	c.Assert(timeline(events, Finished, "late"), quicktest.DeepEquals, []int{40})
	c.Assert(timeline(events, Finished, "slow"), quicktest.DeepEquals, []int{60})
	c.Assert(timeline(events, Finished, "gone"), quicktest.HasLen, 0)
}

func TestPrefixCacheIsLimited(t *testing.T) {
	c := quicktest.New(t)
	e := newLoadedEngine(c, testConfig(), "a@1")
	now := start
	firstTokenDelay := func(prefix uint64) time.Duration {
		now = now.Add(time.Second)
		c.Assert(e.Submit(now, Request{ID: "x", Model: "a@1", PromptTokens: 100, Prefix: prefix, PrefixTokens: 90, OutputTokens: 1}), quicktest.IsNil)
		at, _ := e.NextEventAt()
		e.Advance(now.Add(500 * time.Millisecond))
		return at.Sub(now)
	}
	c.Assert(firstTokenDelay(7), quicktest.Equals, 20*time.Millisecond)
	c.Assert(firstTokenDelay(7), quicktest.Equals, 11*time.Millisecond)
	c.Assert(firstTokenDelay(8), quicktest.Equals, 20*time.Millisecond) // 180 tokens don't fit, so 7 is evicted
	c.Assert(firstTokenDelay(7), quicktest.Equals, 20*time.Millisecond)
}

func TestSlotsAndUnload(t *testing.T) {
	for _, refusesUnloadInUse := range []bool{true, false} {
		c := quicktest.New(t)
		cfg := testConfig()
		cfg.RefusesUnloadInUse = refusesUnloadInUse
		e := newLoadedEngine(c, cfg, "a@1", "b@1")
		c.Assert(refusalReason(e.Load(start, "c@1")), quicktest.Equals, NoFreeSlot)
		c.Assert(refusalReason(e.Submit(start, Request{ID: "x", Model: "c@1"})), quicktest.Equals, NotResident)
		c.Assert(e.Submit(start, Request{ID: "x", Model: "a@1", PromptTokens: 10, OutputTokens: 5}), quicktest.IsNil)
		c.Assert(refusalReason(e.Submit(start, Request{ID: "x", Model: "a@1"})), quicktest.Equals, DuplicateRequest)
		c.Assert(e.Unload(start, "b@1"), quicktest.IsNil)
		err := e.Unload(start, "a@1")
		if refusesUnloadInUse {
			c.Assert(refusalReason(err), quicktest.Equals, AdapterInUse)
			c.Assert(e.EvictedRequests(), quicktest.Equals, 0)
			c.Assert(e.ModelsInUse(), quicktest.DeepEquals, []string{"a@1"})
			continue
		}
		c.Assert(err, quicktest.IsNil)
		c.Assert(e.EvictedRequests(), quicktest.Equals, 1)
		c.Assert(timeline(e.Advance(ms(1000)), Failed, "x"), quicktest.DeepEquals, []int{0})
	}
}

func TestCrashRestartsCold(t *testing.T) {
	c := quicktest.New(t)
	e := newLoadedEngine(c, testConfig(), "a@1")
	e.CrashOn(func(r Request) bool { return r.Prefix == 13 })
	c.Assert(e.Submit(start, Request{ID: "ok", Model: "a@1", PromptTokens: 10, OutputTokens: 9}), quicktest.IsNil)
	c.Assert(e.Submit(start, Request{ID: "bad", Model: "a@1", PromptTokens: 10, Prefix: 13, OutputTokens: 9}), quicktest.IsNil)
	events := e.Advance(ms(100))
	c.Assert(timeline(events, Crashed, "bad"), quicktest.DeepEquals, []int{23})
	c.Assert(e.Incarnation(), quicktest.Equals, 2)
	c.Assert(e.Residents(), quicktest.HasLen, 0)
	c.Assert(refusalReason(e.Submit(ms(200), Request{ID: "z", Model: "base"})), quicktest.Equals, Starting)
	c.Assert(timeline(e.Advance(ms(2000)), Ready, ""), quicktest.DeepEquals, []int{1023})
	c.Assert(e.Submit(ms(2000), Request{ID: "z", Model: "base"}), quicktest.IsNil)
}

func TestStragglerAndFailedLoad(t *testing.T) {
	c := quicktest.New(t)
	e := newLoadedEngine(c, testConfig(), "a@1")
	e.SetSpeed(0.5)
	c.Assert(e.Submit(start, Request{ID: "x", Model: "a@1", PromptTokens: 100, OutputTokens: 1}), quicktest.IsNil)
	e.FailLoads("b@1", 1)
	c.Assert(e.Load(start, "b@1"), quicktest.IsNil)
	events := e.Advance(ms(1000))
	c.Assert(timeline(events, Token, "x"), quicktest.DeepEquals, []int{40})
	c.Assert(timeline(events, LoadFailed, "b@1"), quicktest.DeepEquals, []int{250})
	c.Assert(e.Load(ms(1000), "b@1"), quicktest.IsNil)
	c.Assert(timeline(e.Advance(ms(2000)), Loaded, "b@1"), quicktest.DeepEquals, []int{1250})
}

func TestStoreLimits(t *testing.T) {
	tests := []struct {
		name string
		cfg  StoreConfig
		ends []int // of loads begun together
	}{
		{"unlimited", StoreConfig{}, []int{250, 250, 250, 250}},
		{"rate", StoreConfig{Rate: 2}, []int{250, 750, 1250}},
		{"burst", StoreConfig{Rate: 2, FullSpeedLoads: 2}, []int{250, 250, 750, 1250}},
		{"parallel", StoreConfig{FullSpeedLoads: 2}, []int{250, 250, 375, 500}},
		{"in flight", StoreConfig{FullSpeedInFlight: 2}, []int{250, 250, 375, 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := NewStore(tt.cfg)
			for _, end := range tt.ends {
				c.Assert(s.BeginLoad(start), quicktest.Equals, ms(end))
			}
			c.Assert(s.InFlight(start), quicktest.Equals, len(tt.ends))
			c.Assert(s.InFlight(ms(5000)), quicktest.Equals, 0)
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	c := quicktest.New(t)
	run := func(seed uint64) []Event {
		cfg := testConfig()
		cfg.Jitter, cfg.LoadFailureProb = 0.5, 0.5
		e := New(cfg, seed)
		c.Assert(e.Submit(start, Request{ID: "x", Model: "base", PromptTokens: 300, OutputTokens: 20}), quicktest.IsNil)
		c.Assert(e.Load(start, "a@1"), quicktest.IsNil)
		return e.Advance(ms(5000))
	}
	c.Assert(run(3), quicktest.DeepEquals, run(3))
	c.Assert(run(3), quicktest.Not(quicktest.DeepEquals), run(4))
}
