package sender

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

// testServer counts connections and requests, which it passes to respond.
type testServer struct {
	ln              net.Listener
	conns, requests atomic.Int64
}

func startServer(t *testing.T, respond func(n int64, c net.Conn, req *fasthttp.Request) bool) *testServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &testServer{ln: ln}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					req := &fasthttp.Request{}
					if req.Read(br) != nil || !respond(s.requests.Add(1), c, req) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *testServer) addr() string { return s.ln.Addr().String() }

func writeAnswer(c net.Conn, req *fasthttp.Request, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRedwing-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Peek(marker.Attempt), len(body), body)
	return err == nil
}

// With any method, a call on a new or reused connection that breaks is written at most once.
func TestCallIsWrittenOnce(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "DELETE", "POST"} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/warm=%v", method, reused), func(t *testing.T) {
				s := startServer(t, func(_ int64, c net.Conn, req *fasthttp.Request) bool {
					return string(req.URI().Path()) == "/warm" && writeAnswer(c, req, "ok")
				})
				snd := New()
				defer snd.Close()
				want := int64(1)
				if reused {
					r := snd.Call(context.Background(), Call{Attempt: "w", Addr: s.addr(), Method: "GET", URI: "/warm"}, nil)
					qt.Assert(t, r.End.Outcome, qt.Equals, retrier.Done)
					want++
				}
				r := snd.Call(context.Background(), Call{Attempt: "a", Addr: s.addr(), Method: method, URI: "/x"}, nil)
				qt.Check(t, r.End.Outcome, qt.Equals, retrier.Unknown)
				qt.Check(t, s.requests.Load(), qt.Equals, want)
			})
		}
	}
}

// fasthttp's client retries a call, so the test above would fail if it were used.
func TestFasthttpClientRetries(t *testing.T) {
	s := startServer(t, func(int64, net.Conn, *fasthttp.Request) bool { return false })
	_, _, err := (&fasthttp.Client{}).Get(nil, "http://"+s.addr()+"/x")
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, s.requests.Load() > 1, qt.IsTrue, qt.Commentf("%d requests", s.requests.Load()))
}

// A connection with the rest of an abandoned answer is not reused.
func TestAbandonedConnectionIsClosed(t *testing.T) {
	s := startServer(t, func(n int64, c net.Conn, req *fasthttp.Request) bool {
		if n > 1 {
			return writeAnswer(c, req, "second")
		}
		event := fmt.Sprintf("id: %s\ndata: {}\n\n", req.Header.Peek(marker.Attempt))
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRedwing-Attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
		return err == nil
	})
	snd := New()
	defer snd.Close()
	answer := streamer.New(1)
	r := snd.Call(context.Background(), Call{Attempt: "a1", Addr: s.addr(), Method: "POST", URI: "/x", Stream: true}, answer)
	qt.Check(t, r.End.Reason, qt.Equals, streamer.ReasonSlow)
	r = snd.Call(context.Background(), Call{Attempt: "a2", Addr: s.addr(), Method: "GET", URI: "/x"}, nil)
	qt.Check(t, string(r.Body), qt.Equals, "second")
	qt.Check(t, s.conns.Load(), qt.Equals, int64(2))
}

// A duplicate answer to a call is not accepted as the answer to the next call on the connection.
func TestDuplicateAnswerIsRejected(t *testing.T) {
	firstRead := make(chan struct{})
	s := startServer(t, func(n int64, c net.Conn, req *fasthttp.Request) bool {
		if n == 1 {
			writeAnswer(c, req, "first")
			<-firstRead // The duplicate arrives while the connection is idle, so only the next call can detect it.
		}
		return writeAnswer(c, req, "first")
	})
	snd := New()
	defer snd.Close()
	call := Call{Addr: s.addr(), Method: "GET", URI: "/x"}
	for i, crossed := range []bool{false, true, false} {
		call.Attempt = fmt.Sprint("a", i)
		r := snd.Call(context.Background(), call, nil)
		if i == 0 {
			close(firstRead)
		}
		if crossed {
			qt.Check(t, r.End.Outcome, qt.Equals, retrier.Unknown)
			qt.Check(t, r.End.Reason, qt.Equals, streamer.ReasonMismatched)
			continue
		}
		qt.Check(t, r.End.Outcome, qt.Equals, retrier.Done)
	}
	qt.Check(t, s.conns.Load(), qt.Equals, int64(2))
}

