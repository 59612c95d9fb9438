package runner

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/replicator"
)

// Limits and defaults of a runner.
const (
	MaxCommandBytes = 8 << 20

	queueLength             = 1024
	defaultSnapshotCommands = 10_000
	defaultSnapshotBytes    = 32 << 20
	trailingDivisor         = 10
)

// ErrClosed reports that the runner was closed before it accepted the request.
var ErrClosed = errors.New("the runner is closed")

// ErrNoTarget reports that no other replica can take over leadership.
var ErrNoTarget = errors.New("no other replica can take leadership")

// Transport sends messages between replicas; it may lose and duplicate them.
type Transport interface {
	// SetReceiver sets the function that receives the peers' messages; it is called before the first Send.
	SetReceiver(receive func(replicator.Message) error)
	// SetPeers replaces the addresses of all replicas, including this one; a joining replica starts with none.
	SetPeers(addrs map[uint64]string)
	// Send queues or drops a message without blocking.
	Send(m replicator.Message)
}

// Config holds the settings of a replica.
type Config struct {
	// ID is the replica's ID in the group; the ID of a removed replica can't be reused.
	ID uint64
	// Cluster is the name of the group, the same for all its replicas.
	Cluster string
	// DataFolder is the path of the data folder.
	DataFolder string
	// InitialMembers are the initial members of a new group, including this one; it is empty for a replica that joins a
	// running group by AddMember.
	InitialMembers []Member
	// ReplaceAfter and Voters are those of replicator.Config: 0 leaves the choice of voters to AddMember and RemoveMember.
	ReplaceAfter time.Duration
	Voters       int
	// HeartbeatInterval and ElectionTimeout, a minimum, take their defaults if 0.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
}

// Option configures a Runner.
type Option func(*Runner)

// WithFileSystem stores the data folder in fs.
func WithFileSystem(fs journaler.FileSystem) Option {
	return func(r *Runner) { r.fs = fs }
}

// WithObserver calls f after each change of leader, term, role, vote or membership, in the event loop; f must not block.
func WithObserver(f func(Status)) Option {
	return func(r *Runner) { r.observe = f }
}

// WithWriteObserver calls f with the time that each write to the journal took to be durable; f must not block.
func WithWriteObserver(f func(time.Duration)) Option {
	return func(r *Runner) { r.observeWrite = f }
}

// WithSnapshotEvery takes a snapshot after this many commands or bytes of journal, whichever comes first.
func WithSnapshotEvery(commands uint64, bytes int64) Option {
	return func(r *Runner) { r.snapshotCommands, r.snapshotBytes = commands, bytes }
}

// Runner runs one replica: it owns the journal and the state machine and exchanges messages through a transport.
type Runner struct {
	cfg              Config
	fs               journaler.FileSystem
	machine          StateMachine
	transport        Transport
	observe          func(Status)
	observeWrite     func(time.Duration)
	random           func() uint32
	snapshotCommands uint64
	snapshotBytes    int64

	rep                  *replicator.Replicator
	store                *store
	snapshotGeneration   uint64
	peersMembershipIndex uint64
	joiningAddrs         map[uint64]string
	// members is the membership at membershipIndex; it is replaced, never modified.
	members         []Member
	membershipIndex uint64

	pending          map[uint64]*proposal
	leadershipLostAt time.Time
	confirmingRead   *readRound
	queuedReads      []*readCall
	confirmedReads   []*readRound
	changes          []*change
	// writingSince is when the write in flight began; zero without one.
	writingSince time.Time

	proposals      chan *proposal
	readCalls      chan *readCall
	newChanges     chan *change
	inbox          chan replicator.Message
	writeJobs      chan writeJob
	finishedWrites chan writeJob
	closing        chan struct{}
	done           chan struct{}
	isClosing      atomic.Bool
	status         atomic.Pointer[Status]
	err            error
	wg             conc.WaitGroup
}

