package runner

import (
	"container/heap"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/faulter"
	"redwingstage.org/coord/replicator"
)

// minDelay and maxDelay bound the delay of a message or a sync.
const (
	minDelay = 200 * time.Microsecond
	maxDelay = 3 * time.Millisecond
)

// mutation disables one safety mechanism at the interfaces of the code under test.
type mutation struct {
	skipVoteSync      bool // votes aren't made durable
	ignoreSync        bool // the disk ignores syncs
	ackBeforeWrite    bool // writes are acknowledged before they are made
	reuseNonce        bool // a new data folder gets the old one's nonce
	ignoreLeaseEnd    bool // a leader counts as lease holder without a valid lease
	voteDuringLease   bool // replicas vote although a leader's lease depends on them
	skipReadQuorum    bool // reads are served without a quorum's confirmation
	grantPreVotes     bool // every pre-vote is granted
	ackMissingEntries bool // learners acknowledge all committed entries without having them
}

// sim runs replicas in virtual time, with a lossy network and failing disks.
type sim struct {
	random           *rand.Rand
	mutation         mutation
	now              time.Duration
	events           eventQueue
	seq              int
	nodes            []*simNode
	cuts             map[[2]uint64]bool
	lossRate         float64
	snapshotPadBytes int
	// snapshotEvery is the number of commands between snapshots.
	snapshotEvery uint64
	// syncTime is added to the time of each write, on all disks.
	syncTime time.Duration
	// timing has the intervals of all replicas, the defaults where 0.
	timing       Config
	check        *checker
	onStep       func(step string, n *simNode)
	repairs      []func(r *Runner) *change
	activeRepair *change
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// simNode is one replica with its own disk and clock; r is nil while it is down.
type simNode struct {
	s               *sim
	id              uint64
	nonce           uint32
	founders        []Member
	fs              *faulter.FileSystem
	clockRate       float64
	r               *Runner
	incarnation     int
	isSuspended     bool
	delayedEvents   []func()
	diskStall       time.Duration
	machine         *simMachine
	written         uint64
	durable         uint64
	isPromoted      bool
	err             error
	isRefused       bool
	requests        []simRequest
	commit          uint64
	applied         uint64
	membershipIndex uint64
	tickAt          time.Duration
}

// simRequest is a proposal or a read in flight.
type simRequest struct {
	id          uint64
	proposal    *proposal
	read        *readCall
	ackedBefore uint64
}

// simMachine keeps a hash over all applied commands.
type simMachine struct {
	n     *simNode
	index uint64
	hash  uint64
}

func (m *simMachine) Apply(index uint64, cmd []byte) ([]byte, error) {
	m.index = index
	m.hash = m.hash*1099511628211 ^ binary.BigEndian.Uint64(cmd) ^ index<<40
	m.n.s.check.checkApplied(m.n.id, index, binary.BigEndian.Uint64(cmd), m.hash)
	return nil, nil
}

func (m *simMachine) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, m.index), m.hash)
	return append(b, make([]byte, m.n.s.snapshotPadBytes)...), nil
}

func (m *simMachine) Restore(b []byte) error {
	m.index, m.hash = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	m.n.s.check.checkRestored(m.n.id, m.index, m.hash)
	return nil
}

func newSim(seed uint64, size int, mutation mutation, prepare ...func(s *sim)) *sim {
	return newTimedSim(seed, size, mutation, Config{}, prepare...)
}

// newTimedSim starts a group; prepare is called before the first replica starts.
func newTimedSim(seed uint64, size int, mutation mutation, timing Config, prepare ...func(s *sim)) *sim {
	s := &sim{
		timing: timing,
		random: rand.New(rand.NewPCG(seed, 3)), mutation: mutation, cuts: map[[2]uint64]bool{},
		check: newChecker(), onStep: func(string, *simNode) {}, lossRate: 0.01, snapshotEvery: 20,
	}
	for _, f := range prepare {
		f(s)
	}
	var founders []Member
	for id := uint64(1); id <= uint64(size); id++ {
		founders = append(founders, Member{ID: id, Addr: fmt.Sprint(id)})
	}
	for _, mb := range founders {
		s.addNode(mb.ID, founders).start()
	}
	return s
}

