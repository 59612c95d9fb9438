package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

const (
	testHost     = "h.example"
	testAttempt  = "X-Attempt"
	testSeal     = "X-Seal"
	testNotRun   = "X-Not-Run"
	testDeadline = "X-Deadline"
	testResume   = "X-Resume"
	testLeaving  = "X-Leaving"
	testUsage    = "X-Usage"
	testResumes  = "X-Resumes"
	testBrittle  = "X-Brittle"
	testInstance = "X-Instance"

	testHealthPath = "/health"
)

var testHeaders = Headers{
	AttemptID: testAttempt, Deadline: testDeadline, Seal: testSeal, NotRun: testNotRun, Expect: "X-Expect",
	ExpectVersion: "X-Version", Priority: "X-Priority", Model: "X-Model", Resume: testResume, Resumes: testResumes, ReadyPath: "/ready",
	Leaving: testLeaving, Instance: testInstance, Brittle: testBrittle, Reserved: []string{"X-Hold"},
	ParseModel: func(v string) tracker.Adapter {
		model, name, _ := strings.Cut(v, "/")
		return tracker.Adapter{Model: model, Name: name}
	},
	Usage: testUsage,
	ParseUsage: func(v string) (int, int) {
		prompt, output, _ := strings.Cut(v, ",")
		return testTokens(prompt), testTokens(output)
	},
}

func testTokens(v string) int {
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0
	}
	return n
}

// testTable returns a table with a route of each kind for one host.
func testTable(c *qt.C, gap time.Duration) *matcher.Table {
	shares := []matcher.Share{{Service: "s", Weight: 1}}
	base := matcher.Route{Host: testHost, Timeout: 20 * time.Second, LatencyTarget: 300 * time.Millisecond, MaxPause: gap, Attempts: 2, Shares: shares}
	once, safe, stream, resumable := base, base, base, base
	once.Name, once.Prefix = "once", "/once/"
	safe.Name, safe.Prefix, safe.Repeat = "safe", "/safe/", matcher.Repeatable
	stream.Name, stream.Prefix, stream.Stream = "stream", "/stream/", true
	resumable.Name, resumable.Prefix, resumable.Stream, resumable.Resumable = "resumable", "/resumable/", true, true
	thrice := resumable
	thrice.Name, thrice.Prefix, thrice.Attempts = "thrice", "/thrice/", 3
	tuned := resumable
	tuned.Name, tuned.Prefix, tuned.Shares = "tuned", "/tuned/", []matcher.Share{{Service: "adapters", Weight: 1}}
	services := []matcher.Service{{Name: "s", HealthPath: testHealthPath}, {Name: "adapters", AdapterSlots: 4, HealthPath: testHealthPath}}
	t, err := matcher.New(1, []matcher.Route{once, safe, stream, resumable, thrice, tuned}, services, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	return t
}

// startEntry runs an entry in front of backend servers with the handlers and the ids s0, s1 and so on.
func startEntry(c *qt.C, handlers ...http.HandlerFunc) *Relayer {
	return startEntryWithLog(c, logger.New(io.Discard, "error"), handlers...)
}

// startEntryWithLog has a retry budget that is never used up: an attempt ends within microseconds here.
func startEntryWithLog(c *qt.C, log *logger.Logger, handlers ...http.HandlerFunc) *Relayer {
	e, err := New(Config{
		Node: "n", Zone: "z", CallersAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", RetryShare: 1, RetrySlack: 1_000_000, RetryWindow: time.Second,
	}, Deps{Headers: testHeaders, Log: log})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := e.Close(ctx); !errors.Is(err, net.ErrClosed) {
			c.Check(err, qt.IsNil)
		}
	})
	e.table.Store(testTable(c, 100*time.Millisecond))
	var engines []tracker.Instance
	for i, h := range handlers {
		srv := httptest.NewServer(h)
		c.Cleanup(srv.Close)
		engines = append(engines, tracker.Instance{
			Key: tracker.Key{ID: fmt.Sprintf("s%d", i), StartedMS: 1}, Service: "s", Zone: "z", Addr: srv.Listener.Addr().String(), Slots: 8,
		})
	}
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Engines: engines, Entries: 1})
	setConfirmation(e, time.Now().Add(time.Hour))
	return e
}

