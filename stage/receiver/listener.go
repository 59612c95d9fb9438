package receiver

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lingerTimeout = 2 * time.Second
	maxLinger     = 64 << 20
)

// tooMany is the raw HTTP response to a connection over the limit.
const tooMany = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Redwing-Outcome: not-run\r\nConnection: close\r\nContent-Length: 132\r\n\r\n" +
	`{"error":{"message":"too many open connections at this entry","type":"server_error","param":null,"code":"full","outcome":"not-run"}}`

// listener limits the number of open connections and the duration of each write.
type listener struct {
	net.Listener
	max     int64
	timeout time.Duration
	open    atomic.Int64
}

func newListener(ln net.Listener, maxConns int, timeout time.Duration) *listener {
	return &listener{Listener: ln, max: int64(maxConns), timeout: timeout}
}

// Accept implements net.Listener; connections over the limit get a 503 response and are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &conn{Conn: c, timeout: l.timeout, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = c.SetWriteDeadline(time.Now().Add(l.timeout))
		_, _ = c.Write([]byte(tooMany))
		_ = c.Close()
	}
}

// conn sets a deadline for each write, which ends callers that stop reading but not long streams.
type conn struct {
	net.Conn
	timeout time.Duration
	closed  func()
	// unread is set while the caller may still send a request body that was refused.
	unread atomic.Bool
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements io.Closer; it first drains a refused body that is still being sent, or the caller would miss the refusal.
func (c *conn) Close() error {
	c.closed()
	if c.unread.CompareAndSwap(true, false) {
		c.linger()
	}
	return c.Conn.Close()
}

func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLinger)
	}
}
