package relayer

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// writeTimeout bounds one write to a caller that doesn't read.
const writeTimeout = 5 * time.Second

// answer writes the response to one request.
type answer struct {
	conn net.Conn
	// method is the request's method.
	method string
	// leaving says that the entry shuts down, so that responses carry "Connection: close"; draining says that connections whose
	// response heads were sent without it close as well.
	leaving  *atomic.Bool
	draining *atomic.Bool
	// begun says that the head of a chunked response was written; last is the id of the last event sent.
	begun bool
	last  string
	// unnamed says that the last data sent has no event id, so that no other server can resume after it.
	unnamed bool
	// ended says that a chunked response was sent completely, broken that it was cut short.
	ended  bool
	broken bool
	// closing says that the connection closes after the response.
	closing bool
	failed  bool
	status  int
	// media is the stream's media type.
	media string
	// buf holds a chunk while it is written.
	buf []byte
	// first is the time of the first write, wrote that of the latest chunk, gap the longest time between two chunks.
	first time.Time
	wrote time.Time
	gap   time.Duration
}

// resumable reports whether another server may resume after the events sent; that needs a numeric last id, or none sent.
func (w *answer) resumable() bool {
	_, ok := eventNumber(w.last)
	return !w.unnamed && (ok || w.last == "")
}

func (w *answer) write(b []byte) bool {
	if w.failed {
		return false
	}
	if w.first.IsZero() {
		w.first = time.Now()
	}
	err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = w.conn.Write(b)
	}
	w.failed = err != nil
	return !w.failed
}

// statusLine appends the status line and, if the connection will close, the Connection header.
func (w *answer) statusLine(b *bytes.Buffer, status int) {
	w.status = status
	w.closing = w.closing || w.leaving.Load()
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if w.closing {
		b.WriteString("Connection: close\r\n")
	}
}

// whole writes a response with a complete body.
func (w *answer) whole(status int, fields []field, body []byte) bool {
	var b bytes.Buffer
	w.statusLine(&b, status)
	for _, f := range fields {
		b.WriteString(f.name + ": " + f.value + "\r\n")
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !isBodiless(w.method, status) {
		b.Write(body)
	}
	return w.write(b.Bytes())
}

// begin writes the head of a chunked response.
func (w *answer) begin(h *fasthttp.ResponseHeader) bool {
	var b bytes.Buffer
	w.statusLine(&b, h.StatusCode())
	for _, f := range answerFields(h) {
		b.WriteString(f.name + ": " + f.value + "\r\n")
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	w.begun, w.media = true, mediaType(h)
	return w.write(b.Bytes())
}

// continuedBy reports whether another server's response may continue the stream that was started.
func (w *answer) continuedBy(h *fasthttp.ResponseHeader) bool {
	media := mediaType(h)
	return h.StatusCode() == w.status && (media == w.media || media == "" || w.media == "")
}

// mediaType returns the lower-case media type of a response without its parameters.
func mediaType(h *fasthttp.ResponseHeader) string {
	media, _, _ := strings.Cut(string(h.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// chunk writes events as one chunk.
func (w *answer) chunk(events []byte) bool {
	now := time.Now()
	if !w.wrote.IsZero() {
		w.gap = max(w.gap, now.Sub(w.wrote))
	}
	w.wrote = now
	w.buf = strconv.AppendInt(w.buf[:0], int64(len(events)), 16)
	w.buf = append(w.buf, "\r\n"...)
	w.buf = append(w.buf, events...)
	w.buf = append(w.buf, "\r\n"...)
	return w.write(w.buf)
}

// end writes the last chunk of a complete response.
func (w *answer) end() bool {
	w.ended = true
	// Read before the last chunk is sent: after it the caller may send its next request, which must be served.
	w.closing = w.closing || w.draining.Load()
	return w.write([]byte("0\r\n\r\n"))
}

// fail writes an error response of the entry itself; after is the Retry-After time, 0 for no such header.
func (w *answer) fail(status int, reason string, after time.Duration) bool {
	fields := []field{{"Content-Type", "application/json"}}
	if after > 0 {
		fields = append(fields, field{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64)})
	}
	return w.whole(status, fields, fmt.Appendf(nil, `{"error":{"message":%q}}`, reason))
}
