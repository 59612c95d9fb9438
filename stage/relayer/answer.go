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

// writeTimeout is when a caller that doesn't read is given up.
const writeTimeout = 5 * time.Second

// answer writes to one caller.
type answer struct {
	conn net.Conn
	// method is that of the request.
	method string
	// leaving says that the entry shuts down, so that connections end with their answers; draining says that also those end
	// whose heads didn't tell so.
	leaving  *atomic.Bool
	draining *atomic.Bool
	// begun says that the head of a stream was written, last is the last event passed on.
	begun bool
	last  string
	// unnamed says that what was passed on last has no id, so that no other run can go on after it.
	unnamed bool
	// ended says that an answer that was passed on as it came is whole, broken that it was given up.
	ended  bool
	broken bool
	// closing says that the connection ends after the answer.
	closing bool
	failed  bool
	status  int
	// media is the type of the stream.
	media string
	// buf holds a chunk while it is written.
	buf []byte
	// first is when the answer began, wrote when its latest event was passed on, and gap the longest pause between two.
	first time.Time
	wrote time.Time
	gap   time.Duration
}

// resumable reports whether another run may go on after what was passed on. Only a number tells which events follow it.
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

// statusLine begins a head.
func (w *answer) statusLine(b *bytes.Buffer, status int) {
	w.status = status
	w.closing = w.closing || w.leaving.Load()
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if w.closing {
		b.WriteString("Connection: close\r\n")
	}
}

// whole writes an answer that is complete.
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

// begin writes the head of a stream; the first event follows at once.
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

// continuedBy reports whether another server's answer may be the rest of the stream that has begun.
func (w *answer) continuedBy(h *fasthttp.ResponseHeader) bool {
	media := mediaType(h)
	return h.StatusCode() == w.status && (media == w.media || media == "" || w.media == "")
}

// mediaType returns the type of an answer's body without its parameters.
func mediaType(h *fasthttp.ResponseHeader) string {
	media, _, _ := strings.Cut(string(h.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// chunk writes events.
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

// end ends a stream that is whole.
func (w *answer) end() bool {
	w.ended = true
	// Read before the caller has the end: from then on it may send its next request, which is answered.
	w.closing = w.closing || w.draining.Load()
	return w.write([]byte("0\r\n\r\n"))
}

// fail writes an answer of the entry's own; after is when the caller may come back, 0 if that is of no use.
func (w *answer) fail(status int, reason string, after time.Duration) bool {
	fields := []field{{"Content-Type", "application/json"}}
	if after > 0 {
		fields = append(fields, field{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64)})
	}
	return w.whole(status, fields, fmt.Appendf(nil, `{"error":{"message":%q}}`, reason))
}
