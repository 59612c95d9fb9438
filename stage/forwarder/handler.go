package forwarder

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/stage/streamer"
)

const (
	maxRequest        = 20 << 20
	maxUnread         = 20 << 20
	heartbeatInterval = 500 * time.Millisecond
)

// Owner serves requests at backend servers that this entry owns.
type Owner interface {
	Serve(ctx context.Context, req *streamer.Request, server string, last bool, sink streamer.Sink) streamer.End
}

// NewHandler returns the path and the handler for requests that peers forward to the owner.
func NewHandler(owner Owner) (string, http.Handler) {
	serve := func(ctx context.Context, r *connect.Request[serveRequest], out *connect.ServerStream[frame]) error {
		req, err := r.Msg.request(time.Now())
		if err != nil {
			return connect.NewError(connect.CodeInvalidArgument, err)
		}
		answer := streamer.New(maxUnread)
		defer answer.Abandon()
		ctx, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { answer.End(owner.Serve(ctx, req, r.Msg.Server, r.Msg.Last, answer)) })
		return relay(ctx, answer, out)
	}
	return procedure, connect.NewServerStreamHandler(procedure, serve, encoder.Option(), connect.WithReadMaxBytes(maxRequest),
		connect.WithCompression("gzip", nil, nil))
}

// relay sends the answer in frames; data that arrives while a frame is written goes into the next one.
func relay(ctx context.Context, answer *streamer.Stream, out *connect.ServerStream[frame]) error {
	var spare []byte
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	for {
		// An empty part is returned when a heartbeat is due.
		part, err := answer.NextBefore(ctx, spare, beat.C)
		if err != nil {
			return err
		}
		beat.Reset(heartbeatInterval)
		f := frame{Data: part.Data}
		if part.Opened {
			f.Head = &headFrame{
				Status: part.Head.Status, Type: part.Head.Type, Feedback: newFeedbackFrame(part.Head.Feedback),
			}
		}
		if part.Ended {
			f.End = newEndFrame(part.End)
		}
		if err := out.Send(&f); err != nil {
			return err
		}
		if part.Ended {
			return nil
		}
		spare = part.Data
	}
}
