package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

// earlyEnd is how a server ends a connection.
type earlyEnd string

const (
	endClose earlyEnd = "close"
	endReset earlyEnd = "reset"
	// endHalf ends the answer plainly and leaves the rest of the request unread for a while.
	endHalf earlyEnd = "half-close"
)

// earlyAnswer is how a server answers an upload before it has read it.
type earlyAnswer struct {
	// parts are written with a pause after each.
	parts []string
	// reads is how much of the request the server reads first, in bytes.
	reads int
	end   earlyEnd
}

// startEarlyServer runs an entry in front of a server that answers each request early.
func startEarlyServer(c *qt.C, a earlyAnswer) *Relayer {
	e := startEntry(c)
	// Small receive buffers, so that the sockets never hold a request of defaultBodyBytes.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := lc.Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			accepted, err := ln.Accept()
			conn, ok := accepted.(*net.TCPConn)
			if err != nil || !ok {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.CopyN(io.Discard, conn, int64(a.reads))
				for _, p := range a.parts {
					_, _ = io.WriteString(conn, p)
					time.Sleep(20 * time.Millisecond)
				}
				switch a.end {
				case endReset:
					_ = conn.SetLinger(0)
				case endHalf:
					_ = conn.CloseWrite()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}()
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{{
		Key: tracker.Key{ID: "s0", StartedMS: 1}, Service: "s", Zone: "z", Addr: ln.Addr().String(), Slots: 200,
	}}})
	return e
}

// A server answers an upload at once with a 200 without a length, sends a part of its body, and ends the connection while the upload
// is still being written. No caller gets that part as a complete answer.
func TestEarlyAnswerThatBreaksOffIsIncomplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + testAttempt + ": id-1\r\n" + testSeal + ": seal\r\n\r\n"
	large := strings.Repeat("x", maxBufferedBytes+1)
	for _, row := range []struct {
		name, path string
		parts      []string
	}{
		{"plain", "/once/", []string{head + "part"}},
		{"plain, forwarded", "/once/", []string{head + large, "part"}},
		{"events", "/stream/", []string{head + "id: 1\n\n"}},
		{"events, forwarded", "/stream/", []string{head + "id: 1\n\n", "id: 2\n\n"}},
		{"head only", "/stream/", []string{head}},
	} {
		// The last size is larger than what the sockets hold.
		for _, size := range []int{largeRequestBytes / 2, largeRequestBytes + 1, 64 << 10, defaultBodyBytes} {
			for _, end := range []earlyEnd{endClose, endReset, endHalf} {
				if end == endHalf && size < defaultBodyBytes {
					continue // The sockets may hold the whole request, so that nothing tells this from a complete answer.
				}
				for _, reads := range []int{0, 1 << 10, largeRequestBytes / 4} {
					t.Run(fmt.Sprintf("%s/%d bytes/%s/%d read", row.name, size, end, reads), func(t *testing.T) {
						c := qt.New(t)
						e := startEarlyServer(c, earlyAnswer{parts: row.parts, reads: reads, end: end})
						l := dial(c, e)
						l.send(c, "POST", row.path, strings.Repeat("u", size), testDeadline+": 9000")
						resp := l.receive(c)
						c.Check(resp.status == http.StatusOK && resp.err == nil, qt.IsFalse, qt.Commentf("%d bytes look complete", len(resp.body)))
					})
				}
			}
		}
	}
}
