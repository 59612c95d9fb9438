package governor

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	// tickEvery is the interval of the control goroutine's periodic work.
	tickEvery = 50 * time.Millisecond
	// planEvery is the shortest time between two plans, so that many wants at once cost one plan.
	planEvery = 3 * time.Millisecond
	// placementLogEvery bounds how often wanted adapters are logged.
	placementLogEvery = 500 * time.Millisecond
	maxQueuedEvents   = 4096
	maxEventBatch     = 256
)

// hub is the event loop of a replica. Its methods run on the control goroutine unless stated otherwise.
type hub struct {
	cfg        Config
	deps       Deps
	membership *membership
	log        *logger.Component
	ctx        context.Context
	spawn      func(func())
	events     chan func(now time.Time)

	leader             *leaderState
	term               uint64
	leaderEpochPending bool
	applied            uint64
	// sentState is the state last sent to relays.
	sentState *replicatedState
	table     *matcher.Table
	// relay serves the sessions with entries; relaySessions are the leader's sessions with relays, ownSession the one with
	// its own relay, and sessions all those accepted over the network.
	relay             *relay
	relaySessions     map[*session]bool
	ownSession        *session
	sessions          map[*session]bool
	entries           int
	sentReplicas      []Peer
	workers           map[string]*worker
	joiner            *joiner
	levels            leveler
	nextUpdateAt      time.Time
	plans             pacer
	standings         pacer
	placementLoggedAt time.Time
	// planTimeLogged is the time spent on plans that was logged.
	planTimeLogged time.Duration
	slowLoggedAt   time.Time
	// leaderSeenAt is when this replica last received from a leader or led itself.
	leaderSeenAt time.Time
	recorder     recorder
	loads        *loads
	streams      *leaderStreams
	// lacking are the software versions that this replica's state lacked at lackingAt.
	lacking   []resumer.Version
	lackingAt time.Time
	// cached are beginnings of prompts that entries reported and that aren't sent to relays yet.
	cached       []CachedPrefix
	versionWaits []versionWait
	shuttingDown bool
	metrics      *metrics
	// ticks is the number of periodic rounds of the control goroutine.
	ticks atomic.Uint64
}

// versionWait is a wait until all entries have a version of the document; done is then closed.
type versionWait struct {
	version uint64
	done    chan struct{}
}

func newHub(ctx context.Context, cfg Config, deps Deps, m *membership, l *logger.Component, spawn func(func())) *hub {
	h := &hub{
		cfg: cfg, deps: deps, membership: m, log: l, ctx: ctx, spawn: spawn, events: make(chan func(now time.Time), maxQueuedEvents),
		relaySessions: make(map[*session]bool), sessions: make(map[*session]bool), workers: make(map[string]*worker), loads: newLoads(),
		metrics: newMetrics(), leaderSeenAt: time.Now(), streams: newLeaderStreams(nil), plans: pacer{least: planEvery},
	}
	h.joiner = newJoiner(h)
	h.relay = newRelay(l, h.metrics)
	return h
}

// post queues f for the control goroutine; other goroutines call it. It returns false after a shutdown.
func (h *hub) post(f func(now time.Time)) bool {
	select {
	case h.events <- f:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// stateChanged wakes the control goroutine; the log's goroutine calls it and must not be blocked.
func (h *hub) stateChanged() {
	select {
	case h.events <- func(time.Time) {}:
	default:
		// The queue is full, so that the control goroutine checks the state soon anyway.
	}
}

func (h *hub) run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	flushTimer := time.NewTimer(time.Hour)
	defer flushTimer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			h.stepDown()
			return
		case f := <-h.events:
			now := time.Now()
			f(now)
			for range min(len(h.events), maxEventBatch) {
				(<-h.events)(now)
			}
			h.metrics.addLoop("events", now)
		case <-ticker.C:
			now := time.Now()
			h.tick(now)
			h.metrics.addLoop("tick", now)
		case <-flushTimer.C:
		}
		now := time.Now()
		if wait := h.flush(now); wait > 0 {
			flushTimer.Reset(wait)
		}
		h.metrics.addLoop("flush", now)
	}
}

// flush sends what is due; it returns the wait until more is due, or 0.
func (h *hub) flush(now time.Time) time.Duration {
	h.broadcastState()
	h.broadcastStandings(now)
	wait := shorterWait(h.relay.sendReport(now), h.distributeQuotas(now))
	wait = shorterWait(wait, h.plan(now))
	wait = shorterWait(wait, h.broadcastChanges(now))
	wait = shorterWait(wait, h.relay.sendUpdate(now))
	h.sendResponses()
	h.relay.sendResponses(now)
	return wait
}

