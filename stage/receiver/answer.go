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
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/streamer"
)

func (r *Receiver) handleGeneration(c fiber.Ctx) error {
	req, streamed, p := r.parseGenerationCall(c, time.Now())
	if p != nil {
		return r.refuse(c, *p)
	}
	if streamed {
		return r.respondStreamed(c, req)
	}
	return r.respondBuffered(c, req)
}

func (r *Receiver) handleService(c fiber.Ctx) error {
	req, p := r.parseServiceCall(c, time.Now())
	if p != nil {
		return r.refuse(c, *p)
	}
	return r.respondBuffered(c, req)
}

// respondBuffered sends the answer once it is complete.
func (r *Receiver) respondBuffered(c fiber.Ctx, req *streamer.Request) error {
	ctx, cancel := context.WithDeadline(r.ctx, req.Deadline)
	defer cancel()
	answer := &answerCollector{}
	end := withDeadlineReason(ctx, r.Executor.Execute(ctx, req, answer))
	if end.Outcome == retrier.Done && answer.opened && end.Reason == "" {
		if err := answer.assemble(req.Stream); err != nil {
			return r.respondProblem(c, req, streamer.End{Reason: streamer.ReasonFailed, Message: err.Error()})
		}
		c.Set(marker.Outcome, end.Outcome.String())
		c.Set(fiber.HeaderContentType, answer.head.Type)
		r.recordEnd(req, end, answer.head.Status, time.Now())
		return c.Status(answer.head.Status).Send(answer.body)
	}
	return r.respondProblem(c, req, end)
}

func (r *Receiver) respondProblem(c fiber.Ctx, req *streamer.Request, end streamer.End) error {
	p := newProblem(end)
	c.Set(marker.Outcome, end.Outcome.String())
	r.recordEnd(req, end, p.status, time.Now())
	return p.send(c)
}

// respondStreamed forwards server-sent events as they arrive.
func (r *Receiver) respondStreamed(c fiber.Ctx, req *streamer.Request) error {
	ctx, cancel := context.WithDeadline(r.ctx, req.Deadline)
	answer := streamer.New(r.cfg.MaxUnread)
	r.openRequests.Add(1)
	r.wg.Go(func() {
		defer r.openRequests.Add(-1)
		answer.End(withDeadlineReason(ctx, r.Executor.Execute(ctx, req, answer)))
	})
	part, err := answer.Next(ctx, nil)
	for err != nil {
		// The executor returns the outcome soon after its context ends.
		part, err = answer.Next(context.Background(), nil)
	}
	if part.Ended && !part.Opened {
		cancel()
		return r.respondProblem(c, req, part.End)
	}
	if !isEventStream(part.Head) {
		defer cancel()
		return r.respondNonStream(c, req, answer, part)
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
	b := &streamBody{receiver: r, req: req, answer: answer, cancel: cancel, header: &fctx.Response.Header, status: part.Head.Status}
	b.takePart(part)
	r.openRequests.Add(1)
	fctx.Response.SetBodyStream(b, -1)
	return nil
}

// respondNonStream buffers and sends an answer that is no event stream.
func (r *Receiver) respondNonStream(c fiber.Ctx, req *streamer.Request, answer *streamer.Stream, part streamer.Part) error {
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
		return r.respondProblem(c, req, part.End)
	}
	c.Set(marker.Outcome, part.End.Outcome.String())
	c.Set(fiber.HeaderContentType, head.Type)
	r.recordEnd(req, part.End, head.Status, time.Now())
	return c.Status(head.Status).Send(body)
}

// withDeadlineReason replaces ReasonCancelled by ReasonDeadline if the deadline of ctx has passed.
func withDeadlineReason(ctx context.Context, end streamer.End) streamer.End {
	if end.Reason == streamer.ReasonCancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		end.Reason, end.Message = streamer.ReasonDeadline, "the deadline passed before the whole answer came"
	}
	return end
}

// streamBody is the io.ReadCloser of a streamed answer.
type streamBody struct {
	receiver *Receiver
	req      *streamer.Request
	answer   *streamer.Stream
	cancel   context.CancelFunc
	header   *fasthttp.ResponseHeader
	status   int
	spare    []byte
	data     []byte
	end      streamer.End
	ended    bool
	closed   bool
}

// Read implements io.Reader; it waits for data and ends a broken stream with an error event.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.data) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.answer.Next(context.Background(), b.spare)
		if err != nil {
			return 0, err
		}
		b.takePart(part)
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *streamBody) takePart(part streamer.Part) {
	if part.Data != nil {
		b.spare = part.Data
	}
	b.data = part.Data
	if !part.Ended {
		return
	}
	b.end, b.ended = part.End, true
	if part.End.Outcome != retrier.Done {
		b.data = append(b.data, brokenStreamEvent(part.End)...)
	}
	b.header.Set(marker.Outcome, part.End.Outcome.String())
}

// Close implements io.Closer; the HTTP library always calls it after the last write, failed or not.
func (b *streamBody) Close() error {
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
	b.receiver.recordEnd(b.req, end, b.status, time.Now())
	b.receiver.openRequests.Add(-1)
	return nil
}

// brokenStreamEvent returns the error event of a broken stream.
func brokenStreamEvent(end streamer.End) []byte {
	event := append([]byte("event: error\ndata: "), newProblem(end).body()...)
	return append(event, "\n\n"...)
}

func (r *Receiver) recordEnd(req *streamer.Request, end streamer.End, status int, now time.Time) {
	metDeadline := end.Outcome == retrier.Done && now.Before(req.Deadline)
	r.Meter.CountRequest(req.Class, end.Outcome.String(), metDeadline)
	r.Log.Request(logger.Request{
		ID: req.ID, Model: req.Target.String(), Outcome: end.Outcome.String(), Reason: string(end.Reason), Status: status,
	})
}

// answerCollector buffers a whole answer.
type answerCollector struct {
	head   streamer.Head
	opened bool
	body   []byte
}

// Head implements streamer.Sink; later calls, by resumed attempts, have no effect.
func (c *answerCollector) Head(h streamer.Head) {
	if !c.opened {
		c.head, c.opened = h, true
	}
}

// Data implements streamer.Sink.
func (c *answerCollector) Data(b []byte) error {
	c.body = append(c.body, b...)
	return nil
}

// assemble merges a streamed answer into one JSON body.
func (c *answerCollector) assemble(streamed bool) error {
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

// isEventStream is false for other answers, such as an engine's error for a bad parameter.
func isEventStream(h streamer.Head) bool {
	return strings.HasPrefix(h.Type, "text/event-stream")
}

// Opened implements streamer.Sink.
func (c *answerCollector) Opened() bool { return c.opened }
