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

// What a server may have an entry hold or read, in bytes. A hundred answers of heldAnswer and of maxEvent at once stay
// below half of a small entry's memory.
const (
	// maxAnswer bounds an answer that isn't a stream.
	maxAnswer = 16 << 20
	// heldAnswer is how much of an answer is read before its head goes to the caller; until then, a failure can still be
	// told or mended.
	heldAnswer = 64 << 10
	// maxSkipped bounds the body of an answer to another request.
	maxSkipped = 1 << 20
	// maxTrailer bounds what follows the last chunk.
	maxTrailer = 8 << 10
)

// How an answer's body is delimited, where it has no length.
const (
	inChunks   = -1
	untilClose = -2
)

// readAnswerHead reads a head whose body is delimited in one way only.
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
		return nil, errors.New("the server switches to another protocol, which nobody asked for")
	}
	return &h, nil
}

// checkFraming returns an error for a head that two readers could delimit differently.
func checkFraming(raw []byte) error {
	lengths, codings := 0, 0
	for _, line := range bytes.Split(raw, []byte("\r\n"))[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		text := strings.TrimSpace(string(value))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if _, err := strconv.ParseUint(text, 10, 63); err != nil || strings.HasPrefix(text, "+") {
				return errors.Errorf("content length %q is no number", text)
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !strings.EqualFold(text, "chunked") {
				return errors.Errorf("transfer encoding %q is not supported", text)
			}
		}
	}
	if lengths+codings > 1 {
		return errors.New("the length of the answer is ambiguous")
	}
	return nil
}

// body is an answer's body as it is delimited.
type body struct {
	io.Reader
	br *bufio.Reader
	// delimit is the length, inChunks or untilClose; taken is how much was read.
	delimit int
	taken   int
	// end is what the last read returned, once there is no more.
	end error
}

// isBodiless reports whether an answer ends with its head.
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

// Read implements io.Reader; io.EOF means that the body is whole.
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

// head reads up to limit bytes; whole says that this is all.
func (b *body) head(limit int) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(b, int64(limit)))
	if err != nil || len(data) < limit {
		return data, err == nil, err
	}
	// What was read may be all by chance; the next byte tells.
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

// pass passes a large answer on as it comes, after its first bytes; one that breaks never looks whole.
func (e *Relayer) pass(h *fasthttp.ResponseHeader, b *body, first []byte, out *answer, keep time.Duration) (reply, time.Duration) {
	gone := reply{outcome: left, reason: "the caller left", result: balancer.Void}
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
			err = errors.Errorf("the answer has more than %d bytes", maxAnswer)
		}
		if err != nil {
			r := lost("body", err)
			r.outcome = cut
			return r, -1
		}
	}
}

// skipBody reads the body of an answer to another request.
func skipBody(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	b := newBody(br, h, "")
	if b.delimit == untilClose {
		return errors.New("it ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxSkipped+1))
	if err == nil && n > maxSkipped {
		err = errors.Errorf("it has more than %d bytes", maxSkipped)
	}
	return err
}

// skipTrailer reads what follows the last chunk.
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
	return errors.Errorf("more than %d bytes follow the last chunk", maxTrailer)
}
