package governor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	// newsEvery is the shortest time between two updates about engines to all entries of a relay; newsPerSession is added
	// for each session, so that many entries get fewer and larger updates.
	newsEvery      = 8 * time.Millisecond
	newsPerSession = 400 * time.Microsecond
	// askEvery is the shortest time between two reports of a relay to the leader; usesEvery is that between two reports of
	// adapter use.
	askEvery  = 10 * time.Millisecond
	usesEvery = 100 * time.Millisecond
	// sourceGrace is how long a relay without a leader keeps its sessions, longer than a leader change takes. After that the
	// entries must find a relay that has a leader.
	sourceGrace = 2500 * time.Millisecond
	// maxAsked bounds each kind of pending request; entries repeat the requests that are dropped.
	maxAsked = 4096
)

// relay forwards the leader's updates to the entries of its data centre and aggregates their reports. Every replica is a
// relay, including the leader, so that the leader's traffic grows with the number of replicas, not of entries. Only the
// control goroutine calls it.
type relay struct {
	log      *logger.Part
	metrics  *metrics
	sessions map[*session]bool
	view     *view
	// source sends a message to the leader and returns false if its queue is full; nil without a leader.
	source func(Up) bool
	// lost is when source was last set to nil.
	lost   time.Time
	newsAt time.Time
	asking asking
}

// asking collects the reports that a relay hasn't sent to the leader yet.
type asking struct {
	at, usesAt time.Time
	loads      *loads
	uses       map[AdapterAt]*usage
	wants      map[wanted]Want
	missing    map[AdapterAt]bool
	known      map[tracker.Key]tracker.Instance
	// version and entries are the values last sent to the leader.
	version uint64
	entries int
}

// usage is the use of an adapter at an engine by the entries of a relay; starts counts requests since the last report.
type usage struct {
	starts  int
	running map[*session]int
	changed bool
}

// wanted is the key by which wants are merged.
type wanted struct {
	service string
	adapter tracker.Adapter
	zone    string
	copied  bool
}

func newRelay(l *logger.Part, m *metrics) *relay {
	r := &relay{log: l, metrics: m, sessions: make(map[*session]bool), view: newView()}
	r.asking.loads = newLoads()
	r.asking.uses = make(map[AdapterAt]*usage)
	r.clearAsked()
	return r
}

func (r *relay) clearAsked() {
	r.asking.wants, r.asking.missing = make(map[wanted]Want), make(map[AdapterAt]bool)
	r.asking.known = make(map[tracker.Key]tracker.Instance)
}

// connect sets the connection to a leader, to which everything must be reported anew.
func (r *relay) connect(source func(Up) bool) {
	r.source = source
	r.asking.version, r.asking.entries = 0, -1
	r.asking.loads.retell()
	for _, u := range r.asking.uses {
		u.changed = true
	}
}

// disconnect marks the relay as being without a leader.
func (r *relay) disconnect(now time.Time) {
	if r.source != nil {
		r.source, r.lost = nil, now
	}
}

// accepts reports whether entries may open sessions: only while the relay is connected to the leader.
func (r *relay) accepts() bool { return r.source != nil }

// join adds an entry's session and closes an earlier one of the same entry.
func (r *relay) join(s *session) {
	for other := range r.sessions {
		if other != s && other.hello.Node == s.hello.Node {
			r.drop(other)
		}
	}
	r.sessions[s] = true
	r.send(s, r.view.whole(), "whole")
}

func (r *relay) drop(s *session) {
	if !r.sessions[s] {
		return
	}
	delete(r.sessions, s)
	s.close()
	r.asking.loads.drop(s)
	for _, u := range r.asking.uses {
		if _, ok := u.running[s]; ok {
			delete(u.running, s)
			u.changed = true
		}
	}
}

// dropAll closes all sessions with entries.
func (r *relay) dropAll() {
	for s := range r.sessions {
		r.drop(s)
	}
}

// send queues a message for one session; a session whose queue is full is closed, and its entry reconnects.
func (r *relay) send(s *session, d Down, kind string) {
	data, err := encode(&d)
	if err != nil {
		r.log.Error("encode a message", err)
		return
	}
	r.metrics.sent(kind, len(data))
	if !s.push(data) {
		r.log.Warn("queue of an entry's session is full, closing it", s.hello.Node)
		r.drop(s)
	}
}

// take applies a message of the leader.
func (r *relay) take(d *Down) { r.view.apply(d) }

// receive adds a message of an entry to the pending report.
func (r *relay) receive(s *session, up Up) {
	a := &r.asking
	s.version = max(s.version, up.Version)
	for _, u := range up.Uses {
		r.use(s, u)
	}
	for _, l := range up.Loads {
		a.loads.set(s, l)
	}
	for _, m := range up.Missing {
		if len(a.missing) < maxAsked {
			a.missing[m] = true
		}
	}
	for _, w := range up.Wants {
		w.Zone = s.hello.Zone
		r.want(w)
	}
	for _, in := range up.Known {
		if _, ok := r.view.engines[in.Key.ID]; !ok && len(a.known) < maxAsked {
			a.known[in.Key] = in
		}
	}
	if up.Beat > 0 {
		r.send(s, Down{Beat: up.Beat}, "beat")
	}
}

