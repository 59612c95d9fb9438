package forwarder

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

const defaultSilenceTimeout = 2 * time.Second

var errSilent = errors.New("the connection to the owner went silent")

// Client forwards requests to the entries that own backend servers.
type Client struct {
	silenceTimeout time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is one entry, with its own connections so that stalled ones can be dropped.
type peer struct {
	http  *encoder.Client
	serve *connect.Client[serveRequest, frame]
	claim *connect.Client[claimRequest, claimAnswer]
	// claimBackoffUntil is the Unix time in nanoseconds until which no claim is sent.
	claimBackoffUntil atomic.Int64

	// calls and dropped are guarded by the client's mutex.
	calls   int
	dropped bool
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{silenceTimeout: defaultSilenceTimeout, peers: make(map[string]*peer)}
}

// Close closes the connections, those in use once their last call ends.
func (c *Client) Close() {
	c.mu.Lock()
	peers := maps.Clone(c.peers)
	c.mu.Unlock()
	for addr, p := range peers {
		c.dropPeer(addr, p)
	}
}

// Serve forwards the request to the owner at addr and its answer to sink.
func (c *Client) Serve(ctx context.Context, addr string, req *streamer.Request, server string, lastCandidate bool, sink streamer.Sink) streamer.End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.silenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	p := c.beginCall(addr)
	defer c.endCall(p)
	in, err := p.serve.CallServerStream(ctx, connect.NewRequest(newServeRequest(req, server, lastCandidate, time.Now())))
	if err != nil {
		return c.forwardFailure(ctx, addr, p, err)
	}
	defer func() { _ = in.Close() }()
	for in.Receive() {
		watchdog.Reset(c.silenceTimeout)
		end, ended, err := deliverFrame(in.Msg(), sink)
		if err != nil {
			return failureEnd(retrier.Unknown, err)
		}
		if ended {
			return end
		}
	}
	err = in.Err()
	if err == nil {
		err = errors.New("the owner's answer has no end")
	}
	return c.forwardFailure(ctx, addr, p, err)
}

func deliverFrame(f *frame, sink streamer.Sink) (streamer.End, bool, error) {
	if f.Head != nil {
		sink.Head(streamer.Head{Status: f.Head.Status, Type: f.Head.Type, Feedback: f.Head.Feedback.toFeedback()})
	}
	if len(f.Data) > 0 {
		if err := sink.Data(f.Data); err != nil {
			return streamer.End{}, false, err
		}
	}
	if f.End == nil {
		return streamer.End{}, false, nil
	}
	end, err := f.End.toEnd()
	return end, true, err
}

// forwardFailure returns the end of a failed forwarding: "not run" only for a failed dial or a rejected message.
func (c *Client) forwardFailure(ctx context.Context, addr string, p *peer, err error) streamer.End {
	if errors.Is(context.Cause(ctx), errSilent) {
		c.dropPeer(addr, p)
		return failureEnd(retrier.Unknown, errSilent)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failureEnd(retrier.NotRun, err)
	}
	if connect.CodeOf(err) == connect.CodeInvalidArgument && connect.IsWireError(err) {
		return failureEnd(retrier.NotRun, err)
	}
	return failureEnd(retrier.Unknown, err)
}

func failureEnd(o retrier.Outcome, err error) streamer.End {
	return streamer.End{Outcome: o, Reason: streamer.ReasonForwardFailed, Message: "the hop to the owner failed: " + err.Error()}
}

// beginCall returns the peer at addr, whose connections stay open until endCall.
func (c *Client) beginCall(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[addr]; ok {
		p.calls++
		return p
	}
	h := encoder.NewClient()
	p := &peer{http: h, calls: 1, serve: connect.NewClient[serveRequest, frame](h, "http://"+addr+serveProcedure, encoder.ConnectOption(),
		connect.WithReadMaxBytes(maxUnreadBytes+maxRequestBytes), connect.WithAcceptCompression("gzip", nil, nil))}
	p.claim = connect.NewClient[claimRequest, claimAnswer](h, "http://"+addr+claimProcedure, encoder.ConnectOption(), connect.WithReadMaxBytes(maxClaimBytes))
	c.peers[addr] = p
	return p
}

func (c *Client) endCall(p *peer) {
	c.mu.Lock()
	p.calls--
	unused := p.dropped && p.calls == 0
	c.mu.Unlock()
	if unused {
		p.http.Close()
	}
}

// dropPeer makes the next call open a new connection, and closes the peer's own once its last call has ended.
func (c *Client) dropPeer(addr string, p *peer) {
	c.mu.Lock()
	if c.peers[addr] == p {
		delete(c.peers, addr)
	}
	unused := !p.dropped && p.calls == 0
	p.dropped = true
	c.mu.Unlock()
	if unused {
		p.http.Close()
	}
}
