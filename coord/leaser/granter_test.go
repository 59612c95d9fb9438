package leaser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

func ExampleGranter() {
	now := start
	g := New(1, now, true)
	g.Renew(now, "a")
	g.MarkNew("engine")
	grant, _ := g.Grant(now, "engine", "a")
	fmt.Println(grant.Holder, LeaderEpochOf(grant.Epoch), grant.Clean)
	_, err := g.Grant(now, "engine", "a")
	fmt.Println(err)

	// The leader of the next leader epoch accepts claims, and grants other keys once the old leases have expired.
	next := New(2, now, false)
	next.Renew(now, "a")
	fmt.Println(next.Claim(now, "engine", "a", grant.Epoch))
	_, err = next.Grant(now, "other", "a")
	fmt.Println(err)
	// Output:
	// a 1 true
	// key "engine": held by a
	// <nil>
	// key "other": leases of the last leader still run
}

func TestClaims(t *testing.T) {
	c := qt.New(t)
	g := New(3, start, false)
	g.Renew(start, "a")
	g.Renew(start, "b")
	old, older := uint64(2)<<leaderEpochShift|7, uint64(2)<<leaderEpochShift|5
	c.Assert(g.Claim(start, "k", "x", old), qt.ErrorMatches, `key "k": no lease of x`)
	c.Assert(g.Claim(start, "k", "a", older), qt.IsNil)
	c.Assert(g.Claim(start, "k", "b", old), qt.IsNil)
	c.Assert(g.Claim(start, "k", "a", older), qt.ErrorMatches, `key "k": held by b`)
	c.Assert(g.Claim(start, "l", "a", uint64(3)<<leaderEpochShift|1), qt.ErrorMatches, `key "l": epoch is not of an earlier leader epoch`)
	c.Assert(g.KeyCount("a"), qt.Equals, 0)
	late := g.SettledAt()
	g.Renew(late, "a")
	c.Assert(g.Claim(late, "l", "a", old), qt.ErrorMatches, `key "l": too late to claim`)
	c.Assert(g.Release("k", "a"), qt.IsFalse)
	c.Assert(g.Release("k", "b"), qt.IsTrue)
	grant, err := g.Grant(late, "k", "a")
	c.Assert(err, qt.IsNil)
	c.Assert(grant, qt.Equals, Grant{Holder: "a", Epoch: uint64(3)<<leaderEpochShift | 1, Clean: true})
	g.epochs.lastNumber = 1<<leaderEpochShift - 1
	_, err = g.Grant(late, "m", "a")
	c.Assert(err, qt.ErrorMatches, "era 3 has no numbers left")
}

// holderState is a holder's local state: its lease by its own clock, and the key's epoch.
type holderState struct {
	lease *HolderLease
	epoch uint64
}

// simulate runs delayed renewals over leader changes; it fails if the key has two holders or its epoch goes back.
func simulate(seed uint64, skipWait bool) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := start
	g := New(1, now, true)
	holders := map[string]*holderState{"a": {lease: NewHolderLease()}, "b": {lease: NewHolderLease()}}
	names := []string{"a", "b"}
	partitionedUntil := map[string]time.Time{}
	last := uint64(0)
	for step := range 3000 {
		now = now.Add(50 * time.Millisecond)
		if rng.IntN(150) == 0 {
			g = New(uint64(step)+2, now, false)
			g.skipWait = skipWait
		}
		for _, name := range names {
			h := holders[name]
			if rng.IntN(60) == 0 {
				partitionedUntil[name] = now.Add(time.Duration(rng.IntN(9000)) * time.Millisecond)
			}
			if !h.lease.Held(now) {
				h.epoch = 0
			}
			if now.Before(partitionedUntil[name]) {
				continue
			}
			n := h.lease.Renew(now.Add(-time.Duration(rng.IntN(400)) * time.Millisecond))
			g.Renew(now, name)
			if h.epoch > 0 && g.Claim(now, "k", name, h.epoch) != nil {
				h.epoch = 0
			}
			if grant, ok := g.Holder("k"); ok && grant.Holder == name {
				h.epoch = grant.Epoch
			}
			h.lease.Acknowledge(n, g.TTL())
		}
		g.ExpireLeases(now)
		if _, held := g.Holder("k"); !held {
			_, _ = g.Grant(now, "k", names[rng.IntN(2)])
		}
		if a, b := holders["a"], holders["b"]; a.epoch > 0 && b.epoch > 0 && a.lease.Held(now) && b.lease.Held(now) {
			return fmt.Errorf("two holders under epochs %d and %d", a.epoch, b.epoch)
		}
		if grant, ok := g.Holder("k"); ok {
			if grant.Epoch < last {
				return fmt.Errorf("epoch %d after %d", grant.Epoch, last)
			}
			last = grant.Epoch
		}
	}
	return nil
}

func TestOneHolder(t *testing.T) {
	for seed := range uint64(300) {
		qt.Assert(t, simulate(seed, false), qt.IsNil, qt.Commentf("seed %d", seed))
	}
	detected := 0
	for seed := range uint64(20) {
		if simulate(seed, true) != nil {
			detected++
		}
	}
	// The check must detect a leader that does not wait.
	qt.Assert(t, detected > 0, qt.IsTrue)
}
