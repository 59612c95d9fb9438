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
	seeds       = 16
	faultsEnd   = 9 * time.Second
	recoveryEnd = 40 * time.Second
	outage      = 4 * time.Second
)

// reportSteps reports the steps that are visible in the replica's state, and its leadership.
func (n *simNode) reportSteps() {
	n.collectOutcomes()
	st := n.r.Status()
	if st.Leader == n.id {
		n.s.check.checkLeader(st.Term, n.id, n.incarnation)
	}
	step := func(name string, old *uint64, now uint64) {
		changed := now > *old
		*old = now
		if changed && n.r != nil && !n.isSuspended {
			n.s.onStep(name, n)
		}
	}
	_, membershipIndex := n.r.rep.Membership()
	commit, applied := n.r.rep.Commit(), n.r.rep.Applied()
	reading := n.r.confirmingRead != nil
	n.checkPromotion(membershipIndex)
	step("commit", &n.commit, commit)
	step("apply", &n.applied, applied)
	step("change", &n.membershipIndex, membershipIndex)
	if reading && n.r != nil && !n.isSuspended {
		n.s.onStep("read", n)
	}
}

func (n *simNode) reportWriteStep(j writeJob) {
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
	case w.HardState.Vote != 0:
		s.onStep("vote", n)
	}
}

// reportMessageStep reports a message's step after the event that caused the message.
func (n *simNode) reportMessageStep(m replicator.Message) {
	name := map[replicator.Type]string{
		replicator.TypeHello: "bootstrap", replicator.TypeSnapshot: "chunk", replicator.TypeTransfer: "transfer",
	}[m.Type]
	if name != "" {
		n.s.schedule(0, func() { n.s.onStep(name, n) })
	}
}

// checkPromotion checks that a learner has all committed entries when it becomes a voter.
func (n *simNode) checkPromotion(membershipIndex uint64) {
	m, _ := n.r.rep.Membership()
	if membershipIndex == n.membershipIndex || n.r.Status().Leader != n.id {
		return
	}
	for _, other := range n.s.nodes {
		mb, ok := m.Find(other.id)
		if ok && !mb.Learner && other.founders == nil && !other.isPromoted {
			other.isPromoted = true
			if other.durable < n.commit {
				n.s.check.failf("replica %d became a voter with a log up to %d after %d was committed", other.id, other.durable, n.commit)
			}
		}
	}
}

// steps maps each step at which a fault is injected to the bound of how often it is passed before the fault.
var steps = map[string]int{
	"append": 60, "vote": 3, "commit": 60, "apply": 60, "snapshot": 8, "truncate": 1, "install": 1, "chunk": 2,
	"change": 4, "transfer": 1, "read": 20, "bootstrap": 4,
}

var faults = map[string]func(s *sim, n *simNode){
	"kill":          func(s *sim, n *simNode) { s.crash(n, outage/4) },
	"kill in write": func(s *sim, n *simNode) { n.fs.FailAt(1+s.random.IntN(6), faulter.ProcessKill) },
	"full":          func(s *sim, n *simNode) { n.fs.FailAt(1+s.random.IntN(3), faulter.DiskFull) },
	"unsynced":      func(s *sim, n *simNode) { n.fs.FailAt(1+s.random.IntN(6), faulter.FailedSync) },
	"suspend":       (*sim).suspend,
	"cut in":        func(s *sim, n *simNode) { s.cutRandomly(n, true, false, outage) },
	"cut out":       func(s *sim, n *simNode) { s.cutRandomly(n, false, true, outage) },
	"isolate":       func(s *sim, n *simNode) { s.cutRandomly(n, true, true, 2*outage) },
	"cut link":      (*sim).cutLink,
	"lossy": func(s *sim, _ *simNode) {
		s.lossRate = 0.25
		s.schedule(outage, func() { s.lossRate = 0.01 })
	},
	"kill all": func(s *sim, _ *simNode) {
		for _, n := range s.nodes {
			s.crash(n, outage/2)
		}
	},
	"stall": func(s *sim, n *simNode) {
		n.diskStall = s.randomBetween(time.Millisecond, 2*outage)
		s.schedule(n.diskStall, func() { n.diskStall = 0 })
	},
	"wipe":     func(s *sim, n *simNode) { s.wipeDisk(n) },
	"wipe two": (*sim).wipeTwoDisks,
}

func (s *sim) crash(n *simNode, maxDowntime time.Duration) {
	if n.r == nil {
		return
	}
	n.kill()
	s.schedule(s.randomBetween(time.Millisecond, maxDowntime), n.start)
}

func (s *sim) suspend(n *simNode) {
	if n.r == nil || n.isSuspended {
		return
	}
	n.isSuspended = true
	incarnation := n.incarnation
	s.schedule(s.randomBetween(time.Millisecond, outage), func() {
		if n.incarnation != incarnation {
			return
		}
		n.isSuspended = false
		events := n.delayedEvents
		n.delayedEvents = nil
		for _, f := range events {
			f()
		}
		n.loopOnce(func(time.Time) {})
	})
}

// cutLink cuts one direction of the link between two replicas.
func (s *sim) cutLink(n *simNode) {
	other := s.nodes[s.random.IntN(len(s.nodes))]
	pair := [2]uint64{other.id, n.id}
	s.cuts[pair] = true
	s.schedule(s.randomBetween(time.Millisecond, 2*outage), func() { delete(s.cuts, pair) })
}

