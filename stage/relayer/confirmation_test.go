package relayer

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

// A request was run by a service that only an older version names, and no line told which version had decided it or how long
// the leader hadn't confirmed that.
func TestLinesNameVersionAndAgeOfConfirmation(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	const age = time.Hour
	setConfirmation(e, time.Time{})
	e.control.receive("replica", governor.DownMessage{}, time.Now().Add(-age))
	d := e.decideNow(&request{host: testHost, path: "/once/"})
	c.Check(d.basis().Version, qt.Equals, uint64(1))
	c.Check(d.basis().LeaderAge >= age, qt.IsTrue)
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).status >= 500, qt.IsTrue)
	for _, line := range log.requestLines(c, "id-1") {
		ms, ok := line["leader_ms"].(float64)
		c.Check(ok && ms >= float64(age.Milliseconds()), qt.IsTrue, qt.Commentf("%v", line))
		c.Check(line["version"], qt.Equals, 1.0)
	}
	text := metricsText(e)
	c.Check(text, qt.Contains, "redwingstage_entry_leader_age_seconds_count 1\n")
	c.Check(text, qt.Contains, `redwingstage_entry_leader_age_seconds_bucket{le="30"} 0`)
}

// A request for a route that a stale entry didn't know was refused without a line.
func TestRefusalOfUnknownRouteAtStaleEntryIsLogged(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"))
	setConfirmation(e, time.Time{})
	l := dial(c, e)
	l.send(c, "POST", "/unknown/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(log.requestLines(c, "id-1"), qt.DeepEquals, []map[string]any{{
		"message": "entry: request ended", "outcome": "refused", "status": 503.0, "version": 1.0, "leader_ms": -1.0,
		"reason": "no route matches, and this entry may not know the newest ones",
	}})
}

// A 404 of an entry that had an older configuration left no line that told its version and the leader's age.
func TestRefusalOfUnknownRouteIsLogged(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"))
	e.control.receive("replica", governor.DownMessage{}, time.Now().Add(time.Hour))
	l := dial(c, e)
	l.send(c, "POST", "/unknown/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).status, qt.Equals, http.StatusNotFound)
	c.Check(log.requestLines(c, "id-1"), qt.DeepEquals, []map[string]any{{
		"message": "entry: request ended", "outcome": "refused", "status": 404.0, "version": 1.0, "leader_ms": 0.0,
		"reason": "no route matches " + testHost + "/unknown/",
	}})
}

func TestConfirmationWatch(t *testing.T) {
	c := qt.New(t)
	const apply = 2 * time.Second
	start := time.Unix(100, 0)
	var w confirmationWatch
	for _, row := range []struct {
		after, age  time.Duration
		warn, ended bool
	}{
		{0, -1, false, false},
		{time.Second, apply, false, false},
		{2 * time.Second, apply + 1, true, false},
		{3 * time.Second, apply + time.Second, false, false},
		{7 * time.Second, apply + 5*time.Second, true, false},
		{8 * time.Second, 0, false, true},
		{9 * time.Second, 0, false, false},
		{10 * time.Second, 3 * time.Second, true, false},
	} {
		warn, ended := w.check(start.Add(row.after), row.age, apply)
		c.Check(warn, qt.Equals, row.warn, qt.Commentf("after %v", row.after))
		c.Check(ended, qt.Equals, row.ended, qt.Commentf("after %v", row.after))
	}
}

func TestUnconfirmedDocumentLeavesLines(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"))
	var w confirmationWatch
	// The entry itself, which checks by the real time, has nothing to say.
	now := time.Now().Add(time.Hour)
	e.control.receive("replica", governor.DownMessage{}, now)
	e.control.logConfirmation(&w, now.Add(e.control.applyTime()))
	e.control.logConfirmation(&w, now.Add(e.control.applyTime()+time.Millisecond))
	e.control.logConfirmation(&w, now)
	log.mu.Lock()
	defer log.mu.Unlock()
	var lines []string
	for line := range strings.Lines(log.buf.String()) {
		if strings.Contains(line, "the document in force") {
			lines = append(lines, line[strings.Index(line, `"level"`):])
		}
	}
	c.Check(lines, qt.DeepEquals, []string{
		`"level":"warn","version":1,"leader_ms":2001,"message":"entry: the document in force is unconfirmed"}` + "\n",
		`"level":"info","version":1,"message":"entry: the document in force is confirmed again"}` + "\n",
	})
}

func BenchmarkDecision(b *testing.B) {
	c := qt.New(b)
	e := startEntryWithLog(c, logger.New(&logBuffer{}, "info"))
	e.control.receive("replica", governor.DownMessage{}, time.Now())
	req := &request{host: testHost, path: "/once/"}
	b.ReportAllocs()
	for b.Loop() {
		d := e.decideNow(req)
		e.metrics.observeLeaderAge(d.leaderAge)
	}
}
