package encoder

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

const (
	// clientPreface and emptySettings are how a connection of HTTP/2 begins.
	clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	// speedup divides the timeouts in these tests.
	speedup = 100
	// testTimeout ends a test whose connection stays open.
	testTimeout = 10 * time.Second
)

// fastConn shortens write timeouts.
type fastConn struct{ net.Conn }

func (c fastConn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetWriteDeadline(t)
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(time.Until(t) / speedup))
}

// A call whose peer's machine took no byte more waited until the ping's timeout or the kernel's.
func TestClientClosesConnectionThatTakesNoByte(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := NewClient(WithDialer(func(context.Context, string, string) (net.Conn, error) { return fastConn{near}, nil }))
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := connect.NewClient[sample, sample](c, "http://peer/x", ConnectOption()).CallUnary(ctx, connect.NewRequest(&sample{}))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, ctx.Err(), qt.IsNil)
}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// A server whose client's machine was gone kept the connection, and what was open on it, until the kernel gave up.
func TestServerClosesConnectionOfDeadClient(t *testing.T) {
	for _, tt := range []struct {
		name string
		// reads is set if the client's machine still takes bytes.
		reads bool
	}{{"that answers no ping", true}, {"that takes no byte", false}} {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer lis.Close()
			near, far := net.Pipe()
			defer near.Close()
			s := NewServer(http.NotFoundHandler())
			s.ErrorLog = log.New(io.Discard, "", 0)
			if s.HTTP2 != nil && tt.reads {
				s.HTTP2.SendPingTimeout /= speedup
				s.HTTP2.PingTimeout /= speedup
			}
			l := oneConn{lis, make(chan net.Conn, 1)}
			l.conns <- fastConn{far}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = s.Serve(l)
			}()
			defer func() {
				close(l.conns)
				_ = s.Close()
				<-done
			}()
			_ = near.SetDeadline(time.Now().Add(testTimeout))
			_, err = near.Write([]byte(clientPreface + emptySettings))
			qt.Check(t, err, qt.IsNil)
			if tt.reads {
				_, err = io.Copy(io.Discard, near)
				qt.Check(t, err, qt.IsNil)
				return
			}
			// Writes to a pipe end once the other end is closed.
			for err == nil {
				_, err = near.Write([]byte(emptySettings))
			}
			qt.Check(t, err, qt.ErrorIs, io.ErrClosedPipe)
		})
	}
}
