package spreader

import "github.com/go-faster/errors"

// maxHeld bounds the items that a Joiner holds while parts are missing.
const maxHeld = 4 << 20

// Joiner puts the parts of deltas together and lets nothing through that leads backwards or leaves a gap.
type Joiner struct {
	revision uint64
	to       uint64
	held     []Item
	parts    int
	lax      bool
}

// Revision returns the revision of the last whole delta.
func (j *Joiner) Revision() uint64 { return j.revision }

// Reset forgets the parts of an unfinished delta, as after a broken connection; the revision stays.
func (j *Joiner) Reset() { j.held, j.parts, j.to = nil, 0, 0 }

// Back sets the revision to that of the state which is really there, after a delta that could not be applied.
func (j *Joiner) Back(revision uint64) {
	j.Reset()
	j.revision = revision
}

// Join takes the next part and returns the whole delta after its last one.
//
// A delta that leads to the present or an earlier revision is dropped without an error: two senders may both be right.
func (j *Joiner) Join(d Delta) (Delta, bool, error) {
	if d.To <= j.revision && !j.lax {
		return Delta{}, false, nil
	}
	if !d.Full && d.From > j.revision {
		return Delta{}, false, errors.Errorf("delta from revision %d does not continue %d", d.From, j.revision)
	}
	if d.Part == 0 {
		j.Reset()
		j.to = d.To
	}
	if d.Part != j.parts || d.To != j.to {
		return Delta{}, false, errors.Errorf("part %d to revision %d where part %d to %d comes next", d.Part, d.To, j.parts, j.to)
	}
	if len(j.held)+len(d.Items) > maxHeld {
		return Delta{}, false, errors.Errorf("delta to revision %d has more than %d items", d.To, maxHeld)
	}
	j.parts++
	if !d.Last {
		j.held = append(j.held, d.Items...)
		return Delta{}, false, nil
	}
	whole := d
	if len(j.held) > 0 {
		whole.Items = append(j.held, d.Items...)
	}
	j.Reset()
	j.revision = d.To
	return whole, true, nil
}

// Apply moves a state on by a whole delta, as a relay does with what it passes on.
func (s *State) Apply(d Delta) error {
	if d.Full {
		return s.Replace(d.To, d.Items)
	}
	return s.Change(d.To, d.Items)
}
