package runner

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/faulter"
	"redwingstage.org/coord/lister"
	"redwingstage.org/coord/replicator"
)

const (
	seeds    = 16
	chaosEnd = 9 * time.Second
	healEnd  = 40 * time.Second
	outage   = 4 * time.Second
)

// observe reports the steps that are visible in the replica's state, and its leadership.
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
	case w.FromLeader:
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

// messageSteps reports a message's step after the event that caused the message.
func (n *simNode) messageSteps(m replicator.Message) {
	name := map[replicator.Type]string{
		replicator.TypeHello: "found", replicator.TypeSnapshot: "piece", replicator.TypeTransfer: "transfer",
	}[m.Type]
	if name != "" {
		n.s.after(0, func() { n.s.onStep(name, n) })
	}
}

// checkPromotion checks that a learner has all committed entries when it becomes a voter.
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
				n.s.check.failf("replica %d became a voter with a log up to %d after %d was committed", other.id, other.durable, n.commit)
			}
		}
	}
}

// steps maps each step at which a fault is injected to the bound of how often it is passed before the fault.
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
	"stall": func(s *sim, n *simNode) {
		n.stalled = s.between(time.Millisecond, 2*outage)
		s.after(n.stalled, func() { n.stalled = 0 })
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

// cutLink cuts one direction of the link between two replicas.
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

// wipe loses a disk: the replica restarts under its old ID, and repairs replace it by a new one.
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

// wipeTwo loses a second disk right after the repair of the first one.
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

// prologue isolates a leader, so that its uncommitted entries are replaced and it lags behind the snapshots, and then
// transfers leadership.
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

// runFault runs one seed of a matrix cell and returns whether the step was reached, and the failed check, if any.
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

// heal ends all faults and checks that the group makes progress and every member applies all acknowledged commands.
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
		s.check.failf("no progress until %v after all faults have ended, %d repairs pending", healEnd, len(s.repair))
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

// cells returns the sorted cells of the fault matrix as subtest names.
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
	var want []lister.Cell
	for _, name := range cells() {
		step, fault, _ := strings.Cut(name, "/")
		want = append(want, lister.Cell{
			Rule: 8, Step: step, Fault: fault, Test: "TestFaults/" + strings.ReplaceAll(name, " ", "_"),
			Package: "redwingstage.org/coord/runner", Seeds: seeds,
		})
	}
	lister.Check(t, want)
}
