package runner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/replicator"
)

const (
	// successionSeeds is the number of drawn sequences for each group size.
	successionSeeds = 24
	// successionEnd is the end of the disruptions; they overlap up to the tolerance and end with a final loss.
	successionEnd = 60 * time.Second
	// syncTime is how long a machine counts as lost after it is back or, if it is new, after its start.
	syncTime = 4 * time.Second
	// finalRecovery bounds the time until the group serves again after the final loss.
	finalRecovery = 12 * time.Second
	joinTimeout   = time.Second
	joinPause     = 250 * time.Millisecond
	// resignTimeout bounds the time in which a replica that stops gives up its vote.
	resignTimeout = 5 * time.Second
	// rejoinAfter is how long a replica knows no leader before it asks whether it is still a member.
	rejoinAfter = 1400 * time.Millisecond
)

var successionTiming = Config{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond, ReplaceAfter: time.Second}

// fleet runs a group whose machines are replaced, suspended, cut off, restarted and wiped at random, within its tolerance.
type fleet struct {
	*sim
	// machines are those in service that don't count as lost.
	machines  []*machine
	tolerated int
	// lost counts the machines that count as lost.
	lost   int
	lastID uint64
	// history lists the disruptions, for the report of a failure.
	history []string
}

// machine is an address with its current replica; a machine that lost its disk gets a replica with a new ID.
type machine struct {
	addr string
	n    *simNode
	// ledAt is when the replica last knew a leader.
	ledAt time.Duration
}

func newFleet(seed uint64, size int, timing Config) *fleet {
	timing.Voters = size
	f := &fleet{sim: newTimedSim(seed, size, mutation{}, timing), tolerated: (size - 1) / 2, lastID: uint64(size)}
	for _, n := range f.nodes {
		m := &machine{addr: fmt.Sprint(n.id), n: n}
		f.machines = append(f.machines, m)
		f.watch(m)
	}
	return f
}

