package cutter

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silenceTimeout is how long a test waits for a byte that must not arrive.
const silenceTimeout = 50 * time.Millisecond

// newEchoServer starts a server that echoes all bytes and returns its address.
func newEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return ln.Addr().String()
}

// isEchoed reports whether a byte is echoed.
func isEchoed(t *testing.T, conn net.Conn, wait time.Duration) bool {
	_, err := conn.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(wait)), qt.IsNil)
	n, _ := conn.Read(make([]byte, 1))
	return n == 1
}

func TestCutter(t *testing.T) {
	const echoTimeout = 10 * time.Second
	tests := []struct {
		name                 string
		fault                func(*Cutter)
		openWorks            bool
		newWorks             bool
		newWorksAfterRestore bool
	}{
		{name: "no fault", fault: func(*Cutter) {}, openWorks: true, newWorks: true, newWorksAfterRestore: true},
		{name: "cut both directions", fault: func(c *Cutter) { c.Cut(Both) }, newWorksAfterRestore: true},
		{name: "cut forward", fault: func(c *Cutter) { c.Cut(Forward) }, newWorksAfterRestore: true},
		{name: "cut backward", fault: func(c *Cutter) { c.Cut(Backward) }, newWorksAfterRestore: true},
		{name: "open connections dropped", fault: func(c *Cutter) { c.DropOpen() }, newWorks: true, newWorksAfterRestore: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := qt.New(t)
			c, err := New(context.Background(), "127.0.0.1:0", newEchoServer(t))
			q.Assert(err, qt.IsNil)
			defer func() { q.Check(c.Close(), qt.IsNil) }()
			dial := func() net.Conn {
				conn, err := net.Dial("tcp", c.Addr())
				q.Assert(err, qt.IsNil)
				t.Cleanup(func() { conn.Close() })
				return conn
			}
			wait := func(want bool) time.Duration {
				if want {
					return echoTimeout
				}
				return silenceTimeout
			}
			open := dial()
			q.Assert(isEchoed(t, open, echoTimeout), qt.IsTrue)
			tt.fault(c)
			q.Assert(isEchoed(t, open, wait(tt.openWorks)), qt.Equals, tt.openWorks)
			q.Assert(isEchoed(t, dial(), wait(tt.newWorks)), qt.Equals, tt.newWorks)
			c.Restore()
			q.Assert(isEchoed(t, dial(), echoTimeout), qt.Equals, tt.newWorksAfterRestore)
			c.Reset()
		})
	}
}
