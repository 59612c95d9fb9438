package parser

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Conn is a client's connection whose responses' heads are checked before the HTTP library reads them. A read fails if a head is
// malformed or has more than maxHead bytes.
//
// What is read first after a write is taken for a head: the client must have written its request before the response is read.
type Conn struct {
	net.Conn
	maxHead int
	// awaitsHead is set from a request's write until the head of its response was read.
	awaitsHead atomic.Bool
	// checked is what may be read; pending is the beginning of a head.
	checked, pending []byte
	// headErr is the error that all further reads return.
	headErr error
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn, maxHead int) *Conn { return &Conn{Conn: c, maxHead: maxHead} }

// DialContext returns a function for http.Transport that opens Conns by d.
func DialContext(d *net.Dialer, maxHead int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c, maxHead), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.awaitsHead.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn; errors of heads wrap ErrStatus, ErrField, ErrFraming or ErrTooLarge.
func (c *Conn) Read(p []byte) (int, error) {
	for c.headErr == nil && len(c.checked) == 0 {
		n, err := c.Conn.Read(p)
		switch {
		case !c.awaitsHead.Load():
			return n, err
		case n == 0 && errors.Is(err, io.EOF) && len(c.pending) > 0:
			return 0, io.ErrUnexpectedEOF
		case n == 0:
			return 0, err
		}
		// An end that came with bytes, as over TLS, comes again with the next read.
		c.pending = append(c.pending, p[:n]...)
		c.headErr = c.checkHeads()
	}
	if c.headErr != nil {
		return 0, c.headErr
	}
	n := copy(p, c.checked)
	if c.checked = c.checked[n:]; len(c.checked) == 0 {
		c.checked = nil
	}
	return n, nil
}

// checkHeads checks the heads that are pending: those of interim responses and that of the final one, with which the body follows.
func (c *Conn) checkHeads() error {
	for c.awaitsHead.Load() {
		i := bytes.Index(c.pending, []byte(lineEnd+lineEnd))
		n := i + 2*len(lineEnd)
		if i < 0 {
			n = len(c.pending)
		}
		switch {
		case n > c.maxHead:
			return ErrTooLarge
		case i < 0:
			return nil
		}
		head, err := ParseResponse(c.pending[:n])
		if err != nil {
			return err
		}
		c.checked, c.pending = append(c.checked, c.pending[:n]...), c.pending[n:]
		if head.Status() >= http.StatusOK || head.Status() == http.StatusSwitchingProtocols {
			c.awaitsHead.Store(false)
		}
	}
	c.checked, c.pending = append(c.checked, c.pending...), nil
	return nil
}
