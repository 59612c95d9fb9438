package owner

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/booker"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/streamer"
)

// fakeHomes answers claims by address: "down" returns an error, others grant the claim or return the server "x".
type fakeHomes struct {
	claimedAt []string
	released  int
}

func (h *fakeHomes) Claim(_ context.Context, addr string, _ quarantiner.Digest, _ quarantiner.ServerProcess, m quarantiner.Mode) (func(), string, bool, error) {
	h.claimedAt = append(h.claimedAt, addr)
	switch {
	case addr == "down":
		return nil, "", false, errors.New("down")
	case addr == "hedges" && m != quarantiner.Hedged, addr == "alone" && m != quarantiner.Exclusive:
		return nil, "x", false, nil
	case addr == "elsewhere":
		return nil, "x", false, nil
	}
	return func() { h.released++ }, "", true, nil
}

func TestAcquireClaim(t *testing.T) {
	homesAt := func(addrs ...string) (list []streamer.Home) {
		for _, a := range addrs {
			list = append(list, streamer.Home{Entry: "far", Addr: a})
		}
		return list
	}
	for _, tt := range []struct {
		name       string
		homes      []streamer.Home
		hedge      bool
		standing   quarantiner.Standing
		knownSafe  bool
		booking    bool
		jobEnded   bool
		claimedAt  []string
		copyServer string
		ok         bool
		released   int
	}{
		{name: "free", homes: homesAt("free"), claimedAt: []string{"free"}, ok: true, released: 1},
		{name: "elsewhere", homes: homesAt("elsewhere", "free"), claimedAt: []string{"elsewhere"}, copyServer: "x"},
		{name: "home down", homes: homesAt("down", "free"), claimedAt: []string{"down", "free"}, ok: true, released: 1},
		{name: "second home elsewhere", homes: homesAt("down", "elsewhere"), claimedAt: []string{"down", "elsewhere"}, copyServer: "x"},
		{name: "all homes down", homes: homesAt("down", "down"), claimedAt: []string{"down", "down"}},
		{name: "no home", ok: true},
		{name: "hedge", homes: homesAt("hedges"), hedge: true, claimedAt: []string{"hedges"}, ok: true, released: 1},
		{name: "suspect", homes: homesAt("alone"), standing: quarantiner.Suspect, claimedAt: []string{"alone"}, ok: true, released: 1},
		{name: "suspect hedge", homes: homesAt("alone"), hedge: true, standing: quarantiner.Suspect, claimedAt: []string{"alone"}, ok: true, released: 1},
		{name: "known safe", homes: homesAt("elsewhere"), knownSafe: true, ok: true},
		{name: "booking", homes: homesAt("elsewhere"), booking: true, ok: true},
		{name: "own home", homes: []streamer.Home{{Entry: "near"}}, ok: true},
		{name: "server died meanwhile", homes: homesAt("free"), jobEnded: true, claimedAt: []string{"free"}, ok: true, released: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &fakeHomes{}
			o := &Owner{Deps: Deps{Homes: h, Log: logger.New(io.Discard, "error").Component("owner")}, id: booker.Identity{Entry: "near"}, claims: newClaimStore()}
			j := &job{ctx: context.Background(), req: &streamer.Request{Homes: tt.homes, Hedge: tt.hedge, Idempotent: !tt.booking}, server: registrar.Server{Name: "y"}}
			j.spec.Standing, j.knownSafe = tt.standing, tt.knownSafe
			if tt.jobEnded {
				j.releaseClaim()
			}
			end, ok := o.acquireClaim(j)
			qt.Check(t, ok, qt.Equals, tt.ok)
			qt.Check(t, end.CopyServer, qt.Equals, tt.copyServer)
			qt.Check(t, h.claimedAt, qt.DeepEquals, tt.claimedAt)
			if !ok {
				qt.Check(t, end.Reason, qt.Equals, streamer.ReasonRunningElsewhere)
			}
			j.releaseClaim()
			j.releaseClaim()
			qt.Check(t, h.released, qt.Equals, tt.released)
			qt.Check(t, o.claims.claims.Len(), qt.Equals, 0)
		})
	}
}
