package governor

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	// tickEvery is how often time passes for the control goroutine.
	tickEvery = 50 * time.Millisecond
	// newsEvery is the shortest time between two messages about engines to all entries, and newsPerSession what each
	// session adds to it, so that a large deployment gets fewer and larger messages.
	newsEvery      = 8 * time.Millisecond
	newsPerSession = 400 * time.Microsecond
	// silentSession is when a session without a message is closed; entries send one at least every beatEvery.
	silentSession = 3 * time.Second
	// placementEvery bounds the lines about adapters that are waited for.
	placementEvery = 500 * time.Millisecond
	// recordEvery is how often what engines held is recorded in the log: what is lost with a leader is fetched from the
	// store once more.
	recordEvery = 500 * time.Millisecond
	maxEvents   = 4096
	maxTurn     = 256
	maxQueued   = 4096
	maxMessage  = 8 << 20
	pathSession = "/redwingstage.governor/Session"
)

// session is an entry's or a replica's stream at the leader.
type session struct {
	hello   *Hello
	out     chan Down
	heard   time.Time
	version uint64
	closed  bool
}

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
	told     *durable
	table    *matcher.Table
	sessions map[*session]bool
	entries  int
	workers  map[string]*worker
	joiner   *joiner
	newsAt   time.Time
	toldAt   time.Time
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
		sessions: make(map[*session]bool), workers: make(map[string]*worker), loads: newLoads(),
	}
	h.joiner = newJoiner(h)
	h.metrics = newMetrics()
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
		now := time.Now()
		h.refresh()
		h.plan(now)
		if wait, due := h.spread(now); due {
			news.Reset(wait)
		}
	}
}

// tick lets time pass.
func (h *hub) tick(now time.Time) {
	h.checkLead(now)
	h.metrics.sessions.Set(float64(len(h.sessions)))
	h.metrics.leads.Set(0)
	if h.desk == nil {
		return
	}
	h.metrics.leads.Set(1)
	for s := range h.sessions {
		if now.Sub(s.heard) > silentSession {
			h.drop(s)
		}
	}
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

// recorder keeps what engines held until the log has it.
type recorder struct {
	at   time.Time
	busy bool
	open []allocator.Holding
}

// record has the log remember what engines held, so that the next leader knows it too.
func (h *hub) record(now time.Time) {
	r := &h.recorder
	r.open = append(r.open, h.desk.placing.TakeHeld()...)
	if r.busy || len(r.open) == 0 || now.Sub(r.at) < recordEvery {
		return
	}
	sent := r.open
	r.at, r.busy, r.open = now, true, nil
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		_, err := h.seat.propose(ctx, command{Held: sent})
		h.post(func(time.Time) {
			r.busy = false
			if err != nil {
				h.log.Error("record what engines held", err)
				r.open = append(sent, r.open...)
			}
		})
	})
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

// checkLead begins and ends this replica's leadership.
func (h *hub) checkLead(now time.Time) {
	r := h.seat.log()
	leads := false
	var term uint64
	if r != nil && !h.retiring {
		st := r.Status()
		leads, term = st.IsLeader(now), st.Term
	}
	if h.desk != nil && (!leads || term != h.term) {
		h.stepDown()
	}
	if !leads || h.desk != nil || h.starting {
		return
	}
	h.starting = true
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		res, err := h.seat.propose(ctx, command{Era: true})
		h.post(func(now time.Time) {
			h.starting = false
			if err != nil {
				h.log.Error("begin an era", err)
				return
			}
			h.begin(now, term, res.Number)
		})
	})
}

func (h *hub) begin(now time.Time, term, era uint64) {
	state := h.seat.state()
	h.term = term
	h.table = h.decode(state.Doc)
	h.desk = newDesk(era, now, state, h.room)
	h.applied = state.Applied
	h.told = state
	h.recorder, h.loads = recorder{}, newLoads()
	h.joiner.reset()
	h.log.Info("leads", h.cfg.Node)
}

func (h *hub) stepDown() {
	if h.desk == nil {
		return
	}
	h.log.Info("leads no more", h.cfg.Node)
	h.desk = nil
	for s := range h.sessions {
		h.drop(s)
	}
	for id, w := range h.workers {
		w.close()
		delete(h.workers, id)
	}
	for _, w := range h.waits {
		close(w.done)
	}
	h.waits = nil
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
	down := Down{}
	if !isSame(h.told.Versions, state.Versions) {
		down.Versions = state.Versions
	}
	if !isSame(h.told.Left, state.Left) {
		down.Left = state.Left
	}
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

// isSame reports whether two lists of published states are the same; published lists are never changed.
func isSame[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (h *hub) broadcast(d Down) {
	for s := range h.sessions {
		if s.hello != nil && s.hello.Replica == 0 {
			h.send(s, d)
		}
	}
}

// send queues a message; a session that doesn't read is closed, and its entry connects again.
func (h *hub) send(s *session, d Down) {
	select {
	case s.out <- d:
	default:
		h.drop(s)
	}
}

func (h *hub) drop(s *session) {
	if s.closed {
		return
	}
	s.closed = true
	delete(h.sessions, s)
	close(s.out)
	h.loads.drop(s)
	if h.desk != nil && s.hello != nil && s.hello.Replica == 0 {
		h.desk.placing.Forget(s.hello.Node)
	}
	h.count()
}

// count tells all entries how many there are.
func (h *hub) count() {
	n := 0
	for s := range h.sessions {
		if s.hello != nil && s.hello.Replica == 0 {
			n++
		}
	}
	if n != h.entries {
		h.entries = n
		h.broadcast(Down{Entries: n})
	}
}

// spread sends what changed of engines; it returns when the rest is due.
func (h *hub) spread(now time.Time) (time.Duration, bool) {
	if h.desk == nil || len(h.desk.moves)+len(h.desk.changed)+len(h.desk.exact)+len(h.loads.changed) == 0 {
		return 0, false
	}
	if wait := h.newsAt.Sub(now); wait > 0 && len(h.desk.changed) == 0 {
		return wait, true
	}
	d, ok := h.desk.news()
	d.Loads = h.loads.take(now)
	if !ok && len(d.Loads) == 0 {
		return 0, false
	}
	h.broadcast(d)
	h.newsAt = now.Add(newsEvery + time.Duration(len(h.sessions))*newsPerSession)
	return 0, false
}

// plan has orders carried out that follow from what is wanted.
func (h *hub) plan(now time.Time) {
	if h.desk == nil {
		return
	}
	for _, id := range h.desk.placing.Unsynced() {
		h.worker(id).sync()
	}
	for _, o := range h.desk.placing.Plan(now) {
		h.worker(o.Engine).add(o)
	}
	h.desk.sync()
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
		for s := range h.sessions {
			if s.hello != nil && s.hello.Replica == 0 && s.version < w.version {
				return false
			}
		}
		close(w.done)
		return true
	})
}

