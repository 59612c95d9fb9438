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
	// The wait for a stream's first event before another engine is tried is firstEventFactor times the route's target, at
	// least firstEventFloor. Callers disconnect after four targets or 2 s, whichever is longer; loaded engines exceed one.
	firstEventFactor = 2.5
	firstEventFloor  = 1600 * time.Millisecond
	// The wait between two events is gapFactor times the route's gap, at least gapFloor. Callers disconnect after eight gaps
	// or 2 s.
	gapFactor = 5
	gapFloor  = 1600 * time.Millisecond
	// silencePollInterval is the interval between tries to choose another engine while one is silent for too long.
	silencePollInterval = 100 * time.Millisecond
	// maxEventBytes is the largest event in bytes.
	maxEventBytes = 128 << 10
)

// forwardEvents forwards a response's events as they arrive, each once it is complete.
func (e *Relayer) forwardEvents(ctx context.Context, c *conn, h *fasthttp.ResponseHeader, a *attempt, out *responseWriter, keepAlive time.Duration) (attemptResult, time.Duration) {
	b := newResponseBody(c.br, h, a.call.req.method)
	if a.framing = b.framing(); a.framing == framingClose {
		keepAlive = -1
	}
	events := &eventReader{br: bufio.NewReaderSize(b, serverBufferBytes), lastID: e.resumePoint(a), take: a.call.req.memory.Take}
	route := a.call.route
	watch := e.watchSilence(c, a, max(time.Duration(firstEventFactor*float64(route.LatencyTarget)), firstEventFloor))
	callerLeft := attemptResult{outcome: outcomeCallerLeft, reason: "the caller disconnected", result: balancer.NoEvidence}
	firstSeen := false
	for {
		block, err := events.next()
		if errors.Is(err, io.EOF) && !out.streaming && e.mustHaveEvents(a) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			next := watch.stop()
			if errors.Is(err, io.EOF) {
				e.releaseChoice(a.call, next)
				if !out.streaming && !out.startStream(h) {
					return callerLeft, -1
				}
				return attemptResult{outcome: outcomeForwarded, status: h.StatusCode(), result: balancer.OK}, keepAlive
			}
			r := unknownResult("stream", err)
			if isNoRoom(err) {
				r = noRoomResult(err)
			}
			r.nextChoice = next
			if out.streaming {
				r.outcome = outcomeCut
			}
			return r, -1
		}
		if !firstSeen {
			firstSeen = true
			watch.fixSoftware()
			e.recordStart(a)
			e.recordPrefillEnd(a)
		}
		if !out.streaming && !out.startStream(h) {
			e.releaseChoice(a.call, watch.stop())
			return callerLeft, -1
		}
		if a.blocks++; a.blocks == soundBlocks {
			e.recordSound(a.call)
		}
		e.recordEvents(a, events.count)
		if !out.writeChunk(block) || ctx.Err() != nil {
			e.releaseChoice(a.call, watch.stop())
			if !e.callerLeft(ctx, out) {
				return attemptResult{outcome: outcomeCut, reason: "no time is left", result: balancer.NoEvidence}, -1
			}
			return callerLeft, -1
		}
		if events.firstID != "" {
			a.firstEventID, a.lastEventID, out.lastEventID = events.firstID, events.lastID, events.lastID
		}
		out.lastWithoutID = events.lastWithoutID
		watch.reset(max(gapFactor*route.MaxPause, gapFloor), out.resumable())
	}
}

// mustHaveEvents reports whether a response without events is incomplete, as nothing else shows its end. A stream that is resumed after
// its last event has none left.
func (e *Relayer) mustHaveEvents(a *attempt) bool {
	return a.framing == framingClose && e.resumePoint(a) == ""
}

// recordPrefillEnd records that the server has prefilled the prompt, as its first event shows.
func (e *Relayer) recordPrefillEnd(a *attempt) {
	if a.lastEventID == "" {
		took, tokens := time.Since(a.call.chosenAt), a.call.tokens-a.choice.Cached
		e.balancer.RecordPrefillTime(a.call.service, tokens, took)
		e.balancer.RecordFirstEvent(time.Now(), a.choice, tokens, took)
		e.balancer.RecordPrompt(time.Now(), a.choice, a.call.adapter, a.call.prompt)
		e.metrics.countPrompt(a.call.tokens, a.choice.Cached)
	}
	if e.balancer.EndPrefill(a.choice) {
		e.control.enqueueLoads()
	}
}

