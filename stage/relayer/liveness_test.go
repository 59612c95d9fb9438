package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

// startProbed runs an entry in front of a server that responds without a length and, with answer, to one probe on each connection.
func startProbed(c *qt.C, answer func(w io.Writer, r *http.Request)) *Relayer {
	e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		if r.URL.Path == testHealthPath {
			answer(w, r)
		} else {
			_, _ = io.WriteString(w, responseHead(r, http.StatusOK)+"body")
		}
		return false
	})
	return e
}

const probeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// A response without a length counts as complete only by the answer of the start of the server that sent it.
func TestProbeOfServerAfterItsResponse(t *testing.T) {
	const answer = probeAnswer
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
			e := startProbed(c, func(w io.Writer, r *http.Request) {
				c.Check(r.Header.Get("X-Expect"), qt.Equals, "s0")
				c.Check(r.Header.Get(testAttempt), qt.Equals, "")
				_, _ = io.WriteString(w, row.answer)
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
	first, mustRun := l.join(c.Context(), k)
	c.Check(mustRun, qt.IsTrue)
	shared, mustRun := l.join(c.Context(), k)
	c.Check(shared, qt.Equals, first)
	c.Check(mustRun, qt.IsFalse)
	_, mustRun = l.join(c.Context(), tracker.Key{ID: "s1"})
	c.Check(mustRun, qt.IsTrue, qt.Commentf("servers are probed independently"))

	c.Check(l.next(k), qt.Equals, first)
	later, mustRun := l.join(c.Context(), k)
	c.Check(later, qt.Not(qt.Equals), first)
	c.Check(mustRun, qt.IsFalse)
	c.Check(l.next(k), qt.Equals, later)
	c.Check(l.next(k), qt.IsNil)
	last, mustRun := l.join(c.Context(), k)
	c.Check(mustRun, qt.IsTrue)

	l.leave(first)
	c.Check(first.ctx.Err(), qt.IsNil, qt.Commentf("another one waits for it"))
	l.leave(shared)
	c.Check(first.ctx.Err(), qt.IsNotNil)
	l.leave(last)
	c.Check(l.next(k), qt.IsNil, qt.Commentf("nobody waits for it"))
	joined, _ := l.join(c.Context(), k)
	c.Check(joined.ctx.Err(), qt.IsNil)
}

// A server that is silent costs a request that may be repeated the time of a probe, and others what time they have.
func TestSilentProbeEndsWithItsTime(t *testing.T) {
	for _, row := range []struct {
		path     string
		deadline time.Duration
		status   int
		wait     time.Duration
	}{
		{"/safe/", 9 * time.Second, http.StatusBadGateway, livenessTimeout},
		{"/once/", 1500 * time.Millisecond, http.StatusGatewayTimeout, 1500 * time.Millisecond},
	} {
		t.Run(row.path, func(t *testing.T) {
			c := qt.New(t)
			held := make(chan struct{})
			c.Cleanup(func() { close(held) })
			e := startProbed(c, func(io.Writer, *http.Request) { <-held })
			began := time.Now()
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", fmt.Sprintf("%s: %d", testDeadline, row.deadline.Milliseconds()))
			c.Check(l.receive(c).status, qt.Equals, row.status)
			took := time.Since(began)
			c.Check(took >= row.wait && took < row.wait+time.Second, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// A part of a response counted as complete by what its server had written on an idle connection before it was killed, and the link
// delivered late.
func TestEarlierBytesOnIdleConnectionAreNoConfirmation(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	context.AfterFunc(c.Context(), func() { _ = ln.Close() })
	var arrived sync.WaitGroup
	arrived.Add(2)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					switch r.URL.Path {
					case testHealthPath:
						// The link delivers what the server wrote on this connection while it lived.
						_, _ = io.WriteString(conn, probeAnswer)
						return
					case "/once/framed":
						arrived.Done()
						arrived.Wait()
						_, _ = io.WriteString(conn, responseHead(r, http.StatusOK, "Content-Length: 2", "Keep-Alive: timeout=9")+"ok")
					default:
						_, _ = io.WriteString(conn, responseHead(r, http.StatusOK)+"part")
						_ = ln.Close()
						return
					}
				}
			}()
		}
	}()
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{engineAt("s0", ln.Addr().String())}})
	first, second := dial(c, e), dial(c, e)
	first.send(c, "POST", "/once/framed", "x", testDeadline+": 9000")
	second.send(c, "POST", "/once/framed", "x", testDeadline+": 9000")
	c.Assert(first.receive(c).status, qt.Equals, http.StatusOK)
	c.Assert(second.receive(c).status, qt.Equals, http.StatusOK)
	first.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	c.Check(first.receive(c).status, qt.Equals, http.StatusBadGateway)
}

// A complete response was cut since the probe went over an idle connection whose other side had fallen silent, as behind a lost link.
func TestResponseIsCompleteBesideSilentIdleConnection(t *testing.T) {
	c := qt.New(t)
	var arrived sync.WaitGroup
	arrived.Add(2)
	held := make(chan struct{})
	e, _ := startScripted(c, func(w io.Writer, n int, r *http.Request) bool {
		switch r.URL.Path {
		case testHealthPath:
			if n > 0 {
				<-held
				return false
			}
			_, _ = io.WriteString(w, probeAnswer)
			return true
		case "/once/framed":
			arrived.Done()
			arrived.Wait()
			_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 2", "Keep-Alive: timeout=9")+"ok")
			return true
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK)+"body")
		return false
	})
	c.Cleanup(func() { close(held) })
	first, second := dial(c, e), dial(c, e)
	first.send(c, "POST", "/once/framed", "x", testDeadline+": 9000")
	second.send(c, "POST", "/once/framed", "x", testDeadline+": 9000")
	c.Assert(first.receive(c).status, qt.Equals, http.StatusOK)
	c.Assert(second.receive(c).status, qt.Equals, http.StatusOK)
	first.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	c.Check(first.receive(c).status, qt.Equals, http.StatusOK)
}

