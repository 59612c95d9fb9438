package runner

import (
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/replicator"
)

// The first byte of a journal record is its kind.
const (
	recordHardState = 'h'
	recordSnapshot  = 'b'
	recordEntry     = 'e'
)

type hardStateRecord struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote uint64
}

type snapshotRecord struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Membership []byte
}

type entryRecord struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// store stores a replicator's durable state in a journal.
type store struct {
	journal   *journaler.Journal
	hardState replicator.HardState
}

// writeJob is a write and its result; data is the snapshot's content, generation the journal's after the write.
type writeJob struct {
	write      *replicator.Write
	data       []byte
	generation uint64
	err        error
}

func (s *store) execute(j writeJob) writeJob {
	j.err = s.persist(j.write, j.data)
	j.generation = s.journal.Generation()
	return j
}

// persist makes w durable; data is the content of w.Snapshot, if set.
func (s *store) persist(w *replicator.Write, data []byte) error {
	var records [][]byte
	add := func(kind byte, v any) error {
		b, err := encoder.Marshal(v)
		if err != nil {
			return err
		}
		records = append(records, append([]byte{kind}, b...))
		return nil
	}
	if w.Snapshot != nil {
		m, err := replicator.EncodeMembership(w.Snapshot.Membership)
		if err != nil {
			return err
		}
		if err := add(recordSnapshot, snapshotRecord{Index: w.Snapshot.Index, Term: w.Snapshot.Term, Membership: m}); err != nil {
			return err
		}
	}
	if w.Snapshot != nil || w.HardState != s.hardState {
		if err := add(recordHardState, hardStateRecord{Term: w.HardState.Term, Vote: w.HardState.Vote}); err != nil {
			return err
		}
	}
	for _, e := range w.Entries {
		if err := add(recordEntry, entryRecord{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data}); err != nil {
			return err
		}
	}
	var err error
	if w.Snapshot != nil {
		err = s.journal.Checkpoint(data, records...)
	} else {
		err = s.journal.Append(records...)
	}
	if err == nil {
		s.hardState = w.HardState
	}
	return err
}

// recover returns the state in the journal and the content of its snapshot.
func (s *store) recover() (replicator.Stored, []byte, error) {
	var st replicator.Stored
	for i, rec := range s.journal.Records() {
		if err := replayRecord(&st, rec); err != nil {
			return st, nil, errors.Wrapf(err, "journal record %d", i)
		}
	}
	s.hardState = st.HardState
	generation := s.journal.Generation()
	if generation == 0 {
		return st, nil, nil
	}
	data, err := s.journal.ReadSnapshot(generation, 0, int(s.journal.SnapshotSize()))
	if err != nil {
		return st, nil, err
	}
	st.Snapshot.Size = uint64(len(data))
	return st, data, nil
}

func replayRecord(st *replicator.Stored, rec []byte) error {
	if len(rec) == 0 {
		return errors.New("empty record")
	}
	kind, body := rec[0], rec[1:]
	switch kind {
	case recordHardState:
		var h hardStateRecord
		if err := encoder.Unmarshal(body, &h); err != nil {
			return err
		}
		st.HardState = replicator.HardState{Term: h.Term, Vote: h.Vote}
	case recordSnapshot:
		var b snapshotRecord
		if err := encoder.Unmarshal(body, &b); err != nil {
			return err
		}
		m, err := replicator.DecodeMembership(b.Membership)
		if err != nil {
			return err
		}
		st.Snapshot = replicator.Snapshot{Index: b.Index, Term: b.Term, Membership: m}
		st.Entries = nil
	case recordEntry:
		var e entryRecord
		if err := encoder.Unmarshal(body, &e); err != nil {
			return err
		}
		return placeEntry(st, replicator.Entry{Index: e.Index, Term: e.Term, Kind: replicator.Kind(e.Kind), Data: e.Data})
	default:
		return errors.Errorf("unknown kind %q", kind)
	}
	return nil
}

// placeEntry appends e; it replaces the entries from e.Index on.
func placeEntry(st *replicator.Stored, e replicator.Entry) error {
	last := st.Snapshot.Index + uint64(len(st.Entries))
	if e.Index <= st.Snapshot.Index || e.Index > last+1 {
		return errors.Errorf("entry %d doesn't fit into a log from %d to %d", e.Index, st.Snapshot.Index, last)
	}
	st.Entries = append(st.Entries[:e.Index-st.Snapshot.Index-1], e)
	return nil
}
