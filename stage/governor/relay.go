package governor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	// updateEvery is the shortest time between two updates about engines to all entries of a relay; updatePerSession is
	// added for each session, so that many entries get fewer and larger updates.
	updateEvery      = 8 * time.Millisecond
	updatePerSession = 400 * time.Microsecond
	// reportEvery is the shortest time between two reports of a relay to the leader; useReportEvery is that between two
	// reports of adapter use.
	reportEvery    = 10 * time.Millisecond
	useReportEvery = 100 * time.Millisecond
	// upstreamGrace is how long a relay without a leader keeps its sessions: a leader change takes less. After that, entries
	// look for a relay that has a leader.
	upstreamGrace = 2500 * time.Millisecond
	// maxPendingRequests bounds each kind of pending request; entries repeat the requests that are dropped.
	maxPendingRequests = 4096
)

// relay forwards the leader's updates to the entries of its data centre and aggregates their reports. Every replica is a
// relay, including the leader, so that the leader's traffic grows with the number of replicas, not of entries. Only the
// control goroutine calls it.
type relay struct {
	log      *logger.Component
	metrics  *metrics
	sessions map[*session]bool
	view     *view
	// upstream sends a message to the leader and returns false if its queue is full; nil without a leader.
	upstream func(UpMessage) bool
	// upstreamLostAt is when upstream was last set to nil, connectedAt when a leader's first message came last.
	upstreamLostAt, connectedAt time.Time
	// confirmedAt is the latest time at which the leader is known to have served this relay.
	confirmedAt  time.Time
	nextUpdateAt time.Time
	pending      pendingReport
	quotas       relayQuotas
	streams      relayStreams
	// tunnels are its entries that carry connections for others; tunnelsSent is set while the leader has them.
	tunnels     []Peer
	tunnelsSent bool
}

// pendingReport is a relay's next report to the leader.
type pendingReport struct {
	sentAt, usesSentAt time.Time
	loads              *loads
	uses               map[AdapterPlacement]*usage
	wants              map[wantKey]Want
	missing            map[AdapterPlacement]bool
	known              map[tracker.Key]tracker.Instance
	crashes            []Crash
	sound              map[quarantiner.Digest]bool
	trials             []Trial
	speeds             *profiler.Collector
	cached             []CachedPrefix
	// version and entries are the values last sent to the leader.
	version uint64
	entries int
}

// usage is the use of an adapter at an engine by a relay's entries; starts are since the last report.
type usage struct {
	starts  int
	running map[*session]int
	changed bool
}

// wantKey is the key by which wants are merged.
type wantKey struct {
	service   string
	adapter   tracker.Adapter
	zone      string
	extraCopy bool
	software  string
}

func newRelay(l *logger.Component, m *metrics) *relay {
	r := &relay{log: l, metrics: m, sessions: make(map[*session]bool), view: newView(), quotas: newRelayQuotas(), streams: newRelayStreams(), tunnelsSent: true}
	r.pending.loads = newLoads()
	r.pending.uses = make(map[AdapterPlacement]*usage)
	r.pending.speeds = profiler.NewCollector()
	r.clearRequests()
	return r
}

func (r *relay) clearRequests() {
	r.pending.wants, r.pending.missing = make(map[wantKey]Want), make(map[AdapterPlacement]bool)
	r.pending.known = make(map[tracker.Key]tracker.Instance)
	r.pending.crashes, r.pending.sound, r.pending.trials = nil, make(map[quarantiner.Digest]bool), nil
	r.quotas.clearReport()
	r.pending.cached = nil
	r.streams.unsent, r.streams.questions = nil, nil
}

// setUpstream sets the connection to a leader, to which everything must be reported anew.
func (r *relay) setUpstream(send func(UpMessage) bool) {
	r.upstream = send
	r.pending.version, r.pending.entries = 0, -1
	r.pending.loads.markAllChanged()
	for _, u := range r.pending.uses {
		u.changed = true
	}
	r.quotas.restart(r.view.quotas.Entries)
	r.streams.reportAll()
	r.tunnelsSent = len(r.tunnels) == 0
}

