package runner

import (
	"encoding/binary"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mutationSeeds is the number of seeds within which a cell must detect a disabled mechanism.
const mutationSeeds = 50

// TestMutations checks that the checker detects the failure that each disabled mechanism prevents.
func TestMutations(t *testing.T) {
	tests := []struct {
		name     string
		mutation mutation
		cell     string
		want     string
	}{
		{"vote not synced", mutation{skipVoteSync: true}, "vote/kill all", ".*two leaders.*"},
		{"sync skipped", mutation{ignoreSync: true}, "append/kill all", ".*(acknowledged|applied|two leaders).*"},
		{"lease not checked", mutation{ignoreLeaseEnd: true}, "commit/suspend", ".*hold leases"},
		{"read without a quorum", mutation{skipReadQuorum: true}, "commit/suspend", ".*served a read.*"},
		{"learner promoted too early", mutation{ackMissingEntries: true}, "change/wipe", ".*became a voter with a log.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			step, fault, _ := strings.Cut(tt.cell, "/")
			pattern := regexp.MustCompile(tt.want)
			for seed := range uint64(mutationSeeds) {
				if _, err := runFault(step, fault, seed, tt.mutation); err != nil && pattern.MatchString(err.Error()) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no check failed")
		})
	}
}

// TestLostDisk loses the disk of the only up-to-date follower while the leader is down: the third replica, which lacks
// acknowledged commands, must not be elected with the vote of the empty one.
func TestLostDisk(t *testing.T) {
	run := func(mutation mutation) error {
		s := newSim(1, 3, mutation)
		s.runLoad()
		s.run(outage, func() bool { return false })
		leader, lagging, upToDate := s.roles()
		s.cutFor(lagging, true, true, outage)
		s.run(2*outage, func() bool { return s.now > 2*outage-time.Second })
		leader.kill()
		upToDate.kill()
		upToDate.formatDisk()
		upToDate.start()
		clear(s.cuts)
		s.run(4*outage, func() bool { return false })
		leader.start()
		s.run(6*outage, func() bool { return false })
		return s.check.err
	}
	qt.Assert(t, run(mutation{}), qt.IsNil)
	qt.Assert(t, run(mutation{reuseNonce: true}), qt.ErrorMatches, "(index|term|command) .*")
}

// TestCrashAfterAcknowledgement crashes all replicas right after an acknowledgement, which must not lose the command.
func TestCrashAfterAcknowledgement(t *testing.T) {
	run := func(seed uint64, mutation mutation) error {
		s := newSim(seed, 3, mutation)
		s.runLoad()
		for range 8 {
			before := s.check.ackedIndex
			s.run(s.now+recoveryEnd, func() bool { return s.check.ackedIndex > before })
			qt.Assert(t, s.check.err != nil || s.check.ackedIndex > before, qt.IsTrue)
			for _, n := range s.nodes {
				s.crash(n, outage/4)
			}
		}
		return s.check.err
	}
	detected := 0
	for seed := range uint64(seeds) {
		qt.Assert(t, run(seed, mutation{}), qt.IsNil)
		if err := run(seed, mutation{ackBeforeWrite: true}); err != nil {
			t.Logf("seed %d: %v", seed, err)
			qt.Assert(t, err, qt.ErrorMatches, "(index|command|replica) .*")
			detected++
		}
	}
	qt.Assert(t, detected > 0, qt.IsTrue)
}

// roles returns the leader of three replicas and the other two.
func (s *sim) roles() (leader, a, b *simNode) {
	for _, n := range s.nodes {
		switch {
		case n.r.Status().Leader == n.id:
			leader = n
		case a == nil:
			a = n
		default:
			b = n
		}
	}
	return leader, a, b
}

// runIdle cuts links of an idle group by cut, restores them later and reports whether leader and term are unchanged.
func runIdle(t *testing.T, mutation mutation, cut func(s *sim, leader, follower *simNode)) (sameLeader bool, err error) {
	s := newSim(1, 3, mutation)
	s.lossRate = 0
	s.run(outage, func() bool { return false })
	leader, follower, _ := s.roles()
	term := leader.r.Status().Term
	cut(s, leader, follower)
	s.run(10*outage, func() bool { return false })
	clear(s.cuts)
	s.run(12*outage, func() bool { return false })
	st := leader.r.Status()
	return st.Leader == leader.id && st.Term == term, s.check.err
}

// TestIsolatedFollowerReturns isolates a follower for several election timeouts: its return must not depose the leader.
func TestIsolatedFollowerReturns(t *testing.T) {
	isolate := func(s *sim, _, follower *simNode) {
		for _, n := range s.nodes {
			s.cuts[[2]uint64{n.id, follower.id}], s.cuts[[2]uint64{follower.id, n.id}] = true, true
		}
	}
	sameLeader, err := runIdle(t, mutation{}, isolate)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sameLeader, qt.IsTrue)
	sameLeader, err = runIdle(t, mutation{grantPreVotes: true}, isolate)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sameLeader, qt.IsFalse)
}

