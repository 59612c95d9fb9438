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

// homes answers claims by address: "down" returns an error, others grant the claim or return the server "x".
type homes struct {
	asked []string
	freed int
}

func (h *homes) Claim(_ context.Context, addr string, _ quarantiner.Digest, _ quarantiner.Place, m quarantiner.Mode) (func(), string, bool, error) {
	h.asked = append(h.asked, addr)
	switch {
	case addr == "down":
		return nil, "", false, errors.New("down")
	case addr == "hedges" && m != quarantiner.Hedged, addr == "alone" && m != quarantiner.Alone:
		return nil, "x", false, nil
	case addr == "elsewhere":
		return nil, "x", false, nil
	}
	return func() { h.freed++ }, "", true, nil
}

func TestMeet(t *testing.T) {
	far := func(addrs ...string) (list []streamer.Home) {
		for _, a := range addrs {
			list = append(list, streamer.Home{Entry: "far", Addr: a})
		}
		return list
	}
	for _, tt := range []struct {
		name     string
		homes    []streamer.Home
		hedge    bool
		standing quarantiner.Standing
		proven   bool
		booking  bool
		ended    bool
		asked    []string
		meet     string
		ok       bool
		freed    int
	}{
		{name: "free", homes: far("free"), asked: []string{"free"}, ok: true, freed: 1},
		{name: "elsewhere", homes: far("elsewhere", "free"), asked: []string{"elsewhere"}, meet: "x"},
		{name: "home down", homes: far("down", "free"), asked: []string{"down", "free"}, ok: true, freed: 1},
		{name: "second home elsewhere", homes: far("down", "elsewhere"), asked: []string{"down", "elsewhere"}, meet: "x"},
		{name: "all homes down", homes: far("down", "down"), asked: []string{"down", "down"}},
		{name: "no home", ok: true},
		{name: "hedge", homes: far("hedges"), hedge: true, asked: []string{"hedges"}, ok: true, freed: 1},
		{name: "suspect", homes: far("alone"), standing: quarantiner.Suspect, asked: []string{"alone"}, ok: true, freed: 1},
		{name: "suspect hedge", homes: far("alone"), hedge: true, standing: quarantiner.Suspect, asked: []string{"alone"}, ok: true, freed: 1},
		{name: "proven", homes: far("elsewhere"), proven: true, ok: true},
		{name: "booking", homes: far("elsewhere"), booking: true, ok: true},
		{name: "own home", homes: []streamer.Home{{Entry: "near"}}, ok: true},
		{name: "server died meanwhile", homes: far("free"), ended: true, asked: []string{"free"}, ok: true, freed: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &homes{}
			o := &Owner{Deps: Deps{Homes: h, Log: logger.New(io.Discard, "error").Part("owner")}, id: booker.Identity{Entry: "near"}, keeper: newKeeper()}
			j := &job{ctx: context.Background(), req: &streamer.Request{Homes: tt.homes, Hedge: tt.hedge, Idempotent: !tt.booking}, server: registrar.Server{Name: "y"}}
			j.job.Standing, j.proven = tt.standing, tt.proven
			if tt.ended {
				j.free()
			}
			end, ok := o.meet(j)
			qt.Check(t, ok, qt.Equals, tt.ok)
			qt.Check(t, end.Meet, qt.Equals, tt.meet)
			qt.Check(t, h.asked, qt.DeepEquals, tt.asked)
			if !ok {
				qt.Check(t, end.Reason, qt.Equals, streamer.ReasonElsewhere)
			}
			j.free()
			j.free()
			qt.Check(t, h.freed, qt.Equals, tt.freed)
			qt.Check(t, o.keeper.claims.Len(), qt.Equals, 0)
		})
	}
}
