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
	// tickInterval is the interval of the control goroutine's ticks.
	tickInterval = 50 * time.Millisecond
	// silenceTimeout bounds the time without a message on a stream.
	silenceTimeout = 4 * time.Second
	// proposeTimeout bounds the wait for a command's result.
	proposeTimeout = 5 * time.Second
	// maxQueuedEvents bounds the queue of the control goroutine.
	maxQueuedEvents = 4096
	// maxEventsPerTurn bounds the queued events that run before their output is sent.
	maxEventsPerTurn = 256
	// maxStalledMessages bounds the messages held back while the leader's lease isn't confirmed.
	maxStalledMessages = 8192
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

	leader             *leaderState
	leaderTerm         uint64
	leaderEpochPending bool
	// hasProposedAbsent is set once this leader has proposed the processes which didn't reconnect as lost.
	hasProposedAbsent bool
	stalledMessages   []stalledMessage
	// shuttingDown is set while the replica shuts down and refuses new sessions and links.
	shuttingDown bool

	live          *spreader.State
	liveAssembler spreader.DeltaAssembler
	sessions      map[uint64]*session
	links         map[uint64]*linkPeer
	uplink        *uplink
	lastID        uint64

	// These disable mechanisms, to show that their tests can fail: the cost of used permits, the wait for an earlier
	// leader's leases, the leader's own lease, the welcome before state is sent, and the entries' acknowledgements.
	countPermitsAsUnused bool
	assumeFresh          bool
	ignoreLease          bool
	skipWelcome          bool
	skipAcks             bool
}

type stalledMessage struct {
	key   peerKey
	frame entryMessage
}

// session is an entry's stream to this replica.
type session struct {
	id           uint64
	out          *queue[leaderMessage]
	lastReceived time.Time
	welcome      *welcomeFrame
	sentCatalog  uint64
	sentLive     uint64
	closed       bool
}

// linkPeer is another replica's stream to this leader.
type linkPeer struct {
	id           uint64
	out          *queue[linkDown]
	lastReceived time.Time
	lastSent     time.Time
	sentLive     uint64
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

// run is the control goroutine.
func (h *hub) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		event := func(time.Time) {}
		select {
		case <-ctx.Done():
			h.closeAll()
			return
		case event = <-h.events:
		case <-h.machine.changed:
		case <-t.C:
			event = func(now time.Time) { h.tick(ctx, now) }
		}
		now := h.clock()
		event(now)
		h.runQueued(now)
		h.flush(ctx, now)
	}
}

// runQueued runs the events queued already, so that their bookings share a command and their answers a message.
func (h *hub) runQueued(now time.Time) {
	for range min(len(h.events), maxEventsPerTurn) {
		(<-h.events)(now)
	}
}

// tick runs the hub's periodic work.
func (h *hub) tick(ctx context.Context, now time.Time) {
	h.updateLeadership(ctx, now)
	for _, s := range h.sessions {
		if now.Sub(s.lastReceived) > silenceTimeout {
			h.closeSession(s)
		}
	}
	for _, l := range h.links {
		if now.Sub(l.lastReceived) > silenceTimeout {
			h.closeLink(l)
		}
	}
	if h.isLeading(now) {
		for _, f := range h.stalledMessages {
			h.leader.receive(now, f.key, f.frame)
		}
		h.stalledMessages = nil
		h.leader.setCatalogRevision(h.machine.catalogRevision())
		h.leader.registry.SetDrains(h.machine.drainedKeys())
		h.leader.tick(now)
		if h.leader.settled && !h.hasProposedAbsent {
			h.proposeAbsent(now)
		}
	}
	h.maintainUplink(ctx, now)
	if h.metrics != nil {
		h.metrics.observe(h, now)
	}
}

// proposeAbsent proposes the processes that haven't reconnected as lost; one whose joining command is in flight is still present.
func (h *hub) proposeAbsent(now time.Time) {
	h.hasProposedAbsent = true
	absent := h.machine.absentProcesses(func(entry string, incarnation uint64) bool {
		holder := registrar.Holder(entry, incarnation)
		return h.leader.joiningHolders[holder] || h.leader.registry.Live(now, holder)
	})
	if len(absent) > 0 {
		h.leader.proposeLost(now, absent)
	}
}

// isLeading reports whether this replica leads with a valid lease at now.
func (h *hub) isLeading(now time.Time) bool {
	st := h.log.Status()
	return h.leader != nil && (st.IsLeader(now) || h.ignoreLease) && st.Term == h.leaderTerm
}

// updateLeadership starts or ends this replica's leadership.
func (h *hub) updateLeadership(ctx context.Context, now time.Time) {
	st := h.log.Status()
	if h.leader != nil && (st.Term != h.leaderTerm || st.Leader != st.ID) {
		h.logger.Warn().Uint64("era", h.leader.leaderEpoch).Msg("control: no longer the leader")
		h.leader.failWaits()
		h.leader = nil
		h.stalledMessages = nil
		h.closeAll()
	}
	if h.leader != nil || h.leaderEpochPending || !st.IsLeader(now) {
		return
	}
	h.leaderEpochPending = true
	cmd := newCommand(now)
	cmd.NewLeaderEpoch = true
	h.propose(ctx, cmd, func(now time.Time, data []byte, err error) {
		h.leaderEpochPending = false
		h.startLeading(now, st.Term, data, err)
	})
}