// sendResponses responds to relays' heartbeats. It must follow broadcastState: a response confirms that the relay has everything
// that was committed when it sent the heartbeat.
func (h *hub) sendResponses() {
	for s := range h.relaySessions {
		if s.responseDue {
			s.responseDue = false
			h.send(s, DownMessage{Heartbeat: s.heartbeat})
		}
	}
}

// tick does the periodic work.
func (h *hub) tick(now time.Time) {
	h.ticks.Add(1)
	h.updateLeadership(now)
	h.metrics.leads.Set(0)
	h.relay.tick(now)
	h.relay.forgetQuestions(now)
	h.measureSessions(now)
	if h.leader == nil {
		h.reportLacking(now)
		return
	}
	h.relay.confirm(now)
	h.metrics.leads.Set(1)
	for s := range h.relaySessions {
		if s != h.ownSession && now.Sub(s.lastReceived) > sessionTimeout {
			h.closeSession(s, endSilent)
		}
	}
	h.broadcastReplicas()
	h.leader.engines.Expire(now, instanceTTL)
	h.leader.collectChanges()
	h.broadcastSpeeds(now)
	for id, w := range h.workers {
		if _, ok := h.leader.engines.Instance(id); !ok {
			w.close()
			delete(h.workers, id)
		}
	}
	h.joiner.addNext()
	h.raiseLevel(now)
	h.completeVersionWaits()
	h.recordQuarantine()
	h.retireSoftware(now)
	h.releaseServers(now)
	h.logPlacement(now)
	h.logQuotas(now)
	h.record(now)
}

func (h *hub) measureSessions(now time.Time) {
	h.metrics.sessions.Set(float64(len(h.sessions)))
	h.metrics.setRelay(len(h.relay.sessions), h.relay.confirmedAt, now)
}

// logPlacement logs why adapters can't be placed, while some are wanted.
func (h *hub) logPlacement(now time.Time) {
	if now.Sub(h.placementLoggedAt) < placementLogEvery {
		return
	}
	s := h.leader.alloc.Stats(now)
	if s.Wants == 0 {
		return
	}
	h.log.PendingPlacement(logger.Placement{
		Wants: s.Wants, Copies: s.Copies, Fetches: s.Fetches, FetchLimit: s.FetchLimit, Slots: s.Slots, InUse: s.InUse, Idle: s.Idle,
		Distinct: s.Distinct, Planning: h.plans.spent - h.planTimeLogged,
	})
	h.placementLoggedAt, h.planTimeLogged = now, h.plans.spent
}

// capacity returns the adapter capacity of a service's engines.
func (h *hub) capacity(service string) (allocator.Capacity, bool) {
	if h.table == nil {
		return allocator.Capacity{}, false
	}
	s, ok := h.table.Service(service)
	if !ok || s.AdapterSlots == 0 {
		return allocator.Capacity{}, false
	}
	return allocator.Capacity{Adapters: s.AdapterSlots, Models: s.Models, LoadsPerSecond: s.LoadsPerSecond}, true
}

func (h *hub) decode(doc Doc) *matcher.Table {
	if doc.Version == 0 {
		return nil
	}
	t, err := h.deps.Decode(doc)
	if err != nil {
		h.log.Error("decode the committed document", err)
		return h.table
	}
	return t
}

// broadcastState broadcasts changes in the replicated state.
func (h *hub) broadcastState() {
	if h.leader == nil {
		return
	}
	state := h.membership.state()
	if state.Applied == h.applied {
		return
	}
	h.applied = state.Applied
	down := DownMessage{Softwares: newSoftwares(h.sentState.Softwares, state.Softwares), Versions: newVersions(h.sentState.Versions, state.Versions), Leaving: newLeaving(h.sentState.Leaving, state.Leaving)}
	h.sentState = state
	if h.table == nil || h.table.Version() != state.Doc.Version {
		h.table = h.decode(state.Doc)
		h.leader.updateCapacity()
		h.leader.quotas.configure(h.table)
		down.Doc = &state.Doc
	}
	h.leader.applyState(state)
	if !isEmptyDown(&down) {
		h.broadcast(down)
	}
}

// broadcast sends a message to all relays, including its own.
func (h *hub) broadcast(d DownMessage) {
	data, ok := encodeValid(h.log, &d)
	if !ok {
		return
	}
	h.relay.apply(&d)
	for s := range h.relaySessions {
		if s != h.ownSession {
			h.enqueue(s, data)
		}
	}
}

