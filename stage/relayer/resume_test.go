package relayer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/logger"
)

// lines collects what an entry logs.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// of returns the lines about a request, without their times.
func (l *lines) of(c *qt.C, id string) []map[string]any {
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

// A stream that went on at another server was ended without a line about it; the log tells of each of its runs which events
// it brought and how it ended.
func TestEachRunOfAResumedStreamIsLogged(t *testing.T) {
	c := qt.New(t)
	var log lines
	e := startLogging(c, logger.New(&log, "info"), func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		event(w, 1)
		event(w, 2)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		event(w, 3)
	})
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).err, qt.IsNil)
	c.Check(log.of(c, "id-1"), qt.DeepEquals, []map[string]any{
		{
			"message": "entry: attempt ended", "server": "s0", "outcome": "cut", "reason": "stream: unexpected EOF",
			"status": 200.0, "after": "", "first": "1", "last": "2",
		},
		{
			"message": "entry: attempt ended", "server": "s1", "outcome": "passed", "reason": "",
			"status": 200.0, "after": "2", "first": "3", "last": "3",
		},
	})
}

// A stream that could not go on ended without a line, and counted as served.
func TestAStreamThatIsCutIsLoggedAndCounted(t *testing.T) {
	c := qt.New(t)
	var log lines
	e := startLogging(c, logger.New(&log, "info"), func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		event(w, 1)
		panic(http.ErrAbortHandler)
	})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", testDeadline+": 8000")
	c.Check(l.receive(c).err, qt.Equals, io.ErrUnexpectedEOF)
	// The entry closes the connection after it has counted the request.
	_, err := io.ReadAll(l.br)
	c.Check(err, qt.IsNil)
	c.Check(log.of(c, "id-1")[1], qt.DeepEquals, map[string]any{
		"message": "entry: request ended", "outcome": "cut", "reason": "stream: unexpected EOF", "status": 200.0,
	})
	c.Check(metricsText(e), qt.Contains, `redwingstage_entry_requests_total{outcome="cut"} 1`)
}

// A stream broke off at its engine and the next one answered with a failure: the caller's answer was ended as if it were
// whole.
func TestAFailureOfTheNextServerDoesNotEndAStream(t *testing.T) {
	for _, status := range []int{500, 503, 504, 429, 404, 401, 400, 302} {
		for _, body := range []string{"", "no"} {
			t.Run(strconv.Itoa(status)+" "+body, func(t *testing.T) {
				c := qt.New(t)
				var calls atomic.Int32
				server := func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					sealed(w, r)
					if r.Header.Get(testResume) == "" {
						event(w, 1)
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(status)
					_, _ = io.WriteString(w, body)
				}
				e := start(c, server, server)
				l := dial(c, e)
				l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
				resp := l.receive(c)
				c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF, qt.Commentf("it looks whole"))
				c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\n")
				c.Check(calls.Load(), qt.Equals, int32(2))
			})
		}
	}
}

// A request whose second server fails it after events have reached the caller goes on at a third one.
func TestAStreamGoesOnAtAThirdServer(t *testing.T) {
	c := qt.New(t)
	var resumed atomic.Int32
	server := func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		switch {
		case r.Header.Get(testResume) == "":
			event(w, 1)
			panic(http.ErrAbortHandler)
		case resumed.Add(1) == 1:
			w.WriteHeader(http.StatusInternalServerError)
		default:
			event(w, 2)
		}
	}
	e := start(c, server, server, server)
	l := dial(c, e)
	l.send(c, "POST", "/thrice/", "x", testDeadline+": 8000")
	resp := l.receive(c)
	c.Check(resp.err, qt.IsNil)
	c.Check(resp.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}
