package governor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
)

// randomDown returns a random leader message over few servers and adapters, so that many changes have the same key.
func randomDown(r *rand.Rand) DownMessage {
	id := func() string { return fmt.Sprint("e", r.IntN(4)) }
	ad := func() tracker.Adapter { return tracker.Adapter{Model: "m", Name: fmt.Sprint("a", r.IntN(4))} }
	in := func() tracker.Instance {
		x := tracker.Instance{Key: tracker.Key{ID: id(), StartedMS: int64(1 + r.IntN(2))}, Service: "s", Addr: "a", Slots: r.IntN(2)}
		for range r.IntN(3) {
			x.Residents = append(x.Residents, tracker.Resident{Adapter: ad(), Version: 1 + r.IntN(2)})
		}
		return x
	}
	var d DownMessage
	switch r.IntN(9) {
	case 0:
		d.Welcome = &Welcome{LeaderEpoch: 1, Settled: r.IntN(2) == 0}
		d.Engines = []tracker.Instance{in()}
	case 1:
		d.Doc = &Doc{Version: uint64(r.IntN(9))}
	case 2:
		d.Versions = []tracker.Resident{{Adapter: ad(), Version: r.IntN(5)}}
	case 3:
		d.Leaving = []tracker.Key{{ID: id(), StartedMS: int64(1 + r.IntN(2))}}
	case 4:
		x := in()
		x.Residents = nil
		d.Engines = []tracker.Instance{x}
	case 5:
		d.FullResidents = []tracker.Instance{in()}
	case 6:
		d.RemovedServers = []string{id()}
	case 7:
		d.Loads = []Load{{Server: id(), Running: r.IntN(3)}}
		d.Entries = 1 + r.IntN(3)
	case 8:
		d.Speeds = []Speed{{Server: id(), Step: 60 + 20*r.IntN(3), Prefill: 100}}
	}
	for range r.IntN(3) {
		d.ResidentChanges = append(d.ResidentChanges, ResidentChange{Engine: id(), Adapter: ad(), Version: 1 + r.IntN(2), Removed: r.IntN(2) == 0})
	}
	return d
}

// state returns a view's state in a form that can be compared.
func (v *view) state() string {
	return fmt.Sprint(v.doc.Version, v.versions, v.leaving, v.engines, v.held, v.entries, v.replicas, v.speeds)
}

// TestUpdatesAddUpToFullState checks that a view that gets only updates, at random times, and one that gets the full
// state at the end both equal the original.
func TestUpdatesAddUpToFullState(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		first, follower, late := newView(), newView(), newView()
		for range 40 {
			d := randomDown(r)
			first.apply(&d)
			if r.IntN(3) == 0 {
				update := first.takeUpdate(r.IntN(2) == 0)
				follower.apply(&update)
			}
		}
		update := first.takeUpdate(true)
		follower.apply(&update)
		full := first.fullState()
		late.apply(&full)
		c := qt.New(t)
		c.Assert(follower.prune().state(), qt.Equals, first.prune().state(), qt.Commentf("seed %d", seed))
		c.Assert(late.prune().state(), qt.Equals, first.prune().state(), qt.Commentf("seed %d", seed))
		c.Assert(first.changes.isEmpty(), qt.IsTrue)
	}
}

// prune removes empty maps, which are equivalent to absent ones.
func (v *view) prune() *view {
	for id, m := range v.held {
		if len(m) == 0 {
			delete(v.held, id)
		}
	}
	return v
}

// A new leader's first message removes servers only if it has settled; versions and leaving servers never go back.
func TestOnlySettledLeaderRemovesServers(t *testing.T) {
	c := qt.New(t)
	v := newView()
	x, y := tracker.Instance{Key: tracker.Key{ID: "x", StartedMS: 1}}, tracker.Instance{Key: tracker.Key{ID: "y", StartedMS: 1}}
	left := tracker.Key{ID: "z", StartedMS: 1}
	ad := tracker.Adapter{Model: "m", Name: "a"}
	v.apply(&DownMessage{
		Welcome: &Welcome{LeaderEpoch: 1}, Doc: &Doc{Version: 5}, Engines: []tracker.Instance{x, y}, Leaving: []tracker.Key{left},
		Versions: []tracker.Resident{{Adapter: ad, Version: 3}},
	})
	v.apply(&DownMessage{Welcome: &Welcome{LeaderEpoch: 2}, Doc: &Doc{Version: 4}, Engines: []tracker.Instance{x}, Versions: []tracker.Resident{{Adapter: ad, Version: 2}}})
	c.Check(v.engines, qt.HasLen, 2)
	c.Check(v.doc.Version, qt.Equals, uint64(5))
	c.Check(v.versions[ad], qt.Equals, 3)
	c.Check(v.leaving[left], qt.IsTrue)
	v.apply(&DownMessage{Welcome: &Welcome{LeaderEpoch: 3, Settled: true}, Engines: []tracker.Instance{x}})
	c.Check(v.engines, qt.HasLen, 1)
}
