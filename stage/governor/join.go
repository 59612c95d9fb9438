package governor

import (
	"context"
	"slices"
	"time"

	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

const (
	// changeTimeout bounds a membership change, including a new replica's catch-up.
	changeTimeout = 20 * time.Second
	// replaceSilentAfter is how long a member must be silent before a joining replica replaces it.
	replaceSilentAfter = 6 * time.Second
	// removeSilentAfter is how long a member must be silent before it is removed from a group above targetGroupSize.
	removeSilentAfter = 12 * time.Second
	// targetGroupSize is the number of members that tolerates the loss of two disks.
	targetGroupSize = 5
)

// joiner adds and removes replicas for the leader, one change at a time. Other goroutines may call only assignID.
type joiner struct {
	hub *hub
	// leadership counts leaderships, so that a change of an earlier one doesn't clear changing.
	leadership int
	// assigned are assigned IDs of replicas that aren't members yet, by address.
	assigned map[string]uint64
	// lastReceived is the time of each member's last message, by ID.
	lastReceived map[uint64]time.Time
	changing     bool
	queue        []runner.Member
}

func newJoiner(h *hub) *joiner {
	return &joiner{hub: h, assigned: make(map[string]uint64), lastReceived: make(map[uint64]time.Time)}
}

// reset clears the state of an earlier leadership.
func (j *joiner) reset() {
	j.leadership++
	clear(j.assigned)
	clear(j.lastReceived)
	j.changing, j.queue = false, nil
}

// assignID assigns an ID to a replica, or redirects it; it runs outside the control goroutine.
func (j *joiner) assignID(ctx context.Context, req joinRequest) (joinReply, error) {
	r := j.hub.membership.log()
	if r == nil {
		return joinReply{}, ErrNoLeader
	}
	st := r.Status()
	if !st.IsLeader(time.Now()) {
		for _, m := range st.Members {
			if m.ID == st.Leader {
				return joinReply{Redirect: m.Addr}, nil
			}
		}
		return joinReply{}, ErrNoLeader
	}
	if slices.ContainsFunc(st.Members, func(m runner.Member) bool { return m.ID == req.ID && m.Addr == req.Addr }) {
		return joinReply{ID: req.ID}, nil
	}
	known := make(chan uint64, 1)
	if !j.hub.post(func(time.Time) { known <- j.assigned[req.Addr] }) {
		return joinReply{}, ErrNoLeader
	}
	var id uint64
	select {
	case id = <-known:
	case <-ctx.Done():
		return joinReply{}, ctx.Err()
	}
	if id == 0 || req.ID != 0 && req.ID != id {
		res, err := j.hub.membership.propose(ctx, command{AllocateID: true})
		if err != nil {
			return joinReply{}, err
		}
		id = res.Number
	}
	j.hub.post(func(now time.Time) { j.queueAdd(now, runner.Member{ID: id, Addr: req.Addr}) })
	return joinReply{ID: id}, nil
}

// queueAdd queues the addition of a replica.
func (j *joiner) queueAdd(now time.Time, m runner.Member) {
	if old := j.assigned[m.Addr]; old > m.ID {
		return
	}
	j.assigned[m.Addr] = m.ID
	j.queue = slices.DeleteFunc(j.queue, func(o runner.Member) bool { return o.Addr == m.Addr })
	j.queue = append(j.queue, m)
	j.tick(now)
}

// tick starts the next membership change.
func (j *joiner) tick(now time.Time) {
	r := j.hub.membership.log()
	if j.changing || r == nil || j.hub.leader == nil {
		return
	}
	st := r.Status()
	for _, m := range st.Members {
		if _, ok := j.lastReceived[m.ID]; !ok || m.ID == st.ID {
			j.lastReceived[m.ID] = now
		}
	}
	if len(j.queue) > 0 {
		next := j.queue[0]
		j.queue = j.queue[1:]
		j.startChange(func(ctx context.Context) { j.add(ctx, r, next, j.membersToReplace(now, st, next)) })
		return
	}
	if id := j.longestSilent(now, st, removeSilentAfter); id != 0 && len(st.Members) > targetGroupSize {
		j.startChange(func(ctx context.Context) { j.remove(ctx, r, id) })
	}
}

func (j *joiner) startChange(f func(ctx context.Context)) {
	j.changing = true
	leadership := j.leadership
	j.hub.spawn(func() {
		ctx, cancel := context.WithTimeout(j.hub.ctx, changeTimeout)
		defer cancel()
		f(ctx)
		j.hub.post(func(time.Time) { j.changing = j.changing && j.leadership != leadership })
	})
}

// membersToReplace returns the members to remove before next is added: those at its address, whose disk is lost, or
// else a silent one if the group is full.
func (j *joiner) membersToReplace(now time.Time, st runner.Status, next runner.Member) []uint64 {
	var out []uint64
	for _, m := range st.Members {
		if m.Addr == next.Addr && m.ID != next.ID {
			out = append(out, m.ID)
		}
	}
	if len(out) == 0 && len(st.Members) >= targetGroupSize {
		if id := j.longestSilent(now, st, replaceSilentAfter); id != 0 {
			out = append(out, id)
		}
	}
	if len(out) == 0 && len(st.Members) >= replicator.MaxMembers {
		if id := j.longestSilent(now, st, replaceSilentAfter/2); id != 0 {
			out = append(out, id)
		}
	}
	return out
}

// longestSilent returns the member silent for longest, at least d, or 0 if no majority of the group without it is alive.
func (j *joiner) longestSilent(now time.Time, st runner.Status, d time.Duration) uint64 {
	var longest uint64
	alive := 0
	for _, m := range st.Members {
		silence := now.Sub(j.lastReceived[m.ID])
		if silence < d {
			alive++
		} else if longest == 0 || j.lastReceived[m.ID].Before(j.lastReceived[longest]) {
			longest = m.ID
		}
	}
	if alive <= (len(st.Members)-1)/2 {
		return 0
	}
	return longest
}

func (j *joiner) add(ctx context.Context, r *runner.Runner, m runner.Member, replaced []uint64) {
	for _, id := range replaced {
		j.remove(ctx, r, id)
	}
	if err := r.AddMember(ctx, m); err != nil {
		j.hub.log.Error("add replica "+m.Addr, err)
	} else {
		j.hub.log.Info("replica was added", m.Addr)
	}
	j.hub.post(func(time.Time) { delete(j.assigned, m.Addr) })
}

func (j *joiner) remove(ctx context.Context, r *runner.Runner, id uint64) {
	if err := r.RemoveMember(ctx, id); err != nil {
		j.hub.log.Error("remove a replica", err)
		return
	}
	j.hub.log.Info("replica was removed", "")
}
