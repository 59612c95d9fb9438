package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Defaults and limits of the protocol.
const (
	DefaultHeartbeatInterval = 400 * time.Millisecond
	DefaultElectionTimeout   = 1600 * time.Millisecond

	// DefaultTrailingEntries is the number of entries before a snapshot that stay in memory.
	DefaultTrailingEntries = 1000

	entryOverheadBytes    = 16
	maxAppendBytes        = 512 << 10
	maxWriteBytes         = 16 << 20
	maxInflightEntries    = 4096
	maxChunkBytes         = 256 << 10
	leasePercent          = 90
	minElectionHeartbeats = 3
	stallElectionTimeouts = 2
	stallWriteTimes       = 2
	// maxElectionDoublings bounds the growth of the time for an election.
	maxElectionDoublings = 3
)

// Config holds the settings of a replica.
type Config struct {
	// ID is the replica's ID in the group; it must not be 0.
	ID uint64
	// Nonce is the random ID of the replica's data folder; it must not be 0.
	Nonce uint32
	// Founders are the initial members of a new group; it is empty for a replica that joins a running group.
	Founders []Member
	// HeartbeatInterval is the interval between the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact to a leader before an election.
	ElectionTimeout time.Duration
	// ReplaceAfter, at least ElectionTimeout, is how long a voter must be silent before the leader gives its vote to another
	// member; 0 leaves the choice of voters to the callers of AddMember and RemoveMember.
	ReplaceAfter time.Duration
	// Voters is the number of voters that the group keeps if it can, used with ReplaceAfter: 2t+1 tolerate the loss of t disks.
	Voters int
	// TrailingEntries is the number of entries before a snapshot that are kept for lagging replicas.
	TrailingEntries uint64
	// Rand randomizes the election timeouts.
	Rand *rand.Rand
}

// Stored is the state read from a replica's data folder.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
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
	cfg       Config
	stampBase time.Time

	hardState       HardState
	log             entryLog
	snapshot        Snapshot
	membership      Membership
	membershipIndex uint64
	commitIndex     uint64
	appliedIndex    uint64
	durableIndex    uint64

	role     role
	leaderID uint64
	// lastContact is when a leader was heard or voted for last: until an election timeout later a lease may depend on it.
	lastContact time.Time
	// waitingSince is when the wait for a leader, or for the end of an election, began.
	waitingSince      time.Time
	randomizedTimeout time.Duration
	// elections is the number of terms since a leader was heard.
	elections int
	votes     map[uint64]bool
	// electionID is a random number that responses to this election's vote requests repeat. Votes for an earlier start of this
	// replica don't count in the same term: its log may be shorter now.
	electionID    uint64
	stepDownCause Cause

	peers          map[uint64]*peer
	electedStamp   uint64
	termStartIndex uint64
	lastStamp      uint64
	nextHeartbeat  time.Time
	pendingReads   []pendingRead
	lastReadID     uint64
	finishedReads  []Read
	transfer       transfer
	// isResigning is set once Resign was called, isResignationDeclined while the leader says that no learner can take over.
	isResigning, isResignationDeclined bool

	founderNonces map[uint64]uint32
	nonceRequest  nonceRequest

	incoming       *incomingSnapshot
	pendingInstall *Write

	seq          uint64
	hardStateSeq uint64
	durableSeq   uint64
	isWriting    bool
	writeSeenAt  time.Time
	// isWriteSlow is set while the write in flight takes at least one heartbeat interval, and longer than a quorum's.
	isWriteSlow    bool
	firstUnwritten uint64
	outbox         []outgoingMessage
	err            error
}

type outgoingMessage struct {
	msg         Message
	requiredSeq uint64
}

type pendingRead struct {
	id    uint64
	index uint64
	stamp uint64
}

type transfer struct {
	target   uint64
	deadline time.Time
}

