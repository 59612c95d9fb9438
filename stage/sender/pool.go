package sender

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout       = 1 * time.Second
	writeTimeout      = 5 * time.Second
	keepAliveInterval = 5 * time.Second
	idleTimeout       = 20 * time.Second
	maxIdlePerAddr    = 64
	connBufferSize    = 16 << 10
)

// conn is a connection to a backend server; each read waits for at most readTimeout.
type conn struct {
	net.Conn
	br           *bufio.Reader
	bw           *bufio.Writer
	readTimeout  time.Duration
	bytesWritten int64
	idleSince    time.Time
}

// Read implements io.Reader with a new deadline for each read.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer and counts the bytes that may have reached the server.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// pool keeps idle connections, without unread bytes, by address.
type pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool() *pool {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &pool{
		idle: make(map[string][]*conn),
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
	}
}

// take returns an idle connection, or a new one if none is idle or newConn is set.
func (p *pool) take(ctx context.Context, addr string, newConn bool) (*conn, error) {
	if !newConn {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	c.br = bufio.NewReaderSize(c, connBufferSize)
	c.bw = bufio.NewWriterSize(c, connBufferSize)
	return c, nil
}

func (p *pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if time.Since(c.idleSince) < idleTimeout {
			c.bytesWritten = 0
			return c
		}
		c.discard()
	}
	delete(p.idle, addr)
	return nil
}

// put returns a connection to the pool or closes it.
func (p *pool) put(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.br.Buffered() > 0 || len(p.idle[addr]) >= maxIdlePerAddr {
		c.discard()
		return
	}
	c.idleSince = time.Now()
	p.idle[addr] = append(p.idle[addr], c)
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.discard()
	}
	delete(p.idle, addr)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, list := range p.idle {
		for _, c := range list {
			c.discard()
		}
		delete(p.idle, addr)
	}
}

// discard closes the connection and ignores the error, which adds nothing.
func (c *conn) discard() { _ = c.Close() }
