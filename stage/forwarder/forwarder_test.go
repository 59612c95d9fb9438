package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
	"redwingstage.org/standin/launcher"
)

type countingOwner struct{ served int }

func (o *countingOwner) Serve(context.Context, *streamer.Request, string, bool, streamer.Sink) streamer.End {
	o.served++
	return streamer.End{Outcome: retrier.Done}
}

// An invalid message is rejected by field and "not run", as is a request to a peer that is down.
func TestBadMessages(t *testing.T) {
	owner := &countingOwner{}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(owner))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config = encoder.NewServer(mux)
	srv.Start()
	defer srv.Close()
	good := streamer.Request{Kind: "plain", Method: "POST", URI: "/x", Key: "k"}
	good.Target.Service = "orders"
	tests := []struct {
		name, server string
		change       func(r *streamer.Request)
		want         string
	}{
		{"server", "", func(*streamer.Request) {}, ".*server: missing"},
		{"service", "o1", func(r *streamer.Request) { r.Target.Service = "" }, ".*service: missing"},
		{"kind", "o1", func(r *streamer.Request) { r.Kind = "odd" }, `.*kind: unknown "odd"`},
		{"method", "o1", func(r *streamer.Request) { r.Method = "" }, ".*call: bad method.*"},
		{"path", "o1", func(r *streamer.Request) { r.URI = "x" }, ".*call: bad method.*"},
		{"version", "o1", func(r *streamer.Request) { r.Target.Version = -1 }, ".*version or tokens: negative"},
		{"key", "o1", func(r *streamer.Request) { r.Key = "" }, ".*key: missing on a non-idempotent call"},
	}
	c := NewClient()
	defer c.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := good
			tt.change(&r)
			end := c.Serve(context.Background(), srv.Listener.Addr().String(), &r, tt.server, true, streamer.New(1))
			qt.Check(t, end.Message, qt.Matches, tt.want)
			qt.Check(t, end.Outcome, qt.Equals, retrier.NotRun)
		})
	}
	qt.Check(t, owner.served, qt.Equals, 0)
	down, err := launcher.FreeAddr(context.Background())
	qt.Assert(t, err, qt.IsNil)
	end := c.Serve(context.Background(), down, &good, "o1", true, streamer.New(1))
	qt.Check(t, end.Outcome, qt.Equals, retrier.NotRun)
	end = c.Serve(context.Background(), srv.Listener.Addr().String(), &good, "o1", true, streamer.New(1))
	qt.Check(t, end.Outcome, qt.Equals, retrier.Done)
	qt.Check(t, owner.served, qt.Equals, 1)
}

// The connections of a peer that was dropped since it went silent stayed open, and requests that waited there reached it
// late. Calls that share a dropped peer's connections still end by themselves.
func TestDroppedPeersConnectionsAreClosed(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	addr := lis.Addr().String()
	c := NewClient()
	c.silenceTimeout = 50 * time.Millisecond
	r := streamer.Request{Kind: "plain", Method: "POST", URI: "/x", Key: "k"}
	r.Target.Service = "orders"
	shared := c.beginCall(addr)
	end := c.Serve(context.Background(), addr, &r, "o1", true, streamer.New(1))
	qt.Check(t, end.Message, qt.Contains, errSilent.Error())
	conn, err := lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Check(t, isClosedByPeer(conn, 100*time.Millisecond), qt.IsFalse)
	c.endCall(shared)
	qt.Check(t, isClosedByPeer(conn, 5*time.Second), qt.IsTrue)

	other := c.beginCall(addr)
	qt.Check(t, other == shared, qt.IsFalse)
	c.endCall(other)
	c.Close()
}

// isClosedByPeer reports whether the peer closes the connection within d.
func isClosedByPeer(conn net.Conn, d time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, conn)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}
