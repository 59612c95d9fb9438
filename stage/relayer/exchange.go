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
	"redwingstage.org/stage/logger"
)

const (
	// maxStray bounds the responses to earlier requests, and maxInterim the 1xx responses, that are skipped on a connection.
	maxStray   = 3
	maxInterim = 8
	// largeBody is the request size in bytes above which the response is read while the request is still being written.
	largeBody = 8 << 10
	// deadlineSlack is how much longer than the engine this entry waits, so that the engine's own response arrives.
	deadlineSlack = 30 * time.Millisecond
)

// outcome says how an attempt ended.
type outcome int

const (
	// answered means that the complete response is buffered and nothing of it was sent.
	answered outcome = iota
	// passed means that the complete response was sent, except for its last chunk.
	passed
	// left means that the caller disconnected.
	left
	// notRun means that the server did not and will not run the request.
	notRun
	// unsent means that no byte of the request reached a server.
	unsent
	// unknown means that the request may have run.
	unknown
	// cut means that the response broke off after a part of it was sent.
	cut
)

// ends reports whether the request ends with the attempt.
func (o outcome) ends() bool { return o == answered || o == passed || o == left }

// outcomes are the names of outcomes in the log.
var outcomes = map[outcome]string{
	answered: "answered", passed: "passed", left: "left", notRun: "not run", unsent: "unsent", unknown: "unknown", cut: "cut",
}

// attempt is one attempt of a call at one server.
type attempt struct {
	call   *call
	choice balancer.Choice
	// resume is the id of the last event that the caller received, "" if none was sent.
	resume string
	// after is the value of resume when the attempt began; status is the server's, first the id of its first event.
	after  string
	status int
	first  string
	// unframed says that the response's body ends with the connection.
	unframed bool
}

// entry returns the log entry of an attempt that has ended.
func (a *attempt) entry(r reply) logger.Attempt {
	l := logger.Attempt{
		Server: a.choice.Key.ID, Outcome: outcomes[r.outcome], Reason: r.reason, Status: a.status, After: a.after,
		First: a.first, Took: time.Since(a.call.chosen),
	}
	if a.first != "" {
		l.Last = a.resume
	}
	return l
}

// reply is the result of an attempt.
type reply struct {
	outcome outcome
	reason  string
	// missing says that the server doesn't hold the adapter or version, or isn't the one that the request names.
	missing bool
	// next is the server of the next attempt, if it is chosen already; the retry budget is charged for it.
	next   *balancer.Choice
	status int
	fields []field
	body   []byte
	result balancer.Result
}

func lost(reason string, err error) reply {
	return reply{outcome: unknown, reason: reason + ": " + err.Error(), result: balancer.Failed}
}

// exchange makes one attempt; a stream's events are written to out as they arrive.
func (e *Relayer) exchange(ctx context.Context, a *attempt, out *answer) reply {
	c, err := e.pool.take(ctx, a.choice.Instance, e.connLimit(a.choice.Service))
	if err != nil {
		r := reply{outcome: unsent, reason: "connect: " + err.Error(), result: balancer.Unreachable}
		if errors.Is(err, errCrowded) {
			r.result = balancer.Void
		}
		if ctx.Err() != nil {
			r.result = balancer.Void
		}
		return r
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r, keep := e.talk(ctx, c, a, out)
	if !stop() {
		keep = -1
	}
	if ctx.Err() != nil && r.outcome == unknown {
		r.result = balancer.Void
	}
	if keep < 0 {
		_ = c.Close()
	} else {
		e.pool.put(c, keep)
	}
	return r
}

// talk writes the request and reads its response; it returns the server's keep-alive timeout, 0 if unknown, or -1 to close.
func (e *Relayer) talk(ctx context.Context, c *conn, a *attempt, out *answer) (reply, time.Duration) {
	left := time.Until(a.call.deadline)
	if left <= 0 {
		return reply{outcome: unsent, reason: "the deadline has passed", result: balancer.Void}, 0
	}
	if err := c.SetDeadline(a.call.deadline.Add(deadlineSlack)); err != nil {
		return reply{outcome: unsent, reason: err.Error(), result: balancer.Unreachable}, -1
	}
	data := e.serialize(a, left)
	written := make(chan error, 1)
	if len(data) > largeBody {
		go func() {
			_, err := c.Write(data)
			written <- err
		}()
	} else {
		_, err := c.Write(data)
		if err != nil {
			return lost("write", err), -1
		}
		written <- nil
	}
	r, keep := e.read(ctx, c, a, out)
	select {
	case err := <-written:
		if err == nil {
			return r, keep
		}
	default:
		// The server responded before it read the whole request; on a reused connection the rest would look like a new request.
	}
	if a.unframed && (r.outcome == answered || r.outcome == passed) {
		// The write returns a reset's error; the read returns io.EOF as if the server had closed the connection.
		r = lost("body", errors.New("the connection ended before the request was written, and the response has no length"))
		if out.begun {
			r.outcome = cut
		}
	}
	return r, -1
}

// serialize returns the request as it is sent to the server.
func (e *Relayer) serialize(a *attempt, left time.Duration) []byte {
	n := e.names
	var b bytes.Buffer
	b.Grow(len(a.call.head) + len(a.call.req.body) + 256)
	if a.resume == "" {
		b.Write(a.call.head)
	} else {
		b.Write(a.call.headWithout(n.Resume))
		fmt.Fprintf(&b, "%s: %s\r\n", n.Resume, a.resume)
	}
	fmt.Fprintf(&b, "%s: %d\r\n%s: %s\r\n", n.Deadline, max(left.Milliseconds(), 1), n.Expect, a.choice.Key.ID)
	if a.choice.Version > 0 && a.call.adapter.Name != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", n.ExpectVersion, a.choice.Version)
	}
	if a.call.route.Stream {
		fmt.Fprintf(&b, "%s: %d\r\n", n.Priority, min(a.call.route.Rank, 9))
	}
	b.WriteString("\r\n")
	b.Write(a.call.req.body)
	return b.Bytes()
}

