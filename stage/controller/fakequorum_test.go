package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
)

const (
	simLease    = 900 * time.Millisecond
	simElection = 400 * time.Millisecond
	// simRate and simParallel are the store's limits of loads a second and at once.
	simRate     = 3.5
	simParallel = 3
)

// fakeQuorum fakes the replicated log of all replicas: one order, a leader lease, no lost commits.
type fakeQuorum struct {
	w        *simWorld
	rng      *rand.Rand
	cmds     [][]byte
	term     uint64
	leader   int
	leaseEnd time.Time
	electAt  time.Time
	// lostResults is the share of committed proposals whose result is lost.
	lostResults float64
}

// replicaLog is one replica's view of the quorum.
type replicaLog struct {
	quorum  *fakeQuorum
	id      int
	applied int
	status  runner.Status
	results map[int][]byte
}

// step renews the leader's lease or elects another leader once it has expired.
func (q *fakeQuorum) step(now time.Time) {
	if q.leader >= 0 {
		r := q.w.replicas[q.leader]
		if r.alive() && !r.isolated && now.Before(q.leaseEnd) {
			q.leaseEnd = now.Add(simLease)
			return
		}
		if now.Before(q.leaseEnd) {
			return
		}
		q.leader = -1
		q.electAt = now.Add(time.Duration(q.rng.Int64N(int64(simElection))))
	}
	if now.Before(q.electAt) {
		return
	}
	var candidates []int
	for i, r := range q.w.replicas {
		if r.alive() && !r.isolated {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) <= len(q.w.replicas)/2 {
		return
	}
	q.term++
	q.leader = candidates[q.rng.IntN(len(candidates))]
	q.leaseEnd = now.Add(simLease)
}

// catchUp updates a connected replica's view and applies committed commands.
func (l *replicaLog) catchUp(r *simReplica) {
	q := l.quorum
	if !r.isolated {
		l.status.Term, l.status.Leader = q.term, uint64(q.leader+1)
		for ; l.applied < len(q.cmds); l.applied++ {
			out, err := r.hub.machine.Apply(uint64(l.applied+1), q.cmds[l.applied])
			if err != nil {
				panic(err)
			}
			l.results[l.applied] = out
		}
	}
	if q.leader == l.id {
		l.status.LeaseEnd = q.leaseEnd
	}
}

// Propose implements Log.
func (l *replicaLog) Propose(_ context.Context, cmd []byte) (runner.Result, error) {
	q, r := l.quorum, l.quorum.w.replicas[l.id]
	if q.leader != l.id || r.isolated || !q.w.now.Before(q.leaseEnd) || l.status.Term != q.term {
		return runner.Result{}, &runner.NotLeaderError{}
	}
	index := len(q.cmds)
	q.cmds = append(q.cmds, cmd)
	l.catchUp(r)
	if q.rng.Float64() < q.lostResults {
		return runner.Result{}, &runner.UncertainError{Index: uint64(index + 1), Term: q.term}
	}
	return runner.Result{Index: uint64(index + 1), Data: l.results[index]}, nil
}

// ReadBarrier implements Log.
func (l *replicaLog) ReadBarrier(context.Context) error { return nil }

// Status implements Log.
func (l *replicaLog) Status() runner.Status { return l.status }

// AddMember implements Log.
func (l *replicaLog) AddMember(context.Context, runner.Member) error {
	return errors.New("the fake quorum has fixed members")
}

// RemoveMember implements Log.
func (l *replicaLog) RemoveMember(context.Context, uint64) error {
	return errors.New("the fake quorum has fixed members")
}

// Close implements Log.
func (l *replicaLog) Close() error { return nil }

// pipe is one direction of a stream, which delivers in order after a delay.
type pipe[T any] struct {
	items       []timed[T]
	lastArrival time.Time
}

type timed[T any] struct {
	at time.Time
	v  T
}

func (p *pipe[T]) push(now time.Time, delay time.Duration, v T) {
	at := now.Add(delay)
	if at.Before(p.lastArrival) {
		at = p.lastArrival
	}
	p.lastArrival = at
	p.items = append(p.items, timed[T]{at, v})
}

func (p *pipe[T]) pop(now time.Time) (T, bool) {
	var zero T
	if len(p.items) == 0 || p.items[0].at.After(now) {
		return zero, false
	}
	v := p.items[0].v
	p.items = p.items[1:]
	return v, true
}
