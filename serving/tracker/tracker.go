package tracker

import (
	"maps"
	"slices"
	"time"
)

// Adapter names an adapter of a base model; an empty name is the base model itself.
type Adapter struct {
	Model string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint,omitempty"`
}

// Resident is an adapter that an engine holds.
type Resident struct {
	Adapter Adapter `cbor:"1,keyasint"`
	Version int     `cbor:"2,keyasint,omitempty"`
}

// Key names one start of a backend server.
type Key struct {
	ID string `cbor:"1,keyasint"`
	// Born is the Unix time of the start in milliseconds.
	Born int64 `cbor:"2,keyasint"`
}

// Instance is what a backend server says of itself.
type Instance struct {
	Key      Key    `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Sequence uint64 `cbor:"5,keyasint"`
	Slots    int    `cbor:"6,keyasint"`
	// Leaving says that it takes no new work.
	Leaving   bool       `cbor:"7,keyasint,omitempty"`
	Residents []Resident `cbor:"8,keyasint,omitempty"`
}

// Tracker keeps the instances; it has no clock and no lock.
type Tracker struct {
	known   map[string]*record
	left    map[Key]bool
	changed map[string]bool
}

type record struct {
	Instance
	seen time.Time
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{known: make(map[string]*record), left: make(map[Key]bool), changed: make(map[string]bool)}
}

// Announce takes what an instance says; it reports false for a late call, which changes nothing.
func (t *Tracker) Announce(now time.Time, in Instance) bool {
	in.Leaving = in.Leaving || t.left[in.Key]
	old, ok := t.known[in.Key.ID]
	if ok && isLate(old.Instance, in) {
		return false
	}
	for id, other := range t.known {
		if id == in.Key.ID || other.Addr != in.Addr {
			continue
		}
		if other.Key.Born > in.Key.Born {
			return false
		}
		t.Remove(id)
	}
	if !ok || !sameService(old.Instance, in) {
		t.changed[in.Key.ID] = true
	}
	t.known[in.Key.ID] = &record{Instance: in, seen: now}
	return true
}

// isLate reports whether what the instance says now is older than what is known.
func isLate(old, in Instance) bool {
	if old.Key.Born != in.Key.Born {
		return in.Key.Born < old.Key.Born
	}
	return in.Sequence <= old.Sequence
}

// sameService reports whether nothing changed that callers of the instance must know.
func sameService(a, b Instance) bool {
	return a.Key == b.Key && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Leaving == b.Leaving
}

// Leave marks a start of an instance as leaving for good, whatever it says later; without a birth it is the known one.
func (t *Tracker) Leave(k Key) {
	if r, ok := t.known[k.ID]; ok && k.Born == 0 {
		k = r.Key
	}
	t.left[k] = true
	if r, ok := t.known[k.ID]; ok && r.Key == k && !r.Leaving {
		r.Leaving = true
		t.changed[k.ID] = true
	}
}

// HasLeft reports whether the start of an instance was marked as leaving.
func (t *Tracker) HasLeft(k Key) bool { return t.left[k] }

// Remove forgets an instance.
func (t *Tracker) Remove(id string) {
	if _, ok := t.known[id]; ok {
		delete(t.known, id)
		t.changed[id] = true
	}
}

// Expire forgets instances that were silent for longer than ttl.
func (t *Tracker) Expire(now time.Time, ttl time.Duration) {
	for id, r := range t.known {
		if now.Sub(r.seen) > ttl {
			t.Remove(id)
		}
	}
}

// Instance returns the instance with the ID.
func (t *Tracker) Instance(id string) (Instance, bool) {
	r, ok := t.known[id]
	if !ok {
		return Instance{}, false
	}
	return r.Instance, true
}

// Instances returns all instances by ID.
func (t *Tracker) Instances() []Instance {
	out := make([]Instance, 0, len(t.known))
	for _, id := range slices.Sorted(maps.Keys(t.known)) {
		out = append(out, t.known[id].Instance)
	}
	return out
}

// Changes returns the IDs of what came, changed or went since the last call, by name.
func (t *Tracker) Changes() []string {
	if len(t.changed) == 0 {
		return nil
	}
	out := slices.Sorted(maps.Keys(t.changed))
	clear(t.changed)
	return out
}
