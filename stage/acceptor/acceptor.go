package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reservedFiles are the descriptors of a process for files and for connections to its own processes.
	reservedFiles = 200
	// connBytes is what a connection takes in bytes without a body and without the kernel: its buffers and goroutines.
	connBytes = 32 << 10
	// minConns is the smallest bound, defaultConns the bound of a process whose descriptors and memory are unknown.
	minConns = 16
	// maxUnreleased bounds the connections that a server hasn't closed yet, as a multiple of those that may be open.
	maxUnreleased = 2
	defaultConns  = 1 << 14
)

// Class is a class of connections that a process accepts.
type Class struct {
	// files and memory are the shares of the process's descriptors and memory.
	files, memory float64
	// buffer is the size that the kernel is asked for, in bytes, for each direction of a connection.
	buffer int
}

// Entry are callers at an entry, Control those at a control process, System the system's own processes there.
var (
	Entry   = Class{files: 0.5, memory: 0.45, buffer: 16 << 10}
	Control = Class{files: 0.5, memory: 0.25, buffer: 16 << 10}
	System  = Class{files: 0.25, memory: 0.15, buffer: 32 << 10}
)

// MaxConns returns the bound on the connections of a class in a process with the given memory in bytes and descriptors, each 0 if
// unknown.
func (c Class) MaxConns(memory int64, files int) int {
	n := defaultConns
	if files > 0 {
		n = min(n, int(c.files*float64(files-reservedFiles)))
	}
	if memory > 0 {
		n = min(n, int(c.memory*float64(memory))/(connBytes+c.kernelBytes()))
	}
	return max(n, minConns)
}

// Listener closes the connection that has been inactive longest whenever one more than the bound is accepted; while the server hasn't
// let go of as many again, new ones are closed.
type Listener struct {
	net.Listener
	limit int

	mu    sync.Mutex
	conns map[*conn]struct{}
	// unreleased are the connections that the server hasn't closed, also those that were closed for another one: its goroutine and request
	// remain until then.
	unreleased int
}

// New returns a listener that keeps at most limit connections of ln open.
func New(ln net.Listener, limit int) *Listener {
	return &Listener{Listener: ln, limit: limit, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l}
		c.touch()
		old, ok := l.add(c)
		if !ok {
			_ = raw.Close()
			continue
		}
		if old != nil {
			_ = old.Conn.Close()
		}
		return c, nil
	}
}

// add adds a connection; it returns the one to close, or nil. False means that too many aren't released yet.
func (l *Listener) add(c *conn) (oldest *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreleased >= maxUnreleased*l.limit {
		return nil, false
	}
	if len(l.conns) >= l.limit {
		for v := range l.conns {
			if oldest == nil || v.active.Load() < oldest.active.Load() {
				oldest = v
			}
		}
	}
	if oldest != nil {
		delete(l.conns, oldest)
	}
	l.conns[c] = struct{}{}
	l.unreleased++
	return oldest, true
}

// conn is a connection with the time of its last activity, in nanoseconds.
type conn struct {
	net.Conn
	listener *Listener
	active   atomic.Int64
	// released is set once the server has closed the connection; the listener's lock guards it.
	released bool
}

// NetConn returns the connection without its bookkeeping.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) touch() { c.active.Store(time.Now().UnixNano()) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	if !c.released {
		c.released = true
		c.listener.unreleased--
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
