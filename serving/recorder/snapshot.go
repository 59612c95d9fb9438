package recorder

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// snapshot is a table's whole state; records are in the order of their last change of state.
type snapshot struct {
	Clock   time.Time `cbor:"1,keyasint"`
	Records []*record `cbor:"2,keyasint"`
}

// Snapshot returns the whole state; equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Clock: t.clock, Records: slices.SortedFunc(maps.Values(t.byKey), bySeq)}
	b, err := encoder.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot of bookings")
	}
	return b, nil
}

// Restore replaces the state with that of a snapshot; on an error the state is unchanged.
func (t *Table) Restore(b []byte) error {
	var s snapshot
	if err := encoder.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "snapshot of bookings")
	}
	for i, rec := range s.Records {
		if rec == nil || rec.State < stateRunning || rec.State > stateUnknown {
			return errors.Errorf("snapshot of bookings: record %d has no valid state", i)
		}
	}
	t.reset()
	for _, rec := range s.Records {
		t.restore(rec)
	}
	t.clock = s.Clock
	return nil
}

func (t *Table) restore(rec *record) {
	t.byKey[rec.Key] = rec
	if n := rec.Answer.size(); n > 0 {
		t.storedBytes += n
		t.stored = append(t.stored, queueItem{rec, t.lastSeq + 1})
	}
	changed, to := rec.Changed, rec.State
	rec.State = 0
	t.setState(rec, to)
	rec.Changed = changed
}
