package relayer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/tracker"
)

const (
	// defaultServerIdleTimeout is the idle timeout of a connection whose server states none.
	defaultServerIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is how long before the server's own idle timeout a connection is no longer used.
	idleTimeoutMargin = time.Second
	// connShare is the share of a server's connections that all entries together may use; the rest is for other callers.
	connShare         = 0.9
	serverBufferBytes = 4 << 10
	// maxRefusedOnConn bounds the refusals after which a connection is closed.
	maxRefusedOnConn = 16
)

var errConnLimit = errors.New("this entry has all connections to the server that it may have")

// conn is a pooled connection to a backend server.
type conn struct {
	net.Conn
	br     *bufio.Reader
	key    tracker.Key
	reused bool
	// carried is set if it goes through another entry.
	carried   bool
	idleUntil time.Time
	// refused are the attempt ids of the requests that the server refused on this connection.
	refused []string
	closed  sync.Once
	pool    *pool
}

// Close closes the connection once.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		err = c.Conn.Close()
		c.pool.countClosed(c.key)
	})
	return err
}

// pool holds the connections to backend servers, separately for each incarnation of a server.
type pool struct {
	links *links

	mu   sync.Mutex
	idle map[tracker.Key][]*conn
	open map[tracker.Key]int
}

func newPool(l *links) *pool {
	return &pool{links: l, idle: make(map[tracker.Key][]*conn), open: make(map[tracker.Key]int)}
}

// get returns an idle or a new connection to the server, of which there may be at most limit. A connection on which the
// server refused the request isn't used for it again: a second copy of that refusal would look like the next answer. One that goes over
// lost links may hang, and one through another entry isn't used once the links are back.
func (p *pool) get(ctx context.Context, in tracker.Instance, limit int, attemptID string) (*conn, error) {
	blocked := p.links.isBlocked(in.Key)
	for {
		c := p.popIdle(in.Key)
		if c == nil {
			break
		}
		if c.carried == blocked && c.isUsable() && !slices.Contains(c.refused, attemptID) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, in, limit)
}

// dial returns a new connection to the server, of which there may be at most limit.
func (p *pool) dial(ctx context.Context, in tracker.Instance, limit int) (*conn, error) {
	p.mu.Lock()
	if p.open[in.Key] >= limit {
		p.mu.Unlock()
		return nil, errConnLimit
	}
	p.open[in.Key]++
	p.mu.Unlock()
	raw, carried, err := p.links.dial(ctx, in)
	if err != nil {
		p.countClosed(in.Key)
		return nil, err
	}
	return &conn{Conn: raw, br: bufio.NewReaderSize(raw, serverBufferBytes), key: in.Key, carried: carried, pool: p}, nil
}

func (p *pool) popIdle(k tracker.Key) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[k] = list[:len(list)-1]
	return c
}

// holdsAtMost reports whether at most limit connections to the server are open.
func (p *pool) holdsAtMost(k tracker.Key, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[k] <= limit
}

// countClosed counts a connection as closed.
func (p *pool) countClosed(k tracker.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[k]--; p.open[k] <= 0 {
		delete(p.open, k)
	}
}

// put keeps a connection for another request; keepAlive is the server's own idle timeout, 0 if unknown.
func (p *pool) put(c *conn, keepAlive time.Duration) {
	idle := defaultServerIdleTimeout
	if keepAlive > 0 {
		idle = keepAlive - idleTimeoutMargin
	}
	if c.br.Buffered() > 0 || idle <= 0 || len(c.refused) > maxRefusedOnConn {
		_ = c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.key] = append(p.idle[c.key], c)
}

// closeExpired closes connections whose idle timeout has passed.
func (p *pool) closeExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[k] = kept; len(kept) == 0 {
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// isUsable reports whether an idle connection is usable: within its timeout, with neither an end nor unexpected bytes to read.
func (c *conn) isUsable() bool {
	if c.br.Buffered() > 0 || time.Now().After(c.idleUntil) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// parseKeepAlive returns the timeout of a Keep-Alive header, or 0.
func parseKeepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, n, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(n)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
