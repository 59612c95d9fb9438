package governor

import (
	"context"
	"slices"
	"time"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	// tickEvery is the interval of the control goroutine's periodic work.
	tickEvery = 50 * time.Millisecond
	// planEvery is the shortest time between two plans, so that many wants at once cost one plan.
	planEvery = 3 * time.Millisecond
	// placementEvery is the shortest time between two log lines about wanted adapters.
	placementEvery = 500 * time.Millisecond
	maxEvents      = 4096
	maxTurn        = 256
)

// hub is the event loop of a replica. Its methods run on the control goroutine unless stated otherwise.
type hub struct {
	cfg    Config
	deps   Deps
	seat   *seat
	log    *logger.Part
	ctx    context.Context
	spawn  func(func())
	events chan func(now time.Time)

	desk     *desk
	term     uint64
	starting bool
	applied  uint64
	// told is the replicated state that was last sent to relays.
	told  *durable
	table *matcher.Table
	// relay serves the sessions with entries; peers are the leader's sessions with relays, own the one with its own relay,
	// and open all sessions accepted over the network.
	relay   *relay
	peers   map[*session]bool
	own     *session
	open    map[*session]bool
	entries int
	listed  []Peer
	workers map[string]*worker
	joiner  *joiner
	newsAt  time.Time
	planAt  time.Time
	toldAt  time.Time
	// heard is when this replica last received from a leader or led itself.
	heard    time.Time
	recorder recorder
	loads    *loads
	waits    []versionWait
	retiring bool
	metrics  *metrics
}

// versionWait waits for all entries to have a version of the document; done is closed then.
type versionWait struct {
	version uint64
	done    chan struct{}
}

func newHub(ctx context.Context, cfg Config, deps Deps, s *seat, l *logger.Part, spawn func(func())) *hub {
	h := &hub{
		cfg: cfg, deps: deps, seat: s, log: l, ctx: ctx, spawn: spawn, events: make(chan func(now time.Time), maxEvents),
		peers: make(map[*session]bool), open: make(map[*session]bool), workers: make(map[string]*worker), loads: newLoads(),
		metrics: newMetrics(), heard: time.Now(),
	}
	h.joiner = newJoiner(h)
	h.relay = newRelay(l, h.metrics)
	return h
}

