package governor

import (
	"context"
	"time"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// recordEvery is how often held adapters and the list of servers are recorded in the log. Adapters that are lost with a
// leader are fetched from the store again, and lost servers stay unknown until they announce themselves again.
const recordEvery = 500 * time.Millisecond

// recorder keeps state that the log doesn't have yet. The control goroutine calls it.
type recorder struct {
	proposedAt time.Time
	proposing  bool
	unrecorded []allocator.Holding
	// recorded are the servers that the log has, by ID.
	recorded map[string]tracker.Instance
}

// reset sets the servers that the log has when a leadership begins.
func (r *recorder) reset(list []tracker.Instance) {
	r.recorded = make(map[string]tracker.Instance, len(list))
	for _, in := range list {
		r.recorded[in.Key.ID] = in
	}
}

// diff returns the new and changed servers, and the IDs of removed ones, compared with the log.
func (r *recorder) diff(current []tracker.Instance) (updated []tracker.Instance, removed []string) {
	listed := make(map[string]bool, len(current))
	for _, in := range current {
		listed[in.Key.ID] = true
		in.Residents, in.Sequence = nil, 0
		if old, ok := r.recorded[in.Key.ID]; !ok || !isSameServer(old, in) {
			updated = append(updated, in)
		}
	}
	for id := range r.recorded {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	return updated, removed
}

// record proposes the held adapters and the changed servers to the log, for the next leader.
func (h *hub) record(now time.Time) {
	r := &h.recorder
	r.unrecorded = append(r.unrecorded, h.leader.alloc.TakeNewHoldings()...)
	if r.proposing || now.Sub(r.proposedAt) < recordEvery {
		return
	}
	updated, removed := r.diff(h.leader.engines.Instances())
	if len(r.unrecorded)+len(updated)+len(removed) == 0 {
		return
	}
	held := r.unrecorded
	cmd := command{Held: held, Servers: updated, RemovedServers: removed}
	if _, err := encoder.Marshal(&cmd); err != nil {
		h.log.Error("encode held adapters and servers", err)
		h.logDropped(encoder.DropInvalid(&cmd))
		held = cmd.Held
	}
	r.proposedAt, r.proposing, r.unrecorded = now, true, nil
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		_, err := h.membership.propose(ctx, cmd)
		h.post(func(time.Time) {
			r.proposing = false
			if err != nil {
				h.log.Error("record held adapters and servers", err)
				r.unrecorded = append(held, r.unrecorded...)
				return
			}
			for _, in := range updated {
				r.recorded[in.Key.ID] = in
			}
			for _, id := range removed {
				delete(r.recorded, id)
			}
		})
	})
}
