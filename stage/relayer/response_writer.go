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

	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/parser"
)

// writeTimeout bounds one write to a caller that doesn't read.
const writeTimeout = 5 * time.Second

// responseWriter writes the response to one request.
type responseWriter struct {
	conn net.Conn
	// method is the request's method.
	method string
	// stopping is set once the entry shuts down, so that responses carry "Connection: close"; draining is set once connections
	// whose response heads were sent without it close as well.
	stopping *atomic.Bool
	draining *atomic.Bool
	// streaming is set once the head of a chunked response was written.
	streaming   bool
	lastEventID string
	// lastWithoutID is set if the last data sent has no event id, so that no other server can resume after it.
	lastWithoutID bool
	// complete is set once a chunked response was sent completely, aborted if it was cut short.
	complete bool
	aborted  bool
	// closeConn is set if the connection closes after the response.
	closeConn   bool
	writeFailed bool
	status      int
	// mediaType is the stream's media type.
	mediaType string
	// buf holds a chunk while it is written.
	buf []byte
	// memory counts what the request holds, nil if there is none.
	memory *collector.Buffer
	// firstWriteAt is zero before the first write; maxGap is the longest time between two chunks.
	firstWriteAt time.Time
	lastChunkAt  time.Time
	maxGap       time.Duration
	// slowestWrite is the longest that a write took in the latest attempt: nothing is read from its server meanwhile.
	slowestWrite time.Duration
}

// resumable reports whether another server may resume after the events sent; that needs a numeric last id, or none sent.
func (w *responseWriter) resumable() bool {
	_, ok := eventNumber(w.lastEventID)
	return !w.lastWithoutID && (ok || w.lastEventID == "")
}

func (w *responseWriter) write(b []byte) bool {
	if w.writeFailed {
		return false
	}
	if w.firstWriteAt.IsZero() {
		w.firstWriteAt = time.Now()
	}
	err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.memory != nil {
		w.memory.Send()
	}
	if err == nil {
		began := time.Now()
		_, err = w.conn.Write(b)
		w.slowestWrite = max(w.slowestWrite, time.Since(began))
	}
	w.writeFailed = err != nil || w.memory != nil && !w.memory.Serve()
	return !w.writeFailed
}

// writeStatusLine appends the status line and, if the connection will close, the Connection header.
func (w *responseWriter) writeStatusLine(b *bytes.Buffer, status int) {
	w.status = status
	w.closeConn = w.closeConn || w.stopping.Load()
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if w.closeConn {
		b.WriteString("Connection: close\r\n")
	}
}

// writeComplete writes a response with a complete body.
func (w *responseWriter) writeComplete(status int, fields []field, body []byte) bool {
	var b bytes.Buffer
	w.writeStatusLine(&b, status)
	for _, f := range fields {
		b.WriteString(f.name + ": " + f.value + "\r\n")
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	switch {
	case parser.IsBodiless(w.method, status):
	case len(body) > serverBufferBytes:
		// A copy would take the same memory once more.
		return w.write(b.Bytes()) && w.write(body)
	default:
		b.Write(body)
	}
	return w.write(b.Bytes())
}

// startStream writes the head of a chunked response.
func (w *responseWriter) startStream(h *fasthttp.ResponseHeader) bool {
	var b bytes.Buffer
	w.writeStatusLine(&b, h.StatusCode())
	for _, f := range responseFields(h) {
		b.WriteString(f.name + ": " + f.value + "\r\n")
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	w.streaming, w.mediaType = true, mediaType(h)
	return w.write(b.Bytes())
}

// canContinueWith reports whether another server's response may continue the stream that was started.
func (w *responseWriter) canContinueWith(h *fasthttp.ResponseHeader) bool {
	media := mediaType(h)
	return h.StatusCode() == w.status && (media == w.mediaType || media == "" || w.mediaType == "")
}

// mediaType returns the lower-case media type of a response without its parameters.
func mediaType(h *fasthttp.ResponseHeader) string {
	media, _, _ := strings.Cut(string(h.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// writeChunk writes events as one chunk.
func (w *responseWriter) writeChunk(events []byte) bool {
	now := time.Now()
	if !w.lastChunkAt.IsZero() {
		w.maxGap = max(w.maxGap, now.Sub(w.lastChunkAt))
	}
	w.lastChunkAt = now
	w.buf = strconv.AppendInt(w.buf[:0], int64(len(events)), 16)
	w.buf = append(w.buf, "\r\n"...)
	w.buf = append(w.buf, events...)
	w.buf = append(w.buf, "\r\n"...)
	return w.write(w.buf)
}

// endStream writes the last chunk of a complete response.
func (w *responseWriter) endStream() bool {
	w.complete = true
	// Read before the last chunk is sent: after it the caller may send its next request, which must be served.
	w.closeConn = w.closeConn || w.draining.Load()
	return w.write([]byte("0\r\n\r\n"))
}

// writeError writes an error response of the entry itself; retryAfter is 0 for no Retry-After header, more are further headers.
func (w *responseWriter) writeError(status int, reason string, retryAfter time.Duration, more ...field) bool {
	fields := append([]field{{"Content-Type", "application/json"}}, more...)
	if retryAfter > 0 {
		fields = append(fields, field{"Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64)})
	}
	return w.writeComplete(status, fields, fmt.Appendf(nil, `{"error":{"message":%q}}`, reason))
}
