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
	maxRequestBytes   = 20 << 20
	maxUnreadBytes    = 20 << 20
	heartbeatInterval = 500 * time.Millisecond
)

// Owner serves requests at backend servers that this entry owns.
type Owner interface {
	Serve(ctx context.Context, req *streamer.Request, server string, lastCandidate bool, sink streamer.Sink) streamer.End
}

// NewHandler returns the path and handler for requests from peers.
func NewHandler(owner Owner) (string, http.Handler) {
	serve := func(ctx context.Context, r *connect.Request[serveRequest], out *connect.ServerStream[frame]) error {
		req, err := r.Msg.toRequest(time.Now())
		if err != nil {
			return connect.NewError(connect.CodeInvalidArgument, err)
		}
		answer := streamer.New(maxUnreadBytes)
		defer answer.Abandon()
		ctx, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { answer.End(owner.Serve(ctx, req, r.Msg.Server, r.Msg.Last, answer)) })
		return relay(ctx, answer, out)
	}
	return serveProcedure, connect.NewServerStreamHandler(serveProcedure, serve, encoder.ConnectOption(), connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithCompression("gzip", nil, nil))
}

// relay sends the answer in frames; data that arrives while a frame is written goes into the next one.
func relay(ctx context.Context, answer *streamer.Stream, out *connect.ServerStream[frame]) error {
	var spare []byte
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		// The part is empty when a heartbeat is due.
		part, err := answer.NextBefore(ctx, spare, heartbeat.C)
		if err != nil {
			return err
		}
		heartbeat.Reset(heartbeatInterval)
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
