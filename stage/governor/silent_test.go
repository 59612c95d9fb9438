package governor_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/governor"
)

// Each session with and each probe of a replica that didn't answer left its connection open. Once the replica ran again,
// hellos that waited there closed newer sessions of the same node.
func TestConnectionsToSilentReplicaAreClosed(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		call func(ctx context.Context, addr string) error
		want string
	}{
		{"session", func(ctx context.Context, addr string) error {
			_, err := governor.Dial(ctx, addr, governor.Hello{Node: "entry"}, nil, func([]string) {}, func(governor.DownMessage, time.Time) {})
			return err
		}, "the leader is silent"},
		{"probe", func(ctx context.Context, addr string) error {
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := governor.ProbeLink(ctx, addr)
			return err
		}, ".*deadline.*"},
		{"join", func(ctx context.Context, addr string) error { return governor.CallJoin(ctx, addr) }, ".*deadline.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = lis.Close() })
			var conns []net.Conn
			for range 4 {
				c.Check(tt.call(context.Background(), lis.Addr().String()), qt.ErrorMatches, tt.want)
				conn, err := lis.Accept()
				c.Assert(err, qt.IsNil)
				conns = append(conns, conn)
			}
			deadline := time.Now().Add(5 * time.Second)
			for i, conn := range conns {
				c.Check(isClosedByPeer(conn, deadline), qt.IsTrue, qt.Commentf("connection %d", i))
				_ = conn.Close()
			}
		})
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
