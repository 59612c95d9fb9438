package relayer

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/parser"
)

// Limits on what a server's response may take, in bytes. A hundred concurrent responses of maxBufferedBytes and of maxEventBytes
// stay below half of a small entry's memory.
const (
	// maxResponseBytes bounds a response that isn't an event stream.
	maxResponseBytes = 16 << 20
	// maxBufferedBytes is how much of a response is read before its head is sent; until then, a failure can still be reported
	// or retried.
	maxBufferedBytes = 64 << 10
	// maxDiscardedBytes bounds a discarded body of a response to another request.
	maxDiscardedBytes = 1 << 20
)

// framing is how the end of a response's body shows, as the log and the metrics name it.
type framing string

const (
	framingLength framing = "length"
	framingChunks framing = "chunks"
	// framingClose means that the body ends with its connection.
	framingClose framing = "close"
)

// readResponseHead reads a response's head; malformed lines, ambiguous framing and a protocol switch are errors. Callers may read the
// errors, which hold no byte of the head.
func readResponseHead(br *bufio.Reader) (*fasthttp.ResponseHeader, error) {
	raw, err := parser.PeekHead(br, br.Size())
	if err != nil {
		return nil, err
	}
	head, err := parser.ParseResponse(raw)
	if err != nil {
		return nil, err
	}
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	if err := h.Read(br); err != nil {
		// The error quotes the head and what follows it.
		return nil, errors.New("the head can't be read")
	}
	if v := head.Get("Content-Encoding"); v != "" {
		// The library keeps the last one of several lines.
		h.SetContentEncoding(v)
	}
	if h.StatusCode() == http.StatusSwitchingProtocols {
		return nil, errors.New("the server switches to another protocol, which nobody asked for")
	}
	return &h, nil
}

// responseBody is the body of a response.
type responseBody struct{ *parser.Body }

func newResponseBody(br *bufio.Reader, h *fasthttp.ResponseHeader, method string) *responseBody {
	length := h.ContentLength()
	if parser.IsBodiless(method, h.StatusCode()) {
		length = 0
	}
	return &responseBody{parser.NewBody(br, length)}
}

// framing returns how the body's end shows.
func (b *responseBody) framing() framing {
	switch b.Length() {
	case parser.LengthUntilClose:
		return framingClose
	case parser.LengthChunked:
		return framingChunks
	}
	return framingLength
}

// readPrefix reads limit bytes, one more if the body goes on, or the complete body if it is no longer.
func (b *responseBody) readPrefix(limit int, memory *collector.Buffer) (data []byte, complete bool, err error) {
	// The body may have exactly limit bytes; the next byte shows whether it goes on.
	data, err = memory.ReadAll(b, limit+1, limit+1)
	return data, err == nil && len(data) <= limit, err
}

// forwardBody forwards a large response as it arrives, after its first bytes; one that breaks off gets no last chunk.
func (e *Relayer) forwardBody(h *fasthttp.ResponseHeader, b *responseBody, first []byte, out *responseWriter, keepAlive time.Duration) (attemptResult, time.Duration) {
	callerLeft := attemptResult{outcome: outcomeCallerLeft, reason: "the caller disconnected", result: balancer.NoEvidence}
	out.lastWithoutID = true
	if !out.startStream(h) || !out.writeChunk(first) {
		return callerLeft, -1
	}
	buf := make([]byte, serverBufferBytes)
	for {
		n, err := b.Read(buf)
		if n > 0 && !out.writeChunk(buf[:n]) {
			return callerLeft, -1
		}
		switch {
		case errors.Is(err, io.EOF):
			if b.framing() == framingClose {
				keepAlive = -1
			}
			return attemptResult{outcome: outcomeForwarded, status: h.StatusCode(), result: balancer.OK}, keepAlive
		case err == nil && b.Consumed() > maxResponseBytes:
			err = errors.Errorf("the answer has more than %d bytes", maxResponseBytes)
		}
		if err != nil {
			r := unknownResult("body", err)
			r.outcome = outcomeCut
			return r, -1
		}
	}
}

// discardBody discards the body of a response to another request.
func discardBody(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	b := newResponseBody(br, h, "")
	if b.framing() == framingClose {
		return errors.New("it ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		err = errors.Errorf("it has more than %d bytes", maxDiscardedBytes)
	}
	return err
}
