package registrar

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/leaser"
	"redwingstage.org/serving/configurer"
)

var start = time.Unix(1_700_000_000, 0)

// fleet is a registry with entries in zones "a" and "b", all of which acknowledge each published revision.
type fleet struct {
	r       *Registry
	now     time.Time
	entries map[string]Entry
	rev     uint64
	roster  *Roster
}

func newFleet(servers, entries int) *fleet {
	f := &fleet{r: New(leaser.New(1, start, true)), now: start, entries: make(map[string]Entry), roster: NewRoster(0, nil, nil, nil)}
	for i := range entries {
		f.addEntry(i)
	}
	for i := range servers {
		f.announce(i)
	}
	return f
}

func zone(i int) string { return string(rune('a' + i%2)) }

func (f *fleet) addEntry(i int) {
	e := Entry{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1, Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: zone(i)}
	f.entries[e.Name] = e
	f.r.Join(f.now, e)
}

func (f *fleet) announce(i int) {
	_ = f.r.Announce(f.now, Server{
		Name: fmt.Sprintf("engine-%d", i), Kind: configurer.KindModel, Addr: "10.1.0.1:1", Zone: zone(i), Service: "base", Incarnation: "i",
	})
}

func (f *fleet) run(c *qt.C, servers int, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for _, e := range f.entries {
			f.r.Join(f.now, e)
		}
		for i := range servers {
			f.announce(i)
		}
		f.r.Tick(f.now)
		items, err := f.r.Changes()
		c.Assert(err, qt.IsNil)
		f.rev++
		f.roster, err = f.roster.With(f.rev, false, items)
		c.Assert(err, qt.IsNil)
		f.r.Published(f.rev)
		for _, e := range f.entries {
			f.r.Acknowledge(Holder(e.Name, e.Incarnation), f.rev)
		}
	}
}

// owners returns the owner of each server, and checks that loads within a data centre differ by at most one.
func (f *fleet) owners(c *qt.C, servers int) map[string]string {
	out, load := make(map[string]string), make(map[string]int)
	for i := range servers {
		name := fmt.Sprintf("engine-%d", i)
		o, ok := f.roster.Owner(name)
		c.Assert(ok, qt.IsTrue, qt.Commentf(name))
		out[name] = o.Entry
		load[o.Entry]++
		c.Check(f.entries[o.Entry].Zone, qt.Equals, zone(i))
	}
	for _, z := range []string{"a", "b"} {
		low, high := servers, 0
		for name, e := range f.entries {
			if e.Zone == z {
				low, high = min(low, load[name]), max(high, load[name])
			}
		}
		c.Check(high-low <= 1, qt.IsTrue, qt.Commentf("%s: %v", z, load))
	}
	return out
}

func countMoved(a, b map[string]string) int {
	n := 0
	for k, v := range a {
		if b[k] != v {
			n++
		}
	}
	return n
}

func TestOwnership(t *testing.T) {
	c := qt.New(t)
	const servers = 16
	f := newFleet(servers, 8)
	f.run(c, servers, 5*time.Second)
	before := f.owners(c, servers)

	lost := f.entries["entry-0"]
	lostServers := f.r.granter.KeyCount(Holder(lost.Name, 1))
	delete(f.entries, "entry-0")
	f.run(c, servers, 10*time.Second)
	after := f.owners(c, servers)
	// Only the lost entry's servers and at most one other have moved.
	c.Check(countMoved(before, after) <= lostServers+1, qt.IsTrue, qt.Commentf("%d moved, %d lost", countMoved(before, after), lostServers))
	for server, entry := range after {
		if before[server] == lost.Name {
			o, _ := f.roster.Owner(server)
			c.Check(o.Clean, qt.IsFalse)
			c.Check(o.OrderAfter, qt.Equals, orderDelay)
			c.Check(entry == lost.Name, qt.IsFalse)
		}
	}

	f.entries[lost.Name] = Entry{Name: lost.Name, Incarnation: 2, Addr: lost.Addr, Zone: lost.Zone}
	f.run(c, servers, 10*time.Second)
	f.owners(c, servers)

	f.r.SetDrains(map[string]bool{"entry/entry-1": true, "server/engine-3": true})
	drained := f.entries["entry-1"]
	f.run(c, servers, 10*time.Second)
	c.Check(f.r.granter.KeyCount(Holder(drained.Name, 1)), qt.Equals, 0)
	s, _ := f.roster.Server("engine-3")
	c.Check(s.Leaving, qt.IsTrue)
	f.r.SetDrains(nil)
	f.run(c, servers, 10*time.Second)
	f.owners(c, servers)
}

// TestBalanceSettles checks that servers stop moving when there are hardly more servers than entries.
func TestBalanceSettles(t *testing.T) {
	c := qt.New(t)
	for _, n := range []struct{ servers, entries int }{{15, 8}, {24, 20}, {240, 128}} {
		f := newFleet(0, n.entries/2)
		f.run(c, n.servers, 3*time.Second)
		for i := n.entries / 2; i < n.entries; i++ {
			f.addEntry(i)
		}
		f.run(c, n.servers, time.Duration(n.servers)*time.Second)
		f.owners(c, n.servers)
		f.r.Tick(f.now)
		items, err := f.r.Changes()
		c.Assert(err, qt.IsNil)
		c.Check(items, qt.HasLen, 0, qt.Commentf("%d servers, %d entries", n.servers, n.entries))
	}
}