// TestStalledDisk stalls the leader's disk for the rest of the run: another replica must take over.
func TestStalledDisk(t *testing.T) {
	s := newSim(1, 3, mutation{})
	s.runLoad()
	s.run(outage, func() bool { return false })
	leader, _, _ := s.roles()
	leader.diskStall = time.Hour
	// Commands in flight when the disk stalled may still be acknowledged.
	s.run(s.now+time.Second, func() bool { return false })
	before := s.check.ackedIndex
	s.run(s.now+recoveryEnd, func() bool { return s.check.ackedIndex > before })
	qt.Assert(t, s.check.err, qt.IsNil)
	qt.Assert(t, s.check.ackedIndex > before, qt.IsTrue)
	qt.Assert(t, leader.r.Status().Leader, qt.Not(qt.Equals), leader.id)
}

// TestNoVoteDuringLease cuts the link between leader and one follower: the other one, connected to both, must not vote.
func TestNoVoteDuringLease(t *testing.T) {
	cutLink := func(s *sim, leader, follower *simNode) {
		s.cuts[[2]uint64{leader.id, follower.id}], s.cuts[[2]uint64{follower.id, leader.id}] = true, true
	}
	sameLeader, err := runIdle(t, mutation{}, cutLink)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sameLeader, qt.IsTrue)
	_, err = runIdle(t, mutation{voteDuringLease: true}, cutLink)
	qt.Assert(t, err, qt.ErrorMatches, ".*hold leases")
}

// TestRestart checks that the number of journal records read at a restart doesn't grow with the number of commands.
func TestRestart(t *testing.T) {
	const batch = 500
	for _, commands := range []int{1000, 10_000, 100_000} {
		s := newSim(1, 1, mutation{})
		n := s.nodes[0]
		s.run(outage, func() bool { return n.r.Status().IsLeader(n.time()) })
		for range commands / batch {
			for range batch {
				req := simRequest{id: s.check.nextID(), proposal: &proposal{done: make(chan outcome, 1)}}
				req.proposal.cmd = binary.BigEndian.AppendUint64(nil, req.id)
				n.requests = append(n.requests, req)
				n.r.proposals <- req.proposal
			}
			n.loopOnce(func(now time.Time) { n.r.propose(now, <-n.r.proposals) })
			s.run(s.now+time.Minute, func() bool { return len(n.requests) == 0 })
		}
		qt.Assert(t, len(s.check.ackedIndexByID), qt.Equals, commands)
		n.kill()
		n.start()
		qt.Assert(t, len(n.r.store.journal.Records()) <= 3*batch, qt.IsTrue)
		s.run(s.now+time.Minute, func() bool { return n.r.Status().IsLeader(n.time()) })
		s.check.checkFinalState(n.machine)
		qt.Assert(t, s.check.err, qt.IsNil)
	}
}
