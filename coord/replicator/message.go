package replicator

import "fmt"

// Kind says what an entry of the log carries.
type Kind uint8

// The kinds of entries.
const (
	KindNoop Kind = iota
	KindCommand
	KindMembership
)

// Entry is one place of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// HardState is what a replica must not forget: its term and whom it voted for in that term.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot describes a snapshot of the state machine; its content lies with the journal.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Size       uint64
	Membership Membership
}

// Type is the kind of a message between replicas.
type Type uint8

// The types of messages; each request is followed by its response.
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

// Message is what replicas send each other; which fields count depends on its type.
type Message struct {
	Type Type
	From uint64
	To   uint64
	Term uint64
	// Nonce is the identity of the receiver's data folder as the sender knows it, or 0.
	Nonce uint32
	// Index and LogTerm name the entry before Entries, the last entry of a candidate, or a snapshot.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// Stamp is the leader's monotonic time in nanoseconds at the send; responses echo it.
	Stamp  uint64
	Reject bool
	// Hint is the last index that may match, the next offset of a snapshot, or the sender's nonce in a hello.
	Hint uint64
	// Force marks votes asked for by a leader that has already given up its lease.
	Force   bool
	Entries []Entry
	// Offset, Data and Snapshot make up one piece of a snapshot.
	Offset   uint64
	Data     []byte
	Snapshot *Snapshot
}

// Write is what must be made durable as one unit before Persisted is called with it.
type Write struct {
	Hard HardState
	// Entries follow the entries written before; the first one replaces everything from its index on.
	Entries []Entry
	// Snapshot, if set, starts the stored log anew: nothing before it is kept, and Entries follow it.
	Snapshot *Snapshot
	// Data is the content of Snapshot when it came from the leader and must be restored.
	Data []byte
	// Install says that Data came from the leader.
	Install bool

	seq  uint64
	last uint64
	term uint64
}

// Read is a read barrier that a quorum has confirmed.
type Read struct {
	ID uint64
	// Index must be applied before the read may be served.
	Index uint64
	// Lost says that leadership was lost before the confirmation.
	Lost bool
}

// LostDiskError says that the group knows this replica with another data folder, so it must not take part.
type LostDiskError struct {
	ID uint64
}

// Error implements error.
func (e *LostDiskError) Error() string {
	return fmt.Sprintf("replica %d is known to the group with another data folder; add it anew under an unused ID", e.ID)
}

// MessageError says what is wrong with a message from a peer.
type MessageError struct {
	From   uint64
	Reason string
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("message from replica %d: %s", e.From, e.Reason)
}

// CheckMessage returns a MessageError unless m can be handed to Step.
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
		return bad("piece outside of its snapshot")
	}
	return nil
}
