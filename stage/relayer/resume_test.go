package relayer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

// logBuffer collects the log lines of an entry.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// requestLines returns the lines about a request, without time, level, request, duration and model.
func (l *logBuffer) requestLines(c *qt.C, id string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(l.buf.String()) {
		var m map[string]any
		c.Assert(json.Unmarshal([]byte(line), &m), qt.IsNil)
		if m["request"] != id {
			continue
		}
		for _, k := range []string{"time", "level", "request", "ms", "model"} {
			delete(m, k)
		}
		out = append(out, m)
	}
	return out
}

// A stream that was resumed at another server ended without a log line; the log must have one for each of its attempts, with
// the events that it brought and how it ended.
func TestEachAttemptOfResumedStreamIsLogged(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"), func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		writeEvent(w, 2)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 3)
	})
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).err, qt.IsNil)
	c.Check(log.requestLines(c, "id-1"), qt.DeepEquals, []map[string]any{
		{
			"message": "entry: attempt ended", "server": "s0", "outcome": "cut", "reason": "stream: unexpected EOF",
			"status": 200.0, "after": "", "first": "1", "last": "2", "framing": "chunks", "version": 1.0, "leader_ms": 0.0,
		},
		{
			"message": "entry: attempt ended", "server": "s1", "outcome": "passed", "reason": "",
			"status": 200.0, "after": "2", "first": "3", "last": "3", "framing": "chunks", "version": 1.0, "leader_ms": 0.0,
		},
	})
}

// A response that ended with its connection left no line, so that a cut one couldn't be told from a complete one afterwards.
func TestResponseUntilCloseIsLogged(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"), func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseHead(r, http.StatusOK, "Content-Type: text/event-stream", "Connection: close")+"id: 1\ndata: 1\n\n")
		_ = conn.Close()
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).err, qt.IsNil)
	c.Check(log.requestLines(c, "id-1"), qt.DeepEquals, []map[string]any{{
		"message": "entry: attempt ended", "server": "s0", "outcome": "passed", "reason": "", "status": 200.0, "after": "", "first": "1",
		"last": "1", "framing": "close", "version": 1.0, "leader_ms": 0.0,
	}})
	w := httptest.NewRecorder()
	e.metrics.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metricsPath, nil))
	c.Check(w.Body.String(), qt.Contains, `redwingstage_entry_server_responses_total{framing="close",outcome="passed"} 1`)
}

// A stream that could not be resumed ended without a log line, and was counted as served.
func TestCutStreamIsLoggedAndCounted(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startEntryWithLog(c, logger.New(&log, "info"), func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		panic(http.ErrAbortHandler)
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).err, qt.Equals, io.ErrUnexpectedEOF)
	// The entry closes the connection after it has counted the request.
	_, err := io.ReadAll(l.br)
	c.Check(err, qt.IsNil)
	c.Check(log.requestLines(c, "id-1")[1], qt.DeepEquals, map[string]any{
		"message": "entry: request ended", "outcome": "cut", "reason": "stream: unexpected EOF", "status": 200.0,
		"version": 1.0, "leader_ms": 0.0,
	})
	c.Check(metricsText(e), qt.Contains, `redwingstage_entry_requests_total{outcome="cut"} 1`)
}

// A stream broke off at its engine and the next one responded with an error: the caller's response was ended as if it were
// complete.
func TestErrorOfNextServerDoesNotEndStream(t *testing.T) {
	for _, status := range []int{500, 503, 504, 429, 404, 401, 400, 302} {
		for _, body := range []string{"", "no"} {
			t.Run(strconv.Itoa(status)+" "+body, func(t *testing.T) {
				c := qt.New(t)
				var calls atomic.Int32
				server := func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					setSeal(w, r)
					if r.Header.Get(testResume) == "" {
						writeEvent(w, 1)
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(status)
					_, _ = io.WriteString(w, body)
				}
				e := startEntry(c, server, server)
				l := dial(c, e)
				l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
				resp := l.receive(c)
				c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF, qt.Commentf("the response looks complete"))
				c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\n")
				c.Check(calls.Load(), qt.Equals, int32(2))
			})
		}
	}
}