func (r *relay) use(s *session, v Use) {
	at := AdapterAt{v.Engine, v.Adapter}
	u := r.asking.uses[at]
	if u == nil {
		u = &usage{running: make(map[*session]int)}
		r.asking.uses[at] = u
	}
	u.starts += v.Starts
	u.changed = true
	if v.Running > 0 {
		u.running[s] = v.Running
	} else {
		delete(u.running, s)
	}
}

// want merges a want with an equal one of other requests, with the later deadline.
func (r *relay) want(w Want) {
	k := wanted{w.Service, w.Adapter, w.Zone, w.Copy}
	old, ok := r.asking.wants[k]
	switch {
	case !ok && len(r.asking.wants) >= maxAsked:
		return
	case ok:
		w.Left = max(w.Left, old.Left)
		if len(w.Except) == 0 {
			w.Except = old.Except
		}
	}
	r.asking.wants[k] = w
}

// version returns the lowest version of the document in force at the relay's entries.
func (r *relay) version() uint64 {
	low := r.view.doc.Version
	for s := range r.sessions {
		low = min(low, s.version)
	}
	return low
}

// tick closes silent sessions, and all sessions once the relay has been without a leader for longer than sourceGrace.
func (r *relay) tick(now time.Time) {
	for s := range r.sessions {
		if now.Sub(s.heard) > silentSession {
			r.drop(s)
		}
	}
	if r.source == nil && len(r.sessions) > 0 && now.Sub(r.lost) > sourceGrace {
		r.log.Warn("without a leader for too long, closing all sessions with entries", "")
		r.dropAll()
	}
}

// shorter returns the shorter of two waits; 0 means no wait.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// spreadDown sends pending changes to all entries; it returns the wait until the rest is due, or 0.
func (r *relay) spreadDown(now time.Time) time.Duration {
	if r.view.changes.isEmpty() {
		return 0
	}
	if len(r.sessions) == 0 {
		r.view.forget()
		return 0
	}
	wait := r.newsAt.Sub(now)
	if wait > 0 && !r.view.changes.isUrgent() {
		return wait
	}
	d := r.view.take(wait <= 0)
	if wait <= 0 {
		r.newsAt = now.Add(newsEvery + time.Duration(len(r.sessions))*newsPerSession)
	}
	data, err := encode(&d)
	if err != nil {
		r.log.Error("encode an update", err)
		return 0
	}
	for s := range r.sessions {
		r.metrics.sent("news", len(data))
		if !s.push(data) {
			r.log.Warn("queue of an entry's session is full, closing it", s.hello.Node)
			r.drop(s)
		}
	}
	return max(wait, 0)
}

// spreadUp sends the pending report to the leader; it returns the wait until the rest is due, or 0.
func (r *relay) spreadUp(now time.Time) time.Duration {
	a := &r.asking
	if r.source == nil {
		// Entries repeat their requests once there is a leader.
		r.clearAsked()
		return 0
	}
	version := r.version()
	urgent := len(a.wants)+len(a.missing)+len(a.known) > 0 || version != a.version || len(r.sessions) != a.entries || a.loads.due(now)
	usesDue := now.Sub(a.usesAt) >= usesEvery
	if !urgent && !usesDue {
		return 0
	}
	if wait := a.at.Add(askEvery).Sub(now); wait > 0 {
		return wait
	}
	up := Up{Loads: a.loads.take(now), Missing: slices.Collect(maps.Keys(a.missing)), Known: slices.Collect(maps.Values(a.known))}
	if version != a.version {
		up.Version = version
	}
	if n := len(r.sessions); n != a.entries {
		up.Entries = &n
	}
	for _, w := range a.wants {
		up.Wants = append(up.Wants, w)
	}
	slices.SortFunc(up.Wants, func(x, y Want) int {
		return cmp.Or(cmp.Compare(x.Left, y.Left), cmp.Compare(x.Adapter.Name, y.Adapter.Name), cmp.Compare(x.Zone, y.Zone))
	})
	if usesDue {
		a.usesAt = now
		up.Uses = a.takeUses()
	}
	if isNothing(&up) {
		return 0
	}
	a.at = now
	if !r.source(up) {
		// The queue to the leader is full: the next report carries everything again.
		r.connect(r.source)
		return askEvery
	}
	if up.Version != 0 {
		a.version = version
	}
	if up.Entries != nil {
		a.entries = *up.Entries
	}
	r.clearAsked()
	return 0
}

func isNothing(up *Up) bool {
	return up.Version == 0 && up.Entries == nil && len(up.Wants)+len(up.Uses)+len(up.Missing)+len(up.Loads)+len(up.Known) == 0
}

// takeUses returns the adapter use that changed since the last call.
func (a *asking) takeUses() []Use {
	var out []Use
	for at, u := range a.uses {
		if !u.changed {
			continue
		}
		use := Use{Engine: at.Engine, Adapter: at.Adapter, Starts: u.starts}
		for _, n := range u.running {
			use.Running += n
		}
		out = append(out, use)
		if u.starts, u.changed = 0, false; len(u.running) == 0 {
			delete(a.uses, at)
		}
	}
	return out
}
