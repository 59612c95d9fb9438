package tracker

import (
	"maps"
	"slices"
	"time"
)

// Adapter identifies an adapter of a base model; an empty name is the base model itself.
type Adapter struct {
	Model string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint,omitempty"`
}

// Resident is an adapter that an engine holds.
type Resident struct {
	Adapter Adapter `cbor:"1,keyasint"`
	Version int     `cbor:"2,keyasint,omitempty"`
}

// Key identifies one start of a backend server.
type Key struct {
	ID string `cbor:"1,keyasint"`
	// StartedMS is the Unix time of the start in milliseconds.
	StartedMS int64 `cbor:"2,keyasint"`
}

// Instance is a backend server's announcement.
type Instance struct {
	Key      Key    `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Sequence uint64 `cbor:"5,keyasint"`
	Slots    int    `cbor:"6,keyasint"`
	// Leaving reports that the server accepts no new work.
	Leaving   bool       `cbor:"7,keyasint,omitempty"`
	Residents []Resident `cbor:"8,keyasint,omitempty"`
}

// Tracker keeps the instances; it has no clock and is not safe for concurrent use.
type Tracker struct {
	known   map[string]*record
	leaving map[Key]bool
	changed map[string]bool
}

type record struct {
	Instance
	lastSeen time.Time
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{known: make(map[string]*record), leaving: make(map[Key]bool), changed: make(map[string]bool)}
}

// Announce records an announcement; it returns false for a stale one, which changes nothing.
func (t *Tracker) Announce(now time.Time, in Instance) bool {
	in.Leaving = in.Leaving || t.leaving[in.Key]
	old, ok := t.known[in.Key.ID]
	if ok && isStale(old.Instance, in) {
		return false
	}
	for id, other := range t.known {
		if id == in.Key.ID || other.Addr != in.Addr {
			continue
		}
		if other.Key.StartedMS > in.Key.StartedMS {
			return false
		}
		t.Remove(id)
	}
	if !ok || !equalForCallers(old.Instance, in) {
		t.changed[in.Key.ID] = true
	}
	t.known[in.Key.ID] = &record{Instance: in, lastSeen: now}
	return true
}

// isStale reports whether an announcement is not newer than the recorded one.
func isStale(old, in Instance) bool {
	if old.Key.StartedMS != in.Key.StartedMS {
		return in.Key.StartedMS < old.Key.StartedMS
	}
	return in.Sequence <= old.Sequence
}

// equalForCallers reports whether the fields are equal that callers of the instance depend on.
func equalForCallers(a, b Instance) bool {
	return a.Key == b.Key && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Leaving == b.Leaving
}

// MarkLeaving permanently marks a start of an instance as leaving, whatever it announces later; StartedMS 0 means the
// current start.
func (t *Tracker) MarkLeaving(k Key) {
	if r, ok := t.known[k.ID]; ok && k.StartedMS == 0 {
		k = r.Key
	}
	t.leaving[k] = true
	if r, ok := t.known[k.ID]; ok && r.Key == k && !r.Leaving {
		r.Leaving = true
		t.changed[k.ID] = true
	}
}

// IsLeaving reports whether the start of an instance was marked as leaving.
func (t *Tracker) IsLeaving(k Key) bool { return t.leaving[k] }

// Remove removes an instance.
func (t *Tracker) Remove(id string) {
	if _, ok := t.known[id]; ok {
		delete(t.known, id)
		t.changed[id] = true
	}
}

// Expire removes instances that sent no announcement for longer than ttl.
func (t *Tracker) Expire(now time.Time, ttl time.Duration) {
	for id, r := range t.known {
		if now.Sub(r.lastSeen) > ttl {
			t.Remove(id)
		}
	}
}

// Instance returns the instance with the ID and whether it is known.
func (t *Tracker) Instance(id string) (Instance, bool) {
	r, ok := t.known[id]
	if !ok {
		return Instance{}, false
	}
	return r.Instance, true
}

// Instances returns all instances, sorted by ID.
func (t *Tracker) Instances() []Instance {
	out := make([]Instance, 0, len(t.known))
	for _, id := range slices.Sorted(maps.Keys(t.known)) {
		out = append(out, t.known[id].Instance)
	}
	return out
}

// TakeChanges returns the IDs of instances added, changed or removed since the last call, sorted.
func (t *Tracker) TakeChanges() []string {
	if len(t.changed) == 0 {
		return nil
	}
	out := slices.Sorted(maps.Keys(t.changed))
	clear(t.changed)
	return out
}
