package governor

import (
	"slices"
	"time"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/tracker"
)

const (
	// instanceTTL is how long a backend server stays listed without an announcement. A server that is partitioned only from
	// control may still serve, and entries detect unresponsive servers by themselves.
	instanceTTL = 60 * time.Second
	// settleTime is how long after a leader change entries keep backend servers that the new leader doesn't know.
	settleTime = 5 * time.Second
)

// CapacityFunc returns the adapter capacity of a service's engines; ok is false for services without adapters.
type CapacityFunc func(service string) (c allocator.Capacity, ok bool)

// leaderState is the state of one leader epoch; the control goroutine calls it.
type leaderState struct {
	leaderEpoch uint64
	startedAt   time.Time
	engines     *tracker.Tracker
	alloc       *allocator.Allocator
	capacity    CapacityFunc
	// reportsCompleteAt is from when reports include all orders of earlier leaders.
	reportsCompleteAt time.Time
	// sentResidents are each engine's adapters as sent to relays or queued in moves.
	sentResidents map[string]map[tracker.Adapter]int
	// moves, changedServers and fullResidentsDue, the engines whose complete residents are due, aren't sent to relays yet.
	moves            []ResidentChange
	changedServers   map[string]bool
	fullResidentsDue map[string]bool
	// held are the servers that entries must not hear of yet; they load adapters meanwhile.
	held       map[string]bool
	quarantine *quarantine
	quotas     *leaderQuotas
	speeds     *profiler.Profiler
}

func newLeaderState(leaderEpoch uint64, now time.Time, state *replicatedState, capacity CapacityFunc) *leaderState {
	l := &leaderState{
		leaderEpoch: leaderEpoch, startedAt: now, engines: tracker.New(), alloc: allocator.New(allocator.Config{}), capacity: capacity,
		sentResidents: make(map[string]map[tracker.Adapter]int), changedServers: make(map[string]bool),
		fullResidentsDue: make(map[string]bool), held: make(map[string]bool), quarantine: newQuarantine(now, state),
		quotas: newLeaderQuotas(now, limiter.Bounds{}, nil, 0),
		speeds: profiler.New(),
	}
	l.alloc.RestoreHoldings(state.Held)
	l.applyState(state)
	return l
}

// applyState applies the replicated state.
func (l *leaderState) applyState(state *replicatedState) {
	for _, k := range state.Leaving {
		l.engines.MarkLeaving(k)
	}
	for _, v := range state.Versions {
		l.alloc.SetVersion(v.Adapter, v.Version)
	}
	l.collectChanges()
}

// announce records an instance's announcement.
func (l *leaderState) announce(now time.Time, in tracker.Instance) {
	if !l.engines.Announce(now, in) {
		return
	}
	l.collectChanges()
}

// adoptServers adds backend servers known from an earlier leader.
func (l *leaderState) adoptServers(now time.Time, list []tracker.Instance) {
	for _, in := range list {
		if _, ok := l.engines.Instance(in.Key.ID); !ok {
			// The server's own announcement takes precedence.
			in.Sequence = 0
			l.announce(now, in)
		}
	}
}

// updateCapacity sets every engine's capacity according to the document.
func (l *leaderState) updateCapacity() {
	for _, in := range l.engines.Instances() {
		if limits, ok := l.capacity(in.Service); ok {
			l.alloc.SetEngine(in, limits)
			l.speeds.Set(in.Key.ID, in.Key.StartedMS, in.Service)
		}
	}
}

// collectChanges collects changes of servers and residents.
func (l *leaderState) collectChanges() {
	for _, id := range l.engines.TakeChanges() {
		l.changedServers[id] = true
		in, ok := l.engines.Instance(id)
		if !ok {
			l.alloc.RemoveEngine(id)
			l.speeds.Remove(id)
			delete(l.sentResidents, id)
			continue
		}
		if limits, ok := l.capacity(in.Service); ok {
			l.alloc.SetEngine(in, limits)
			l.speeds.Set(id, in.Key.StartedMS, in.Service)
		}
	}
	for _, id := range l.alloc.TakeChanged() {
		if _, ok := l.engines.Instance(id); ok {
			l.collectMoves(id)
		}
	}
}

// applyReport applies an engine's report; the engine gets orders only after a final one.
func (l *leaderState) applyReport(now time.Time, id string, report EngineReport, final bool) {
	l.alloc.Sync(now, id, report.Residents, report.Pending, final)
	l.fullResidentsDue[id] = true
}

// collectMoves appends to moves the changes of an engine's residents.
func (l *leaderState) collectMoves(id string) {
	sent := l.sentResidents[id]
	if sent == nil {
		sent = make(map[tracker.Adapter]int)
		l.sentResidents[id] = sent
	}
	present := l.alloc.Residents(id)
	if len(present) == 0 && len(sent) == 0 {
		return
	}
	seen := make(map[tracker.Adapter]bool, len(present))
	for _, r := range present {
		seen[r.Adapter] = true
		if v, ok := sent[r.Adapter]; !ok || v != r.Version {
			sent[r.Adapter] = r.Version
			l.moves = append(l.moves, ResidentChange{Engine: id, Adapter: r.Adapter, Version: r.Version})
		}
	}
	for ad := range sent {
		if !seen[ad] {
			delete(sent, ad)
			l.moves = append(l.moves, ResidentChange{Engine: id, Adapter: ad, Removed: true})
		}
	}
}

// takeUpdate returns the changes collected since the last call; false if there are none.
func (l *leaderState) takeUpdate() (DownMessage, bool) {
	if len(l.moves) == 0 && len(l.changedServers) == 0 && len(l.fullResidentsDue) == 0 {
		return DownMessage{}, false
	}
	update := DownMessage{ResidentChanges: l.moves}
	for id := range l.changedServers {
		if in, ok := l.engines.Instance(id); ok && !l.held[id] {
			in.Residents = nil
			update.Engines = append(update.Engines, in)
		} else {
			// Entries may know an earlier start of a server that is held.
			update.RemovedServers = append(update.RemovedServers, id)
		}
	}
	for id := range l.fullResidentsDue {
		if in, ok := l.engines.Instance(id); ok && !l.held[id] {
			in.Residents = l.alloc.Residents(id)
			update.FullResidents = append(update.FullResidents, in)
		}
	}
	slices.Sort(update.RemovedServers)
	l.moves, l.changedServers, l.fullResidentsDue = nil, make(map[string]bool), make(map[string]bool)
	return update, true
}

// fullState returns the full state.
func (l *leaderState) fullState(state *replicatedState, now time.Time) DownMessage {
	down := DownMessage{
		Welcome: &Welcome{LeaderEpoch: l.leaderEpoch, Settled: now.Sub(l.startedAt) >= settleTime}, Doc: &state.Doc, Versions: state.Versions, Leaving: state.Leaving, Standings: l.quarantine.all(),
		Softwares: state.Softwares,
	}
	for _, in := range l.engines.Instances() {
		if !l.held[in.Key.ID] {
			in.Residents = l.alloc.Residents(in.Key.ID)
			down.Engines = append(down.Engines, in)
		}
	}
	for _, v := range l.speeds.Sent() {
		down.Speeds = append(down.Speeds, Speed(v))
	}
	return down
}
