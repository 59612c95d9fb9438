package cutter

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hang is how long a test waits for a byte that must not arrive.
const hang = 50 * time.Millisecond

// echo starts a server that echoes all bytes and returns its address.
func echo(t *testing.T) string {
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

// answers reports whether a byte is echoed.
func answers(t *testing.T, conn net.Conn, wait time.Duration) bool {
	_, err := conn.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(wait)), qt.IsNil)
	n, _ := conn.Read(make([]byte, 1))
	return n == 1
}

func TestCutter(t *testing.T) {
	const long = 10 * time.Second
	tests := []struct {
		name     string
		fault    func(*Cutter)
		open     bool
		fresh    bool
		afterNew bool
	}{
		{name: "no fault", fault: func(*Cutter) {}, open: true, fresh: true, afterNew: true},
		{name: "cut both directions", fault: func(c *Cutter) { c.Cut(Both) }, afterNew: true},
		{name: "cut forward", fault: func(c *Cutter) { c.Cut(Forward) }, afterNew: true},
		{name: "cut backward", fault: func(c *Cutter) { c.Cut(Backward) }, afterNew: true},
		{name: "open connections dropped", fault: func(c *Cutter) { c.Silence() }, fresh: true, afterNew: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := qt.New(t)
			c, err := New(context.Background(), "127.0.0.1:0", echo(t))
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
					return long
				}
				return hang
			}
			open := dial()
			q.Assert(answers(t, open, long), qt.IsTrue)
			tt.fault(c)
			q.Assert(answers(t, open, wait(tt.open)), qt.Equals, tt.open)
			q.Assert(answers(t, dial(), wait(tt.fresh)), qt.Equals, tt.fresh)
			c.Heal()
			q.Assert(answers(t, dial(), long), qt.Equals, tt.afterNew)
			c.Reset()
		})
	}
}
