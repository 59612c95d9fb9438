package runner

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/faulter"
	"redwingstage.org/coord/replicator"
)

const (
	seeds     = 16
	weakSeeds = 50
	chaosEnd  = 9 * time.Second
	healEnd   = 40 * time.Second
	outage    = 4 * time.Second
)

// observe reports the steps that show in the replica's state, and its leadership.
func (n *simNode) observe() {
	n.collect()
	st := n.r.Status()
	if st.Leader == n.id {
		n.s.check.leader(st.Term, n.id, n.life)
	}
	step := func(name string, old *uint64, now uint64) {
		changed := now > *old
		*old = now
		if changed && n.r != nil && !n.frozen {
			n.s.onStep(name, n)
		}
	}
	_, at := n.r.rep.Membership()
	commit, applied := n.r.rep.Commit(), n.r.rep.Applied()
	reading := n.r.reading != nil
	n.checkPromotion(at)
	step("commit", &n.commit, commit)
	step("apply", &n.applied, applied)
	step("change", &n.memberAt, at)
	if reading && n.r != nil && !n.frozen {
		n.s.onStep("read", n)
	}
}

func (n *simNode) jobSteps(j job) {
	s, w := n.s, j.write
	switch {
	case w.Install:
		s.onStep("install", n)
	case w.Snapshot != nil:
		s.onStep("snapshot", n)
	case len(w.Entries) > 0 && w.Entries[0].Index <= n.written:
		s.onStep("truncate", n)
	case len(w.Entries) > 0:
		s.onStep("append", n)
	case w.Hard.Vote != 0:
		s.onStep("vote", n)
	}
}

// messageSteps reports a step once the replica is done with the event that led to the message.
func (n *simNode) messageSteps(m replicator.Message) {
	name := map[replicator.Type]string{
		replicator.TypeHello: "found", replicator.TypeSnapshot: "piece", replicator.TypeTransfer: "transfer",
	}[m.Type]
	if name != "" {
		n.s.after(0, func() { n.s.onStep(name, n) })
	}
}

// checkPromotion checks that a replica which begins to count holds everything that was committed before.
func (n *simNode) checkPromotion(at uint64) {
	m, _ := n.r.rep.Membership()
	if at == n.memberAt || n.r.Status().Leader != n.id {
		return
	}
	for _, other := range n.s.nodes {
		mb, ok := m.Find(other.id)
		if ok && !mb.Learner && other.founders == nil && !other.counts {
			other.counts = true
			if other.durable < n.commit {
				n.s.check.failf("replica %d counts with a log up to %d after %d was committed", other.id, other.durable, n.commit)
			}
		}
	}
}

// steps are where faults are brought about, with how often a run passes there at most before the fault.
var steps = map[string]int{
	"append": 60, "vote": 3, "commit": 60, "apply": 60, "snapshot": 8, "truncate": 1, "install": 1, "piece": 2,
	"change": 4, "transfer": 1, "read": 20, "found": 4,
}

var faults = map[string]func(s *sim, n *simNode){
	"kill":     func(s *sim, n *simNode) { s.crash(n, outage/4) },
	"sync":     func(s *sim, n *simNode) { n.fs.FailAt(1+s.random.IntN(6), faulter.Kill) },
	"full":     func(s *sim, n *simNode) { n.fs.FailAt(1+s.random.IntN(3), faulter.Full) },
	"unsynced": func(s *sim, n *simNode) { n.fs.FailAt(1+s.random.IntN(6), faulter.Unsynced) },
	"freeze":   (*sim).freeze,
	"cut in":   func(s *sim, n *simNode) { s.cut(n, true, false, outage) },
	"cut out":  func(s *sim, n *simNode) { s.cut(n, false, true, outage) },
	"isolate":  func(s *sim, n *simNode) { s.cut(n, true, true, 2*outage) },
	"cut link": (*sim).cutLink,
	"lossy": func(s *sim, _ *simNode) {
		s.loss = 0.25
		s.after(outage, func() { s.loss = 0.01 })
	},
	"all": func(s *sim, _ *simNode) {
		for _, n := range s.nodes {
			s.crash(n, outage/2)
		}
	},
	"wipe":   func(s *sim, n *simNode) { s.wipe(n) },
	"second": (*sim).wipeTwo,
}