// A stream whose second server fails after events have reached the caller is resumed at a third one.
func TestStreamResumesAtThirdServer(t *testing.T) {
	c := qt.New(t)
	var resumed atomic.Int32
	server := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		switch {
		case r.Header.Get(testResume) == "":
			writeEvent(w, 1)
			panic(http.ErrAbortHandler)
		case resumed.Add(1) == 1:
			w.WriteHeader(http.StatusInternalServerError)
		default:
			writeEvent(w, 2)
		}
	}
	e := startEntry(c, server, server, server)
	l := dial(c, e)
	l.send(c, "POST", "/thrice/", "x", testDeadline+": 8000")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// A stream that was cut at its deadline or by a shutdown was taken for one whose caller disconnected, and wasn't logged.
func TestStreamCutByEntryIsLogged(t *testing.T) {
	for _, row := range []struct {
		name, deadline string
		stop           bool
	}{
		{"deadline", "300", false},
		{"shutdown", "9000", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var log logBuffer
			e := startEntryWithLog(c, logger.New(&log, "info"), func(w http.ResponseWriter, r *http.Request) {
				setSeal(w, r)
				for n := 1; r.Context().Err() == nil; n++ {
					writeEvent(w, n)
				}
			})
			l := dial(c, e)
			l.send(c, "POST", "/stream/", "x", testDeadline+": "+row.deadline)
			if row.stop {
				_, err := l.br.Peek(1)
				c.Assert(err, qt.IsNil)
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				c.Check(e.Close(ctx), qt.IsNil)
			}
			c.Check(l.receive(c).err, qt.Equals, io.ErrUnexpectedEOF)
			_, err := io.ReadAll(l.br)
			c.Check(err, qt.IsNil)
			got := log.requestLines(c, "id-1")
			c.Assert(got, qt.Not(qt.HasLen), 0)
			c.Check(got[len(got)-1]["outcome"], qt.Equals, "cut")
			c.Check(metricsText(e), qt.Contains, `redwingstage_entry_requests_total{outcome="cut"} 1`)
		})
	}
}

// writeEvents sends an event for each id, and one without an id for "-".
func writeEvents(w io.Writer, ids string) {
	for id := range strings.SplitSeq(ids, " ") {
		if id == "" {
			continue
		}
		if id == "-" {
			_, _ = io.WriteString(w, "data: x\n\n")
			continue
		}
		_, _ = io.WriteString(w, "id: "+id+"\ndata: x\n\n")
	}
}

// A server started again instead of resuming after the caller's last event: the caller got events twice.
func TestRestartedStreamIsNotJoined(t *testing.T) {
	huge := strings.Repeat("9", 30)
	for _, row := range []struct {
		name string
		path string
		// first are the ids that one server sends before it breaks off, then those of the other one, body those the caller gets.
		first, then, body string
		complete          bool
	}{
		{"resumed", "/resumable/", "1 2", "3 4", "1 2 3 4", true},
		{"resumed with a gap in the ids", "/resumable/", "1 2", "9", "1 2 9", true},
		{"numeric order", "/resumable/", "8 9", "10", "8 9 10", true},
		{"no further events", "/resumable/", "1 2", "", "1 2", true},
		{"restarted from the first event", "/resumable/", "1", "1 2", "1", false},
		{"restarted from an earlier event", "/resumable/", "7 8", "7 8 9", "7 8", false},
		{"ids decrease after resuming", "/resumable/", "1", "2 3 1", "1 2 3", false},
		{"duplicate id", "/resumable/", "1", "2 2", "1 2", false},
		{"id is not a number", "/resumable/", "1", "x", "1", false},
		{"first resumed event without an id", "/resumable/", "1", "- 2", "1", false},
		{"later event without an id", "/resumable/", "1", "2 -", "1 2 -", true},
		{"ids without an order", "/resumable/", "x", "y", "x", false},
		{"id out of range", "/resumable/", huge, "1", huge, false},
		{"header injection in an id", "/resumable/", "1\rX-Hold:1", "2", "1\rX-Hold:1", false},
		{"ids of the first server decrease", "/resumable/", "1 2 1", "3", "1 2 3", true},
		{"not resumable", "/stream/", "1 3 2", "3", "1 3", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			server := func(w http.ResponseWriter, r *http.Request) {
				setSeal(w, r)
				if r.Header.Get(testResume) != "" {
					writeEvents(w, row.then)
					return
				}
				writeEvents(w, row.first)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			e := startEntry(c, server, server)
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", testDeadline+": 8000")
			resp := l.receive(c)
			var want strings.Builder
			writeEvents(&want, row.body)
			c.Check(resp.body, qt.Equals, want.String())
			c.Check(resp.err == nil, qt.Equals, row.complete, qt.Commentf("%v", resp.err))
		})
	}
}