func (r *relay) clearUpstream(now time.Time) {
	if r.upstream != nil {
		r.upstream, r.upstreamLostAt = nil, now
	}
}

// isConnected reports whether the relay has a leader that serves it; only then may entries open sessions.
func (r *relay) isConnected(now time.Time) bool {
	return r.upstream != nil && r.leaderAge(now) <= leaderTimeout
}

// confirm records that the leader served this relay at a time.
func (r *relay) confirm(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// leaderAge returns how long ago the leader is known to have served this relay.
func (r *relay) leaderAge(now time.Time) time.Duration {
	return max(waiter.Elapsed(now, r.confirmedAt), 0)
}

// repeatResponses makes the responses to the last heartbeats due again, so that entries know at once that there is a leader.
func (r *relay) repeatResponses() {
	for s := range r.sessions {
		s.responseDue = s.heartbeat > 0
	}
}

// sendResponses responds to entries' heartbeats. It must follow sendUpdate: a response confirms that the entry has everything that
// the leader had sent when the relay was last served.
func (r *relay) sendResponses(now time.Time) {
	for s := range r.sessions {
		if s.responseDue {
			s.responseDue = false
			r.send(s, DownMessage{Heartbeat: s.heartbeat, LeaderAge: r.leaderAge(now)}, "beat")
		}
	}
}

// addSession adds an entry's session and closes an earlier one of the same entry; it returns false if the entry has opened
// a later one, since the hello may have waited on a connection that was given up.
func (r *relay) addSession(now time.Time, s *session) bool {
	for other := range r.sessions {
		if other == s || other.hello.Node != s.hello.Node {
			continue
		}
		if s.hello.isBefore(other.hello) {
			return false
		}
		r.closeSession(other, endReplaced)
	}
	r.sessions[s] = true
	r.selectTunnels()
	r.quotas.add(s)
	d := r.view.fullState()
	d.LeaderAge = r.leaderAge(now)
	r.send(s, d, "whole")
	return true
}

func (r *relay) closeSession(s *session, why sessionEnd) {
	if !r.sessions[s] {
		return
	}
	delete(r.sessions, s)
	r.selectTunnels()
	r.metrics.countEnd(s, why)
	s.close()
	r.quotas.remove(s)
	r.pending.loads.removeSession(s)
	for _, u := range r.pending.uses {
		if _, ok := u.running[s]; ok {
			delete(u.running, s)
			u.changed = true
		}
	}
}

func (r *relay) closeSessions(why sessionEnd) {
	for s := range r.sessions {
		r.closeSession(s, why)
	}
}

// send queues a message for one session; a session whose queue is full is closed, and its entry reconnects.
func (r *relay) send(s *session, d DownMessage, kind string) {
	data, ok := encodeValid(r.log, &d)
	if !ok {
		return
	}
	r.metrics.countSent(kind, len(data))
	if !s.enqueue(data) {
		r.log.Warn("queue of an entry's session is full, closing it", s.hello.Node)
		r.closeSession(s, endQueueFull)
	}
}

// apply applies a message of the leader.
func (r *relay) apply(d *DownMessage) {
	r.view.apply(d)
	if d.Quotas != nil {
		r.applyQuotas(d.Quotas)
	}
}

// receive adds an entry's message to the pending report.
func (r *relay) receive(s *session, up UpMessage) {
	p := &r.pending
	s.version = max(s.version, up.Version)
	for _, u := range up.Uses {
		r.addUse(s, u)
	}
	for _, l := range up.Loads {
		p.loads.set(s, l)
	}
	for _, v := range up.Speeds {
		if _, ok := r.view.engines[v.Server]; ok {
			p.speeds.Add(profiler.Sample(v))
		}
	}
	for _, m := range up.Missing {
		if len(p.missing) < maxPendingRequests {
			p.missing[m] = true
		}
	}
	if len(p.crashes)+len(up.Crashes) <= maxPendingRequests {
		p.crashes = append(p.crashes, up.Crashes...)
	}
	p.cached = appendPrefixes(p.cached, up.Cached)
	for _, d := range up.Sound {
		if len(p.sound) < maxPendingRequests {
			p.sound[d] = true
		}
	}
	for _, t := range up.Trials {
		t.Entry = s.hello.Node
		if len(p.trials) < maxPendingRequests {
			p.trials = append(p.trials, t)
		}
	}
	for _, w := range up.Wants {
		w.Zone = s.hello.Zone
		r.addWant(w)
	}
	for _, in := range up.Known {
		if _, ok := r.view.engines[in.Key.ID]; !ok && len(p.known) < maxPendingRequests {
			p.known[in.Key] = in
		}
	}
	r.quotas.receive(s, up.Quotas)
}

func (r *relay) addUse(s *session, use Use) {
	at := AdapterPlacement{use.Engine, use.Adapter}
	u := r.pending.uses[at]
	if u == nil {
		u = &usage{running: make(map[*session]int)}
		r.pending.uses[at] = u
	}
	u.starts += use.Starts
	u.changed = true
	if use.Running > 0 {
		u.running[s] = use.Running
	} else {
		delete(u.running, s)
	}
}

// addWant merges equal wants; the latest deadline counts.
func (r *relay) addWant(w Want) {
	k := wantKey{w.Service, w.Adapter, w.Zone, w.Copy, w.Software}
	old, ok := r.pending.wants[k]
	switch {
	case !ok && len(r.pending.wants) >= maxPendingRequests:
		return
	case ok:
		w.Remaining = max(w.Remaining, old.Remaining)
		if len(w.FailedServers) == 0 {
			w.FailedServers = old.FailedServers
		}
	}
	r.pending.wants[k] = w
}

// lowestVersion returns the lowest version of the document in force at the relay's entries.
func (r *relay) lowestVersion() uint64 {
	low := r.view.doc.Version
	for s := range r.sessions {
		low = min(low, s.version)
	}
	return low
}

// tick closes silent sessions, and all sessions once the relay has had no leader for longer than upstreamGrace.
func (r *relay) tick(now time.Time) {
	for s := range r.sessions {
		if now.Sub(s.lastReceived) > sessionTimeout {
			r.closeSession(s, endSilent)
		}
	}
	r.quotas.countLive(now, r.sessions)
	if r.upstream == nil && len(r.sessions) > 0 && now.Sub(r.upstreamLostAt) > upstreamGrace {
		r.log.Warn("without a leader for too long, closing all sessions with entries", "")
		r.closeSessions(endNoLeader)
	}
}

// shorterWait returns the shorter of two waits; 0 means no wait.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// sendUpdate sends changes to entries; it returns the wait until the rest is due, or 0.
func (r *relay) sendUpdate(now time.Time) time.Duration {
	if r.view.changes.isEmpty() {
		return 0
	}
	if len(r.sessions) == 0 {
		r.view.clearChanges()
		return 0
	}
	wait := r.nextUpdateAt.Sub(now)
	if wait > 0 && !r.view.changes.isUrgent() {
		return wait
	}
	d := r.view.takeUpdate(wait <= 0)
	if wait <= 0 {
		r.nextUpdateAt = now.Add(updateEvery + time.Duration(len(r.sessions))*updatePerSession)
	}
	data, ok := encodeValid(r.log, &d)
	if !ok {
		return 0
	}
	for s := range r.sessions {
		r.metrics.countSent("news", len(data))
		if !s.enqueue(data) {
			r.log.Warn("queue of an entry's session is full, closing it", s.hello.Node)
			r.closeSession(s, endQueueFull)
		}
	}
	return max(wait, 0)
}

// sendReport reports to the leader; it returns the wait until the rest is due, or 0.
func (r *relay) sendReport(now time.Time) time.Duration {
	p := &r.pending
	if r.upstream == nil {
		// Entries repeat their requests once there is a leader.
		r.clearRequests()
		p.takeSpeeds()
		return 0
	}
	version := r.lowestVersion()
	urgent := len(p.wants)+len(p.missing)+len(p.known)+len(p.crashes)+len(p.sound)+len(p.trials)+len(r.streams.unsent)+len(r.streams.questions) > 0 || version != p.version || len(r.sessions) != p.entries || p.loads.due(now) || r.quotas.isDue() || !r.tunnelsSent
	usesDue := now.Sub(p.usesSentAt) >= useReportEvery
	if !urgent && !usesDue {
		return 0
	}
	if wait := p.sentAt.Add(reportEvery).Sub(now); wait > 0 {
		return wait
	}
	up := UpMessage{Loads: p.loads.takeChanged(now), Missing: slices.Collect(maps.Keys(p.missing)), Known: slices.Collect(maps.Values(p.known))}
	up.Quotas = r.quotas.report()
	up.Crashes, up.Sound, up.Trials, up.Cached = p.crashes, slices.Collect(maps.Keys(p.sound)), p.trials, p.cached
	up.Starts, up.Questions = r.streams.unsent, r.streams.questions
	if version != p.version {
		up.Version = version
	}
	if n := len(r.sessions); n != p.entries {
		up.Entries = &n
	}
	if !r.tunnelsSent {
		up.Tunnels = &Tunnels{Entries: r.tunnels}
	}
	for _, w := range p.wants {
		up.Wants = append(up.Wants, w)
	}
	slices.SortFunc(up.Wants, func(x, y Want) int {
		return cmp.Or(cmp.Compare(x.Remaining, y.Remaining), cmp.Compare(x.Adapter.Name, y.Adapter.Name), cmp.Compare(x.Zone, y.Zone))
	})
	if usesDue {
		p.usesSentAt = now
		up.Uses, up.Speeds = p.takeUses(), p.takeSpeeds()
	}
	if isEmptyUp(&up) {
		return 0
	}
	p.sentAt = now
	if !r.upstream(up) {
		// The queue to the leader is full: the next report carries everything again.
		r.setUpstream(r.upstream)
		return reportEvery
	}
	if up.Version != 0 {
		p.version = version
	}
	if up.Entries != nil {
		p.entries = *up.Entries
	}
	r.tunnelsSent = true
	r.clearRequests()
	return 0
}

func isEmptyUp(up *UpMessage) bool {
	return up.Version == 0 && up.Entries == nil && up.Quotas == nil && up.Tunnels == nil && len(up.Wants)+len(up.Uses)+len(up.Missing)+len(up.Loads)+len(up.Known)+len(up.Crashes)+len(up.Sound)+len(up.Trials)+len(up.Speeds)+len(up.Cached)+len(up.Starts)+len(up.Questions)+len(up.Lacking) == 0
}

// takeSpeeds returns the samples of servers' speeds since the last call.
func (p *pendingReport) takeSpeeds() []SpeedSample {
	var out []SpeedSample
	for _, v := range p.speeds.Take() {
		out = append(out, SpeedSample(v))
	}
	return out
}

// takeUses returns the use that changed since the last call.
func (p *pendingReport) takeUses() []Use {
	var out []Use
	for at, u := range p.uses {
		if !u.changed {
			continue
		}
		use := Use{Engine: at.Engine, Adapter: at.Adapter, Starts: u.starts}
		for _, n := range u.running {
			use.Running += n
		}
		out = append(out, use)
		if u.starts, u.changed = 0, false; len(u.running) == 0 {
			delete(p.uses, at)
		}
	}
	return out
}
