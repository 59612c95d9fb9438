package replicator

import "fmt"

// Kind is the type of a log entry's data.
type Kind uint8

// Kinds of log entries.
const (
	KindNoop Kind = iota
	KindCommand
	KindMembership
)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// HardState is the durable voting state: the current term and the ID that got this replica's vote in it, or 0.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot describes a state machine snapshot of Size bytes; the journal stores its content.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Size       uint64
	Membership Membership
}

// Type is the type of a message between replicas.
type Type uint8

// Message types; each request is followed by its response, and TypeTransfer has none.
const (
	TypeHello Type = iota + 1
	TypeHelloResponse
	TypePreVote
	TypePreVoteResponse
	TypeVote
	TypeVoteResponse
	TypeAppend
	TypeAppendResponse
	TypeSnapshot
	TypeSnapshotResponse
	TypeTransfer
)

// Message is a message between replicas; the fields in use depend on its type.
type Message struct {
	Type Type
	From uint64
	To   uint64
	Term uint64
	// Nonce is the receiver's data folder ID as known to the sender, or 0.
	Nonce uint32
	// Index and LogTerm identify the entry before Entries, a candidate's last entry, or a snapshot.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// SendStamp is the leader's monotonic send time in nanoseconds; responses echo it.
	SendStamp uint64
	Reject    bool
	// Hint is the last index that may match, the next offset in a snapshot, the sender's nonce in a hello, or the ID of an
	// election.
	Hint uint64
	// ForceVote is set on vote requests after a transfer, when the leader has already given up its lease.
	ForceVote bool
	// Contact is set on a response that tells only that the sender follows the leader, before what it got is durable.
	Contact bool
	// Resign is set on the append responses of a replica that is about to stop and gives up its vote, and on appends by
	// which the leader declines this.
	Resign  bool
	Entries []Entry
	// Offset, Data and Snapshot form one chunk of a snapshot.
	Offset   uint64
	Data     []byte
	Snapshot *Snapshot
}

// Write is a unit to make durable atomically before it is passed to Persisted.
type Write struct {
	HardState HardState
	// Entries replace all stored entries from the first one's index on.
	Entries []Entry
	// Snapshot, if set, replaces the whole stored log; Entries follow it.
	Snapshot *Snapshot
	// Data is the content of a Snapshot from the leader, which must be restored.
	Data []byte
	// FromLeader is set if Data came from the leader.
	FromLeader bool

	seq       uint64
	lastIndex uint64
	lastTerm  uint64
}

// Read is the result of a read barrier.
type Read struct {
	ID uint64
	// Index must be applied before the read is served.
	Index uint64
	// LeadershipLost is set if leadership was lost before a quorum confirmed the read.
	LeadershipLost bool
}

// LostDiskError reports that the group has this replica's ID with another data folder, so it must not participate.
type LostDiskError struct {
	ID uint64
}

// Error implements error.
func (e *LostDiskError) Error() string {
	return fmt.Sprintf("replica %d is known to the group with another data folder; add it anew under an unused ID", e.ID)
}

// MessageError reports a malformed message from a peer.
type MessageError struct {
	From   uint64
	Reason string
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("message from replica %d: %s", e.From, e.Reason)
}

// CheckMessage returns a MessageError unless m is valid for Step.
func CheckMessage(m Message) error {
	bad := func(reason string) error { return &MessageError{From: m.From, Reason: reason} }
	if m.Type < TypeHello || m.Type > TypeTransfer {
		return bad(fmt.Sprintf("unknown type %d", m.Type))
	}
	if m.From == 0 || m.To == 0 || m.From == m.To {
		return bad(fmt.Sprintf("sender %d and receiver %d", m.From, m.To))
	}
	prev := m.LogTerm
	for i, e := range m.Entries {
		switch {
		case m.Index+uint64(i)+1 != e.Index:
			return bad(fmt.Sprintf("entry %d of the message has index %d after %d", i, e.Index, m.Index))
		case e.Term < prev || e.Term > m.Term:
			return bad(fmt.Sprintf("entry %d has term %d outside of %d to %d", e.Index, e.Term, prev, m.Term))
		case e.Kind > KindMembership:
			return bad(fmt.Sprintf("entry %d has unknown kind %d", e.Index, e.Kind))
		}
		prev = e.Term
		if e.Kind != KindMembership {
			continue
		}
		if _, err := DecodeMembership(e.Data); err != nil {
			return bad(fmt.Sprintf("entry %d: %v", e.Index, err))
		}
	}
	if m.Type != TypeSnapshot {
		return nil
	}
	if m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term {
		return bad("snapshot without a valid description")
	}
	if m.Offset > m.Snapshot.Size || uint64(len(m.Data)) > m.Snapshot.Size-m.Offset {
		return bad("chunk outside of its snapshot")
	}
	return nil
}
