package governor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/tracker"
)

// A relay sums its entries' samples, at most ten times a second, and drops those of servers that it doesn't know.
func TestRelaySumsSpeedSamples(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	r := newRelay(nil, newMetrics())
	var sent []UpMessage
	r.setUpstream(func(up UpMessage) bool {
		sent = append(sent, up)
		return true
	})
	r.view.setServer(tracker.Instance{Key: tracker.Key{ID: "x"}}, false)
	a, b := &session{hello: &Hello{Node: "a"}}, &session{hello: &Hello{Node: "b"}}
	r.receive(a, UpMessage{Speeds: []SpeedSample{{Server: "x", Events: 2, Load: 100, Pause: 2000}, {Server: "unknown", Events: 1}}})
	r.receive(b, UpMessage{Speeds: []SpeedSample{{Server: "x", Events: 1, Load: 20, Pause: 900, Prompts: 1, Held: 30, First: -50}}})
	r.sendReport(now)
	c.Assert(sent, qt.HasLen, 1)
	c.Check(sent[0].Speeds, qt.DeepEquals, []SpeedSample{{Server: "x", Events: 3, Load: 120, Pause: 2900, Prompts: 1, Held: 30, First: -50}})
	r.receive(a, UpMessage{Speeds: []SpeedSample{{Server: "x", Events: 1}}})
	r.sendReport(now.Add(20 * time.Millisecond))
	c.Check(sent, qt.HasLen, 1)
	r.sendReport(now.Add(120 * time.Millisecond))
	c.Check(sent, qt.HasLen, 2)
	r.clearUpstream(now)
	r.receive(a, UpMessage{Speeds: []SpeedSample{{Server: "x", Events: 1}}})
	r.sendReport(now.Add(time.Second))
	c.Check(r.pending.speeds.Take(), qt.HasLen, 0, qt.Commentf("without a leader samples don't pile up"))
}

// A leader's first message lists all speeds that aren't usual; a view drops the others, and that of a server that restarted.
func TestViewForgetsSpeeds(t *testing.T) {
	c := qt.New(t)
	v := newView()
	for _, id := range []string{"x", "y"} {
		v.setServer(tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}}, false)
	}
	v.apply(&DownMessage{Speeds: []Speed{{Server: "x", Step: 40, Prefill: 50}, {Server: "y", Step: 70, Prefill: 70}, {Server: "z", Step: 10, Prefill: 10}}})
	c.Check(v.takeUpdate(true).Speeds, qt.DeepEquals, []Speed{{Server: "x", Step: 40, Prefill: 50}, {Server: "y", Step: 70, Prefill: 70}})
	v.apply(&DownMessage{Welcome: &Welcome{LeaderEpoch: 2}, Speeds: []Speed{{Server: "x", Step: 60, Prefill: 60}}})
	c.Check(v.takeUpdate(true).Speeds, qt.DeepEquals, []Speed{{Server: "x", Step: 60, Prefill: 60}, {Server: "y", Step: profiler.Usual, Prefill: profiler.Usual}})
	v.apply(&DownMessage{Engines: []tracker.Instance{{Key: tracker.Key{ID: "x", StartedMS: 2}}}})
	c.Check(v.fullState().Speeds, qt.HasLen, 0)
}
