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

	queueLength          = 1024
	defaultSnapshotEvery = 10_000
	defaultSnapshotBytes = 32 << 20
	trailingShare        = 10
)

// ErrClosed says that the runner was closed before it took what was asked for.
var ErrClosed = errors.New("the runner is closed")

// ErrNoTarget says that no other replica could take leadership.
var ErrNoTarget = errors.New("no other replica can take leadership")

// Transport carries messages between replicas; lost and repeated ones do no harm.
type Transport interface {
	// Attach hands over the receiver of the peers' messages, before the first Send.
	Attach(receive func(replicator.Message) error)
	// SetPeers replaces the addresses of all replicas, this one's included; a replica that joins knows none at first.
	SetPeers(addrs map[uint64]string)
	// Send queues a message without blocking, or drops it.
	Send(m replicator.Message)
}

// Config names a replica, its group and its data folder.
type Config struct {
	// ID is the replica's number in the group; it is never used again once it was removed.
	ID uint64
	// Cluster must be the same for all replicas of the group.
	Cluster string
	// Folder is the data folder.
	Folder string
	// Members are all first replicas of a new group, this one included; a replica that joins a running group by
	// AddMember has none.
	Members []Member
	// Heartbeat and Election are the leader's interval and the silence after which it is replaced.
	Heartbeat time.Duration
	Election  time.Duration
}

// Option changes how a Runner works.
type Option func(*Runner)

// WithFileSystem keeps the data folder in fs.
func WithFileSystem(fs journaler.FileSystem) Option {
	return func(r *Runner) { r.fs = fs }
}

// WithObserver calls f after each change of leader, term or membership, from the runner's goroutine; f must not block.
func WithObserver(f func(Status)) Option {
	return func(r *Runner) { r.observe = f }
}

// WithSnapshotEvery takes a snapshot after so many commands or so many bytes of journal.
func WithSnapshotEvery(commands uint64, bytes int64) Option {
	return func(r *Runner) { r.snapEvery, r.snapBytes = commands, bytes }
}

// Runner runs one replica: it owns the journal and the state machine, and talks to the others through a transport.
type Runner struct {
	cfg       Config
	fs        journaler.FileSystem
	machine   Machine
	transport Transport
	observe   func(Status)
	random    func() uint32
	snapEvery uint64
	snapBytes int64

	rep     *replicator.Replicator
	store   *store
	snapGen uint64
	addrs   uint64
	extra   map[uint64]string
	// members is the public form of the membership of memberAt; it is replaced, never changed.
	members  []Member
	memberAt uint64

	waiters  map[uint64]*proposal
	lostAt   time.Time
	reading  *readRound
	asked    []*call
	applying []*readRound
	changes  []*change

	proposals chan *proposal
	confirms  chan *call
	changeIn  chan *change
	inbox     chan replicator.Message
	jobs      chan job
	written   chan job
	closing   chan struct{}
	done      chan struct{}
	isClosing atomic.Bool
	status    atomic.Pointer[Status]
	failure   error
	wg        conc.WaitGroup
}

// New opens the data folder, restores machine from it and starts the replica.
func New(cfg Config, machine Machine, transport Transport, opts ...Option) (*Runner, error) {
	r, err := open(cfg, machine, transport, time.Now(), opts...)
	if err != nil {
		return nil, err
	}
	r.wg.Go(r.write)
	r.wg.Go(r.run)
	return r, nil
}

