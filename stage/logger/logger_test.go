package logger

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestQuotaLimitsLinesAndCountsDropped(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	q := lineQuota{perSecond: 2}
	for _, row := range []struct {
		after   time.Duration
		ok      bool
		dropped int
	}{
		{0, true, 0},
		{100 * time.Millisecond, true, 0},
		{200 * time.Millisecond, false, 0},
		{900 * time.Millisecond, false, 0},
		{1100 * time.Millisecond, true, 2},
		{1200 * time.Millisecond, true, 0},
		{1300 * time.Millisecond, false, 0},
	} {
		dropped, ok := q.allow(now.Add(row.after))
		c.Check(ok, qt.Equals, row.ok, qt.Commentf("after %v", row.after))
		c.Check(dropped, qt.Equals, row.dropped, qt.Commentf("after %v", row.after))
	}
}

func TestEachKindOfLineHasItsOwnQuota(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	p := New(&out, "info").Component("entry")
	// The window outlasts the test on any slow machine.
	p.late.windowStart = time.Now().Add(time.Hour)
	for range 3 * lateLinesPerSecond {
		p.LateRequest("r1", RequestTiming{Reason: "first event"})
	}
	p.Request(Request{ID: "r2", Outcome: "refused", Reason: "full", Status: 503})
	c.Check(strings.Count(out.String(), "request served late"), qt.Equals, lateLinesPerSecond)
	c.Check(strings.Count(out.String(), "request ended"), qt.Equals, 1)
}
