package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/quarantiner"
)

// claimCounter is a ClaimStore whose claims the tests can count.
type claimCounter struct {
	mu      sync.Mutex
	claims  *quarantiner.Claims
	closing chan struct{}
}

func (b *claimCounter) Claim(d quarantiner.Digest, p quarantiner.ServerProcess, m quarantiner.Mode) (func(), string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server, ok := b.claims.Acquire(d, p, m)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.claims.Release(d, p)
	}, server, ok
}

func (b *claimCounter) Closing() <-chan struct{} { return b.closing }

func (b *claimCounter) waitEmpty(t testing.TB) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		b.mu.Lock()
		n := b.claims.Len()
		b.mu.Unlock()
		if n == 0 {
			return
		}
	}
	t.Fatal("the claim was not released")
}

func startClaimServer(t testing.TB) (*claimCounter, string) {
	b := &claimCounter{claims: quarantiner.NewClaims(), closing: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(NewClaimHandler(b))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config = encoder.NewServer(mux)
	srv.Start()
	t.Cleanup(srv.Close)
	return b, srv.Listener.Addr().String()
}

// A claim lasts until it is released, its process ends or the store closes.
func TestClaim(t *testing.T) {
	x, y := quarantiner.ServerProcess{Server: "x"}, quarantiner.ServerProcess{Server: "y"}
	ctx, d := context.Background(), quarantiner.Digest{1}
	b, addr := startClaimServer(t)
	near, far := NewClient(), NewClient()
	defer near.Close()
	defer far.Close()
	free, _, ok, err := near.Claim(ctx, addr, d, x, quarantiner.Shared)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	_, server, ok, err := far.Claim(ctx, addr, d, y, quarantiner.Shared)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, server, qt.Equals, "x")
	free()
	b.waitEmpty(t)
	// Cancelling the context of Claim doesn't release the claim.
	cancelled, cancel := context.WithCancel(ctx)
	free, _, ok, err = far.Claim(cancelled, addr, d, y, quarantiner.Exclusive)
	cancel()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	_, server, ok, err = near.Claim(ctx, addr, d, x, quarantiner.Shared)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, server, qt.Equals, "")
	close(b.closing)
	b.waitEmpty(t)
	_, _, _, err = near.Claim(ctx, addr, d, x, quarantiner.Shared)
	qt.Check(t, err, qt.ErrorMatches, ".*this entry shuts down")
	_, _, _, err = near.Claim(ctx, addr, d, x, quarantiner.Shared)
	qt.Check(t, err, qt.ErrorIs, errClaimBackoff)
	free()
}

func TestBadClaims(t *testing.T) {
	for _, tt := range []struct {
		name    string
		process quarantiner.ServerProcess
		mode    quarantiner.Mode
		want    string
	}{
		{"server", quarantiner.ServerProcess{}, quarantiner.Shared, ".*server: missing"},
		{"mode", quarantiner.ServerProcess{Server: "x"}, 7, ".*mode: unknown 7"},
		{"negative mode", quarantiner.ServerProcess{Server: "x"}, -1, ".*mode: unknown -1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, addr := startClaimServer(t)
			c := NewClient()
			defer c.Close()
			_, _, _, err := c.Claim(context.Background(), addr, quarantiner.Digest{}, tt.process, tt.mode)
			qt.Check(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// BenchmarkClaim measures a claim at a home that isn't the owner of the request's server.
func BenchmarkClaim(b *testing.B) {
	_, addr := startClaimServer(b)
	c := NewClient()
	defer c.Close()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		d := quarantiner.Digest{byte(n), byte(n >> 8), byte(n >> 16)}
		free, _, ok, err := c.Claim(context.Background(), addr, d, quarantiner.ServerProcess{Server: "x"}, quarantiner.Shared)
		if err != nil || !ok {
			b.Fatal(ok, err)
		}
		free()
	}
}