// enqueue sends a relay a message; a session with a full queue is closed, and the relay reconnects.
func (h *hub) enqueue(s *session, data encoder.Raw) {
	h.metrics.countSent("relay", len(data))
	if !s.enqueue(data) {
		h.log.Warn("queue of a relay's session is full, closing it", s.hello.Node)
		h.closeSession(s, endQueueFull)
	}
}

func (h *hub) send(s *session, d DownMessage) {
	if data, ok := encodeValid(h.log, &d); ok {
		h.enqueue(s, data)
	}
}

// logDropped logs the fields of which elements were dropped from a message or a command; any goroutine may call it.
func (h *hub) logDropped(fields []string) {
	if len(fields) > 0 {
		h.log.Warn("dropped unreadable elements", strings.Join(fields, ", "))
	}
}

// openSession accepts a session; false means that the caller must try another replica.
func (h *hub) openSession(s *session) bool {
	if h.shuttingDown || h.leader == nil && !h.relay.isConnected(time.Now()) {
		return false
	}
	h.sessions[s] = true
	return true
}

func (h *hub) closeSession(s *session, why sessionEnd) {
	delete(h.sessions, s)
	h.relay.closeSession(s, why)
	h.metrics.countEnd(s, why)
	s.close()
	if !h.relaySessions[s] {
		return
	}
	delete(h.relaySessions, s)
	if !h.hasRelay(s.hello.Node) {
		h.metrics.removeRelay(s.hello.Node)
	}
	h.loads.removeSession(s)
	if h.leader != nil {
		h.leader.quotas.pool.RemoveRelay(s.hello.Replica)
		h.leader.alloc.RemoveReporter(s.hello.Node)
	}
	h.broadcastEntryCount()
	h.broadcastTunnels()
}

// hasRelay reports whether a relay of a node, which may have come back under another ID, has a session with this leader.
func (h *hub) hasRelay(node string) bool {
	for s := range h.relaySessions {
		if s.isRelay() && s.hello.Node == node {
			return true
		}
	}
	return false
}

func (h *hub) broadcastEntryCount() {
	n := 0
	for s := range h.relaySessions {
		n += s.entries
	}
	if n != h.entries && h.leader != nil {
		h.entries = n
		h.broadcast(DownMessage{Entries: n})
	}
}

// broadcastChanges broadcasts changes of engines and loads; it returns the wait until the rest is due, or 0.
func (h *hub) broadcastChanges(now time.Time) time.Duration {
	if h.leader == nil || len(h.leader.moves)+len(h.leader.changedServers)+len(h.leader.fullResidentsDue)+len(h.cached) == 0 && !h.loads.due(now) {
		return 0
	}
	if wait := h.nextUpdateAt.Sub(now); wait > 0 && len(h.leader.changedServers) == 0 {
		return wait
	}
	d, ok := h.leader.takeUpdate()
	d.Loads = h.loads.takeChanged(now)
	for _, l := range d.Loads {
		h.metrics.setMemory(l)
	}
	for _, id := range d.RemovedServers {
		h.metrics.removeServer(id)
	}
	d.Cached, h.cached = h.cached, nil
	if ok || len(d.Loads)+len(d.Cached) > 0 {
		h.broadcast(d)
		h.nextUpdateAt = now.Add(updateEvery)
	}
	return 0
}

// plan starts the orders that satisfy the wants; it returns the wait until the next plan is due, or 0.
func (h *hub) plan(now time.Time) time.Duration {
	if h.leader == nil {
		return 0
	}
	if wait := h.plans.wait(now); wait > 0 {
		return wait
	}
	began := time.Now()
	defer func() { h.metrics.plans.Observe(h.plans.end(began).Seconds()) }()
	for _, id := range h.leader.alloc.Unsynced(now) {
		h.worker(id).sync()
	}
	for _, o := range h.leader.alloc.Plan(now) {
		h.worker(o.Engine).start(o)
	}
	h.leader.collectChanges()
	return 0
}

// worker returns the worker for an engine's latest incarnation.
func (h *hub) worker(id string) *worker {
	w := h.workers[id]
	in, _ := h.leader.engines.Instance(id)
	if w != nil && w.target.Key != in.Key {
		w.close()
		w = nil
	}
	if w == nil {
		w = newWorker(h, in)
		h.workers[id] = w
	}
	return w
}

