package spreader

import (
	"slices"

	"github.com/go-faster/errors"
)

const (
	// defaultKeptChanges is the number of changed keys that trim retains for deltas.
	defaultKeptChanges = 16384
	// maxPartBytes is the maximum size of a delta's part in bytes, keys and values.
	maxPartBytes = 128 << 10
	// itemOverheadBytes is the size of an item in bytes beside its key and value.
	itemOverheadBytes = 8
)

// Item is one key with its value; nil removes the key.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// Delta is the change from one revision to another; a full one replaces the state, and a large one has several parts.
type Delta struct {
	From  uint64 `cbor:"1,keyasint,omitempty"`
	To    uint64 `cbor:"2,keyasint"`
	Full  bool   `cbor:"3,keyasint,omitempty"`
	Part  int    `cbor:"4,keyasint,omitempty"`
	Last  bool   `cbor:"5,keyasint,omitempty"`
	Items []Item `cbor:"6,keyasint,omitempty"`
}

// State is a revisioned keyed state with its latest changes; it is not safe for concurrent use.
type State struct {
	revision uint64
	items    map[string][]byte
	// changes holds the latest changes in order, all later than revision trimmedTo.
	changes     []change
	trimmedTo   uint64
	keptChanges int
}

type change struct {
	revision uint64
	key      string
}

// Option configures a State.
type Option func(*State)

// WithKeptChanges sets how many changed keys are retained for deltas.
func WithKeptChanges(keys int) Option { return func(s *State) { s.keptChanges = keys } }

// New returns an empty state at revision 0.
func New(opts ...Option) *State {
	s := &State{items: make(map[string][]byte), keptChanges: defaultKeptChanges}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Revision returns the revision of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Value returns the value of the key.
func (s *State) Value(key string) ([]byte, bool) {
	v, ok := s.items[key]
	return v, ok
}

// Each calls f with every item, in no order.
func (s *State) Each(f func(Item)) {
	for k, v := range s.items {
		f(Item{Key: k, Value: v})
	}
}

// StaleRevisionError reports a change to a revision that isn't later.
type StaleRevisionError struct{ Have, Got uint64 }

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return errors.Errorf("revision %d does not come after %d", e.Got, e.Have).Error()
}

// Change applies items and sets a later revision.
func (s *State) Change(revision uint64, items []Item) error {
	if revision <= s.revision {
		return &StaleRevisionError{Have: s.revision, Got: revision}
	}
	for _, it := range items {
		if it.Value == nil {
			delete(s.items, it.Key)
		} else {
			s.items[it.Key] = it.Value
		}
		s.changes = append(s.changes, change{revision: revision, key: it.Key})
	}
	s.revision = revision
	s.trim()
	return nil
}

// trim drops the oldest changes, whole revisions at a time.
func (s *State) trim() {
	if len(s.changes) <= 2*s.keptChanges {
		return
	}
	cut := len(s.changes) - s.keptChanges
	s.trimmedTo = s.changes[cut-1].revision
	for cut < len(s.changes) && s.changes[cut].revision == s.trimmedTo {
		cut++
	}
	s.changes = slices.Clone(s.changes[cut:])
}

// Replace sets the whole state at a revision that must not be earlier, and drops the retained changes.
func (s *State) Replace(revision uint64, items []Item) error {
	if revision < s.revision {
		return &StaleRevisionError{Have: s.revision, Got: revision}
	}
	s.items = make(map[string][]byte, len(items))
	for _, it := range items {
		s.items[it.Key] = it.Value
	}
	s.revision, s.trimmedTo, s.changes = revision, revision, nil
	return nil
}

// Since returns the delta from revision from to the current one, in parts, or nothing if from isn't earlier.
func (s *State) Since(from uint64) []Delta {
	if from >= s.revision {
		return nil
	}
	if from < s.trimmedTo || from == 0 {
		return splitParts(Delta{To: s.revision, Full: true}, s.sortedItems())
	}
	start, _ := slices.BinarySearchFunc(s.changes, from+1, func(e change, r uint64) int {
		if e.revision < r {
			return -1
		}
		return 1
	})
	seen := make(map[string]bool, len(s.changes)-start)
	items := make([]Item, 0, len(s.changes)-start)
	for _, e := range s.changes[start:] {
		if !seen[e.key] {
			seen[e.key] = true
			items = append(items, Item{Key: e.key, Value: s.items[e.key]})
		}
	}
	return splitParts(Delta{From: from, To: s.revision}, items)
}

func (s *State) sortedItems() []Item {
	items := make([]Item, 0, len(s.items))
	for k, v := range s.items {
		items = append(items, Item{Key: k, Value: v})
	}
	slices.SortFunc(items, func(a, b Item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return items
}

// splitParts splits items into parts that each fit into a message.
func splitParts(d Delta, items []Item) []Delta {
	var parts []Delta
	start, size := 0, 0
	for i, it := range items {
		n := len(it.Key) + len(it.Value) + itemOverheadBytes
		if size > 0 && size+n > maxPartBytes {
			parts = append(parts, Delta{From: d.From, To: d.To, Full: d.Full, Part: len(parts), Items: items[start:i]})
			start, size = i, 0
		}
		size += n
	}
	return append(parts, Delta{From: d.From, To: d.To, Full: d.Full, Part: len(parts), Last: true, Items: items[start:]})
}
