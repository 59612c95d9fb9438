package governor

import (
	"context"
	"time"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// recordEvery is how often what engines held, and which servers there are, is recorded in the log: what is lost with a
// leader is fetched from the store once more, and servers are heard of only when they announce themselves again.
const recordEvery = 500 * time.Millisecond

// recorder keeps what the log doesn't have yet. The control goroutine calls it.
type recorder struct {
	at   time.Time
	busy bool
	held []allocator.Holding
	// servers are those that the log has.
	servers map[string]tracker.Instance
}

// know takes up what the log has at the beginning of a leadership.
func (r *recorder) know(list []tracker.Instance) {
	r.servers = make(map[string]tracker.Instance, len(list))
	for _, in := range list {
		r.servers[in.Key.ID] = in
	}
}

// compare returns the servers that came or changed, and those that went, since the log was told.
func (r *recorder) compare(now []tracker.Instance) (came []tracker.Instance, gone []string) {
	listed := make(map[string]bool, len(now))
	for _, in := range now {
		listed[in.Key.ID] = true
		in.Residents, in.Sequence = nil, 0
		if old, ok := r.servers[in.Key.ID]; !ok || !isSameServer(old, in) {
			came = append(came, in)
		}
	}
	for id := range r.servers {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	return came, gone
}

// record has the log remember what engines held and which servers there are, so that the next leader knows it too.
func (h *hub) record(now time.Time) {
	r := &h.recorder
	r.held = append(r.held, h.desk.placing.TakeHeld()...)
	if r.busy || now.Sub(r.at) < recordEvery {
		return
	}
	came, gone := r.compare(h.desk.engines.Instances())
	if len(r.held)+len(came)+len(gone) == 0 {
		return
	}
	sent := r.held
	r.at, r.busy, r.held = now, true, nil
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		_, err := h.seat.propose(ctx, command{Held: sent, Servers: came, Gone: gone})
		h.post(func(time.Time) {
			r.busy = false
			if err != nil {
				h.log.Error("record what engines held", err)
				r.held = append(sent, r.held...)
				return
			}
			for _, in := range came {
				r.servers[in.Key.ID] = in
			}
			for _, id := range gone {
				delete(r.servers, id)
			}
		})
	})
}
