package encoder

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// keptConns are the connections that a dialer has opened.
type keptConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (k *keptConns) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, c)
	return c, err
}

// end ends all connections in order, as the kernel does for a process that is killed.
func (k *keptConns) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		_ = c.Close()
	}
}

// A stream whose peer's process was killed must not look as if the peer had ended it.
func TestEndOfConnectionIsNoEndOfStream(t *testing.T) {
	received := make(chan error, 1)
	handler := connect.NewBidiStreamHandler("/x", func(_ context.Context, s *connect.BidiStream[sample, sample]) error {
		for {
			m, err := s.Receive()
			if err == nil {
				err = s.Send(m)
			}
			if err != nil {
				received <- err
				return err
			}
		}
	}, ConnectOption())
	mux := http.NewServeMux()
	mux.Handle("/x", handler)
	for _, side := range []string{"client", "client in order", "server"} {
		t.Run(side, func(t *testing.T) {
			c := qt.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			accepted := &keptConns{}
			srv := NewServer(mux)
			srv.ConnState = func(conn net.Conn, state http.ConnState) {
				if state == http.StateNew {
					accepted.mu.Lock()
					accepted.conns = append(accepted.conns, conn)
					accepted.mu.Unlock()
				}
			}
			go func() { _ = srv.Serve(lis) }()
			defer func() { _ = srv.Close() }()
			dialed := &keptConns{}
			client := NewClient(WithDialer(dialed.dial))
			defer client.Close()
			s := connect.NewClient[sample, sample](client, "http://"+lis.Addr().String()+"/x", ConnectOption()).CallBidiStream(c.Context())
			c.Assert(s.Send(&sample{Name: "a"}), qt.IsNil)
			_, err = s.Receive()
			c.Assert(err, qt.IsNil)
			switch side {
			case "client":
				dialed.end()
				err := <-received
				c.Check(errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("%v", err))
			case "client in order":
				c.Assert(s.CloseRequest(), qt.IsNil)
				c.Check(errors.Is(<-received, io.EOF), qt.IsTrue)
			case "server":
				accepted.end()
				_, err := s.Receive()
				c.Check(err, qt.IsNotNil)
				c.Check(errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("%v", err))
				c.Check(<-received, qt.IsNotNil)
			}
		})
	}
}