// setConfirmation sets when the leader is known to have served an entry.
func setConfirmation(e *Relayer, at time.Time) {
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	e.control.confirmedAt = at
}

// caller is one connection to an entry.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func dial(c *qt.C, e *Relayer) *caller {
	conn, err := net.Dial("tcp", e.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &caller{conn, bufio.NewReader(conn)}
}

func (l *caller) send(c *qt.C, method, path, body string, headers ...string) {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\n" + testAttempt + ": id-1\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	_, err := fmt.Fprintf(l, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	c.Assert(err, qt.IsNil)
}

// received is a response; err is set if its body is incomplete.
type received struct {
	status int
	header http.Header
	body   string
	closes bool
	err    error
}

func (l *caller) receive(c *qt.C) received {
	resp, err := http.ReadResponse(l.br, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return received{resp.StatusCode, resp.Header, string(body), resp.Close, err}
}

// setSeal sets the headers of a server's response.
func setSeal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testAttempt, r.Header.Get(testAttempt))
	w.Header().Set(testSeal, "seal")
}

func writeEvent(w http.ResponseWriter, id int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
	_ = http.NewResponseController(w).Flush()
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	var got *http.Request
	var body []byte
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		got = r.Clone(context.Background())
		body, _ = io.ReadAll(r.Body)
		setSeal(w, r)
		w.Header()["Content-Type"] = nil
		_, _ = io.WriteString(w, "ok")
	})
	l := dial(c, e)
	l.send(c, "POST", "/once/a%20b?q=1", "hello", "X-Hold: mine", "X-Other: kept", "Connection: X-Local, X-Attempt", "X-Local: 1", testDeadline+": 5000")
	resp := l.receive(c)
	c.Assert(resp.err, qt.IsNil)
	c.Check(resp.status, qt.Equals, 200)
	c.Check(resp.header.Get(testSeal), qt.Equals, "seal")
	c.Check(resp.body, qt.Equals, "ok")
	c.Check(resp.header["Content-Type"], qt.HasLen, 0, qt.Commentf("the server set none"))
	c.Check(got.RequestURI, qt.Equals, "/once/a%20b?q=1")
	c.Check(string(body), qt.Equals, "hello")
	c.Check(got.Header.Get("X-Other"), qt.Equals, "kept")
	c.Check(got.Header.Get("X-Hold"), qt.Equals, "", qt.Commentf("only the system may set it"))
	c.Check(got.Header.Get("X-Local"), qt.Equals, "")
	c.Check(got.Header.Get(testAttempt), qt.Equals, "id-1", qt.Commentf("a caller's Connection header must not remove it"))
	c.Check(got.Header.Get("X-Expect"), qt.Equals, "s0")
}

func TestServerFailures(t *testing.T) {
	fail := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.WriteHeader(500)
	}
	full := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.Header().Set(testNotRun, "1")
		w.WriteHeader(503)
	}
	unsealed := func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "whose?") }
	hangUp := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	crossed := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.Header().Set(testAttempt, "another")
		_, _ = io.WriteString(w, "theirs")
	}
	for _, row := range []struct {
		name    string
		handler http.HandlerFunc
		path    string
		status  int
		calls   int32
	}{
		{"full servers did not run it", full, "/once/", 503, 2},
		{"a server error is forwarded", fail, "/once/", 500, 1},
		{"an idempotent request is retried after a server error", fail, "/safe/", 500, 2},
		{"a request that may have run isn't sent again", hangUp, "/once/", 502, 1},
		{"an idempotent request that may have run is sent again", hangUp, "/safe/", 502, 2},
		{"a success without a seal is rejected", unsealed, "/once/", 502, 1},
		{"a response to another request is ignored", crossed, "/once/", 504, 1},
		{"a stream that isn't resumable runs once", hangUp, "/stream/", 502, 1},
		{"a resumable stream is retried", hangUp, "/resumable/", 502, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			counted := func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				row.handler(w, r)
			}
			e := startEntry(c, counted, counted)
			l := dial(c, e)
			deadline := "8000"
			if row.status == 504 {
				deadline = "200"
			}
			l.send(c, "POST", row.path, "x", testDeadline+": "+deadline)
			resp := l.receive(c)
			c.Check(resp.status, qt.Equals, row.status)
			c.Check(calls.Load(), qt.Equals, row.calls)
			c.Check(resp.header.Get("Retry-After") != "", qt.Equals, row.status == 503)
		})
	}
}

