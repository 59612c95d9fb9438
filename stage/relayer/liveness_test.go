package relayer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
)

// A response without a length counts as complete only by the answer of the start of the server that sent it.
func TestProbeOfServerAfterItsResponse(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, row := range []struct {
		name, answer string
		isComplete   bool
	}{
		{"answered", answer, true},
		{"answered with the server's ID", strings.Replace(answer, "OK", "OK\r\n"+testInstance+": s0", 1), true},
		{"refused, as the server is full", "HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n", true},
		{"no such path", "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", true},
		{"answered without a length", "HTTP/1.1 200 OK\r\n\r\n{}", true},
		{"after an answer to another request", "HTTP/1.1 200 OK\r\n" + testAttempt + ": id-0\r\nContent-Length: 2\r\n\r\n{}" + answer, true},
		{"only an answer to another request", "HTTP/1.1 200 OK\r\n" + testAttempt + ": id-0\r\nContent-Length: 2\r\n\r\n{}", false},
		{"by another server", strings.Replace(answer, "OK", "OK\r\n"+testInstance+": s1", 1), false},
		{"misdirected", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false},
		{"by a later start of the server", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1002", false},
		{"by the same start of the server", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1001", true},
		{"broken off", "HTTP/1.1 200 OK\r\nContent-Le", false},
		{"not answered", "", false},
		{"malformed", "x\r\n\r\n", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				if r.URL.Path == testHealthPath {
					c.Check(r.Header.Get("X-Expect"), qt.Equals, "s0")
					c.Check(r.Header.Get(testAttempt), qt.Equals, "")
					_, _ = io.WriteString(w, row.answer)
					return false
				}
				_, _ = io.WriteString(w, responseHead(r, http.StatusOK)+"body")
				return false
			})
			e.headers.ParseStart = func(body []byte) (int64, bool) {
				var ms int64
				n, _ := fmt.Sscan(string(body), &ms)
				return ms - 1000, n == 1
			}
			l := dial(c, e)
			l.send(c, "POST", "/once/", "x", testDeadline+": 3000")
			got := l.receive(c)
			c.Check(got.status == http.StatusOK, qt.Equals, row.isComplete, qt.Commentf("status %d", got.status))
		})
	}
}

// Engines are asked for their report, which takes no slot, other servers at their health path.
func TestProbePath(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	e.headers.ReportPath = "/report"
	table, err := matcher.New(2, nil, []matcher.Service{{Name: "s", HealthPath: "/up"}, {Name: "engines", AdapterSlots: 1, HealthPath: "/up"}, {Name: "none"}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	e.table.Store(table)
	for service, want := range map[string]string{"s": "/up", "engines": "/report"} {
		path, err := e.probePath(service)
		c.Assert(err, qt.IsNil)
		c.Check(path, qt.Equals, want)
	}
	for _, service := range []string{"none", "unknown"} {
		_, err := e.probePath(service)
		c.Check(err, qt.IsNotNil)
	}
}

// A response must not count by the answer to a probe that was sent before its end; those that end meanwhile share the next probe.
func TestProbesAreSharedUntilSent(t *testing.T) {
	c := qt.New(t)
	l, k := newLiveness(), tracker.Key{ID: "s0"}
	first, mustRun := l.join(k)
	c.Check(mustRun, qt.IsTrue)
	shared, mustRun := l.join(k)
	c.Check(shared, qt.Equals, first)
	c.Check(mustRun, qt.IsFalse)
	_, mustRun = l.join(tracker.Key{ID: "s1"})
	c.Check(mustRun, qt.IsTrue, qt.Commentf("servers are probed independently"))

	c.Check(l.next(k), qt.Equals, first)
	later, mustRun := l.join(k)
	c.Check(later, qt.Not(qt.Equals), first)
	c.Check(mustRun, qt.IsFalse)
	c.Check(l.next(k), qt.Equals, later)
	c.Check(l.next(k), qt.IsNil)
	_, mustRun = l.join(k)
	c.Check(mustRun, qt.IsTrue)
}

// A server that is silent costs its caller the time of a probe.
func TestSilentProbeEndsWithItsTime(t *testing.T) {
	c := qt.New(t)
	held := make(chan struct{})
	c.Cleanup(func() { close(held) })
	e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		if r.URL.Path == testHealthPath {
			<-held
			return false
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK)+"body")
		return false
	})
	began := time.Now()
	l := dial(c, e)
	l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	got := l.receive(c)
	c.Check(got.status, qt.Equals, http.StatusBadGateway)
	c.Check(got.body, qt.Contains, "may have run")
	c.Check(time.Since(began) < livenessTimeout+time.Second, qt.IsTrue)
}
