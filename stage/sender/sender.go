package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

const (
	defaultMaxAnswer = 16 << 20
	defaultSilence   = 1 * time.Second
	defaultFirst     = 2 * time.Second
	drainTimeout     = 20 * time.Millisecond
)

// Call is one attempt to be sent to a backend server.
type Call struct {
	Attempt     string
	Addr        string
	Incarnation string
	Method      string
	URI         string
	Type        string
	Accept      string
	Request     string
	Body        []byte
	// Model is the name that an engine must echo, or "" for plain services.
	Model  string
	Stream bool
	// Key is the idempotency key, or "".
	Key string
	// Fresh requires a new connection: a request lost on a pooled one can't be told from one that arrived.
	Fresh bool
	// Wait is the timeout for the answer's first byte; 0 means the default.
	Wait time.Duration
	// Resume is the earlier attempt whose stream this call resumes after Offset events, or "".
	Resume string
	Offset int
}

// Reply is the end of a call and what was received.
type Reply struct {
	End streamer.End
	// Status is the HTTP status, 0 without an answer.
	Status int
	Type   string
	Body   []byte
	// Events counts the events that were passed to the sink.
	Events int
	// Incarnation is the server's incarnation, if it answered.
	Incarnation string
	// Missing reports that the engine doesn't hold the adapter.
	Missing bool
	// Settled reports that the server no longer runs the attempt.
	Settled bool
}

// Sender sends calls to backend servers and pools the connections to them.
type Sender struct {
	pool      *pool
	maxAnswer int
	silence   time.Duration
	first     time.Duration
	// frozen is called right before a control call is written; tests use it to simulate a suspended process.
	frozen func()
	// unchecked disables the checks of echoed headers and IDs; tests set it by reflection to check that they detect this.
	unchecked bool
	// unmarked accepts a stream without its end marker; set by tests like unchecked.
	unmarked bool
}

// Option configures a Sender.
type Option func(*Sender)

// WithMaxAnswer limits the bytes of a whole answer.
func WithMaxAnswer(n int) Option { return func(s *Sender) { s.maxAnswer = n } }

// WithSilence sets the timeouts for the next bytes of an open stream and for the first byte of an answer.
func WithSilence(between, first time.Duration) Option {
	return func(s *Sender) { s.silence, s.first = between, first }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(s *Sender) { s.pool.dial = dial }
}