func (s *sim) addNode(id uint64, founders []Member) *simNode {
	n := &simNode{s: s, id: id, founders: founders, clockRate: 0.97 + 0.06*s.random.Float64()}
	n.formatDisk()
	s.nodes = append(s.nodes, n)
	return n
}

func (n *simNode) formatDisk() {
	n.fs = faulter.New()
	if n.s.mutation.ignoreSync {
		n.fs.IgnoreSync()
	}
	if n.nonce == 0 || !n.s.mutation.reuseNonce {
		n.nonce = n.s.random.Uint32() | 1
	}
}

func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: f})
}

func (s *sim) randomBetween(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.random.Int64N(int64(hi-lo)))
}

// run handles events until the virtual time end, until done or until a check fails.
func (s *sim) run(end time.Duration, done func() bool) {
	for len(s.events) > 0 && s.events[0].at <= end && !done() && s.check.err == nil {
		e := heap.Pop(&s.events).(event) //nolint:forcetypeassert // only events are pushed
		s.now = e.at
		e.run()
		s.checkLeases()
	}
}

func (s *sim) checkLeases() {
	var holders []uint64
	for _, n := range s.nodes {
		if n.r == nil {
			continue
		}
		st := n.r.Status()
		if st.IsLeader(n.time()) || (s.mutation.ignoreLeaseEnd && st.Leader == n.id) {
			holders = append(holders, n.id)
		}
	}
	if len(holders) > 1 {
		s.check.failf("at %v the replicas %v hold leases", s.now, holders)
	}
}

// time is the replica's monotonic clock, which drifts by up to 3%.
func (n *simNode) time() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(n.s.now) * n.clockRate))
}

func (n *simNode) start() {
	if n.r != nil || n.isRefused {
		return
	}
	n.machine = &simMachine{n: n}
	n.incarnation++
	n.err = nil
	n.requests, n.delayedEvents, n.isSuspended, n.diskStall = nil, nil, false, 0
	r, err := open(Config{
		ID: n.id, Cluster: "c", DataFolder: "/data", InitialMembers: n.founders,
		HeartbeatInterval: n.s.timing.HeartbeatInterval, ElectionTimeout: n.s.timing.ElectionTimeout, ReplaceAfter: n.s.timing.ReplaceAfter,
		Voters: n.s.timing.Voters,
	}, n.machine, n, n.time(), WithFileSystem(n.fs), WithSnapshotEvery(n.s.snapshotEvery, 1<<20), func(r *Runner) {
		// A new folder draws two random numbers; the nonce is the second one.
		r.random = func() uint32 { return n.s.random.Uint32() }
		if len(n.fs.Trace()) == 0 {
			r.random = func() uint32 { return n.nonce }
		}
	})
	if err != nil {
		n.fail(err)
		return
	}
	n.r = r
	n.written = n.r.rep.Applied()
	n.commit, n.applied = n.r.rep.Commit(), n.r.rep.Applied()
	n.loopOnce(func(time.Time) {})
}

// loopOnce runs one iteration of the Runner's event loop.
func (n *simNode) loopOnce(f func(now time.Time)) {
	if n.r == nil {
		return
	}
	if n.isSuspended {
		incarnation := n.incarnation
		n.delayedEvents = append(n.delayedEvents, func() {
			if n.incarnation == incarnation {
				n.loopOnce(f)
			}
		})
		return
	}
	now := n.time()
	f(now)
	n.r.rep.Tick(now)
	n.r.flush(now)
	if n.r.err == nil {
		n.r.err = n.r.rep.Err()
	}
	if n.r.err != nil {
		n.fail(n.r.err)
		return
	}
	n.reportSteps()
	if n.r == nil || n.isSuspended {
		return
	}
	select {
	case j := <-n.r.writeJobs:
		n.scheduleWrite(j)
	default:
	}
	n.scheduleTick()
}

