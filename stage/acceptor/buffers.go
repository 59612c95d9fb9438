package acceptor

import (
	"context"
	"net"
	"syscall"
)

const (
	// serverBufferBytes is the receive buffer of a connection to a server.
	serverBufferBytes = 16 << 10
	// maxSegmentBytes is above the segments of networks and below those of loopback: a segment that is larger than the send buffer
	// would wait for the peer's window.
	maxSegmentBytes = 8 << 10
)

// Listen listens on addr, as ip:port; what waits in the kernel for each accepted connection is bounded if memory, that of the process in
// bytes, isn't 0.
func (c Class) Listen(ctx context.Context, addr string, memory int64) (net.Listener, error) {
	var lc net.ListenConfig
	if memory > 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				setReceiveBuffer(fd, c.buffer)
				// A kernel that refuses an option keeps its own size.
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, c.buffer)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegmentBytes)
			})
		}
	}
	return lc.Listen(ctx, "tcp", addr)
}

// kernelBytes returns the most that waits in the kernel for a connection, in both directions: the kernel doubles the size that it is
// asked for, and takes one more write into the send buffer.
func (c Class) kernelBytes() int { return 5*c.buffer + maxSegmentBytes }

// BoundReceiveBuffer is a net.Dialer's Control that bounds what waits unread in a connection.
func BoundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setReceiveBuffer(fd, serverBufferBytes) })
}

// setReceiveBuffer must be called before the connection is established, since its window depends on it.
func setReceiveBuffer(fd uintptr, bytes int) {
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
}