// New returns a Sender.
func New(opts ...Option) *Sender {
	s := &Sender{pool: newPool(), maxAnswer: defaultMaxAnswer, silence: defaultSilence, first: defaultFirst}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Close closes the idle connections; calls in flight end with their contexts.
func (s *Sender) Close() { s.pool.close() }

// Drop closes the idle connections to a server that restarted.
func (s *Sender) Drop(addr string) { s.pool.drop(addr) }

// Call writes the call once and reads its answer; stream events go to sink as they come.
func (s *Sender) Call(ctx context.Context, call Call, sink streamer.Sink) Reply {
	c, err := s.pool.take(ctx, call.Addr, call.Fresh)
	if err != nil {
		return Reply{End: notRun(streamer.ReasonUnreachable, err), Settled: true}
	}
	stop := context.AfterFunc(ctx, c.discard)
	reply, reusable := s.exchange(c, call, sink)
	if !stop() {
		reusable = false
	}
	if ctx.Err() != nil && reply.End.Outcome == retrier.Unknown {
		reply.End.Reason = streamer.ReasonCancelled
	}
	if reusable {
		s.pool.put(call.Addr, c)
	} else {
		c.discard()
	}
	return reply
}

// exchange sends the call and returns the reply, and whether the connection has no unread bytes and may be reused.
func (s *Sender) exchange(c *conn, call Call, sink streamer.Sink) (Reply, bool) {
	if err := write(c, call); err != nil {
		if c.written == 0 {
			return Reply{End: notRun(streamer.ReasonUnreachable, err), Settled: true}, false
		}
		return Reply{End: unknown(err)}, false
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody, resp.SkipBody = true, call.Method == http.MethodHead
	c.silence = s.first
	if call.Wait > 0 {
		c.silence = call.Wait
	}
	if err := resp.ReadLimitBody(c.br, 0); err != nil {
		return Reply{End: unknown(err)}, false
	}
	reply := Reply{Status: resp.StatusCode(), Incarnation: string(resp.Header.Peek(marker.Incarnation))}
	reply.Type = string(resp.Header.ContentType())
	if err := s.check(&resp.Header, call); err != nil {
		reply.End = unknown(err)
		return reply, false
	}
	body := resp.BodyStream()
	if body == nil {
		// fasthttp returns nil if the status or the method allows no body.
		body = http.NoBody
	}
	if call.Stream && reply.Status == fasthttp.StatusOK {
		reusable := s.stream(c, body, call, sink, &reply)
		return reply, reusable && !resp.ConnectionClose()
	}
	reusable := s.whole(body, call, &reply)
	return reply, reusable && !resp.ConnectionClose()
}

// check compares the attempt, model, incarnation and offset that the answer's header echoes with those of the call.
func (s *Sender) check(h *fasthttp.ResponseHeader, call Call) error {
	if s.unchecked {
		return nil
	}
	if string(h.Peek(marker.Attempt)) != call.Attempt {
		return errors.Wrapf(errCrossed, "answer names attempt %q", h.Peek(marker.Attempt))
	}
	if call.Model == "" || h.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	if string(h.Peek(marker.Model)) != call.Model {
		return errors.Wrapf(errCrossed, "answer names model %q", h.Peek(marker.Model))
	}
	if call.Incarnation != "" && string(h.Peek(marker.Incarnation)) != call.Incarnation {
		return errors.Wrapf(errCrossed, "answer names incarnation %q", h.Peek(marker.Incarnation))
	}
	if call.Resume == "" {
		return nil
	}
	attempt, offset := string(h.Peek(marker.Resume)), string(h.Peek(marker.Offset))
	if attempt != call.Resume || offset != strconv.Itoa(call.Offset) {
		return errors.Wrapf(errCrossed, "answer resumes attempt %q after %q events", attempt, offset)
	}
	return nil
}

func (s *Sender) stream(c *conn, body io.Reader, call Call, sink streamer.Sink, reply *Reply) bool {
	named := call.Attempt
	if call.Resume != "" {
		named = call.Resume
	}
	br := acquireReader(body)
	defer releaseReader(br)
	events := eventReader{r: br, attempt: named, lenient: s.unchecked, also: call.Attempt}
	for {
		event, done, err := events.next()
		if err != nil {
			if s.unmarked && errors.Is(err, errBroken) {
				reply.End = streamer.End{Outcome: retrier.Done}
				return false
			}
			reply.End = unknown(err)
			return false
		}
		c.silence = s.silence
		if reply.Events == 0 {
			sink.Head(streamer.Head{Status: reply.Status, Type: reply.Type})
		}
		if err := sink.Data(event); err != nil {
			reply.End = unknown(err)
			return false
		}
		reply.Events++
		if done {
			reply.End, reply.Settled = streamer.End{Outcome: retrier.Done}, true
			return drained(c, br)
		}
	}
}

// drained reports whether the body ends right after the end marker.
func drained(c *conn, br *bufio.Reader) bool {
	c.silence = drainTimeout
	_, err := br.ReadByte()
	return errors.Is(err, io.EOF)
}

func (s *Sender) whole(body io.Reader, call Call, reply *Reply) bool {
	b, err := io.ReadAll(io.LimitReader(body, int64(s.maxAnswer)+1))
	switch {
	case err != nil:
		reply.End = unknown(errors.Wrap(errBroken, err.Error()))
		return false
	case len(b) > s.maxAnswer:
		reply.End = unknown(errOversized)
		return false
	}
	reply.Body, reply.Settled = b, true
	reply.End = judge(reply.Status, b, call)
	reply.Missing = reply.Status == fasthttp.StatusNotFound && call.Model != ""
	return true
}

func write(c *conn, call Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.URI)
	req.Header.SetHost(call.Addr)
	req.Header.Set(marker.Attempt, call.Attempt)
	setIf(req, marker.Request, call.Request)
	setIf(req, marker.Key, call.Key)
	setIf(req, fasthttp.HeaderAccept, call.Accept)
	if call.Resume != "" {
		req.Header.Set(marker.Resume, call.Resume)
		req.Header.Set(marker.Offset, strconv.Itoa(call.Offset))
	}
	if call.Type != "" {
		req.Header.SetContentType(call.Type)
	}
	req.SetBodyRaw(call.Body)
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

func setIf(req *fasthttp.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}
