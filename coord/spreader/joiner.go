package spreader

import "github.com/go-faster/errors"

// maxPendingItems bounds the items that a Joiner buffers for an incomplete delta.
const maxPendingItems = 4 << 20

// DeltaAssembler assembles the parts of deltas and rejects deltas that lead backwards or leave a gap.
type DeltaAssembler struct {
	revision    uint64
	target      uint64
	pending     []Item
	nextPart    int
	acceptStale bool
}

// Revision returns the revision of the last complete delta.
func (j *DeltaAssembler) Revision() uint64 { return j.revision }

// Reset drops the parts of an incomplete delta, as after a broken connection; the revision stays.
func (j *DeltaAssembler) Reset() { j.pending, j.nextPart, j.target = nil, 0, 0 }

// SetRevision sets the revision to that of the actual state, after a delta could not be applied.
func (j *DeltaAssembler) SetRevision(revision uint64) {
	j.Reset()
	j.revision = revision
}

// Join adds the next part and returns the complete delta after its last one.
//
// A delta to the current or an earlier revision is dropped without an error: two senders may both send valid deltas.
func (j *DeltaAssembler) Join(d Delta) (Delta, bool, error) {
	if d.To <= j.revision && !j.acceptStale {
		return Delta{}, false, nil
	}
	if !d.Full && d.From > j.revision {
		return Delta{}, false, errors.Errorf("delta from revision %d does not continue %d", d.From, j.revision)
	}
	if d.Part == 0 {
		j.Reset()
		j.target = d.To
	}
	if d.Part != j.nextPart || d.To != j.target {
		return Delta{}, false, errors.Errorf("part %d to revision %d where part %d to %d comes next", d.Part, d.To, j.nextPart, j.target)
	}
	if len(j.pending)+len(d.Items) > maxPendingItems {
		return Delta{}, false, errors.Errorf("delta to revision %d has more than %d items", d.To, maxPendingItems)
	}
	j.nextPart++
	if !d.Last {
		j.pending = append(j.pending, d.Items...)
		return Delta{}, false, nil
	}
	whole := d
	if len(j.pending) > 0 {
		whole.Items = append(j.pending, d.Items...)
	}
	j.Reset()
	j.revision = d.To
	return whole, true, nil
}

// Apply applies a complete delta to the state, as a relay does with deltas that it forwards.
func (s *State) Apply(d Delta) error {
	if d.Full {
		return s.Replace(d.To, d.Items)
	}
	return s.Change(d.To, d.Items)
}