// startLeading starts to lead in the leader epoch that the log assigned.
func (h *hub) startLeading(now time.Time, term uint64, data []byte, err error) {
	var res result
	if err == nil {
		err = encoder.Unmarshal(data, &res)
	}
	st := h.log.Status()
	if err != nil || !st.IsLeader(now) || st.Term != term || res.LeaderEpoch == 0 {
		return
	}
	h.closeAll()
	h.hasProposedAbsent = false
	fresh := res.LeaderEpoch == 1 || h.assumeFresh
	h.leaderTerm = term
	h.leader = newLeaderState(res.LeaderEpoch, now, fresh, h.limits, h.live, h.machine.leasedProcesses())
	h.leader.skipAcks, h.leader.countPermitsAsUnused = h.skipAcks, h.countPermitsAsUnused
	h.leader.setCatalogRevision(h.machine.catalogRevision())
	h.logger.Info().Uint64("era", res.LeaderEpoch).Msg("control: leading")
}

// propose proposes a command in the background; done runs on the control goroutine.
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
func (h *hub) receive(now time.Time, key peerKey, f entryMessage) {
	switch {
	case h.isLeading(now):
		h.leader.setCatalogRevision(h.machine.catalogRevision())
		h.leader.receive(now, key, f)
	case h.leader != nil:
		if len(h.stalledMessages) < maxStalledMessages {
			h.stalledMessages = append(h.stalledMessages, stalledMessage{key, f})
		}
	case h.uplink != nil && key.link == 0:
		if !h.uplink.out.push(linkUp{Session: key.session, Frame: &f}) {
			h.closeUplink(h.uplink)
		}
	}
}

// flush sends and proposes the leader's output, and sends deltas to sessions and links.
func (h *hub) flush(ctx context.Context, now time.Time) {
	if h.leader != nil {
		h.leader.proposeBookings(now)
		messages, proposals := h.leader.takeOutput()
		for _, f := range messages {
			h.send(f)
		}
		leader := h.leader
		for _, p := range proposals {
			h.propose(ctx, p.cmd, func(now time.Time, data []byte, err error) {
				if h.leader == leader {
					h.leader.handleProposalResult(now, p, data, err)
				}
			})
		}
	}
	h.sendDeltas()
}

// send passes a leader's message to a session, here or at a follower.
func (h *hub) send(f outMessage) {
	if f.to.link != 0 {
		l, ok := h.links[f.to.link]
		if ok && !l.out.push(linkDown{Session: f.to.session, Frame: &f.frame, Close: f.close}) {
			h.closeLink(l)
		}
		return
	}
	if s, ok := h.sessions[f.to.session]; ok {
		h.deliver(s, f.frame, f.close)
	}
}

func (h *hub) deliver(s *session, f leaderMessage, last bool) {
	if f.Welcome != nil {
		s.welcome = f.Welcome
	}
	if last || !s.out.push(f) {
		h.closeSession(s)
	}
}

// sendDeltas sends each session and link its missing deltas; a session gets none before the leader's welcome.
func (h *hub) sendDeltas() {
	catalog, live := h.machine.catalogRevision(), h.live.Revision()
	catalogDeltas, liveDeltas := make(map[uint64][]spreader.Delta), make(map[uint64][]spreader.Delta)
	for _, s := range h.sessions {
		if s.welcome == nil && h.skipWelcome {
			s.welcome = &welcomeFrame{}
		}
		if s.welcome == nil {
			continue
		}
		if catalog >= s.welcome.Catalog && catalog > s.sentCatalog {
			for _, d := range cachedDeltas(catalogDeltas, s.sentCatalog, h.machine.catalogDeltasSince) {
				h.deliver(s, leaderMessage{Catalog: &d}, false)
			}
			s.sentCatalog = catalog
		}
		if live >= s.welcome.Live && live > s.sentLive {
			for _, d := range cachedDeltas(liveDeltas, s.sentLive, h.live.Since) {
				h.deliver(s, leaderMessage{Live: &d}, false)
			}
			s.sentLive = live
		}
	}
	for _, l := range h.links {
		if live > l.sentLive {
			for _, d := range cachedDeltas(liveDeltas, l.sentLive, h.live.Since) {
				l.out.push(linkDown{Live: &d})
			}
			l.sentLive = live
		}
	}
}

// cachedDeltas caches the deltas from a revision, which sessions and links share.
func cachedDeltas(cache map[uint64][]spreader.Delta, from uint64, compute func(uint64) []spreader.Delta) []spreader.Delta {
	d, ok := cache[from]
	if !ok {
		d = compute(from)
		cache[from] = d
	}
	return d
}

// closeSession closes a session.
func (h *hub) closeSession(s *session) {
	if s.closed {
		return
	}
	s.closed = true
	s.out.close()
	delete(h.sessions, s.id)
	switch {
	case h.leader != nil:
		h.leader.removeSession(peerKey{session: s.id})
	case h.uplink != nil:
		h.uplink.out.push(linkUp{Session: s.id, Close: true})
	}
}

// closeLink closes a link and the sessions behind it.
func (h *hub) closeLink(l *linkPeer) {
	l.out.close()
	delete(h.links, l.id)
	if h.leader == nil {
		return
	}
	for key := range h.leader.peers {
		if key.link == l.id {
			h.leader.removeSession(key)
		}
	}
}

// closeAll closes all sessions, links and the uplink; entries reconnect elsewhere.
func (h *hub) closeAll() {
	for _, s := range h.sessions {
		h.closeSession(s)
	}
	for _, l := range h.links {
		h.closeLink(l)
	}
	if h.uplink != nil {
		h.closeUplink(h.uplink)
	}
}

// nextID returns an ID for a session or link.
func (h *hub) nextID() uint64 {
	h.lastID++
	return h.lastID
}
