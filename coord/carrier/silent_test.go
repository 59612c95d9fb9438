package carrier

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
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
	conns := acceptAll(lis)
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

// lossyConn drops what is written once it is dead, and then receives nothing.
type lossyConn struct {
	net.Conn
	dead *atomic.Bool
}

func (c lossyConn) Write(b []byte) (int, error) {
	if c.dead.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// A connection that delivered nothing any more was kept as long as the peer's own messages arrived, on a connection of
// theirs. Replicas that were just a quorum elected no leader for up to 26 s, since a voter's answers were lost.
func TestDeadConnectionIsReplacedWhilePeerSends(t *testing.T) {
	for _, ty := range []replicator.Type{replicator.TypePreVoteResponse, replicator.TypePreVote} {
		t.Run(fmt.Sprint(ty), func(t *testing.T) {
			var dead atomic.Pointer[atomic.Bool]
			dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, network, addr)
				isDead := new(atomic.Bool)
				dead.Store(isDead)
				return lossyConn{conn, isDead}, err
			}
			a := New(1, "c", WithResponseTimeout(200*time.Millisecond), WithDialer(dial))
			b := New(2, "c", WithResponseTimeout(200*time.Millisecond))
			var received atomic.Int64
			a.SetReceiver(func(replicator.Message) error { return nil })
			b.SetReceiver(func(replicator.Message) error { received.Add(1); return nil })
			addrA, addrB := serve(t, a.Handler()), serve(t, b.Handler())
			a.SetPeers(map[uint64]string{1: addrA, 2: addrB})
			b.SetPeers(map[uint64]string{1: addrA, 2: addrB})
			// exchange has both send until b has received another message, for at most d.
			exchange := func(d time.Duration) bool {
				before := received.Load()
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					b.Send(replicator.Message{Type: replicator.TypePreVote, From: 2, To: 1, Term: 3})
					a.Send(replicator.Message{Type: ty, From: 1, To: 2, Term: 3})
					if received.Load() > before {
						return true
					}
				}
				return false
			}
			qt.Assert(t, exchange(5*time.Second), qt.IsTrue)
			dead.Load().Store(true)
			time.Sleep(20 * time.Millisecond)
			qt.Check(t, exchange(5*time.Second), qt.IsTrue)
			qt.Assert(t, a.Close(), qt.IsNil)
			qt.Assert(t, b.Close(), qt.IsNil)
		})
	}
}

// A replica that had been cut off while another joined and became the leader didn't know that one, and its answers were
// dropped. The leader never learned which entries it lacked, and it stayed behind for good, with a leader that it couldn't name.
func TestUnknownPeerIsAnswered(t *testing.T) {
	known, leader := New(2, "c"), New(9, "c")
	addrKnown, addrLeader := serve(t, known.Handler()), serve(t, leader.Handler())
	answers := make(chan replicator.Message, 10)
	leader.SetReceiver(func(m replicator.Message) error { answers <- m; return nil })
	known.SetReceiver(func(m replicator.Message) error {
		known.Send(replicator.Message{Type: replicator.TypeAppendResponse, From: 2, To: m.From, Term: m.Term, Reject: true})
		return nil
	})
	known.SetPeers(map[uint64]string{1: "127.0.0.1:1", 2: addrKnown})
	leader.SetPeers(map[uint64]string{1: "127.0.0.1:1", 2: addrKnown, 9: addrLeader})
	leader.Send(replicator.Message{Type: replicator.TypeAppend, From: 9, To: 2, Term: 3})
	select {
	case m := <-answers:
		qt.Check(t, m.From, qt.Equals, uint64(2))
	case <-time.After(5 * time.Second):
		t.Error("the answer was dropped")
	}
	qt.Assert(t, known.Close(), qt.IsNil)
	qt.Assert(t, leader.Close(), qt.IsNil)
}

// slowConn takes its bytes at a bounded rate.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	const block, pause = 32 << 10, 20 * time.Millisecond
	written := 0
	for len(b) > 0 {
		time.Sleep(pause)
		n, err := c.Conn.Write(b[:min(block, len(b))])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}

// A message that took longer than the response timeout on a slow link never arrived: the connection was given up as soon as the
// next message was due.
func TestLargeMessageOverSlowLinkArrives(t *testing.T) {
	// The message takes 1.5 s at least, and less than the 5 s that a send may take.
	const size = 3 << 19
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		return slowConn{conn}, err
	}
	a := New(1, "c", WithResponseTimeout(time.Second), WithDialer(dial))
	b := New(2, "c", WithResponseTimeout(time.Second))
	arrived := make(chan bool, 1024)
	a.SetReceiver(func(replicator.Message) error { return nil })
	b.SetReceiver(func(m replicator.Message) error {
		if len(m.Entries) > 0 {
			arrived <- true
		}
		b.Send(replicator.Message{Type: replicator.TypeAppendResponse, From: 2, To: 1, Term: 3})
		return nil
	})
	addrA, addrB := serve(t, a.Handler()), serve(t, b.Handler())
	a.SetPeers(map[uint64]string{1: addrA, 2: addrB})
	b.SetPeers(map[uint64]string{1: addrA, 2: addrB})
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(data)
	heartbeat := time.NewTicker(100 * time.Millisecond)
	defer heartbeat.Stop()
	a.Send(replicator.Message{Type: replicator.TypeAppend, From: 1, To: 2, Term: 3, LogTerm: 3, Entries: []replicator.Entry{{Index: 1, Term: 3, Data: data}}})
	for end := time.After(20 * time.Second); ; {
		select {
		case <-heartbeat.C:
			a.Send(replicator.Message{Type: replicator.TypeAppend, From: 1, To: 2, Term: 3})
			continue
		case <-arrived:
		case <-end:
			t.Error("the message never arrived")
		}
		break
	}
	qt.Assert(t, a.Close(), qt.IsNil)
	qt.Assert(t, b.Close(), qt.IsNil)
}
