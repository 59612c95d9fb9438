package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

const silenceLimit = 2 * time.Second

var errSilent = errors.New("the connection to the owner went silent")

// Client forwards requests to the entries that own backend servers.
type Client struct {
	silence time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the client of one entry, with its own connections, so that stalled ones can be dropped.
type peer struct {
	http  *http.Client
	call  *connect.Client[serveRequest, frame]
	claim *connect.Client[claimRequest, claimAnswer]
	// quietUntil is the Unix time in nanoseconds before which no claim is requested.
	quietUntil atomic.Int64
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{silence: silenceLimit, peers: make(map[string]*peer)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.peers {
		p.http.CloseIdleConnections()
		delete(c.peers, addr)
	}
}

// Serve forwards the request to the owner at addr and passes the answer to sink as it arrives.
func (c *Client) Serve(ctx context.Context, addr string, req *streamer.Request, server string, last bool, sink streamer.Sink) streamer.End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	p := c.peer(addr)
	in, err := p.call.CallServerStream(ctx, connect.NewRequest(newServeRequest(req, server, last, time.Now())))
	if err != nil {
		return c.broken(ctx, addr, p, err)
	}
	defer func() { _ = in.Close() }()
	for in.Receive() {
		watchdog.Reset(c.silence)
		end, ended, err := deliver(in.Msg(), sink)
		if err != nil {
			return peerEnd(retrier.Unknown, err)
		}
		if ended {
			return end
		}
	}
	err = in.Err()
	if err == nil {
		err = errors.New("the owner's answer has no end")
	}
	return c.broken(ctx, addr, p, err)
}

func deliver(f *frame, sink streamer.Sink) (streamer.End, bool, error) {
	if f.Head != nil {
		sink.Head(streamer.Head{Status: f.Head.Status, Type: f.Head.Type, Feedback: f.Head.Feedback.feedback()})
	}
	if len(f.Data) > 0 {
		if err := sink.Data(f.Data); err != nil {
			return streamer.End{}, false, err
		}
	}
	if f.End == nil {
		return streamer.End{}, false, nil
	}
	end, err := f.End.end()
	return end, true, err
}

// broken returns the end of a failed call to the owner; only a failed dial or a rejected message is "not run".
func (c *Client) broken(ctx context.Context, addr string, p *peer, err error) streamer.End {
	if errors.Is(context.Cause(ctx), errSilent) {
		c.forget(addr, p)
		return peerEnd(retrier.Unknown, errSilent)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return peerEnd(retrier.NotRun, err)
	}
	if connect.CodeOf(err) == connect.CodeInvalidArgument && connect.IsWireError(err) {
		return peerEnd(retrier.NotRun, err)
	}
	return peerEnd(retrier.Unknown, err)
}

func peerEnd(o retrier.Outcome, err error) streamer.End {
	return streamer.End{Outcome: o, Reason: streamer.ReasonPeer, Message: "the hop to the owner failed: " + err.Error()}
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[addr]; ok {
		return p
	}
	h := encoder.NewClient()
	p := &peer{http: h, call: connect.NewClient[serveRequest, frame](h, "http://"+addr+procedure, encoder.Option(),
		connect.WithReadMaxBytes(maxUnread+maxRequest), connect.WithAcceptCompression("gzip", nil, nil))}
	p.claim = connect.NewClient[claimRequest, claimAnswer](h, "http://"+addr+claimProcedure, encoder.Option(), connect.WithReadMaxBytes(maxClaim))
	c.peers[addr] = p
	return p
}

// forget makes the next request open a new connection.
func (c *Client) forget(addr string, p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[addr] == p {
		delete(c.peers, addr)
	}
}
