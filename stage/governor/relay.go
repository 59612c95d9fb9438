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
	// newsEvery is the shortest time between two messages about engines to all entries of a relay, and newsPerSession what
	// each session adds to it, so that many entries get fewer and larger messages.
	newsEvery      = 8 * time.Millisecond
	newsPerSession = 400 * time.Microsecond
	// askEvery is the shortest time between two messages of a relay to the leader; usesEvery that between two about what is
	// in use.
	askEvery  = 10 * time.Millisecond
	usesEvery = 100 * time.Millisecond
	// sourceGrace is how long a relay without a leader keeps its entries: a change of leader takes less. Beyond, they look
	// for a relay that has one.
	sourceGrace = 2500 * time.Millisecond
	// maxAsked bounds what is asked for at once; what is left out is asked for again by who waits.
	maxAsked = 4096
)

// relay stands between the leader and the entries of its data centre: it tells them what the leader told, and sums up what
// they tell. Every replica is one, the leader too, so that what a leader sends and receives grows with the number of
// replicas and not with that of entries. The control goroutine calls it.
type relay struct {
	log      *logger.Part
	metrics  *metrics
	sessions map[*session]bool
	view     *view
	// source takes messages to the leader; nil without one. It reports false if the message couldn't be taken.
	source func(Up) bool
	// lost is when the source was lost.
	lost   time.Time
	newsAt time.Time
	asking asking
}

// asking is what a relay hasn't told the leader yet.
type asking struct {
	at, usesAt time.Time
	loads      *loads
	uses       map[AdapterAt]*usage
	wants      map[wanted]Want
	missing    map[AdapterAt]bool
	known      map[tracker.Key]tracker.Instance
	// version and entries are what the leader was told last.
	version uint64
	entries int
}

// usage is the use of an adapter at an engine by the entries of a relay.
type usage struct {
	starts  int
	running map[*session]int
	changed bool
}

// wanted is what a want asks for.
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

// connect gives the relay its source: a leader that knows nothing of it yet.
func (r *relay) connect(source func(Up) bool) {
	r.source = source
	r.asking.version, r.asking.entries = 0, -1
	r.asking.loads.retell()
	for _, u := range r.asking.uses {
		u.changed = true
	}
}

// disconnect takes the source away.
func (r *relay) disconnect(now time.Time) {
	if r.source != nil {
		r.source, r.lost = nil, now
	}
}

// accepts reports whether entries may come: only a relay that hears of the leader serves them.
func (r *relay) accepts() bool { return r.source != nil }

// join takes up an entry's session; an earlier one of the same entry ends.
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

// dropAll ends all sessions.
func (r *relay) dropAll() {
	for s := range r.sessions {
		r.drop(s)
	}
}

// send sends one session a message; one that doesn't read is closed, and its entry connects again.
func (r *relay) send(s *session, d Down, kind string) {
	data, err := encode(&d)
	if err != nil {
		r.log.Error("encode a message", err)
		return
	}
	r.metrics.sent(kind, len(data))
	if !s.push(data) {
		r.log.Warn("an entry doesn't read, its session ends", s.hello.Node)
		r.drop(s)
	}
}

// take takes up a message of the leader.
func (r *relay) take(d *Down) { r.view.apply(d) }

// receive takes up a message of an entry.
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

// want merges what several requests wait for.
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

// version returns the lowest version of the document that is in force at the relay's entries.
func (r *relay) version() uint64 {
	low := r.view.doc.Version
	for s := range r.sessions {
		low = min(low, s.version)
	}
	return low
}

// tick ends sessions that are silent, and all of them once the relay has been without a leader for too long.
func (r *relay) tick(now time.Time) {
	for s := range r.sessions {
		if now.Sub(s.heard) > silentSession {
			r.drop(s)
		}
	}
	if r.source == nil && len(r.sessions) > 0 && now.Sub(r.lost) > sourceGrace {
		r.log.Warn("without a leader for too long, entries must look for another relay", "")
		r.dropAll()
	}
}

// shorter returns the shorter of two waits, of which 0 is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// spreadDown tells entries what changed; it returns when the rest is due, or 0.
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
		r.log.Error("encode news", err)
		return 0
	}
	for s := range r.sessions {
		r.metrics.sent("news", len(data))
		if !s.push(data) {
			r.log.Warn("an entry doesn't read, its session ends", s.hello.Node)
			r.drop(s)
		}
	}
	return max(wait, 0)
}

// spreadUp tells the leader what entries told; it returns when the rest is due, or 0.
func (r *relay) spreadUp(now time.Time) time.Duration {
	a := &r.asking
	if r.source == nil {
		// Who waits asks again once there is a leader.
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
		// The source is slow: what changed is told again as a whole.
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

// takeUses returns what changed in the use of adapters.
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
