package relayer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/balancer"
)

// Limits on what a server's response may take, in bytes. A hundred concurrent responses of heldAnswer and of maxEvent stay
// below half of a small entry's memory.
const (
	// maxAnswer bounds a response that isn't an event stream.
	maxAnswer = 16 << 20
	// heldAnswer is how much of a response is read before its head is sent; until then, a failure can still be reported
	// or retried.
	heldAnswer = 64 << 10
	// maxSkipped bounds a discarded body of a response to another request.
	maxSkipped = 1 << 20
	// maxTrailer bounds the trailer after the last chunk.
	maxTrailer = 8 << 10
)

// Lengths of a body that has no Content-Length, as fasthttp reports them.
const (
	inChunks   = -1
	untilClose = -2
)

// readAnswerHead reads a response's head; ambiguous framing and a protocol switch are errors.
func readAnswerHead(br *bufio.Reader) (*fasthttp.ResponseHeader, error) {
	raw, err := peekHead(br, br.Size())
	if err != nil {
		return nil, err
	}
	if err := checkFraming(raw); err != nil {
		return nil, err
	}
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	if err := h.Read(br); err != nil {
		return nil, err
	}
	if h.StatusCode() == http.StatusSwitchingProtocols {
		return nil, errors.New("the server switched protocols without a request for it")
	}
	return &h, nil
}

// checkFraming returns an error for a head whose body length two parsers could take differently.
func checkFraming(raw []byte) error {
	lengths, codings := 0, 0
	for _, line := range bytes.Split(raw, []byte("\r\n"))[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		text := strings.TrimSpace(string(value))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if _, err := strconv.ParseUint(text, 10, 63); err != nil || strings.HasPrefix(text, "+") {
				return errors.Errorf("content length %q is not a number", text)
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !strings.EqualFold(text, "chunked") {
				return errors.Errorf("transfer encoding %q is not supported", text)
			}
		}
	}
	if lengths+codings > 1 {
		return errors.New("the length of the response is ambiguous")
	}
	return nil
}

// body reads a response's body up to its end.
type body struct {
	io.Reader
	br *bufio.Reader
	// delimit is the length in bytes, inChunks or untilClose; taken is how many bytes were read.
	delimit int
	taken   int
	// end is the error that all further reads return.
	end error
}

// isBodiless reports whether a response has no body.
func isBodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func newBody(br *bufio.Reader, h *fasthttp.ResponseHeader, method string) *body {
	b := &body{Reader: br, br: br, delimit: h.ContentLength()}
	switch {
	case isBodiless(method, h.StatusCode()):
		b.delimit = 0
		b.Reader = http.NoBody
	case b.delimit >= 0:
		b.Reader = io.LimitReader(br, int64(b.delimit))
	case b.delimit == inChunks:
		b.Reader = httputil.NewChunkedReader(br)
	default:
		b.delimit = untilClose
	}
	return b
}

// Read implements io.Reader; io.EOF means that the body is complete.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.Reader.Read(p)
	b.taken += n
	if err == nil {
		return n, nil
	}
	b.end = err
	if errors.Is(err, io.EOF) {
		switch {
		case b.delimit > b.taken:
			b.end = io.ErrUnexpectedEOF
		case b.delimit == inChunks:
			if err := skipTrailer(b.br); err != nil {
				b.end = errors.Wrap(err, "trailer")
			}
		}
	}
	return n, b.end
}

// head reads limit bytes, one more if the body goes on, or the complete body if it is no longer.
func (b *body) head(limit int) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(b, int64(limit)))
	if err != nil || len(data) < limit {
		return data, err == nil, err
	}
	// The body may have exactly limit bytes; the next byte shows whether it goes on.
	var next [1]byte
	n, err := io.ReadFull(b, next[:])
	if n > 0 {
		return append(data, next[0]), false, nil
	}
	return data, errors.Is(err, io.EOF), ignoreEOF(err)
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// pass forwards a large response as it arrives, after its first bytes; one that breaks off gets no last chunk.
func (e *Relayer) pass(h *fasthttp.ResponseHeader, b *body, first []byte, out *answer, keep time.Duration) (reply, time.Duration) {
	gone := reply{outcome: left, reason: "the caller disconnected", result: balancer.Void}
	out.unnamed = true
	if !out.begin(h) || !out.chunk(first) {
		return gone, -1
	}
	buf := make([]byte, serverBuffer)
	for {
		n, err := b.Read(buf)
		if n > 0 && !out.chunk(buf[:n]) {
			return gone, -1
		}
		switch {
		case errors.Is(err, io.EOF):
			if b.delimit == untilClose {
				keep = -1
			}
			return reply{outcome: passed, status: h.StatusCode(), result: balancer.OK}, keep
		case err == nil && b.taken > maxAnswer:
			err = errors.Errorf("the response has more than %d bytes", maxAnswer)
		}
		if err != nil {
			r := lost("body", err)
			r.outcome = cut
			return r, -1
		}
	}
}

// skipBody discards the body of a response to another request.
func skipBody(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	b := newBody(br, h, "")
	if b.delimit == untilClose {
		return errors.New("its body ends with the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxSkipped+1))
	if err == nil && n > maxSkipped {
		err = errors.Errorf("its body has more than %d bytes", maxSkipped)
	}
	return err
}

// skipTrailer discards the trailer after the last chunk.
func skipTrailer(br *bufio.Reader) error {
	for n := 0; n <= maxTrailer; {
		line, err := br.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		n += len(line)
	}
	return errors.Errorf("the trailer has more than %d bytes", maxTrailer)
}