// A stream from a single server was cut because its ids weren't increasing numbers.
func TestUnorderedIDsDoNotCutStream(t *testing.T) {
	for _, ids := range []string{"a a", "a b a", "1 x", "1 done", "x 1 2", "18446744073709551615 18446744073709551616"} {
		for _, path := range []string{"/stream/", "/resumable/"} {
			t.Run(ids+path, func(t *testing.T) {
				c := qt.New(t)
				e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
					setSeal(w, r)
					writeEvents(w, ids)
				})
				l := dial(c, e)
				l.send(c, "POST", path, "x", testDeadline+": 8000")
				resp := l.receive(c)
				var want strings.Builder
				writeEvents(&want, ids)
				c.Check(resp.err, qt.IsNil)
				c.Check(resp.body, qt.Equals, want.String())
			})
		}
	}
}

// A caller resumed after its last event, and a server that started again sent it the same events once more.
func TestResumingCallerGetsNoEventTwice(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	server := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		c.Check(r.Header.Get(testResume), qt.Equals, "2")
		if calls.Add(1) == 1 {
			writeEvents(w, "1 2 3")
			return
		}
		writeEvents(w, "3")
	}
	e := startEntry(c, server, server)
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000", testResume+": 2")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 3\ndata: x\n\n")
	c.Check(calls.Load(), qt.Equals, int32(2))
}

// A stream was resumed at another server after an event without an id, which the caller then got twice.
func TestStreamResumesOnlyAfterEventWithID(t *testing.T) {
	for _, row := range []struct {
		name     string
		first    string
		body     string
		complete bool
	}{
		{"last event without an id", "id: 1\ndata: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\n", false},
		{"no event with an id", "data: a\n\n", "data: a\n\n", false},
		{"earlier event without an id", "data: a\n\nid: 2\ndata: b\n\n", "data: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", true},
		{"comment after the last event", "id: 2\ndata: b\n\n: wait\n\n", "id: 2\ndata: b\n\n: wait\n\nid: 3\ndata: c\n\n", true},
		{"only a comment", ": wait\n\n", ": wait\n\nid: 1\ndata: a\n\n", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			server := func(w http.ResponseWriter, r *http.Request) {
				setSeal(w, r)
				switch {
				case calls.Add(1) == 1:
					_, _ = io.WriteString(w, row.first)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				case r.Header.Get(testResume) == "1":
					_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
				case r.Header.Get(testResume) == "2":
					_, _ = io.WriteString(w, "id: 3\ndata: c\n\n")
				default:
					_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				}
			}
			e := startEntry(c, server, server)
			l := dial(c, e)
			l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
			resp := l.receive(c)
			c.Check(resp.body, qt.Equals, row.body)
			c.Check(resp.err == nil, qt.Equals, row.complete, qt.Commentf("%v", resp.err))
		})
	}
}

// A silent engine's stream without ids was closed to resume it at another engine, which could not resume it.
func TestSilentStreamWithoutIDsIsKept(t *testing.T) {
	c := qt.New(t)
	server := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(gapFloor + 500*time.Millisecond)
		_, _ = io.WriteString(w, "data: b\n\n")
	}
	e := startEntry(c, server, server)
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 9000")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "data: a\n\ndata: b\n\n")
}

