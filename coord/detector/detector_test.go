package detector

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// feed gives every member a gap each 20 ms; slow members take factor times as long.
func feed(d *Detector, now time.Time, rounds int, slow map[string]float64, members int) time.Time {
	for range rounds {
		now = now.Add(20 * time.Millisecond)
		for i := range members {
			name := fmt.Sprint("e", i)
			d.Observe(now, name, Gap, time.Duration(20*max(1, slow[name])*float64(time.Millisecond)))
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
		{"the only one, against its own past", 1, map[string]float64{"e0": 4}},
		{"none at half again", 3, map[string]float64{"e1": 1.5}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := New(Config{})
			now := feed(d, time.Unix(0, 0), 100, nil, tt.members)
			now = feed(d, now, 25, tt.slow, tt.members)
			for i := range tt.members {
				name := fmt.Sprint("e", i)
				c.Check(d.Slow(now, name), qt.Equals, tt.slow[name] >= DefaultFactor, qt.Commentf(name))
			}
			now = feed(d, now, 60, nil, tt.members)
			for i := range tt.members {
				c.Check(d.Slow(now, fmt.Sprint("e", i)), qt.IsFalse)
			}
		})
	}
}

func TestOverdueAndHold(t *testing.T) {
	c := qt.New(t)
	d := New(Config{})
	now := feed(d, time.Unix(0, 0), 50, nil, 3)
	for i := 1; i <= 10; i++ {
		now = now.Add(30 * time.Millisecond)
		d.Overdue(now, "e1", Gap, time.Duration(i)*30*time.Millisecond)
	}
	c.Assert(d.Slow(now, "e1"), qt.IsTrue)
	c.Assert(d.Slow(now.Add(DefaultHold+time.Millisecond), "e1"), qt.IsFalse)
	c.Assert(Silent(now.Add(time.Second), now, time.Second), qt.IsTrue)
	c.Assert(Silent(now, now, time.Second), qt.IsFalse)
}

// TestAskingChangesNothing compares a member that is asked about after its hold with one that isn't.
func TestAskingChangesNothing(t *testing.T) {
	c := qt.New(t)
	for _, asked := range []bool{false, true} {
		d := New(Config{})
		now := feed(d, time.Unix(0, 0), 100, nil, 3)
		now = feed(d, now, 25, map[string]float64{"e1": 5}, 3)
		c.Assert(d.Slow(now, "e1"), qt.IsTrue)
		now = now.Add(2 * DefaultHold)
		if asked {
			c.Assert(d.Slow(now, "e1"), qt.IsFalse)
		}
		d.Observe(now, "e1", Gap, 100*time.Millisecond)
		c.Assert(d.Slow(now, "e1"), qt.IsFalse, qt.Commentf("asked: %t", asked))
	}
}
