package parser

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// scriptedConn reads what a server sends.
type scriptedConn struct {
	net.Conn
	r io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// Whatever the sizes of reads, sound bytes come through unchanged, and a malformed head is an error of which nothing is read.
func TestConn(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\nA : b"
	const interim = "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
	for _, row := range []struct {
		name, raw, want string
		err             error
	}{
		{"sound", sound, sound, nil},
		{"interim", interim + interim + sound, interim + interim + sound, nil},
		{"switch of protocols", "HTTP/1.1 101 X\r\n\r\nA : b\r\n\r\n", "HTTP/1.1 101 X\r\n\r\nA : b\r\n\r\n", nil},
		{"largest head", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 76) + "\r\n\r\n", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 76) + "\r\n\r\n", nil},
		{"too large a head", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 77) + "\r\n\r\n", "", ErrTooLarge},
		{"endless head", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 999), "", ErrTooLarge},
		{"no status", "HTTP/1.1 000 OK\r\n\r\n", "", ErrStatus},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\nbody", "", ErrField},
		{"after an interim one", interim + "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", interim, ErrField},
		{"cut", "HTTP/1.1 200 OK\r\nA: b", "", io.ErrUnexpectedEOF},
		{"nothing", "", "", nil},
	} {
		for name, reader := range map[string]func(r io.Reader) io.Reader{
			"at once":      func(r io.Reader) io.Reader { return r },
			"by bytes":     iotest.OneByteReader,
			"by halves":    iotest.HalfReader,
			"with the end": iotest.DataErrReader,
		} {
			for _, size := range []int{1, 7, 4096} {
				c := NewConn(&scriptedConn{r: reader(strings.NewReader(row.raw))}, 100)
				_, _ = c.Write([]byte("request"))
				var got bytes.Buffer
				_, err := io.CopyBuffer(struct{ io.Writer }{&got}, struct{ io.Reader }{c}, make([]byte, size))
				note := qt.Commentf("%s, %s, %d bytes: %q, %v", row.name, name, size, got.String(), err)
				qt.Check(t, errors.Is(err, row.err), qt.IsTrue, note)
				qt.Check(t, strings.HasPrefix(row.want, got.String()) && (row.err != nil || got.Len() == len(row.want)), qt.IsTrue, note)
			}
		}
	}
}

// A client keeps a connection over many requests; a body that looks like a malformed head isn't checked.
func TestClientKeepsConn(t *testing.T) {
	var conns atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		for i := range 100 {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 000 %s %d\nA : b\r\n\r\n", r.URL.Path, i)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	tr := &http.Transport{DialContext: DialContext(new(net.Dialer), 4096)}
	defer tr.CloseIdleConnections()
	for i := range 20 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("%s/%d", srv.URL, i), strings.NewReader(strings.Repeat("x", i)))
		qt.Assert(t, err, qt.IsNil)
		resp, err := tr.RoundTrip(req)
		qt.Assert(t, err, qt.IsNil)
		lines := bufio.NewScanner(resp.Body)
		n := 0
		for lines.Scan() {
			n++
		}
		qt.Check(t, n, qt.Equals, 300)
		qt.Check(t, resp.Body.Close(), qt.IsNil)
	}
	qt.Check(t, conns.Load(), qt.Equals, int32(1))
}