// post queues f for the control goroutine; it may be called from any other goroutine. It returns false after a shutdown.
func (h *hub) post(f func(now time.Time)) bool {
	select {
	case h.events <- f:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// stateChanged wakes the control goroutine. It is called on the log's goroutine and must not block.
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
	news := time.NewTimer(time.Hour)
	defer news.Stop()
	for {
		select {
		case <-h.ctx.Done():
			h.stepDown()
			return
		case f := <-h.events:
			now := time.Now()
			f(now)
			for range min(len(h.events), maxTurn) {
				(<-h.events)(now)
			}
		case <-ticker.C:
			h.tick(time.Now())
		case <-news.C:
		}
		if wait := h.turn(time.Now()); wait > 0 {
			news.Reset(wait)
		}
	}
}

// turn sends the messages and orders that result from past events; it returns the wait until more are due, or 0.
func (h *hub) turn(now time.Time) time.Duration {
	h.refresh()
	wait := h.relay.spreadUp(now)
	wait = shorter(wait, h.plan(now))
	wait = shorter(wait, h.spread(now))
	return shorter(wait, h.relay.spreadDown(now))
}

// tick does the periodic work: timeouts, membership and recording.
func (h *hub) tick(now time.Time) {
	h.checkLead(now)
	h.metrics.sessions.Set(float64(len(h.open)))
	h.metrics.leads.Set(0)
	h.relay.tick(now)
	if h.desk == nil {
		return
	}
	h.metrics.leads.Set(1)
	for s := range h.peers {
		if s != h.own && now.Sub(s.heard) > silentSession {
			h.drop(s)
		}
	}
	h.tellReplicas()
	h.desk.engines.Expire(now, instanceTTL)
	h.desk.sync()
	for id, w := range h.workers {
		if _, ok := h.desk.engines.Instance(id); !ok {
			w.close()
			delete(h.workers, id)
		}
	}
	h.joiner.tick(now)
	h.finishWaits()
	h.tellPlacement(now)
	h.record(now)
}

// tellPlacement logs why adapters can't be placed, while some are wanted.
func (h *hub) tellPlacement(now time.Time) {
	if now.Sub(h.toldAt) < placementEvery {
		return
	}
	s := h.desk.placing.Stats(now)
	if s.Wants == 0 {
		return
	}
	h.toldAt = now
	h.log.Placement(s.Wants, s.Copies, s.Fetches, s.Bound, s.Places, s.InUse, s.Idle, s.Distinct)
}

// room returns the adapter capacity of a service's engines.
func (h *hub) room(service string) (allocator.Room, bool) {
	if h.table == nil {
		return allocator.Room{}, false
	}
	s, ok := h.table.Service(service)
	if !ok || s.AdapterSlots == 0 {
		return allocator.Room{}, false
	}
	return allocator.Room{Adapters: s.AdapterSlots, Models: s.Models, LoadsPerSecond: s.LoadsPerSecond}, true
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

// refresh broadcasts changes in the replicated state.
func (h *hub) refresh() {
	if h.desk == nil {
		return
	}
	state := h.seat.state()
	if state.Applied == h.applied {
		return
	}
	h.applied = state.Applied
	down := Down{Versions: newVersions(h.told.Versions, state.Versions), Left: newLeaves(h.told.Left, state.Left)}
	h.told = state
	if h.table == nil || h.table.Version() != state.Doc.Version {
		h.table = h.decode(state.Doc)
		h.desk.resize()
		down.Doc = &state.Doc
	}
	h.desk.refresh(state)
	if !isEmpty(&down) {
		h.broadcast(down)
	}
}

// broadcast sends a message to all relays, including the leader's own.
func (h *hub) broadcast(d Down) {
	h.relay.take(&d)
	if len(h.peers) < 2 {
		return
	}
	data, err := encode(&d)
	if err != nil {
		h.log.Error("encode a message", err)
		return
	}
	for s := range h.peers {
		if s != h.own {
			h.push(s, data)
		}
	}
}

// push queues a message for a relay; a session whose queue is full is closed, and the relay reconnects.
func (h *hub) push(s *session, data encoder.Raw) {
	h.metrics.sent("relay", len(data))
	if !s.push(data) {
		h.log.Warn("queue of a relay's session is full, closing it", s.hello.Node)
		h.drop(s)
	}
}

func (h *hub) send(s *session, d Down) {
	data, err := encode(&d)
	if err != nil {
		h.log.Error("encode a message", err)
		return
	}
	h.push(s, data)
}

// openSession accepts a session; false means that the caller must try another replica.
func (h *hub) openSession(s *session) bool {
	if h.retiring || h.desk == nil && !h.relay.accepts() {
		return false
	}
	h.open[s] = true
	return true
}

// drop closes a session with an entry or a relay.
func (h *hub) drop(s *session) {
	delete(h.open, s)
	h.relay.drop(s)
	s.close()
	if !h.peers[s] {
		return
	}
	delete(h.peers, s)
	h.loads.drop(s)
	if h.desk != nil {
		h.desk.placing.Forget(s.hello.Node)
	}
	h.count()
}

// count broadcasts the number of entries if it changed.
func (h *hub) count() {
	n := 0
	for s := range h.peers {
		n += s.entries
	}
	if n != h.entries && h.desk != nil {
		h.entries = n
		h.broadcast(Down{Entries: n})
	}
}

// spread broadcasts changes of engines and loads; it returns the wait until the rest is due, or 0.
func (h *hub) spread(now time.Time) time.Duration {
	if h.desk == nil || len(h.desk.moves)+len(h.desk.changed)+len(h.desk.exact) == 0 && !h.loads.due(now) {
		return 0
	}
	if wait := h.newsAt.Sub(now); wait > 0 && len(h.desk.changed) == 0 {
		return wait
	}
	d, ok := h.desk.news()
	d.Loads = h.loads.take(now)
	if ok || len(d.Loads) > 0 {
		h.broadcast(d)
		h.newsAt = now.Add(newsEvery)
	}
	return 0
}

// plan starts the orders that satisfy the wants; it returns the wait until the next plan is due, or 0.
func (h *hub) plan(now time.Time) time.Duration {
	if h.desk == nil {
		return 0
	}
	if wait := h.planAt.Sub(now); wait > 0 {
		return wait
	}
	h.planAt = now.Add(planEvery)
	for _, id := range h.desk.placing.Unsynced() {
		h.worker(id).sync()
	}
	for _, o := range h.desk.placing.Plan(now) {
		h.worker(o.Engine).add(o)
	}
	h.desk.sync()
	return 0
}

// worker returns the worker for the latest incarnation of an engine.
func (h *hub) worker(id string) *worker {
	w := h.workers[id]
	in, _ := h.desk.engines.Instance(id)
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

// latest returns the key of the latest known incarnation of a backend server; any goroutine may call it.
func (h *hub) latest(id string) tracker.Key {
	key := make(chan tracker.Key, 1)
	ok := h.post(func(time.Time) {
		k := tracker.Key{ID: id}
		if h.desk != nil {
			if in, ok := h.desk.engines.Instance(id); ok {
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
		h.waits = append(h.waits, w)
		h.finishWaits()
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

func (h *hub) finishWaits() {
	h.waits = slices.DeleteFunc(h.waits, func(w versionWait) bool {
		for s := range h.peers {
			if s.entries > 0 && s.version < w.version {
				return false
			}
		}
		close(w.done)
		return true
	})
}

// receive applies a message received on a session.
func (h *hub) receive(now time.Time, s *session, up Up) {
	if s.closed {
		return
	}
	s.heard = now
	if up.Hello != nil && !h.hello(s, *up.Hello) {
		h.drop(s)
	}
	switch {
	case s.closed || s.hello == nil:
	case s.isPeer():
		h.joiner.heard[s.hello.Replica] = now
		h.absorb(now, s, up)
		if up.Beat > 0 {
			h.send(s, Down{Beat: up.Beat})
		}
	default:
		h.relay.receive(s, up)
	}
}

// hello begins a session: an entry's with this replica's relay, or a relay's with the leader.
func (h *hub) hello(s *session, hello Hello) bool {
	s.hello = &hello
	if !s.isPeer() {
		if !h.relay.accepts() {
			return false
		}
		h.relay.join(s)
		return true
	}
	if h.desk == nil {
		return false
	}
	for other := range h.peers {
		if other.hello.Replica == hello.Replica {
			h.drop(other)
		}
	}
	h.peers[s] = true
	h.send(s, h.whole())
	return true
}

// absorb applies a relay's report on its entries.
func (h *hub) absorb(now time.Time, s *session, up Up) {
	if h.desk == nil {
		return
	}
	if up.Entries != nil {
		s.entries = *up.Entries
		h.count()
	}
	if up.Version != 0 {
		s.version = up.Version
	}
	if up.Version != 0 || up.Entries != nil {
		h.finishWaits()
	}
	if now.Sub(h.desk.begun) < settleTime {
		h.desk.claim(now, up.Known)
	}
	for _, u := range up.Uses {
		h.desk.placing.Use(now, s.hello.Node, u.Engine, u.Adapter, u.Starts, u.Running)
	}
	for _, l := range up.Loads {
		h.loads.set(s, l)
	}
	for _, m := range up.Missing {
		h.desk.placing.Missing(m.Engine, m.Adapter)
	}
	for _, w := range up.Wants {
		h.desk.placing.Want(now, allocator.Want{
			Service: w.Service, Adapter: w.Adapter, Zone: w.Zone, Copy: w.Copy, Due: now.Add(w.Left), Except: w.Except,
		})
	}
}