func (f *fleet) notef(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%v: ", f.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// join starts a replica with an empty disk and a new ID on m.
func (f *fleet) join(m *machine) {
	f.lastID++
	m.n = f.addNode(f.lastID, nil)
	m.ledAt = f.now
	m.n.start()
	f.notef("replica %d starts at %s", m.n.id, m.addr)
}

// watch requests the membership of a machine's replica until the leader has it; a replica that was removed joins again.
func (f *fleet) watch(m *machine) {
	f.schedule(joinPause, func() { f.watch(m) })
	n, leader := m.n, f.leader()
	if n.r == nil || n.isSuspended || n.r.Status().Leader != 0 {
		m.ledAt = f.now
		return
	}
	if leader == nil || n.isMemberAt(leader) || len(leader.r.changes) > 0 {
		return
	}
	if len(n.r.Status().Members) > 0 {
		if f.now-m.ledAt >= rejoinAfter {
			n.kill()
			f.join(m)
		}
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &change{
		ctx: ctx, done: make(chan error, 1),
		step: func(now time.Time) (bool, error) {
			return leader.r.rep.AddMember(now, replicator.Member{ID: n.id, Addr: m.addr})
		},
		cancel: func() { leader.r.rep.CancelAdd(n.id) },
	}
	leader.loopOnce(func(time.Time) { leader.r.changes = append(leader.r.changes, c) })
	f.schedule(joinTimeout, func() {
		cancel()
		var refused *replicator.ChangeError
		select {
		case err := <-c.done:
			if errors.As(err, &refused) && m.n == n && n.r != nil && !n.isSuspended {
				// A larger ID was added first.
				n.kill()
				f.join(m)
			}
		default:
		}
	})
}

func (f *fleet) leader() *simNode {
	for _, n := range f.nodes {
		if n.r != nil && !n.isSuspended && n.r.Status().IsLeader(n.time()) {
			return n
		}
	}
	return nil
}

func (n *simNode) isMemberAt(leader *simNode) bool {
	m, _ := leader.r.rep.Membership()
	_, ok := m.Find(n.id)
	return ok
}

// take removes a random machine from those in service.
func (f *fleet) take() *machine {
	i := f.random.IntN(len(f.machines))
	m := f.machines[i]
	f.machines = slices.Delete(f.machines, i, i+1)
	return m
}

// release ends a machine's loss once it has had syncTime.
func (f *fleet) release(m *machine) {
	f.schedule(syncTime, func() {
		f.lost--
		f.machines = append(f.machines, m)
	})
}

// disrupt starts a random disruption if the tolerance has room for one, and schedules the next.
func (f *fleet) disrupt() {
	if f.now >= successionEnd {
		return
	}
	f.schedule(f.randomBetween(100*time.Millisecond, 3*time.Second), f.disrupt)
	if f.lost >= f.tolerated {
		return
	}
	f.lost++
	m := f.take()
	n := m.n
	d := f.randomBetween(100*time.Millisecond, 6*time.Second)
	switch f.random.IntN(7) {
	case 6:
		f.notef("replica %d gets a successor and stops %v after that one's time", n.id, d)
		f.succeed()
		f.schedule(syncTime+d, func() { f.stop(m, func() {}) })
	case 0:
		f.notef("replica %d is replaced after %v", n.id, d/4)
		n.kill()
		f.schedule(d/4, f.succeed)
	case 1:
		// A machine that ends without notice after its successor has started is a loss until the leader has noticed.
		f.notef("replica %d gets a successor and ends after %v", n.id, d)
		f.succeed()
		f.lost++
		f.schedule(d, func() {
			m.n.kill()
			f.schedule(syncTime, func() { f.lost-- })
		})
	case 2:
		f.notef("replica %d loses its disk and is back after %v", n.id, d/4)
		n.kill()
		f.schedule(d/4, func() {
			f.join(m)
			f.release(m)
		})
	case 3:
		f.notef("replica %d is down for %v", n.id, d)
		n.kill()
		f.schedule(d, func() {
			n.start()
			f.release(m)
		})
	case 4:
		f.notef("replica %d is suspended", n.id)
		f.suspend(n)
		f.schedule(outage, func() { f.release(m) })
	default:
		in, out := f.random.IntN(3) > 0, f.random.IntN(3) > 0
		f.notef("replica %d is cut off for %v, in %v, out %v", n.id, d, in, out)
		f.cutFor(n, in, out, d)
		f.schedule(d, func() { f.release(m) })
	}
}

// stop stops a machine for good as SIGTERM does: its replica gives up its vote first. A replica that couldn't is a loss
// until the leader has noticed.
func (f *fleet) stop(m *machine, stopped func()) {
	n := m.n
	c := &change{ctx: context.Background(), done: make(chan error, 1), step: func(now time.Time) (bool, error) { return n.r.stepResign(now) }}
	n.loopOnce(func(time.Time) { n.r.changes = append(n.r.changes, c) })
	end := f.now + resignTimeout
	var poll func()
	poll = func() {
		if len(c.done) == 0 && f.now < end && m.n == n {
			f.schedule(10*time.Millisecond, poll)
			return
		}
		if len(c.done) == 0 {
			f.lost++
			f.schedule(syncTime, func() { f.lost-- })
		}
		f.notef("replica %d stops, its vote given up: %v", m.n.id, len(c.done) > 0)
		m.n.kill()
		stopped()
	}
	poll()
}

// succeed starts the successor of a machine that is gone, or will be.
func (f *fleet) succeed() {
	m := &machine{addr: fmt.Sprint("successor of ", f.lastID)}
	f.join(m)
	f.watch(m)
	f.release(m)
}

// loseDisks restarts all machines at once; as many as are tolerated lose their disks.
func (f *fleet) loseDisks() {
	f.notef("all restart, %d without their disks", f.tolerated)
	for i, k := range f.random.Perm(len(f.machines)) {
		m := f.machines[k]
		m.n.kill()
		f.schedule(f.randomBetween(time.Millisecond, time.Second), func() {
			if i < f.tolerated {
				f.join(m)
				return
			}
			m.n.start()
		})
	}
}

// replacePlanned replaces a machine whose successor has had syncTime, and returns at the moment at which it stops.
func (f *fleet) replacePlanned() {
	f.lost++
	m := f.take()
	f.succeed()
	f.run(f.now+syncTime+100*time.Millisecond, func() bool { return false })
	stopped := false
	f.notef("replica %d has a successor and stops", m.n.id)
	f.stop(m, func() { stopped = true })
	f.run(f.now+2*resignTimeout, func() bool { return stopped })
}

// play plays one sequence and returns the failed check, if any.
func (f *fleet) play() error {
	never := func() bool { return false }
	f.runLoad()
	f.run(syncTime, never)
	f.disrupt()
	f.run(successionEnd, never)
	f.run(successionEnd+6*time.Second+3*syncTime, never)
	if f.check.err == nil && f.lost != 0 {
		f.check.failf("%d machines still count as lost", f.lost)
	}
	if f.random.IntN(2) == 0 {
		f.replacePlanned()
	}
	f.loseDisks()
	start := f.now
	f.run(start+time.Second, never)
	acked := f.check.ackedIndex
	f.run(start+time.Second+finalRecovery, func() bool { return f.check.ackedIndex > acked })
	if f.check.err == nil && f.check.ackedIndex <= acked {
		f.check.failf("nothing was committed within %v after the final loss", finalRecovery)
		for _, n := range f.nodes {
			if n.r != nil {
				m, _ := n.r.rep.Membership()
				f.check.err = errors.Errorf("%w; %v, members %v", f.check.err, n.r.rep, m.Members)
			}
		}
	}
	return f.check.err
}

// After any replacements, suspensions, cuts, restarts and disk losses within the tolerance, a group of 2t+1 replicas loses
// t disks and goes on. Silent voters used to be kept beside their successors, which raised the quorum above the survivors.
func TestGroupToleratesDiskLossAfterReplacements(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(successionSeeds) {
				f := newFleet(seed, size, successionTiming)
				qt.Check(t, f.play(), qt.IsNil, qt.Commentf("seed %d: %s", seed, f.history))
			}
		})
	}
}

