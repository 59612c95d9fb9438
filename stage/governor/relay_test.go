package governor

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// fleet is a leader's hub and relays with entries, without a network: messages are delivered at once and counted.
type fleet struct {
	c             *qt.C
	hub           *hub
	now           time.Time
	relays        []*relay
	relaySessions []*session
	// reports and updates count the messages to and from the leader, entryMessages those to entries.
	reports, updates, entryMessages int
}

func newFleet(c *qt.C, zones, perZone int) *fleet {
	f := &fleet{c: c, hub: newLeadingHub(c, &stubEngines{
		report: func() (EngineReport, error) {
			return EngineReport{Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(EngineOrder) (OrderResult, error) { return InEffect, nil },
	}, 8), now: time.Now()}
	f.hub.startLeading(f.now, 1, 2)
	f.hub.leader.capacity = func(string) (allocator.Capacity, bool) { return allocator.Capacity{Adapters: 8}, true }
	for e := range 60 {
		f.hub.leader.announce(f.now, tracker.Instance{
			Key: tracker.Key{ID: fmt.Sprint("e", e), StartedMS: 1}, Service: "s", Addr: fmt.Sprint("a", e), Sequence: 1, Slots: 12,
		})
	}
	for z := range zones {
		r := f.hub.relay
		if z > 0 {
			r = newRelay(f.hub.log, f.hub.metrics)
			peer := &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: f.now}
			f.relays, f.relaySessions = append(f.relays, r), append(f.relaySessions, peer)
			f.hub.receive(f.now, peer, UpMessage{Hello: &Hello{Node: fmt.Sprint("r", z), Zone: fmt.Sprint("z", z), Replica: uint64(z)}})
			r.setUpstream(func(up UpMessage) bool {
				f.reports++
				f.hub.receive(f.now, peer, up)
				return true
			})
		}
		for n := range perZone {
			s := &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: f.now, hello: &Hello{Node: fmt.Sprint("n", z, "-", n), Zone: fmt.Sprint("z", z)}}
			r.addSession(time.Unix(100, 0), s)
		}
	}
	f.relays = append(f.relays, f.hub.relay)
	return f
}

// step advances the time by d and delivers messages.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	f.hub.flush(f.now)
	for i, peer := range f.relaySessions {
		for len(peer.queue) > 0 {
			data := <-peer.queue
			peer.queuedBytes.Add(-int64(len(data)))
			var d DownMessage
			f.c.Assert(encoder.Unmarshal(data, &d), qt.IsNil)
			message, err := decompress(&d)
			f.c.Assert(err, qt.IsNil)
			f.updates++
			f.relays[i].apply(message)
		}
		f.relays[i].sendReport(f.now)
		f.relays[i].sendUpdate(f.now)
	}
	for _, r := range f.relays {
		for s := range r.sessions {
			for len(s.queue) > 0 {
				s.queuedBytes.Add(-int64(len(<-s.queue)))
				f.entryMessages++
			}
		}
	}
}

// reportAll has every entry report a load, a use and a want at each step.
func (f *fleet) reportAll(steps int) {
	for i := range steps {
		for _, r := range f.relays {
			n := 0
			for s := range r.sessions {
				n++
				ad := tracker.Adapter{Model: "m", Name: fmt.Sprint("a", (i+n)%50)}
				id := fmt.Sprint("e", (i+n)%60)
				r.receive(s, UpMessage{
					Loads: []Load{{Server: id, Running: 1 + i%3}}, Uses: []Use{{Engine: id, Adapter: ad, Starts: 1, Running: 1}},
					Wants: []Want{{Service: "s", Adapter: ad, Remaining: time.Second}},
				})
			}
		}
		f.step(5 * time.Millisecond)
	}
}

// TestLeaderTrafficGrowsWithRelaysNotEntries compares the leader's message counts with 60 and with 600 equally busy
// entries behind the same number of relays.
func TestLeaderTrafficGrowsWithRelaysNotEntries(t *testing.T) {
	c := qt.New(t)
	const steps = 100
	small, large := newFleet(c, 5, 12), newFleet(c, 5, 120)
	for _, f := range []*fleet{small, large} {
		f.step(0)
		f.reports, f.updates = 0, 0
		f.reportAll(steps)
	}
	maxMessages := steps * 4
	c.Check(large.reports <= maxMessages && large.updates <= maxMessages, qt.IsTrue, qt.Commentf("%d reports, %d updates", large.reports, large.updates))
	c.Check(float64(large.reports) <= 1.2*float64(small.reports), qt.IsTrue, qt.Commentf("%d with 600 entries, %d with 60", large.reports, small.reports))
	c.Check(float64(large.updates) <= 1.2*float64(small.updates), qt.IsTrue, qt.Commentf("%d with 600 entries, %d with 60", large.updates, small.updates))
	c.Check(large.hub.entries, qt.Equals, 600)
}