// New opens the data folder, restores machine from its snapshot and starts the replica.
func New(cfg Config, machine StateMachine, transport Transport, opts ...Option) (*Runner, error) {
	r, err := open(cfg, machine, transport, time.Now(), opts...)
	if err != nil {
		return nil, err
	}
	r.wg.Go(r.runWrites)
	r.wg.Go(r.run)
	return r, nil
}

// open is New without starting the goroutines.
func open(cfg Config, machine StateMachine, transport Transport, now time.Time, opts ...Option) (*Runner, error) {
	r := &Runner{
		cfg: cfg, fs: journaler.OSFileSystem{}, machine: machine, transport: transport, random: randomUint32,
		snapshotCommands: defaultSnapshotCommands, snapshotBytes: defaultSnapshotBytes,
		pending: map[uint64]*proposal{}, joiningAddrs: map[uint64]string{},
		proposals:      make(chan *proposal, queueLength),
		readCalls:      make(chan *readCall, queueLength),
		newChanges:     make(chan *change),
		inbox:          make(chan replicator.Message, queueLength),
		writeJobs:      make(chan writeJob, 1),
		finishedWrites: make(chan writeJob, 1),
		closing:        make(chan struct{}),
		done:           make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	journal, err := journaler.Open(r.fs, journaler.Config{
		Folder: cfg.DataFolder, Cluster: cfg.Cluster, Replica: cfg.ID, Random: r.random,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open data folder")
	}
	r.store = &store{journal: journal}
	if err := r.restore(now); err != nil {
		_ = journal.Close()
		return nil, err
	}
	r.publish(now)
	transport.SetReceiver(r.Receive)
	r.setPeers()
	return r, nil
}

func randomUint32() uint32 {
	var b [4]byte
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

func (r *Runner) restore(now time.Time) error {
	st, data, err := r.store.recover()
	if err != nil {
		return errors.Wrap(err, "read data folder")
	}
	if st.Snapshot.Index > 0 {
		if err := r.machine.Restore(data); err != nil {
			return errors.Wrapf(err, "restore snapshot of index %d", st.Snapshot.Index)
		}
	}
	r.snapshotGeneration = r.store.journal.Generation()
	var founders []replicator.Member
	for _, mb := range r.cfg.InitialMembers {
		founders = append(founders, replicator.Member{ID: mb.ID, Addr: mb.Addr})
	}
	r.rep, err = replicator.New(replicator.Config{
		ID: r.cfg.ID, Nonce: r.store.journal.Nonce(), Founders: founders,
		HeartbeatInterval: r.cfg.HeartbeatInterval, ElectionTimeout: r.cfg.ElectionTimeout, ReplaceAfter: r.cfg.ReplaceAfter, Voters: r.cfg.Voters,
		TrailingEntries: r.snapshotCommands / trailingDivisor,
		Rand:            rand.New(rand.NewPCG(uint64(r.random()), uint64(r.random()))),
	}, st, now)
	return err
}

// Receive queues a message from another replica; it returns a MessageError for a malformed one, ErrClosed once stopped.
func (r *Runner) Receive(m replicator.Message) error {
	if err := replicator.CheckMessage(m); err != nil {
		return err
	}
	select {
	case r.inbox <- m:
		return nil
	case <-r.done:
		return ErrClosed
	}
}

// Status returns the replica's latest view of the group.
func (r *Runner) Status() Status { return *r.status.Load() }

// Done returns a channel that is closed when the replica has stopped, by Close or by a failure.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica, once Done is closed; it is nil after Close.
func (r *Runner) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Close stops the replica and waits for its goroutines; commands in flight return an UncertainError.
func (r *Runner) Close() error {
	if r.isClosing.CompareAndSwap(false, true) {
		close(r.closing)
	}
	r.wg.Wait()
	return r.store.journal.Close()
}

// runWrites makes writes durable in order, outside of the event loop, so that a slow disk doesn't delay heartbeats.
func (r *Runner) runWrites() {
	for j := range r.writeJobs {
		start := time.Now()
		j = r.store.execute(j)
		if r.observeWrite != nil {
			r.observeWrite(time.Since(start))
		}
		r.finishedWrites <- j
	}
}

func (r *Runner) stopError() error {
	if err := r.Err(); err != nil {
		return err
	}
	return ErrClosed
}

// notLeaderError returns a NotLeaderError with the leader's ID and address as far as known.
func (r *Runner) notLeaderError() error {
	s := r.Status()
	e := &NotLeaderError{}
	if s.Leader != r.cfg.ID {
		e.Leader = s.Leader
	}
	for _, mb := range s.Members {
		if mb.ID == e.Leader {
			e.Addr = mb.Addr
		}
	}
	return e
}

// Propose replicates cmd and returns its result once it is committed and applied here, a NotLeaderError if it won't be
// committed, or an UncertainError if it may be.
func (r *Runner) Propose(ctx context.Context, cmd []byte) (Result, error) {
	if len(cmd) > MaxCommandBytes {
		return Result{}, errors.Errorf("command of %d bytes, at most %d", len(cmd), MaxCommandBytes)
	}
	p := &proposal{cmd: cmd, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return Result{}, ctx.Err()
	case <-r.done:
		return Result{}, r.stopError()
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		if p.claimed.CompareAndSwap(false, true) {
			return Result{}, ctx.Err()
		}
		return Result{}, &UncertainError{Index: p.index.Load(), Term: p.term.Load(), Err: ctx.Err()}
	case <-r.done:
		return r.lastOutcome(p)
	}
}

// lastOutcome returns the outcome of p after the event loop has ended.
func (r *Runner) lastOutcome(p *proposal) (Result, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
	}
	if p.claimed.CompareAndSwap(false, true) {
		return Result{}, r.stopError()
	}
	return Result{}, &UncertainError{Index: p.index.Load(), Term: p.term.Load(), Err: r.stopError()}
}

// ReadBarrier waits until a quorum has confirmed this replica as leader since the call and all entries committed before it
// are applied here, so that a read of the machine's state is linearizable; it returns a NotLeaderError on a follower.
func (r *Runner) ReadBarrier(ctx context.Context) error {
	c := &readCall{done: make(chan error, 1)}
	return submit(ctx, r, r.readCalls, c, c.done)
}

// submit sends request to the event loop and waits for the response.
func submit[T any](ctx context.Context, r *Runner, queue chan<- T, request T, response <-chan error) error {
	select {
	case queue <- request:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.stopError()
	}
	select {
	case err := <-response:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.stopError()
	}
}

// AddMember adds a replica that runs with an empty data folder and waits until it is a voter with all committed entries.
// With ReplaceAfter it waits only until the replica is a learner, which the leader makes a voter when the group needs one.
func (r *Runner) AddMember(ctx context.Context, mb Member) error {
	add := replicator.Member{ID: mb.ID, Addr: mb.Addr}
	return r.submitChange(ctx, &change{
		joining: mb,
		step:    func(now time.Time) (bool, error) { return r.rep.AddMember(now, add) },
		cancel:  func() { r.rep.CancelAdd(mb.ID) },
	})
}

// RemoveMember removes a replica from the group; its ID can't be reused.
func (r *Runner) RemoveMember(ctx context.Context, id uint64) error {
	return r.submitChange(ctx, &change{
		step: func(now time.Time) (bool, error) { return r.rep.RemoveMember(now, id) },
	})
}

// Transfer moves leadership to another replica, so that a shutdown costs no election timeout, or returns ErrNoTarget.
func (r *Runner) Transfer(ctx context.Context) error {
	return r.submitChange(ctx, &change{step: r.stepTransfer})
}

// Resign gives this replica's vote to a learner, so that the group tolerates as many losses without it as before. It
// returns once that is committed, or once it is known that no other learner responds; a leader transfers its leadership
// first. Call it before Close.
func (r *Runner) Resign(ctx context.Context) error {
	return r.submitChange(ctx, &change{step: r.stepResign})
}

func (r *Runner) submitChange(ctx context.Context, c *change) error {
	c.ctx, c.done = ctx, make(chan error, 1)
	return submit(ctx, r, r.newChanges, c, c.done)
}
