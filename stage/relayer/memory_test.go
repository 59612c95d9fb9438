package relayer

import (
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

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/governor"
)

// startSmallEntry runs an entry with the memory and number of connections in front of a server with the handler.
func startSmallEntry(c *qt.C, memory int64, conns int, handler http.HandlerFunc) *Relayer {
	e := startEntry(c)
	srv := httptest.NewServer(handler)
	c.Cleanup(srv.Close)
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{{
		Key: tracker.Key{ID: "s0", StartedMS: 1}, Service: "s", Zone: "z", Addr: srv.Listener.Addr().String(), Slots: 200,
	}}})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory, e.maxConns = collector.New(memory), conns
	return e
}

// waitUntil waits for a condition; the time only ends a test that fails.
func waitUntil(c *qt.C, what string, f func() bool) {
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("%s: not in time", what)
		}
	}
}

func (e *Relayer) bufferedBytes() int {
	used, _ := e.memory.Used()
	return int(used)
}

func answerLength(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	setSeal(w, r)
	_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
}

// Many bodies that stop short of their end hold the whole budget: a small request is served at once, a large one after one of them was
// refused, with the promise that it didn't run, and nothing stays counted.
func TestUnfinishedBodiesGiveWayToOthers(t *testing.T) {
	c := qt.New(t)
	e := startSmallEntry(c, 64<<20, 1000, answerLength)
	var stopped []*caller
	for range 20 {
		l := dial(c, e)
		_, err := fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: id-1\r\nContent-Length: %d\r\n\r\n", testHost, testAttempt, defaultBodyBytes)
		c.Assert(err, qt.IsNil)
		go func() { _, _ = io.WriteString(l, strings.Repeat("x", defaultBodyBytes-1)) }()
		stopped = append(stopped, l)
	}
	waitUntil(c, "the budget is used", func() bool {
		used, limit := e.memory.Used()
		return used > limit/2
	})
	small := dial(c, e)
	small.send(c, "POST", "/once/", "small")
	c.Check(small.receive(c).body, qt.Equals, "5")
	large := dial(c, e)
	large.send(c, "POST", "/once/", strings.Repeat("x", 1<<20))
	resp := large.receive(c)
	c.Check(resp.status, qt.Equals, 200, qt.Commentf("%s", resp.body))
	c.Check(resp.body, qt.Equals, strconv.Itoa(1<<20))
	refused := 0
	for _, l := range stopped {
		resp := l.receive(c)
		switch resp.status {
		case http.StatusServiceUnavailable:
			refused++
			c.Check(resp.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		default:
			c.Check(resp.status, qt.Equals, http.StatusRequestTimeout)
		}
		c.Check(resp.closes, qt.IsTrue)
	}
	c.Check(refused > 0, qt.IsTrue)
	waitUntil(c, "nothing is counted", func() bool { return e.bufferedBytes() == 0 })
}

// What a caller announces takes no memory.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	e := startSmallEntry(c, 0, 1000, answerLength)
	for range 50 {
		l := dial(c, e)
		_, err := fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: id-1\r\nContent-Length: %d\r\n\r\nx", testHost, testAttempt, defaultBodyBytes)
		c.Assert(err, qt.IsNil)
	}
	waitUntil(c, "all are read", func() bool { return e.bufferedBytes() > 0 && e.countBusy() == 50 })
	time.Sleep(20 * time.Millisecond)
	c.Check(e.bufferedBytes() <= 50*serverBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", e.bufferedBytes()))
}

// A caller announces more than it may send and waits for a "100 Continue": it gets 413 at once and no promise to read.
func TestBodyOverTheLimitIsNotAskedFor(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, answerLength)
	l := dial(c, e)
	_, err := fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testHost, defaultBodyBytes+1)
	c.Assert(err, qt.IsNil)
	c.Check(l.receive(c).status, qt.Equals, http.StatusRequestEntityTooLarge)
}