// recordEvents records the time since the stream's events before; n is the number of events that came now.
func (e *Relayer) recordEvents(a *attempt, n int) {
	a.events += n
	if a.call.adapter.Model == "" || n == 0 {
		return
	}
	now := time.Now()
	if !a.lastEventAt.IsZero() {
		e.balancer.RecordEvents(now, a.choice, n, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// silenceWatch monitors one attempt at a stream: when the engine is silent for too long, the request moves to another engine, but
// only if one accepts it at once. Otherwise it stays, as a late response is better than none.
type silenceWatch struct {
	entry   *Relayer
	conn    *conn
	attempt *attempt
	timer   *time.Timer

	mu      sync.Mutex
	stopped bool
	// pinned is set if no other engine can resume the stream.
	pinned bool
	// nextChoice is the engine that the request moves to.
	nextChoice *balancer.Choice
}

func (e *Relayer) watchSilence(c *conn, a *attempt, firstWait time.Duration) *silenceWatch {
	s := &silenceWatch{entry: e, conn: c, attempt: a}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(firstWait, s.tryFailover)
	return s
}

// reset starts the wait for the next event; resumable is set if another engine may resume after the latest one.
func (s *silenceWatch) reset(d time.Duration, resumable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned = !resumable
	if !s.stopped && s.nextChoice == nil {
		s.timer.Reset(d)
	}
}

// fixSoftware restricts the stream to the software version that brings its first event.
func (s *silenceWatch) fixSoftware() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt.call.software, s.attempt.call.softwareFixed = s.attempt.choice.Software, true
}

// stop ends the monitoring; it returns the engine chosen to resume the stream, or nil.
func (s *silenceWatch) stop() *balancer.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	return s.nextChoice
}

// tryFailover ends the attempt if another engine accepts the request now, and otherwise checks again later.
func (s *silenceWatch) tryFailover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, call := s.entry, s.attempt.call
	if s.stopped || s.pinned || s.nextChoice != nil || !e.mayResume(s.attempt) {
		return
	}
	excluded := maps.Clone(call.excluded)
	excluded[s.attempt.choice.Key.ID] = true
	now := time.Now()
	r := call.pickRequest(e.cfg.Zone)
	r.Except, r.IgnorePrefillLimit = excluded, true
	choice, status := e.balancer.Pick(now, r)
	if status != balancer.Picked {
		s.timer.Reset(silencePollInterval)
		return
	}
	if !e.budget.spend(now, e.balancer.Entries()) {
		e.releaseChoice(call, &choice)
		s.timer.Reset(silencePollInterval)
		return
	}
	s.nextChoice = &choice
	_ = s.conn.Close()
}

// releaseChoice returns a choice that isn't used to the balancer.
func (e *Relayer) releaseChoice(c *call, choice *balancer.Choice) {
	if choice != nil {
		e.balancer.End(time.Now(), *choice, c.adapter, balancer.NoEvidence)
	}
}

// mayResume reports whether another engine may resume the stream after this attempt.
func (e *Relayer) mayResume(a *attempt) bool {
	c := a.call
	return c.route.Stream && c.route.Resumable && c.sends+1 < c.route.Attempts && time.Until(c.deadline) > c.route.LatencyTarget/2
}

// resumePoint returns the id of the event after which the attempt's stream starts, "" for its beginning.
func (e *Relayer) resumePoint(a *attempt) string {
	if a.lastEventID == "" && a.call.route.Resumable {
		return a.call.req.get(e.headers.Resume)
	}
	return a.lastEventID
}

// eventReader reads blocks of complete events. Numeric ids must increase, otherwise events would be sent twice.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
	// firstID and lastID are those of the first and the latest event; lastID starts as that of an earlier server's last event.
	firstID, lastID string
	// lastWithoutID is set if the latest event has no id.
	lastWithoutID bool
	// count is the number of events that the last call of next returned.
	count int
	// err is returned by the next call of next, after the events before the error were returned.
	err error
	// take asks for memory unless it is nil, taken is how much of buf it was asked for.
	take  func(n int) error
	taken int
}

// next returns at least one event, with all further ones that are buffered completely; io.EOF comes only between events.
func (r *eventReader) next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	r.buf, r.count = r.buf[:0], 0
	// start is the offset of the current line in buf, eventStart that of the current event.
	start, eventStart := 0, 0
	var id string
	hasData := false
	for {
		part, err := r.br.ReadSlice('\n')
		if err := r.reserve(len(r.buf) + len(part)); err != nil {
			return nil, err
		}
		r.buf = append(r.buf, part...)
		switch {
		case len(r.buf)-eventStart > maxEventBytes:
			return nil, errors.Errorf("an event has more than %d bytes", maxEventBytes)
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
		if r.err = r.recordEvent(id, hasData); r.err != nil {
			if eventStart == 0 {
				return nil, r.err
			}
			return r.buf[:eventStart], nil
		}
		eventStart, id, hasData = len(r.buf), "", false
		if !r.hasBufferedEvent() {
			return r.buf, nil
		}
	}
}

// reserve asks for the memory of a buffer of n bytes and of its copy while it is written; small ones count with their connection.
func (r *eventReader) reserve(n int) error {
	if r.take == nil || n <= serverBufferBytes || n <= r.taken {
		return nil
	}
	grown := max(2*r.taken, 4*serverBufferBytes, n)
	if err := r.take(2 * (grown - r.taken)); err != nil {
		return err
	}
	r.taken = grown
	return nil
}

// recordEvent records a complete event; a block without data or id, such as a comment, is not an event.
func (r *eventReader) recordEvent(id string, hasData bool) error {
	switch {
	case id == "" && !hasData:
		return nil
	case id == "" && r.lastID != "" && r.firstID == "":
		return errors.Errorf("an event without an id came after event %q of another run", r.lastID)
	case id == "":
		r.lastWithoutID = true
		r.count++
		return nil
	}
	if !r.isInOrder(id) {
		return errors.Errorf("event %q came after event %q", id, r.lastID)
	}
	if r.firstID == "" {
		r.firstID = id
	}
	r.lastID, r.lastWithoutID = id, false
	r.count++
	return nil
}

// isInOrder reports whether an event's id may follow the latest one. Numbers must increase. Other ids have no order: only the
// first one of a response is checked, as it must continue after the caller's last event.
func (r *eventReader) isInOrder(id string) bool {
	m, ordered := eventNumber(r.lastID)
	n, ok := eventNumber(id)
	switch {
	case r.lastID == "":
		return true
	case ordered && ok:
		return n > m
	case r.firstID != "":
		return true
	}
	return !ordered && id != r.lastID
}

// eventNumber returns an event's id as a number, if it is one.
func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// hasBufferedEvent reports whether another complete event is buffered.
func (r *eventReader) hasBufferedEvent() bool {
	b, err := r.br.Peek(r.br.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n")))
}
