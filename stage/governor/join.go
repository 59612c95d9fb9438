package governor

import (
	"context"
	"slices"
	"time"

	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

const (
	// addTimeout bounds a change of the membership, in which a new replica catches up with the log.
	addTimeout = 20 * time.Second
	// silentMember is how long a member must be silent before a full group replaces it by a replica that asks to join.
	silentMember = 6 * time.Second
	// lostMember is how long a member must be silent before it is removed from a group larger than groupSize.
	lostMember = 12 * time.Second
	// groupSize is the number of members that tolerates the loss of two disks.
	groupSize = 5
)

// joiner adds and removes replicas for the leader, one change at a time. Only the control goroutine calls it, except ask.
type joiner struct {
	hub *hub
	// era counts this replica's leaderships, so that the end of a change from an earlier one doesn't clear busy.
	era int
	// offered are assigned IDs of replicas that aren't members yet, by address.
	offered map[string]uint64
	// heard is when each member's session last received a message, by replica ID.
	heard map[uint64]time.Time
	busy  bool
	queue []runner.Member
}

func newJoiner(h *hub) *joiner {
	return &joiner{hub: h, offered: make(map[string]uint64), heard: make(map[uint64]time.Time)}
}

// reset clears the state of an earlier leadership.
func (j *joiner) reset() {
	j.era++
	clear(j.offered)
	clear(j.heard)
	j.busy, j.queue = false, nil
}

// ask assigns an ID to a replica that joins, or redirects it to the leader; it runs outside the control goroutine.
func (j *joiner) ask(ctx context.Context, ask joinAsk) (joinReply, error) {
	r := j.hub.seat.log()
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
	if slices.ContainsFunc(st.Members, func(m runner.Member) bool { return m.ID == ask.ID && m.Addr == ask.Addr }) {
		return joinReply{ID: ask.ID}, nil
	}
	known := make(chan uint64, 1)
	if !j.hub.post(func(time.Time) { known <- j.offered[ask.Addr] }) {
		return joinReply{}, ErrNoLeader
	}
	var id uint64
	select {
	case id = <-known:
	case <-ctx.Done():
		return joinReply{}, ctx.Err()
	}
	if id == 0 || ask.ID != 0 && ask.ID != id {
		res, err := j.hub.seat.propose(ctx, command{Allot: true})
		if err != nil {
			return joinReply{}, err
		}
		id = res.Number
	}
	j.hub.post(func(now time.Time) { j.offer(now, runner.Member{ID: id, Addr: ask.Addr}) })
	return joinReply{ID: id}, nil
}

// offer queues the addition of a replica.
func (j *joiner) offer(now time.Time, m runner.Member) {
	if old := j.offered[m.Addr]; old > m.ID {
		return
	}
	j.offered[m.Addr] = m.ID
	j.queue = slices.DeleteFunc(j.queue, func(o runner.Member) bool { return o.Addr == m.Addr })
	j.queue = append(j.queue, m)
	j.tick(now)
}

// tick starts the next membership change.
func (j *joiner) tick(now time.Time) {
	r := j.hub.seat.log()
	if j.busy || r == nil || j.hub.desk == nil {
		return
	}
	st := r.Status()
	for _, m := range st.Members {
		if _, ok := j.heard[m.ID]; !ok || m.ID == st.ID {
			j.heard[m.ID] = now
		}
	}
	if len(j.queue) > 0 {
		next := j.queue[0]
		j.queue = j.queue[1:]
		j.start(func(ctx context.Context) { j.add(ctx, r, next, j.makeWay(now, st, next)) })
		return
	}
	if id := j.silent(now, st, lostMember); id != 0 && len(st.Members) > groupSize {
		j.start(func(ctx context.Context) { j.remove(ctx, r, id) })
	}
}

func (j *joiner) start(f func(ctx context.Context)) {
	j.busy = true
	era := j.era
	j.hub.spawn(func() {
		ctx, cancel := context.WithTimeout(j.hub.ctx, addTimeout)
		defer cancel()
		f(ctx)
		j.hub.post(func(time.Time) { j.busy = j.busy && j.era != era })
	})
}

// makeWay returns the members to remove before next is added: those at its address, whose disk is lost, or else a silent
// one if the group is full.
func (j *joiner) makeWay(now time.Time, st runner.Status, next runner.Member) []uint64 {
	var out []uint64
	for _, m := range st.Members {
		if m.Addr == next.Addr && m.ID != next.ID {
			out = append(out, m.ID)
		}
	}
	if len(out) == 0 && len(st.Members) >= groupSize {
		if id := j.silent(now, st, silentMember); id != 0 {
			out = append(out, id)
		}
	}
	if len(out) == 0 && len(st.Members) >= replicator.MaxMembers {
		if id := j.silent(now, st, silentMember/2); id != 0 {
			out = append(out, id)
		}
	}
	return out
}

// silent returns the member silent for longest, at least d, if a majority of the group without it is alive; otherwise 0.
func (j *joiner) silent(now time.Time, st runner.Status, d time.Duration) uint64 {
	var worst uint64
	alive := 0
	for _, m := range st.Members {
		quiet := now.Sub(j.heard[m.ID])
		if quiet < d {
			alive++
		} else if worst == 0 || j.heard[m.ID].Before(j.heard[worst]) {
			worst = m.ID
		}
	}
	if alive <= (len(st.Members)-1)/2 {
		return 0
	}
	return worst
}

func (j *joiner) add(ctx context.Context, r *runner.Runner, m runner.Member, first []uint64) {
	for _, id := range first {
		j.remove(ctx, r, id)
	}
	if err := r.AddMember(ctx, m); err != nil {
		j.hub.log.Error("add replica "+m.Addr, err)
	} else {
		j.hub.log.Info("replica was added", m.Addr)
	}
	j.hub.post(func(time.Time) { delete(j.offered, m.Addr) })
}

func (j *joiner) remove(ctx context.Context, r *runner.Runner, id uint64) {
	if err := r.RemoveMember(ctx, id); err != nil {
		j.hub.log.Error("remove a replica", err)
		return
	}
	j.hub.log.Info("replica was removed", "")
}
