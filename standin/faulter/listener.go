package faulter

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Listener accepts connections with injectable faults.
type Listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*Conn]bool
	closed bool
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, addr string) (*Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Listener{Listener: ln, conns: make(map[*Conn]bool)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = true
	return c, nil
}

// Close implements net.Listener; it also closes open connections, and further calls do nothing.
func (l *Listener) Close() error {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	l.CloseConns()
	if closed {
		return nil
	}
	return l.Listener.Close()
}

// SilenceConns makes all open connections discard all data for good.
func (l *Listener) SilenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// CloseConns closes all open connections.
func (l *Listener) CloseConns() {
	l.mu.Lock()
	conns := l.conns
	l.conns = make(map[*Conn]bool)
	l.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// Conn is a connection that can go silent, truncate an answer or send a write twice.
type Conn struct {
	net.Conn
	listener     *Listener
	silent       atomic.Bool
	doubleNext   atomic.Bool
	truncateNext atomic.Bool
}

// TruncateNext makes the next write send half of its body and close the connection.
func (c *Conn) TruncateNext() { c.truncateNext.Store(true) }

// DoubleNext makes the next write send its data twice.
func (c *Conn) DoubleNext() { c.doubleNext.Store(true) }

// Read implements net.Conn; a silent connection discards received data.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn; a silent connection discards sent data.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if c.truncateNext.Swap(false) {
		return c.writeTruncated(p)
	}
	if c.doubleNext.Swap(false) {
		if _, err := c.Conn.Write(p); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// writeTruncated writes the answer's header and half of its body, then closes the connection.
func (c *Conn) writeTruncated(p []byte) (int, error) {
	headerEnd := bytes.Index(p, []byte("\r\n\r\n"))
	n, err := c.Conn.Write(p[:(len(p)+max(headerEnd, 0))/2])
	if err == nil {
		err = errors.New("connection closed by an injected fault")
	}
	_ = c.Close()
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
