package controller

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/registrar"
)

const (
	// tickEvery is the interval of the control goroutine's ticks.
	tickEvery = 50 * time.Millisecond
	// silentAfter is the time without a message after which a stream is closed.
	silentAfter = 4 * time.Second
	// proposeTimeout bounds the wait for a command's result.
	proposeTimeout = 5 * time.Second
	// maxEvents bounds the queue of the control goroutine.
	maxEvents = 4096
	// maxTurn bounds the queued events that run before their output is sent.
	maxTurn = 256
	// maxStalled bounds the messages held back while the leader's lease isn't confirmed.
	maxStalled = 8192
)

// hub is the control state of a replica: sessions of entries, links to other replicas and, on the leader, its decisions.
//
// All methods but post run on the control goroutine.
type hub struct {
	log     Log
	machine *machine
	limits  registrar.StoreLimits
	clock   func() time.Time
	logger  *log.Logger
	metrics *metrics
	ctx     context.Context
	spawn   func(func())
	dial    func(ctx context.Context, u *uplink, addr string)
	events  chan func(now time.Time)

	desk     *desk
	deskTerm uint64
	leading  bool
	// swept says that this leader has proposed the processes which didn't reconnect as lost.
	swept   bool
	stalled []stalledFrame
	// retiring says that the replica is shutting down and refuses new sessions and links.
	retiring bool

	live     *spreader.State
	joiner   spreader.Joiner
	sessions map[uint64]*session
	links    map[uint64]*linkPeer
	uplink   *uplink
	lastID   uint64

	// These disable mechanisms, to show that their tests can fail: the cost of used permits, the wait for an earlier
	// leader's leases, the leader's own lease, the welcome before state is sent, and the entries' acknowledgements.
	allUnused   bool
	assumeFresh bool
	ignoreLease bool
	ungated     bool
	eager       bool
}

type stalledFrame struct {
	key   peerKey
	frame up
}

// session is an entry's stream to this replica.
type session struct {
	id       uint64
	out      *queue[down]
	heard    time.Time
	welcome  *welcomeFrame
	catalog  uint64
	live     uint64
	finished bool
}

// linkPeer is another replica's stream to this leader.
type linkPeer struct {
	id    uint64
	out   *queue[linkDown]
	heard time.Time
	sent  time.Time
	live  uint64
}

// post queues f for the control goroutine; false means that ctx has ended.
func (h *hub) post(ctx context.Context, f func(now time.Time)) bool {
	select {
	case h.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// run is the loop of the control goroutine.
func (h *hub) run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		turn := func(time.Time) {}
		select {
		case <-ctx.Done():
			h.closeAll()
			return
		case turn = <-h.events:
		case <-h.machine.changed:
		case <-t.C:
			turn = func(now time.Time) { h.tick(ctx, now) }
		}
		now := h.clock()
		turn(now)
		h.drain(now)
		h.flush(ctx, now)
	}
}

// drain runs the events queued already, so that their bookings share a command and their answers a message.
func (h *hub) drain(now time.Time) {
	for range min(len(h.events), maxTurn) {
		(<-h.events)(now)
	}
}

// tick runs the hub's periodic work.
func (h *hub) tick(ctx context.Context, now time.Time) {
	h.lead(ctx, now)
	for _, s := range h.sessions {
		if now.Sub(s.heard) > silentAfter {
			h.drop(s)
		}
	}
	for _, l := range h.links {
		if now.Sub(l.heard) > silentAfter {
			h.dropLink(l)
		}
	}
	if h.inCharge(now) {
		for _, f := range h.stalled {
			h.desk.receive(now, f.key, f.frame)
		}
		h.stalled = nil
		h.desk.advance(h.machine.catalogRevision())
		h.desk.registry.Drain(h.machine.drained())
		h.desk.tick(now)
		if h.desk.settled && !h.swept {
			h.sweep(now)
		}
	}
	h.relay(ctx, now)
	if h.metrics != nil {
		h.metrics.observe(h, now)
	}
}

// sweep proposes the processes that haven't reconnected as lost; one whose joining command is in flight is still present.
func (h *hub) sweep(now time.Time) {
	h.swept = true
	gone := h.machine.absent(func(entry string, incarnation uint64) bool {
		holder := registrar.Holder(entry, incarnation)
		return h.desk.joining[holder] || h.desk.registry.Live(now, holder)
	})
	if len(gone) > 0 {
		h.desk.lose(now, gone)
	}
}

// inCharge reports whether this replica leads the current term with a valid lease at now.
func (h *hub) inCharge(now time.Time) bool {
	st := h.log.Status()
	return h.desk != nil && (st.IsLeader(now) || h.ignoreLease) && st.Term == h.deskTerm
}

// lead discards the state of a lost term and requests an era for a new one.
func (h *hub) lead(ctx context.Context, now time.Time) {
	st := h.log.Status()
	if h.desk != nil && (st.Term != h.deskTerm || st.Leader != st.ID) {
		h.logger.Warn().Uint64("era", h.desk.era).Msg("control: no longer the leader")
		h.desk.abandon()
		h.desk = nil
		h.stalled = nil
		h.closeAll()
	}
	if h.desk != nil || h.leading || !st.IsLeader(now) {
		return
	}
	h.leading = true
	cmd := newCommand(now)
	cmd.Lead = true
	h.propose(ctx, cmd, func(now time.Time, data []byte, err error) {
		h.leading = false
		h.begin(now, st.Term, data, err)
	})
}

