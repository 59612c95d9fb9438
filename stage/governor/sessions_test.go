package governor

import (
	"context"
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"redwingstage.org/coord/encoder"
)

// Which relays a leader was connected to, and why sessions had ended, showed in no metric.
func TestSessionsAreCounted(t *testing.T) {
	c := qt.New(t)
	const peers, ends = "redwingstage_control_peer_sessions", "redwingstage_control_sessions_ended_total"
	f := newFleet(c, 3, 2)
	h := f.hub
	now := f.now
	h.measureSessions(now)
	c.Check(seriesOf(c, h.metrics, peers), qt.DeepEquals, map[string]float64{"entry ": 2, "relay r1": 1, "relay r2": 1})
	c.Check(seriesOf(c, h.metrics, ends), qt.HasLen, 0)
	h.closeSession(f.relaySessions[0], endBroken)
	h.closeSession(f.relaySessions[0], endClosed)
	again := &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: now}
	h.receive(now, again, UpMessage{Hello: &Hello{Node: "r2", Replica: 2}})
	renamed := &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: now}
	h.receive(now, renamed, UpMessage{Hello: &Hello{Node: "r2", Replica: 9}})
	h.closeSession(again, endSilent)
	h.measureSessions(now)
	c.Check(seriesOf(c, h.metrics, peers), qt.DeepEquals, map[string]float64{"entry ": 2, "relay r2": 1})
	h.stepDown()
	h.relay.closeSessions(endNoLeader)
	late := &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: now}
	h.receive(now, late, UpMessage{Hello: &Hello{Node: "r1", Replica: 1}})
	h.measureSessions(now)
	c.Check(seriesOf(c, h.metrics, peers), qt.DeepEquals, map[string]float64{"entry ": 0})
	c.Check(seriesOf(c, h.metrics, ends), qt.DeepEquals, map[string]float64{
		"relay connection_lost": 1, "relay replaced": 1, "relay silent": 1, "relay step_down": 1, "entry no_leader": 2, "relay refused": 1,
	})
}

func TestLeaderAgeIsMeasured(t *testing.T) {
	c := qt.New(t)
	const age = "redwingstage_control_leader_age_seconds"
	h := newLeadingHub(c, &stubEngines{}, 1)
	h.leader = nil
	now := time.Now()
	h.tick(now)
	c.Check(seriesOf(c, h.metrics, age)[""], qt.Equals, math.Inf(1))
	h.relay.confirm(now)
	h.tick(now.Add(1500 * time.Millisecond))
	c.Check(seriesOf(c, h.metrics, age)[""], qt.Equals, 1.5)
}

func TestEntryThatLeavesIsCounted(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	i, gov := g.leader()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	welcomed := make(chan bool, 64)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			_, _ = Dial(ctx, g.addrs[i], nil, Hello{Node: "entry"}, make(chan UpMessage), func([]string) {}, func(d DownMessage, _ time.Time) {
				if d.Welcome != nil {
					welcomed <- true
				}
			})
		}
	}()
	<-welcomed
	cancel()
	<-ended
	for end := time.Now().Add(testRecoverTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for labels, n := range seriesOf(c, gov.hub.metrics, "redwingstage_control_sessions_ended_total") {
			if n > 0 && (labels == "entry "+string(endClosed) || labels == "entry "+string(endBroken)) {
				return
			}
		}
	}
	c.Error("the session's end isn't counted")
}

// Metrics of the process that runs the replica are served with its own.
func TestRegisteredMetricsAreServed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "calls_total", Help: "Calls."})
	g.running[0].Registerer().MustRegister(counter)
	counter.Inc()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+g.addrs[0]+metricsPath, nil)
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Body.Close(), qt.IsNil)
	for _, line := range []string{"calls_total 1\n", "redwingstage_control_journal_write_seconds_count", "redwingstage_control_leader_age_seconds"} {
		c.Check(string(text), qt.Contains, line)
	}
}
