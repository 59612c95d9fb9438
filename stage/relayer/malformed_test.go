package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

// connScript writes the raw response to request n, from 0, of a connection; false closes the connection.
type connScript func(w io.Writer, n int, r *http.Request) bool

// startScripted runs an entry in front of one server that responds by a script; seen counts the requests that reached the server.
func startScripted(c *qt.C, s connScript) (e *Relayer, seen *atomic.Int32) {
	e, seen = startEntry(c), new(atomic.Int32)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if r.URL.Path != testHealthPath {
						seen.Add(1)
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !s(conn, n, r) {
						return
					}
				}
			}()
		}
	}()
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{{
		Key: tracker.Key{ID: "s0", StartedMS: 1}, Service: "s", Zone: "z", Addr: ln.Addr().String(), Slots: 200,
	}}})
	return e, seen
}

// responseHead returns the head of a server's response to a request.
func responseHead(r *http.Request, status int, headers ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: seal\r\n", status, testAttempt, r.Header.Get(testAttempt), testSeal)
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "\r\n"
}

// writeEndlessly writes text repeatedly until the entry closes the connection.
func writeEndlessly(w io.Writer, text string) {
	block := strings.Repeat(text, max(1<<14/len(text), 1))
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// TestMalformedResponses has servers send malformed, ambiguous and endless responses: each caller gets its own complete
// response or an error, in bounded time, and an incomplete response doesn't look complete.
func TestMalformedResponses(t *testing.T) {
	ok := "Content-Length: 2"
	for _, row := range []struct {
		name string
		path string
		// send is written as the response, then more repeatedly.
		send func(r *http.Request) string
		more string
		// status is what the caller gets, 0 if the response breaks off after its head; body is that of a success.
		status int
		body   string
	}{
		{name: "one interim response", path: "/once/", status: 200, body: "ok", send: func(r *http.Request) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + responseHead(r, 200, ok) + "ok"
		}},
		{name: "interim response with headers", path: "/stream/", status: 200, body: "id: 1\n\n", send: func(r *http.Request) string {
			return "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + responseHead(r, 200, "Content-Length: 7") + "id: 1\n\n"
		}},
		{name: "endless interim responses", path: "/once/", status: 502, more: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "protocol switch", path: "/once/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 101, "Upgrade: x")
		}},
		{name: "endless head", path: "/once/", status: 502, more: "X: y\r\n", send: func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n"
		}},
		{name: "endless header line", path: "/once/", status: 502, more: "y", send: func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nX: "
		}},
		{name: "not HTTP", path: "/once/", status: 502, more: "\x00\x01garbage"},
		{name: "endless body without length", path: "/once/", more: "x", send: func(r *http.Request) string { return responseHead(r, 200) }},
		{name: "endless error body without length", path: "/once/", status: 502, more: "x", send: func(r *http.Request) string {
			return responseHead(r, 500)
		}},
		{name: "endless chunks", path: "/once/", more: "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n", send: func(r *http.Request) string {
			return responseHead(r, 200, "Transfer-Encoding: chunked")
		}},
		{name: "endless chunk extension", path: "/once/", status: 502, more: "y", send: func(r *http.Request) string {
			return responseHead(r, 200, "Transfer-Encoding: chunked") + "2;x="
		}},
		{name: "endless trailer", path: "/once/", status: 502, more: "X: y\r\n", send: func(r *http.Request) string {
			return responseHead(r, 200, "Transfer-Encoding: chunked") + "2\r\nok\r\n0\r\n"
		}},
		{name: "two lengths", path: "/once/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 200, ok, "Content-Length: 4") + "okok"
		}},
		{name: "a length and chunks", path: "/once/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 200, ok, "Transfer-Encoding: chunked") + "2\r\nok\r\n0\r\n\r\n"
		}},
		{name: "malformed length", path: "/once/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 200, "Content-Length: 2, 2") + "ok"
		}},
		{name: "an encoded body", path: "/once/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 200, ok, "Content-Encoding: gzip") + "ok"
		}},
		{name: "truncated body", path: "/once/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 200, "Content-Length: 9") + "ok"
		}},
		{name: "endless event", path: "/stream/", status: 502, more: "data: x\n", send: func(r *http.Request) string {
			return responseHead(r, 200)
		}},
		{name: "endless line", path: "/stream/", status: 502, more: "x", send: func(r *http.Request) string {
			return responseHead(r, 200)
		}},
		{name: "endless event after others", path: "/stream/", more: "data: x\n", send: func(r *http.Request) string {
			return responseHead(r, 200, "Transfer-Encoding: chunked") + "7\r\nid: 1\n\n\r\n100000000\r\n"
		}},
		{name: "truncated last event", path: "/stream/", status: 502, send: func(r *http.Request) string {
			return responseHead(r, 200) + "id: 1\nda"
		}},
		{name: "huge response to another request first", path: "/once/", status: 502, more: "x", send: func(r *http.Request) string {
			return strings.Replace(responseHead(r, 200, "Content-Length: 99999999999"), "id-1", "id-0", 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			e, seen := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				if row.send != nil {
					_, _ = io.WriteString(w, row.send(r))
				}
				if row.more != "" {
					writeEndlessly(w, row.more)
				}
				return false
			})
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", testDeadline+": 9000")
			resp := l.receive(c)
			if row.status == 0 {
				c.Check(resp.status, qt.Equals, 200)
				c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF, qt.Commentf("%d bytes look complete", len(resp.body)))
			} else {
				c.Check(resp.status, qt.Equals, row.status, qt.Commentf("%.200s", resp.body))
				c.Check(resp.err, qt.IsNil)
			}
			if row.body != "" {
				c.Check(resp.body, qt.Equals, row.body)
			}
			c.Check(seen.Load(), qt.Equals, int32(1))
		})
	}
}

