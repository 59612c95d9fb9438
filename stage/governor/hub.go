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
	// tickEvery is how often time passes for the control goroutine.
	tickEvery = 50 * time.Millisecond
	// planEvery is the shortest time between two looks for orders, so that a crowd of wants costs one look.
	planEvery = 3 * time.Millisecond
	// placementEvery bounds the lines about adapters that are waited for.
	placementEvery = 500 * time.Millisecond
	maxEvents      = 4096
	maxTurn        = 256
)

// hub is the control state of a replica; its methods run on the control goroutine unless they say otherwise.
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
	// told is the replicated state that entries know.
	told  *durable
	table *matcher.Table
	// relay serves the entries that have their sessions here; peers are the leader's sessions with relays, own the one with
	// its own relay.
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
	// heard is when this replica knew of a leader's work last, its own included.
	heard    time.Time
	recorder recorder
	loads    *loads
	waits    []versionWait
	retiring bool
	metrics  *metrics
}

// versionWait is closed once all entries have a version of the document.
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

// post has f run by the control goroutine; it may be called from any other goroutine.
func (h *hub) post(f func(now time.Time)) bool {
	select {
	case h.events <- f:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// stateChanged is called by the log's goroutine and must not block it.
func (h *hub) stateChanged() {
	select {
	case h.events <- func(time.Time) {}:
	default:
		// A full queue means that the control goroutine looks at the state soon anyway.
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

// turn does what follows from the events so far; it returns when more is due, or 0.
func (h *hub) turn(now time.Time) time.Duration {
	h.refresh()
	wait := h.relay.spreadUp(now)
	wait = shorter(wait, h.plan(now))
	wait = shorter(wait, h.spread(now))
	return shorter(wait, h.relay.spreadDown(now))
}

// tick lets time pass.
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

// tellPlacement logs what stands in the way of adapters, while some are waited for.
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

// room returns what the engines of a service may hold.
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
		h.log.Error("read the committed document", err)
		return h.table
	}
	return t
}

// refresh tells entries what changed in the replicated state.
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

// broadcast tells all relays, the leader's own one too.
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

// push sends a relay a message; one that doesn't read is closed and connects again.
func (h *hub) push(s *session, data encoder.Raw) {
	h.metrics.sent("relay", len(data))
	if !s.push(data) {
		h.log.Warn("a relay doesn't read, its session ends", s.hello.Node)
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

// openSession takes up a session; false means that its other side must look elsewhere.
func (h *hub) openSession(s *session) bool {
	if h.retiring || h.desk == nil && !h.relay.accepts() {
		return false
	}
	h.open[s] = true
	return true
}

// drop ends a session of either kind.
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

// count tells all entries how many there are.
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

// spread sends what changed of engines to all relays; it returns when the rest is due, or 0.
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

// plan has orders carried out that follow from what is wanted; it returns when it is due, or 0.
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

// worker returns what gives an engine its orders.
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

// latest returns the key of the latest known start of a backend server; any goroutine may call it.
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

// awaitVersion returns once all entries have a version of the document, or soon; any goroutine may call it.
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

// receive takes a message of a session.
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

// hello begins a session: an entry's at the relay, a relay's at the leader.
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

// absorb takes up what a relay tells of its entries.
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
