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
	// Software is the version of the server's software, "" if it names none.
	Software string `cbor:"9,keyasint,omitempty"`
}

// Tracker keeps the instances; it has no clock and is not safe for concurrent use.
type Tracker struct {
	instances   map[string]*record
	leavingKeys map[Key]bool
	changedIDs  map[string]bool
}

type record struct {
	Instance
	lastSeen time.Time
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{instances: make(map[string]*record), leavingKeys: make(map[Key]bool), changedIDs: make(map[string]bool)}
}

// Announce records an announcement; it returns false for a stale one, which changes nothing.
func (t *Tracker) Announce(now time.Time, in Instance) bool {
	in.Leaving = in.Leaving || t.leavingKeys[in.Key]
	old, ok := t.instances[in.Key.ID]
	if ok && isStale(old.Instance, in) {
		return false
	}
	for id, other := range t.instances {
		if id == in.Key.ID || other.Addr != in.Addr {
			continue
		}
		if other.Key.StartedMS > in.Key.StartedMS {
			return false
		}
		t.Remove(id)
	}
	if !ok || !equalForCallers(old.Instance, in) {
		t.changedIDs[in.Key.ID] = true
	}
	t.instances[in.Key.ID] = &record{Instance: in, lastSeen: now}
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
		a.Leaving == b.Leaving && a.Software == b.Software
}

// MarkLeaving permanently marks a start of an instance as leaving, whatever it announces later; StartedMS 0 means the
// current start.
func (t *Tracker) MarkLeaving(k Key) {
	if r, ok := t.instances[k.ID]; ok && k.StartedMS == 0 {
		k = r.Key
	}
	t.leavingKeys[k] = true
	if r, ok := t.instances[k.ID]; ok && r.Key == k && !r.Leaving {
		r.Leaving = true
		t.changedIDs[k.ID] = true
	}
}

// IsLeaving reports whether the start of an instance was marked as leaving.
func (t *Tracker) IsLeaving(k Key) bool { return t.leavingKeys[k] }

// Remove removes an instance.
func (t *Tracker) Remove(id string) {
	if _, ok := t.instances[id]; ok {
		delete(t.instances, id)
		t.changedIDs[id] = true
	}
}

// Expire removes instances that sent no announcement for longer than ttl.
func (t *Tracker) Expire(now time.Time, ttl time.Duration) {
	for id, r := range t.instances {
		if now.Sub(r.lastSeen) > ttl {
			t.Remove(id)
		}
	}
}

// Instance returns the instance with the ID and whether it is known.
func (t *Tracker) Instance(id string) (Instance, bool) {
	r, ok := t.instances[id]
	if !ok {
		return Instance{}, false
	}
	return r.Instance, true
}

// Instances returns all instances, sorted by ID.
func (t *Tracker) Instances() []Instance {
	out := make([]Instance, 0, len(t.instances))
	for _, id := range slices.Sorted(maps.Keys(t.instances)) {
		out = append(out, t.instances[id].Instance)
	}
	return out
}

// TakeChanges returns the IDs of instances added, changed or removed since the last call, sorted.
func (t *Tracker) TakeChanges() []string {
	if len(t.changedIDs) == 0 {
		return nil
	}
	out := slices.Sorted(maps.Keys(t.changedIDs))
	clear(t.changedIDs)
	return out
}