// A complete response was cut since this entry had as many connections to its server as it may have: the limit had fallen meanwhile.
func TestResponseAtConnectionLimitIsComplete(t *testing.T) {
	c := qt.New(t)
	end := map[string]chan struct{}{"a": make(chan struct{}), "b": make(chan struct{})}
	e, seen := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		if r.URL.Path == testHealthPath {
			_, _ = io.WriteString(w, probeAnswer)
			return true
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream")+"data: 1\n\n")
		<-end[strings.TrimPrefix(r.URL.Path, "/stream/")]
		return false
	})
	shares := []matcher.Share{{Service: "s", Weight: 1}}
	route := matcher.Route{Name: "stream", Prefix: "/stream/", Host: testHost, Timeout: 20 * time.Second, LatencyTarget: time.Second, Attempts: 1, Stream: true, Shares: shares}
	table, err := matcher.New(2, []matcher.Route{route}, []matcher.Service{{Name: "s", HealthPath: testHealthPath, MaxConns: 3}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	e.table.Store(table)
	a, b := dial(c, e), dial(c, e)
	a.send(c, "POST", "/stream/a", "x", testDeadline+": 9000")
	b.send(c, "POST", "/stream/b", "x", testDeadline+": 9000")
	for _, l := range []*caller{a, b} {
		_, err := l.br.Peek(1)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(seen.Load(), qt.Equals, int32(2))
	e.control.applyMessage(governor.DownMessage{Entries: 3})
	c.Assert(e.connLimit("s"), qt.Equals, 1)
	close(end["a"])
	c.Check(a.receive(c).err, qt.IsNil)
	e.pool.mu.Lock()
	c.Check(e.pool.open[tracker.Key{ID: "s0", StartedMS: 1}], qt.Equals, 1, qt.Commentf("the probe's connection isn't kept"))
	e.pool.mu.Unlock()
	close(end["b"])
	c.Check(b.receive(c).err, qt.IsNil)
}

// Complete responses were cut if their engine's report had more than 64 KiB.
func TestResponseOfServerWithLargeReportIsComplete(t *testing.T) {
	c := qt.New(t)
	report := `{"models":["` + strings.Repeat("x", 100<<10) + `"]}`
	e := startProbed(c, func(w io.Writer, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	})
	l := dial(c, e)
	l.send(c, "POST", "/once/", "x", testDeadline+": 3000")
	c.Check(l.receive(c).status, qt.Equals, http.StatusOK)
}

// A server that can't be asked counted as one that fails, and as one that may have crashed, with each complete response.
func TestServerThatCannotBeAskedIsNotFailing(t *testing.T) {
	c := qt.New(t)
	in := engineAt("s0", "127.0.0.1:1")
	e := startEntryBefore(c, in)
	table, err := matcher.New(2, nil, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	e.table.Store(table)
	a := &attempt{call: &call{route: &matcher.Route{}}, choice: balancer.Choice{Instance: in}}
	r := e.confirmEnd(c.Context(), a, &responseWriter{}, attemptResult{outcome: outcomeAnswered, result: balancer.OK})
	c.Check(r.outcome, qt.Equals, outcomeUnknown)
	c.Check(r.result, qt.Equals, balancer.NoEvidence)
	c.Check(r.isBroken, qt.IsFalse)
}

// A server that ended a response in order because its caller read too slowly was asked whether it lives, and its answer made the part a
// complete response.
func TestResponseThatServerCutForSlowCallerIsIncomplete(t *testing.T) {
	c := qt.New(t)
	event := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
	hasCut := make(chan bool, 1)
	e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		if r.URL.Path == testHealthPath {
			_, _ = io.WriteString(w, probeAnswer)
			return true
		}
		conn, ok := w.(net.Conn)
		if !c.Check(ok, qt.IsTrue) {
			return false
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream"))
		for range 1000 {
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := io.WriteString(w, event)
			if err != nil {
				// The rest of the event still goes out, so that the end comes between two events.
				_ = conn.SetWriteDeadline(time.Time{})
				_, _ = io.WriteString(w, event[n:])
				hasCut <- true
				return false
			}
		}
		hasCut <- false
		return false
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 9000")
	time.Sleep(2 * time.Second)
	got := l.receive(c)
	c.Assert(<-hasCut, qt.IsTrue)
	c.Check(got.err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// A complete response was cut since its server, at its own limit of connections, reset the first new one.
func TestResponseOfServerThatResetsNewConnectionIsComplete(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	context.AfterFunc(c.Context(), func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if l, ok := conn.(*net.TCPConn); ok && n == 1 {
				_ = l.SetLinger(0)
				_ = l.Close()
				continue
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				answer := probeAnswer
				if r.URL.Path != testHealthPath {
					answer = responseHead(r, http.StatusOK) + "body"
				}
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{engineAt("s0", ln.Addr().String())}})
	l := dial(c, e)
	l.send(c, "POST", "/once/", "x", testDeadline+": 3000")
	c.Check(l.receive(c).status, qt.Equals, http.StatusOK)
}

// A full server, whose health check waits in its queue, had its complete responses cut after a second.
func TestResponseOfServerWithQueuedHealthChecksIsComplete(t *testing.T) {
	c := qt.New(t)
	e := startProbed(c, func(w io.Writer, _ *http.Request) {
		time.Sleep(livenessTimeout + 300*time.Millisecond)
		_, _ = io.WriteString(w, probeAnswer)
	})
	l := dial(c, e)
	l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	c.Check(l.receive(c).status, qt.Equals, http.StatusOK)
}

// A server that left and ended after its last response counted as crashed by the request that it had answered, which must not lead to the
// quarantine of sound requests.
func TestLeavingServerThatEndsAfterItsStreamIsNoCrash(t *testing.T) {
	c := qt.New(t)
	engine := endingEngine{last: 4, end: make(chan struct{})}
	in := engine.start(c, "s0")
	e := startEntryBefore(c, in)
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 900")
	_, err := l.br.Peek(1)
	c.Assert(err, qt.IsNil)
	e.balancer.MarkLeaving([]tracker.Key{in.Key})
	close(engine.end)
	l.receive(c)
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		up, _ := e.suspects.takeReport(time.Now().Add(time.Hour))
		c.Assert(up.Crashes, qt.HasLen, 0)
	}
}