// fail stops a failed replica; it restarts unless the group refuses it after a disk loss.
func (n *simNode) fail(err error) {
	n.collectOutcomes()
	n.err = err
	var lost *replicator.LostDiskError
	if errors.As(err, &lost) {
		n.r, n.isRefused = nil, true
		return
	}
	if !errors.Is(err, faulter.ErrKilled) && n.s.check.err == nil && !n.s.check.isInjected(err) {
		n.s.check.failf("replica %d failed: %v", n.id, err)
	}
	n.kill()
	n.s.schedule(n.s.randomBetween(200*time.Millisecond, 2*time.Second), n.start)
}

// kill ends the process and drops unsynced data.
func (n *simNode) kill() {
	n.r = nil
	n.incarnation++
	n.fs.Crash(n.s.random)
}

func (n *simNode) scheduleTick() {
	if n.r == nil || n.isSuspended {
		return
	}
	at := time.Duration(float64(n.r.rep.Deadline().Sub(time.Unix(1000, 0)))/n.clockRate) + 1
	if at <= n.s.now {
		at = n.s.now + 1
	}
	if at == n.tickAt {
		return
	}
	n.tickAt = at
	incarnation := n.incarnation
	n.s.schedule(at-n.s.now, func() {
		if n.incarnation == incarnation && n.tickAt == at {
			n.tickAt = 0
			n.loopOnce(func(time.Time) {})
		}
	})
}

// scheduleWrite schedules a write to become durable after a simulated disk delay.
func (n *simNode) scheduleWrite(j writeJob) {
	incarnation := n.incarnation
	n.reportWriteStep(j)
	if n.r == nil || n.incarnation != incarnation {
		return
	}
	if len(j.write.Entries) > 0 {
		n.written = j.write.Entries[len(j.write.Entries)-1].Index
	}
	delay := n.s.randomBetween(minDelay, maxDelay) + n.s.syncTime + n.diskStall
	write := func() { n.loopOnce(func(now time.Time) { n.r.persisted(now, n.executeWrite(j)) }) }
	if n.s.mutation.ackBeforeWrite {
		delay = maxDelay
	}
	if n.s.mutation.ackBeforeWrite && j.write.Snapshot == nil {
		n.s.schedule(1, func() {
			if n.incarnation == incarnation {
				n.loopOnce(func(now time.Time) { n.r.persisted(now, j) })
			}
		})
		write = func() { n.executeWrite(j) }
	}
	n.s.schedule(delay, func() {
		if n.incarnation == incarnation {
			write()
		}
	})
}

func (n *simNode) executeWrite(j writeJob) writeJob {
	w := j.write
	if n.s.mutation.skipVoteSync {
		withoutVote := *w
		withoutVote.HardState = replicator.HardState{}
		j.write = &withoutVote
	}
	j = n.r.store.execute(j)
	j.write = w
	switch {
	case j.err != nil:
	case len(w.Entries) > 0:
		n.durable = w.Entries[len(w.Entries)-1].Index
	case w.Snapshot != nil:
		n.durable = max(n.durable, w.Snapshot.Index)
	}
	return j
}

// SetReceiver implements Transport.
func (n *simNode) SetReceiver(func(replicator.Message) error) {}

// SetPeers implements Transport.
func (n *simNode) SetPeers(map[uint64]string) {}

