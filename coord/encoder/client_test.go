package encoder

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// Calls to a peer that accepts, doesn't read and doesn't answer end with the client, in whatever they wait, and so does a
// dial.
func TestClientCloseEndsCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	url := "http://" + lis.Addr().String() + "/x"
	large := make([]byte, 16<<20)
	tests := []struct {
		name string
		opts []ClientOption
		call func(c *Client) error
	}{
		{"receive", nil, func(c *Client) error {
			s := connect.NewClient[sample, sample](c, url, ConnectOption()).CallBidiStream(context.Background())
			if err := s.Send(&sample{}); err != nil {
				return err
			}
			_, err := s.Receive()
			return err
		}},
		{"send", nil, func(c *Client) error {
			s := connect.NewClient[sample, sample](c, url, ConnectOption()).CallBidiStream(context.Background())
			err := s.Send(&sample{Name: string(large)})
			_, _ = s.Receive()
			return err
		}},
		{"unary", nil, func(c *Client) error {
			_, err := connect.NewClient[sample, sample](c, url, ConnectOption()).CallUnary(context.Background(), connect.NewRequest(&sample{}))
			return err
		}},
		{"dial", []ClientOption{WithDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})}, func(c *Client) error {
			_, err := connect.NewClient[sample, sample](c, url, ConnectOption()).CallUnary(context.Background(), connect.NewRequest(&sample{}))
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewClient(tt.opts...)
			ended := make(chan error, 1)
			go func() { ended <- tt.call(c) }()
			var conn net.Conn
			if tt.opts == nil {
				var err error
				conn, err = lis.Accept()
				qt.Assert(t, err, qt.IsNil)
				defer conn.Close()
			}
			select {
			case err := <-ended:
				t.Fatalf("ended before Close: %v", err)
			case <-time.After(20 * time.Millisecond):
			}
			c.Close()
			qt.Check(t, <-ended, qt.IsNotNil)
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
			qt.Assert(t, err, qt.IsNil)
			res, err := c.Do(r)
			if err == nil {
				_ = res.Body.Close()
			}
			qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
			c.Close()
		})
	}
}
