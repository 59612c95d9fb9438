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
	// maxStray bounds the answers to earlier requests, and maxInterim the interim answers, that are skipped on a connection.
	maxStray   = 3
	maxInterim = 8
	// largeBody is the size from which a request is written while its answer may come already, in bytes.
	largeBody = 8 << 10
	// deadlineSlack is how much longer than the engine this entry waits, so that the engine's own word arrives.
	deadlineSlack = 30 * time.Millisecond
)

// outcome says what became of an attempt.
type outcome int

const (
	// answered means that the whole answer is held; the caller has nothing of it yet.
	answered outcome = iota
	// passed means that the caller has the whole answer, but for the end of its framing.
	passed
	// left means that the caller went away.
	left
	// notRun means that the server did not and will not run the request.
	notRun
	// unsent means that no byte of the request reached a server.
	unsent
	// unknown means that the request may have run.
	unknown
	// cut means that an answer broke after a part of it was passed on.
	cut
)

// ends reports whether the request ends with the attempt.
func (o outcome) ends() bool { return o == answered || o == passed || o == left }

// outcomes names what became of an attempt.
var outcomes = map[outcome]string{
	answered: "answered", passed: "passed", left: "left", notRun: "not run", unsent: "unsent", unknown: "unknown", cut: "cut",
}

// attempt is one try of a call at one server.
type attempt struct {
	call   *call
	choice balancer.Choice
	// resume is the last event that the caller has, once one was passed on.
	resume string
	// after is what resume was when the attempt began; status is the server's, first its first event.
	after  string
	status int
	first  string
	// unframed says that the answer's body ends with the connection.
	unframed bool
}

// entry returns what the log tells of the attempt once it has ended.
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

// reply is what an attempt brought.
type reply struct {
	outcome outcome
	reason  string
	// missing says that the server doesn't hold the adapter or version, or isn't the one that was meant.
	missing bool
	// next is the server at which the request goes on, if it is chosen already; the budget has paid for it.
	next   *balancer.Choice
	status int
	fields []field
	body   []byte
	result balancer.Result
}

func lost(reason string, err error) reply {
	return reply{outcome: unknown, reason: reason + ": " + err.Error(), result: balancer.Failed}
}

// exchange makes one attempt; events of a stream go to out as they come.
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

// talk writes the request and reads its answer; it returns how long the connection may be kept, or -1.
func (e *Relayer) talk(ctx context.Context, c *conn, a *attempt, out *answer) (reply, time.Duration) {
	left := time.Until(a.call.deadline)
	if left <= 0 {
		return reply{outcome: unsent, reason: "no time is left", result: balancer.Void}, 0
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
		// The server answered before it has read the request; the rest of it must not be taken for another one.
	}
	if a.unframed && (r.outcome == answered || r.outcome == passed) {
		// A reset ends the write with its error, and the read as if the server had closed the connection.
		r = lost("body", errors.New("the connection ended before the request was written, and the answer has no length"))
		if out.begun {
			r.outcome = cut
		}
	}
	return r, -1
}

// serialize returns the request as it goes to the server.
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

// read reads the answer; interim ones and those of earlier requests on the connection are skipped.
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
			// A first answer that names no request can only belong to the connection's first one.
			return e.take(ctx, c, h, a, out)
		case named == "":
			return lost("read", errors.New("an answer that names no request came on a connection that was used before")), -1
		default:
			if err := skipBody(c.br, h); err != nil {
				return lost("skip an answer to another request", err), -1
			}
			stray++
		}
	}
	return lost("read", errors.New("the answer belongs to another request")), -1
}

// take judges an answer by its head and reads its body.
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
		return lost("answer", errors.New("a success without the server's seal")), -1
	case success && !isPlain(h):
		return lost("answer", errors.Errorf("the body is encoded as %q, which nobody asked for", h.Peek("Content-Encoding"))), -1
	case success && out.begun && !out.continuedBy(h):
		return lost("answer", errors.Errorf("a stream that had begun can't go on with status %d and type %q", status, h.ContentType())), -1
	case success && a.call.route.Stream && !isBodiless(a.call.req.method, status):
		return e.stream(ctx, c, h, a, out, keep)
	}
	return e.hold(c, h, a, out, keep)
}

// hold reads an answer that isn't a stream; a large one is passed on as it comes.
func (e *Relayer) hold(c *conn, h *fasthttp.ResponseHeader, a *attempt, out *answer, keep time.Duration) (reply, time.Duration) {
	b := newBody(c.br, h, a.call.req.method)
	a.unframed = b.delimit == untilClose
	data, whole, err := b.head(heldAnswer)
	switch {
	case err != nil:
		return lost("body", err), -1
	case !whole && !isSuccess(a.status):
		return lost("body", errors.New("a failure with a large body")), -1
	case !whole:
		return e.pass(h, b, data, out, keep)
	case a.unframed:
		keep = -1
	}
	r := reply{outcome: answered, status: a.status, body: data, fields: answerFields(h), result: balancer.OK}
	switch {
	case a.status == http.StatusMisdirectedRequest:
		r.outcome, r.missing, r.result, r.reason = notRun, true, balancer.Rejected, "the server is not the one that was meant, or lacks the adapter"
	case len(h.Peek(e.names.NotRun)) > 0:
		r.outcome, r.result, r.reason = notRun, balancer.Rejected, "the server rejected the request with status "+strconv.Itoa(a.status)
	case promisesNotRun(a.status) && !a.call.route.Idempotent():
		return lost("answer", errors.Errorf("status %d without the server's word that it didn't run the request", a.status)), keep
	case a.status >= http.StatusInternalServerError:
		r.result, r.reason = balancer.Failed, "the server failed with status "+strconv.Itoa(a.status)
	}
	if out.begun && r.outcome == answered {
		// The caller has events of an earlier run; this answer neither follows nor ends them.
		r.outcome, r.reason = cut, "the server answered a stream that had begun with status "+strconv.Itoa(a.status)
	}
	return r, keep
}

// promisesNotRun reports whether callers take a status for a promise that the request did not and will not run.
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

// isPlain reports whether a body comes as the server made it; callers ask for no encoding.
func isPlain(h *fasthttp.ResponseHeader) bool {
	v := string(h.Peek("Content-Encoding"))
	return v == "" || strings.EqualFold(v, "identity")
}

// answerFields returns the headers of an answer that go to the caller.
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