// A server sends a second copy of a response on a connection that is reused: the next caller gets its own response.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	for _, row := range []struct {
		name   string
		copied func(first string) string
		status int
	}{
		{"with an attempt id", func(first string) string { return first }, 200},
		{"twice", func(first string) string { return first + first }, 200},
		{"in chunks", func(first string) string {
			return strings.Replace(first, "Content-Length: 3\r\n\r\none", "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", 1)
		}, 200},
		{"without an attempt id", func(first string) string { return strings.Replace(first, testAttempt, "X-Lost", 1) }, 502},
		{"not run, without an attempt id", func(first string) string {
			return strings.Replace(strings.Replace(first, testAttempt, "X-Lost", 1), "200 X\r\n", "503 X\r\n"+testNotRun+": 1\r\n", 1)
		}, 502},
		{"truncated head", func(first string) string { return first[:len(first)/2] }, 502},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var first string
			e, _ := startScripted(c, func(w io.Writer, n int, r *http.Request) bool {
				if n == 0 {
					first = responseHead(r, 200, "Content-Length: 3") + "one"
					_, _ = io.WriteString(w, first)
					return true
				}
				// The copy arrives once the connection is reused.
				_, _ = io.WriteString(w, row.copied(first))
				_, _ = io.WriteString(w, responseHead(r, 200, "Content-Length: 3")+"two")
				return true
			})
			l := dial(c, e)
			l.send(c, "POST", "/once/", "x", testDeadline+": 900")
			c.Check(l.receive(c).body, qt.Equals, "one")
			_, err := fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: id-2\r\n%s: 900\r\nContent-Length: 0\r\n\r\n", testHost, testAttempt, testDeadline)
			c.Assert(err, qt.IsNil)
			resp := l.receive(c)
			c.Check(resp.status, qt.Equals, row.status)
			if row.status == 200 {
				c.Check(resp.body, qt.Equals, "two")
			}
		})
	}
}

// A stream that sends single bytes but no further event ends at the caller's deadline and not later.
func TestSlowStreamEndsAtDeadline(t *testing.T) {
	c := qt.New(t)
	e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		_, _ = io.WriteString(w, responseHead(r, 200)+"id: 1\n\n")
		for {
			if _, err := io.WriteString(w, ":"); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 700")
	resp := l.receive(c)
	c.Check(resp.body, qt.Equals, "id: 1\n\n")
	c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF)
}

