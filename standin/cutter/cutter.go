package cutter

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

// bufferSize is the size of a copy buffer in bytes.
const bufferSize = 32 << 10

// Direction is a set of directions through the relay.
type Direction int

// The directions; a cut direction accepts bytes and delivers none, like a network that drops packets.
const (
	// Forward is from the client to the target.
	Forward Direction = 1 << iota
	// Backward is from the target to the client.
	Backward
	// Both is Forward and Backward.
	Both = Forward | Backward
)

// Cutter relays connections to one target.
type Cutter struct {
	target string
	ln     net.Listener
	wg     conc.WaitGroup

	mu            sync.Mutex
	cutDirections Direction
	links         map[*link]struct{}
	closed        bool
	// forward and backward count the delivered bytes.
	forward, backward atomic.Int64
}

// link is one relayed connection; dropped is the directions in which its bytes are dropped until it closes.
type link struct {
	client, server net.Conn
	dropped        Direction
}

// New listens on addr and relays to target.
func New(ctx context.Context, addr, target string) (*Cutter, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	c := &Cutter{target: target, ln: ln, links: make(map[*link]struct{})}
	c.wg.Go(c.accept)
	return c, nil
}

// Addr returns the address that the relay listens on.
func (c *Cutter) Addr() string { return c.ln.Addr().String() }

// Cut drops all bytes in the direction, on open connections for good and on new ones until Restore.
func (c *Cutter) Cut(dir Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutDirections = dir
	// After a dropped byte the connection stays silent: TCP wouldn't deliver the bytes that follow it.
	for l := range c.links {
		l.dropped |= dir
	}
}

// DropOpen drops all further bytes on the connections that are open now; new ones aren't affected.
func (c *Cutter) DropOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		l.dropped = Both
	}
}

// Restore ends the cut for new connections.
func (c *Cutter) Restore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutDirections = 0
}

// Reset closes the connections that are open now.
func (c *Cutter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		l.close()
	}
}

// Close stops the relay, closes its connections and waits for its goroutines.
func (c *Cutter) Close() error {
	c.mu.Lock()
	c.closed = true
	err := c.ln.Close()
	for l := range c.links {
		l.close()
	}
	c.mu.Unlock()
	c.wg.Wait()
	return err
}

func (c *Cutter) accept() {
	for {
		in, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.wg.Go(func() { c.relay(in) })
	}
}

func (c *Cutter) relay(in net.Conn) {
	var d net.Dialer
	out, err := d.DialContext(context.Background(), "tcp", c.target)
	if err != nil {
		in.Close()
		return
	}
	l := &link{client: in, server: out}
	if !c.add(l) {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { c.copy(l, Forward, out, in) })
	wg.Go(func() { c.copy(l, Backward, in, out) })
	wg.Wait()
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
}

func (c *Cutter) add(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		l.close()
		return false
	}
	l.dropped = c.cutDirections
	c.links[l] = struct{}{}
	return true
}

// copy relays one direction; the end of the stream is dropped if bytes are.
func (c *Cutter) copy(l *link, dir Direction, dst io.Writer, src io.Reader) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if c.isDropping(l, dir) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				l.close()
				return
			}
			c.count(dir, n)
		}
		if err != nil {
			l.close()
			return
		}
	}
}

func (c *Cutter) count(dir Direction, n int) {
	if dir == Forward {
		c.forward.Add(int64(n))
		return
	}
	c.backward.Add(int64(n))
}

// Bytes returns the bytes delivered to the target and to the client.
func (c *Cutter) Bytes() (forward, backward int64) { return c.forward.Load(), c.backward.Load() }

func (c *Cutter) isDropping(l *link, dir Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return l.dropped&dir != 0
}

func (l *link) close() {
	l.client.Close()
	l.server.Close()
}