func TestHandOver(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 4)
	f.run(c, 2, 3*time.Second)
	old, _ := f.roster.Owner("engine-0")
	h := Holder(old.Entry, 1)
	pins := []configurer.Target{{Service: "base", Adapter: "ipoh", Version: 1}}
	c.Assert(f.r.Release(h, "engine-0", old.Epoch+1, pins), qt.ErrorMatches, ".* does not own engine-0")
	c.Assert(f.r.Release(h, "engine-0", old.Epoch, pins), qt.IsNil)
	f.run(c, 2, time.Second)
	next, _ := f.roster.Owner("engine-0")
	c.Assert(next.Entry == old.Entry, qt.IsFalse)
	c.Assert(next.Epoch > old.Epoch, qt.IsTrue)
	c.Assert(next.Clean, qt.IsTrue)
	c.Assert(next.OrderAfter, qt.Equals, time.Duration(0))
	c.Assert(next.Pinned, qt.DeepEquals, pins)
	c.Assert(f.r.Release(h, "engine-0", old.Epoch, nil), qt.IsNil)
	f.run(c, 2, time.Second)
	after, _ := f.roster.Owner("engine-0")
	c.Assert(after.Epoch, qt.Equals, next.Epoch)
	c.Assert(after.Pinned, qt.IsNil)
	c.Assert(f.r.Release("stranger#1", "engine-0", next.Epoch, nil), qt.ErrorMatches, "stranger#1 does not own engine-0")
}

// TestAnnouncements checks that invalid announcements are refused and servers without announcements expire.
func TestAnnouncements(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 2)
	c.Assert(f.r.Announce(start, Server{Name: "Engine"}), qt.ErrorMatches, "announcement: addr must have 1 to 128 bytes")
	f.run(c, 1, time.Second)
	c.Assert(f.r.Refresh(f.now, "engine-0", "i"), qt.IsTrue)
	c.Assert(f.r.Refresh(f.now, "engine-0", "other"), qt.IsFalse)
	f.run(c, 0, defaultServerTTL+2*time.Second)
	_, ok := f.roster.Server("engine-0")
	c.Assert(ok, qt.IsFalse)
	_, ok = f.roster.Owner("engine-0")
	c.Assert(ok, qt.IsFalse)
}

// TestPermitsWithinLimits compares the loads over changes of leader with the store's limits.
func TestPermitsWithinLimits(t *testing.T) {
	limits := StoreLimits{Rate: 3.5, Parallel: 3}
	run := func(assume bool) (most, window int) {
		now := start
		p := NewPermits(1, now, true, limits)
		running := make(map[uint64]time.Time)
		var granted []time.Time
		id := uint64(0)
		for step := range 4000 {
			now = now.Add(20 * time.Millisecond)
			if step%700 == 699 {
				// A new leader; a third of the permits is reported to it.
				p = NewPermits(uint64(step), now, !assume, limits)
				for held := range running {
					if held%3 == 0 {
						p.Claim("e", held)
					}
				}
			}
			if p.Waiting() < 10 {
				id++
				qt.Assert(t, p.Request(now, PermitRequest{ID: id, Holder: "e", Urgent: id%2 == 0}), qt.IsNil)
			}
			for held, until := range running {
				if now.After(until) {
					p.Return(now, "e", held, true)
					delete(running, held)
				}
			}
			for _, g := range p.Grant(now) {
				running[g.ID] = now.Add(time.Duration(250+37*(g.ID%100)) * time.Millisecond)
				granted = append(granted, now)
			}
			most = max(most, len(running))
		}
		for i := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at.Sub(granted[i]) < 2*time.Second {
					n++
				}
			}
			window = max(window, n)
		}
		return most, window
	}
	most, window := run(true)
	qt.Assert(t, most <= limits.Parallel, qt.IsTrue, qt.Commentf("%d at once", most))
	// In any 2 s the rate allows 7 loads, and the saved tokens as many as may run at once.
	qt.Assert(t, window <= 7+limits.Parallel, qt.IsTrue, qt.Commentf("%d in 2 s", window))
	most, _ = run(false)
	qt.Assert(t, most > limits.Parallel, qt.IsTrue)
}

func TestPermitsUrgentFirst(t *testing.T) {
	p := NewPermits(1, start, true, StoreLimits{Rate: 1, Parallel: 5})
	for i := range uint64(4) {
		qt.Assert(t, p.Request(start, PermitRequest{ID: i, Holder: "e", Urgent: i >= 2}), qt.IsNil)
	}
	p.Withdraw("e", 0)
	var order []uint64
	for s := range 6 {
		for _, g := range p.Grant(start.Add(time.Duration(s) * time.Second)) {
			order = append(order, g.Request.ID)
		}
	}
	qt.Assert(t, order, qt.DeepEquals, []uint64{2, 3, 1})
}
