package runner

import (
	"container/heap"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/faulter"
	"redwingstage.org/coord/replicator"
)

// fastest and slowest are the bounds of the delay of a message or a sync.
const (
	fastest = 200 * time.Microsecond
	slowest = 3 * time.Millisecond
)

// weakness disables one safety mechanism at the interfaces of the code under test.
type weakness struct {
	voteSync  bool // votes aren't made durable
	sync      bool // the disk ignores syncs
	earlyAck  bool // writes are acknowledged before they are made
	nonce     bool // a new data folder gets the old one's nonce
	lease     bool // a leader counts as lease holder without a valid lease
	promise   bool // replicas vote although a leader's lease depends on them
	readRound bool // reads are served without a quorum's confirmation
	preVote   bool // every pre-vote is granted
	caughtUp  bool // learners acknowledge all committed entries without having them
}

// sim runs replicas in virtual time, with a lossy network and failing disks.
type sim struct {
	random  *rand.Rand
	weak    weakness
	now     time.Duration
	events  eventQueue
	seq     int
	nodes   []*simNode
	cuts    map[[2]uint64]bool
	loss    float64
	pad     int
	check   *checker
	onStep  func(step string, n *simNode)
	repair  []func(r *Runner) *change
	pending *change
}

type event struct {
	at  time.Duration
	seq int
	do  func()
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
	s        *sim
	id       uint64
	nonce    uint32
	founders []Member
	fs       *faulter.FileSystem
	rate     float64
	r        *Runner
	life     int
	frozen   bool
	backlog  []func()
	stalled  time.Duration
	machine  *simMachine
	written  uint64
	durable  uint64
	counts   bool
	err      error
	gone     bool
	asked    []simAsk
	commit   uint64
	applied  uint64
	memberAt uint64
	tickAt   time.Duration
}

// simAsk is a proposal or a read in flight.
type simAsk struct {
	id    uint64
	p     *proposal
	c     *call
	floor uint64
}

// simMachine keeps a hash over all applied commands.
type simMachine struct {
	n     *simNode
	index uint64
	hash  uint64
}

func (m *simMachine) Apply(index uint64, cmd []byte) []byte {
	m.index = index
	m.hash = m.hash*1099511628211 ^ binary.BigEndian.Uint64(cmd) ^ index<<40
	m.n.s.check.applied(m.n.id, index, binary.BigEndian.Uint64(cmd), m.hash)
	return nil
}

func (m *simMachine) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, m.index), m.hash)
	return append(b, make([]byte, m.n.s.pad)...), nil
}

func (m *simMachine) Restore(b []byte) error {
	m.index, m.hash = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	m.n.s.check.restored(m.n.id, m.index, m.hash)
	return nil
}

func newSim(seed uint64, size int, weak weakness) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 3)), weak: weak, cuts: map[[2]uint64]bool{},
		check: newChecker(), onStep: func(string, *simNode) {}, loss: 0.01,
	}
	var founders []Member
	for id := uint64(1); id <= uint64(size); id++ {
		founders = append(founders, Member{ID: id, Addr: "a"})
	}
	for _, mb := range founders {
		s.addNode(mb.ID, founders).start()
	}
	return s
}

func (s *sim) addNode(id uint64, founders []Member) *simNode {
	n := &simNode{s: s, id: id, founders: founders, rate: 0.97 + 0.06*s.random.Float64()}
	n.format()
	s.nodes = append(s.nodes, n)
	return n
}

func (n *simNode) format() {
	n.fs = faulter.New()
	if n.s.weak.sync {
		n.fs.IgnoreSync()
	}
	if n.nonce == 0 || !n.s.weak.nonce {
		n.nonce = n.s.random.Uint32() | 1
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.random.Int64N(int64(hi-lo)))
}

// run handles events until the virtual time end, until done or until a check fails.
func (s *sim) run(end time.Duration, done func() bool) {
	for len(s.events) > 0 && s.events[0].at <= end && !done() && s.check.err == nil {
		e := heap.Pop(&s.events).(event) //nolint:forcetypeassert // only events are pushed
		s.now = e.at
		e.do()
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
		if st.IsLeader(n.time()) || (s.weak.lease && st.Leader == n.id) {
			holders = append(holders, n.id)
		}
	}
	if len(holders) > 1 {
		s.check.failf("at %v the replicas %v hold leases", s.now, holders)
	}
}