// latestKey returns the key of the latest known incarnation of a backend server; any goroutine may call it.
func (h *hub) latestKey(id string) tracker.Key {
	key := make(chan tracker.Key, 1)
	ok := h.post(func(time.Time) {
		k := tracker.Key{ID: id}
		if h.leader != nil {
			if in, ok := h.leader.engines.Instance(id); ok {
				k = in.Key
			}
		}
		key <- k
	})
	if !ok {
		return tracker.Key{ID: id}
	}
	select {
	case k := <-key:
		return k
	case <-h.ctx.Done():
		return tracker.Key{ID: id}
	}
}

// awaitVersion waits until all entries have a version of the document, at most ackWait; any goroutine may call it.
func (h *hub) awaitVersion(ctx context.Context, version uint64) {
	w := versionWait{version: version, done: make(chan struct{})}
	if !h.post(func(time.Time) {
		h.versionWaits = append(h.versionWaits, w)
		h.completeVersionWaits()
	}) {
		return
	}
	t := time.NewTimer(ackWait)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (h *hub) completeVersionWaits() {
	h.versionWaits = slices.DeleteFunc(h.versionWaits, func(w versionWait) bool {
		for s := range h.relaySessions {
			if s.entries > 0 && s.version < w.version {
				return false
			}
		}
		close(w.done)
		return true
	})
}

// receive applies a session's message.
func (h *hub) receive(now time.Time, s *session, up UpMessage) {
	if s.closed {
		return
	}
	s.lastReceived = now
	h.logDropped(up.Dropped)
	if up.Hello != nil && !h.beginSession(now, s, *up.Hello) {
		h.closeSession(s, endRefused)
	}
	if s.closed || s.hello == nil {
		return
	}
	if up.Heartbeat > 0 {
		s.heartbeat, s.responseDue = up.Heartbeat, true
	}
	if s.isRelay() {
		h.applyReport(now, s, up)
		return
	}
	h.relay.receive(s, up)
	h.relay.receiveStreams(now, s, up)
}

// beginSession begins an entry's session with the relay, or a relay's with the leader.
func (h *hub) beginSession(now time.Time, s *session, hello Hello) bool {
	s.hello = &hello
	if !s.isRelay() {
		if !h.relay.isConnected(now) {
			return false
		}
		// The first message confirms, too.
		h.broadcastState()
		return h.relay.addSession(now, s)
	}
	if h.leader == nil {
		return false
	}
	for other := range h.relaySessions {
		if other.hello.Replica != hello.Replica {
			continue
		}
		if hello.isBefore(other.hello) {
			return false
		}
		h.closeSession(other, endReplaced)
	}
	h.relaySessions[s] = true
	h.metrics.addRelay(hello.Node)
	h.send(s, h.fullState())
	return true
}

// applyReport applies a relay's report on its entries.
func (h *hub) applyReport(now time.Time, s *session, up UpMessage) {
	if h.leader == nil {
		return
	}
	if up.Entries != nil {
		s.entries = *up.Entries
		h.broadcastEntryCount()
	}
	if up.Version != 0 {
		s.version = up.Version
	}
	if up.Version != 0 || up.Entries != nil {
		h.completeVersionWaits()
	}
	if now.Sub(h.leader.startedAt) < settleTime {
		h.leader.adoptServers(now, up.Known)
	}
	for _, u := range up.Uses {
		h.leader.alloc.RecordUse(now, s.hello.Node, u.Engine, u.Adapter, u.Starts, u.Running)
	}
	for _, l := range up.Loads {
		h.loads.set(s, l)
	}
	h.applyQuotaReport(now, s, up.Quotas)
	h.leader.recordSpeeds(now, up.Speeds)
	h.cached = appendPrefixes(h.cached, up.Cached)
	if up.Tunnels != nil {
		s.tunnels = up.Tunnels.Entries
		h.broadcastTunnels()
	}
	h.applyStreams(now, s, up)
	h.recordCrashes(now, up.Crashes)
	h.leader.quarantine.reportSound(now, up.Sound)
	h.applyTrials(now, up.Trials)
	for _, m := range up.Missing {
		h.leader.alloc.RecordMissing(m.Engine, m.Adapter)
	}
	for _, w := range up.Wants {
		h.leader.alloc.Want(now, allocator.Want{
			Service: w.Service, Adapter: w.Adapter, Zone: w.Zone, Copy: w.Copy, Deadline: now.Add(w.Remaining), ExcludedEngines: w.FailedServers,
			Software: w.Software,
		})
	}
}
