package cutter

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// streamBytes bounds the bytes that wait in one direction of a connection, as in a kernel's buffers.
	streamBytes = 256 << 10
	// firstRetransmission is the time after which a byte that isn't acknowledged is sent again; it doubles each time.
	firstRetransmission = 200 * time.Millisecond
	// firstDialPause is the time after which a dial that isn't answered is repeated; it doubles each time.
	firstDialPause = time.Second
)

// Network connects the processes of a test, which are named by their addresses. Faults apply to one direction between two
// processes or to a whole machine, and may change at any time.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	paths map[pair]path
	off   map[string]bool
	conns map[*conn]struct{}
}

// pair names a direction between two processes.
type pair struct{ from, to string }

// path is the state of a direction.
type path struct {
	silentSince time.Time
	delay       time.Duration
}

// NewNetwork returns a network without faults; the seed determines how long connections take to recover.
func NewNetwork(seed uint64) *Network {
	n := &Network{
		rng: rand.New(rand.NewPCG(seed, 0)), paths: make(map[pair]path), off: make(map[string]bool), conns: make(map[*conn]struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Dialer returns the function with which the process named from opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		for pause := firstDialPause; !n.isOpen(from, addr); pause *= 2 {
			t := time.NewTimer(pause)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			case <-n.ctx.Done():
				t.Stop()
				return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
			}
		}
		var d net.Dialer
		out, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return n.add(pair{from, addr}, out)
	}
}

func (n *Network) isOpen(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.off[from] && !n.off[to] && n.paths[pair{from, to}].silentSince.IsZero() && n.paths[pair{to, from}].silentSince.IsZero()
}

func (n *Network) add(p pair, out net.Conn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		out.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
	c := &conn{n: n, pair: p, out: out, changed: sync.NewCond(&n.mu)}
	c.up.silent, c.up.delay = !n.paths[p].silentSince.IsZero(), n.paths[p].delay
	back := n.paths[pair{p.to, p.from}]
	c.down.silent, c.down.delay = !back.silentSince.IsZero(), back.delay
	c.dead = n.off[p.from] || n.off[p.to]
	n.conns[c] = struct{}{}
	n.wg.Go(func() {
		var pumps conc.WaitGroup
		pumps.Go(c.sendUp)
		pumps.Go(c.receiveDown)
		pumps.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		for !c.closed && !c.isReset {
			c.changed.Wait()
		}
		delete(n.conns, c)
	})
	return c, nil
}

// forEach calls f for each connection's stream from one process to the other; the caller holds the lock.
func (n *Network) forEach(p pair, f func(c *conn, s *stream)) {
	for c := range n.conns {
		switch p {
		case c.pair:
			f(c, &c.up)
		case pair{c.pair.to, c.pair.from}:
			f(c, &c.down)
		default:
			continue
		}
		c.changed.Broadcast()
	}
}

// Silence stops the delivery from one process to another: open connections neither deliver nor close, and dials between the
// two wait.
func (n *Network) Silence(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.paths[pair{from, to}]
	if p.silentSince.IsZero() {
		p.silentSince = time.Now()
	}
	n.paths[pair{from, to}] = p
	n.forEach(pair{from, to}, func(_ *conn, s *stream) { s.silent = true })
}

// Restore ends a silence. What waited is delivered at the time of the next retransmission, which is later the longer the
// silence was.
func (n *Network) Restore(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.paths[pair{from, to}]
	if p.silentSince.IsZero() {
		return
	}
	pause := n.backoff(time.Since(p.silentSince))
	p.silentSince = time.Time{}
	n.paths[pair{from, to}] = p
	n.forEach(pair{from, to}, func(c *conn, s *stream) {
		s.silent = false
		if s.size > 0 {
			s.heldUntil = time.Now().Add(pause)
			c.wakeAfter(pause)
		}
	})
}

// backoff returns the time until the next retransmission after a silence, at most the silence itself.
func (n *Network) backoff(silence time.Duration) time.Duration {
	at, step := time.Duration(0), firstRetransmission
	for at < silence {
		at += step
		step *= 2
	}
	return time.Duration(float64(min(at-silence, silence)) * (0.8 + 0.2*n.rng.Float64()))
}

// Drop silences the open connections between two processes for good; new ones aren't affected.
func (n *Network) Drop(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forEach(pair{a, b}, func(c *conn, _ *stream) { c.dead = true })
	n.forEach(pair{b, a}, func(c *conn, _ *stream) { c.dead = true })
}

// Delay delivers what is written from now on d later.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.paths[pair{from, to}]
	p.delay = d
	n.paths[pair{from, to}] = p
	n.forEach(pair{from, to}, func(_ *conn, s *stream) { s.delay = d })
}

// Reset resets the open connections between two processes at both ends.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forEach(pair{a, b}, func(c *conn, _ *stream) { c.reset() })
	n.forEach(pair{b, a}, func(c *conn, _ *stream) { c.reset() })
}

// PowerOff cuts off a machine: its peers aren't told, and dials to it wait. The caller ends its process.
func (n *Network) PowerOff(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.off[host] = true
	for c := range n.conns {
		if c.pair.from == host || c.pair.to == host {
			c.dead = true
			c.changed.Broadcast()
		}
	}
}

// PowerOn starts a machine again; it resets the connections of before once a peer sends on them.
func (n *Network) PowerOn(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.off, host)
	for c := range n.conns {
		if c.dead && (c.pair.from == host || c.pair.to == host) && !n.off[c.pair.from] && !n.off[c.pair.to] {
			c.forgotten = true
			if c.pair.to == host && c.up.size > 0 || c.pair.from == host && c.down.size > 0 {
				c.reset()
			}
			c.changed.Broadcast()
		}
	}
}

// Close closes all connections and waits for them.
func (n *Network) Close() {
	n.mu.Lock()
	n.cancel()
	for c := range n.conns {
		c.reset()
	}
	n.mu.Unlock()
	n.wg.Wait()
}
