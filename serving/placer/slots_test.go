package placer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"redwingstage.org/serving/configurer"
)

func init() {
	// A fixed seed makes the runs repeatable.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_000_000, 0)

func target(i int) configurer.Target {
	return configurer.Target{Service: "base", Adapter: fmt.Sprint("a", i), Version: 1}
}

func none(configurer.Target) bool { return false }

func TestVictimIsTheLeastUsed(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		rule Rule
		want int
	}{{ByRate, 2}, {ByRecency, 1}} {
		s := New(2, tt.rule)
		s.Reset(start, []configurer.Target{target(1), target(2)}, nil)
		for range 5 {
			s.Use(start.Add(time.Second), target(1))
		}
		s.Use(start.Add(2*time.Second), target(2))
		got, ok := s.Victim(start.Add(3*time.Second), none)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, target(tt.want))
	}
}

func TestInheritedPinsProtectUntilUnpinned(t *testing.T) {
	c := qt.New(t)
	s := New(1, ByRate)
	s.Reset(start, []configurer.Target{target(1)}, []configurer.Target{target(1)})
	_, ok := s.Victim(start, none)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.Drain(start, none), qt.IsFalse)
	s.UnpinInherited(target(1))
	_, ok = s.Victim(start, none)
	c.Assert(ok, qt.IsTrue)
}

func TestLateResponsesDontEndNewerOrders(t *testing.T) {
	c := qt.New(t)
	s := New(1, ByRate)
	s.BeginLoad(start, target(1), 1)
	c.Assert(s.EndLoad(start, target(1), 1, false), qt.IsTrue)
	s.BeginLoad(start, target(1), 2)
	c.Assert(s.EndLoad(start, target(1), 1, true), qt.IsFalse)
	c.Assert(s.CanServe(target(1)), qt.IsFalse)
	c.Assert(s.EndLoad(start, target(1), 2, true), qt.IsTrue)
	c.Assert(s.CanServe(target(1)), qt.IsTrue)
}

// TestPinnedIsNeverVictim evicts victims among random operations, which include resets.
func TestPinnedIsNeverVictim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, pins := New(3, ByRate), start, map[configurer.Target]int{}
		for range 80 {
			now = now.Add(time.Second)
			tg := target(rapid.IntRange(0, 5).Draw(t, "adapter"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				if s.HasFreeSlot() && s.State(tg) == Absent {
					s.BeginLoad(now, tg, 0)
					s.EndLoad(now, tg, 0, true)
				}
			case 1:
				if s.CanServe(tg) {
					s.Pin(tg)
					pins[tg]++
				}
			case 2:
				if pins[tg] > 0 {
					s.Unpin(tg)
					pins[tg]--
				}
			case 3:
				s.Drain(now, none)
			case 4:
				s.Reset(now, []configurer.Target{tg}, nil)
			case 5:
				if v, ok := s.Victim(now, none); ok {
					if pins[v] > 0 {
						t.Fatalf("the victim %v is pinned", v)
					}
					s.BeginUnload(now, v, 0)
					s.EndUnload(now, v, 0, true)
				}
			}
		}
	})
}

// TestIsWorthLoadingComparesWithVictim checks whether adapter 9, used uses times, is worth a slot.
func TestIsWorthLoadingComparesWithVictim(t *testing.T) {
	for _, tt := range []struct {
		name string
		pin  int
		uses int
		want bool
	}{
		{"less used than any", 0, 1, false},
		{"as much as the least used", 0, 2, true},
		{"as much as a pinned one, less than the victim", 1, 2, false},
		{"as much as the victim", 1, 5, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := New(2, ByRate)
			s.Reset(start, []configurer.Target{target(1), target(2)}, nil)
			for i, n := range map[int]int{1: 2, 2: 5, 9: tt.uses} {
				for range n {
					s.Use(start, target(i))
				}
			}
			if tt.pin > 0 {
				s.Pin(target(tt.pin))
			}
			c.Assert(s.IsWorthLoading(start, target(9)), qt.Equals, tt.want)
		})
	}
}
