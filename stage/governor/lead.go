package governor

import (
	"context"
	"slices"
	"strings"
	"time"
)

// checkLead starts or ends this replica's leadership according to the log.
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
				h.log.Error("begin an epoch", err)
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
	h.desk.listed = h.heard.Add(lastOrders)
	h.applied = state.Applied
	h.told = state
	h.recorder, h.loads = recorder{}, newLoads()
	h.joiner.reset()
	h.log.Info("leads", h.cfg.Node)
	h.desk.claim(now, h.relay.view.servers())
	h.desk.claim(now, state.Servers)
	h.recorder.know(state.Servers)
	h.listed = h.replicas()
	d := h.whole()
	h.own = &session{hello: &Hello{Node: h.cfg.Node, Zone: h.cfg.Zone}}
	h.peers[h.own] = true
	h.relay.connect(func(up Up) bool {
		h.absorb(time.Now(), h.own, up)
		return true
	})
	h.relay.take(&d)
}

// whole returns the full state for a relay.
func (h *hub) whole() Down {
	d := h.desk.whole(h.seat.state(), time.Now())
	d.Replicas, d.Entries = h.listed, h.entries
	return d
}

// replicas returns the members of the group and other known replicas, with their data centres where known.
func (h *hub) replicas() []Peer {
	zones := make(map[uint64]string, len(h.peers))
	for s := range h.peers {
		if s.isPeer() {
			zones[s.hello.Replica] = s.hello.Zone
		}
	}
	var out []Peer
	if r := h.seat.log(); r != nil {
		st := r.Status()
		zones[st.ID] = h.cfg.Zone
		for _, m := range st.Members {
			out = append(out, Peer{Addr: m.Addr, Zone: zones[m.ID]})
		}
	}
	for _, addr := range h.seat.addresses() {
		if !slices.ContainsFunc(out, func(p Peer) bool { return p.Addr == addr }) {
			out = append(out, Peer{Addr: addr})
		}
	}
	slices.SortFunc(out, func(x, y Peer) int { return strings.Compare(x.Addr, y.Addr) })
	return out
}

// tellReplicas broadcasts the list of replicas if it changed.
func (h *hub) tellReplicas() {
	if now := h.replicas(); !slices.Equal(now, h.listed) {
		h.listed = now
		h.broadcast(Down{Replicas: now})
	}
}

func (h *hub) stepDown() {
	if h.desk == nil {
		return
	}
	h.log.Info("leads no more", h.cfg.Node)
	h.desk, h.heard = nil, time.Now()
	for s := range h.peers {
		h.drop(s)
	}
	h.own = nil
	h.relay.disconnect(time.Now())
	for id, w := range h.workers {
		w.close()
		delete(h.workers, id)
	}
	for _, w := range h.waits {
		close(w.done)
	}
	h.waits = nil
}

// retire refuses new sessions and closes the open ones before a shutdown.
func (h *hub) retire() {
	done := make(chan struct{})
	if h.post(func(time.Time) {
		h.retiring = true
		h.stepDown()
		h.relay.dropAll()
		close(done)
	}) {
		select {
		case <-done:
		case <-h.ctx.Done():
		}
	}
}
