package tunneler_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/tunneler"
)

const (
	oldHead    = "HTTP/1.1 200 OK\r\n\r\n"
	framedHead = "HTTP/1.1 200 OK\r\nRedwing-Framing: length\r\n\r\n"
)

// serveAs answers one request for a tunnel with what an entry of some build would write, and ends the connection in order.
func serveAs(c *qt.C, answer string) string {
	return serve(c, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			c.Error(err)
		}
		_, _ = io.WriteString(conn, answer)
	})
}

// readThrough reads all that comes through the entry at peer.
func readThrough(c *qt.C, peer string) (string, error) {
	conn, err := tunneler.Dial(c.Context(), &net.Dialer{}, peer, "10.0.0.1:80")
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	got, err := io.ReadAll(conn)
	return string(got), err
}

// An answer without a length must not look complete when the entry that carries it, of an older build, has ended.
func TestEndThroughOlderEntryIsUnexpected(t *testing.T) {
	c := qt.New(t)
	got, err := readThrough(c, serveAs(c, oldHead+"half"))
	c.Check(got, qt.Equals, "half")
	c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
}

// An answer without a length must not look complete wherever the entry that carries it has ended.
func TestEndWithoutMarkIsUnexpected(t *testing.T) {
	c := qt.New(t)
	const frames = "\x00\x03one\x00\x04four\x00\x00"
	for n := range len(frames) {
		_, err := readThrough(c, serveAs(c, framedHead+frames[:n]))
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("after %d bytes: %v", n, err))
	}
	got, err := readThrough(c, serveAs(c, framedHead+frames))
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, "onefour")
}

// An entry of an older build gets what the server sends as it is.
func TestOlderEntryGetsNoFrames(t *testing.T) {
	c := qt.New(t)
	addr := serve(c, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "whole")
	})
	conn, err := net.Dial("tcp", start(c, dialTCP).Addr())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", addr, addr)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len(oldHead)))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "x")
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "whole")
}

// What a server sends before it has a request, and its end, must not be lost with the answer to the request for the tunnel.
func TestServerThatSpeaksFirst(t *testing.T) {
	c := qt.New(t)
	for _, greeting := range []string{"", "busy"} {
		for range 20 {
			addr := serve(c, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, greeting) })
			got, err := io.ReadAll(dialThrough(c, start(c, dialTCP), addr))
			c.Check(err, qt.IsNil)
			c.Check(string(got), qt.Equals, greeting)
		}
	}
}

// A read whose deadline passes within a frame must not lose its place.
func TestReadsGoOnAfterDeadline(t *testing.T) {
	c := qt.New(t)
	next := make(chan struct{})
	addr := serve(c, func(conn *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, framedHead)
		for _, b := range []byte("\x00\x05whole\x00\x00") {
			<-next
			_, _ = conn.Write([]byte{b})
		}
	})
	conn, err := tunneler.Dial(c.Context(), &net.Dialer{}, addr, "10.0.0.1:80")
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	var got []byte
	for {
		c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Millisecond)), qt.IsNil)
		var b [16]byte
		n, err := conn.Read(b[:])
		got = append(got, b[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case next <- struct{}{}:
			default:
			}
			continue
		}
		if err != nil {
			c.Check(err, qt.Equals, io.EOF)
			break
		}
	}
	c.Check(string(got), qt.Equals, "whole")
}

func TestLargeAnswersAreCarriedWhole(t *testing.T) {
	c := qt.New(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	addr := serve(c, func(conn *net.TCPConn) { _, _ = conn.Write(want) })
	got, err := io.ReadAll(dialThrough(c, start(c, dialTCP), addr))
	c.Check(err, qt.IsNil)
	c.Check(bytes.Equal(got, want), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
}

// A connection whose server has ended it, or that is within a frame, must not be taken for an idle one.
func TestConnectionWithinFrameIsNotIdle(t *testing.T) {
	c := qt.New(t)
	conn, err := tunneler.Dial(c.Context(), &net.Dialer{}, serveAs(c, framedHead+"\x00\x02ab\x00\x02cd\x00\x00"), "10.0.0.1:80")
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	sc, ok := conn.(syscall.Conn)
	c.Assert(ok, qt.IsTrue)
	for _, row := range []struct {
		bytes  int
		isIdle bool
	}{{2, true}, {1, false}, {1, true}, {1, false}} {
		_, _ = io.ReadFull(conn, make([]byte, row.bytes))
		_, err := sc.SyscallConn()
		c.Check(err == nil, qt.Equals, row.isIdle, qt.Commentf("%v", err))
	}
}

// The end of an answer must not be lost for a caller that reads slowly.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	c := qt.New(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 3<<10)
	addr := serve(c, func(conn *net.TCPConn) { _, _ = conn.Write(want) })
	tn := start(c, dialTCP)
	dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := tunneler.Dial(c.Context(), dialer, tn.Addr(), addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	time.Sleep(1500 * time.Millisecond)
	got, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(len(got), qt.Equals, len(want))
}

// A server that is given up after its caller has ended its side must not seem to have ended its answer.
func TestServerGivenUpIsNoEnd(t *testing.T) {
	c := qt.New(t)
	conn, err := net.Dial("tcp", start(c, dialTCP).Addr())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	release := make(chan struct{})
	defer close(release)
	addr := serve(c, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "half")
		<-release
	})
	_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", addr, addr)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len(oldHead)))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "x")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len("half")))
	c.Assert(err, qt.IsNil)
	half, ok := conn.(interface{ CloseWrite() error })
	c.Assert(ok, qt.IsTrue)
	c.Assert(half.CloseWrite(), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}
