package receiver

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lingerTimeout  = 2 * time.Second
	maxLingerBytes = 64 << 20
)

// tooManyConnsResponse is the raw HTTP response to a connection over the limit.
const tooManyConnsResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Redwing-Outcome: not-run\r\nConnection: close\r\nContent-Length: 132\r\n\r\n" +
	`{"error":{"message":"too many open connections at this entry","type":"server_error","param":null,"code":"full","outcome":"not-run"}}`

// listener limits open connections and the duration of each write.
type listener struct {
	net.Listener
	maxConns     int64
	writeTimeout time.Duration
	open         atomic.Int64
}

func newListener(ln net.Listener, maxConns int, writeTimeout time.Duration) *listener {
	return &listener{Listener: ln, maxConns: int64(maxConns), writeTimeout: writeTimeout}
}

// Accept implements net.Listener; connections over the limit get a 503 and are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns {
			return &conn{Conn: c, writeTimeout: l.writeTimeout, onClose: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = c.SetWriteDeadline(time.Now().Add(l.writeTimeout))
		_, _ = c.Write([]byte(tooManyConnsResponse))
		_ = c.Close()
	}
}

// conn sets a deadline for each write, which stops callers that don't read but not long streams.
type conn struct {
	net.Conn
	writeTimeout time.Duration
	onClose      func()
	// unreadBody reports that a refused body may still be arriving.
	unreadBody atomic.Bool
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements io.Closer; it first drains a refused body, or a caller that still sends would miss the refusal.
func (c *conn) Close() error {
	c.onClose()
	if c.unreadBody.CompareAndSwap(true, false) {
		c.linger()
	}
	return c.Conn.Close()
}

func (c *conn) linger() {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
}
