package sender

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/parser"
	"redwingstage.org/stage/streamer"
)

const (
	defaultMaxAnswerBytes   = 16 << 20
	defaultReadTimeout      = 1 * time.Second
	defaultFirstByteTimeout = 2 * time.Second
	bodyEndTimeout          = 20 * time.Millisecond
	// maxInterimAnswers bounds the 1xx responses before an answer.
	maxInterimAnswers = 8
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
	// NewConn requires a new connection: on a pooled one, a lost request looks like one that arrived.
	NewConn bool
	// FirstByteTimeout is the first-byte timeout; 0 is the default.
	FirstByteTimeout time.Duration
	// ResumeAttempt is the attempt whose stream is resumed after Offset events.
	ResumeAttempt string
	Offset        int
}

// Reply is the end of a call and what was received.
type Reply struct {
	End streamer.End
	// Status is the HTTP status, 0 without an answer.
	Status int
	Type   string
	Body   []byte
	// Events counts the events passed to the sink.
	Events int
	// Incarnation is the server's incarnation, if it answered.
	Incarnation string
	// AdapterMissing reports that the engine doesn't hold the adapter.
	AdapterMissing bool
	// Finished reports that the server no longer runs the attempt.
	Finished bool
}

// Sender sends calls on pooled connections to backend servers.
type Sender struct {
	pool             *pool
	maxAnswerBytes   int
	readTimeout      time.Duration
	firstByteTimeout time.Duration
	// beforeControlWrite is a test hook that simulates a suspended process.
	beforeControlWrite func()
	// skipEchoCheck is set by tests through reflection: skip the checks of echoed headers and IDs.
	skipEchoCheck bool
	// acceptUnmarkedEnd is set by tests through reflection: accept a stream without its end marker.
	acceptUnmarkedEnd bool
}

// Option configures a Sender.
type Option func(*Sender)

// WithMaxAnswer limits the bytes of a whole answer.
func WithMaxAnswer(n int) Option { return func(s *Sender) { s.maxAnswerBytes = n } }

// WithReadTimeouts sets the read timeouts within a stream and for an answer's first byte.
func WithReadTimeouts(between, first time.Duration) Option {
	return func(s *Sender) { s.readTimeout, s.firstByteTimeout = between, first }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(s *Sender) { s.pool.dial = dial }
}

