package carrier

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/replicator"
)

// Each connection that was replaced because its peer didn't answer stayed open, and what waited in it reached the peer
// once it ran again.
func TestConnectionsToSilentPeerAreClosed(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	conns := make(chan net.Conn, 100)
	go func() {
		defer close(conns)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	a := New(1, "c", WithResponseTimeout(20*time.Millisecond))
	a.SetPeers(map[uint64]string{2: lis.Addr().String()})
	const replaced = 4
	var opened []net.Conn
	for len(opened) <= replaced {
		a.Send(replicator.Message{Type: replicator.TypeAppend, From: 1, To: 2, Term: 1})
		select {
		case conn := <-conns:
			opened = append(opened, conn)
		case <-time.After(5 * time.Millisecond):
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	// The last connection is in use until the carrier closes.
	for i, conn := range opened[:replaced] {
		qt.Check(t, isClosedByPeer(conn, deadline), qt.IsTrue, qt.Commentf("connection %d", i))
	}
	qt.Assert(t, a.Close(), qt.IsNil)
	qt.Assert(t, lis.Close(), qt.IsNil)
	deadline = time.Now().Add(5 * time.Second)
	for conn := range conns {
		opened = append(opened, conn)
	}
	for i, conn := range opened {
		qt.Check(t, isClosedByPeer(conn, deadline), qt.IsTrue, qt.Commentf("connection %d after Close", i))
		_ = conn.Close()
	}
}

// isClosedByPeer reports whether the peer closes the connection before the deadline.
func isClosedByPeer(conn net.Conn, deadline time.Time) bool {
	if err := conn.SetReadDeadline(deadline); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, conn)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}
