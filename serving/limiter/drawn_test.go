package limiter

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
)

// drawnPlays is the number of plays with drawn faults.
const drawnPlays = 5

// drawnFaults are the faults that a play draws from: each happens to the first or last n entries.
var drawnFaults = []struct {
	name  string
	apply func(s *sim, n int)
}{
	{"nothing", func(*sim, int) {}},
	{"leader away", func(s *sim, _ int) { s.pool = nil }},
	{"next leader", func(s *sim, _ int) { s.startLeader() }},
	{"cut", func(s *sim, n int) {
		for _, e := range s.entries[:n] {
			e.isCut = true
		}
	}},
	{"freeze", func(s *sim, n int) {
		for _, e := range s.entries[len(s.entries)-n:] {
			e.isFrozen = true
		}
	}},
	{"restart", func(s *sim, n int) {
		for _, e := range s.entries[:n/3] {
			s.restart(e)
		}
	}},
	{"heal", func(s *sim, _ int) {
		for _, e := range s.entries {
			e.isCut, e.isFrozen = false, false
		}
		if s.pool == nil {
			s.startLeader()
		}
	}},
}

// restart begins an entry's process anew.
func (s *sim) restart(e *simEntry) {
	e.set, e.waiting = New(s.bounds), nil
	e.set.Configure(s.now, s.list())
	if s.pool != nil && !e.isCut {
		e.set.Announce(s.now, s.epoch, s.pool.entries.n, nil)
		e.set.Confirm(s.now)
	}
}

// Accounts send one to eight times their usual tokens, while leaders change or are away and entries are cut off, freeze and
// restart, drawn at random.
func TestDrawnFaultsStayWithinLimits(t *testing.T) {
	var highest float64
	for seed := range uint64(drawnPlays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			rnd := rand.New(rand.NewPCG(seed, 7))
			all, usual := lectureAccounts()
			var accounts []matcher.Account
			var load []float64
			for _, i := range []int{rnd.IntN(4), 6 + rnd.IntN(4), 15} {
				accounts, load = append(accounts, all[i]), append(load, usual[i])
			}
			s := newSim(c, seed, lectures, []int{8, 30, 63, 88, 150}[rnd.IntN(5)], accounts)
			s.run(2 * time.Second)
			for i, a := range s.accounts {
				a.load = load[i]
			}
			s.run(time.Duration(rnd.IntN(8)) * time.Second)
			for _, a := range s.accounts {
				a.load *= 1 + 7*rnd.Float64()
			}
			var story []string
			for range 8 {
				f, n := drawnFaults[rnd.IntN(len(drawnFaults))], rnd.IntN(len(s.entries))
				story = append(story, fmt.Sprint(f.name, " ", n))
				f.apply(s, n)
				s.run(time.Duration(200+rnd.IntN(4000)) * time.Millisecond)
			}
			for _, a := range s.accounts {
				highest = max(highest, a.highest(s.bounds.Window)/s.bounds.Limit(a.Quota))
			}
			t.Logf("%d entries: %s", len(s.entries), strings.Join(story, ", "))
			s.checkBounds()
		})
	}
	t.Logf("the highest window has %.2f of what is allowed", highest)
}
