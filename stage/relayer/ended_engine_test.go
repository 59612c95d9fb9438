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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

// endingEngine answers one request without a length, from the event after the resume header's on, and then ends as its process would:
// the kernel closes its listener and, in order, its connections.
type endingEngine struct {
	// last is the last event that is sent, 0 for none; body is sent instead of events unless it is empty.
	last int
	body string
	// end, unless it is nil, is closed once the process may end.
	end chan struct{}
}

// start returns the engine's announcement.
func (g endingEngine) start(c *qt.C, id string) tracker.Instance {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	context.AfterFunc(c.Context(), func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		defer func() { _ = ln.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		body, media := g.body, "text/plain"
		if body == "" {
			after, _ := strconv.Atoi(r.Header.Get(testResume))
			body, media = eventsBetween(after, g.last), "text/event-stream"
		}
		_, _ = io.WriteString(conn, responseHead(r, http.StatusOK, "Content-Type: "+media)+body)
		if g.end != nil {
			<-g.end
		}
	}()
	return engineAt(id, ln.Addr().String())
}

func engineAt(id, addr string) tracker.Instance {
	return tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}, Service: "s", Zone: "z", Addr: addr, Slots: 8}
}

// eventsBetween returns the events after one up to another, by number.
func eventsBetween(after, last int) string {
	var b strings.Builder
	for i := after + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// startEntryBefore runs an entry in front of engines.
func startEntryBefore(c *qt.C, engines ...tracker.Instance) *Relayer {
	e := startEntry(c)
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: engines})
	return e
}

// The end of an engine's process was taken for the end of its response: the caller got a part as a complete response.
func TestResponseOfEndedProcessIsIncomplete(t *testing.T) {
	for _, row := range []struct {
		name, path string
		engine     endingEngine
		// head is set if the caller has a part of the response before the end shows.
		head bool
	}{
		{"stream", "/stream/", endingEngine{last: 2}, true},
		{"stream that may be resumed", "/resumable/", endingEngine{last: 2}, true},
		{"stream without events", "/stream/", endingEngine{}, false},
		{"response to a request that runs once", "/once/", endingEngine{body: "part"}, false},
		{"response to a request that may be repeated", "/safe/", endingEngine{body: "part"}, false},
		{"response that is forwarded", "/once/", endingEngine{body: strings.Repeat("x", 2*maxBufferedBytes)}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			e := startEntryBefore(c, row.engine.start(c, "s0"))
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", testDeadline+": 900")
			got := l.receive(c)
			if row.head {
				c.Check(got.status, qt.Equals, http.StatusOK)
				c.Check(got.err, qt.ErrorIs, io.ErrUnexpectedEOF)
				return
			}
			c.Check(got.status, qt.Equals, http.StatusBadGateway)
			c.Check(got.err, qt.IsNil)
		})
	}
}

// A stream that may be resumed ended as complete with its engine's process, also if another engine would have gone on.
func TestStreamOfEndedProcessIsResumed(t *testing.T) {
	for _, second := range []struct {
		name    string
		engine  func(c *qt.C) tracker.Instance
		body    string
		isWhole bool
	}{
		{"at an engine that goes on", func(c *qt.C) tracker.Instance {
			return engineAt("s1", startResumingEngine(c, 4))
		}, eventsBetween(0, 4), true},
		{"at an engine that has nothing left", func(c *qt.C) tracker.Instance {
			return engineAt("s1", startResumingEngine(c, 2))
		}, eventsBetween(0, 2), true},
		{"at an engine that ends after its head", func(c *qt.C) tracker.Instance {
			return endingEngine{last: 2}.start(c, "s1")
		}, eventsBetween(0, 2), false},
		{"at an engine that ends later", func(c *qt.C) tracker.Instance {
			return endingEngine{last: 3}.start(c, "s1")
		}, eventsBetween(0, 3), false},
	} {
		t.Run(second.name, func(t *testing.T) {
			c := qt.New(t)
			first := endingEngine{last: 2, end: make(chan struct{})}
			e := startEntryBefore(c, first.start(c, "s0"))
			l := dial(c, e)
			l.send(c, "POST", "/resumable/", "x", testDeadline+": 900")
			_, err := l.br.Peek(1)
			c.Assert(err, qt.IsNil)
			e.control.applyMessage(governor.DownMessage{Engines: []tracker.Instance{second.engine(c)}})
			close(first.end)
			got := l.receive(c)
			c.Check(got.body, qt.Equals, second.body)
			if second.isWhole {
				c.Check(got.err, qt.IsNil)
			} else {
				c.Check(got.err, qt.ErrorIs, io.ErrUnexpectedEOF)
			}
		})
	}
}

// startResumingEngine starts an engine that answers in chunks, with the events after the resume header's up to last, and returns its
// address.
func startResumingEngine(c *qt.C, last int) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get(testResume))
		for i := after + 1; i <= last; i++ {
			writeEvent(w, i)
		}
		_ = http.NewResponseController(w).Flush()
	}))
	c.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// A server that gives up on a response which its caller leaves unread ends the connection in order and lives on: the caller got what was
// left of it as a complete response.
func TestResponseGivenUpByServerIsIncomplete(t *testing.T) {
	// bound bounds what the kernel takes, so that the server has to wait for the caller.
	bound := func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(64 << 10)
			_ = tcp.SetWriteBuffer(64 << 10)
		}
	}
	const patience, parts, partSize = 1300 * time.Millisecond, 1000, 8 << 10
	for _, row := range []struct{ name, path, part string }{
		{"body", "/once/", strings.Repeat("x", partSize)},
		{"events", "/stream/", "id: %d\ndata: " + strings.Repeat("x", partSize) + "\n\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			gaveUp := make(chan struct{})
			e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == testHealthPath {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				bound(conn)
				_, _ = io.WriteString(conn, responseHead(r, http.StatusOK, "Content-Type: text/event-stream"))
				for n := 1; n <= parts; n++ {
					part := strings.ReplaceAll(row.part, "%d", strconv.Itoa(n))
					_ = conn.SetWriteDeadline(time.Now().Add(patience))
					sent, err := io.WriteString(conn, part)
					if err != nil {
						close(gaveUp)
						// The rest of the event, as if the server had given up after it.
						_ = conn.SetWriteDeadline(time.Time{})
						_, _ = io.WriteString(conn, part[sent:])
						return
					}
				}
			})
			e.links.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, network, addr)
				bound(conn)
				return conn, err
			}
			l := dial(c, e)
			bound(l.Conn)
			l.send(c, "POST", row.path, "x", testDeadline+": 15000")
			select {
			case <-gaveUp:
			case <-time.After(10 * time.Second):
				c.Fatal("the server didn't give up")
			}
			got := l.receive(c)
			c.Check(len(got.body) > 0 && len(got.body) < parts*partSize, qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
			c.Check(got.err, qt.ErrorIs, io.ErrUnexpectedEOF)
		})
	}
}