// A caller that sends on while it is refused reads the refusal: its connection isn't reset before.
func TestRefusalIsReadBesideAnUpload(t *testing.T) {
	for range 20 {
		c := qt.New(t)
		e := startEntry(c, answerLength)
		l := dial(c, e)
		_, err := fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", testHost, 2*defaultBodyBytes)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(l, strings.Repeat("x", 1<<20))
		c.Check(err, qt.IsNil)
		c.Check(l.receive(c).status, qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

// Callers that open connections beyond the bound close the longest idle one; one with a request in service stays.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	var running atomic.Int32
	e := startSmallEntry(c, 0, 10, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			running.Add(1)
			<-release
		}
		answerLength(w, r)
	})
	slow := dial(c, e)
	slow.send(c, "POST", "/once/slow", "x")
	waitUntil(c, "the request runs", func() bool { return running.Load() == 1 })
	for range 50 {
		l := dial(c, e)
		_, err := io.WriteString(l, "POST /once/ HTTP/1.1\r\n")
		c.Assert(err, qt.IsNil)
	}
	ordinary := dial(c, e)
	ordinary.send(c, "POST", "/once/", "ordinary")
	c.Check(ordinary.receive(c).body, qt.Equals, "8")
	e.mu.Lock()
	open := len(e.conns)
	e.mu.Unlock()
	c.Check(open <= 10, qt.IsTrue, qt.Commentf("%d connections", open))
	close(release)
	c.Check(slow.receive(c).body, qt.Equals, "1")
}

// Callers that read nothing of a large answer or a stream lose their own, and hold little; others are served meanwhile.
func TestSlowReadersCostThemselves(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			e := startSmallEntry(c, 16<<20, 1000, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Large") == "" {
					answerLength(w, r)
					return
				}
				setSeal(w, r)
				event := "data: " + strings.Repeat("x", 60<<10) + "\n\n"
				for i := 1; r.Context().Err() == nil; i++ {
					if _, err := fmt.Fprintf(w, "id: %d\n%s", i, event); err != nil {
						return
					}
				}
			})
			for range 30 {
				l := dial(c, e)
				if tcp, ok := l.Conn.(*net.TCPConn); ok {
					c.Assert(tcp.SetReadBuffer(4<<10), qt.IsNil)
				}
				l.send(c, "POST", path, "x", testDeadline+": 15000", "X-Large: 1")
			}
			waitUntil(c, "answers arrive", func() bool { return e.bufferedBytes() > 1<<20 })
			for range 20 {
				l := dial(c, e)
				l.send(c, "POST", "/once/", "ordinary")
				c.Check(l.receive(c).body, qt.Equals, "8")
				used, limit := e.memory.Used()
				c.Check(used <= limit, qt.IsTrue)
			}
			waitUntil(c, "the slow ones are gone", func() bool { return e.countBusy() == 0 && e.bufferedBytes() == 0 })
		})
	}
}

// Servers that send a part of their answer and then nothing hold what came; an ordinary request is served beside them.
func TestSlowServersHoldWhatCame(t *testing.T) {
	c := qt.New(t)
	e := startSmallEntry(c, 32<<20, 1000, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Large") == "" {
			answerLength(w, r)
			return
		}
		setSeal(w, r)
		_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes-1))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	for range 60 {
		l := dial(c, e)
		l.send(c, "POST", "/once/", "x", testDeadline+": 3000", "X-Large: 1")
	}
	waitUntil(c, "parts arrive", func() bool { return e.bufferedBytes() >= 30*maxBufferedBytes })
	l := dial(c, e)
	l.send(c, "POST", "/once/", "ordinary")
	c.Check(l.receive(c).body, qt.Equals, "8")
	used, limit := e.memory.Used()
	c.Check(used <= limit, qt.IsTrue)
	waitUntil(c, "nothing is counted", func() bool { return e.bufferedBytes() == 0 })
}

// Without settings of memory and descriptors, requests are served as before, whatever their number.
func TestUnknownMemoryBoundsNoOrdinaryCallers(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, answerLength)
	_, limit := e.memory.Used()
	c.Check(limit, qt.Equals, int64(512<<20))
	c.Check(e.maxConns, qt.Equals, 16384)
	var calls []*caller
	for range 40 {
		l := dial(c, e)
		l.send(c, "POST", "/once/", strings.Repeat("x", 1<<20))
		calls = append(calls, l)
	}
	for _, l := range calls {
		c.Check(l.receive(c).body, qt.Equals, strconv.Itoa(1<<20))
	}
}
