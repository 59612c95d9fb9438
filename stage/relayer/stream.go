package relayer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/balancer"
)

const (
	// The wait for a stream's first event before another engine is tried is firstFactor times the route's target, at least
	// firstFloor. Callers disconnect after four targets or 2 s, whichever is longer; loaded engines take more than one target.
	firstFactor = 2.5
	firstFloor  = 1600 * time.Millisecond
	// The wait between two events is gapFactor times the route's gap, at least gapFloor. Callers disconnect after eight gaps
	// or 2 s.
	gapFactor = 5
	gapFloor  = 1600 * time.Millisecond
	// silenceEvery is the interval between tries to choose another engine while one is silent for too long.
	silenceEvery = 100 * time.Millisecond
	// maxEvent is the largest event in bytes.
	maxEvent = 128 << 10
)

// stream forwards a response's events as they arrive, each once it is complete.
func (e *Relayer) stream(ctx context.Context, c *conn, h *fasthttp.ResponseHeader, a *attempt, out *answer, keep time.Duration) (reply, time.Duration) {
	b := newBody(c.br, h, a.call.req.method)
	if a.unframed = b.delimit == untilClose; a.unframed {
		keep = -1
	}
	events := &eventReader{br: bufio.NewReaderSize(b, serverBuffer), last: e.lastEvent(a)}
	route := a.call.route
	silence := e.watchSilence(c, a, max(time.Duration(firstFactor*float64(route.Target)), firstFloor))
	gone := reply{outcome: left, reason: "the caller disconnected", result: balancer.Void}
	read := false
	for {
		block, err := events.next()
		if err != nil {
			next := silence.stop()
			if errors.Is(err, io.EOF) {
				e.release(a.call, next)
				if !out.begun && !out.begin(h) {
					return gone, -1
				}
				return reply{outcome: passed, status: h.StatusCode(), result: balancer.OK}, keep
			}
			r := lost("stream", err)
			r.next = next
			if out.begun {
				r.outcome = cut
			}
			return r, -1
		}
		if !out.begun && !out.begin(h) {
			e.release(a.call, silence.stop())
			return gone, -1
		}
		if !read {
			read = true
			e.hasRead(a)
		}
		if !out.chunk(block) || ctx.Err() != nil {
			e.release(a.call, silence.stop())
			if !e.hasLeft(ctx, out) {
				return reply{outcome: cut, reason: "the deadline passed or the entry shut down", result: balancer.Void}, -1
			}
			return gone, -1
		}
		if events.first != "" {
			a.first, a.resume, out.last = events.first, events.last, events.last
		}
		out.unnamed = events.unnamed
		silence.reset(max(gapFactor*route.Gap, gapFloor), out.resumable())
	}
}

// hasRead records that the server has read the prompt, as its first event shows.
func (e *Relayer) hasRead(a *attempt) {
	if a.resume == "" {
		e.balancer.Timed(a.call.service, a.call.tokens, time.Since(a.call.chosen))
	}
	if e.balancer.Read(a.choice) {
		e.link.tellLoads()
	}
}

// silence monitors one attempt at a stream: when the engine is silent for too long, the request moves to another engine, but
// only if one accepts it at once. Otherwise it stays, as a late response is better than none.
type silence struct {
	entry *Relayer
	conn  *conn
	try   *attempt
	timer *time.Timer

	mu    sync.Mutex
	ended bool
	// bound says that no other engine can resume the stream.
	bound bool
	// next is the engine that the request moves to.
	next *balancer.Choice
}

func (e *Relayer) watchSilence(c *conn, a *attempt, first time.Duration) *silence {
	s := &silence{entry: e, conn: c, try: a}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(first, s.look)
	return s
}

// reset starts the wait for the next event; resumable says that another engine may resume after the latest one.
func (s *silence) reset(d time.Duration, resumable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = !resumable
	if !s.ended && s.next == nil {
		s.timer.Reset(d)
	}
}

// stop ends the monitoring; it returns the engine chosen to resume the stream, or nil.
func (s *silence) stop() *balancer.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
	return s.next
}