// A server that ends at any byte of its response, in the head too, never looks as if it had responded completely.
func TestResponseCutAtAnyByteIsIncomplete(t *testing.T) {
	t.Parallel()
	for _, row := range []struct{ name, path, lines, body string }{
		{"length", "/once/", "Content-Length: 4", "body"},
		{"chunks", "/once/", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"},
		{"until close", "/once/", "X: y", "body"},
		{"events", "/stream/", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked", "7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n"},
		{"events until close", "/stream/", "Content-Type: text/event-stream", "id: 1\n\nid: 2\n\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			whole := len(responseHead(&http.Request{Header: http.Header{testAttempt: {"id-1"}}}, 200, row.lines) + row.body)
			for cut := range whole {
				c := qt.New(t)
				e, seen := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
					if r.URL.Path == testHealthPath {
						return false
					}
					_, _ = io.WriteString(w, (responseHead(r, 200, row.lines) + row.body)[:cut])
					return false
				})
				l := dial(c, e)
				l.send(c, "POST", row.path, "x", testDeadline+": 9000")
				resp := l.receive(c)
				c.Check(seen.Load(), qt.Equals, int32(1))
				c.Check(resp.status == http.StatusOK && resp.err == nil, qt.IsFalse, qt.Commentf("cut after %d of %d bytes: body %q", cut, whole, resp.body))
			}
		})
	}
}

// A hundred concurrent endless responses stay within half of a small entry's memory, servers and callers of the test included.
// The memory limit is set as the process does it, so that garbage is collected before it is reached.
func TestHundredEndlessResponsesStayWithinMemory(t *testing.T) {
	const maxHeapBytes = 92 << 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxHeapBytes * 3 / 4))
	for _, row := range []struct{ name, path, head, more string }{
		{"bodies", "/once/", "X-A: b", "x"},
		{"errors", "/once/", "X-A: b", "x"},
		{"events", "/stream/", "X-A: b", "data: x\n"},
		{"lines", "/stream/", "X-A: b", "x"},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			status := 200
			if row.name == "errors" {
				status = 500
			}
			e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				_, _ = io.WriteString(w, responseHead(r, status, row.head))
				writeEndlessly(w, row.more)
				return false
			})
			var peak atomic.Uint64
			stop := make(chan struct{})
			var watch, callers sync.WaitGroup
			watch.Go(func() {
				for {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					if m.HeapAlloc > peak.Load() {
						peak.Store(m.HeapAlloc)
					}
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			})
			for range 100 {
				l := dial(c, e)
				l.send(c, "POST", row.path, "x", testDeadline+": 3000")
				callers.Go(func() {
					defer func() { _ = l.Close() }()
					resp, err := http.ReadResponse(l.br, nil)
					if err != nil {
						return
					}
					defer func() { _ = resp.Body.Close() }()
					// Callers disconnect after 1 MiB; the test doesn't keep the bytes.
					_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
				})
			}
			callers.Wait()
			close(stop)
			watch.Wait()
			c.Check(peak.Load() < maxHeapBytes, qt.IsTrue, qt.Commentf("%d MB", peak.Load()>>20))
		})
	}
}

// A silent engine keeps its stream if no other engine accepts the request, even if the retry budget allows a retry.
func TestSilentStreamIsKeptWithoutAnotherEngine(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		time.Sleep(gapFloor + 500*time.Millisecond)
		writeEvent(w, 2)
	})
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 9000")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// A broken stream waits for another engine until its caller would disconnect, counted from the last event.
func TestBrokenStreamWaitsForAnotherServerFromLastEvent(t *testing.T) {
	c := qt.New(t)
	var joined tracker.Instance
	release := make(chan struct{})
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		if r.Header.Get(testResume) == "" {
			writeEvent(w, 1)
			<-release
			writeEvent(w, 2)
			panic(http.ErrAbortHandler)
		}
		writeEvent(w, 3)
	})
	for _, in := range e.balancer.Servers() {
		joined = in
	}
	joined.Service = "adapters"
	e.control.applyMessage(governor.DownMessage{Engines: []tracker.Instance{joined}})
	joined.Key.ID = "s1"
	adapter := tracker.Adapter{Model: "m", Name: "a"}
	e.balancer.AddResident("s0", adapter, 1)
	l := dial(c, e)
	l.send(c, "POST", "/tuned/", "x", testDeadline+": 9000", "X-Model: m/a")
	_, err := l.br.Peek(1)
	c.Assert(err, qt.IsNil)
	// The stream is now older than a caller's wait for a first event.
	time.Sleep(callerTimeoutFloor)
	close(release)
	time.Sleep(300 * time.Millisecond)
	e.control.applyMessage(governor.DownMessage{Engines: []tracker.Instance{joined}})
	e.balancer.AddResident("s1", adapter, 1)
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
}

