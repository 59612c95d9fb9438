package governor

import (
	"slices"
	"time"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

const (
	// instanceTTL is how long a backend server stays listed without an announcement. A server that is partitioned only from
	// control may still serve, and entries detect unresponsive servers by themselves.
	instanceTTL = 60 * time.Second
	// settleTime is how long after a leader change entries keep backend servers that the new leader doesn't know.
	settleTime = 5 * time.Second
)

// Room returns the adapter capacity of a service's engines; ok is false for services without adapters.
type Room func(service string) (room allocator.Room, ok bool)

// desk is the leader's state in one epoch. Only the control goroutine calls it.
type desk struct {
	era     uint64
	begun   time.Time
	engines *tracker.Tracker
	placing *allocator.Allocator
	room    Room
	// listed is the time from which engine reports include all orders of earlier leaders.
	listed time.Time
	// known are the adapter versions of each engine as sent to relays or queued in moves.
	known map[string]map[tracker.Adapter]int
	// moves, changed and exact are changes that weren't sent to relays yet: adapter moves, the IDs of changed or removed
	// servers, and the IDs of engines whose complete residents are due.
	moves   []Move
	changed map[string]bool
	exact   map[string]bool
}

func newDesk(era uint64, now time.Time, state *durable, room Room) *desk {
	d := &desk{
		era: era, begun: now, engines: tracker.New(), placing: allocator.New(allocator.Config{}), room: room,
		known: make(map[string]map[tracker.Adapter]int), changed: make(map[string]bool),
		exact: make(map[string]bool),
	}
	d.placing.Remember(state.Held)
	d.refresh(state)
	return d
}

// refresh applies the replicated state.
func (d *desk) refresh(state *durable) {
	for _, k := range state.Left {
		d.engines.Leave(k)
	}
	for _, v := range state.Versions {
		d.placing.SetVersion(v.Adapter, v.Version)
	}
	d.sync()
}

// announce records an instance's announcement.
func (d *desk) announce(now time.Time, in tracker.Instance) {
	if !d.engines.Announce(now, in) {
		return
	}
	d.sync()
}

// claim adds backend servers known from an earlier leader.
func (d *desk) claim(now time.Time, list []tracker.Instance) {
	for _, in := range list {
		if _, ok := d.engines.Instance(in.Key.ID); !ok {
			// The server's own announcement takes precedence.
			in.Sequence = 0
			d.announce(now, in)
		}
	}
}

// resize sets every engine's capacity according to the document.
func (d *desk) resize() {
	for _, in := range d.engines.Instances() {
		if room, ok := d.room(in.Service); ok {
			d.placing.SetEngine(in, room)
		}
	}
}

// sync collects changes of servers and residents, and tells the allocator about changed servers.
func (d *desk) sync() {
	for _, id := range d.engines.Changes() {
		d.changed[id] = true
		in, ok := d.engines.Instance(id)
		if !ok {
			d.placing.RemoveEngine(id)
			delete(d.known, id)
			continue
		}
		if room, ok := d.room(in.Service); ok {
			d.placing.SetEngine(in, room)
		}
	}
	for _, id := range d.placing.Touched() {
		if _, ok := d.engines.Instance(id); ok {
			d.diff(id)
		}
	}
}

// report applies an engine's report; the engine gets orders only after a final one.
func (d *desk) report(now time.Time, id string, r EngineReport, final bool) {
	d.placing.Sync(now, id, r.Residents, r.Pending)
	if !final {
		d.placing.Unsync(id)
	}
	d.exact[id] = true
}

// diff appends to moves the changes of an engine's residents.
func (d *desk) diff(id string) {
	told := d.known[id]
	if told == nil {
		told = make(map[tracker.Adapter]int)
		d.known[id] = told
	}
	present := d.placing.Residents(id)
	if len(present) == 0 && len(told) == 0 {
		return
	}
	seen := make(map[tracker.Adapter]bool, len(present))
	for _, r := range present {
		seen[r.Adapter] = true
		if v, ok := told[r.Adapter]; !ok || v != r.Version {
			told[r.Adapter] = r.Version
			d.moves = append(d.moves, Move{Engine: id, Adapter: r.Adapter, Version: r.Version})
		}
	}
	for ad := range told {
		if !seen[ad] {
			delete(told, ad)
			d.moves = append(d.moves, Move{Engine: id, Adapter: ad, Gone: true})
		}
	}
}

// news returns the changes collected since the last call; false if there are none.
func (d *desk) news() (Down, bool) {
	if len(d.moves) == 0 && len(d.changed) == 0 && len(d.exact) == 0 {
		return Down{}, false
	}
	down := Down{Moves: d.moves}
	for id := range d.changed {
		if in, ok := d.engines.Instance(id); ok {
			in.Residents = nil
			down.Engines = append(down.Engines, in)
		} else {
			down.Gone = append(down.Gone, id)
		}
	}
	for id := range d.exact {
		if in, ok := d.engines.Instance(id); ok {
			in.Residents = d.placing.Residents(id)
			down.Exact = append(down.Exact, in)
		}
	}
	slices.Sort(down.Gone)
	d.moves, d.changed, d.exact = nil, make(map[string]bool), make(map[string]bool)
	return down, true
}

// whole returns the full state.
func (d *desk) whole(state *durable, now time.Time) Down {
	down := Down{
		Welcome: &Welcome{Era: d.era, Settled: now.Sub(d.begun) >= settleTime}, Doc: &state.Doc, Versions: state.Versions, Left: state.Left,
	}
	for _, in := range d.engines.Instances() {
		in.Residents = d.placing.Residents(in.Key.ID)
		down.Engines = append(down.Engines, in)
	}
	return down
}
