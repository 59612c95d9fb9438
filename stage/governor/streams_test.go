package governor

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/resumer"
)

// streamsFixture is a leader with its own relay, a second relay, and an entry at each.
type streamsFixture struct {
	c   *qt.C
	now time.Time
	hub *hub
	// peer is the second relay's session at the leader, own and far are the sessions of the entries.
	peer, own, far *session
	other          *hub
}

func newStreamsFixture(c *qt.C) *streamsFixture {
	f := &streamsFixture{c: c, now: time.Now(), hub: newLeadingHub(c, &stubEngines{}, 8), other: newLeadingHub(c, &stubEngines{}, 8)}
	f.hub.startLeading(f.now, 1, 2)
	f.other.stepDown()
	f.connect()
	f.own, f.far = newQueuedSession(f.now), newQueuedSession(f.now)
	f.hub.receive(f.now, f.own, UpMessage{Hello: &Hello{Node: "own"}})
	f.other.receive(f.now, f.far, UpMessage{Hello: &Hello{Node: "far"}})
	return f
}

// connect opens a session of the second relay with the leader.
func (f *streamsFixture) connect() {
	f.peer = newQueuedSession(f.now)
	f.hub.receive(f.now, f.peer, UpMessage{Hello: &Hello{Node: "relay", Replica: 2}})
	up := make(chan UpMessage, 64)
	f.other.applyLeaderMessage(f.now, f.now, up, takeMessages(f.c, f.peer)[0])
	f.other.relay.upstream = func(m UpMessage) bool {
		f.hub.receive(f.now, f.peer, m)
		return true
	}
}

// run delivers the messages between the relay and the leader.
func (f *streamsFixture) run() {
	for range 3 {
		f.now = f.now.Add(reportEvery)
		f.other.flush(f.now)
		f.hub.flush(f.now)
		for _, d := range takeMessages(f.c, f.peer) {
			f.other.applyLeaderMessage(f.now, f.now, nil, d)
		}
	}
}

// startsOf returns the answers that a session gets.
func (f *streamsFixture) startsOf(s *session) []StreamStart {
	var out []StreamStart
	for _, d := range takeMessages(f.c, s) {
		out = append(out, d.Starts...)
	}
	return out
}

// Where a stream had begun was known to its entry and nobody else.
func TestQuestionForStartIsAnsweredAcrossRelays(t *testing.T) {
	c := qt.New(t)
	f := newStreamsFixture(c)
	a, b := StreamStart{"a", "s", "v1"}, StreamStart{"b", "s", "v2"}
	f.hub.receive(f.now, f.own, UpMessage{Starts: []StreamStart{a}})
	f.other.receive(f.now, f.far, UpMessage{Starts: []StreamStart{b}})
	f.run()
	takeMessages(c, f.own)
	takeMessages(c, f.far)
	f.hub.leader.startedAt = f.now.Add(-2 * startsCompleteAfter)
	f.hub.receive(f.now, f.own, UpMessage{Questions: []string{"a", "b", "c"}})
	f.other.receive(f.now, f.far, UpMessage{Questions: []string{"a", "b", "c"}})
	f.run()
	for name, s := range map[string]*session{"at the leader": f.own, "at another relay": f.far} {
		got := f.startsOf(s)
		slices.SortFunc(got, func(x, y StreamStart) int { return int(x.Attempt[0]) - int(y.Attempt[0]) })
		c.Check(got, qt.DeepEquals, []StreamStart{a, b, {Attempt: "c"}}, qt.Commentf("%s", name))
	}
}

// A leader that had just taken over knew of no beginnings.
func TestNewLeaderGetsStartsFromRelays(t *testing.T) {
	c := qt.New(t)
	f := newStreamsFixture(c)
	f.other.receive(f.now, f.far, UpMessage{Starts: []StreamStart{{"b", "s", "v2"}}})
	f.run()
	f.hub.stepDown()
	f.other.relay.clearUpstream(f.now)
	f.hub.relay.streams = newRelayStreams()
	f.hub.startLeading(f.now, 2, 3)
	f.connect()
	f.run()
	f.own = newQueuedSession(f.now)
	f.hub.receive(f.now, f.own, UpMessage{Hello: &Hello{Node: "own"}})
	f.hub.receive(f.now, f.own, UpMessage{Questions: []string{"b"}})
	f.run()
	c.Check(f.startsOf(f.own), qt.DeepEquals, []StreamStart{{"b", "s", "v2"}})
}

// A relay without a leader, and a leader before the relays' reports, said that nobody knew a stream, which was then given up.
func TestNothingIsUnknownBeforeStartsAreComplete(t *testing.T) {
	c := qt.New(t)
	f := newStreamsFixture(c)
	f.other.relay.clearUpstream(f.now)
	f.other.receive(f.now, f.far, UpMessage{Questions: []string{"a"}})
	f.hub.receive(f.now, f.own, UpMessage{Questions: []string{"a"}})
	f.run()
	c.Check(f.startsOf(f.far), qt.HasLen, 0)
	c.Check(f.startsOf(f.own), qt.HasLen, 0)
	f.hub.receive(f.now, f.own, UpMessage{Starts: []StreamStart{{"a", "s", "v1"}}})
	f.run()
	f.connect()
	f.run()
	c.Check(f.startsOf(f.far), qt.DeepEquals, []StreamStart{{"a", "s", "v1"}})
}