// time is the replica's monotonic clock, which drifts by up to 3%.
func (n *simNode) time() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(n.s.now) * n.rate))
}

func (n *simNode) start() {
	if n.r != nil || n.gone {
		return
	}
	n.machine = &simMachine{n: n}
	n.life++
	n.err = nil
	n.asked, n.backlog, n.frozen, n.stalled = nil, nil, false, 0
	r, err := open(Config{
		ID: n.id, Cluster: "c", Folder: "/data", Members: n.founders,
	}, n.machine, n, n.time(), WithFileSystem(n.fs), WithSnapshotEvery(20, 1<<20), func(r *Runner) {
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
	n.drive(func(time.Time) {})
}

// drive runs one iteration of the Runner's event loop.
func (n *simNode) drive(do func(now time.Time)) {
	if n.r == nil {
		return
	}
	if n.frozen {
		life := n.life
		n.backlog = append(n.backlog, func() {
			if n.life == life {
				n.drive(do)
			}
		})
		return
	}
	now := n.time()
	do(now)
	n.r.rep.Tick(now)
	n.r.flush(now)
	if n.r.failure == nil {
		n.r.failure = n.r.rep.Err()
	}
	if n.r.failure != nil {
		n.fail(n.r.failure)
		return
	}
	n.observe()
	if n.r == nil || n.frozen {
		return
	}
	select {
	case j := <-n.r.jobs:
		n.persist(j)
	default:
	}
	n.schedule()
}

// fail stops a failed replica; it restarts unless its disk was lost.
func (n *simNode) fail(err error) {
	n.collect()
	n.err = err
	var lost *replicator.LostDiskError
	if errors.As(err, &lost) {
		n.r, n.gone = nil, true
		return
	}
	if !errors.Is(err, faulter.ErrKilled) && n.s.check.err == nil && !n.s.check.allowed(err) {
		n.s.check.failf("replica %d failed: %v", n.id, err)
	}
	n.kill()
	n.s.after(n.s.between(200*time.Millisecond, 2*time.Second), n.start)
}

// kill ends the process and drops unsynced data.
func (n *simNode) kill() {
	n.r = nil
	n.life++
	n.fs.Crash(n.s.random)
}

func (n *simNode) schedule() {
	if n.r == nil || n.frozen {
		return
	}
	at := time.Duration(float64(n.r.rep.Deadline().Sub(time.Unix(1000, 0)))/n.rate) + 1
	if at <= n.s.now {
		at = n.s.now + 1
	}
	if at == n.tickAt {
		return
	}
	n.tickAt = at
	life := n.life
	n.s.after(at-n.s.now, func() {
		if n.life == life && n.tickAt == at {
			n.tickAt = 0
			n.drive(func(time.Time) {})
		}
	})
}

// persist makes a write durable after a simulated disk delay.
func (n *simNode) persist(j job) {
	life := n.life
	n.jobSteps(j)
	if n.r == nil || n.life != life {
		return
	}
	if len(j.write.Entries) > 0 {
		n.written = j.write.Entries[len(j.write.Entries)-1].Index
	}
	d := n.s.between(fastest, slowest) + n.stalled
	write := func() { n.drive(func(now time.Time) { n.r.persisted(now, n.do(j)) }) }
	if n.s.weak.earlyAck {
		d = slowest
	}
	if n.s.weak.earlyAck && j.write.Snapshot == nil {
		n.s.after(1, func() {
			if n.life == life {
				n.drive(func(now time.Time) { n.r.persisted(now, j) })
			}
		})
		write = func() { n.do(j) }
	}
	n.s.after(d, func() {
		if n.life == life {
			write()
		}
	})
}

func (n *simNode) do(j job) job {
	w := j.write
	if n.s.weak.voteSync {
		forgetful := *w
		forgetful.Hard = replicator.HardState{}
		j.write = &forgetful
	}
	j = n.r.store.do(j)
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

// Attach implements Transport.
func (n *simNode) Attach(func(replicator.Message) error) {}

// SetPeers implements Transport.
func (n *simNode) SetPeers(map[uint64]string) {}

// Send implements Transport with loss, duplicates, delays and cut links.
func (n *simNode) Send(m replicator.Message) {
	s := n.s
	n.messageSteps(m)
	if m.Type == replicator.TypeTransfer && n.r.Status().IsLeader(n.time()) {
		s.check.failf("replica %d transfers leadership while its status shows a lease", n.id)
	}
	if (s.weak.preVote || s.weak.promise) && m.Type == replicator.TypePreVote {
		yes := replicator.Message{Type: replicator.TypePreVoteResponse, From: m.To, To: m.From, Term: m.Term}
		s.after(1, func() { n.drive(func(now time.Time) { n.r.step(now, yes) }) })
		return
	}
	if s.cuts[[2]uint64{m.From, m.To}] || s.random.Float64() < s.loss {
		return
	}
	m.Force = m.Force || (s.weak.promise && m.Type == replicator.TypeVote)
	if s.weak.caughtUp && m.Type == replicator.TypeAppendResponse && len(n.founders) == 0 {
		for _, lead := range s.nodes {
			if lead.id == m.To && lead.r != nil {
				m.Index, m.Reject = lead.r.rep.Commit(), false
			}
		}
	}
	copies := 1
	if s.random.Float64() < s.loss {
		copies = 2
	}
	for range copies {
		d := s.between(fastest, slowest)
		if s.random.Float64() < s.loss {
			d = s.between(0, 2*time.Second)
		}
		s.deliver(m, d)
	}
}

func (s *sim) deliver(m replicator.Message, d time.Duration) {
	s.after(d, func() {
		if s.cuts[[2]uint64{m.From, m.To}] {
			return
		}
		for _, n := range s.nodes {
			if n.id == m.To {
				if err := replicator.CheckMessage(m); err != nil {
					s.check.failf("%v", err)
				}
				n.drive(func(now time.Time) { n.r.step(now, m) })
			}
		}
	})
}

// load proposes and reads at every replica that claims to be leader.
func (s *sim) load() {
	for _, n := range s.nodes {
		if n.r == nil || n.r.Status().Leader != n.id {
			continue
		}
		if s.random.IntN(4) == 0 {
			a := simAsk{c: &call{done: make(chan error, 1)}, floor: s.check.acked}
			if s.weak.readRound {
				s.check.read(n.id, n.r.rep.Applied(), a.floor)
				continue
			}
			n.asked = append(n.asked, a)
			n.drive(func(time.Time) { n.r.asked = append(n.r.asked, a.c) })
			continue
		}
		a := simAsk{id: s.check.propose(), p: &proposal{done: make(chan outcome, 1)}}
		a.p.cmd = binary.BigEndian.AppendUint64(nil, a.id)
		n.asked = append(n.asked, a)
		n.drive(func(now time.Time) { n.r.propose(now, a.p) })
	}
	s.after(s.between(30*time.Millisecond, 90*time.Millisecond), s.load)
}

// operate starts the next repair at a leader once the last one is done.
func (s *sim) operate() {
	s.after(200*time.Millisecond, s.operate)
	if s.pending != nil {
		select {
		case err := <-s.pending.done:
			s.pending = nil
			if err == nil {
				s.repair = s.repair[1:]
			}
		default:
		}
	}
	if len(s.repair) == 0 {
		return
	}
	for _, n := range s.nodes {
		if n.r == nil || n.frozen || n.r.Status().Leader != n.id || len(n.r.changes) > 0 {
			continue
		}
		c := s.repair[0](n.r)
		c.ctx, c.done = context.Background(), make(chan error, 1)
		s.pending = c
		n.drive(func(time.Time) { n.r.changes = append(n.r.changes, c) })
		return
	}
}

// collect passes the outcomes of proposals and reads to the checker.
func (n *simNode) collect() {
	n.asked = slices.DeleteFunc(n.asked, func(a simAsk) bool {
		if a.c != nil {
			select {
			case err := <-a.c.done:
				if err == nil {
					n.s.check.read(n.id, n.r.rep.Applied(), a.floor)
				}
				return true
			default:
				return false
			}
		}
		select {
		case o := <-a.p.done:
			n.s.check.outcome(a.id, o)
			return true
		default:
			return false
		}
	})
}
