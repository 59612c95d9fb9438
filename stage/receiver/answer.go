package receiver

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/assembler"
	"redwingstage.org/stage/streamer"
)

func (r *Receiver) generate(c fiber.Ctx) error {
	req, streamed, p := r.generation(c, time.Now())
	if p != nil {
		return r.refuse(c, *p)
	}
	if streamed {
		return r.stream(c, req)
	}
	return r.whole(c, req)
}

func (r *Receiver) plain(c fiber.Ctx) error {
	req, p := r.service(c, time.Now())
	if p != nil {
		return r.refuse(c, *p)
	}
	return r.whole(c, req)
}

// whole buffers the answer and sends it once it is complete.
func (r *Receiver) whole(c fiber.Ctx, req *streamer.Request) error {
	ctx, cancel := context.WithDeadline(r.ctx, req.Deadline)
	defer cancel()
	answer := &collector{}
	end := timedOut(ctx, r.Doer.Do(ctx, req, answer))
	if end.Outcome == retrier.Done && answer.opened && end.Reason == "" {
		if err := answer.assemble(req.Stream); err != nil {
			return r.problem(c, req, streamer.End{Reason: streamer.ReasonFailed, Message: err.Error()})
		}
		c.Set(marker.Outcome, end.Outcome.String())
		c.Set(fiber.HeaderContentType, answer.head.Type)
		r.ended(req, end, answer.head.Status, time.Now())
		return c.Status(answer.head.Status).Send(answer.body)
	}
	return r.problem(c, req, end)
}

func (r *Receiver) problem(c fiber.Ctx, req *streamer.Request, end streamer.End) error {
	p := newProblem(end)
	c.Set(marker.Outcome, end.Outcome.String())
	r.ended(req, end, p.status, time.Now())
	return p.send(c)
}

// stream passes server-sent events on as they arrive.
func (r *Receiver) stream(c fiber.Ctx, req *streamer.Request) error {
	ctx, cancel := context.WithDeadline(r.ctx, req.Deadline)
	answer := streamer.New(r.cfg.MaxUnread)
	r.open.Add(1)
	r.wg.Go(func() {
		defer r.open.Add(-1)
		answer.End(timedOut(ctx, r.Doer.Do(ctx, req, answer)))
	})
	part, err := answer.Next(ctx, nil)
	for err != nil {
		// The doer returns soon after its context ends, with the request's outcome.
		part, err = answer.Next(context.Background(), nil)
	}
	if part.Ended && !part.Opened {
		cancel()
		return r.problem(c, req, part.End)
	}
	if !isEventStream(part.Head) {
		defer cancel()
		return r.rest(c, req, answer, part)
	}
	fctx := c.RequestCtx()
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Status(part.Head.Status)
	if err := fctx.Response.Header.SetTrailer(marker.Outcome); err != nil {
		cancel()
		answer.Abandon()
		return errors.Wrap(err, "announce trailer")
	}
	b := &body{receiver: r, req: req, answer: answer, cancel: cancel, header: &fctx.Response.Header, status: part.Head.Status}
	b.take(part)
	r.open.Add(1)
	fctx.Response.SetBodyStream(b, -1)
	return nil
}

// rest buffers an answer that is not an event stream and sends it once it is complete.
func (r *Receiver) rest(c fiber.Ctx, req *streamer.Request, answer *streamer.Stream, part streamer.Part) error {
	head, body := part.Head, append([]byte{}, part.Data...)
	for !part.Ended {
		next, err := answer.Next(context.Background(), part.Data)
		if err != nil {
			return err
		}
		part = next
		body = append(body, part.Data...)
	}
	if part.End.Outcome != retrier.Done {
		return r.problem(c, req, part.End)
	}
	c.Set(marker.Outcome, part.End.Outcome.String())
	c.Set(fiber.HeaderContentType, head.Type)
	r.ended(req, part.End, head.Status, time.Now())
	return c.Status(head.Status).Send(body)
}

// timedOut replaces the reason "cancelled" by "deadline" if the deadline of ctx has passed.
func timedOut(ctx context.Context, end streamer.End) streamer.End {
	if end.Reason == streamer.ReasonCancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		end.Reason, end.Message = streamer.ReasonDeadline, "the deadline passed before the whole answer came"
	}
	return end
}

// body is the io.ReadCloser from which the HTTP library reads a streamed answer.
type body struct {
	receiver *Receiver
	req      *streamer.Request
	answer   *streamer.Stream
	cancel   context.CancelFunc
	header   *fasthttp.ResponseHeader
	status   int
	held     []byte
	data     []byte
	end      streamer.End
	ended    bool
	closed   bool
}

// Read implements io.Reader; it waits for data. A broken stream ends with an error event, unlike a complete one.
func (b *body) Read(p []byte) (int, error) {
	for len(b.data) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.answer.Next(context.Background(), b.held)
		if err != nil {
			return 0, err
		}
		b.take(part)
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *body) take(part streamer.Part) {
	if part.Data != nil {
		b.held = part.Data
	}
	b.data = part.Data
	if !part.Ended {
		return
	}
	b.end, b.ended = part.End, true
	if part.End.Outcome != retrier.Done {
		b.data = append(b.data, errorEvent(part.End)...)
	}
	b.header.Set(marker.Outcome, part.End.Outcome.String())
}

// Close implements io.Closer; the HTTP library calls it after the last write, whether or not it failed.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.answer.Abandon()
	b.cancel()
	end := b.end
	if !b.ended {
		end = streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonCancelled}
	}
	b.receiver.ended(b.req, end, b.status, time.Now())
	b.receiver.open.Add(-1)
	return nil
}

// errorEvent returns the event that tells the caller that its stream broke.
func errorEvent(end streamer.End) []byte {
	event := append([]byte("event: error\ndata: "), newProblem(end).body()...)
	return append(event, "\n\n"...)
}

func (r *Receiver) ended(req *streamer.Request, end streamer.End, status int, now time.Time) {
	met := end.Outcome == retrier.Done && now.Before(req.Deadline)
	r.Meter.Ended(req.Class, end.Outcome.String(), met)
	r.Log.Request(req.ID, req.Target.String(), end.Outcome.String(), string(end.Reason), status)
}

// collector is a Sink that buffers a whole answer.
type collector struct {
	head   streamer.Head
	opened bool
	body   []byte
}

// Head implements streamer.Sink; only the first call counts, since resumed attempts call it again.
func (c *collector) Head(h streamer.Head) {
	if !c.opened {
		c.head, c.opened = h, true
	}
}

// Data implements streamer.Sink.
func (c *collector) Data(b []byte) error {
	c.body = append(c.body, b...)
	return nil
}

// assemble merges the events of a streamed answer into one JSON body.
func (c *collector) assemble(streamed bool) error {
	if !streamed || !isEventStream(c.head) {
		return nil
	}
	b, err := assembler.Assemble(c.body)
	if err != nil {
		return err
	}
	c.body, c.head.Type = b, "application/json"
	return nil
}

// isEventStream is false for a plain body, such as the error of an engine that rejects a parameter.
func isEventStream(h streamer.Head) bool {
	return strings.HasPrefix(h.Type, "text/event-stream")
}

// Opened implements streamer.Sink.
func (c *collector) Opened() bool { return c.opened }