// retire refuses new sessions and ends the open ones, for a shutdown.
func (h *hub) retire() {
	done := make(chan struct{})
	if h.post(func(time.Time) {
		h.retiring = true
		h.stepDown()
		close(done)
	}) {
		select {
		case <-done:
		case <-h.ctx.Done():
		}
	}
}

// receive takes a message of a session.
func (h *hub) receive(now time.Time, s *session, up Up) {
	if s.closed || h.desk == nil {
		return
	}
	s.heard = now
	if up.Hello != nil {
		h.hello(now, s, *up.Hello)
	}
	if s.hello == nil {
		return
	}
	if s.hello.Replica != 0 {
		h.joiner.heard[s.hello.Replica] = now
	}
	if up.Version > s.version {
		s.version = up.Version
		h.finishWaits()
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
		h.desk.placing.Want(now, allocator.Want{Service: w.Service, Adapter: w.Adapter, Zone: s.hello.Zone, Copy: w.Copy, Due: now.Add(w.Left), Except: w.Except})
	}
	if up.Beat > 0 {
		h.send(s, Down{Beat: up.Beat})
	}
}

func (h *hub) hello(now time.Time, s *session, hello Hello) {
	s.hello = &hello
	for other := range h.sessions {
		if other != s && other.hello != nil && other.hello.Node == hello.Node {
			h.drop(other)
		}
	}
	if hello.Replica != 0 {
		h.send(s, Down{Welcome: &Welcome{Era: h.desk.era}, Replicas: h.seat.addresses()})
		return
	}
	if now.Sub(h.desk.begun) < settleTime {
		h.desk.claim(now, hello.Known)
	}
	d := h.desk.whole(h.seat.state())
	d.Replicas = h.seat.addresses()
	h.send(s, d)
	h.count()
	h.send(s, Down{Entries: h.entries})
}

// mount adds the handlers for entries and other replicas.
func (g *Governor) mount(mux *http.ServeMux) {
	opts := []connect.HandlerOption{encoder.Option(), connect.WithReadMaxBytes(maxMessage)}
	mux.Handle(metricsPath, g.hub.metrics.handler())
	mux.Handle(pathSession, connect.NewBidiStreamHandler(pathSession, g.serveSession, opts...))
	mux.Handle(pathJoin, connect.NewUnaryHandler(pathJoin, func(ctx context.Context, r *connect.Request[joinAsk]) (*connect.Response[joinReply], error) {
		reply, err := g.hub.joiner.ask(ctx, *r.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&reply), nil
	}, opts...))
}

// serveSession serves a session until either side ends it.
func (g *Governor) serveSession(ctx context.Context, stream *connect.BidiStream[Up, Down]) error {
	s := &session{out: make(chan Down, maxQueued), heard: time.Now()}
	opened := make(chan bool, 1)
	g.hub.post(func(time.Time) {
		if g.hub.desk != nil {
			g.hub.sessions[s] = true
		}
		opened <- g.hub.desk != nil
	})
	select {
	case ok := <-opened:
		if !ok {
			return stream.Send(&Down{Redirect: g.leaderAddr()})
		}
	case <-g.ctx.Done():
		return nil
	}
	defer g.hub.post(func(time.Time) { g.hub.drop(s) })
	g.wg.Go(func() {
		defer g.hub.post(func(time.Time) { g.hub.drop(s) })
		for {
			up, err := stream.Receive()
			if err != nil {
				return
			}
			if !g.hub.post(func(now time.Time) { g.hub.receive(now, s, *up) }) {
				return
			}
		}
	})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.ctx.Done():
			return nil
		case d, ok := <-s.out:
			if !ok {
				return nil
			}
			if err := stream.Send(&d); err != nil {
				return err
			}
		}
	}
}

// leaderAddr returns the leader's address, if another replica leads.
func (g *Governor) leaderAddr() string {
	r := g.seat.log()
	if r == nil {
		return ""
	}
	st := r.Status()
	for _, m := range st.Members {
		if m.ID == st.Leader && m.ID != st.ID {
			return m.Addr
		}
	}
	return ""
}
