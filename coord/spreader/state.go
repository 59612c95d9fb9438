package spreader

import (
	"slices"

	"github.com/go-faster/errors"
)

const (
	// keepChanges bounds the changed keys that are remembered for deltas.
	keepChanges = 16384
	// maxPart bounds the bytes of one part of a delta, keys and values.
	maxPart = 128 << 10
	// itemCost is what an item adds to a part beside its key and value, in bytes.
	itemCost = 8
)

// Item is one key with its value; nil removes the key.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// Delta leads from one revision to another; a full one replaces all, and a large one comes in parts.
type Delta struct {
	From  uint64 `cbor:"1,keyasint,omitempty"`
	To    uint64 `cbor:"2,keyasint"`
	Full  bool   `cbor:"3,keyasint,omitempty"`
	Part  int    `cbor:"4,keyasint,omitempty"`
	Last  bool   `cbor:"5,keyasint,omitempty"`
	Items []Item `cbor:"6,keyasint,omitempty"`
}

// State is a keyed state with a revision, and the memory of the latest changes; it has no lock.
type State struct {
	revision uint64
	items    map[string][]byte
	// log holds the latest changes in order; what came up to floor is forgotten.
	log   []entry
	floor uint64
	keep  int
}

type entry struct {
	revision uint64
	key      string
}

// Option changes a State.
type Option func(*State)

// WithMemory sets how many changed keys are remembered for deltas.
func WithMemory(keys int) Option { return func(s *State) { s.keep = keys } }

// New returns an empty state at revision 0.
func New(opts ...Option) *State {
	s := &State{items: make(map[string][]byte), keep: keepChanges}
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

// BackwardsError says that a change would lead to a revision that isn't later.
type BackwardsError struct{ Have, Got uint64 }

// Error implements error.
func (e *BackwardsError) Error() string {
	return errors.Errorf("revision %d does not come after %d", e.Got, e.Have).Error()
}

// Change moves the state to a later revision.
func (s *State) Change(revision uint64, items []Item) error {
	if revision <= s.revision {
		return &BackwardsError{Have: s.revision, Got: revision}
	}
	for _, it := range items {
		if it.Value == nil {
			delete(s.items, it.Key)
		} else {
			s.items[it.Key] = it.Value
		}
		s.log = append(s.log, entry{revision: revision, key: it.Key})
	}
	s.revision = revision
	s.trim()
	return nil
}

// trim forgets the oldest changes, whole revisions at a time.
func (s *State) trim() {
	if len(s.log) <= 2*s.keep {
		return
	}
	cut := len(s.log) - s.keep
	s.floor = s.log[cut-1].revision
	for cut < len(s.log) && s.log[cut].revision == s.floor {
		cut++
	}
	s.log = slices.Clone(s.log[cut:])
}

// Replace sets the whole state at a revision that must not be earlier, and forgets the changes before.
func (s *State) Replace(revision uint64, items []Item) error {
	if revision < s.revision {
		return &BackwardsError{Have: s.revision, Got: revision}
	}
	s.items = make(map[string][]byte, len(items))
	for _, it := range items {
		s.items[it.Key] = it.Value
	}
	s.revision, s.floor, s.log = revision, revision, nil
	return nil
}

// Since returns what leads a holder of revision from to the present, in parts; nothing if it is there already or ahead.
func (s *State) Since(from uint64) []Delta {
	if from >= s.revision {
		return nil
	}
	if from < s.floor || from == 0 {
		return split(Delta{To: s.revision, Full: true}, s.all())
	}
	start, _ := slices.BinarySearchFunc(s.log, from+1, func(e entry, r uint64) int {
		if e.revision < r {
			return -1
		}
		return 1
	})
	seen := make(map[string]bool, len(s.log)-start)
	items := make([]Item, 0, len(s.log)-start)
	for _, e := range s.log[start:] {
		if !seen[e.key] {
			seen[e.key] = true
			items = append(items, Item{Key: e.key, Value: s.items[e.key]})
		}
	}
	return split(Delta{From: from, To: s.revision}, items)
}

func (s *State) all() []Item {
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

// split cuts items into parts that each fit a message.
func split(d Delta, items []Item) []Delta {
	var parts []Delta
	start, size := 0, 0
	for i, it := range items {
		n := len(it.Key) + len(it.Value) + itemCost
		if size > 0 && size+n > maxPart {
			parts = append(parts, Delta{From: d.From, To: d.To, Full: d.Full, Part: len(parts), Items: items[start:i]})
			start, size = i, 0
		}
		size += n
	}
	return append(parts, Delta{From: d.From, To: d.To, Full: d.Full, Part: len(parts), Last: true, Items: items[start:]})
}