func TestStreamResumesAtAnotherServer(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		_, _ = io.WriteString(w, "id: 2\ndata: torn")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		if r.Header.Get(testResume) != "1" {
			w.WriteHeader(400)
			return
		}
		writeEvent(w, 2)
	})
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		panic(http.ErrAbortHandler)
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 8000")
	resp := l.receive(c)
	c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\n")
}

// A loaded engine may pause for longer than a route's gap; its late response is better than none.
func TestSilentStreamIsKeptWithoutRetryBudget(t *testing.T) {
	c := qt.New(t)
	silent := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		time.Sleep(gapFloor + 500*time.Millisecond)
		writeEvent(w, 2)
	}
	e := startEntry(c, silent)
	e.budget.share, e.budget.slack, e.budget.tokens = 0, 0, 0
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 9000")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// A connection whose request arrived before the shutdown began closes after the response, with no further request.
func TestShutdownClosesConnectionsAfterResponses(t *testing.T) {
	c := qt.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		setSeal(w, r)
		_, _ = io.WriteString(w, "ok")
	})
	l := dial(c, e)
	l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	<-began
	e.stopping.Store(true)
	e.closeIdle(time.Now())
	close(release)
	resp := l.receive(c)
	c.Assert(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "ok")
	c.Check(resp.closes, qt.IsTrue)
	_, err := l.br.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
}

// A shutdown under load: requests are in transit on connections that were just accepted, or that just had a response, while
// the entry shuts down. All of them get a response.
func TestShutdownServesRequestsInTransit(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	e.acceptTime = 0
	var callers []*caller
	for i := range 20 {
		l := dial(c, e)
		if i%2 == 0 {
			l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
			c.Assert(l.receive(c).body, qt.Equals, "ok")
		}
		callers = append(callers, l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(ctx) }()
	for !e.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	for _, l := range callers {
		l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	}
	for _, l := range callers {
		resp := l.receive(c)
		c.Check(resp.body, qt.Equals, "ok")
		c.Check(resp.closes, qt.IsTrue)
	}
	c.Check(<-closed, qt.IsNil)
}

// A stream that began before a shutdown has no "Connection: close" header. Its connection closes after it all the same: a
// further request would be cut at the shutdown's time limit.
func TestShutdownTakesNoRequestAfterOpenStream(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	var calls atomic.Int32
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		setSeal(w, r)
		writeEvent(w, 1)
		<-release
	})
	e.acceptTime = 0
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 9000")
	_, err := l.br.Peek(1)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(ctx) }()
	for !e.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	c.Check(l.receive(c).err, qt.IsNil)
	_, _ = fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: id-2\r\nContent-Length: 0\r\n\r\n", testHost, testAttempt)
	_, err = l.br.ReadByte()
	c.Check(err, qt.IsNotNil)
	c.Check(<-closed, qt.IsNil)
	c.Check(calls.Load(), qt.Equals, int32(1))
}

// A stream that was read late in a shutdown, on a connection whose last response had begun before it, was cut at the
// shutdown's end. One that may last longer than that is refused; one that has to end before is served.
func TestShutdownRefusesStreamsItWouldCut(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
	})
	e.acceptTime = 0
	long, short := dial(c, e), dial(c, e)
	// The end of the listener resets connections that wait to be accepted.
	waitUntil(c, "both are accepted", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.conns) == 2
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(ctx) }()
	for !e.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	long.send(c, "POST", "/stream/", "x", testDeadline+": 9000")
	short.send(c, "POST", "/stream/", "x", testDeadline+": 1000")
	refused := long.receive(c)
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.header.Get("Retry-After"), qt.Equals, "0.01")
	c.Check(refused.closes, qt.IsTrue)
	served := short.receive(c)
	c.Check(served.status, qt.Equals, http.StatusOK)
	c.Check(served.err, qt.IsNil)
	c.Check(<-closed, qt.IsNil)
}