func (s *sim) cutRandomly(n *simNode, in, out bool, maxDuration time.Duration) {
	s.cutFor(n, in, out, s.randomBetween(time.Millisecond, maxDuration))
}

func (s *sim) cutFor(n *simNode, in, out bool, d time.Duration) {
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		for pair, on := range map[[2]uint64]bool{{other.id, n.id}: in, {n.id, other.id}: out} {
			if on {
				s.cuts[pair] = true
				s.schedule(d, func() { delete(s.cuts, pair) })
			}
		}
	}
}

// wipeDisk loses a disk: the replica restarts under its old ID, and repairs replace it by a new one.
func (s *sim) wipeDisk(n *simNode) {
	if n.r == nil || n.isRefused {
		return
	}
	n.kill()
	n.formatDisk()
	s.schedule(s.randomBetween(time.Millisecond, time.Second), n.start)
	replacement := s.addNode(uint64(10+len(s.nodes)), nil)
	replacement.start()
	s.repairs = append(
		s.repairs,
		func(r *Runner) *change {
			return &change{step: func(now time.Time) (bool, error) { return r.rep.RemoveMember(now, n.id) }}
		},
		func(r *Runner) *change {
			return &change{step: func(now time.Time) (bool, error) {
				return r.rep.AddMember(now, replicator.Member{ID: replacement.id, Addr: "a"})
			}}
		})
}

// wipeTwoDisks loses a second disk right after the repair of the first one.
func (s *sim) wipeTwoDisks(n *simNode) {
	if n.r == nil || n.isRefused {
		return
	}
	s.wipeDisk(n)
	replacement := s.nodes[len(s.nodes)-1]
	var wipeNext func()
	wipeNext = func() {
		if len(s.repairs) > 0 {
			s.schedule(time.Millisecond, wipeNext)
			return
		}
		for _, other := range s.nodes {
			if other != n && other != replacement && other.r != nil {
				s.wipeDisk(other)
				return
			}
		}
	}
	wipeNext()
}

// scheduleDisruptions isolates a leader, so that its uncommitted entries are replaced and it lags behind the snapshots.
func (s *sim) scheduleDisruptions() {
	s.schedule(s.randomBetween(1500*time.Millisecond, 2500*time.Millisecond), func() {
		for _, n := range s.nodes {
			if n.r != nil && n.r.Status().Leader == n.id {
				s.cutFor(n, true, true, s.randomBetween(outage, outage+outage/2))
				return
			}
		}
	})
	s.schedule(2*outage, func() {
		s.repairs = append(s.repairs, func(r *Runner) *change { return &change{step: r.stepTransfer} })
	})
}

// runFault runs one seed of a matrix cell and returns whether the step was reached, and the failed check, if any.
func runFault(step, fault string, seed uint64, mutation mutation) (bool, error) {
	size := 3
	if seed%4 == 3 {
		size = 5
	}
	s := newSim(seed, size, mutation, func(s *sim) {
		if step == "truncate" {
			// A replica that returns gets entries instead of a snapshot.
			s.snapshotEvery = 200
		}
	})
	if seed%16 == 1 && (step == "chunk" || step == "install") {
		s.snapshotPadBytes = 600 << 10
	}
	reached, skip := false, s.random.IntN(steps[step])
	s.onStep = func(name string, n *simNode) {
		if name != step || reached || s.now >= faultsEnd {
			return
		}
		if skip--; skip < 0 {
			reached = true
			faults[fault](s, n)
		}
	}
	s.runLoad()
	s.runRepairs()
	s.scheduleDisruptions()
	s.run(faultsEnd, func() bool { return false })
	s.recoverAndCheck()
	return reached, s.check.err
}

// recoverAndCheck ends all faults and checks that the group makes progress and all members apply what was acknowledged.
func (s *sim) recoverAndCheck() {
	s.cuts, s.lossRate = map[[2]uint64]bool{}, 0
	for _, n := range s.nodes {
		n.start()
	}
	settledAt, target := s.now+outage/4, uint64(0)
	s.run(recoveryEnd, func() bool {
		if target == 0 && s.now >= settledAt && len(s.repairs) == 0 {
			target = s.check.ackedIndex + 1
		}
		return target > 0 && s.check.ackedIndex >= target && s.allApplied(target)
	})
	if s.check.err != nil {
		return
	}
	if target == 0 || s.check.ackedIndex < target || !s.allApplied(target) {
		s.check.failf("no progress until %v after all faults have ended, %d repairs pending", recoveryEnd, len(s.repairs))
		for _, n := range s.nodes {
			if n.r != nil {
				s.check.err = errors.Errorf("%v; %v", s.check.err, n.r.rep)
			}
		}
	}
	for _, n := range s.nodes {
		if n.r != nil && n.isMember() {
			s.check.checkFinalState(n.machine)
		}
	}
}

func (n *simNode) isMember() bool {
	m, _ := n.r.rep.Membership()
	_, ok := m.Find(n.id)
	return ok
}

func (s *sim) allApplied(index uint64) bool {
	for _, n := range s.nodes {
		if n.r == nil && !n.isRefused {
			return false
		}
		if n.r != nil && n.isMember() && n.r.rep.Applied() < max(index, s.check.ackedIndex) {
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
			reachedRuns := 0
			for seed := range uint64(seeds) {
				reached, err := runFault(step, fault, seed, mutation{})
				qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
				if reached {
					reachedRuns++
				}
			}
			qt.Assert(t, reachedRuns >= seeds/4, qt.IsTrue, qt.Commentf("reached by %d of %d seeds", reachedRuns, seeds))
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
