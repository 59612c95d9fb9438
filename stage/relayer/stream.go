package relayer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/balancer"
)

const (
	// firstFactor and firstFloor bound the wait for a stream's first event before another engine is asked, in the route's
	// target. Callers leave after four targets or two seconds, whichever is longer; loaded engines take longer than one.
	firstFactor = 2.5
	firstFloor  = 1600 * time.Millisecond
	// gapFactor and gapFloor bound the wait between two events in the route's longest gap that is on time. Callers leave
	// after eight gaps or two seconds.
	gapFactor = 5
	gapFloor  = 1600 * time.Millisecond
	maxEvent  = 1 << 20
)

// stream passes the events of an answer on as they come, each only once it is whole.
func (e *Relayer) stream(ctx context.Context, c *conn, h *fasthttp.ResponseHeader, a *attempt, out *answer, keep time.Duration) (reply, time.Duration) {
	body, limited := streamBody(c.br, h)
	if limited == untilClose {
		keep = -1
	}
	events := &eventReader{br: bufio.NewReaderSize(body, serverBuffer)}
	route := a.call.route
	var spent atomic.Bool
	patience := time.AfterFunc(max(time.Duration(firstFactor*float64(route.Target)), firstFloor), func() {
		// An engine's silence ends its answer only if the request can go on elsewhere.
		if e.mayResume(a) && e.budget.spend(time.Now(), e.balancer.Entries()) {
			spent.Store(true)
			_ = c.Close()
		}
	})
	defer patience.Stop()
	for {
		block, id, err := events.next()
		if errors.Is(err, io.EOF) && (limited < 0 || events.taken == limited) {
			return endStream(c, h, out, limited, keep)
		}
		if err != nil {
			r := lost("stream", err)
			r.spent = spent.Load()
			if out.begun {
				r.outcome = cut
			}
			return r, -1
		}
		if !out.begun && !out.begin(h) {
			return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
		}
		if a.call.long && e.balancer.Read(a.choice) {
			e.link.tellLoads()
		}
		if !out.chunk(block) {
			return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
		}
		if id != "" {
			a.resume, out.last = id, id
		}
		patience.Reset(max(gapFactor*route.Gap, gapFloor))
		if ctx.Err() != nil {
			return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
		}
	}
}

// endStream ends a stream that is whole.
func endStream(c *conn, h *fasthttp.ResponseHeader, out *answer, limited int, keep time.Duration) (reply, time.Duration) {
	if !out.begun && !out.begin(h) {
		return reply{outcome: answered, reason: "the caller left", result: balancer.Void}, -1
	}
	if limited == inChunks && skipTrailer(c.br) != nil {
		keep = -1
	}
	return reply{outcome: answered, status: h.StatusCode(), result: balancer.OK}, keep
}

// How an answer's body is delimited, where it has no length.
const (
	inChunks   = -1
	untilClose = -2
)

// streamBody returns the body of an answer, and its length or how it is delimited.
func streamBody(br *bufio.Reader, h *fasthttp.ResponseHeader) (io.Reader, int) {
	switch n := h.ContentLength(); {
	case n >= 0:
		return io.LimitReader(br, int64(n)), n
	case n == inChunks:
		return httputil.NewChunkedReader(br), n
	}
	return br, untilClose
}

// mayResume reports whether a stream may go on at another engine after this attempt.
func (e *Relayer) mayResume(a *attempt) bool {
	c := a.call
	return c.route.Stream && c.route.Resumable && c.sends+1 < c.route.Attempts && time.Until(c.deadline) > c.route.Target/2
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
