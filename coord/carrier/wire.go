package carrier

import (
	"redwingstage.org/coord/replicator"
)

// frame is one message on a stream; sender and receiver are known from the stream's headers.
type frame struct {
	Type      uint8          `cbor:"1,keyasint"`
	Term      uint64         `cbor:"2,keyasint,omitempty"`
	Nonce     uint32         `cbor:"3,keyasint,omitempty"`
	Index     uint64         `cbor:"4,keyasint,omitempty"`
	LogTerm   uint64         `cbor:"5,keyasint,omitempty"`
	Commit    uint64         `cbor:"6,keyasint,omitempty"`
	SendStamp uint64         `cbor:"7,keyasint,omitempty"`
	Reject    bool           `cbor:"8,keyasint,omitempty"`
	Hint      uint64         `cbor:"9,keyasint,omitempty"`
	ForceVote bool           `cbor:"10,keyasint,omitempty"`
	Entries   []entryFrame   `cbor:"11,keyasint,omitempty"`
	Offset    uint64         `cbor:"12,keyasint,omitempty"`
	Data      []byte         `cbor:"13,keyasint,omitempty"`
	Snapshot  *snapshotFrame `cbor:"14,keyasint,omitempty"`
	Resign    bool           `cbor:"15,keyasint,omitempty"`
	Contact   bool           `cbor:"16,keyasint,omitempty"`
}

type entryFrame struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Kind uint8
	Data []byte
}

type snapshotFrame struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Size       uint64
	Membership []byte
}

// ack ends a stream.
type ack struct{}

func toFrame(m replicator.Message) (*frame, error) {
	f := &frame{
		Type: uint8(m.Type), Term: m.Term, Nonce: m.Nonce, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		SendStamp: m.SendStamp, Reject: m.Reject, Hint: m.Hint, ForceVote: m.ForceVote, Resign: m.Resign, Contact: m.Contact, Offset: m.Offset, Data: m.Data,
	}
	for _, e := range m.Entries {
		f.Entries = append(f.Entries, entryFrame{Term: e.Term, Kind: uint8(e.Kind), Data: e.Data})
	}
	if m.Snapshot == nil {
		return f, nil
	}
	b, err := replicator.EncodeMembership(m.Snapshot.Membership)
	if err != nil {
		return nil, err
	}
	s := m.Snapshot
	f.Snapshot = &snapshotFrame{Index: s.Index, Term: s.Term, Size: s.Size, Membership: b}
	return f, nil
}

func (f *frame) message(from, to uint64) (replicator.Message, error) {
	m := replicator.Message{
		Type: replicator.Type(f.Type), From: from, To: to, Term: f.Term, Nonce: f.Nonce, Index: f.Index,
		LogTerm: f.LogTerm, Commit: f.Commit, SendStamp: f.SendStamp, Reject: f.Reject, Hint: f.Hint, ForceVote: f.ForceVote, Resign: f.Resign, Contact: f.Contact,
		Offset: f.Offset, Data: f.Data,
	}
	for i, e := range f.Entries {
		m.Entries = append(m.Entries, replicator.Entry{
			Index: f.Index + uint64(i) + 1, Term: e.Term, Kind: replicator.Kind(e.Kind), Data: e.Data,
		})
	}
	if f.Snapshot == nil {
		return m, nil
	}
	ms, err := replicator.DecodeMembership(f.Snapshot.Membership)
	if err != nil {
		return m, err
	}
	s := f.Snapshot
	m.Snapshot = &replicator.Snapshot{Index: s.Index, Term: s.Term, Size: s.Size, Membership: ms}
	return m, nil
}
