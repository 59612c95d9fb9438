package cutter

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream is one direction of a connection.
type stream struct {
	segments []segment
	size     int
	silent   bool
	delay    time.Duration
	// heldUntil is the time of the next retransmission.
	heldUntil time.Time
	// end follows the last segment.
	end error
}

type segment struct {
	data []byte
	due  time.Time
}

// conn is the client's end of a connection through a Network; out is the connection to the server, whose process ends it
// by itself. All fields are guarded by the network's mutex.
type conn struct {
	n       *Network
	pair    pair
	out     net.Conn
	changed *sync.Cond

	up, down stream
	// dead connections deliver nothing any more; forgotten ones are reset by the next byte.
	dead, forgotten bool
	// isReset is set once both ends have been told.
	isReset bool
	// closed is set once the client has closed its end, aborted if it dropped what wasn't sent.
	closed, aborted, discards   bool
	readDeadline, writeDeadline time.Time
}

// wakeAfter repeats the checks of waiting calls after d; the caller holds the lock.
func (c *conn) wakeAfter(d time.Duration) {
	time.AfterFunc(max(d, 0), func() {
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		c.changed.Broadcast()
	})
}

// reset ends the connection at both ends; the caller holds the lock.
func (c *conn) reset() {
	c.isReset = true
	if t, ok := c.out.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.out.Close()
	c.changed.Broadcast()
}

// isDeliverable reports whether the stream's next segment or its end may be delivered; the caller holds the lock.
func (c *conn) isDeliverable(s *stream) bool {
	if s.silent || c.dead {
		return false
	}
	at := s.heldUntil
	if len(s.segments) > 0 && s.segments[0].due.After(at) {
		at = s.segments[0].due
	}
	if wait := time.Until(at); wait > 0 {
		c.wakeAfter(wait)
		return false
	}
	return len(s.segments) > 0 || s.end != nil
}

func (s *stream) push(data []byte) {
	seg := segment{data: append([]byte(nil), data...)}
	if s.delay > 0 {
		seg.due = time.Now().Add(s.delay)
	}
	s.segments = append(s.segments, seg)
	s.size += len(data)
}

// take moves bytes into b, or returns the stream's end.
func (s *stream) take(b []byte) (int, error) {
	if len(s.segments) == 0 {
		return 0, s.end
	}
	seg := &s.segments[0]
	m := copy(b, seg.data)
	seg.data = seg.data[m:]
	s.size -= m
	if len(seg.data) == 0 {
		s.segments = s.segments[1:]
	}
	return m, nil
}

// sendUp sends what the client wrote to the server.
func (c *conn) sendUp() {
	buf := make([]byte, bufferSize)
	for {
		c.n.mu.Lock()
		for !c.isReset && !c.isDeliverable(&c.up) && c.down.end == nil {
			c.changed.Wait()
		}
		if c.isReset || !c.isDeliverable(&c.up) {
			c.n.mu.Unlock()
			return
		}
		m, err := c.up.take(buf)
		c.changed.Broadcast()
		if err != nil && c.aborted {
			c.reset()
		}
		c.n.mu.Unlock()
		if err != nil {
			c.out.Close()
			return
		}
		if _, err := c.out.Write(buf[:m]); err != nil {
			return
		}
	}
}

// receiveDown receives from the server for the client.
func (c *conn) receiveDown() {
	buf := make([]byte, bufferSize)
	for {
		m, err := c.out.Read(buf)
		c.n.mu.Lock()
		for !c.isReset && m > 0 && (c.isUnanswered() || c.down.size >= streamBytes) {
			c.changed.Wait()
		}
		switch {
		case c.isReset:
		case m > 0 && (c.forgotten || c.closed):
			// The client's machine knows no such connection.
			c.reset()
		case m > 0:
			c.down.push(buf[:m])
		}
		if err != nil && !c.isReset {
			c.down.end = err
		}
		ended := c.isReset || err != nil
		c.changed.Broadcast()
		c.n.mu.Unlock()
		if ended {
			c.out.Close()
			return
		}
	}
}

// isUnanswered reports whether the client's machine can't answer a byte for a connection that its process has closed.
func (c *conn) isUnanswered() bool {
	if c.forgotten {
		return c.down.silent || c.up.silent
	}
	return c.closed && (c.dead || c.down.silent || c.up.silent)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.error("read", net.ErrClosed)
		case c.isReset:
			return 0, c.error("read", syscall.ECONNRESET)
		case isPast(c.readDeadline):
			return 0, c.error("read", os.ErrDeadlineExceeded)
		case c.isDeliverable(&c.down):
			m, err := c.down.take(b)
			c.changed.Broadcast()
			return m, err
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	written := 0
	for written < len(b) {
		switch {
		case c.closed:
			return written, c.error("write", net.ErrClosed)
		case c.isReset:
			return written, c.error("write", syscall.ECONNRESET)
		case isPast(c.writeDeadline):
			return written, c.error("write", os.ErrDeadlineExceeded)
		case c.forgotten && !c.up.silent && !c.down.silent:
			c.reset()
		case c.down.end != nil && !c.dead && !c.up.silent && !c.down.silent:
			return written, c.error("write", syscall.EPIPE)
		case c.up.size < streamBytes:
			m := min(len(b)-written, streamBytes-c.up.size)
			c.up.push(b[written : written+m])
			written += m
			c.changed.Broadcast()
		default:
			c.changed.Wait()
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed {
		return c.error("close", net.ErrClosed)
	}
	c.closed = true
	c.up.end = io.EOF
	if c.discards {
		// A reset is sent once and lost on a silent path.
		c.aborted, c.up.segments, c.up.size = true, nil, 0
		if c.dead || c.up.silent {
			c.up.end = nil
		}
	}
	c.changed.Broadcast()
	return nil
}

// SetLinger makes Close drop what hasn't been sent if sec is 0.
func (c *conn) SetLinger(sec int) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.discards = sec == 0
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.out.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.out.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadline(&c.readDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writeDeadline, t) }

func (c *conn) setDeadline(deadline *time.Time, t time.Time) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	*deadline = t
	if !t.IsZero() {
		c.wakeAfter(time.Until(t))
	}
	c.changed.Broadcast()
	return nil
}

func isPast(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (c *conn) error(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.out.LocalAddr(), Addr: c.out.RemoteAddr(), Err: err}
}
