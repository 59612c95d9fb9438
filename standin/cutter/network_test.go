package cutter

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// networkTest has a connection from process a to process b, with the server's end.
type networkTest struct {
	n      *Network
	addr   string
	lis    net.Listener
	client net.Conn
	server net.Conn
}

func newNetworkTest(t *testing.T) *networkTest {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	nt := &networkTest{n: NewNetwork(1), addr: lis.Addr().String(), lis: lis}
	nt.client, err = nt.n.Dialer("a")(context.Background(), "tcp", nt.addr)
	qt.Assert(t, err, qt.IsNil)
	nt.server, err = lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		nt.n.Close()
		lis.Close()
		nt.server.Close()
	})
	return nt
}

const short = 30 * time.Millisecond

func read(conn net.Conn, d time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	b := make([]byte, 100)
	m, err := conn.Read(b)
	return string(b[:m]), err
}

func checkRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got, err := read(conn, 10*time.Second)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, want)
}

func checkSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := read(conn, short)
	qt.Check(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

func write(t *testing.T, conn net.Conn, s string) {
	t.Helper()
	_, err := conn.Write([]byte(s))
	qt.Check(t, err, qt.IsNil)
}

// What is written during a silence waits and arrives after it, in the silent direction only.
func TestSilence(t *testing.T) {
	for _, up := range []bool{true, false} {
		t.Run(map[bool]string{true: "to the server", false: "to the client"}[up], func(t *testing.T) {
			nt := newNetworkTest(t)
			from, to, src, dst := "a", nt.addr, nt.client, nt.server
			if !up {
				from, to, src, dst = to, from, dst, src
			}
			nt.n.Silence(from, to)
			write(t, src, "x")
			write(t, dst, "y")
			checkRead(t, src, "y")
			checkSilent(t, dst)
			ctx, cancel := context.WithTimeout(context.Background(), short)
			defer cancel()
			_, err := nt.n.Dialer("a")(ctx, "tcp", nt.addr)
			qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
			nt.n.Restore(from, to)
			checkRead(t, dst, "x")
		})
	}
}

// Writes wait once the buffer is full, and the close of either end isn't seen.
func TestSilentConnectionFillsAndStaysOpen(t *testing.T) {
	nt := newNetworkTest(t)
	nt.n.Silence("a", nt.addr)
	_ = nt.client.SetWriteDeadline(time.Now().Add(short))
	m, err := nt.client.Write(make([]byte, streamBytes+1))
	qt.Check(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	qt.Check(t, m, qt.Equals, streamBytes)
	qt.Check(t, nt.client.Close(), qt.IsNil)
	checkSilent(t, nt.server)
	nt.n.Restore("a", nt.addr)
	_ = nt.server.SetReadDeadline(time.Now().Add(10 * time.Second))
	data, err := io.ReadAll(nt.server)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, data, qt.HasLen, streamBytes)
}

// A connection that is aborted during a silence is reset only by the peer's next byte.
func TestAbortDuringSilence(t *testing.T) {
	nt := newNetworkTest(t)
	nt.n.Silence("a", nt.addr)
	write(t, nt.client, "late")
	c, ok := nt.client.(interface{ SetLinger(sec int) error })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, c.SetLinger(0), qt.IsNil)
	qt.Check(t, nt.client.Close(), qt.IsNil)
	nt.n.Restore("a", nt.addr)
	checkSilent(t, nt.server)
	write(t, nt.server, "x")
	_, err := read(nt.server, 10*time.Second)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
}

// A machine that lost its power is silent, and resets old connections once it is on again.
func TestPower(t *testing.T) {
	nt := newNetworkTest(t)
	nt.n.PowerOff(nt.addr)
	nt.server.Close()
	checkSilent(t, nt.client)
	write(t, nt.client, "x")
	nt.n.PowerOn(nt.addr)
	_, err := read(nt.client, 10*time.Second)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	conn, err := nt.n.Dialer("a")(context.Background(), "tcp", nt.addr)
	qt.Assert(t, err, qt.IsNil)
	conn.Close()
}

// The end of a connection and its reset reach the client, and a delayed byte arrives no earlier.
func TestDelayEndAndReset(t *testing.T) {
	nt := newNetworkTest(t)
	nt.n.Delay(nt.addr, "a", 2*short)
	start := time.Now()
	write(t, nt.server, "x")
	checkRead(t, nt.client, "x")
	qt.Check(t, time.Since(start) >= 2*short, qt.IsTrue)
	nt.n.Reset("a", nt.addr)
	_, err := read(nt.client, 10*time.Second)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	_, err = read(nt.server, 10*time.Second)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)

	conn, err := nt.n.Dialer("a")(context.Background(), "tcp", nt.addr)
	qt.Assert(t, err, qt.IsNil)
	server, err := nt.lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	server.Close()
	_, err = read(conn, 10*time.Second)
	qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue)
	conn.Close()
}
