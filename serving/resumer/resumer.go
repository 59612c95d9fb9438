package resumer

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// MaxIDBytes is the longest ID of an attempt that is remembered.
const MaxIDBytes = 128

// Start is where a stream began.
type Start struct {
	Service string
	// Software is the software version of the server that brought the first event.
	Software string
}

// Index remembers the starts of streams by the ID of the attempt that brought the first event. It has no clock and is not safe for
// concurrent use.
type Index struct {
	horizon time.Duration
	limit   int
	// current has what was added since rotatedAt, earlier what was added in the horizon before.
	current, earlier map[string]Start
	rotatedAt        time.Time
}

// NewIndex returns an Index that remembers each start for the horizon at least, and for twice that at most. Beyond 2 x limit starts it
// forgets the earliest sooner.
func NewIndex(horizon time.Duration, limit int) *Index {
	return &Index{horizon: horizon, limit: limit, current: make(map[string]Start), earlier: make(map[string]Start)}
}

// Add remembers the start of a stream, and again what was added before; it returns false for an ID that is too long.
func (x *Index) Add(now time.Time, id string, s Start) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	x.rotate(now)
	if len(x.current) >= x.limit {
		x.shift(now)
	}
	x.current[id] = s
	return true
}

// Get returns the start of a stream and whether it is remembered.
func (x *Index) Get(now time.Time, id string) (Start, bool) {
	x.rotate(now)
	if s, ok := x.current[id]; ok {
		return s, true
	}
	s, ok := x.earlier[id]
	return s, ok
}

// All returns all remembered starts.
func (x *Index) All(now time.Time) map[string]Start {
	x.rotate(now)
	out := maps.Clone(x.earlier)
	maps.Copy(out, x.current)
	return out
}

// rotate forgets what was added more than two horizons ago.
func (x *Index) rotate(now time.Time) {
	switch age := now.Sub(x.rotatedAt); {
	case age < x.horizon:
	case age < 2*x.horizon:
		x.shift(now)
	default:
		x.shift(now)
		clear(x.earlier)
	}
}

func (x *Index) shift(now time.Time) {
	x.current, x.earlier = x.earlier, x.current
	clear(x.current)
	x.rotatedAt = now
}

// Version is a software version of a service's servers.
type Version struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint,omitempty"`
}

// Compare orders versions by service and name.
func (v Version) Compare(other Version) int {
	if c := strings.Compare(v.Service, other.Service); c != 0 {
		return c
	}
	return strings.Compare(v.Software, other.Software)
}

// Retirement decides when a version can't have a stream any more that goes on. It has no clock and is not safe for concurrent use.
type Retirement struct {
	// unlistedAt is since when no server of a version is listed.
	unlistedAt map[Version]time.Time
}

// NewRetirement returns a Retirement that has seen no version unlisted.
func NewRetirement() *Retirement {
	return &Retirement{unlistedAt: make(map[Version]time.Time)}
}

// Due returns the first of the known versions without a listed server for the horizon, the longest time that a stream goes on.
func (r *Retirement) Due(now time.Time, horizon time.Duration, known []Version, listed map[Version]bool) (Version, bool) {
	for v := range r.unlistedAt {
		if listed[v] || !slices.Contains(known, v) {
			delete(r.unlistedAt, v)
		}
	}
	for _, v := range known {
		at, ok := r.unlistedAt[v]
		switch {
		case listed[v]:
		case !ok:
			r.unlistedAt[v] = now
		case now.Sub(at) >= horizon:
			return v, true
		}
	}
	return Version{}, false
}
