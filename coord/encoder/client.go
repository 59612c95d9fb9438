package encoder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// DialFunc opens a connection, like the method DialContext of net.Dialer.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithDialer opens the connections by dial; nil stands for the DialContext of a net.Dialer.
func WithDialer(dial DialFunc) ClientOption {
	return func(c *Client) {
		if dial != nil {
			c.dial = dial
		}
	}
}

// WithPing pings a connection that has received nothing for idle, and closes it without an answer within timeout.
func WithPing(idle, timeout time.Duration) ClientOption {
	return func(c *Client) { c.http2.SendPingTimeout, c.http2.PingTimeout = idle, timeout }
}

// Client is an HTTP client for unencrypted HTTP/2 that detects dead connections by pings.
type Client struct {
	dial   DialFunc
	http   http.Client
	http2  *http.HTTP2Config
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	conns  map[*clientConn]struct{}
	dials  sync.WaitGroup
}

// NewClient returns a Client, which must be closed.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{dial: new(net.Dialer).DialContext, http2: newHTTP2Config(), conns: make(map[*clientConn]struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	c.http.Transport = &messageJoiner{&http.Transport{
		DialContext: c.dialContext,
		Protocols:   &p,
		HTTP2:       c.http2,
	}}
	return c
}

// Do sends a request, like the method of http.Client; it returns an error once the client is closed.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.http.Do(r) }

// Close closes all connections, also those of calls that haven't ended, and waits for the dials in progress. Calls end with
// an error, also those that wait for a peer that doesn't read.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.http.CloseIdleConnections()
	c.mu.Lock()
	conns := c.conns
	c.conns = nil
	c.mu.Unlock()
	for conn := range conns {
		conn.abort()
	}
	c.dials.Wait()
}

func (c *Client) dialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.dials.Add(1)
	c.mu.Unlock()
	defer c.dials.Done()
	defer context.AfterFunc(c.ctx, cancel)()
	conn, err := c.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{Conn: conn, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cc.abort()
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	}
	c.conns[cc] = struct{}{}
	return cc, nil
}

// clientConn is a connection that its client closes.
type clientConn struct {
	net.Conn
	client *Client
}

// Close implements net.Conn.
func (cc *clientConn) Close() error {
	cc.client.mu.Lock()
	delete(cc.client.conns, cc)
	cc.client.mu.Unlock()
	return cc.Conn.Close()
}

// abort closes the connection without sending what the kernel still holds: a peer that was silent would get it late.
func (cc *clientConn) abort() {
	if l, ok := cc.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = cc.Conn.Close()
}