// A response without a body had bytes after its head, a stream's last chunk or an error's text: the caller read them as the
// start of the next response.
func TestBodilessResponseHasNoBytesAfterHead(t *testing.T) {
	for _, row := range []struct {
		name, method, path string
		status             int
	}{
		{"response to HEAD", "HEAD", "/stream/", 200},
		{"no content", "POST", "/stream/", 204},
		{"the entry's own response to HEAD", "HEAD", "/none/", 404},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
				setSeal(w, r)
				w.WriteHeader(row.status)
			})
			l := dial(c, e)
			for range 2 {
				l.send(c, row.method, row.path, "", testDeadline+": 9000")
				resp, err := http.ReadResponse(l.br, &http.Request{Method: row.method})
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, row.status)
				c.Check(resp.TransferEncoding, qt.HasLen, 0)
				c.Check(resp.Body.Close(), qt.IsNil)
			}
		})
	}
}

// A successful response with another status or media type ended a started stream as if it were its continuation.
func TestSuccessOfAnotherTypeDoesNotEndStream(t *testing.T) {
	for _, row := range []struct {
		name     string
		status   int
		kind     string
		body     string
		complete bool
	}{
		{"same type", 200, "text/event-stream", "id: 2\ndata: b\n\n", true},
		{"same type with parameters", 200, "Text/Event-Stream; charset=utf-8", "id: 2\ndata: b\n\n", true},
		{"no type", 200, "", "id: 2\ndata: b\n\n", true},
		{"no content", 204, "", "", false},
		{"another status", 202, "text/event-stream", "", false},
		{"another type", 200, "application/json", "{\"error\":1}\n\n", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			server := func(w http.ResponseWriter, r *http.Request) {
				setSeal(w, r)
				if r.Header.Get(testResume) == "" {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.Header()["Content-Type"] = []string{row.kind}
				if row.kind == "" {
					w.Header()["Content-Type"] = nil
				}
				w.WriteHeader(row.status)
				_, _ = io.WriteString(w, row.body)
			}
			e := startEntry(c, server, server)
			l := dial(c, e)
			l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
			resp := l.receive(c)
			c.Check(resp.err == nil, qt.Equals, row.complete, qt.Commentf("%v, %q", resp.err, resp.body))
			if !row.complete {
				c.Check(resp.body, qt.Equals, "id: 1\ndata: a\n\n")
			}
		})
	}
}

// A server's 408, 429 or 503 without the "not run" header reached the caller, who took it to mean that nothing ran.
func TestUnmarkedNotRunStatusIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(strconv.Itoa(status)+path, func(t *testing.T) {
				c := qt.New(t)
				var calls atomic.Int32
				server := func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					setSeal(w, r)
					w.WriteHeader(status)
				}
				e := startEntry(c, server, server)
				l := dial(c, e)
				l.send(c, "POST", path, "x", testDeadline+": 8000")
				c.Check(l.receive(c).status, qt.Equals, http.StatusBadGateway)
				c.Check(calls.Load(), qt.Equals, int32(1))
			})
		}
	}
}

// The connection of a response without a length was reset while the request was still being written: the write returned the
// error, and the read an io.EOF that looked like the response's end.
func TestResetDuringRequestWriteIsNotEndOfResponse(t *testing.T) {
	const body = "id: 1\ndata: 1\n\n"
	for _, path := range []string{"/once/", "/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			e := startEntry(c)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			go func() {
				for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
					go resetEarly(conn, body)
				}
			}()
			e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{{
				Key: tracker.Key{ID: "s0", StartedMS: 1}, Service: "s", Zone: "z", Addr: ln.Addr().String(), Slots: 200,
			}}})
			var callers sync.WaitGroup
			for range 16 {
				l := dial(c, e)
				callers.Go(func() {
					l.send(c, "POST", path, strings.Repeat("x", 4<<20), testDeadline+": 9000")
					resp := l.receive(c)
					c.Check(resp.status == http.StatusOK && resp.err == nil, qt.IsFalse, qt.Commentf("%q looks complete", resp.body))
				})
			}
			callers.Wait()
		})
	}
}

// resetEarly responds to a request of which it reads only the beginning, and resets the connection.
func resetEarly(conn net.Conn, body string) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(4 << 10)
	r, err := http.ReadRequest(bufio.NewReaderSize(tcp, 4<<10))
	if err != nil {
		return
	}
	_, _ = io.WriteString(tcp, responseHead(r, http.StatusOK, "Connection: close")+body)
	time.Sleep(100 * time.Millisecond)
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}
