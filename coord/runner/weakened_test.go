package runner

import (
	"encoding/binary"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// weakSeeds is the number of seeds within which a cell must detect a disabled mechanism.
const weakSeeds = 50

// TestWeakened checks that the checker detects the failure that each disabled mechanism prevents.
func TestWeakened(t *testing.T) {
	tests := []struct {
		name string
		weak weakness
		cell string
		want string
	}{
		{"vote not synced", weakness{voteSync: true}, "vote/all", ".*two leaders.*"},
		{"sync skipped", weakness{sync: true}, "append/all", ".*(acknowledged|applied|two leaders).*"},
		{"lease not checked", weakness{lease: true}, "commit/isolate", ".*hold leases"},
		{"read without a quorum", weakness{readRound: true}, "commit/freeze", ".*served a read.*"},
		{"learner promoted too early", weakness{caughtUp: true}, "change/wipe", ".*became a voter with a log.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			step, fault, _ := strings.Cut(tt.cell, "/")
			match := regexp.MustCompile(tt.want)
			for seed := range uint64(weakSeeds) {
				if _, err := runFault(step, fault, seed, tt.weak); err != nil && match.MatchString(err.Error()) {
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
	run := func(weak weakness) error {
		s := newSim(1, 3, weak)
		s.load()
		s.run(outage, func() bool { return false })
		lead, late, up := s.roles()
		s.cutFor(late, true, true, outage)
		s.run(2*outage, func() bool { return s.now > 2*outage-time.Second })
		lead.kill()
		up.kill()
		up.format()
		up.start()
		clear(s.cuts)
		s.run(4*outage, func() bool { return false })
		lead.start()
		s.run(6*outage, func() bool { return false })
		return s.check.err
	}
	qt.Assert(t, run(weakness{}), qt.IsNil)
	qt.Assert(t, run(weakness{nonce: true}), qt.ErrorMatches, "(index|term|command) .*")
}

// TestAcknowledged repeatedly crashes all replicas right after an acknowledgement, which must not lose the command.
func TestAcknowledged(t *testing.T) {
	run := func(seed uint64, weak weakness) error {
		s := newSim(seed, 3, weak)
		s.load()
		for range 8 {
			was := s.check.acked
			s.run(s.now+healEnd, func() bool { return s.check.acked > was })
			qt.Assert(t, s.check.err != nil || s.check.acked > was, qt.IsTrue)
			for _, n := range s.nodes {
				s.crash(n, outage/4)
			}
		}
		return s.check.err
	}
	lost := 0
	for seed := range uint64(seeds) {
		qt.Assert(t, run(seed, weakness{}), qt.IsNil)
		if err := run(seed, weakness{earlyAck: true}); err != nil {
			t.Logf("seed %d: %v", seed, err)
			qt.Assert(t, err, qt.ErrorMatches, "(index|command|replica) .*")
			lost++
		}
	}
	qt.Assert(t, lost > 0, qt.IsTrue)
}

// roles returns the leader of three replicas and the other two.
func (s *sim) roles() (lead, a, b *simNode) {
	for _, n := range s.nodes {
		switch {
		case n.r.Status().Leader == n.id:
			lead = n
		case a == nil:
			a = n
		default:
			b = n
		}
	}
	return lead, a, b
}

// idle runs an idle group, cuts links of the leader or a follower by cut, restores them and reports whether leader and
// term are unchanged.
func idle(t *testing.T, weak weakness, cut func(s *sim, lead, away *simNode)) (sameLeader bool, err error) {
	s := newSim(1, 3, weak)
	s.loss = 0
	s.run(outage, func() bool { return false })
	lead, away, _ := s.roles()
	term := lead.r.Status().Term
	cut(s, lead, away)
	s.run(10*outage, func() bool { return false })
	clear(s.cuts)
	s.run(12*outage, func() bool { return false })
	st := lead.r.Status()
	return st.Leader == lead.id && st.Term == term, s.check.err
}

// TestReturnUndisturbed isolates a follower for several election timeouts: its return must not depose the leader.
func TestReturnUndisturbed(t *testing.T) {
	isolate := func(s *sim, _, away *simNode) {
		for _, n := range s.nodes {
			s.cuts[[2]uint64{n.id, away.id}], s.cuts[[2]uint64{away.id, n.id}] = true, true
		}
	}
	same, err := idle(t, weakness{}, isolate)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, same, qt.IsTrue)
	same, err = idle(t, weakness{preVote: true}, isolate)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, same, qt.IsFalse)
}

// TestStalledDisk stalls the leader's disk for the rest of the run: another replica must take over.
func TestStalledDisk(t *testing.T) {
	s := newSim(1, 3, weakness{})
	s.load()
	s.run(outage, func() bool { return false })
	lead, _, _ := s.roles()
	lead.stalled = time.Hour
	// Commands in flight when the disk stalled may still be acknowledged.
	s.run(s.now+time.Second, func() bool { return false })
	was := s.check.acked
	s.run(s.now+healEnd, func() bool { return s.check.acked > was })
	qt.Assert(t, s.check.err, qt.IsNil)
	qt.Assert(t, s.check.acked > was, qt.IsTrue)
	qt.Assert(t, lead.r.Status().Leader, qt.Not(qt.Equals), lead.id)
}

// TestPromise cuts the link between leader and one follower: the other one, connected to both, must not vote.
func TestPromise(t *testing.T) {
	part := func(s *sim, lead, away *simNode) {
		s.cuts[[2]uint64{lead.id, away.id}], s.cuts[[2]uint64{away.id, lead.id}] = true, true
	}
	same, err := idle(t, weakness{}, part)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, same, qt.IsTrue)
	_, err = idle(t, weakness{promise: true}, part)
	qt.Assert(t, err, qt.ErrorMatches, ".*hold leases")
}

// TestRestart checks that the number of journal records read at a restart doesn't grow with the number of commands.
func TestRestart(t *testing.T) {
	const batch = 500
	for _, changes := range []int{1000, 10_000, 100_000} {
		s := newSim(1, 1, weakness{})
		n := s.nodes[0]
		s.run(outage, func() bool { return n.r.Status().IsLeader(n.time()) })
		for range changes / batch {
			for range batch {
				a := simAsk{id: s.check.propose(), p: &proposal{done: make(chan outcome, 1)}}
				a.p.cmd = binary.BigEndian.AppendUint64(nil, a.id)
				n.asked = append(n.asked, a)
				n.r.proposals <- a.p
			}
			n.drive(func(now time.Time) { n.r.propose(now, <-n.r.proposals) })
			s.run(s.now+time.Minute, func() bool { return len(n.asked) == 0 })
		}
		qt.Assert(t, len(s.check.results), qt.Equals, changes)
		n.kill()
		n.start()
		qt.Assert(t, len(n.r.store.journal.Records()) <= 3*batch, qt.IsTrue)
		s.run(s.now+time.Minute, func() bool { return n.r.Status().IsLeader(n.time()) })
		s.check.final(n.machine)
		qt.Assert(t, s.check.err, qt.IsNil)
	}
}
