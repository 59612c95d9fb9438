package quarantiner

import (
	"cmp"
	"maps"
	"slices"
)

// Place is a process of a backend server.
type Place struct {
	Server      string
	Incarnation string
}

// Mode says beside which others an attempt may run.
type Mode int

// The modes of a claim.
const (
	// Shared lets attempts with the same digest run at one place.
	Shared Mode = iota
	// Hedged may open a second place beside the first one.
	Hedged
	// Alone lets nothing else with the same digest run.
	Alone
)

// maxPlaces is how many servers one request may be at, so that its copies can't crash more than a conviction takes.
const maxPlaces = 2

// Claims are the places where attempts run, by digest; an attempt claims its place before it is sent, so that copies
// which come through several entries meet.
type Claims struct {
	held map[Digest]*claimed
}

type claimed struct {
	at    map[Place]int
	alone bool
}

// NewClaims returns claims that hold nothing.
func NewClaims() *Claims { return &Claims{held: make(map[Digest]*claimed)} }

// Take claims a place; else it names the server where the others run, or none if the attempt has to wait.
func (c *Claims) Take(d Digest, p Place, m Mode) (meet string, ok bool) {
	h := c.held[d]
	switch {
	case h == nil:
		c.held[d] = &claimed{at: map[Place]int{p: 1}, alone: m == Alone}
		return "", true
	case h.alone || m == Alone:
		return "", false
	case h.at[p] > 0 || m == Hedged && len(h.at) < maxPlaces:
		h.at[p]++
		return "", true
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(h.at)), func(a, b Place) int { return cmp.Compare(a.Server, b.Server) })
	if first.Server == p.Server {
		// The process that the others ran in is gone; what became of them isn't known yet.
		return "", false
	}
	return first.Server, false
}

// Free ends a claim.
func (c *Claims) Free(d Digest, p Place) {
	h := c.held[d]
	if h == nil || h.at[p] == 0 {
		return
	}
	if h.at[p]--; h.at[p] == 0 {
		delete(h.at, p)
	}
	if len(h.at) == 0 {
		delete(c.held, d)
	}
}

// Len returns the number of digests that are claimed.
func (c *Claims) Len() int { return len(c.held) }
