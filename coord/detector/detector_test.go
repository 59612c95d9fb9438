package detector

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// observeRounds observes a gap of each member every 20 ms; those of slow members are multiplied by their factor.
func observeRounds(d *Detector, now time.Time, rounds int, slow map[string]float64, members int) time.Time {
	for range rounds {
		now = now.Add(20 * time.Millisecond)
		for i := range members {
			name := fmt.Sprint("e", i)
			d.Observe(now, name, TokenGap, time.Duration(20*max(1, slow[name])*float64(time.Millisecond)))
		}
	}
	return now
}

func TestStragglers(t *testing.T) {
	for _, tt := range []struct {
		name    string
		members int
		slow    map[string]float64
	}{
		{"one of twelve", 12, map[string]float64{"e3": 4}},
		{"three of twelve", 12, map[string]float64{"e0": 4, "e3": 4, "e7": 3}},
		{"single member against its own past", 1, map[string]float64{"e0": 4}},
		{"none at 1.5 times the reference", 3, map[string]float64{"e1": 1.5}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := New(Config{})
			now := observeRounds(d, time.Unix(0, 0), 100, nil, tt.members)
			now = observeRounds(d, now, 25, tt.slow, tt.members)
			for i := range tt.members {
				name := fmt.Sprint("e", i)
				c.Check(d.IsStraggler(now, name), qt.Equals, tt.slow[name] >= DefaultFactor, qt.Commentf(name))
			}
			now = observeRounds(d, now, 60, nil, tt.members)
			for i := range tt.members {
				c.Check(d.IsStraggler(now, fmt.Sprint("e", i)), qt.IsFalse)
			}
		})
	}
}

func TestObservePendingAndHold(t *testing.T) {
	c := qt.New(t)
	d := New(Config{})
	now := observeRounds(d, time.Unix(0, 0), 50, nil, 3)
	for i := 1; i <= 10; i++ {
		now = now.Add(30 * time.Millisecond)
		d.ObservePending(now, "e1", TokenGap, time.Duration(i)*30*time.Millisecond)
	}
	c.Assert(d.IsStraggler(now, "e1"), qt.IsTrue)
	c.Assert(d.IsStraggler(now.Add(DefaultHold+time.Millisecond), "e1"), qt.IsFalse)
	c.Assert(Stalled(now.Add(time.Second), now, time.Second), qt.IsTrue)
	c.Assert(Stalled(now, now, time.Second), qt.IsFalse)
}

// TestSlowHasNoSideEffects compares members with and without a call of Slow after the hold.
func TestSlowHasNoSideEffects(t *testing.T) {
	c := qt.New(t)
	for _, queried := range []bool{false, true} {
		d := New(Config{})
		now := observeRounds(d, time.Unix(0, 0), 100, nil, 3)
		now = observeRounds(d, now, 25, map[string]float64{"e1": 5}, 3)
		c.Assert(d.IsStraggler(now, "e1"), qt.IsTrue)
		now = now.Add(2 * DefaultHold)
		if queried {
			c.Assert(d.IsStraggler(now, "e1"), qt.IsFalse)
		}
		d.Observe(now, "e1", TokenGap, 100*time.Millisecond)
		c.Assert(d.IsStraggler(now, "e1"), qt.IsFalse, qt.Commentf("queried: %t", queried))
	}
}
