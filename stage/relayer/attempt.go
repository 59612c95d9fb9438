package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/parser"
)

const (
	// maxStrayResponses bounds the responses to earlier requests that are skipped, maxInterimResponses the 1xx responses.
	maxStrayResponses   = 3
	maxInterimResponses = 8
	// largeRequestBytes is the request size in bytes above which the response is read while the request is still being written.
	largeRequestBytes = 8 << 10
	// deadlineSlack is how much longer than the engine this entry waits, so that the engine's own response arrives.
	deadlineSlack = 30 * time.Millisecond
	// maxRetryAfterSeconds bounds the time for which a server may want no requests.
	maxRetryAfterSeconds = 3600
)

// outcome is the way an attempt ended.
type outcome int

const (
	// outcomeAnswered means that the complete response is buffered and nothing of it was sent.
	outcomeAnswered outcome = iota
	// outcomeForwarded means that the complete response was sent, except for its last chunk.
	outcomeForwarded
	// outcomeCallerLeft means that the caller disconnected.
	outcomeCallerLeft
	// outcomeNotRun means that the server did not and will not run the request.
	outcomeNotRun
	// outcomeUnsent means that no byte of the request reached a server.
	outcomeUnsent
	// outcomeUnknown means that the request may have run.
	outcomeUnknown
	// outcomeCut means that the response broke off after a part of it was sent.
	outcomeCut
)

// endsRequest reports whether the request ends with the attempt.
func (o outcome) endsRequest() bool {
	return o == outcomeAnswered || o == outcomeForwarded || o == outcomeCallerLeft
}

// outcomeNames are the names of outcomes in the log.
var outcomeNames = map[outcome]string{
	outcomeAnswered: "answered", outcomeForwarded: "passed", outcomeCallerLeft: "left", outcomeNotRun: "not run",
	outcomeUnsent: "unsent", outcomeUnknown: "unknown", outcomeCut: "cut",
}

// attempt is one attempt of a call at one server.
type attempt struct {
	call   *call
	choice balancer.Choice
	// lastEventID is that of the last event that the caller received, "" if none was sent.
	lastEventID string
	// resumedAfter is the value of lastEventID when the attempt began; firstEventID is the first event of the attempt.
	resumedAfter string
	status       int
	firstEventID string
	// framing is that of the response, "" if no body was read.
	framing framing
	// blocks is the number of blocks of events that arrived, events that of events, lastEventAt the time of the latest one.
	blocks      int
	events      int
	lastEventAt time.Time
}

// logEntry returns the log entry of an attempt that has ended.
func (a *attempt) logEntry(r attemptResult) logger.Attempt {
	l := logger.Attempt{
		Server: a.choice.Key.ID, Outcome: outcomeNames[r.outcome], Reason: r.reason, Status: a.status, After: a.resumedAfter,
		First: a.firstEventID, Software: a.choice.Software, TakeUp: string(a.call.takeUp), Duration: time.Since(a.call.chosenAt), Basis: a.call.req.decision.basis(),
	}
	if a.firstEventID != "" {
		l.Last = a.lastEventID
	}
	l.Framing = string(a.framing)
	return l
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome outcome
	reason  string
	// misdirected is set if the server doesn't hold the adapter or version, or isn't the one that the request names.
	misdirected bool
	// nextChoice is the server of the next attempt, if it is chosen already; the retry budget is charged for it.
	nextChoice *balancer.Choice
	status     int
	fields     []field
	body       []byte
	result     balancer.Result
	// isBroken is set if the server ended the connection before the end of its response.
	isBroken bool
}

func unknownResult(reason string, err error) attemptResult {
	return attemptResult{outcome: outcomeUnknown, reason: reason + ": " + err.Error(), result: balancer.Failed, isBroken: isBroken(err)}
}