// New returns a Sender.
func New(opts ...Option) *Sender {
	s := &Sender{pool: newPool(), maxAnswerBytes: defaultMaxAnswerBytes, readTimeout: defaultReadTimeout, firstByteTimeout: defaultFirstByteTimeout}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Close closes the idle connections; calls in flight end with their contexts.
func (s *Sender) Close() { s.pool.close() }

// CloseIdle closes the idle connections to a server that restarted.
func (s *Sender) CloseIdle(addr string) { s.pool.closeIdle(addr) }

// Call writes the call once and reads its answer; stream events go to sink as they come.
func (s *Sender) Call(ctx context.Context, call Call, sink streamer.Sink) Reply {
	c, err := s.pool.take(ctx, call.Addr, call.NewConn)
	if err != nil {
		return Reply{End: notRunEnd(streamer.ReasonUnreachable, err), Finished: true}
	}
	stop := context.AfterFunc(ctx, c.discard)
	reply, reusable := s.exchange(ctx, c, call, sink)
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

// exchange returns the reply and whether the connection can be reused: it has no unread bytes.
func (s *Sender) exchange(ctx context.Context, c *conn, call Call, sink streamer.Sink) (Reply, bool) {
	if err := writeCall(c, call); err != nil {
		if c.bytesWritten == 0 {
			return Reply{End: notRunEnd(streamer.ReasonUnreachable, err), Finished: true}, false
		}
		return Reply{End: unknownEnd(err)}, false
	}
	c.readTimeout = s.firstByteTimeout
	if call.FirstByteTimeout > 0 {
		c.readTimeout = call.FirstByteTimeout
	}
	h, err := readHead(c.br)
	if err != nil {
		return Reply{End: unknownEnd(err)}, false
	}
	reply := Reply{Status: h.StatusCode(), Incarnation: string(h.Peek(marker.Incarnation))}
	reply.Type = string(h.ContentType())
	if err := s.checkEcho(h, call); err != nil {
		reply.End = unknownEnd(err)
		return reply, false
	}
	body := newBody(c.br, h, call.Method)
	if call.Stream && reply.Status == fasthttp.StatusOK {
		reusable := s.readStream(c, body, call, sink, &reply)
		return reply, reusable && !h.ConnectionClose()
	}
	reusable := s.readWhole(body, call, &reply)
	if reply.End.Outcome == retrier.Done && body.Length() == parser.LengthUntilClose {
		if err := s.confirmEnd(ctx, call, reply.Incarnation); err != nil {
			reply.End, reply.Finished = unknownEnd(errors.Wrap(err, "answer without a length")), false
		}
	}
	return reply, reusable && !h.ConnectionClose()
}

// confirmEnd returns nil if the server's process outlived its answer: the kernel ends the connections of one that is killed in order, too.
func (s *Sender) confirmEnd(ctx context.Context, call Call, incarnation string) error {
	ctx, cancel := context.WithTimeout(ctx, s.firstByteTimeout)
	defer cancel()
	report, err := s.Poll(ctx, call.Addr, call.Attempt)
	switch expected := cmp.Or(incarnation, call.Incarnation); {
	case err != nil:
		return err
	case expected == "" || report.Incarnation != expected:
		return errors.Errorf("it came from incarnation %q, and %q lives", expected, report.Incarnation)
	}
	return nil
}

// readHead reads the head of an answer after the interim ones before it. Callers may read the errors, which hold no byte of a head.
func readHead(br *bufio.Reader) (*fasthttp.ResponseHeader, error) {
	for range maxInterimAnswers {
		raw, err := parser.PeekHead(br, br.Size())
		if err != nil {
			return nil, err
		}
		head, err := parser.ParseResponse(raw)
		if err != nil {
			return nil, err
		}
		if head.Status() == fasthttp.StatusSwitchingProtocols {
			return nil, errors.New("the server switches to another protocol, which nobody asked for")
		}
		var h fasthttp.ResponseHeader
		if err := h.Read(br); err != nil {
			// The error quotes the head and what follows it.
			return nil, errors.New("the head can't be read")
		}
		if head.Status() >= fasthttp.StatusOK {
			return &h, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// newBody returns the body of the answer to a call with the method.
func newBody(br *bufio.Reader, h *fasthttp.ResponseHeader, method string) *parser.Body {
	if parser.IsBodiless(method, h.StatusCode()) {
		return parser.NewBody(br, 0)
	}
	return parser.NewBody(br, h.ContentLength())
}

// checkEcho compares the identifiers echoed in the answer's header with those of the call.
func (s *Sender) checkEcho(h *fasthttp.ResponseHeader, call Call) error {
	if s.skipEchoCheck {
		return nil
	}
	if string(h.Peek(marker.Attempt)) != call.Attempt {
		return errors.Wrap(errMismatch, "attempt")
	}
	if call.Model == "" || h.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	if string(h.Peek(marker.Model)) != call.Model {
		return errors.Wrap(errMismatch, "model")
	}
	if call.Incarnation != "" && string(h.Peek(marker.Incarnation)) != call.Incarnation {
		return errors.Wrap(errMismatch, "incarnation")
	}
	if call.ResumeAttempt == "" {
		return nil
	}
	attempt, offset := string(h.Peek(marker.ResumedAttempt)), string(h.Peek(marker.ResumeOffset))
	if attempt != call.ResumeAttempt || offset != strconv.Itoa(call.Offset) {
		return errors.Wrap(errMismatch, "resumed attempt or offset")
	}
	return nil
}

func (s *Sender) readStream(c *conn, body io.Reader, call Call, sink streamer.Sink, reply *Reply) bool {
	attempt := call.Attempt
	if call.ResumeAttempt != "" {
		attempt = call.ResumeAttempt
	}
	br := acquireReader(body)
	defer releaseReader(br)
	events := eventReader{r: br, attempt: attempt, anyID: s.skipEchoCheck, resumingAttempt: call.Attempt}
	for {
		event, done, err := events.next()
		if err != nil {
			if s.acceptUnmarkedEnd && errors.Is(err, errTruncated) {
				reply.End = streamer.End{Outcome: retrier.Done}
				return false
			}
			reply.End = unknownEnd(err)
			return false
		}
		c.readTimeout = s.readTimeout
		if reply.Events == 0 {
			sink.Head(streamer.Head{Status: reply.Status, Type: reply.Type})
		}
		if err := sink.Data(event); err != nil {
			reply.End = unknownEnd(err)
			return false
		}
		reply.Events++
		if done {
			reply.End, reply.Finished = streamer.End{Outcome: retrier.Done}, true
			return bodyEnded(c, br)
		}
	}
}

// bodyEnded reports whether the body ends right after the end marker.
func bodyEnded(c *conn, br *bufio.Reader) bool {
	c.readTimeout = bodyEndTimeout
	_, err := br.ReadByte()
	return errors.Is(err, io.EOF)
}

func (s *Sender) readWhole(body io.Reader, call Call, reply *Reply) bool {
	b, err := io.ReadAll(io.LimitReader(body, int64(s.maxAnswerBytes)+1))
	switch {
	case err != nil:
		reply.End = unknownEnd(errors.Wrap(errTruncated, err.Error()))
		return false
	case len(b) > s.maxAnswerBytes:
		reply.End = unknownEnd(errOversized)
		return false
	}
	reply.Body, reply.Finished = b, true
	reply.End = answerEnd(reply.Status, b, call)
	reply.AdapterMissing = reply.Status == fasthttp.StatusNotFound && call.Model != ""
	return true
}

func writeCall(c *conn, call Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.URI)
	req.Header.SetHost(call.Addr)
	req.Header.Set(marker.Attempt, call.Attempt)
	setNonEmpty(req, marker.RequestID, call.Request)
	setNonEmpty(req, marker.IdempotencyKey, call.Key)
	setNonEmpty(req, fasthttp.HeaderAccept, call.Accept)
	if call.ResumeAttempt != "" {
		req.Header.Set(marker.ResumedAttempt, call.ResumeAttempt)
		req.Header.Set(marker.ResumeOffset, strconv.Itoa(call.Offset))
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

func setNonEmpty(req *fasthttp.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}
