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
	c      *qt.C
	hub    *hub
	now    time.Time
	relays []*relay
	peers  []*session
	// ups and downs count the messages to and from the leader, told those to entries.
	ups, downs, told int
}

func newFleet(c *qt.C, zones, perZone int) *fleet {
	f := &fleet{c: c, hub: lead(c, &scripted{
		report: func() (EngineReport, error) {
			return EngineReport{Residents: []tracker.Resident{testBase}}, nil
		},
		order: func(EngineOrder) (Verdict, error) { return Holds, nil },
	}, 8), now: time.Now()}
	f.hub.begin(f.now, 1, 2)
	f.hub.desk.room = func(string) (allocator.Room, bool) { return allocator.Room{Adapters: 8}, true }
	for e := range 60 {
		f.hub.desk.announce(f.now, tracker.Instance{
			Key: tracker.Key{ID: fmt.Sprint("e", e), Born: 1}, Service: "s", Addr: fmt.Sprint("a", e), Sequence: 1, Slots: 12,
		})
	}
	for z := range zones {
		r := f.hub.relay
		if z > 0 {
			r = newRelay(f.hub.log, f.hub.metrics)
			peer := &session{out: make(chan encoder.Raw, maxQueued), heard: f.now}
			f.relays, f.peers = append(f.relays, r), append(f.peers, peer)
			f.hub.receive(f.now, peer, Up{Hello: &Hello{Node: fmt.Sprint("r", z), Zone: fmt.Sprint("z", z), Replica: uint64(z)}})
			r.connect(func(up Up) bool {
				f.ups++
				f.hub.receive(f.now, peer, up)
				return true
			})
		}
		for n := range perZone {
			s := &session{out: make(chan encoder.Raw, maxQueued), heard: f.now, hello: &Hello{Node: fmt.Sprint("n", z, "-", n), Zone: fmt.Sprint("z", z)}}
			r.join(s)
		}
	}
	f.relays = append(f.relays, f.hub.relay)
	return f
}

// step advances the time by d and delivers messages.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	f.hub.turn(f.now)
	for i, peer := range f.peers {
		for len(peer.out) > 0 {
			data := <-peer.out
			peer.queued.Add(-int64(len(data)))
			var d Down
			f.c.Assert(encoder.Unmarshal(data, &d), qt.IsNil)
			whole, err := unpack(&d)
			f.c.Assert(err, qt.IsNil)
			f.downs++
			f.relays[i].take(whole)
		}
		f.relays[i].spreadUp(f.now)
		f.relays[i].spreadDown(f.now)
	}
	for _, r := range f.relays {
		for s := range r.sessions {
			for len(s.out) > 0 {
				s.queued.Add(-int64(len(<-s.out)))
				f.told++
			}
		}
	}
}

// busy has every entry report a load, a use and a want at each step.
func (f *fleet) busy(steps int) {
	for i := range steps {
		for _, r := range f.relays {
			n := 0
			for s := range r.sessions {
				n++
				ad := tracker.Adapter{Model: "m", Name: fmt.Sprint("a", (i+n)%50)}
				id := fmt.Sprint("e", (i+n)%60)
				r.receive(s, Up{
					Loads: []Load{{Server: id, Running: 1 + i%3}}, Uses: []Use{{Engine: id, Adapter: ad, Starts: 1, Running: 1}},
					Wants: []Want{{Service: "s", Adapter: ad, Left: time.Second}},
				})
			}
		}
		f.step(5 * time.Millisecond)
	}
}

// TestTheLeadersTalkGrowsWithRelaysNotWithEntries compares the leader's message counts with 60 and with 600 equally busy
// entries behind the same number of relays.
func TestTheLeadersTalkGrowsWithRelaysNotWithEntries(t *testing.T) {
	c := qt.New(t)
	const steps = 100
	small, large := newFleet(c, 5, 12), newFleet(c, 5, 120)
	for _, f := range []*fleet{small, large} {
		f.step(0)
		f.ups, f.downs = 0, 0
		f.busy(steps)
	}
	most := steps * 4
	c.Check(large.ups <= most && large.downs <= most, qt.IsTrue, qt.Commentf("%d up, %d down", large.ups, large.downs))
	c.Check(float64(large.ups) <= 1.2*float64(small.ups), qt.IsTrue, qt.Commentf("%d with 600 entries, %d with 60", large.ups, small.ups))
	c.Check(float64(large.downs) <= 1.2*float64(small.downs), qt.IsTrue, qt.Commentf("%d with 600 entries, %d with 60", large.downs, small.downs))
	c.Check(large.hub.entries, qt.Equals, 600)
}

