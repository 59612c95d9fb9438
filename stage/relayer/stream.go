package relayer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/balancer"
)

const (
	// firstFactor and firstFloor bound the wait for a stream's first event before another engine is asked, in the route's
	// target; engines that are alive but loaded take longer than the target.
	firstFactor = 3
	firstFloor  = 1500 * time.Millisecond
	// gapFactor and gapFloor bound the wait between two events in the route's longest gap that is on time.
	gapFactor = 3
	gapFloor  = 1200 * time.Millisecond
	maxEvent  = 1 << 20
)

// stream passes the events of an answer on as they come, each only once it is whole.
func (e *Relayer) stream(ctx context.Context, c *conn, h *fasthttp.ResponseHeader, a *attempt, out *answer, keep time.Duration) (reply, time.Duration) {
	var body io.Reader
	limited := -1
	switch n := h.ContentLength(); {
	case n >= 0:
		limited = n
		body = io.LimitReader(c.br, int64(n))
	case n == -1:
		body = httputil.NewChunkedReader(c.br)
	default:
		body, keep = c.br, -1
	}
	events := &eventReader{br: bufio.NewReaderSize(body, serverBuffer)}
	route := a.call.route
	wait := max(firstFactor*route.Target, firstFloor)
	passed := false
	for {
		if route.Resumable {
			limit := time.Now().Add(wait)
			if limit.After(a.call.deadline) {
				limit = a.call.deadline.Add(deadlineSlack)
			}
			if err := c.SetReadDeadline(limit); err != nil {
				return lost("stream", err), -1
			}
		}
		block, id, err := events.next()
		if errors.Is(err, io.EOF) && (limited < 0 || events.taken == limited) {
			if !out.begun && !out.begin(h) {
				return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
			}
			if limited < 0 && keep >= 0 {
				if err := skipTrailer(c.br); err != nil {
					keep = -1
				}
			}
			return reply{outcome: answered, status: h.StatusCode(), result: balancer.OK}, keep
		}
		if err != nil {
			r := lost("stream", err)
			if out.begun {
				r.outcome = cut
			}
			if !passed {
				// Nothing of this attempt reached the caller, so that what came before still ends at the same event.
				return r, -1
			}
			return r, -1
		}
		if !out.begun && !out.begin(h) {
			return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
		}
		if !out.chunk(block) {
			return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
		}
		passed = true
		if id != "" {
			a.resume, out.last = id, id
		}
		wait = max(gapFactor*route.Gap, gapFloor)
		if ctx.Err() != nil {
			return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
		}
	}
}

// eventReader cuts a stream into blocks of whole events.
type eventReader struct {
	br    *bufio.Reader
	taken int
	buf   []byte
}

// next returns the events that are there, at least one, and the id of the last; io.EOF only between two events.
func (r *eventReader) next() (block []byte, id string, err error) {
	r.buf = r.buf[:0]
	whole := 0
	for {
		line, err := r.br.ReadSlice('\n')
		r.taken += len(line)
		r.buf = append(r.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.buf) > maxEvent {
				return nil, "", errors.New("an event is too large")
			}
			continue
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return nil, "", io.EOF
		case errors.Is(err, io.EOF):
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
		if len(text) > 0 {
			continue
		}
		whole = len(r.buf)
		if !r.hasEvent() {
			return r.buf[:whole], id, nil
		}
	}
}

// hasEvent reports whether another whole event is there already.
func (r *eventReader) hasEvent() bool {
	b, err := r.br.Peek(r.br.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n")))
}
