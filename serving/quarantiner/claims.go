package quarantiner

import (
	"cmp"
	"maps"
	"slices"
)

// ServerProcess is a process of a backend server.
type ServerProcess struct {
	Server      string
	Incarnation string
}

// Mode is whether an attempt may run beside others with the same digest.
type Mode int

// The modes of a claim.
const (
	// Shared lets attempts with the same digest run in one process.
	Shared Mode = iota
	// Hedged may also use a second process.
	Hedged
	// Exclusive excludes all other attempts with the same digest.
	Exclusive
)

// maxProcesses limits the processes that run one request, so that its copies can't crash more than the two that quarantine it.
const maxProcesses = 2

// Claims holds the processes in which attempts run, by digest; an attempt claims its process before it is sent, so that
// copies from several entries are sent to the same server.
type Claims struct {
	byDigest map[Digest]*claim
}

type claim struct {
	attempts  map[ServerProcess]int
	exclusive bool
}

// NewClaims returns an empty set of claims.
func NewClaims() *Claims { return &Claims{byDigest: make(map[Digest]*claim)} }

// Acquire claims a process; if refused, it returns the server where the others run, or none if the attempt has to wait.
func (c *Claims) Acquire(d Digest, p ServerProcess, m Mode) (otherServer string, ok bool) {
	h := c.byDigest[d]
	switch {
	case h == nil:
		c.byDigest[d] = &claim{attempts: map[ServerProcess]int{p: 1}, exclusive: m == Exclusive}
		return "", true
	case h.exclusive || m == Exclusive:
		return "", false
	case h.attempts[p] > 0 || m == Hedged && len(h.attempts) < maxProcesses:
		h.attempts[p]++
		return "", true
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(h.attempts)), func(a, b ServerProcess) int { return cmp.Compare(a.Server, b.Server) })
	if first.Server == p.Server {
		// The other attempts' process has ended; their outcome isn't known yet.
		return "", false
	}
	return first.Server, false
}

// Release ends a claim.
func (c *Claims) Release(d Digest, p ServerProcess) {
	h := c.byDigest[d]
	if h == nil || h.attempts[p] == 0 {
		return
	}
	if h.attempts[p]--; h.attempts[p] == 0 {
		delete(h.attempts, p)
	}
	if len(h.attempts) == 0 {
		delete(c.byDigest, d)
	}
}

// Len returns the number of digests with a claim.
func (c *Claims) Len() int { return len(c.byDigest) }