// begin starts to lead in the era that the log assigned.
func (h *hub) begin(now time.Time, term uint64, data []byte, err error) {
	var res result
	if err == nil {
		err = encoder.Unmarshal(data, &res)
	}
	st := h.log.Status()
	if err != nil || !st.IsLeader(now) || st.Term != term || res.Era == 0 {
		return
	}
	h.closeAll()
	h.swept = false
	fresh := res.Era == 1 || h.assumeFresh
	h.deskTerm = term
	h.desk = newDesk(res.Era, now, fresh, h.limits, h.live, h.machine.leased())
	h.desk.eager, h.desk.allUnused = h.eager, h.allUnused
	h.desk.advance(h.machine.catalogRevision())
	h.logger.Info().Uint64("era", res.Era).Msg("control: leading")
}

// propose proposes a command in the background and runs done with the result on the control goroutine.
func (h *hub) propose(ctx context.Context, cmd command, done func(now time.Time, data []byte, err error)) {
	data, err := encoder.Marshal(cmd)
	if err != nil {
		done(h.clock(), nil, err)
		return
	}
	h.spawn(func() {
		pctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		var res runner.Result
		res, err := h.log.Propose(pctx, data)
		h.post(ctx, func(now time.Time) { done(now, res.Data, err) })
	})
}

// receive passes an entry's message to the leader, here or through the uplink.
func (h *hub) receive(now time.Time, key peerKey, f up) {
	switch {
	case h.inCharge(now):
		h.desk.advance(h.machine.catalogRevision())
		h.desk.receive(now, key, f)
	case h.desk != nil:
		if len(h.stalled) < maxStalled {
			h.stalled = append(h.stalled, stalledFrame{key, f})
		}
	case h.uplink != nil && key.link == 0:
		if !h.uplink.out.push(linkUp{Session: key.session, Frame: &f}) {
			h.loseUplink(h.uplink)
		}
	}
}

// flush sends and proposes the leader's output, and sends deltas to sessions and links.
func (h *hub) flush(ctx context.Context, now time.Time) {
	if h.desk != nil {
		h.desk.propose(now)
		out, proposed := h.desk.take()
		for _, f := range out {
			h.send(f)
		}
		desk := h.desk
		for _, p := range proposed {
			h.propose(ctx, p.cmd, func(now time.Time, data []byte, err error) {
				if h.desk == desk {
					h.desk.committed(now, p, data, err)
				}
			})
		}
	}
	h.spread()
}

// send passes a leader's message to a session, here or at a follower.
func (h *hub) send(f outFrame) {
	if f.to.link != 0 {
		l, ok := h.links[f.to.link]
		if ok && !l.out.push(linkDown{Session: f.to.session, Frame: &f.frame, Close: f.close}) {
			h.dropLink(l)
		}
		return
	}
	if s, ok := h.sessions[f.to.session]; ok {
		h.deliver(s, f.frame, f.close)
	}
}

func (h *hub) deliver(s *session, f down, last bool) {
	if f.Welcome != nil {
		s.welcome = f.Welcome
	}
	if last || !s.out.push(f) {
		h.drop(s)
	}
}

// spread sends each session and link its missing deltas; a session gets none before the leader's welcome.
func (h *hub) spread() {
	catalog, live := h.machine.catalogRevision(), h.live.Revision()
	catalogs, lives := make(map[uint64][]spreader.Delta), make(map[uint64][]spreader.Delta)
	for _, s := range h.sessions {
		if s.welcome == nil && h.ungated {
			s.welcome = &welcomeFrame{}
		}
		if s.welcome == nil {
			continue
		}
		if catalog >= s.welcome.Catalog && catalog > s.catalog {
			for _, d := range since(catalogs, s.catalog, h.machine.since) {
				h.deliver(s, down{Catalog: &d}, false)
			}
			s.catalog = catalog
		}
		if live >= s.welcome.Live && live > s.live {
			for _, d := range since(lives, s.live, h.live.Since) {
				h.deliver(s, down{Live: &d}, false)
			}
			s.live = live
		}
	}
	for _, l := range h.links {
		if live > l.live {
			for _, d := range since(lives, l.live, h.live.Since) {
				l.out.push(linkDown{Live: &d})
			}
			l.live = live
		}
	}
}

// since caches the deltas from a revision, which sessions and links share.
func since(known map[uint64][]spreader.Delta, from uint64, f func(uint64) []spreader.Delta) []spreader.Delta {
	d, ok := known[from]
	if !ok {
		d = f(from)
		known[from] = d
	}
	return d
}

// drop closes a session.
func (h *hub) drop(s *session) {
	if s.finished {
		return
	}
	s.finished = true
	s.out.close()
	delete(h.sessions, s.id)
	switch {
	case h.desk != nil:
		h.desk.closed(peerKey{session: s.id})
	case h.uplink != nil:
		h.uplink.out.push(linkUp{Session: s.id, Close: true})
	}
}

// dropLink closes a link and the sessions behind it.
func (h *hub) dropLink(l *linkPeer) {
	l.out.close()
	delete(h.links, l.id)
	if h.desk == nil {
		return
	}
	for key := range h.desk.peers {
		if key.link == l.id {
			h.desk.closed(key)
		}
	}
}

// closeAll closes all sessions, links and the uplink; entries reconnect elsewhere.
func (h *hub) closeAll() {
	for _, s := range h.sessions {
		h.drop(s)
	}
	for _, l := range h.links {
		h.dropLink(l)
	}
	if h.uplink != nil {
		h.loseUplink(h.uplink)
	}
}

// nextID returns an ID for a session or link.
func (h *hub) nextID() uint64 {
	h.lastID++
	return h.lastID
}