// 600 sessions that nobody reads take bounded memory, and each is closed once its queue is full.
func TestSessionsTakeBoundedMemory(t *testing.T) {
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := newRelay(lead(c, &scripted{}, 1).log, newMetrics())
	r.connect(func(Up) bool { return true })
	var all []*session
	for n := range 600 {
		s := &session{out: make(chan encoder.Raw, maxQueued), hello: &Hello{Node: fmt.Sprint(n)}}
		all = append(all, s)
		r.join(s)
	}
	now := time.Unix(100, 0)
	for i := range 2 * maxQueued {
		v := uint64(i + 1)
		r.take(&Down{Doc: &Doc{Version: v, Body: make([]byte, 64<<10)}})
		now = now.Add(time.Second)
		r.spreadDown(now)
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
func TestARelayMergesWhatEntriesWaitFor(t *testing.T) {
	c := qt.New(t)
	r := newRelay(lead(c, &scripted{}, 1).log, newMetrics())
	var sent []Up
	r.connect(func(up Up) bool {
		sent = append(sent, up)
		return true
	})
	ad := tracker.Adapter{Model: "m", Name: "a"}
	a, b := &session{out: make(chan encoder.Raw, 9), hello: &Hello{Node: "a", Zone: "z"}}, &session{out: make(chan encoder.Raw, 9), hello: &Hello{Node: "b", Zone: "z"}}
	r.join(a)
	r.join(b)
	now := time.Unix(100, 0)
	r.receive(a, Up{Wants: []Want{{Service: "s", Adapter: ad, Left: 100, Except: []string{"x"}}}, Loads: []Load{{Server: "x", Running: 2}}})
	r.receive(b, Up{Wants: []Want{{Service: "s", Adapter: ad, Left: 300}}, Loads: []Load{{Server: "x", Running: 1}}})
	r.receive(b, Up{Uses: []Use{{Engine: "x", Adapter: ad, Starts: 2, Running: 1}}})
	r.spreadUp(now)
	c.Assert(sent, qt.HasLen, 1)
	c.Check(sent[0].Wants, qt.DeepEquals, []Want{{Service: "s", Adapter: ad, Left: 300, Except: []string{"x"}, Zone: "z"}})
	c.Check(sent[0].Loads, qt.DeepEquals, []Load{{Server: "x", Running: 3}})
	c.Check(sent[0].Uses, qt.DeepEquals, []Use{{Engine: "x", Adapter: ad, Starts: 2, Running: 1}})
	c.Check(*sent[0].Entries, qt.Equals, 2)

	// A closed session's use and load are removed, and a new leader receives the full report.
	r.drop(b)
	r.disconnect(now)
	r.connect(func(up Up) bool {
		sent = append(sent, up)
		return true
	})
	r.spreadUp(now.Add(time.Second))
	c.Assert(sent, qt.HasLen, 2)
	c.Check(sent[1].Loads, qt.DeepEquals, []Load{{Server: "x", Running: 2}})
	c.Check(sent[1].Uses, qt.DeepEquals, []Use{{Engine: "x", Adapter: ad}})
	c.Check(*sent[1].Entries, qt.Equals, 1)
}

// A relay keeps its sessions during a leader change and closes them if it stays without a leader.
func TestARelayWithoutALeaderLetsItsEntriesGo(t *testing.T) {
	c := qt.New(t)
	r := newRelay(lead(c, &scripted{}, 1).log, newMetrics())
	r.connect(func(Up) bool { return true })
	now := time.Unix(100, 0)
	s := &session{out: make(chan encoder.Raw, 9), hello: &Hello{Node: "a"}, heard: now}
	r.join(s)
	r.disconnect(now)
	c.Check(r.accepts(), qt.IsFalse)
	s.heard = now.Add(2 * time.Second)
	r.tick(now.Add(2 * time.Second))
	c.Check(s.closed, qt.IsFalse)
	s.heard = now.Add(3 * time.Second)
	r.tick(now.Add(3 * time.Second))
	c.Check(s.closed, qt.IsTrue)
}

// A document is in force once every entry of every relay has it.
func TestADocumentIsInForceOnceAllEntriesHaveIt(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, 2)
	f.step(0)
	f.hub.relay.view.doc.Version, f.relays[0].view.doc.Version, f.relays[1].view.doc.Version = 1, 1, 1
	w := versionWait{version: 1, done: make(chan struct{})}
	f.hub.waits = append(f.hub.waits, w)
	isDone := func() bool {
		f.step(20 * time.Millisecond)
		f.hub.finishWaits()
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
			r.receive(s, Up{Version: 1})
		}
	}
	c.Check(isDone(), qt.IsTrue)
}
