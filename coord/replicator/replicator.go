package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Defaults and limits of the protocol.
const (
	DefaultHeartbeat = 400 * time.Millisecond
	DefaultElection  = 1600 * time.Millisecond

	// DefaultTrailing is the number of entries before a snapshot that stay in memory.
	DefaultTrailing = 1000

	entryOverhead  = 16
	maxAppendBytes = 512 << 10
	maxWriteBytes  = 16 << 20
	maxInflight    = 4096
	pieceBytes     = 256 << 10
	leasePercent   = 90
	minElection    = 3
	maxStall       = 2
)

// Config holds the settings of a replica.
type Config struct {
	// ID is the replica's ID in the group; it must not be 0.
	ID uint64
	// Nonce is the random ID of the replica's data folder; it must not be 0.
	Nonce uint32
	// Founders are the initial members of a new group; it is empty for a replica that joins a running group.
	Founders []Member
	// Heartbeat is the interval between the leader's heartbeats.
	Heartbeat time.Duration
	// Election is the minimum time without contact to a leader before an election.
	Election time.Duration
	// Trailing is the number of entries before a snapshot that are kept for lagging replicas.
	Trailing uint64
	// Rand randomizes the election timeouts.
	Rand *rand.Rand
}

// Stored is the state read from a replica's data folder.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Replicator is the state machine of one replica; its methods must not be called concurrently.
type Replicator struct {
	cfg   Config
	start time.Time

	hard       HardState
	log        entryLog
	snapshot   Snapshot
	membership Membership
	memberAt   uint64
	commit     uint64
	applied    uint64
	durable    uint64

	role    role
	lead    uint64
	heard   time.Time
	timeout time.Duration
	votes   map[uint64]bool

	peers     map[uint64]*peer
	began     uint64
	termStart uint64
	stamp     uint64
	nextBeat  time.Time
	reads     []read
	readID    uint64
	confirmed []Read
	transfer  transfer

	nonces map[uint64]uint32
	probe  probe

	incoming *incoming
	install  *Write

	seq        uint64
	hardSeq    uint64
	durableSeq uint64
	writing    bool
	writeSeen  time.Time
	// slow is set while the write in flight takes at least one heartbeat interval.
	slow      bool
	unwritten uint64
	out       []outgoing
	fenced    error
}

type outgoing struct {
	msg  Message
	need uint64
}

type read struct {
	id    uint64
	index uint64
	stamp uint64
}

type transfer struct {
	to    uint64
	until time.Time
}

