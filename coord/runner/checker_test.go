package runner

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// checker checks the invariants over the histories of all replicas and callers.
type checker struct {
	err            error
	lastID         uint64
	ackedIndex     uint64
	commandByIndex map[uint64]appliedCommand
	indexByID      map[uint64]uint64
	ackedIndexByID map[uint64]uint64
	refused        map[uint64]bool
	leaders        map[uint64]string
}

// appliedCommand is the command applied at an index, the replica that applied it first and the state hash after it.
type appliedCommand struct {
	id        uint64
	hash      uint64
	replicaID uint64
}

func newChecker() *checker {
	return &checker{
		commandByIndex: map[uint64]appliedCommand{}, indexByID: map[uint64]uint64{}, ackedIndexByID: map[uint64]uint64{},
		refused: map[uint64]bool{}, leaders: map[uint64]string{},
	}
}

func (c *checker) failf(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Errorf(format, args...)
	}
}

// isInjected reports whether err comes from an injected disk failure.
func (c *checker) isInjected(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO)
}

func (c *checker) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// checkApplied checks that all replicas apply the same commands in the same order, each once.
func (c *checker) checkApplied(replicaID, index, id, hash uint64) {
	first, ok := c.commandByIndex[index]
	if !ok {
		if firstIndex, duplicate := c.indexByID[id]; duplicate {
			c.failf("command %d is applied at index %d and at %d", id, firstIndex, index)
		}
		if c.refused[id] {
			c.failf("command %d was refused and is applied at index %d", id, index)
		}
		c.commandByIndex[index], c.indexByID[id] = appliedCommand{id: id, hash: hash, replicaID: replicaID}, index
		return
	}
	if first.id != id || first.hash != hash {
		c.failf("index %d: replica %d applied command %d, replica %d applies %d", index, first.replicaID, first.id, replicaID, id)
	}
}

func (c *checker) checkRestored(replicaID, index, hash uint64) {
	if p := c.commandByIndex[index]; index != 0 && p.hash != hash {
		c.failf("replica %d restored a state of index %d that no replica had", replicaID, index)
	}
}

// checkOutcome checks and records the checkOutcome that a caller got.
func (c *checker) checkOutcome(id uint64, o outcome) {
	var notLeader *NotLeaderError
	switch {
	case o.err == nil:
		c.ackedIndexByID[id] = o.result.Index
		c.ackedIndex = max(c.ackedIndex, o.result.Index)
		if c.commandByIndex[o.result.Index].id != id {
			c.failf("command %d was acknowledged at index %d, which holds command %d", id, o.result.Index, c.commandByIndex[o.result.Index].id)
		}
	case errors.As(o.err, &notLeader):
		c.refused[id] = true
		if appliedIndex, ok := c.indexByID[id]; ok {
			c.failf("command %d is refused but applied at index %d", id, appliedIndex)
		}
	}
}

// checkRead checks that a confirmed checkRead sees all commands acknowledged before it began.
func (c *checker) checkRead(replicaID, applied, ackedBefore uint64) {
	if applied < ackedBefore {
		c.failf("replica %d served a read at index %d after index %d was acknowledged", replicaID, applied, ackedBefore)
	}
}

func (c *checker) checkLeader(term, id uint64, incarnation int) {
	name := fmt.Sprintf("replica %d, incarnation %d", id, incarnation)
	if old := c.leaders[term]; old != "" && old != name {
		c.failf("term %d has two leaders: %s and %s", term, old, name)
	}
	c.leaders[term] = name
}

// checkFinalState checks a replica's state at the end of a run.
func (c *checker) checkFinalState(m *simMachine) {
	if m.index < c.ackedIndex {
		c.failf("replica %d ends at index %d, but %d was acknowledged", m.n.id, m.index, c.ackedIndex)
	}
	if p := c.commandByIndex[m.index]; p.hash != m.hash {
		c.failf("replica %d ends with another state at index %d", m.n.id, m.index)
	}
}
