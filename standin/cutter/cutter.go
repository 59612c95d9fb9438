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

// bufferSize is how many bytes a relay copies at a time.
const bufferSize = 32 << 10

// Way is a direction through the relay.
type Way int

// The ways a relay can be cut; a cut way takes bytes in and gives none out, as a network that drops packets does.
const (
	// Forward is from the dialling side to the target.
	Forward Way = 1 << iota
	// Backward is from the target to the dialling side.
	Backward
	// Both is both directions.
	Both = Forward | Backward
)

// Cutter relays connections to one target.
type Cutter struct {
	target string
	ln     net.Listener
	wg     conc.WaitGroup

	mu     sync.Mutex
	cut    Way
	links  map[*link]struct{}
	closed bool
	// forward and backward count the bytes that passed.
	forward, backward atomic.Int64
}

// link is one relayed connection; silent is the way on which its bytes vanish for good.
type link struct {
	in, out net.Conn
	silent  Way
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

// Cut drops all bytes on the way, on open and on new connections, until Heal.
func (c *Cutter) Cut(w Way) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = w
	// A byte that was dropped is lost for its connection: TCP would not deliver what follows.
	for l := range c.links {
		l.silent |= w
	}
}

// Silence drops all bytes on the connections that are open now, for good; new ones work.
func (c *Cutter) Silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		l.silent = Both
	}
}

// Heal lets new connections work again.
func (c *Cutter) Heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = 0
}

// Reset closes the connections that are open now.
func (c *Cutter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		l.close()
	}
}

// Close ends the relay and waits for its goroutines.
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
	l := &link{in: in, out: out}
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
	l.silent = c.cut
	c.links[l] = struct{}{}
	return true
}

// copy relays one way; the end of a stream passes only where bytes would.
func (c *Cutter) copy(l *link, w Way, dst io.Writer, src io.Reader) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if c.isSilent(l, w) {
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
			c.count(w, n)
		}
		if err != nil {
			l.close()
			return
		}
	}
}

func (c *Cutter) count(w Way, n int) {
	if w == Forward {
		c.forward.Add(int64(n))
		return
	}
	c.backward.Add(int64(n))
}

// Bytes returns how many bytes have passed towards the target and back.
func (c *Cutter) Bytes() (forward, backward int64) { return c.forward.Load(), c.backward.Load() }

func (c *Cutter) isSilent(l *link, w Way) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return l.silent&w != 0
}

func (l *link) close() {
	l.in.Close()
	l.out.Close()
}