func TestEventErrors(t *testing.T) {
	tests := []struct{ name, give, want string }{
		{"no end", "id: a\ndata: {}\n\n", "answer ended before its end marker"},
		{"half an event", "id: a\ndata: {}", "answer ended before its end marker"},
		{"no name", "data: {}\n\n", "answer belongs to another attempt.*"},
		{"other name", "id: b\ndata: {}\n\n", "answer belongs to another attempt.*"},
		{"name of the last event only", "id: a\ndata: {}\n\ndata: [DONE]\n\n", "answer belongs to another attempt.*"},
		{"long line", "id: a\ndata: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", "answer is larger than the limit"},
		{"long event", "id: a\n" + strings.Repeat("data: "+strings.Repeat("x", maxEventBytes/4)+"\n", 5) + "\n", "answer is larger than the limit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := eventReader{r: bufio.NewReader(strings.NewReader(tt.give)), attempt: "a"}
			var err error
			for err == nil {
				_, _, err = e.next()
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// A line that crosses the buffer's end is read whole, whatever its remainder begins with.
func TestLinesAtBufferEnd(t *testing.T) {
	const name = "id: a\n"
	for _, end := range []string{"\n", "\r\n"} {
		for _, rest := range []string{"", "x", "id: b", "data: [DONE]", ": x", strings.Repeat("y", eventBufferSize)} {
			// The rest begins up to 3 bytes before or after the buffer's end, with and without the ID in the buffer.
			for size := eventBufferSize - len(name) - 3; size <= eventBufferSize+3; size++ {
				line := "data: " + strings.Repeat("x", size-len("data: ")) + rest
				give := name + line + end + end + name + "data: [DONE]" + end + end
				e := eventReader{r: bufio.NewReaderSize(strings.NewReader(give), eventBufferSize), attempt: "a"}
				event, done, err := e.next()
				note := qt.Commentf("%d bytes, then %.12q, ended by %q", size, rest, end)
				qt.Assert(t, err, qt.IsNil, note)
				qt.Check(t, done, qt.IsFalse, note)
				qt.Check(t, string(event) == line+"\n\n", qt.IsTrue, note)
				_, done, err = e.next()
				qt.Check(t, err, qt.IsNil, note)
				qt.Check(t, done, qt.IsTrue, note)
				for _, cut := range []int{size, len(name) + len(line), len(name) + len(line) + len(end)} {
					e := eventReader{r: bufio.NewReaderSize(strings.NewReader(give[:cut]), eventBufferSize), attempt: "a"}
					_, _, err := e.next()
					qt.Check(t, err, qt.ErrorIs, errTruncated, note)
				}
			}
		}
	}
}

// leaseContext is a context that isn't cancelled at its deadline, as in a process that was suspended.
type leaseContext struct {
	context.Context
	end time.Time
}

func (l *leaseContext) Deadline() (time.Time, bool) { return l.end, true }

// A process that resumes after its lease must not send an order: the server may ignore fence numbers.
func TestNoOrderAfterLease(t *testing.T) {
	s := startServer(t, func(_ int64, c net.Conn, req *fasthttp.Request) bool { return writeAnswer(c, req, "{}") })
	ctx := &leaseContext{Context: context.Background(), end: time.Now().Add(time.Hour)}
	snd := New()
	order := AdapterOrder{Attempt: "e.1.1", Addr: s.addr(), Name: "a@1", Fence: 3, Timeout: time.Minute}
	qt.Assert(t, snd.Unload(ctx, order), qt.IsNil)
	snd.beforeControlWrite = func() { ctx.end = time.Now().Add(-time.Millisecond) }
	qt.Check(t, snd.Unload(ctx, order), qt.ErrorIs, context.DeadlineExceeded)
	qt.Check(t, s.requests.Load(), qt.Equals, int64(1))
}

// An answer whose status or method allows no body is complete; reading its nil body crashed the process.
func TestAnswersWithoutBody(t *testing.T) {
	tests := []struct {
		method, head string
		status       int
	}{
		{"DELETE", "HTTP/1.1 204 No Content\r\n", 204},
		{"GET", "HTTP/1.1 304 Not Modified\r\n", 304},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n", 200},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.method, tt.status), func(t *testing.T) {
			s := startServer(t, func(_ int64, c net.Conn, req *fasthttp.Request) bool {
				_, err := fmt.Fprintf(c, "%sRedwing-Attempt: %s\r\n\r\n", tt.head, req.Header.Peek(marker.Attempt))
				return err == nil
			})
			snd := New()
			defer snd.Close()
			for _, attempt := range []string{"a1", "a2"} {
				r := snd.Call(context.Background(), Call{Attempt: attempt, Addr: s.addr(), Method: tt.method, URI: "/x"}, nil)
				qt.Check(t, r.End, qt.Equals, streamer.End{Outcome: retrier.Done})
				qt.Check(t, r.Status, qt.Equals, tt.status)
				qt.Check(t, r.Finished, qt.IsTrue)
				qt.Check(t, r.Body, qt.HasLen, 0)
				qt.Check(t, r.Body, qt.IsNotNil)
			}
			qt.Check(t, s.conns.Load(), qt.Equals, int64(1))
		})
	}
}

// An answer whose status isn't 100 to 599 is none: the attempt's outcome is unknown. The HTTP library takes 000 for 200.
func TestAnswerWithoutStatusIsUnknown(t *testing.T) {
	for _, line := range []string{"000 OK", "099 OK", "600 OK", "999 OK", " 200 OK"} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			t.Run(line+interim, func(t *testing.T) {
				s := startServer(t, func(_ int64, c net.Conn, req *fasthttp.Request) bool {
					_, err := fmt.Fprintf(c, "%sHTTP/1.1 %s\r\nRedwing-Attempt: a\r\nContent-Length: 2\r\n\r\nok", interim, line)
					return err == nil
				})
				snd := New()
				defer snd.Close()
				r := snd.Call(context.Background(), Call{Attempt: "a", Addr: s.addr(), Method: "POST", URI: "/x"}, nil)
				qt.Check(t, r.End.Outcome, qt.Equals, retrier.Unknown, qt.Commentf("status %d, body %q", r.Status, r.Body))
				_, err := snd.sendControl(context.Background(), controlCall{addr: s.addr(), method: "GET", path: "/x", attempt: "a"})
				qt.Check(t, err, qt.IsNotNil)
			})
		}
	}
}