// open does all of New but to start the goroutines.
func open(cfg Config, machine Machine, transport Transport, now time.Time, opts ...Option) (*Runner, error) {
	r := &Runner{
		cfg: cfg, fs: journaler.Disk{}, machine: machine, transport: transport, random: randomUint32,
		snapEvery: defaultSnapshotEvery, snapBytes: defaultSnapshotBytes,
		waiters: map[uint64]*proposal{}, extra: map[uint64]string{},
		proposals: make(chan *proposal, queueLength),
		confirms:  make(chan *call, queueLength),
		changeIn:  make(chan *change),
		inbox:     make(chan replicator.Message, queueLength),
		jobs:      make(chan job, 1),
		written:   make(chan job, 1),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	journal, err := journaler.Open(r.fs, journaler.Config{
		Folder: cfg.Folder, Cluster: cfg.Cluster, Replica: cfg.ID, Random: r.random,
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
	transport.Attach(r.Receive)
	r.setPeers()
	return r, nil
}

func randomUint32() uint32 {
	var b [4]byte
	// Read of crypto/rand never fails.
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
	r.snapGen = r.store.journal.Generation()
	var founders []replicator.Member
	for _, mb := range r.cfg.Members {
		founders = append(founders, replicator.Member{ID: mb.ID, Addr: mb.Addr})
	}
	r.rep, err = replicator.New(replicator.Config{
		ID: r.cfg.ID, Nonce: r.store.journal.Nonce(), Founders: founders,
		HeartbeatInterval: r.cfg.Heartbeat, ElectionTimeout: r.cfg.Election, TrailingEntries: r.snapEvery / trailingShare,
		Rand: rand.New(rand.NewPCG(uint64(r.random()), uint64(r.random()))),
	}, st, now)
	return err
}

// Receive takes a message from another replica; it returns a MessageError for a malformed one.
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

// Done is closed when the replica has stopped, by Close or by a failure.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Err returns why the replica stopped by itself, once Done is closed.
func (r *Runner) Err() error {
	select {
	case <-r.done:
		return r.failure
	default:
		return nil
	}
}

// Close stops the replica and waits for its goroutines; commands under way end with an UncertainError.
func (r *Runner) Close() error {
	if r.isClosing.CompareAndSwap(false, true) {
		close(r.closing)
	}
	r.wg.Wait()
	return r.store.journal.Close()
}

// write makes writes durable one after the other, beside the loop that keeps up the heartbeats.
func (r *Runner) write() {
	for j := range r.jobs {
		r.written <- r.store.do(j)
	}
}

func (r *Runner) stopped() error {
	if err := r.Err(); err != nil {
		return err
	}
	return ErrClosed
}

// member returns the leader's address for a NotLeaderError.
func (r *Runner) notLeader() error {
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

// Propose replicates cmd and returns its result once it is committed and applied here.
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
		return Result{}, r.stopped()
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		if p.taken.CompareAndSwap(false, true) {
			return Result{}, ctx.Err()
		}
		return Result{}, &UncertainError{Index: p.index.Load(), Term: p.term.Load(), Err: ctx.Err()}
	case <-r.done:
		return r.lastOutcome(p)
	}
}

// lastOutcome returns what the loop said about p before it ended.
func (r *Runner) lastOutcome(p *proposal) (Result, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
	}
	if p.taken.CompareAndSwap(false, true) {
		return Result{}, r.stopped()
	}
	return Result{}, &UncertainError{Index: p.index.Load(), Term: p.term.Load(), Err: r.stopped()}
}

// Confirm returns once a quorum has confirmed this replica as leader after the call began and everything committed
// until then is applied here, so that a read of the machine's state is linearizable.
func (r *Runner) Confirm(ctx context.Context) error {
	c := &call{done: make(chan error, 1)}
	return ask(ctx, r, r.confirms, c, c.done)
}

// ask hands v to the loop and waits for the answer.
func ask[T any](ctx context.Context, r *Runner, in chan<- T, v T, answer <-chan error) error {
	select {
	case in <- v:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.stopped()
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.stopped()
	}
}

// AddMember adds a replica that runs with an empty data folder; it returns once it holds everything committed and votes.
func (r *Runner) AddMember(ctx context.Context, mb Member) error {
	add := replicator.Member{ID: mb.ID, Addr: mb.Addr}
	return r.change(ctx, &change{
		addr: mb,
		step: func(time.Time) (bool, error) { return r.rep.AddMember(add) },
		stop: func() { r.rep.CancelAdd(mb.ID) },
	})
}

// RemoveMember removes a replica for good.
func (r *Runner) RemoveMember(ctx context.Context, id uint64) error {
	return r.change(ctx, &change{
		step: func(now time.Time) (bool, error) { return r.rep.RemoveMember(now, id) },
	})
}

// Transfer hands leadership to another replica, for a shutdown without an election timeout.
func (r *Runner) Transfer(ctx context.Context) error {
	return r.change(ctx, &change{step: r.stepTransfer})
}

func (r *Runner) change(ctx context.Context, c *change) error {
	c.ctx, c.done = ctx, make(chan error, 1)
	return ask(ctx, r, r.changeIn, c, c.done)
}
