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
	// claimTimeout limits the wait for an answer; claimBackoff is the pause after a failure.
	claimTimeout = time.Second
	claimBackoff = 2 * time.Second
)

var errClaimBackoff = errors.New("the entry didn't answer lately")

// ClaimStore keeps the server processes at which requests run, by digest.
type ClaimStore interface {
	// Claim holds a claim to the process until release is called, or returns the server at which the request already runs.
	Claim(d quarantiner.Digest, p quarantiner.ServerProcess, m quarantiner.Mode) (release func(), server string, ok bool)
	// Closing returns a channel that is closed once no claims are kept.
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
	OK     bool   `cbor:"1,keyasint,omitempty"`
	Server string `cbor:"2,keyasint,omitempty"`
}

func (r *claimRequest) validate() error {
	switch {
	case r.Server == "":
		return errors.New("server: missing")
	case r.Mode < quarantiner.Shared || r.Mode > quarantiner.Exclusive:
		return errors.Errorf("mode: unknown %d", r.Mode)
	}
	return nil
}

// NewClaimHandler returns the path and handler for peers' claims; a claim ends with its call, so also if the peer dies.
func NewClaimHandler(claims ClaimStore) (string, http.Handler) {
	claim := func(ctx context.Context, r *connect.Request[claimRequest], out *connect.ServerStream[claimAnswer]) error {
		if err := r.Msg.validate(); err != nil {
			return connect.NewError(connect.CodeInvalidArgument, err)
		}
		select {
		case <-claims.Closing():
			return connect.NewError(connect.CodeUnavailable, errors.New("this entry shuts down"))
		default:
		}
		release, server, ok := claims.Claim(r.Msg.Digest, quarantiner.ServerProcess{Server: r.Msg.Server, Incarnation: r.Msg.Incarnation}, r.Msg.Mode)
		if !ok {
			return out.Send(&claimAnswer{Server: server})
		}
		defer release()
		if err := out.Send(&claimAnswer{OK: true}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-claims.Closing():
		}
		return nil
	}
	return claimProcedure, connect.NewServerStreamHandler(claimProcedure, claim, encoder.ConnectOption(), connect.WithReadMaxBytes(maxClaimBytes))
}

// maxClaimBytes is the largest claim message in bytes.
const maxClaimBytes = 4 << 10

// Claim calls ClaimStore.Claim at the entry at addr.
func (c *Client) Claim(
	ctx context.Context, addr string, d quarantiner.Digest, process quarantiner.ServerProcess, m quarantiner.Mode,
) (release func(), server string, ok bool, err error) {
	p := c.beginCall(addr)
	endCall := func() { c.endCall(p) }
	if p.inClaimBackoff(time.Now()) {
		endCall()
		return nil, "", false, errClaimBackoff
	}
	// The claim outlives a cancelled ctx: it is released once the attempt no longer runs.
	claimCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	watchdog := time.AfterFunc(claimTimeout, cancel)
	in, err := p.claim.CallServerStream(claimCtx, connect.NewRequest(&claimRequest{
		Digest: d, Server: process.Server, Incarnation: process.Incarnation, Mode: m,
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
		endCall()
		p.setClaimBackoff(time.Now().Add(claimBackoff))
		return nil, "", false, err
	}
	closeCall := func() {
		cancel()
		_ = in.Close()
		endCall()
	}
	if a := in.Msg(); !a.OK {
		closeCall()
		return nil, a.Server, false, nil
	}
	return sync.OnceFunc(closeCall), "", true, nil
}

func streamErr(in *connect.ServerStreamForClient[claimAnswer]) error {
	if err := in.Err(); err != nil {
		return err
	}
	return errors.New("empty answer")
}

func (p *peer) inClaimBackoff(now time.Time) bool { return now.UnixNano() < p.claimBackoffUntil.Load() }

func (p *peer) setClaimBackoff(until time.Time) { p.claimBackoffUntil.Store(until.UnixNano()) }