// A server wrote its refusal once more when the same request came again on the kept connection: the caller was told that
// the request hadn't run, while it ran.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	c := qt.New(t)
	runs := new(atomic.Int64)
	refused := make(chan struct{})
	var first sync.Once
	e, _ := startScripted(c, func(w io.Writer, n int, r *http.Request) bool {
		refusal := responseHead(r, http.StatusMisdirectedRequest, "Content-Length: 0", testNotRun+": 1")
		isFirst := false
		first.Do(func() { isFirst = true })
		if isFirst {
			_, _ = io.WriteString(w, refusal)
			close(refused)
			return true
		}
		if n > 0 {
			_, _ = io.WriteString(w, refusal)
		}
		runs.Add(1)
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream", "Content-Length: 15")+"id: 1\ndata: x\n\n")
		return true
	})
	holder := e.balancer.Servers()[0]
	adapter := tracker.Adapter{Model: "m", Name: "a"}
	holder.Key.ID, holder.Service, holder.Residents = "x", "adapters", []tracker.Resident{{Adapter: adapter, Version: 1}}
	e.control.applyMessage(governor.DownMessage{FullResidents: []tracker.Instance{holder}})
	l := dial(c, e)
	l.send(c, "POST", "/tuned/", "x", testDeadline+": 3000", "X-Model: m/a")
	<-refused
	time.Sleep(50 * time.Millisecond)
	e.control.applyMessage(governor.DownMessage{FullResidents: []tracker.Instance{holder}})
	resp := l.receive(c)
	c.Check(runs.Load(), qt.Equals, int64(1))
	c.Check(resp.status, qt.Equals, http.StatusOK)
}

// A stream without a length that ended with its connection before its first event, as when its server crashed, was passed
// on as a whole, empty answer.
func TestStreamThatEndsBeforeItsFirstEventIsBroken(t *testing.T) {
	c := qt.New(t)
	runs := new(atomic.Int64)
	e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		runs.Add(1)
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream", "Connection: close"))
		return false
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 900")
	c.Check(l.receive(c).status, qt.Equals, http.StatusBadGateway)
	c.Check(runs.Load(), qt.Equals, int64(1))
}

// A caller that resumed a stream after its last event got 502 if the server's response had no length.
func TestResumedStreamWithoutMoreEventsIsServed(t *testing.T) {
	for _, isAlive := range []bool{true, false} {
		c := qt.New(t)
		e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
			switch {
			case r.URL.Path != testHealthPath:
				_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream"))
			case isAlive:
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			return false
		})
		l := dial(c, e)
		l.send(c, "POST", "/resumable/", "x", testDeadline+": 900", testResume+": 7")
		got := l.receive(c)
		c.Check(got.status == http.StatusOK && got.err == nil, qt.Equals, isAlive, qt.Commentf("status %d, error %v", got.status, got.err))
	}
}

// An answer whose status isn't 100 to 599 is none: the request may have run. The HTTP library takes 000 for 200, so that a caller
// got such an answer as a success.
func TestAnswerWithoutStatusIsNone(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1  200 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 000",
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(line+path, func(t *testing.T) {
				c := qt.New(t)
				e, seen := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
					head := responseHead(r, 200, "Content-Length: 7")
					_, _ = io.WriteString(w, strings.Replace(head, "HTTP/1.1 200 X", line, 1)+"id: 1\n\n")
					return true
				})
				l := dial(c, e)
				l.send(c, "POST", path, "x", testDeadline+": 9000")
				resp := l.receive(c)
				c.Check(resp.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%.200s", resp.body))
				c.Check(resp.body, qt.Contains, "may have run")
				c.Check(seen.Load(), qt.Equals, int32(1))
			})
		}
	}
}
