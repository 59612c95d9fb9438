package governor

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// testApplyTime is the time in which a change must be in force at every entry.
const testApplyTime = 2 * time.Second

// watcher is an entry's session: it counts how often it began, and keeps what it has received.
type watcher struct {
	welcomes atomic.Int64
	mu       sync.Mutex
	version  uint64
	servers  map[string]bool
	leaving  map[string]bool
}

// watch keeps a session with the replica at addr until ctx ends.
func watch(ctx context.Context, c *qt.C, addr string) *watcher {
	w := &watcher{servers: make(map[string]bool), leaving: make(map[string]bool)}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			_, _ = Dial(ctx, addr, nil, Hello{Node: "entry", Zone: "z"}, make(chan UpMessage), func([]string) {}, w.receive)
		}
	}()
	c.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

func (w *watcher) receive(d DownMessage, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Welcome != nil {
		w.welcomes.Add(1)
	}
	if d.Doc != nil {
		w.version = d.Doc.Version
	}
	for _, in := range d.Engines {
		w.servers[in.Key.ID] = true
	}
	for _, k := range d.Leaving {
		w.leaving[k.ID] = true
	}
}

// await waits until the session has the version, the server and the leaving server, at most testApplyTime.
func (w *watcher) await(version uint64, server, leaving string) bool {
	for end := time.Now().Add(testApplyTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		ok := w.version == version && w.servers[server] && w.leaving[leaving]
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// One announcement whose ID wasn't UTF-8 ended the sessions of all relays, and nothing was recorded any more while it was
// known: changes and servers that leave reached entries late. Here it gets past the check of announcements.
func TestUnreadableServerCostsNoSessionAndNoRecord(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	g.put(1)
	ctx := context.Background()
	announce := func(id string, sequence uint64) {
		g.retry(func(gov *Governor) error {
			in := tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}, Service: "s", Addr: id + ":1", Sequence: sequence}
			done := make(chan error, 1)
			gov.hub.post(func(now time.Time) {
				if gov.hub.leader == nil {
					done <- ErrNoLeader
					return
				}
				gov.hub.leader.announce(now, in)
				done <- nil
			})
			return <-done
		})
	}
	var watchers []*watcher
	for _, addr := range g.addrs {
		watchers = append(watchers, watch(ctx, c, addr))
	}
	announce("a", 1)
	g.retry(func(gov *Governor) error { return gov.MarkLeaving(ctx, tracker.Key{ID: "a", StartedMS: 1}) })
	for _, w := range watchers {
		c.Assert(w.await(1, "a", "a"), qt.IsTrue)
	}
	for _, w := range watchers {
		w.welcomes.Store(0)
	}
	for i := range uint64(10) {
		announce("i-\xff"+string(rune('a'+i)), i+2)
		announce("b", i+2)
		time.Sleep(50 * time.Millisecond)
	}
	g.put(2)
	g.retry(func(gov *Governor) error { return gov.MarkLeaving(ctx, tracker.Key{ID: "b", StartedMS: 1}) })
	for i, w := range watchers {
		c.Check(w.await(2, "b", "b"), qt.IsTrue, qt.Commentf("entry %d", i))
		c.Check(w.welcomes.Load(), qt.Equals, int64(0), qt.Commentf("entry %d: sessions that began anew", i))
	}
	recorded := func() bool {
		_, gov := g.leader()
		for _, in := range gov.membership.state().Servers {
			if in.Key.ID == "b" {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(testApplyTime); !recorded() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(recorded(), qt.IsTrue, qt.Commentf("the log has the server whose announcement is sound"))
	c.Check(g.log.Await(testApplyTime, "dropped unreadable elements", "of ", " Servers"), qt.IsTrue)
}

// Announcements, removals and versions with text that other processes refuse are refused, with their place.
func TestUnreadableInputIsRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	_, gov := g.leader()
	ctx := context.Background()
	long := strings.Repeat("x", maxTextBytes+1)
	for _, tt := range []struct {
		call func() error
		want string
	}{
		{func() error { return gov.Announce(ctx, tracker.Instance{Key: tracker.Key{ID: "i-\xff"}}) }, "id: byte 3 is not UTF-8"},
		{func() error { return gov.Announce(ctx, tracker.Instance{Service: long}) }, "service: 257 bytes, at most 256"},
		{func() error { return gov.Announce(ctx, tracker.Instance{Zone: "\xed\xa0\x80"}) }, "zone: byte 1 is not UTF-8"},
		{func() error {
			return gov.Announce(ctx, tracker.Instance{Residents: []tracker.Resident{testAdapter("\x80")}})
		}, "adapter: byte 1 is not UTF-8"},
		{func() error { return gov.MarkLeaving(ctx, tracker.Key{ID: "\xff"}) }, "id: byte 1 is not UTF-8"},
		{func() error { return gov.PutVersion(ctx, testAdapter(long)) }, "adapter: 257 bytes, at most 256"},
	} {
		err := tt.call()
		c.Check(err, qt.ErrorMatches, tt.want)
		var input *InputError
		c.Check(err, qt.ErrorAs, &input)
	}
	c.Check(gov.Announce(ctx, tracker.Instance{Key: tracker.Key{ID: "naïve \ufffd"}, Service: "s"}), qt.IsNil)
}

// A command that can't be decoded was skipped without a line, and its proposer read "decode: EOF".
func TestUnreadableCommandIsLoggedAndRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.put(1)
	var err error
	g.retry(func(gov *Governor) error {
		r := gov.membership.log()
		if r == nil {
			return ErrNoLeader
		}
		out, proposeErr := r.Propose(context.Background(), []byte{0x61, 0xff})
		if proposeErr != nil {
			return proposeErr
		}
		_, err = readResult(out)
		return nil
	})
	c.Check(err, qt.ErrorMatches, "command [0-9]+ can't be decoded and changed nothing")
	c.Check(g.log.Await(testApplyTime, "apply command", "invalid UTF-8"), qt.IsTrue)
	g.put(2)
	c.Check(g.version(), qt.Equals, uint64(2))
}

// Whatever the checks of announcements accept, every process can read, alone and in a command.
func FuzzCheckedInstanceIsReadable(f *testing.F) {
	f.Add("i-1", "s", "10.0.0.1:1", "z", "m", "a1", int64(1))
	f.Add("i-\xff", "\xed\xa0\x80", "", "\x00", "m\xc3", "a\xe2\x82", int64(-1))
	f.Fuzz(func(t *testing.T, id, service, addr, zone, model, adapter string, startedMS int64) {
		in := tracker.Instance{
			Key: tracker.Key{ID: id, StartedMS: startedMS}, Service: service, Addr: addr, Zone: zone,
			Residents: []tracker.Resident{{Adapter: tracker.Adapter{Model: model, Name: adapter}}},
		}
		if checkInstance(in) != nil {
			return
		}
		data, err := encode(&DownMessage{Engines: []tracker.Instance{in}, Leaving: []tracker.Key{in.Key}})
		qt.Assert(t, err, qt.IsNil)
		var down DownMessage
		qt.Assert(t, encoder.Unmarshal(data, &down), qt.IsNil)
		qt.Assert(t, down.Engines[0].Key, qt.Equals, in.Key)
		cmd := command{Servers: []tracker.Instance{in}, Held: []allocator.Holding{{Engine: in.Key, Adapters: []tracker.Adapter{in.Residents[0].Adapter}}}}
		data, err = encoder.Marshal(cmd)
		qt.Assert(t, err, qt.IsNil)
		var read command
		qt.Assert(t, encoder.Unmarshal(data, &read), qt.IsNil)
	})
}