// A request that was still unanswered at the end of a shutdown got no answer at all.
func TestShutdownAnswersRequestsItEnds(t *testing.T) {
	c := qt.New(t)
	began := make(chan struct{})
	e := startEntry(c, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
	})
	e.acceptTime = 0
	sent, waiting := dial(c, e), dial(c, e)
	sent.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	<-began
	waiting.send(c, "POST", "/tuned/", "x", testDeadline+": 9000")
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- e.Close(ctx) }()
	c.Check(sent.receive(c).status, qt.Equals, http.StatusBadGateway)
	c.Check(waiting.receive(c).status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(<-closed, qt.IsNil)
}

func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	for _, row := range []struct {
		name, head string
		status     int
	}{
		{"two lengths", "POST /once/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
		{"length and chunks", "POST /once/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"an unknown coding", "POST /once/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400},
		{"a signed length", "POST /once/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: +1\r\n\r\nx", 400},
		{"a folded line", "POST /once/ HTTP/1.1\r\nHost: h.example\r\n X: y\r\n\r\n", 400},
		{"a space before the colon", "POST /once/ HTTP/1.1\r\nHost: h.example\r\nContent-Length : 1\r\n\r\nx", 400},
		{"two hosts", "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nHost: other\r\n\r\n", 400},
		{"no attempt", "GET /safe/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 400},
		{"no route", "GET /none HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a\r\n\r\n", 404},
		{"a large head", "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nX: " + strings.Repeat("a", 17<<10) + "\r\n\r\n", 431},
		{"a bad chunk", "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			e := startEntry(c, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
			l := dial(c, e)
			_, err := io.WriteString(l, row.head)
			c.Assert(err, qt.IsNil)
			resp := l.receive(c)
			c.Check(resp.status, qt.Equals, row.status)
			c.Check(calls.Load(), qt.Equals, int32(0))
		})
	}
}

// A caller that expected 100 Continue got 408 on a reused connection: the previous response's write deadline had passed.
func TestExpectContinueOnReusedConnection(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	c.Assert(near.SetWriteDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	e := startEntry(c)
	go func() {
		br := bufio.NewReader(far)
		_, _ = fmt.Fprintf(far, "POST /once/ HTTP/1.1\r\nHost: %s\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", testHost)
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.Body.Close() != nil || resp.StatusCode != http.StatusContinue {
			_ = far.Close()
			return
		}
		_, _ = io.WriteString(far, "x")
	}()
	req, err := e.readRequest(near, bufio.NewReaderSize(near, callerBufferBytes), e.limits())
	c.Assert(err, qt.IsNil)
	c.Check(string(req.body), qt.Equals, "x")
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	c := qt.New(t)
	began, ended := make(chan struct{}), make(chan struct{})
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 9000")
	<-began
	c.Assert(l.Close(), qt.IsNil)
	<-ended
}

func TestMetricsCountRequestsAndAttempts(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		_, _ = io.WriteString(w, "ok")
	})
	l := dial(c, e)
	l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	c.Check(l.receive(c).status, qt.Equals, 200)
	// The second response on the connection arrives after the first request was counted.
	l.send(c, "POST", "/once/", "x", testDeadline+": 9000")
	c.Check(l.receive(c).status, qt.Equals, 200)
	text := metricsText(e)
	c.Check(text, qt.Contains, `redwingstage_entry_attempts_total{result="ok"} 2`)
	c.Check(text, qt.Contains, `redwingstage_entry_requests_total{outcome="served"}`)
}

// metricsText returns the metrics that the readiness listener serves.
func metricsText(e *Relayer) string {
	rec := httptest.NewRecorder()
	e.ready.Handler.ServeHTTP(rec, httptest.NewRequestWithContext(context.Background(), "GET", metricsPath, nil))
	return rec.Body.String()
}