// New returns a replica that resumes from st at now; it returns a LostDiskError if st lists its ID with another nonce.
func New(cfg Config, st Stored, now time.Time) (*Replicator, error) {
	if cfg.ID == 0 || cfg.Nonce == 0 || cfg.Rand == nil {
		return nil, errors.New("replicator: ID, Nonce and Rand must be set")
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Election == 0 {
		cfg.Election = DefaultElection
	}
	if cfg.Trailing == 0 {
		cfg.Trailing = DefaultTrailing
	}
	if cfg.Election < minElection*cfg.Heartbeat {
		return nil, errors.Errorf("replicator: election timeout %v is under %d heartbeats of %v",
			cfg.Election, minElection, cfg.Heartbeat)
	}
	if err := checkFounders(cfg); err != nil {
		return nil, err
	}
	r := &Replicator{cfg: cfg, start: now, hard: st.Hard, nonces: map[uint64]uint32{}}
	r.snapshot = st.Snapshot
	r.log = entryLog{base: st.Snapshot.Index, baseTerm: st.Snapshot.Term}
	r.commit, r.applied = st.Snapshot.Index, st.Snapshot.Index
	for _, e := range st.Entries {
		if e.Index != r.log.last()+1 {
			return nil, errors.Errorf("replicator: stored entry %d follows entry %d", e.Index, r.log.last())
		}
		r.log.append(e)
	}
	r.durable, r.unwritten = r.log.last(), r.log.last()+1
	if err := r.findMembership(); err != nil {
		return nil, err
	}
	if mb, ok := r.membership.Find(cfg.ID); ok && mb.Nonce != cfg.Nonce {
		return nil, &LostDiskError{ID: cfg.ID}
	}
	r.becomeFollower(r.hard.Term, 0)
	// The replica may have granted a leader a lease just before it restarted.
	r.heard = now
	r.nextBeat = now
	return r, nil
}

// Tick runs the timers that are due at now; call it no later than Deadline.
func (r *Replicator) Tick(now time.Time) {
	switch {
	case r.fenced != nil:
	case len(r.membership.Members) == 0:
		r.tickFounding(now)
	case r.role == leader:
		r.tickLeader(now)
	case now.Sub(r.heard) >= r.electionTimeout():
		r.campaign(now)
	}
}

// Deadline returns when Tick must be called next.
func (r *Replicator) Deadline() time.Time {
	if r.role == leader || len(r.membership.Members) == 0 {
		return r.nextBeat
	}
	return r.heard.Add(r.electionTimeout())
}

func (r *Replicator) electionTimeout() time.Duration {
	if vs := r.membership.voters(); len(vs) == 1 && vs[0].ID == r.cfg.ID {
		return r.cfg.Election
	}
	return r.timeout
}

// Propose appends commands and returns the first one's index and their term; ok is false unless it leads.
func (r *Replicator) Propose(now time.Time, cmds [][]byte) (index, term uint64, ok bool) {
	if r.role != leader || r.transfer.to != 0 || r.fenced != nil {
		return 0, 0, false
	}
	index = r.log.last() + 1
	for _, c := range cmds {
		r.appendOwn(KindCommand, c)
	}
	r.broadcast(now)
	return index, r.hard.Term, true
}

// Read starts a read barrier, which Reads returns under id once it ends; ok is false unless it leads.
func (r *Replicator) Read(now time.Time) (id uint64, ok bool) {
	if r.role != leader || r.transfer.to != 0 || r.fenced != nil {
		return 0, false
	}
	r.readID++
	r.reads = append(r.reads, read{id: r.readID, index: max(r.commit, r.termStart), stamp: r.stamp + 1})
	r.beat(now)
	r.confirmReads(now)
	return r.readID, true
}

// Reads returns the read barriers that were confirmed or lost since the last call.
func (r *Replicator) Reads() []Read {
	out := r.confirmed
	r.confirmed = nil
	return out
}

// Messages returns the messages that may be sent now.
func (r *Replicator) Messages() []Message {
	var ready []Message
	r.out = slices.DeleteFunc(r.out, func(o outgoing) bool {
		if o.need > r.durableSeq {
			return false
		}
		ready = append(ready, o.msg)
		return true
	})
	return ready
}

// Write returns the next write to make durable, or nil; at most one write is in flight.
func (r *Replicator) Write() *Write {
	if r.writing || r.seq == r.durableSeq {
		return nil
	}
	w := r.install
	if w == nil {
		return r.begin(&Write{Entries: r.log.limited(r.unwritten, maxWriteBytes)})
	}
	w.Entries = r.log.slice(w.Snapshot.Index+1, r.log.last())
	r.install = nil
	return r.begin(w)
}

// Checkpoint returns a write that replaces the stored log with snapshot s and the entries after it; nil if s is outdated
// or another write is due first.
func (r *Replicator) Checkpoint(s Snapshot) *Write {
	if r.writing || r.install != nil || s.Index <= r.snapshot.Index || s.Index > r.applied {
		return nil
	}
	s.Term, _ = r.log.term(s.Index)
	m, err := r.membershipAt(s.Index)
	if err != nil {
		return nil
	}
	s.Membership = m
	r.seq++
	return r.begin(&Write{Snapshot: &s, Entries: r.log.slice(s.Index+1, r.log.last())})
}

func (r *Replicator) begin(w *Write) *Write {
	w.Hard, w.seq = r.hard, r.seq
	w.last, w.term = r.log.last(), r.log.lastTerm()
	if n := len(w.Entries); n > 0 && w.Entries[n-1].Index < w.last {
		// Queued messages stay held until the write that reaches the end of the log.
		w.last, w.term, w.seq = w.Entries[n-1].Index, w.Entries[n-1].Term, r.durableSeq
	}
	r.writing, r.unwritten = true, w.last+1
	return w
}

// Persisted records that w is durable.
func (r *Replicator) Persisted(now time.Time, w *Write) {
	r.writing, r.slow, r.writeSeen = false, false, time.Time{}
	r.durableSeq = max(r.durableSeq, w.seq)
	if t, ok := r.log.term(w.last); ok && t == w.term {
		r.durable = max(r.durable, w.last)
	}
	if w.Snapshot != nil {
		r.snapshot = *w.Snapshot
		if w.Install {
			r.applied = max(r.applied, w.Snapshot.Index)
		}
		if w.Snapshot.Index > r.cfg.Trailing {
			r.log.compact(w.Snapshot.Index - r.cfg.Trailing)
		}
	}
	if r.role == leader {
		r.advanceCommit(now)
	}
}

// Committed returns the next committed entries and counts them as applied. A leader doesn't wait for its own disk, for
// a heartbeat interval at most, since a quorum of followers has them durably.
func (r *Replicator) Committed() []Entry {
	hi := r.commit
	if r.role != leader || r.slow {
		hi = min(hi, r.durable)
	}
	if r.applied < r.log.base || hi <= r.applied {
		return nil
	}
	es := r.log.slice(r.applied+1, hi)
	r.applied = hi
	return es
}

// Fenced returns the error that stopped the replica, such as a LostDiskError, or nil.
func (r *Replicator) Fenced() error { return r.fenced }

// IsWriting reports whether a write is in flight.
func (r *Replicator) IsWriting() bool { return r.writing }

// Election returns the minimum time without contact to a leader before an election.
func (r *Replicator) Election() time.Duration { return r.cfg.Election }

// Leader returns the ID of the known leader, or 0; an elected replica returns itself only once its own vote is durable.
func (r *Replicator) Leader() uint64 {
	if r.role == leader && r.hardSeq > r.durableSeq {
		return 0
	}
	return r.lead
}

// Term returns the current term.
func (r *Replicator) Term() uint64 { return r.hard.Term }

// Commit returns the index up to which the log is known to be committed.
func (r *Replicator) Commit() uint64 { return r.commit }

// Applied returns the index of the last entry that Committed returned.
func (r *Replicator) Applied() uint64 { return r.applied }

// Snapshot returns the description of the stored snapshot.
func (r *Replicator) Snapshot() Snapshot { return r.snapshot }

// Membership returns the latest membership in the log, which may not be committed yet.
func (r *Replicator) Membership() (m Membership, index uint64) { return r.membership, r.memberAt }

func (r *Replicator) touch()     { r.seq++ }
func (r *Replicator) touchHard() { r.seq++; r.hardSeq = r.seq }

// send queues m until the state that it reports is durable; a leader's requests depend only on its term and vote.
func (r *Replicator) send(m Message) {
	m.From = r.cfg.ID
	if mb, ok := r.membership.Find(m.To); ok && m.Type != TypeHello {
		m.Nonce = mb.Nonce
	}
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	need := r.seq
	if m.Type == TypeAppend || m.Type == TypeSnapshot {
		need = r.hardSeq
	}
	r.out = append(r.out, outgoing{msg: m, need: need})
}
