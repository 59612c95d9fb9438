package runner

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// checker checks the invariants over the histories of all replicas and callers.
type checker struct {
	err     error
	ids     uint64
	acked   uint64
	byIndex map[uint64]place
	places  map[uint64]uint64
	results map[uint64]uint64
	refused map[uint64]bool
	leaders map[uint64]string
}

// place is the command applied at an index, the replica that applied it first and the state hash after it.
type place struct {
	id   uint64
	hash uint64
	by   uint64
}

func newChecker() *checker {
	return &checker{
		byIndex: map[uint64]place{}, places: map[uint64]uint64{}, results: map[uint64]uint64{},
		refused: map[uint64]bool{}, leaders: map[uint64]string{},
	}
}

func (c *checker) failf(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Errorf(format, args...)
	}
}

// allowed reports whether err comes from an injected disk failure.
func (c *checker) allowed(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO)
}

func (c *checker) propose() uint64 {
	c.ids++
	return c.ids
}

// applied checks that all replicas apply the same commands in the same order, each once.
func (c *checker) applied(by, index, id, hash uint64) {
	p, ok := c.byIndex[index]
	if !ok {
		if at, twice := c.places[id]; twice {
			c.failf("command %d is applied at index %d and at %d", id, at, index)
		}
		if c.refused[id] {
			c.failf("command %d was refused and is applied at index %d", id, index)
		}
		c.byIndex[index], c.places[id] = place{id: id, hash: hash, by: by}, index
		return
	}
	if p.id != id || p.hash != hash {
		c.failf("index %d: replica %d applied command %d, replica %d applies %d", index, p.by, p.id, by, id)
	}
}

func (c *checker) restored(by, index, hash uint64) {
	if p := c.byIndex[index]; index != 0 && p.hash != hash {
		c.failf("replica %d restored a state of index %d that no replica had", by, index)
	}
}

// outcome checks and records the outcome that a caller got.
func (c *checker) outcome(id uint64, o outcome) {
	var not *NotLeaderError
	switch {
	case o.err == nil:
		c.results[id] = o.result.Index
		c.acked = max(c.acked, o.result.Index)
		if c.byIndex[o.result.Index].id != id {
			c.failf("command %d was acknowledged at index %d, where %d is", id, o.result.Index, c.byIndex[o.result.Index].id)
		}
	case errors.As(o.err, &not):
		c.refused[id] = true
		if at, ok := c.places[id]; ok {
			c.failf("command %d is refused but applied at index %d", id, at)
		}
	}
}

// read checks that a confirmed read sees all commands acknowledged before it began.
func (c *checker) read(by, applied, floor uint64) {
	if applied < floor {
		c.failf("replica %d served a read at index %d after index %d was acknowledged", by, applied, floor)
	}
}

func (c *checker) leader(term, id uint64, life int) {
	who := fmt.Sprintf("replica %d, incarnation %d", id, life)
	if old := c.leaders[term]; old != "" && old != who {
		c.failf("term %d has two leaders: %s and %s", term, old, who)
	}
	c.leaders[term] = who
}

// final checks a replica's state at the end of a run.
func (c *checker) final(m *simMachine) {
	if m.index < c.acked {
		c.failf("replica %d ends at index %d, but %d was acknowledged", m.n.id, m.index, c.acked)
	}
	if p := c.byIndex[m.index]; p.hash != m.hash {
		c.failf("replica %d ends with another state at index %d", m.n.id, m.index)
	}
}