func (s *sim) crash(n *simNode, most time.Duration) {
	if n.r == nil {
		return
	}
	n.kill()
	s.after(s.between(time.Millisecond, most), n.start)
}

func (s *sim) freeze(n *simNode) {
	if n.r == nil || n.frozen {
		return
	}
	n.frozen = true
	life := n.life
	s.after(s.between(time.Millisecond, outage), func() {
		if n.life != life {
			return
		}
		n.frozen = false
		late := n.backlog
		n.backlog = nil
		for _, do := range late {
			do()
		}
		n.drive(func(time.Time) {})
	})
}

// cutLink cuts one direction between two replicas.
func (s *sim) cutLink(n *simNode) {
	other := s.nodes[s.random.IntN(len(s.nodes))]
	pair := [2]uint64{other.id, n.id}
	s.cuts[pair] = true
	s.after(s.between(time.Millisecond, 2*outage), func() { delete(s.cuts, pair) })
}

func (s *sim) cut(n *simNode, in, out bool, most time.Duration) {
	s.cutFor(n, in, out, s.between(time.Millisecond, most))
}

func (s *sim) cutFor(n *simNode, in, out bool, d time.Duration) {
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		for pair, on := range map[[2]uint64]bool{{other.id, n.id}: in, {n.id, other.id}: out} {
			if on {
				s.cuts[pair] = true
				s.after(d, func() { delete(s.cuts, pair) })
			}
		}
	}
}

// wipe loses a disk; the replica comes back under its old ID, and the operator replaces it.
func (s *sim) wipe(n *simNode) {
	if n.r == nil || n.gone {
		return
	}
	n.kill()
	n.format()
	s.after(s.between(time.Millisecond, time.Second), n.start)
	fresh := s.addNode(uint64(10+len(s.nodes)), nil)
	fresh.start()
	s.repair = append(
		s.repair,
		func(r *Runner) *change {
			return &change{step: func(now time.Time) (bool, error) { return r.rep.RemoveMember(now, n.id) }}
		},
		func(r *Runner) *change {
			return &change{step: func(time.Time) (bool, error) {
				return r.rep.AddMember(replicator.Member{ID: fresh.id, Addr: "a"})
			}}
		})
}

// wipeTwo loses a second disk right after the first one's repair.
func (s *sim) wipeTwo(n *simNode) {
	if n.r == nil || n.gone {
		return
	}
	s.wipe(n)
	fresh := s.nodes[len(s.nodes)-1]
	var look func()
	look = func() {
		if len(s.repair) > 0 {
			s.after(time.Millisecond, look)
			return
		}
		for _, other := range s.nodes {
			if other != n && other != fresh && other.r != nil {
				s.wipe(other)
				return
			}
		}
	}
	look()
}

// prologue makes a leader's uncommitted entries be replaced and a follower lag behind the snapshots.
func (s *sim) prologue() {
	s.after(s.between(1500*time.Millisecond, 2500*time.Millisecond), func() {
		for _, n := range s.nodes {
			if n.r != nil && n.r.Status().Leader == n.id {
				s.cutFor(n, true, true, s.between(outage, outage+outage/2))
				return
			}
		}
	})
	s.after(2*outage, func() {
		s.repair = append(s.repair, func(r *Runner) *change { return &change{step: r.stepTransfer} })
	})
}

// runFault runs one seed of a cell and returns whether the step was reached and what the checker found.
func runFault(step, fault string, seed uint64, weak weakness) (bool, error) {
	size := 3
	if seed%4 == 3 {
		size = 5
	}
	s := newSim(seed, size, weak)
	if seed%16 == 1 && (step == "piece" || step == "install") {
		s.pad = 600 << 10
	}
	reached, nth := false, s.random.IntN(steps[step])
	s.onStep = func(name string, n *simNode) {
		if name != step || reached || s.now >= chaosEnd {
			return
		}
		if nth--; nth < 0 {
			reached = true
			faults[fault](s, n)
		}
	}
	s.load()
	s.operate()
	s.prologue()
	s.run(chaosEnd, func() bool { return false })
	s.heal()
	return reached, s.check.err
}

