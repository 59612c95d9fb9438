package spreader

import "github.com/go-faster/errors"

// maxPendingItems bounds the items that a DeltaAssembler buffers for an incomplete delta.
const maxPendingItems = 4 << 20

// DeltaAssembler joins the parts of deltas, drops stale deltas and rejects deltas that leave a gap.
type DeltaAssembler struct {
	revision       uint64
	targetRevision uint64
	pending        []Item
	nextPart       int
	acceptStale    bool
}

// Revision returns the revision of the last complete delta.
func (a *DeltaAssembler) Revision() uint64 { return a.revision }

// Reset drops the parts of an incomplete delta, as after a broken connection; the revision stays.
func (a *DeltaAssembler) Reset() { a.pending, a.nextPart, a.targetRevision = nil, 0, 0 }

// SetRevision sets the revision to that of the actual state, after a delta could not be applied.
func (a *DeltaAssembler) SetRevision(revision uint64) {
	a.Reset()
	a.revision = revision
}

// AddPart adds the next part and returns the complete delta after its last one.
//
// A delta to the current or an earlier revision is dropped without an error: two senders may both send valid deltas.
func (a *DeltaAssembler) AddPart(d Delta) (Delta, bool, error) {
	if d.To <= a.revision && !a.acceptStale {
		return Delta{}, false, nil
	}
	if !d.Full && d.From > a.revision {
		return Delta{}, false, errors.Errorf("delta from revision %d does not continue %d", d.From, a.revision)
	}
	if d.Part == 0 {
		a.Reset()
		a.targetRevision = d.To
	}
	if d.Part != a.nextPart || d.To != a.targetRevision {
		return Delta{}, false, errors.Errorf("part %d to revision %d where part %d to %d comes next", d.Part, d.To, a.nextPart, a.targetRevision)
	}
	if len(a.pending)+len(d.Items) > maxPendingItems {
		return Delta{}, false, errors.Errorf("delta to revision %d has more than %d items", d.To, maxPendingItems)
	}
	a.nextPart++
	if !d.Last {
		a.pending = append(a.pending, d.Items...)
		return Delta{}, false, nil
	}
	complete := d
	if len(a.pending) > 0 {
		complete.Items = append(a.pending, d.Items...)
	}
	a.Reset()
	a.revision = d.To
	return complete, true, nil
}

// Apply applies a complete delta to the state, as a relay does with deltas that it forwards.
func (s *State) Apply(d Delta) error {
	if d.Full {
		return s.Replace(d.To, d.Items)
	}
	return s.Change(d.To, d.Items)
}
