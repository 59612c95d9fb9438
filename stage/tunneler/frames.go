package tunneler

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// What a server sends goes to the other entry in frames, each with its length in bytes before it, if that entry asks for them with this
// header. A frame of 0 bytes is the server's end in order: the end of the connection may be that of a process.
const (
	framing          = "Redwing-Framing"
	framed           = "length"
	frameLengthBytes = 2
)

// copyFrames copies from src to dst in frames, and marks the end of src.
func copyFrames(dst io.Writer, src io.Reader) error {
	buf := make([]byte, frameLengthBytes+copyBytes)
	for {
		n, err := src.Read(buf[frameLengthBytes:])
		if n > 0 {
			if err := writeFrame(dst, buf, n); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return writeFrame(dst, buf, 0)
		case err != nil:
			return err
		}
	}
}

// writeFrame writes the frame of n bytes that buf holds after the room for its length.
func writeFrame(w io.Writer, buf []byte, n int) error {
	binary.BigEndian.PutUint16(buf, uint16(n))
	_, err := w.Write(buf[:frameLengthBytes+n])
	return err
}

// conn is a connection to a server through another entry.
type conn struct {
	net.Conn
	isFramed bool
	// length is what was read of the next frame's length, lengthRead how much of it; left is what is left of the frame.
	length           [frameLengthBytes]byte
	lengthRead, left int
	hasEnded         bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.isFramed || len(p) == 0 {
		n, err := c.Conn.Read(p)
		return n, unexpected(err)
	}
	for c.left == 0 {
		if c.hasEnded {
			return 0, io.EOF
		}
		n, err := c.Conn.Read(c.length[c.lengthRead:])
		if c.lengthRead += n; c.lengthRead == frameLengthBytes {
			c.lengthRead, c.left = 0, int(binary.BigEndian.Uint16(c.length[:]))
			c.hasEnded = c.left == 0
		} else if err != nil {
			return 0, unexpected(err)
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// SyscallConn implements syscall.Conn; it fails if a part of a frame was read, or the last one.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.lengthRead > 0 || c.left > 0 || c.hasEnded {
		return nil, errors.New("the connection is within a frame, or has ended")
	}
	return sc.SyscallConn()
}

// unexpected returns the error of a read for which the end of the connection isn't that of the server.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
