package controller

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/standin/cutter"
)

// TestReplacesSilentConnection silences an entry's open connections while new ones work, and checks that they are replaced.
func TestReplacesSilentConnection(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ctl := startReplica(t, c, 1)
	relay, err := cutter.New(ctx, "127.0.0.1:0", ctl.cfg.Addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = relay.Close() }()
	cl, err := NewClient(ClientConfig{Name: "entry-1", Incarnation: 1, Addr: "127.0.9.1:1", ControlAddrs: []string{relay.Addr()}}, WithClientLogger(noLogger()))
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(cl.Close(), qt.IsNil) }()
	op := operatorClient{c, ctl.cfg.OperatorsAddr}
	for revision := range uint64(3) {
		doc := sampleDoc()
		doc.Adapters[0].Versions[0].Number = int(revision) + 1
		var applied appliedBody
		status := op.call("POST", "/v1/apply", applyBody{
			Change: string(rune('a' + revision)), Expect: &revision, Doc: doc, Wait: true, Timeout: "60s",
		}, &applied)
		c.Assert(status, qt.Equals, http.StatusOK)
		awaitUpdate(ctx, c, cl, func() bool { return cl.Catalog().Revision() == applied.Revision })
		awaitUpdate(ctx, c, cl, func() bool { return len(cl.Roster().Entries()) == 1 })
		relay.DropOpen()
	}
}
