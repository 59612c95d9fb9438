package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/marker"
	"redwingstage.org/stage/streamer"
)

// A server answers an upload at once with a 200 without a length, sends a part of its body, and ends the connection before it has
// read the upload. That part is no complete answer.
func TestEarlyAnswerThatBreaksOffIsUnknown(t *testing.T) {
	for _, size := range []int{4 << 10, 64 << 10, 4 << 20} {
		for _, reset := range []bool{true, false} {
			for _, stream := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d bytes/reset %t/stream %t", size, reset, stream), func(t *testing.T) {
					ln, err := net.Listen("tcp", "127.0.0.1:0")
					qt.Assert(t, err, qt.IsNil)
					defer ln.Close()
					go func() {
						conn, err := ln.Accept()
						if err != nil {
							return
						}
						defer conn.Close()
						_, _ = io.CopyN(io.Discard, conn, 1<<10)
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a\r\n\r\nid: 1\ndata: x\n\n", marker.Attempt)
						time.Sleep(20 * time.Millisecond)
						if tcp, ok := conn.(*net.TCPConn); ok && reset {
							_ = tcp.SetLinger(0)
						}
					}()
					s := New()
					defer s.Close()
					call := Call{Method: http.MethodPost, URI: "/x", Addr: ln.Addr().String(), Attempt: "a", Stream: stream, Body: []byte(strings.Repeat("u", size))}
					reply := s.Call(context.Background(), call, streamer.New(1))
					qt.Check(t, reply.Finished, qt.IsFalse, qt.Commentf("%d bytes", len(reply.Body)))
				})
			}
		}
	}
}
