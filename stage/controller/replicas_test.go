package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
)

// TestLeaderFailover stops the leader and checks what two entries keep.
func TestLeaderFailover(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cfgs := make([]Config, 3)
	var members []runner.Member
	var controls []string
	for i := range cfgs {
		cfgs[i] = Config{
			ID: uint64(i + 1), Cluster: "test", Addr: freeAddr(c), OperatorsAddr: freeAddr(c), DataFolder: t.TempDir(),
			Tokens: []Token{{Name: "aisyah", Token: testToken}}, Store: registrar.StoreLimits{Rate: 3.5, Parallel: 3},
		}
		members = append(members, runner.Member{ID: cfgs[i].ID, Addr: cfgs[i].Addr})
		controls = append(controls, cfgs[i].Addr)
	}
	ctls := make(map[uint64]*Controller)
	for _, cfg := range cfgs {
		cfg.Members = members
		ctl, err := New(cfg, WithLogger(noLogger()))
		c.Assert(err, qt.IsNil)
		ctls[cfg.ID] = ctl
	}
	defer func() {
		for _, ctl := range ctls {
			c.Check(ctl.Close(), qt.IsNil)
		}
	}()
	var clients []*Client
	for i := range 2 {
		name := fmt.Sprintf("entry-%d", i+1)
		cl, err := NewClient(ClientConfig{Name: name, Incarnation: uint64(i + 1), Addr: "127.0.9.1:" + fmt.Sprint(i+1), Zone: "kl-1", ControlAddrs: controls}, WithClientLogger(noLogger()))
		c.Assert(err, qt.IsNil)
		defer func() { c.Check(cl.Close(), qt.IsNil) }()
		clients = append(clients, cl)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			for i := range 4 {
				clients[i%2].Announce(registrar.Server{Name: fmt.Sprintf("engine-%d", i), Kind: configurer.KindModel, Addr: "127.0.9.2:1", Zone: "kl-1", Service: "base", Incarnation: "i"})
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	op := operatorClient{c, cfgs[1].OperatorsAddr}
	zero := uint64(0)
	var applied appliedBody
	c.Assert(op.call("POST", "/v1/apply", applyBody{Change: "c1", Expect: &zero, Doc: sampleDoc(), Wait: true, Timeout: "60s"}, &applied), qt.Equals, http.StatusOK)
	balanced := func() bool {
		n := map[string]int{}
		clients[0].Roster().Owners(func(_ string, o registrar.Owner) { n[o.Entry]++ })
		return n["entry-1"] == 2 && n["entry-2"] == 2
	}
	awaitUpdate(ctx, c, clients[0], balanced)
	epochs := map[string]uint64{}
	clients[0].Roster().Owners(func(s string, o registrar.Owner) { epochs[s] = o.Epoch })

	var st statusJSON
	c.Assert(op.call("GET", "/v1/status", nil, &st), qt.Equals, http.StatusOK)
	old := st.Leader
	c.Assert(ctls[old].Close(), qt.IsNil)
	delete(ctls, old)
	op.addr = cfgs[old%3].OperatorsAddr
	one := uint64(1)
	doc := sampleDoc()
	doc.Adapters[0].Versions[0].Number = 2
	code := op.call("POST", "/v1/apply", applyBody{Change: "c2", Expect: &one, Doc: doc, Wait: true, Timeout: "60s"}, &applied)
	c.Assert(code, qt.Equals, http.StatusOK)
	for _, cl := range clients {
		c.Assert(cl.Catalog().Revision(), qt.Equals, uint64(2))
	}
	// Owners and epochs are unchanged: the new leader has accepted the entries' claims.
	awaitUpdate(ctx, c, clients[0], balanced)
	clients[0].Roster().Owners(func(s string, o registrar.Owner) { c.Check(o.Epoch, qt.Equals, epochs[s], qt.Commentf(s)) })
	c.Assert(op.call("POST", "/v1/apply", applyBody{Change: "c1", Expect: &zero, Doc: sampleDoc()}, &applied), qt.Equals, http.StatusOK)
	c.Assert(applied.Revision, qt.Equals, uint64(1))
}