// Without ReplaceAfter, successors are added beside the voters that are gone, and the final loss leaves no quorum.
func TestKeptVotersAreDetected(t *testing.T) {
	t.Parallel()
	timing := successionTiming
	timing.ReplaceAfter = 0
	failed := 0
	for seed := range uint64(successionSeeds) {
		if newFleet(seed, 5, timing).play() != nil {
			failed++
		}
	}
	qt.Check(t, failed > 0, qt.IsTrue)
}

// An operator added the successor of a replica that was gone before removing that one; the group of four then had no
// quorum after one more loss.
func TestAddBesideSilentVoterIsRefused(t *testing.T) {
	t.Parallel()
	s := newSim(1, 3, mutation{})
	never := func() bool { return false }
	s.run(outage, never)
	leader, lost, _ := s.roles()
	lost.kill()
	s.run(2*outage, never)
	var err error
	step := func(f func(now time.Time) (bool, error)) (done bool) {
		leader.loopOnce(func(now time.Time) { done, err = f(now) })
		return done || err != nil
	}
	add := func(now time.Time) (bool, error) {
		return leader.r.rep.AddMember(now, replicator.Member{ID: 4, Addr: "4"})
	}
	s.addNode(4, nil).start()
	qt.Check(t, step(add), qt.IsTrue)
	qt.Check(t, err, qt.ErrorMatches, "change of replica 4: a voter does not respond.*")
	remove := func(now time.Time) (bool, error) { return leader.r.rep.RemoveMember(now, lost.id) }
	for _, f := range []func(time.Time) (bool, error){remove, add} {
		end := s.now + outage
		for !step(f) && s.now < end {
			s.run(s.now+100*time.Millisecond, never)
			s.schedule(time.Millisecond, func() {})
		}
		qt.Check(t, err, qt.IsNil)
	}
	m, _ := leader.r.rep.Membership()
	qt.Check(t, m.Members, qt.HasLen, 3)
}

// A new leader must not take a voter for silent because of the time before its own election.
func TestNewLeaderCountsSilenceAnew(t *testing.T) {
	t.Parallel()
	for seed := range uint64(successionSeeds) {
		f := newFleet(seed, 5, successionTiming)
		never := func() bool { return false }
		f.run(syncTime, never)
		f.succeed()
		f.run(2*syncTime, never)
		old := f.leader()
		old.kill()
		f.run(3*syncTime, func() bool { return f.leader() != nil })
		electedAt, next := f.now, f.leader()
		qt.Assert(t, next, qt.IsNotNil)
		f.run(4*syncTime, func() bool {
			m, _ := next.r.rep.Membership()
			mb, ok := m.Find(old.id)
			return !ok || mb.Learner
		})
		silence := f.now - electedAt
		qt.Check(t, silence > successionTiming.ReplaceAfter*9/10, qt.IsTrue, qt.Commentf("seed %d: replaced after %v", seed, silence))
		qt.Check(t, silence < 2*successionTiming.ReplaceAfter, qt.IsTrue, qt.Commentf("seed %d: replaced after %v", seed, silence))
		qt.Check(t, f.check.err, qt.IsNil)
	}
}