// The software versions that may have begun streams come before the servers, stay in the log, and go with their last stream.
func TestLogKeepsSoftwareVersions(t *testing.T) {
	c := qt.New(t)
	m := newMachine(func() {}, func(uint64, error) {})
	apply := func(cmd command) {
		applyCommand(c, m, cmd)
	}
	v1, v2 := resumer.Version{Service: "s", Software: "v1"}, resumer.Version{Service: "s", Software: "v2"}
	for _, v := range []resumer.Version{v2, v1, v2} {
		apply(command{Software: &v})
	}
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Check(m.current().Softwares, qt.DeepEquals, []resumer.Version{v1, v2})
	apply(command{Retired: &v1})
	c.Check(m.current().Softwares, qt.DeepEquals, []resumer.Version{v2})
	c.Assert(m.Restore(data), qt.IsNil)
	c.Check(m.current().Softwares, qt.DeepEquals, []resumer.Version{v1, v2})
}

// An attempt's ID that isn't UTF-8 must cost neither the message nor the other elements.
func TestUnreadableAttemptCostsNothingElse(t *testing.T) {
	c := qt.New(t)
	up := UpMessage{
		Questions: []string{"a\xff", "b"}, Starts: []StreamStart{{"c\xff", "s", "v"}, {"d", "s", "v"}}, Version: 7,
	}
	data, err := (encoder.Codec{}).Marshal(&up)
	c.Assert(err, qt.IsNil)
	var got UpMessage
	c.Assert((encoder.Codec{}).Unmarshal(data, &got), qt.IsNil)
	c.Check(got.Questions, qt.DeepEquals, []string{"b"})
	c.Check(got.Starts, qt.DeepEquals, []StreamStart{{"d", "s", "v"}})
	c.Check(got.Version, qt.Equals, uint64(7))
}

// Heartbeats that named ever new software versions filled the log.
func TestSoftwareVersionsAreBounded(t *testing.T) {
	c := qt.New(t)
	g := &Governor{membership: newMembership(Config{}, Deps{}, nil)}
	version := func(n int) resumer.Version { return resumer.Version{Service: "s", Software: fmt.Sprint(n)} }
	for n := range maxSoftwares {
		v := version(n)
		applyCommand(c, g.membership.machine, command{Software: &v})
	}
	c.Check(g.recordSoftware(context.Background(), version(3)), qt.IsNil)
	var refused *InputError
	c.Assert(errors.As(g.recordSoftware(context.Background(), version(maxSoftwares)), &refused), qt.IsTrue)
	c.Check(refused.Place, qt.Equals, "version")
}

// A software version retired while streams of a route with a long timeout still went on.
func TestLongTimeoutKeepsSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 8)
	c.Check(h.streamHorizon(), qt.Equals, StreamHorizon)
	routes := []matcher.Route{
		{Host: "h", Prefix: "/a/", Timeout: time.Minute, Attempts: 1, Shares: []matcher.Share{{Service: "s", Weight: 1}}},
		{Host: "h", Prefix: "/b/", Timeout: time.Second, Attempts: 1, Shares: []matcher.Share{{Service: "s", Weight: 1}}},
	}
	table, err := matcher.New(1, routes, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	h.table = table
	c.Check(h.streamHorizon(), qt.Equals, time.Minute)
}

// dropSoftwares removes the software versions from the states of all followers, as a build does that doesn't know them.
func (g *group) dropSoftwares() {
	leader, _ := g.leader()
	for i, gov := range g.running {
		if i != leader {
			s := *gov.membership.state()
			s.Softwares = nil
			gov.membership.machine.state.Store(&s)
		}
	}
}

// awaitSoftware waits until all replicas' states have a software version.
func (g *group) awaitSoftware(v resumer.Version) bool {
	for end := time.Now().Add(testRecoverTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		have := 0
		for _, gov := range g.running {
			if slices.Contains(gov.membership.state().Softwares, v) {
				have++
			}
		}
		if have == len(g.running) {
			return true
		}
	}
	return false
}

// Replicas that had been upgraded in place lacked for good the software versions that their builds before didn't know. Once one of
// them led, these were forgotten.
func TestUpgradedReplicasGetSoftwareVersionsAgain(t *testing.T) {
	t.Parallel()
	for name, leads := range map[string]bool{"followers": false, "leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newGroup(c, 3)
			g.awaitVoters(3)
			v := resumer.Version{Service: "s", Software: "v1"}
			g.retry(func(gov *Governor) error { return gov.recordSoftware(context.Background(), v) })
			c.Assert(g.awaitSoftware(v), qt.IsTrue)
			for _, gov := range g.running {
				told := make(chan bool, 1)
				for end := time.Now().Add(testApplyTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					gov.hub.post(func(time.Time) { told <- slices.Contains(gov.hub.relay.view.softwares, v) })
					if <-told {
						break
					}
				}
			}
			g.dropSoftwares()
			if leads {
				_, old := g.leader()
				old.membership.transferLeadership()
			}
			c.Check(g.awaitSoftware(v), qt.IsTrue)
		})
	}
}
