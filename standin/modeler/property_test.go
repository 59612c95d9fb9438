package modeler

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// requestState is the expected state of one request.
type requestState struct {
	outputTokens int
	tokens       int
	ended        bool
}

// TestEveryRequestEndsOnce makes random calls to an engine and checks the invariants of its events.
func TestEveryRequestEndsOnce(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	models := []string{"base", "a@1", "b@1", "c@1"}
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Jitter, cfg.LoadFailureProb = 0.2, 0.1
		cfg.RefusesUnloadInUse = rapid.Bool().Draw(t, "protects")
		e := New(cfg, rapid.Uint64().Draw(t, "seed"))
		streams := make(map[string]*requestState)
		now, last := start, start
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			last = checkEvents(t, e.Advance(now), streams, last, now)
			model := rapid.SampledFrom(models).Draw(t, "model")
			id := string(rune('a' + rapid.IntRange(0, 25).Draw(t, "id")))
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0, 1:
				r := Request{ID: id, Model: model, PromptTokens: rapid.IntRange(0, 300).Draw(t, "prompt"), Prefix: uint64(len(id)), OutputTokens: rapid.IntRange(1, 9).Draw(t, "output")}
				if e.Submit(now, r) == nil {
					streams[id] = &requestState{outputTokens: r.OutputTokens}
				}
			case 2:
				if e.Cancel(now, id) {
					delete(streams, id)
				}
			case 3:
				_ = e.Load(now, model) // a refusal changes nothing
			case 4:
				_ = e.Unload(now, model)
			case 5:
				e.SetSpeed(rapid.Float64Range(0.1, 2).Draw(t, "speed"))
			}
			if e.RunningRequests() > cfg.Batch || len(e.Residents()) > cfg.Slots {
				t.Fatalf("%d requests run and %d adapters are resident", e.RunningRequests(), len(e.Residents()))
			}
		}
		checkEvents(t, e.Advance(now.Add(time.Hour)), streams, last, now.Add(time.Hour))
		for id, s := range streams {
			if !s.ended {
				t.Fatalf("request %s never ended", id)
			}
		}
		if cfg.RefusesUnloadInUse && e.EvictedRequests() > 0 {
			t.Fatalf("engine with RefusesUnloadInUse evicted %d requests", e.EvictedRequests())
		}
	})
}

// checkEvents checks that events are in time order and the tokens of each request in sequence.
func checkEvents(t *rapid.T, events []Event, streams map[string]*requestState, last, now time.Time) time.Time {
	for _, ev := range events {
		if ev.At.Before(last) || ev.At.After(now) {
			t.Fatalf("event at %v is before the last one at %v or after now, %v", ev.At, last, now)
		}
		last = ev.At
		s := streams[ev.ID]
		switch ev.Kind {
		case Token:
			if s == nil || s.ended || ev.N != s.tokens+1 {
				t.Fatalf("unexpected token %d of request %q", ev.N, ev.ID)
			}
			s.tokens++
		case Finished:
			if s == nil || s.ended || s.tokens != s.outputTokens {
				t.Fatalf("request %q finished unexpectedly", ev.ID)
			}
			s.ended = true
		case Failed:
			if s == nil || s.ended {
				t.Fatalf("request %q failed unexpectedly", ev.ID)
			}
			s.ended = true
		default:
		}
	}
	return last
}
