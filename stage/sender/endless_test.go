package sender

import (
	"bufio"
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

// maxTaken is the largest number of bytes that a server may get rid of: a whole answer, and what the sockets hold.
const maxTaken = defaultMaxAnswerBytes + 16<<20

// startScripted runs a server that answers each request with head, followed by more until the caller closes; taken gets the
// number of bytes that it could write.
func startScripted(c *qt.C, head func(r *http.Request) string, more string) (addr string, taken <-chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	written := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		n, err := io.WriteString(conn, head(r))
		block := strings.Repeat(more, max(1<<14/max(len(more), 1), 1))
		for more != "" && err == nil && n <= 4*maxTaken {
			var k int
			k, err = io.WriteString(conn, block)
			n += k
		}
		written <- n
	}()
	return ln.Addr().String(), written
}

func answerHead(r *http.Request, lines string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n", marker.Attempt, r.Header.Get(marker.Attempt), lines)
}

// An answer without end was kept whole in memory if its head named a large length.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for _, tt := range []struct {
		name string
		// lines follow the head's first ones; more follows the end of the head, unless the head goes on.
		lines, more string
		headGoesOn  bool
	}{
		{"a length", "Content-Length: 1099511627776\r\n", "x", false},
		{"no length", "", "x", false},
		{"chunks", "Transfer-Encoding: chunked\r\n", "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n", false},
		{"chunk size", "Transfer-Encoding: chunked\r\n", "1", false},
		{"chunk extension", "Transfer-Encoding: chunked\r\n\r\n4;", "y", true},
		{"trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
		{"head", "X: y\r\n", "X: y\r\n", true},
		{"header line", "X: ", "y", true},
		{"events", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "4000\r\ndata: " + strings.Repeat("x", 0x4000-6) + "\r\n", false},
	} {
		for _, isStream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", tt.name, isStream), func(t *testing.T) {
				c := qt.New(t)
				addr, taken := startScripted(c, func(r *http.Request) string {
					if tt.headGoesOn {
						return strings.TrimSuffix(answerHead(r, tt.lines), "\r\n")
					}
					return answerHead(r, tt.lines)
				}, tt.more)
				s := New(WithReadTimeouts(time.Second, time.Second))
				c.Cleanup(s.Close)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				reply := s.Call(ctx, Call{Method: http.MethodPost, URI: "/x", Addr: addr, Attempt: "a", Stream: isStream}, streamer.New(1))
				c.Check(reply.Finished, qt.IsFalse)
				select {
				case n := <-taken:
					c.Check(n <= maxTaken, qt.IsTrue, qt.Commentf("%d MB were taken", n>>20))
				case <-time.After(10 * time.Second):
					c.Fatal("the connection stays open")
				}
			})
		}
	}
}

// A server that ends in the middle of its answer's head or body must not look as if it had answered.
func TestTruncatedAnswersAreUnknown(t *testing.T) {
	for name, lines := range map[string]string{
		"a length": "Content-Length: 4\r\n\r\nbody", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		whole := strings.TrimSuffix(answerHead(&http.Request{Header: http.Header{http.CanonicalHeaderKey(marker.Attempt): {"a"}}}, lines), "\r\n")
		for cut := range len(whole) {
			c := qt.New(t)
			addr, _ := startScripted(c, func(*http.Request) string { return whole[:cut] }, "")
			s := New(WithReadTimeouts(time.Second, time.Second))
			reply := s.Call(context.Background(), Call{Method: http.MethodPost, URI: "/x", Addr: addr, Attempt: "a"}, streamer.New(1))
			s.Close()
			c.Check(reply.Finished, qt.IsFalse, qt.Commentf("%s, cut after %d of %d bytes", name, cut, len(whole)))
		}
	}
}
