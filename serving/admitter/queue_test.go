package admitter

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the runs repeatable.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_000_000, 0)

func all(int) bool { return true }

func TestUrgentAndWaitingWorkAlternate(t *testing.T) {
	c := qt.New(t)
	q := New[int](Config{MaxUrgentStreak: 3})
	for i := range 8 {
		c.Assert(q.Push(Item[int]{Value: i, Urgent: true, FirstTokenBy: start.Add(time.Duration(8-i) * time.Second)}), qt.IsTrue)
	}
	c.Assert(q.Push(Item[int]{Value: 100, Deadline: start.Add(time.Hour)}), qt.IsTrue)
	c.Assert(q.Push(Item[int]{Value: 101}), qt.IsTrue)
	var got []int
	for {
		it, ok := q.Next(all)
		if !ok {
			break
		}
		got = append(got, it.Value)
	}
	c.Assert(got, qt.DeepEquals, []int{7, 6, 5, 100, 4, 3, 2, 101, 1, 0})
}

func TestWaitingWorkIsReportedAndPromotedBeforeItsDeadline(t *testing.T) {
	c := qt.New(t)
	q := New[int](Config{})
	minute := func(int) time.Duration { return time.Minute }
	q.Push(Item[int]{Value: 1, Deadline: start.Add(10 * time.Minute)})
	q.Push(Item[int]{Value: 2, Urgent: true, FirstTokenBy: start.Add(time.Hour)})
	c.Assert(q.AtRisk(start, minute), qt.HasLen, 0)
	late := start.Add(9 * time.Minute)
	c.Assert(q.AtRisk(late, minute), qt.DeepEquals, []int{1})
	c.Assert(q.AtRisk(late, minute), qt.HasLen, 0)
	q.Promote(late, minute)
	it, _ := q.Next(all)
	c.Assert(it.Value, qt.Equals, 1)
}

// TestQueueIsBoundedAndLosesNothing compares random operations with a set of the queued values.
func TestQueueIsBoundedAndLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Config{MaxUrgent: 4, MaxWaiting: 5, MaxUrgentStreak: 2})
		queued := map[int]bool{}
		for i := range 60 {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				it := Item[int]{Value: i, Urgent: rapid.Bool().Draw(t, "urgent"), FirstTokenBy: start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "due")))}
				if q.Push(it) {
					queued[i] = true
				}
			case 2:
				if it, ok := q.Next(func(v int) bool { return v%3 != 0 }); ok {
					if !queued[it.Value] || it.Value%3 == 0 {
						t.Fatalf("Next returned %d", it.Value)
					}
					delete(queued, it.Value)
				}
			case 3:
				if v := rapid.IntRange(0, i).Draw(t, "value"); q.Remove(v) != queued[v] {
					t.Fatalf("wrong result of Remove(%d)", v)
				} else {
					delete(queued, v)
				}
			}
			urgent, waiting := q.LaneLengths()
			if q.Len() != len(queued) || urgent > 4 || waiting > 5 {
				t.Fatalf("%d values expected, %d urgent and %d waiting queued", len(queued), urgent, waiting)
			}
		}
	})
}