// New returns a replica that resumes from st at now; it returns a LostDiskError if st lists its ID with another nonce.
func New(cfg Config, st Stored, now time.Time) (*Replicator, error) {
	if cfg.ID == 0 || cfg.Nonce == 0 || cfg.Rand == nil {
		return nil, errors.New("replicator: ID, Nonce and Rand must be set")
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	if cfg.TrailingEntries == 0 {
		cfg.TrailingEntries = DefaultTrailingEntries
	}
	if cfg.ElectionTimeout < minElectionHeartbeats*cfg.HeartbeatInterval {
		return nil, errors.Errorf("replicator: election timeout %v is under %d heartbeats of %v",
			cfg.ElectionTimeout, minElectionHeartbeats, cfg.HeartbeatInterval)
	}
	if cfg.ReplaceAfter != 0 && cfg.ReplaceAfter < cfg.ElectionTimeout {
		return nil, errors.Errorf("replicator: voters replaced after %v, below the election timeout of %v", cfg.ReplaceAfter, cfg.ElectionTimeout)
	}
	if cfg.ReplaceAfter != 0 && (cfg.Voters < 1 || cfg.Voters > MaxMembers) {
		return nil, errors.Errorf("replicator: %d voters, from 1 to %d are possible", cfg.Voters, MaxMembers)
	}
	if err := checkFounders(cfg); err != nil {
		return nil, err
	}
	r := &Replicator{cfg: cfg, stampBase: now, hardState: st.HardState, founderNonces: map[uint64]uint32{}}
	r.snapshot = st.Snapshot
	r.log = entryLog{base: st.Snapshot.Index, baseTerm: st.Snapshot.Term}
	r.commitIndex, r.appliedIndex = st.Snapshot.Index, st.Snapshot.Index
	for _, e := range st.Entries {
		if e.Index != r.log.last()+1 {
			return nil, errors.Errorf("replicator: stored entry %d follows entry %d", e.Index, r.log.last())
		}
		r.log.append(e)
	}
	r.durableIndex, r.firstUnwritten = r.log.last(), r.log.last()+1
	if err := r.activateMembership(); err != nil {
		return nil, err
	}
	if mb, ok := r.membership.Find(cfg.ID); ok && mb.Nonce != cfg.Nonce {
		return nil, &LostDiskError{ID: cfg.ID}
	}
	r.becomeFollower(r.hardState.Term, 0)
	// The replica may have granted a leader a lease just before it restarted.
	r.touch(now)
	r.nextHeartbeat = now
	return r, nil
}

// Tick runs the timers that are due at now; call it no later than Deadline.
func (r *Replicator) Tick(now time.Time) {
	switch {
	case r.err != nil:
	case len(r.membership.Members) == 0:
		r.tickBootstrap(now)
	case r.role == leader:
		r.tickLeader(now)
	case now.Sub(r.waitingSince) < r.campaignTimeout():
	case r.isVoting():
		// The vote of this term isn't durable: another term would take one more write, and the others wait for this one.
		r.waitingSince = now
		if r.role == follower {
			r.leaderID = 0
		}
	default:
		r.campaign(now)
	}
}

// Deadline returns when Tick must be called next.
func (r *Replicator) Deadline() time.Time {
	if r.role == leader || len(r.membership.Members) == 0 {
		return r.nextHeartbeat
	}
	return r.waitingSince.Add(r.campaignTimeout())
}

// campaignTimeout returns how long to wait for a leader. It doubles with each election that fails after the first one, since
// writes may take longer than an election.
func (r *Replicator) campaignTimeout() time.Duration {
	if vs := r.membership.voters(); len(vs) == 1 && vs[0].ID == r.cfg.ID {
		return r.cfg.ElectionTimeout
	}
	return r.randomizedTimeout << min(max(r.elections-2, 0), maxElectionDoublings)
}

// touch records that a leader was heard or voted for.
func (r *Replicator) touch(now time.Time) { r.lastContact, r.waitingSince = now, now }

// isVoting reports whether this replica's term or vote isn't durable yet.
func (r *Replicator) isVoting() bool { return r.hardStateSeq > r.durableSeq }

// Propose appends commands and returns the first one's index and their term; only a leader returns ok.
func (r *Replicator) Propose(now time.Time, cmds [][]byte) (index, term uint64, ok bool) {
	if r.role != leader || r.transfer.target != 0 || r.err != nil {
		return 0, 0, false
	}
	index = r.log.last() + 1
	for _, c := range cmds {
		r.appendEntry(KindCommand, c)
	}
	r.broadcastEntries(now)
	return index, r.hardState.Term, true
}

// Read starts a read barrier, which Reads returns under id once confirmed or lost; only a leader returns ok.
func (r *Replicator) Read(now time.Time) (id uint64, ok bool) {
	if r.role != leader || r.transfer.target != 0 || r.err != nil {
		return 0, false
	}
	r.lastReadID++
	r.pendingReads = append(r.pendingReads, pendingRead{
		id: r.lastReadID, index: max(r.commitIndex, r.termStartIndex), stamp: r.lastStamp + 1,
	})
	r.broadcastHeartbeat(now)
	r.confirmReads(now)
	return r.lastReadID, true
}

// Reads returns the read barriers that were confirmed or lost since the last call.
func (r *Replicator) Reads() []Read {
	out := r.finishedReads
	r.finishedReads = nil
	return out
}

// Messages returns the messages that may be sent now.
func (r *Replicator) Messages() []Message {
	var ready []Message
	r.outbox = slices.DeleteFunc(r.outbox, func(o outgoingMessage) bool {
		if o.requiredSeq > r.durableSeq {
			return false
		}
		ready = append(ready, o.msg)
		return true
	})
	return ready
}

// Write returns the next write to make durable, or nil; at most one write is in flight.
func (r *Replicator) Write() *Write {
	if r.isWriting || r.seq == r.durableSeq {
		return nil
	}
	w := r.pendingInstall
	if w == nil {
		return r.beginWrite(&Write{Entries: r.log.sliceLimited(r.firstUnwritten, maxWriteBytes)})
	}
	w.Entries = r.log.slice(w.Snapshot.Index+1, r.log.last())
	r.pendingInstall = nil
	return r.beginWrite(w)
}

// Checkpoint returns a write that replaces the stored log with snapshot s and later entries, or nil if not possible now.
func (r *Replicator) Checkpoint(s Snapshot) *Write {
	if r.isWriting || r.pendingInstall != nil || s.Index <= r.snapshot.Index || s.Index > r.appliedIndex {
		return nil
	}
	s.Term, _ = r.log.term(s.Index)
	m, err := r.membershipAt(s.Index)
	if err != nil {
		return nil
	}
	s.Membership = m
	r.seq++
	return r.beginWrite(&Write{Snapshot: &s, Entries: r.log.slice(s.Index+1, r.log.last())})
}

func (r *Replicator) beginWrite(w *Write) *Write {
	w.HardState, w.seq = r.hardState, r.seq
	w.lastIndex, w.lastTerm = r.log.last(), r.log.lastTerm()
	if n := len(w.Entries); n > 0 && w.Entries[n-1].Index < w.lastIndex {
		// Queued messages stay held until the write that reaches the end of the log.
		w.lastIndex, w.lastTerm, w.seq = w.Entries[n-1].Index, w.Entries[n-1].Term, r.durableSeq
	}
	r.isWriting, r.firstUnwritten = true, w.lastIndex+1
	return w
}

// Persisted records that w is durable.
func (r *Replicator) Persisted(now time.Time, w *Write) {
	wasVoting := r.isVoting()
	r.isWriting, r.isWriteSlow, r.writeSeenAt = false, false, time.Time{}
	r.durableSeq = max(r.durableSeq, w.seq)
	if wasVoting && !r.isVoting() {
		// The wait for the others begins once this replica has done its own part.
		r.waitingSince = now
	}
	if t, ok := r.log.term(w.lastIndex); ok && t == w.lastTerm {
		r.durableIndex = max(r.durableIndex, w.lastIndex)
	}
	if w.Snapshot != nil {
		r.snapshot = *w.Snapshot
		if w.FromLeader {
			r.appliedIndex = max(r.appliedIndex, w.Snapshot.Index)
		}
		if w.Snapshot.Index > r.cfg.TrailingEntries {
			r.log.compact(w.Snapshot.Index - r.cfg.TrailingEntries)
		}
	}
	r.tryLead(now)
	if r.role == leader {
		r.advanceCommit(now)
	}
}

// Committed returns the next committed entries and counts them as applied. A leader doesn't wait for its own disk, for
// a heartbeat interval at most, since a quorum of followers has them durably.
func (r *Replicator) Committed() []Entry {
	hi := r.commitIndex
	if r.role != leader || r.isWriteSlow {
		hi = min(hi, r.durableIndex)
	}
	if r.appliedIndex < r.log.base || hi <= r.appliedIndex {
		return nil
	}
	es := r.log.slice(r.appliedIndex+1, hi)
	r.appliedIndex = hi
	return es
}

// Err returns the error that stopped the replica, such as a LostDiskError, or nil.
func (r *Replicator) Err() error { return r.err }

// IsWriting reports whether a write is in flight.
func (r *Replicator) IsWriting() bool { return r.isWriting }

// ElectionTimeout returns the minimum time without contact to a leader before an election.
func (r *Replicator) ElectionTimeout() time.Duration { return r.cfg.ElectionTimeout }

// Leader returns the ID of the known leader, or 0; an elected replica returns itself only once its own vote is durable.
func (r *Replicator) Leader() uint64 {
	if r.role == leader && r.isVoting() {
		return 0
	}
	return r.leaderID
}

// Term returns the current term.
func (r *Replicator) Term() uint64 { return r.hardState.Term }

// Commit returns the index up to which the log is known to be committed.
func (r *Replicator) Commit() uint64 { return r.commitIndex }

// Applied returns the index of the last entry that Committed returned.
func (r *Replicator) Applied() uint64 { return r.appliedIndex }

// Snapshot returns the description of the stored snapshot.
func (r *Replicator) Snapshot() Snapshot { return r.snapshot }

// Membership returns the latest membership in the log, which may not be committed yet.
func (r *Replicator) Membership() (m Membership, index uint64) {
	return r.membership, r.membershipIndex
}

func (r *Replicator) bumpSeq()          { r.seq++ }
func (r *Replicator) bumpHardStateSeq() { r.seq++; r.hardStateSeq = r.seq }

// send queues m until the state that it reports is durable.
func (r *Replicator) send(m Message) {
	m.From = r.cfg.ID
	if mb, ok := r.membership.Find(m.To); ok && m.Type != TypeHello {
		m.Nonce = mb.Nonce
	}
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	r.outbox = append(r.outbox, outgoingMessage{msg: m, requiredSeq: r.requiredSeq(&m)})
}

// requiredSeq returns the change that must be durable before m is sent. Requests for votes promise nothing; what tells only
// a term or a vote doesn't wait for entries, or slow disks would end leaderships and elections.
func (r *Replicator) requiredSeq(m *Message) uint64 {
	switch m.Type {
	case TypePreVote, TypePreVoteResponse, TypeVote:
		return 0
	case TypeVoteResponse, TypeAppend, TypeSnapshot, TypeSnapshotResponse:
		return r.hardStateSeq
	case TypeAppendResponse:
		if m.Contact || m.Reject {
			return r.hardStateSeq
		}
	}
	return r.seq
}