// runAttempt makes one attempt; a stream's events are written to out as they arrive.
func (e *Relayer) runAttempt(ctx context.Context, a *attempt, out *responseWriter) attemptResult {
	c, err := e.pool.get(ctx, a.choice.Instance, e.connLimit(a.choice.Service), a.call.id)
	if err != nil {
		r := attemptResult{outcome: outcomeUnsent, reason: "connect: " + err.Error(), result: balancer.Unreachable}
		if errors.Is(err, errConnLimit) {
			r.result = balancer.NoEvidence
		}
		if ctx.Err() != nil {
			r.result = balancer.NoEvidence
		}
		return r
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	out.slowestWrite = 0
	r, keepAlive := e.roundTrip(ctx, c, a, out)
	if !stop() {
		keepAlive = -1
	}
	if r.outcome == outcomeNotRun {
		c.refused = append(c.refused, a.call.id)
	}
	if ctx.Err() != nil && r.outcome == outcomeUnknown {
		r.result = balancer.NoEvidence
	}
	if keepAlive < 0 {
		_ = c.Close()
	} else {
		e.pool.put(c, keepAlive)
	}
	return r
}

// roundTrip writes the request and reads its response; it returns the server's idle timeout, 0 if unknown, or -1 to close.
func (e *Relayer) roundTrip(ctx context.Context, c *conn, a *attempt, out *responseWriter) (attemptResult, time.Duration) {
	remaining := time.Until(a.call.deadline)
	if remaining <= 0 {
		return attemptResult{outcome: outcomeUnsent, reason: "no time is left", result: balancer.NoEvidence}, 0
	}
	if err := c.SetDeadline(a.call.deadline.Add(deadlineSlack)); err != nil {
		return attemptResult{outcome: outcomeUnsent, reason: err.Error(), result: balancer.Unreachable}, -1
	}
	head, body := e.serializeHead(a, remaining), a.call.req.body
	written := make(chan error, 1)
	if len(head)+len(body) > largeRequestBytes {
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(body)
			}
			written <- err
		}()
	} else {
		_, err := c.Write(append(head, body...))
		if err != nil {
			return unknownResult("write", err), -1
		}
		written <- nil
	}
	r, keepAlive := e.readResponse(ctx, c, a, out)
	endsWithConn := a.framing == framingClose && (r.outcome == outcomeAnswered || r.outcome == outcomeForwarded)
	select {
	case err := <-written:
		switch {
		case err == nil && endsWithConn:
			// The probe may need the connection's place.
			_ = c.Close()
			return e.confirmEnd(ctx, a, out, r), -1
		case err == nil:
			return r, keepAlive
		}
	default:
		// The server responded before it read the whole request; on a reused connection the rest would look like a new request.
	}
	if endsWithConn {
		// The write returns a reset's error; the read returns io.EOF as if the server had closed the connection.
		r = unknownResult("body", errors.New("the connection ended before the request was written, and the answer has no length"))
		if out.streaming {
			r.outcome = outcomeCut
		}
	}
	return r, -1
}

// serializeHead returns the head of the request as it is sent to the server, with room for a small body.
func (e *Relayer) serializeHead(a *attempt, remaining time.Duration) []byte {
	n := e.headers
	var b bytes.Buffer
	b.Grow(len(a.call.head) + min(len(a.call.req.body), largeRequestBytes) + 256)
	if a.lastEventID == "" {
		b.Write(a.call.head)
	} else {
		b.Write(a.call.headWithout(n.Resume))
		fmt.Fprintf(&b, "%s: %s\r\n", n.Resume, a.lastEventID)
	}
	fmt.Fprintf(&b, "%s: %d\r\n%s: %s\r\n", n.Deadline, max(remaining.Milliseconds(), 1), n.Expect, a.choice.Key.ID)
	if a.choice.Version > 0 && a.call.adapter.Name != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", n.ExpectVersion, a.choice.Version)
	}
	if a.call.route.Stream {
		fmt.Fprintf(&b, "%s: %d\r\n", n.Priority, min(a.call.priority, 9))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the response; 1xx responses and those to earlier requests on the connection are skipped.
func (e *Relayer) readResponse(ctx context.Context, c *conn, a *attempt, out *responseWriter) (attemptResult, time.Duration) {
	for stray, interim := 0, 0; stray < maxStrayResponses && interim < maxInterimResponses; {
		h, err := readResponseHead(c.br)
		if err != nil {
			return unknownResult("read", err), -1
		}
		if e.headers.Leaving != "" && len(h.Peek(e.headers.Leaving)) > 0 {
			e.balancer.MarkLeaving([]tracker.Key{a.choice.Key})
		}
		e.recordBrittle(h, a.choice.Service)
		attemptID := string(h.Peek(e.headers.AttemptID))
		switch {
		case h.StatusCode() < http.StatusOK:
			interim++
		case attemptID == a.call.id, attemptID == "" && !c.reused && stray == 0:
			// A new connection's first response without an attempt id can only belong to its first request.
			return e.checkResponse(ctx, c, h, a, out)
		case attemptID == "":
			return unknownResult("read", errors.New("an answer that names no request came on a connection that was used before")), -1
		default:
			if err := discardBody(c.br, h); err != nil {
				return unknownResult("skip an answer to another request", err), -1
			}
			stray++
		}
	}
	return unknownResult("read", errors.New("the answer belongs to another request")), -1
}

// checkResponse checks a response's head and reads its body.
func (e *Relayer) checkResponse(ctx context.Context, c *conn, h *fasthttp.ResponseHeader, a *attempt, out *responseWriter) (attemptResult, time.Duration) {
	status := h.StatusCode()
	a.status = status
	keepAlive := parseKeepAlive(string(h.Peek("Keep-Alive")))
	if h.ConnectionClose() {
		keepAlive = -1
	}
	if status == http.StatusServiceUnavailable {
		e.pauseServer(a.choice, string(h.Peek("Retry-After")))
	}
	success := isSuccess(status)
	switch {
	case success && len(h.Peek(e.headers.Seal)) == 0:
		return unknownResult("answer", errors.New("a success without the server's seal")), -1
	case success && !isUnencoded(h):
		return unknownResult("answer", errors.New("the body is encoded, which nobody asked for")), -1
	case success && out.streaming && !out.canContinueWith(h):
		return unknownResult("answer", errors.Errorf("a stream that had begun can't go on with status %d and type %q", status, h.ContentType())), -1
	case success && a.call.route.Stream && !parser.IsBodiless(a.call.req.method, status):
		return e.forwardEvents(ctx, c, h, a, out, keepAlive)
	}
	return e.bufferResponse(c, h, a, out, keepAlive)
}

// recordBrittle records that a service's servers fall over if they refuse too many requests.
func (e *Relayer) recordBrittle(h *fasthttp.ResponseHeader, service string) {
	if e.headers.Brittle == "" {
		return
	}
	n, err := strconv.Atoi(strings.TrimSpace(string(h.Peek(e.headers.Brittle))))
	if err != nil || n < 0 {
		return
	}
	now := time.Now()
	if !e.balancer.IsBrittle(now, service) {
		e.log.Warn("backend servers fall over if they refuse too many requests, pacing them", service)
	}
	e.balancer.SetBrittle(now, service, n)
}

// pauseServer sends a server nothing for as many seconds as it asked for.
func (e *Relayer) pauseServer(server balancer.Choice, retryAfter string) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64)
	if err != nil || !(seconds > 0) {
		return
	}
	e.balancer.Pause(server.Key, time.Now().Add(time.Duration(min(seconds, maxRetryAfterSeconds)*float64(time.Second))))
}

