package governor

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

const (
	// addTimeout bounds the addition of a replica as a learner. A replica that isn't added asks again.
	addTimeout = time.Second
	// allocateTimeout bounds the allocation of a replica's ID; it ends with the leadership.
	allocateTimeout = 15 * time.Second
)

// allocation is a replica's ID, which the log may not have committed yet; id and err are set once done is closed.
type allocation struct {
	done chan struct{}
	id   uint64
	err  error
}

// joiner adds replicas for the leader, one at a time; the log's leader decides which of them vote. Other goroutines may
// call only assignID.
type joiner struct {
	hub *hub
	// leadership counts leaderships, so that an addition of an earlier one doesn't clear adding.
	leadership int
	// assigned are assigned IDs of replicas that aren't members yet, by address.
	assigned map[string]uint64
	// allocations are those that aren't committed yet, by address.
	allocations map[string]*allocation
	// refused are IDs that can't be used again.
	refused map[uint64]bool
	adding  bool
	queue   []runner.Member
}

func newJoiner(h *hub) *joiner {
	return &joiner{hub: h, assigned: make(map[string]uint64), allocations: make(map[string]*allocation), refused: make(map[uint64]bool)}
}

// reset clears the state of an earlier leadership.
func (j *joiner) reset() {
	j.leadership++
	clear(j.assigned)
	clear(j.allocations)
	clear(j.refused)
	j.adding, j.queue = false, nil
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
	ids := make(chan *allocation, 1)
	if !j.hub.post(func(time.Time) { ids <- j.identify(req, st.Members) }) {
		return joinReply{}, ErrNoLeader
	}
	var a *allocation
	select {
	case a = <-ids:
	case <-ctx.Done():
		return joinReply{}, ctx.Err()
	}
	select {
	case <-a.done:
		return joinReply{ID: a.id}, a.err
	case <-ctx.Done():
		return joinReply{}, ctx.Err()
	}
}

// identify returns the ID that a replica has or was assigned, or allocates one.
func (j *joiner) identify(req joinRequest, members []runner.Member) *allocation {
	if least := j.hub.leastLevel(); req.Level < least {
		a := &allocation{done: make(chan struct{}), err: &laterLevelError{level: least, known: req.Level}}
		close(a.done)
		return a
	}
	id := j.knownID(req)
	isMember := slices.ContainsFunc(members, func(m runner.Member) bool { return m.ID == id })
	if id == 0 || req.ID != 0 && req.ID != id || isMember {
		return j.allocate(req.Addr)
	}
	j.queueAdd(runner.Member{ID: id, Addr: req.Addr})
	a := &allocation{done: make(chan struct{}), id: id}
	close(a.done)
	return a
}

// allocate allocates an ID for the replica at addr, once for all its requests meanwhile: the commit may take longer than a
// replica waits for a response.
func (j *joiner) allocate(addr string) *allocation {
	if a := j.allocations[addr]; a != nil {
		return a
	}
	a := &allocation{done: make(chan struct{})}
	j.allocations[addr] = a
	leadership := j.leadership
	j.hub.spawn(func() {
		ctx, cancel := context.WithTimeout(j.hub.ctx, allocateTimeout)
		defer cancel()
		res, err := j.hub.membership.propose(ctx, command{AllocateID: true})
		a.id, a.err = res.Number, err
		j.hub.post(func(time.Time) {
			defer close(a.done)
			if j.leadership != leadership {
				return
			}
			delete(j.allocations, addr)
			if err == nil {
				j.queueAdd(runner.Member{ID: a.id, Addr: addr})
			}
		})
	})
	return a
}

// knownID returns the ID that a replica has or was assigned and that may still be added, or 0.
func (j *joiner) knownID(req joinRequest) uint64 {
	id := j.assigned[req.Addr]
	if isAllocated := req.ID > maxInitialID && req.ID <= j.hub.membership.state().LastID; id == 0 && isAllocated && !j.refused[req.ID] {
		// An earlier leader assigned it.
		return req.ID
	}
	return id
}

// queueAdd queues the addition of a replica.
func (j *joiner) queueAdd(m runner.Member) {
	if old := j.assigned[m.Addr]; old > m.ID {
		return
	}
	j.assigned[m.Addr] = m.ID
	j.queue = slices.DeleteFunc(j.queue, func(o runner.Member) bool { return o.Addr == m.Addr })
	j.queue = append(j.queue, m)
	j.addNext()
}

// isIdle reports whether no replica is being added.
func (j *joiner) isIdle() bool { return !j.adding && len(j.queue)+len(j.allocations) == 0 }

// addNext starts the next addition.
func (j *joiner) addNext() {
	r := j.hub.membership.log()
	if j.adding || r == nil || j.hub.leader == nil || len(j.queue) == 0 {
		return
	}
	next := j.queue[0]
	j.queue = j.queue[1:]
	j.startAdding(func(ctx context.Context) { j.add(ctx, r, next) })
}

func (j *joiner) startAdding(f func(ctx context.Context)) {
	j.adding = true
	leadership := j.leadership
	j.hub.spawn(func() {
		ctx, cancel := context.WithTimeout(j.hub.ctx, addTimeout)
		defer cancel()
		f(ctx)
		j.hub.post(func(time.Time) {
			j.adding = j.adding && j.leadership != leadership
			j.addNext()
		})
	})
}

func (j *joiner) add(ctx context.Context, r *runner.Runner, m runner.Member) {
	err := r.AddMember(ctx, m)
	var refused *replicator.ChangeError
	if err != nil {
		j.hub.log.Error("add replica "+m.Addr, err)
	} else {
		j.hub.log.Info("replica was added", m.Addr)
	}
	if err != nil && !errors.As(err, &refused) {
		// The replica asks again and keeps its ID: with another one it would have to empty its folder first.
		return
	}
	j.hub.post(func(time.Time) {
		j.refused[m.ID] = err != nil
		if j.assigned[m.Addr] == m.ID {
			delete(j.assigned, m.Addr)
		}
	})
}
