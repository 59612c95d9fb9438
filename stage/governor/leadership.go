package governor

import (
	"context"
	"slices"
	"strings"
	"time"
)

const (
	// shutdownTimeout bounds the wait for the control goroutine at a shutdown.
	shutdownTimeout = electionTimeout
	// epochTimeout bounds the commit that begins a leader epoch; it ends with the leadership, and slow disks take seconds.
	epochTimeout = 15 * time.Second
)

// updateLeadership starts or ends this replica's leadership.
func (h *hub) updateLeadership(now time.Time) {
	r := h.membership.log()
	leading := false
	var term uint64
	if r != nil && !h.shuttingDown {
		st := r.Status()
		leading, term = st.IsLeader(now), st.Term
	}
	if h.leader != nil && (!leading || term != h.term) {
		h.stepDown()
	}
	if !leading || h.leader != nil || h.leaderEpochPending {
		return
	}
	h.leaderEpochPending = true
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, epochTimeout)
		defer cancel()
		res, err := h.membership.propose(ctx, command{BeginLeaderEpoch: true})
		h.post(func(now time.Time) {
			h.leaderEpochPending = false
			if err != nil {
				h.log.Error("begin a leader epoch", err)
				return
			}
			h.startLeading(now, term, res.Number)
		})
	})
}

func (h *hub) startLeading(now time.Time, term, leaderEpoch uint64) {
	state := h.membership.state()
	h.term = term
	h.table = h.decode(state.Doc)
	h.leader = newLeaderState(leaderEpoch, now, state, h.capacity)
	h.leader.quotas = newLeaderQuotas(now, h.cfg.Quota, h.table, h.relay.view.quotas.Entries)
	h.leader.reportsCompleteAt = h.leaderSeenAt.Add(lateOrderTime)
	h.applied = state.Applied
	h.sentState = state
	lacking := h.lackingSoftwares()
	h.recorder, h.loads, h.streams = recorder{}, newLoads(), newLeaderStreams(slices.Concat(state.Softwares, lacking))
	h.recordLacking(lacking)
	h.joiner.reset()
	h.log.Info("leads", h.cfg.Node)
	h.leader.adoptServers(now, h.relay.view.servers())
	h.leader.adoptServers(now, state.Servers)
	h.recorder.reset(state.Servers)
	h.leader.adoptSpeeds(h.relay.view.sortedSpeeds())
	h.sentReplicas = h.replicas()
	d := h.fullState()
	h.ownSession = &session{hello: &Hello{Node: h.cfg.Node, Zone: h.cfg.Zone}}
	h.relaySessions[h.ownSession] = true
	h.relay.setUpstream(func(up UpMessage) bool {
		h.applyReport(time.Now(), h.ownSession, up)
		return true
	})
	h.relay.connectedAt = now
	h.relay.confirm(now)
	h.relay.apply(&d)
	h.relay.repeatResponses()
}

// fullState returns the full state for a relay.
func (h *hub) fullState() DownMessage {
	d := h.leader.fullState(h.membership.state(), time.Now())
	d.Replicas, d.Entries = h.sentReplicas, h.entries
	d.Quotas = h.quotaAnnouncement()
	if list := h.relay.view.tunnels; len(list) > 0 {
		d.Tunnels = &Tunnels{Entries: list}
	}
	return d
}

// replicas returns all known replicas, with their data centres where known.
func (h *hub) replicas() []Peer {
	zones := make(map[uint64]string, len(h.relaySessions))
	for s := range h.relaySessions {
		if s.isRelay() {
			zones[s.hello.Replica] = s.hello.Zone
		}
	}
	var out []Peer
	if r := h.membership.log(); r != nil {
		st := r.Status()
		zones[st.ID] = h.cfg.Zone
		for _, m := range st.Members {
			out = append(out, Peer{Addr: m.Addr, Zone: zones[m.ID]})
		}
	}
	for _, addr := range h.membership.addresses() {
		if !slices.ContainsFunc(out, func(p Peer) bool { return p.Addr == addr }) {
			out = append(out, Peer{Addr: addr})
		}
	}
	slices.SortFunc(out, func(x, y Peer) int { return strings.Compare(x.Addr, y.Addr) })
	return out
}

// broadcastReplicas broadcasts the list of replicas if it changed.
func (h *hub) broadcastReplicas() {
	if now := h.replicas(); !slices.Equal(now, h.sentReplicas) {
		h.sentReplicas = now
		h.broadcast(DownMessage{Replicas: now})
	}
}

func (h *hub) stepDown() {
	if h.leader == nil {
		return
	}
	h.log.Info("leads no more", h.cfg.Node)
	h.leader, h.leaderSeenAt = nil, time.Now()
	h.metrics.resetServers()
	for s := range h.relaySessions {
		h.closeSession(s, endStepDown)
	}
	h.ownSession = nil
	h.relay.clearUpstream(time.Now())
	for id, w := range h.workers {
		w.close()
		delete(h.workers, id)
	}
	for _, w := range h.versionWaits {
		close(w.done)
	}
	h.versionWaits = nil
}

// shutDown refuses new sessions and closes the open ones before a shutdown. It waits shutdownTimeout at most: the lead and the
// vote are given up in any case.
func (h *hub) shutDown() {
	done := make(chan struct{})
	if h.post(func(time.Time) {
		h.shuttingDown = true
		h.stepDown()
		h.relay.closeSessions(endShutdown)
		close(done)
	}) {
		t := time.NewTimer(shutdownTimeout)
		defer t.Stop()
		select {
		case <-done:
		case <-t.C:
			h.log.Warn("the control goroutine is blocked, shutting down without it", "")
		case <-h.ctx.Done():
		}
	}
}