// bufferResponse reads a response that isn't an event stream into memory; a large one is forwarded as it arrives.
func (e *Relayer) bufferResponse(c *conn, h *fasthttp.ResponseHeader, a *attempt, out *responseWriter, keepAlive time.Duration) (attemptResult, time.Duration) {
	b := newResponseBody(c.br, h, a.call.req.method)
	a.framing = b.framing()
	data, complete, err := b.readPrefix(maxBufferedBytes, a.call.req.memory)
	switch {
	case isNoRoom(err):
		return noRoomResult(err), -1
	case err != nil:
		return unknownResult("body", err), -1
	case !complete && !isSuccess(a.status):
		return unknownResult("body", errors.New("a failure with a large body")), -1
	case !complete:
		return e.forwardBody(h, b, data, out, keepAlive)
	case a.framing == framingClose:
		keepAlive = -1
	}
	r := attemptResult{outcome: outcomeAnswered, status: a.status, body: data, fields: responseFields(h), result: balancer.OK}
	switch {
	case a.status == http.StatusMisdirectedRequest:
		r.outcome, r.misdirected, r.result, r.reason = outcomeNotRun, true, balancer.Rejected, "the server is not the one that was meant, or lacks the adapter"
	case len(h.Peek(e.headers.NotRun)) > 0:
		r.outcome, r.result, r.reason = outcomeNotRun, balancer.Rejected, "the server rejected the request with status "+strconv.Itoa(a.status)
	case impliesNotRun(a.status) && !a.call.route.Idempotent():
		return unknownResult("answer", errors.Errorf("status %d without the server's word that it didn't run the request", a.status)), keepAlive
	case a.status >= http.StatusInternalServerError:
		r.result, r.reason = balancer.Failed, "the server failed with status "+strconv.Itoa(a.status)
	}
	if out.streaming && r.outcome == outcomeAnswered {
		// The caller has received events from an earlier server; this response neither continues nor ends them.
		r.outcome, r.reason = outcomeCut, "the server answered a stream that had begun with status "+strconv.Itoa(a.status)
	}
	return r, keepAlive
}

// impliesNotRun reports whether a status tells callers that the request did not and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isUnencoded reports whether the body has no content encoding; callers request none.
func isUnencoded(h *fasthttp.ResponseHeader) bool {
	v := string(h.Peek("Content-Encoding"))
	return v == "" || strings.EqualFold(v, "identity")
}

// responseFields returns the response headers that are forwarded to the caller.
func responseFields(h *fasthttp.ResponseHeader) []field {
	var out []field
	for k, v := range h.All() {
		name := http.CanonicalHeaderKey(string(k))
		if !hopByHop[name] {
			out = append(out, field{name, string(v)})
		}
	}
	return out
}
