package resumer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/resumer"
)

var begin = time.Unix(1000, 0)

func TestStartIsRememberedForHorizon(t *testing.T) {
	c := qt.New(t)
	x := resumer.NewIndex(10*time.Second, 100)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	for n := range 400 {
		now := at(float64(n) / 4)
		c.Assert(x.Add(now, fmt.Sprint(n), resumer.Start{Service: "s", Software: fmt.Sprint("v", n)}), qt.IsTrue)
		for old := range n {
			s, ok := x.Get(now, fmt.Sprint(old))
			age := float64(n-old) / 4
			c.Assert(ok || age > 10, qt.IsTrue, qt.Commentf("forgotten after %v s", age))
			c.Assert(!ok || age <= 20, qt.IsTrue, qt.Commentf("remembered after %v s", age))
			c.Assert(!ok || s.Software == fmt.Sprint("v", old), qt.IsTrue)
		}
	}
	_, ok := x.Get(at(200), "399")
	c.Check(ok, qt.IsFalse, qt.Commentf("after a pause"))
}

func TestIndexIsBounded(t *testing.T) {
	c := qt.New(t)
	x := resumer.NewIndex(time.Hour, 10)
	for n := range 1000 {
		x.Add(begin, fmt.Sprint(n), resumer.Start{Service: "s"})
	}
	c.Check(len(x.All(begin)) <= 20, qt.IsTrue)
	_, ok := x.Get(begin, "999")
	c.Check(ok, qt.IsTrue)
	c.Check(x.Add(begin, strings.Repeat("x", resumer.MaxIDBytes+1), resumer.Start{}), qt.IsFalse)
	c.Check(x.Add(begin, "", resumer.Start{}), qt.IsFalse)
}

func TestVersionRetiresAfterHorizonWithoutServer(t *testing.T) {
	c := qt.New(t)
	v1, v2 := resumer.Version{Service: "s", Software: "v1"}, resumer.Version{Service: "s", Software: "v2"}
	known := []resumer.Version{v1, v2}
	r := resumer.NewRetirement()
	for _, row := range []struct {
		after  int
		listed []resumer.Version
		due    bool
	}{
		{0, []resumer.Version{v1, v2}, false},
		{5, []resumer.Version{v2}, false},
		{14, []resumer.Version{v2}, false},
		{15, []resumer.Version{v1, v2}, false},
		{16, []resumer.Version{v2}, false},
		{25, []resumer.Version{v2}, false},
		{26, []resumer.Version{v2}, true},
	} {
		listed := make(map[resumer.Version]bool)
		for _, v := range row.listed {
			listed[v] = true
		}
		v, due := r.Due(begin.Add(time.Duration(row.after)*time.Second), 10*time.Second, known, listed)
		c.Check(due, qt.Equals, row.due, qt.Commentf("after %d s", row.after))
		c.Check(!due || v == v1, qt.IsTrue)
	}
}
