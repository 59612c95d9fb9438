package acceptor

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMaxConns(t *testing.T) {
	for _, row := range []struct {
		class  Class
		memory int64
		files  int
		want   int
	}{
		{Entry, 0, 0, defaultConns},
		{Entry, 144 << 20, 4100, 552},
		{Entry, 284 << 20, 4100, 1090},
		{Entry, 424 << 20, 4100, 1628},
		{Entry, 0, 400, 100},
		{Entry, 0, 100, minConns},
		{Entry, 1 << 20, 0, minConns},
		{Control, 280 << 20, 4096, 597},
		{System, 280 << 20, 4096, 215},
		{System, 0, 4096, 974},
	} {
		qt.Check(t, row.class.MaxConns(row.memory, row.files), qt.Equals, row.want)
	}
}

// One more connection than the bound closes the one that has been inactive longest, not the one that was opened first.
func TestLongestInactiveConnectionIsClosed(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ln := New(raw, 3)
	defer ln.Close()
	open := func() (near, far net.Conn) {
		far, err := net.Dial("tcp", raw.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		near, err = ln.Accept()
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() {
			_ = near.Close()
			_ = far.Close()
		})
		return near, far
	}
	near, first := open()
	_, second := open()
	_, third := open()
	_, err = first.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(near, make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	open()
	_, err = second.Read(make([]byte, 1))
	qt.Check(t, err, qt.Equals, io.EOF)
	open()
	_, err = third.Read(make([]byte, 1))
	qt.Check(t, err, qt.Equals, io.EOF)
	_, err = near.Write([]byte("y"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, len(ln.conns), qt.Equals, 3)
}

// Connections that were closed for others count until their server lets go of them: a crowd that came back left ever more behind.
func TestConnectionsCountUntilTheirServerClosesThem(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	const limit = 2
	ln := New(raw, limit)
	defer ln.Close()
	dial := func() net.Conn {
		far, err := net.Dial("tcp", raw.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = far.Close() })
		return far
	}
	var near []net.Conn
	for range maxUnreleased * limit {
		dial()
		c, err := ln.Accept()
		qt.Assert(t, err, qt.IsNil)
		near = append(near, c)
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := ln.Accept()
		accepted <- c
	}()
	_, err = dial().Read(make([]byte, 1))
	qt.Check(t, err, qt.Equals, io.EOF)
	for range 2 {
		_ = near[0].Close()
	}
	dial()
	near[0] = <-accepted
	for _, c := range near {
		_ = c.Close()
	}
	qt.Check(t, ln.unreleased, qt.Equals, 0)
}
