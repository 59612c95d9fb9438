package governor

import (
	"context"
	"time"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// recordEvery is how often held adapters and the list of servers are recorded in the log. Adapters that are lost with a
// leader are fetched from the store again, and lost servers stay unknown until they announce themselves again.
const recordEvery = 500 * time.Millisecond

// recorder keeps the held adapters and servers that the log doesn't have yet. Only the control goroutine calls it.
type recorder struct {
	at   time.Time
	busy bool
	held []allocator.Holding
	// servers are the servers that the log has, by ID.
	servers map[string]tracker.Instance
}

// know sets the servers that the log has when a leadership begins.
func (r *recorder) know(list []tracker.Instance) {
	r.servers = make(map[string]tracker.Instance, len(list))
	for _, in := range list {
		r.servers[in.Key.ID] = in
	}
}

// compare returns the new and changed servers, and the IDs of removed ones, compared with the log.
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

// record proposes the held adapters and the changed servers to the log, for the next leader.
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
				h.log.Error("record held adapters and servers", err)
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
