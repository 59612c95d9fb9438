package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/streamer"
)

const (
	// shortTimeout is a limit under test; testTimeout fails a test whose limit isn't enforced.
	shortTimeout = 50 * time.Millisecond
	testTimeout  = 60 * time.Second
)

// streamExecutor is an Executor that answers with a stream of events.
type streamExecutor struct {
	fakeControl

	pause  time.Duration
	events int // 0 means until the caller disconnects
	ended  chan error
}

// Execute implements Executor.
func (d *streamExecutor) Execute(_ context.Context, _ *streamer.Request, sink streamer.Sink) streamer.End {
	sink.Head(streamer.Head{Status: http.StatusOK, Type: "text/event-stream"})
	event := "data: " + strings.Repeat("x", 4<<10) + "\n\n"
	for n := 0; d.events == 0 || n < d.events; n++ {
		time.Sleep(d.pause)
		if err := sink.Data([]byte(event)); err != nil {
			d.ended <- err
			return streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonCancelled}
		}
	}
	return streamer.End{Outcome: retrier.Done}
}

func startReceiver(c *qt.C, cfg Config, executor Executor) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := New(ln, cfg, Deps{
		Control: fakeControl{revision: 3, lease: time.Hour}, Executor: executor,
		Meter: meter.New(prometheus.NewRegistry()), Log: logger.New(io.Discard, "error").Component("entry"),
	})
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		c.Check(r.Close(ctx), qt.IsNil)
	})
	return ln.Addr().String()
}

func dial(c *qt.C, addr string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return conn, bufio.NewReader(conn)
}

// healthCheckOK reports whether a complete request on the connection was answered.
func healthCheckOK(conn net.Conn, br *bufio.Reader) bool {
	_, _ = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func readStatusAndOutcome(c *qt.C, br *bufio.Reader) (int, string) {
	res, err := http.ReadResponse(br, nil)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	c.Assert(err, qt.IsNil)
	return res.StatusCode, res.Header.Get(marker.Outcome)
}

const (
	generationFormat = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
	streamedBody     = `{"model":"base","prompt":"x","stream":true}`
)

// The entry closes the connections of callers that stop or stall within a request.
func TestStalledConnectionsAreClosed(t *testing.T) {
	// Only the limit under test is short; without it the connection would outlast the test.
	read, idle := Config{ReadTimeout: shortTimeout, IdleTimeout: 2 * testTimeout}, Config{ReadTimeout: 2 * testTimeout, IdleTimeout: shortTimeout}
	tests := []struct {
		name         string
		cfg          Config
		requestFirst bool   // send a complete request first
		sent         string // sent afterwards
		byteByByte   bool   // then one byte at a time, without end
	}{
		{name: "no byte", cfg: read},
		{name: "half a header", cfg: read, sent: "POST /v1/completions HTTP/1.1\r\nHo"},
		{name: "half a body", cfg: read, sent: fmt.Sprintf(generationFormat, 100, `{"model":`)},
		{name: "half a header on a kept connection", cfg: read, requestFirst: true, sent: "GET /healthz HTTP/1.1\r\nHo"},
		{name: "a header byte by byte", cfg: read, sent: "GET /healthz HTTP/1.1\r\nX: ", byteByByte: true},
		{name: "a body byte by byte", cfg: read, sent: fmt.Sprintf(generationFormat, 1<<20, ""), byteByByte: true},
		{name: "idle after a request", cfg: idle, requestFirst: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			addr := startReceiver(c, tt.cfg, fakeControl{})
			conn, br := dial(c, addr)
			for tt.requestFirst && !healthCheckOK(conn, br) {
				// On a slow machine a complete request may time out too.
				conn, br = dial(c, addr)
			}
			_, _ = io.WriteString(conn, tt.sent)
			ended := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, br)
				ended <- err
			}()
			for tick := time.NewTicker(shortTimeout / 10); ; {
				select {
				case err := <-ended:
					tick.Stop()
					c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection stayed open"))
					return
				case <-tick.C:
					if tt.byteByByte {
						_, _ = conn.Write([]byte("y"))
					}
				}
			}
		})
	}
}

// Oversized headers are refused with an outcome; the connection is closed, since the rest can't be parsed.
func TestOversizedHeaders(t *testing.T) {
	const otherBytes = 64 // bytes of the request apart from the long field
	tests := []struct {
		name, path, header string
		status             int
	}{
		{"one field", "/healthz", "X: " + strings.Repeat("x", maxHeaderBytes) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"many fields", "/healthz", strings.Repeat("X: y\r\n", maxHeaderBytes/6+1), http.StatusRequestHeaderFieldsTooLarge},
		{"path", "/" + strings.Repeat("x", maxHeaderBytes), "", http.StatusRequestHeaderFieldsTooLarge},
		{"just within", "/healthz", "X: " + strings.Repeat("x", maxHeaderBytes-otherBytes) + "\r\n", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			conn, br := dial(c, startReceiver(c, Config{}, fakeControl{}))
			_, err := io.WriteString(conn, "GET "+tt.path+" HTTP/1.1\r\nHost: x\r\n"+tt.header+"\r\n")
			c.Assert(err, qt.IsNil)
			status, outcome := readStatusAndOutcome(c, br)
			c.Assert(status, qt.Equals, tt.status)
			if tt.status == http.StatusOK {
				return
			}
			c.Assert(outcome, qt.Equals, "not-run")
			_, err = br.ReadByte()
			c.Assert(err, qt.IsNotNil)
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
		})
	}
}

// A request whose caller reads nothing ends by the write timeout or the limit of unread bytes.
func TestCallerStopsReading(t *testing.T) {
	tests := []struct {
		name string
		cfg  Config
		want error
	}{
		{"write timeout", Config{WriteTimeout: shortTimeout, MaxUnread: 1 << 30}, streamer.ErrAbandoned},
		{"unread bytes", Config{WriteTimeout: testTimeout, MaxUnread: 64 << 10}, streamer.ErrSlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			executor := &streamExecutor{pause: 10 * time.Microsecond, ended: make(chan error, 1)}
			conn, _ := dial(c, startReceiver(c, tt.cfg, executor))
			_, err := fmt.Fprintf(conn, generationFormat, len(streamedBody), streamedBody)
			c.Assert(err, qt.IsNil)
			select {
			case err := <-executor.ended:
				c.Assert(err, qt.ErrorIs, tt.want)
			case <-time.After(testTimeout):
				c.Fatal("the request did not end")
			}
			conn.Close()
		})
	}
}

// A stream may outlast every timeout, since none applies to the whole stream.
func TestLongStreamOutlastsLimits(t *testing.T) {
	c := qt.New(t)
	executor := &streamExecutor{pause: 2 * shortTimeout, events: 5, ended: make(chan error, 1)}
	addr := startReceiver(c, Config{ReadTimeout: shortTimeout, IdleTimeout: shortTimeout, WriteTimeout: shortTimeout}, executor)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		// On a slow machine a read or write may time out; a limit on the whole stream would always fail.
		if n, outcome := readStream(c, addr); n == executor.events && outcome == "done" {
			return
		}
	}
	c.Fatal("no stream was complete")
}

// readStream returns a stream's number of events and outcome.
func readStream(c *qt.C, addr string) (events int, outcome string) {
	conn, br := dial(c, addr)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, generationFormat, len(streamedBody), streamedBody)
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return strings.Count(string(b), "data: "), res.Trailer.Get(marker.Outcome)
}