// read reads the response; 1xx responses and those to earlier requests on the connection are skipped.
func (e *Relayer) read(ctx context.Context, c *conn, a *attempt, out *answer) (reply, time.Duration) {
	for stray, interim := 0, 0; stray < maxStray && interim < maxInterim; {
		h, err := readAnswerHead(c.br)
		if err != nil {
			return lost("read", err), -1
		}
		named := string(h.Peek(e.names.Attempt))
		switch {
		case h.StatusCode() < http.StatusOK:
			interim++
		case named == a.call.id, named == "" && !c.used && stray == 0:
			// A new connection's first response without an attempt id can only belong to its first request.
			return e.take(ctx, c, h, a, out)
		case named == "":
			return lost("read", errors.New("a response without an attempt id came on a reused connection")), -1
		default:
			if err := skipBody(c.br, h); err != nil {
				return lost("skip a response to another request", err), -1
			}
			stray++
		}
	}
	return lost("read", errors.New("the response belongs to another request")), -1
}

// take checks a response's head and reads its body.
func (e *Relayer) take(ctx context.Context, c *conn, h *fasthttp.ResponseHeader, a *attempt, out *answer) (reply, time.Duration) {
	status := h.StatusCode()
	a.status = status
	keep := keepAlive(string(h.Peek("Keep-Alive")))
	if h.ConnectionClose() {
		keep = -1
	}
	success := isSuccess(status)
	switch {
	case success && len(h.Peek(e.names.Seal)) == 0:
		return lost("answer", errors.New("a successful response without the server's seal")), -1
	case success && !isPlain(h):
		return lost("answer", errors.Errorf("the body has the encoding %q, which the request does not accept", h.Peek("Content-Encoding"))), -1
	case success && out.begun && !out.continuedBy(h):
		return lost("answer", errors.Errorf("the stream can't continue with status %d and type %q", status, h.ContentType())), -1
	case success && a.call.route.Stream && !isBodiless(a.call.req.method, status):
		return e.stream(ctx, c, h, a, out, keep)
	}
	return e.hold(c, h, a, out, keep)
}

// hold reads a response that isn't an event stream into memory; a large one is forwarded as it arrives.
func (e *Relayer) hold(c *conn, h *fasthttp.ResponseHeader, a *attempt, out *answer, keep time.Duration) (reply, time.Duration) {
	b := newBody(c.br, h, a.call.req.method)
	a.unframed = b.delimit == untilClose
	data, whole, err := b.head(heldAnswer)
	switch {
	case err != nil:
		return lost("body", err), -1
	case !whole && !isSuccess(a.status):
		return lost("body", errors.New("an error response with a large body")), -1
	case !whole:
		return e.pass(h, b, data, out, keep)
	case a.unframed:
		keep = -1
	}
	r := reply{outcome: answered, status: a.status, body: data, fields: answerFields(h), result: balancer.OK}
	switch {
	case a.status == http.StatusMisdirectedRequest:
		r.outcome, r.missing, r.result, r.reason = notRun, true, balancer.Rejected, "the server is not the expected one, or lacks the adapter"
	case len(h.Peek(e.names.NotRun)) > 0:
		r.outcome, r.result, r.reason = notRun, balancer.Rejected, "the server rejected the request with status "+strconv.Itoa(a.status)
	case promisesNotRun(a.status) && !a.call.route.Idempotent():
		return lost("answer", errors.Errorf("status %d without the server's statement that it did not run the request", a.status)), keep
	case a.status >= http.StatusInternalServerError:
		r.result, r.reason = balancer.Failed, "the server failed with status "+strconv.Itoa(a.status)
	}
	if out.begun && r.outcome == answered {
		// The caller has received events from an earlier server; this response neither continues nor ends them.
		r.outcome, r.reason = cut, "a stream was to be resumed, but the server responded with status "+strconv.Itoa(a.status)
	}
	return r, keep
}

// promisesNotRun reports whether a status tells callers that the request did not and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isPlain reports whether the body has no content encoding; callers ask for none.
func isPlain(h *fasthttp.ResponseHeader) bool {
	v := string(h.Peek("Content-Encoding"))
	return v == "" || strings.EqualFold(v, "identity")
}

// answerFields returns the response headers that are forwarded to the caller.
func answerFields(h *fasthttp.ResponseHeader) []field {
	var out []field
	for k, v := range h.All() {
		name := http.CanonicalHeaderKey(string(k))
		if !hopByHop[name] {
			out = append(out, field{name, string(v)})
		}
	}
	return out
}