// 600 sessions that nobody reads take bounded memory, and each is closed once its queue is full.
func TestSessionsTakeBoundedMemory(t *testing.T) {
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := newRelay(newLeadingHub(c, &stubEngines{}, 1).log, newMetrics())
	r.setUpstream(func(UpMessage) bool { return true })
	var all []*session
	for n := range 600 {
		s := &session{queue: make(chan encoder.Raw, maxQueuedMessages), hello: &Hello{Node: fmt.Sprint(n)}}
		all = append(all, s)
		r.addSession(time.Unix(100, 0), s)
	}
	now := time.Unix(100, 0)
	for i := range 2 * maxQueuedMessages {
		v := uint64(i + 1)
		r.apply(&DownMessage{Doc: &Doc{Version: v, Body: make([]byte, 64<<10)}})
		now = now.Add(time.Second)
		r.sendUpdate(now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	c.Check(used < 140<<20, qt.IsTrue, qt.Commentf("%d MB", used>>20))
	c.Check(r.sessions, qt.HasLen, 0, qt.Commentf("all queues are full"))
	for _, s := range all {
		c.Assert(s.closed, qt.IsTrue)
	}
}

// Equal wants of several entries reach the leader as one, with the latest deadline and the servers that failed.
func TestRelayMergesWants(t *testing.T) {
	c := qt.New(t)
	r := newRelay(newLeadingHub(c, &stubEngines{}, 1).log, newMetrics())
	var sent []UpMessage
	r.setUpstream(func(up UpMessage) bool {
		sent = append(sent, up)
		return true
	})
	ad := tracker.Adapter{Model: "m", Name: "a"}
	a, b := &session{queue: make(chan encoder.Raw, 9), hello: &Hello{Node: "a", Zone: "z"}}, &session{queue: make(chan encoder.Raw, 9), hello: &Hello{Node: "b", Zone: "z"}}
	r.addSession(time.Unix(100, 0), a)
	r.addSession(time.Unix(100, 0), b)
	now := time.Unix(100, 0)
	r.receive(a, UpMessage{Wants: []Want{{Service: "s", Adapter: ad, Remaining: 100, FailedServers: []string{"x"}}}, Loads: []Load{{Server: "x", Running: 2}}})
	r.receive(b, UpMessage{Wants: []Want{{Service: "s", Adapter: ad, Remaining: 300}}, Loads: []Load{{Server: "x", Running: 1}}})
	r.receive(b, UpMessage{Uses: []Use{{Engine: "x", Adapter: ad, Starts: 2, Running: 1}}})
	r.sendReport(now)
	c.Assert(sent, qt.HasLen, 1)
	c.Check(sent[0].Wants, qt.DeepEquals, []Want{{Service: "s", Adapter: ad, Remaining: 300, FailedServers: []string{"x"}, Zone: "z"}})
	c.Check(sent[0].Loads, qt.DeepEquals, []Load{{Server: "x", Running: 3}})
	c.Check(sent[0].Uses, qt.DeepEquals, []Use{{Engine: "x", Adapter: ad, Starts: 2, Running: 1}})
	c.Check(*sent[0].Entries, qt.Equals, 2)

	// A closed session's use and load are removed, and a new leader receives the full report.
	r.closeSession(b, endBroken)
	r.clearUpstream(now)
	r.setUpstream(func(up UpMessage) bool {
		sent = append(sent, up)
		return true
	})
	r.sendReport(now.Add(time.Second))
	c.Assert(sent, qt.HasLen, 2)
	c.Check(sent[1].Loads, qt.DeepEquals, []Load{{Server: "x", Running: 2}})
	c.Check(sent[1].Uses, qt.DeepEquals, []Use{{Engine: "x", Adapter: ad}})
	c.Check(*sent[1].Entries, qt.Equals, 1)
}

// A relay keeps its sessions during a leader change and closes them if it stays without a leader.
func TestRelayWithoutLeaderClosesSessions(t *testing.T) {
	c := qt.New(t)
	r := newRelay(newLeadingHub(c, &stubEngines{}, 1).log, newMetrics())
	r.setUpstream(func(UpMessage) bool { return true })
	now := time.Unix(100, 0)
	s := &session{queue: make(chan encoder.Raw, 9), hello: &Hello{Node: "a"}, lastReceived: now}
	r.addSession(time.Unix(100, 0), s)
	r.clearUpstream(now)
	c.Check(r.isConnected(now), qt.IsFalse)
	s.lastReceived = now.Add(2 * time.Second)
	r.tick(now.Add(2 * time.Second))
	c.Check(s.closed, qt.IsFalse)
	s.lastReceived = now.Add(3 * time.Second)
	r.tick(now.Add(3 * time.Second))
	c.Check(s.closed, qt.IsTrue)
}

// A document is in force once every entry of every relay has it.
func TestDocumentIsInForceOnceAllEntriesHaveIt(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, 2)
	f.step(0)
	f.hub.relay.view.doc.Version, f.relays[0].view.doc.Version, f.relays[1].view.doc.Version = 1, 1, 1
	w := versionWait{version: 1, done: make(chan struct{})}
	f.hub.versionWaits = append(f.hub.versionWaits, w)
	isDone := func() bool {
		f.step(20 * time.Millisecond)
		f.hub.completeVersionWaits()
		select {
		case <-w.done:
			return true
		default:
			return false
		}
	}
	for _, r := range f.relays {
		for s := range r.sessions {
			c.Check(isDone(), qt.IsFalse)
			r.receive(s, UpMessage{Version: 1})
		}
	}
	c.Check(isDone(), qt.IsTrue)
}
