package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
)

var start = time.Unix(1000, 0)

func instance(id string, startedMS int64, sequence uint64, addr string) tracker.Instance {
	return tracker.Instance{Key: tracker.Key{ID: id, StartedMS: startedMS}, Service: "s", Addr: addr, Sequence: sequence}
}

func TestAnnounce(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		name          string
		announcements []tracker.Instance
		// accepted is the result of each announcement; addrs are the known instances at the end, by ID.
		accepted []bool
		addrs    map[string]string
	}{
		{
			"a stale announcement of the same start is ignored",
			[]tracker.Instance{instance("a", 1, 5, "x"), instance("a", 1, 4, "y")},
			[]bool{true, false},
			map[string]string{"a": "x"},
		},
		{
			"a new start with the same ID restarts the sequence",
			[]tracker.Instance{instance("a", 1, 5, "x"), instance("a", 2, 1, "x")},
			[]bool{true, true},
			map[string]string{"a": "x"},
		},
		{
			"an announcement of an earlier start is ignored",
			[]tracker.Instance{instance("a", 2, 1, "x"), instance("a", 1, 9, "y")},
			[]bool{true, false},
			map[string]string{"a": "x"},
		},
		{
			"a new instance replaces the one with its address",
			[]tracker.Instance{instance("a", 1, 5, "x"), instance("b", 2, 1, "x")},
			[]bool{true, true},
			map[string]string{"b": "x"},
		},
		{
			"a delayed announcement of the address's earlier instance is ignored",
			[]tracker.Instance{instance("b", 2, 1, "x"), instance("a", 1, 5, "x")},
			[]bool{true, false},
			map[string]string{"b": "x"},
		},
	} {
		c.Run(row.name, func(c *qt.C) {
			tr := tracker.New()
			for i, in := range row.announcements {
				c.Check(tr.Announce(start, in), qt.Equals, row.accepted[i])
			}
			addrs := make(map[string]string)
			for _, in := range tr.Instances() {
				addrs[in.Key.ID] = in.Addr
			}
			c.Check(addrs, qt.DeepEquals, row.addrs)
		})
	}
}

func TestLeaveLastsUntilRestart(t *testing.T) {
	c := qt.New(t)
	tr := tracker.New()
	tr.Announce(start, instance("a", 1, 1, "x"))
	tr.TakeChanges()
	tr.MarkLeaving(tracker.Key{ID: "a", StartedMS: 1})
	c.Check(tr.TakeChanges(), qt.DeepEquals, []string{"a"})
	tr.Announce(start, instance("a", 1, 2, "x"))
	in, _ := tr.Instance("a")
	c.Check(in.Leaving, qt.IsTrue)
	tr.Announce(start, instance("a", 2, 1, "x"))
	in, _ = tr.Instance("a")
	c.Check(in.Leaving, qt.IsFalse)
}

func TestLeaveWithoutStartTimeMeansCurrentStart(t *testing.T) {
	c := qt.New(t)
	tr := tracker.New()
	tr.Announce(start, instance("a", 7, 1, "x"))
	tr.MarkLeaving(tracker.Key{ID: "a"})
	c.Check(tr.IsLeaving(tracker.Key{ID: "a", StartedMS: 7}), qt.IsTrue)
}

func TestExpire(t *testing.T) {
	c := qt.New(t)
	tr := tracker.New()
	tr.Announce(start, instance("a", 1, 1, "x"))
	tr.Announce(start.Add(time.Minute), instance("b", 1, 1, "y"))
	tr.TakeChanges()
	tr.Expire(start.Add(time.Minute), 30*time.Second)
	c.Check(tr.TakeChanges(), qt.DeepEquals, []string{"a"})
}
