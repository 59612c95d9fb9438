package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// trio is a group of three replicas in virtual time.
type trio struct {
	now      time.Time
	replicas map[uint64]*Replicator
	// slow is the replica whose writes don't end, cut the one whose messages are lost; 0 means none.
	slow, cut uint64
}

func newTrio(t *testing.T) *trio {
	g := &trio{now: time.Unix(0, 0), replicas: make(map[uint64]*Replicator)}
	founders := []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	for _, mb := range founders {
		cfg := Config{ID: mb.ID, Nonce: uint32(mb.ID), Founders: founders, Rand: rand.New(rand.NewPCG(1, mb.ID))}
		r, err := New(cfg, Stored{}, g.now)
		qt.Assert(t, err, qt.IsNil)
		g.replicas[mb.ID] = r
	}
	return g
}

func (g *trio) step() {
	g.now = g.now.Add(10 * time.Millisecond)
	for id := uint64(1); id <= 3; id++ {
		r := g.replicas[id]
		r.Tick(g.now)
		if w := r.Write(); w != nil && id != g.slow {
			r.Persisted(g.now, w)
		}
		r.Committed()
		for _, m := range r.Messages() {
			if id != g.cut && m.To != g.cut {
				g.replicas[m.To].Step(g.now, m)
			}
		}
	}
}

// awaitRole steps until a replica has a role, and returns it.
func (g *trio) awaitRole(t *testing.T, role Role) *Replicator {
	for range 2000 {
		for id := uint64(1); id <= 3; id++ {
			r := g.replicas[id]
			if r.Role() == role && (role != RoleLeader || r.appliedIndex >= r.termStartIndex && r.durableIndex == r.log.last()) {
				return r
			}
		}
		g.step()
	}
	t.Fatalf("no replica is a %s", role)
	return nil
}

// The logs of a group without a leader didn't tell why the last one had stepped down.
func TestStepDownNamesItsCause(t *testing.T) {
	for _, row := range []struct {
		cause Cause
		end   func(g *trio, l *Replicator)
	}{
		{CauseNoQuorum, func(g *trio, l *Replicator) { g.cut = l.cfg.ID }},
		{CauseSlowDisk, func(g *trio, l *Replicator) {
			g.slow = l.cfg.ID
			l.Propose(g.now, [][]byte{{1}})
		}},
		{CauseTransferred, func(g *trio, l *Replicator) { l.Transfer(g.now) }},
		{CauseHigherTerm, func(g *trio, l *Replicator) {
			l.Step(g.now, Message{Type: TypeAppendResponse, From: l.cfg.ID%3 + 1, To: l.cfg.ID, Term: l.Term() + 1, Reject: true})
		}},
	} {
		t.Run(string(row.cause), func(t *testing.T) {
			g := newTrio(t)
			l := g.awaitRole(t, RoleLeader)
			qt.Check(t, l.StepDownCause(), qt.Equals, Cause(""))
			row.end(g, l)
			for range 2000 {
				if l.Role() != RoleLeader {
					break
				}
				g.step()
			}
			qt.Check(t, l.Role(), qt.Not(qt.Equals), RoleLeader)
			qt.Check(t, l.StepDownCause(), qt.Equals, row.cause)
		})
	}
}

func TestRoles(t *testing.T) {
	g := newTrio(t)
	qt.Check(t, g.replicas[1].Role(), qt.Equals, RoleLearner, qt.Commentf("it isn't a member yet"))
	l := g.awaitRole(t, RoleLeader)
	qt.Check(t, l.Vote(), qt.Equals, l.cfg.ID)
	g.awaitRole(t, RoleFollower)
	g.cut = l.cfg.ID
	g.awaitRole(t, RolePreCandidate)
}