// Send implements Transport with loss, duplicates, delays and cut links.
func (n *simNode) Send(m replicator.Message) {
	s := n.s
	n.reportMessageStep(m)
	if m.Type == replicator.TypeTransfer && n.r.Status().IsLeader(n.time()) {
		s.check.failf("replica %d transfers leadership while its status shows a lease", n.id)
	}
	if (s.mutation.grantPreVotes || s.mutation.voteDuringLease) && m.Type == replicator.TypePreVote {
		granted := replicator.Message{Type: replicator.TypePreVoteResponse, From: m.To, To: m.From, Term: m.Term}
		s.schedule(1, func() { n.loopOnce(func(now time.Time) { n.r.step(now, granted) }) })
		return
	}
	if s.cuts[[2]uint64{m.From, m.To}] || s.random.Float64() < s.lossRate {
		return
	}
	m.ForceVote = m.ForceVote || (s.mutation.voteDuringLease && m.Type == replicator.TypeVote)
	if s.mutation.ackMissingEntries && m.Type == replicator.TypeAppendResponse && len(n.founders) == 0 {
		for _, other := range s.nodes {
			if other.id == m.To && other.r != nil {
				m.Index, m.Reject = other.r.rep.Commit(), false
			}
		}
	}
	copies := 1
	if s.random.Float64() < s.lossRate {
		copies = 2
	}
	for range copies {
		delay := s.randomBetween(minDelay, maxDelay)
		if s.random.Float64() < s.lossRate {
			delay = s.randomBetween(0, 2*time.Second)
		}
		s.deliver(m, delay)
	}
}

func (s *sim) deliver(m replicator.Message, delay time.Duration) {
	s.schedule(delay, func() {
		if s.cuts[[2]uint64{m.From, m.To}] {
			return
		}
		for _, n := range s.nodes {
			if n.id == m.To {
				if err := replicator.CheckMessage(m); err != nil {
					s.check.failf("%v", err)
				}
				n.loopOnce(func(now time.Time) { n.r.step(now, m) })
			}
		}
	})
}

// runLoad proposes and reads at every replica that claims to be leader.
func (s *sim) runLoad() {
	for _, n := range s.nodes {
		if n.r == nil || n.r.Status().Leader != n.id {
			continue
		}
		if s.random.IntN(4) == 0 {
			req := simRequest{read: &readCall{done: make(chan error, 1)}, ackedBefore: s.check.ackedIndex}
			if s.mutation.skipReadQuorum {
				s.check.checkRead(n.id, n.r.rep.Applied(), req.ackedBefore)
				continue
			}
			n.requests = append(n.requests, req)
			n.loopOnce(func(time.Time) { n.r.queuedReads = append(n.r.queuedReads, req.read) })
			continue
		}
		req := simRequest{id: s.check.nextID(), proposal: &proposal{done: make(chan outcome, 1)}}
		req.proposal.cmd = binary.BigEndian.AppendUint64(nil, req.id)
		n.requests = append(n.requests, req)
		n.loopOnce(func(now time.Time) { n.r.propose(now, req.proposal) })
	}
	s.schedule(s.randomBetween(30*time.Millisecond, 90*time.Millisecond), s.runLoad)
}

// runRepairs starts the next repair at a leader once the last one is done.
func (s *sim) runRepairs() {
	s.schedule(200*time.Millisecond, s.runRepairs)
	if s.activeRepair != nil {
		select {
		case err := <-s.activeRepair.done:
			s.activeRepair = nil
			if err == nil {
				s.repairs = s.repairs[1:]
			}
		default:
		}
	}
	if len(s.repairs) == 0 {
		return
	}
	for _, n := range s.nodes {
		if n.r == nil || n.isSuspended || n.r.Status().Leader != n.id || len(n.r.changes) > 0 {
			continue
		}
		c := s.repairs[0](n.r)
		c.ctx, c.done = context.Background(), make(chan error, 1)
		s.activeRepair = c
		n.loopOnce(func(time.Time) { n.r.changes = append(n.r.changes, c) })
		return
	}
}

// collectOutcomes passes the outcomes of proposals and reads to the checker.
func (n *simNode) collectOutcomes() {
	n.requests = slices.DeleteFunc(n.requests, func(req simRequest) bool {
		if req.read != nil {
			select {
			case err := <-req.read.done:
				if err == nil {
					n.s.check.checkRead(n.id, n.r.rep.Applied(), req.ackedBefore)
				}
				return true
			default:
				return false
			}
		}
		select {
		case o := <-req.proposal.done:
			n.s.check.checkOutcome(req.id, o)
			return true
		default:
			return false
		}
	})
}
