package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/quarantiner"
)

const (
	claimProcedure = "/redwing.forwarder/Claim"
	// claimLimit is the timeout for the answer to a claim; quietLimit is the backoff for an entry that failed to answer.
	claimLimit = time.Second
	quietLimit = 2 * time.Second
)

var errQuiet = errors.New("the entry didn't answer lately")

// Keeper keeps the claims of requests: the servers at which they run, by digest.
type Keeper interface {
	// Claim claims the place and returns a function that releases it, or the server at which the request already runs.
	Claim(d quarantiner.Digest, p quarantiner.Place, m quarantiner.Mode) (free func(), meet string, ok bool)
	// Closing returns a channel that is closed once no claims are kept any more.
	Closing() <-chan struct{}
}

// claimRequest requests a claim, which is held as long as the call is open.
type claimRequest struct {
	Digest      [16]byte         `cbor:"1,keyasint"`
	Server      string           `cbor:"2,keyasint"`
	Incarnation string           `cbor:"3,keyasint,omitempty"`
	Mode        quarantiner.Mode `cbor:"4,keyasint,omitempty"`
}

type claimAnswer struct {
	OK   bool   `cbor:"1,keyasint,omitempty"`
	Meet string `cbor:"2,keyasint,omitempty"`
}

func (r *claimRequest) check() error {
	switch {
	case r.Server == "":
		return errors.New("server: missing")
	case r.Mode < quarantiner.Shared || r.Mode > quarantiner.Alone:
		return errors.Errorf("mode: unknown %d", r.Mode)
	}
	return nil
}

// NewClaimHandler returns the path and the handler for claims of peers; a claim ends with its call, and so also when the
// peer dies.
func NewClaimHandler(keeper Keeper) (string, http.Handler) {
	claim := func(ctx context.Context, r *connect.Request[claimRequest], out *connect.ServerStream[claimAnswer]) error {
		if err := r.Msg.check(); err != nil {
			return connect.NewError(connect.CodeInvalidArgument, err)
		}
		select {
		case <-keeper.Closing():
			return connect.NewError(connect.CodeUnavailable, errors.New("this entry shuts down"))
		default:
		}
		free, meet, ok := keeper.Claim(r.Msg.Digest, quarantiner.Place{Server: r.Msg.Server, Incarnation: r.Msg.Incarnation}, r.Msg.Mode)
		if !ok {
			return out.Send(&claimAnswer{Meet: meet})
		}
		defer free()
		if err := out.Send(&claimAnswer{OK: true}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-keeper.Closing():
		}
		return nil
	}
	return claimProcedure, connect.NewServerStreamHandler(claimProcedure, claim, encoder.Option(), connect.WithReadMaxBytes(maxClaim))
}

// maxClaim is the largest claim message in bytes.
const maxClaim = 4 << 10

// Claim claims a place at the entry at addr, like Keeper.Claim.
func (c *Client) Claim(
	ctx context.Context, addr string, d quarantiner.Digest, place quarantiner.Place, m quarantiner.Mode,
) (free func(), meet string, ok bool, err error) {
	p := c.peer(addr)
	if p.isQuiet(time.Now()) {
		return nil, "", false, errQuiet
	}
	// The claim outlives ctx: it is released once the attempt no longer runs, which may be after the caller cancels.
	held, cancel := context.WithCancel(context.WithoutCancel(ctx))
	watchdog := time.AfterFunc(claimLimit, cancel)
	in, err := p.claim.CallServerStream(held, connect.NewRequest(&claimRequest{
		Digest: d, Server: place.Server, Incarnation: place.Incarnation, Mode: m,
	}))
	if err == nil && !in.Receive() {
		err = errors.Wrap(streamErr(in), "claim")
		_ = in.Close()
	}
	if err == nil && !watchdog.Stop() {
		err = errors.New("claim: no answer in time")
		_ = in.Close()
	}
	if err != nil {
		cancel()
		p.quiet(time.Now().Add(quietLimit))
		return nil, "", false, err
	}
	done := func() {
		cancel()
		_ = in.Close()
	}
	if a := in.Msg(); !a.OK {
		done()
		return nil, a.Meet, false, nil
	}
	return sync.OnceFunc(done), "", true, nil
}

func streamErr(in *connect.ServerStreamForClient[claimAnswer]) error {
	if err := in.Err(); err != nil {
		return err
	}
	return errors.New("empty answer")
}

func (p *peer) isQuiet(now time.Time) bool { return now.UnixNano() < p.quietUntil.Load() }

func (p *peer) quiet(until time.Time) { p.quietUntil.Store(until.UnixNano()) }