// look ends the attempt if another engine accepts the request now, and otherwise checks again later.
func (s *silence) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, call := s.entry, s.try.call
	if s.ended || s.bound || s.next != nil || !e.mayResume(s.try) {
		return
	}
	except := maps.Clone(call.except)
	except[s.try.choice.Key.ID] = true
	now := time.Now()
	choice, v := e.balancer.Pick(now, balancer.Ask{
		Service: call.service, Adapter: call.adapter, Zone: e.cfg.Zone, Except: except, Tokens: call.tokens, Gap: call.route.Gap,
		Press: true,
	})
	if v != balancer.Chosen {
		s.timer.Reset(silenceEvery)
		return
	}
	if !e.budget.spend(now, e.balancer.Entries()) {
		e.release(call, &choice)
		s.timer.Reset(silenceEvery)
		return
	}
	s.next = &choice
	_ = s.conn.Close()
}

// release returns a choice that isn't used to the balancer.
func (e *Relayer) release(c *call, choice *balancer.Choice) {
	if choice != nil {
		e.balancer.End(time.Now(), *choice, c.adapter, balancer.Void)
	}
}

// mayResume reports whether another engine may resume the stream after this attempt.
func (e *Relayer) mayResume(a *attempt) bool {
	c := a.call
	return c.route.Stream && c.route.Resumable && c.sends+1 < c.route.Attempts && time.Until(c.deadline) > c.route.Target/2
}

// lastEvent returns the id of the event after which the attempt's stream starts, "" for its beginning.
func (e *Relayer) lastEvent(a *attempt) string {
	if a.resume == "" && a.call.route.Resumable {
		return a.call.req.get(e.names.Resume)
	}
	return a.resume
}

// eventReader reads blocks of complete events. Numeric ids must increase, otherwise events would be sent twice.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
	// first and last are the ids of the first and the latest event; last starts as the id of an earlier server's last event.
	first, last string
	// unnamed says that the latest event has no id.
	unnamed bool
	// err is returned by the next call of next, after the events before the error were returned.
	err error
}

// next returns at least one event, with all further ones that are buffered completely; io.EOF comes only between events.
func (r *eventReader) next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	r.buf = r.buf[:0]
	// start is the offset of the current line in buf, whole that of the current event.
	start, whole := 0, 0
	var id string
	hasData := false
	for {
		part, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf)-whole > maxEvent:
			return nil, errors.Errorf("an event has more than %d bytes", maxEvent)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		start = len(r.buf)
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
		hasData = hasData || bytes.HasPrefix(line, []byte("data"))
		if len(line) > 0 {
			continue
		}
		if r.err = r.end(id, hasData); r.err != nil {
			if whole == 0 {
				return nil, r.err
			}
			return r.buf[:whole], nil
		}
		whole, id, hasData = len(r.buf), "", false
		if !r.hasEvent() {
			return r.buf, nil
		}
	}
}

// end records a complete event; a block without data or id, such as a comment, is not an event.
func (r *eventReader) end(id string, hasData bool) error {
	switch {
	case id == "" && !hasData:
		return nil
	case id == "" && r.last != "" && r.first == "":
		return errors.Errorf("an event without an id can't resume the stream after event %q", r.last)
	case id == "":
		r.unnamed = true
		return nil
	}
	if !r.follows(id) {
		return errors.Errorf("event %q came after event %q", id, r.last)
	}
	if r.first == "" {
		r.first = id
	}
	r.last, r.unnamed = id, false
	return nil
}

// follows reports whether an event's id may follow the latest one. Numbers must increase. Other ids have no order: only the
// first one of a response is checked, as it must continue after the caller's last event.
func (r *eventReader) follows(id string) bool {
	m, ordered := eventNumber(r.last)
	n, ok := eventNumber(id)
	switch {
	case r.last == "":
		return true
	case ordered && ok:
		return n > m
	case r.first != "":
		return true
	}
	return !ordered && id != r.last
}

// eventNumber returns an event's id as a number, if it is one.
func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// hasEvent reports whether another complete event is buffered.
func (r *eventReader) hasEvent() bool {
	b, err := r.br.Peek(r.br.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n")))
}
