package runner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	slowDiskSeeds = 12
	// recoverTime is the time in which a group whose replicas all run and reach each other must acknowledge a command.
	recoverTime = 12 * time.Second
	// readTime bounds a read barrier, which needs a quorum but no disk.
	readTime = time.Second
	// steadyTime is how long a leader must then keep the lead.
	steadyTime = 20 * time.Second
)

// leaseHolder returns the replica that leads under its lease, or nil.
func (s *sim) leaseHolder() *simNode {
	for _, n := range s.nodes {
		if n.r != nil && n.r.Status().IsLeader(n.time()) {
			return n
		}
	}
	return nil
}

// playSlowDisks restarts all replicas on disks that take syncTime for each write.
func playSlowDisks(seed uint64, size int, syncTime time.Duration) error {
	never := func() bool { return false }
	s := newTimedSim(seed, size, mutation{}, Config{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond})
	s.lossRate = 0
	s.runLoad()
	s.run(2*time.Second, never)
	for _, n := range s.nodes {
		n.kill()
	}
	s.syncTime = syncTime
	for _, n := range s.nodes {
		n.start()
	}
	acked, start := s.check.ackedIndex, s.now
	s.run(start+recoverTime, func() bool { return s.check.ackedIndex > acked && s.leaseHolder() != nil })
	leader := s.leaseHolder()
	if s.check.err == nil && leader == nil {
		s.check.failf("no command was acknowledged by a leader within %v", recoverTime)
	}
	for end := s.now + steadyTime; s.check.err == nil && s.now < end; {
		if s.leaseHolder() != leader {
			s.check.failf("replica %d lost the lead %v before the end", leader.id, end-s.now)
			break
		}
		read := &readCall{done: make(chan error, 1)}
		leader.loopOnce(func(time.Time) { leader.r.queuedReads = append(leader.r.queuedReads, read) })
		s.run(s.now+readTime, never)
		select {
		case err := <-read.done:
			if err != nil {
				s.check.failf("a read: %v", err)
			}
		default:
			s.check.failf("a read isn't confirmed after %v", readTime)
		}
	}
	return s.check.err
}

// Groups on disks with syncs about as long as an election had no leader: reads were refused and no adapter was loaded.
func TestSlowDisksDelayCommandsOnly(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		for _, syncTime := range []time.Duration{50, 300, 500, 700, 1000, 1500} {
			t.Run(fmt.Sprintf("%d/%dms", size, syncTime), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(slowDiskSeeds) {
					qt.Check(t, playSlowDisks(seed, size, syncTime*time.Millisecond), qt.IsNil, qt.Commentf("seed %d", seed))
				}
			})
		}
	}
}