// heal ends all faults and wants the group to come to life, with everything acknowledged at each replica.
func (s *sim) heal() {
	s.cuts, s.loss = map[[2]uint64]bool{}, 0
	for _, n := range s.nodes {
		n.start()
	}
	settled, target := s.now+outage/4, uint64(0)
	s.run(healEnd, func() bool {
		if target == 0 && s.now >= settled && len(s.repair) == 0 {
			target = s.check.acked + 1
		}
		return target > 0 && s.check.acked >= target && s.everyoneHas(target)
	})
	if s.check.err != nil {
		return
	}
	if target == 0 || s.check.acked < target || !s.everyoneHas(target) {
		s.check.failf("no progress until %v after all faults have ended, %d repairs open", healEnd, len(s.repair))
		for _, n := range s.nodes {
			if n.r != nil {
				s.check.err = errors.Errorf("%v; %v", s.check.err, n.r.rep)
			}
		}
	}
	for _, n := range s.nodes {
		if n.r != nil && n.isMember() {
			s.check.final(n.machine)
		}
	}
}

func (n *simNode) isMember() bool {
	m, _ := n.r.rep.Membership()
	_, ok := m.Find(n.id)
	return ok
}

func (s *sim) everyoneHas(index uint64) bool {
	for _, n := range s.nodes {
		if n.r == nil && !n.gone {
			return false
		}
		if n.r != nil && n.isMember() && n.r.rep.Applied() < max(index, s.check.acked) {
			return false
		}
	}
	return true
}

// cells returns the matrix in order, as names of subtests.
func cells() []string {
	var names []string
	for step := range steps {
		for fault := range faults {
			names = append(names, step+"/"+fault)
		}
	}
	slices.Sort(names)
	return names
}

func TestFaults(t *testing.T) {
	for _, name := range cells() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			step, fault, _ := strings.Cut(name, "/")
			hits := 0
			for seed := range uint64(seeds) {
				reached, err := runFault(step, fault, seed, weakness{})
				qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
				if reached {
					hits++
				}
			}
			qt.Assert(t, hits >= seeds/4, qt.IsTrue, qt.Commentf("reached by %d of %d seeds", hits, seeds))
		})
	}
}

func TestFaultsList(t *testing.T) {
	type cell struct {
		Rule    int    `json:"rule"`
		Step    string `json:"step"`
		Fault   string `json:"fault"`
		Test    string `json:"test"`
		Package string `json:"package"`
		Seeds   int    `json:"seeds"`
	}
	var got, want []cell
	for _, name := range cells() {
		step, fault, _ := strings.Cut(name, "/")
		want = append(want, cell{
			Rule: 8, Step: step, Fault: fault, Test: "TestFaults/" + strings.ReplaceAll(name, " ", "_"),
			Package: "redwingstage.org/coord/runner", Seeds: seeds,
		})
	}
	b, err := os.ReadFile("faults.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(b, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, want)
}

// TestWeakened shows that the checker sees what each mechanism prevents.
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
		{"learner counts too early", weakness{caughtUp: true}, "change/wipe", ".*counts with a log.*"},
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
			t.Fatal("the checker saw nothing")
		})
	}
}

// TestLostDisk loses the disk of the only follower that is up to date, while the leader is down: the third replica, which
// lacks what was acknowledged, must not win with the vote of the empty one.
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

// TestAcknowledged crashes all replicas at the moment of an acknowledgement, again and again.
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

// idle runs a group into an idle state, lets cut break links between leader and a follower, and mends them later.
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

// TestReturnUndisturbed isolates a follower for long: its return must not cost the others their leader.
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

// TestPromise cuts the link between the leader and a follower: the third one, who hears both, must not vote.
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

// TestRestart restarts a replica after many changes: what it reads doesn't grow with them.
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
