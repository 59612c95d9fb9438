package governor_test

import (
	"context"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
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
			_, err := governor.Dial(ctx, addr, nil, governor.Hello{Node: "entry"}, nil, func([]string) {}, func(governor.DownMessage, time.Time) {})
			return err
		}, "the leader is silent"},
		{"probe", func(ctx context.Context, addr string) error {
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := governor.ProbeLink(ctx, addr, nil)
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

// A session whose leader no longer read waited in a send until the transport's ping ended it half a minute later, and its
// relay or entry followed no leader meanwhile.
func TestSessionEndsWhileItsMessagesWait(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	release := make(chan struct{})
	s := encoder.NewServer(connect.NewBidiStreamHandler(governor.PathSession, func(_ context.Context, s *connect.BidiStream[governor.UpMessage, governor.DownMessage]) error {
		if _, err := s.Receive(); err != nil {
			return err
		}
		err := s.Send(&governor.DownMessage{Heartbeat: 1})
		<-release
		return err
	}, encoder.ConnectOption()))
	served := make(chan error, 1)
	go func() { served <- s.Serve(lis) }()
	c.Cleanup(func() {
		close(release)
		c.Check(s.Close(), qt.IsNil)
		c.Check(<-served, qt.ErrorIs, http.ErrServerClosed)
	})
	noise := make([]byte, 1<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	up := make(chan governor.UpMessage, 64)
	for range cap(up) {
		up <- governor.UpMessage{Wants: []governor.Want{{Service: hex.EncodeToString(noise)}}}
	}
	ended := make(chan error, 1)
	go func() {
		_, err := governor.Dial(context.Background(), lis.Addr().String(), nil, governor.Hello{Node: "entry"}, up, func([]string) {}, func(governor.DownMessage, time.Time) {})
		ended <- err
	}()
	select {
	case err := <-ended:
		c.Check(err, qt.ErrorMatches, "the leader is silent")
	case <-time.After(10 * time.Second):
		c.Fatal("the session waits in a send")
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
