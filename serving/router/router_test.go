package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
)

var start = time.Unix(1_000_000, 0)

// roster returns n engines, each with an owner; change may alter them.
func roster(n int, change func(*registrar.Server)) *registrar.Roster {
	servers := make([]registrar.Server, n)
	owners := make(map[string]registrar.Owner, n)
	for i := range servers {
		servers[i] = registrar.Server{Name: fmt.Sprint("e", i), Kind: configurer.KindModel, Service: "base", Batch: 16, Incarnation: "a"}
		if change != nil {
			change(&servers[i])
		}
		owners[servers[i].Name] = registrar.Owner{Entry: fmt.Sprint("n", i%8), Epoch: 1}
	}
	return registrar.NewRoster(1, servers, make([]registrar.Entry, 8), owners)
}

func adapter(i int) configurer.Target {
	return configurer.Target{Service: "base", Adapter: fmt.Sprint("a", i), Version: 1}
}

func TestEntriesAgreeOnColdAdapters(t *testing.T) {
	c := qt.New(t)
	a, b := New(Config{}, 1), New(Config{}, 2)
	a.Rebuild(roster(12, nil), "base")
	b.Rebuild(roster(12, nil), "base")
	counts := make(map[string]int)
	for i := range 3000 {
		x, y := a.Route(start, adapter(i), 0, nil), b.Route(start, adapter(i), 0, nil)
		c.Assert(x, qt.DeepEquals, y)
		c.Assert(x, qt.HasLen, DefaultCandidates)
		counts[x[0].Server]++
	}
	for name, n := range counts {
		c.Check(n < 500, qt.IsTrue, qt.Commentf("%s has %d of 3000 adapters", name, n))
	}
}

// All entries choose the same homes, whatever their feedback; a cold adapter's first home owns its first candidate.
func TestHomes(t *testing.T) {
	c := qt.New(t)
	a, b := New(Config{}, 1), New(Config{}, 2)
	a.Rebuild(roster(12, nil), "base")
	b.Rebuild(roster(12, nil), "base")
	plain := configurer.Target{Service: "base"}
	used := make(map[string]bool)
	for i := range 300 {
		digest := []byte{byte(i), byte(i >> 8)}
		first := a.Route(start, adapter(i), 0, nil)[0]
		b.Begin(start, first.Server, adapter(i))
		b.End(start, Feedback{Server: first.Server, Target: adapter(i), Result: Unreachable, Load: -1})
		homes := a.Homes(adapter(i), digest, nil)
		c.Assert(homes, qt.HasLen, maxHomes)
		c.Assert(homes[0].Owner, qt.Equals, first.Owner)
		c.Assert(map[string]bool{homes[0].Owner: true, homes[1].Owner: true, homes[2].Owner: true}, qt.HasLen, maxHomes)
		c.Assert(b.Homes(adapter(i), digest, nil), qt.DeepEquals, homes)
		other := a.Homes(plain, digest, nil)
		c.Assert(b.Homes(plain, digest, nil), qt.DeepEquals, other)
		used[other[0].Owner] = true
	}
	c.Assert(used, qt.HasLen, 8)
	a.Rebuild(roster(1, nil), "base")
	c.Assert(a.Homes(plain, nil, nil), qt.HasLen, 1)
	c.Assert(a.Homes(configurer.Target{Service: "none"}, nil, nil), qt.HasLen, 0)
}

func TestLeavingAndUnreachableAreLeftOut(t *testing.T) {
	c := qt.New(t)
	r := New(Config{}, 1)
	r.Rebuild(roster(3, nil), "base")
	first := r.Route(start, adapter(1), 0, nil)[0].Server
	r.Begin(start, first, adapter(1))
	r.End(start, Feedback{Server: first, Target: adapter(1), Result: Unreachable, Load: -1})
	c.Assert(r.Route(start, adapter(1), 0, nil), qt.HasLen, 2)
	c.Assert(r.Route(start.Add(DefaultCooldown), adapter(1), 0, nil), qt.HasLen, 3)
	r.Rebuild(roster(3, func(s *registrar.Server) { s.Leaving = s.Name == first }), "base")
	for _, cand := range r.Route(start.Add(time.Minute), adapter(1), 0, nil) {
		c.Assert(cand.Server, qt.Not(qt.Equals), first)
	}
}

func TestPopularAdapterSpreadsAndLeaves(t *testing.T) {
	c := qt.New(t)
	r := New(Config{}, 1)
	r.Rebuild(roster(12, nil), "base")
	now := start
	servers := make(map[string]int)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		got := r.Route(now, adapter(1), 0, nil)[0].Server
		servers[got]++
		r.Begin(now, got, adapter(1))
		r.RecordFeedback(now, Feedback{Server: got, Target: adapter(1), Load: -1})
	}
	c.Assert(len(servers) > 3, qt.IsTrue, qt.Commentf("%v", servers))
	for name, n := range servers {
		for range n {
			r.End(now, Feedback{Server: name, Target: adapter(1), Load: 0})
		}
	}
	now = now.Add(DefaultMaxIdle + time.Second)
	first := r.Route(now, adapter(1), 0, nil)[0].Server
	for range 10 {
		c.Assert(r.Route(now, adapter(1), 0, nil)[0].Server, qt.Equals, first)
	}
}

// TestJoining checks whether another server joins after an adapter's only server reports a load.
func TestJoining(t *testing.T) {
	for _, tt := range []struct {
		name   string
		load   float64
		result Result
		want   bool
	}{
		{"idle server", 0.1, Served, false},
		{"loaded server, popular adapter", 0.8, Served, true},
		{"straggler with room", 0.2, Straggler, false},
		{"loaded straggler", 0.5, Straggler, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := New(Config{}, 1)
			r.Rebuild(roster(12, nil), "base")
			first := r.Route(start, adapter(1), 0, nil)[0].Server
			r.Begin(start, first, adapter(1))
			now := start.Add(3 * time.Second)
			r.RecordFeedback(now, Feedback{Server: first, Target: adapter(1), Result: tt.result, Load: tt.load})
			c.Assert(r.Route(now, adapter(1), 0, nil)[0].Server != first, qt.Equals, tt.want)
		})
	}
}
