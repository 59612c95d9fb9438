package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/standin/launcher"
)

// testTimeout bounds a whole test; no check depends on how long it took.
const testTimeout = time.Minute

const testToken = "at-least-16-characters"

func freeAddr(c *qt.C) string {
	addr, err := launcher.FreeAddr(context.Background())
	c.Assert(err, qt.IsNil)
	return addr
}

func noLogger() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

// operatorClient is a client of the operators' API.
type operatorClient struct {
	c    *qt.C
	addr string
}

func (o operatorClient) call(method, path string, body any, out any) int {
	data, err := json.Marshal(body)
	o.c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(method, "http://"+o.addr+path, bytes.NewReader(data))
	o.c.Assert(err, qt.IsNil)
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+testToken)
	res, err := http.DefaultClient.Do(req)
	o.c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	o.c.Assert(err, qt.IsNil)
	if out != nil {
		o.c.Assert(json.Unmarshal(got, out), qt.IsNil, qt.Commentf("%s", got))
	}
	return res.StatusCode
}

func awaitUpdate(ctx context.Context, c *qt.C, cl *Client, ok func() bool) {
	for {
		ch := cl.Updated()
		if ok() {
			return
		}
		select {
		case <-ch:
		case <-ctx.Done():
			c.Fatal("condition not reached in time")
		}
	}
}

func sampleDoc() configurer.Doc {
	return configurer.Doc{
		Classes:  []configurer.ClassSpec{{Name: "chat", Urgent: true, First: "2s"}},
		Services: []configurer.ServiceSpec{{Name: "base", Kind: configurer.KindModel, Classes: []string{"chat"}}},
		Adapters: []configurer.AdapterSpec{{
			Name: "ipoh", Service: "base", Current: 1,
			Versions: []configurer.VersionSpec{{Number: 1, Source: "store/ipoh/1", Digest: "d1"}},
		}},
	}
}

func TestClientWithOneReplica(t *testing.T) {
	// fasthttp keeps two idle goroutines.
	defer goleak.VerifyNone(
		t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cfg := Config{
		ID: 1, Cluster: "test", Addr: freeAddr(c), OperatorsAddr: freeAddr(c), DataFolder: t.TempDir(),
		Tokens: []Token{{Name: "aisyah", Token: testToken}}, Store: registrar.StoreLimits{Rate: 1000, Parallel: 2},
	}
	ctl, err := New(cfg, WithLogger(noLogger()), WithLog(openMemoryLog(runner.Member{ID: cfg.ID, Addr: cfg.Addr})))
	c.Assert(err, qt.IsNil)
	defer func() { c.Assert(ctl.Close(), qt.IsNil) }()
	cl, err := NewClient(ClientConfig{Name: "entry-1", Incarnation: 7, Addr: "127.0.0.1:1", Zone: "kl-1", ControlAddrs: []string{cfg.Addr}}, WithClientLogger(noLogger()))
	c.Assert(err, qt.IsNil)
	defer func() { c.Assert(cl.Close(), qt.IsNil) }()

	server := registrar.Server{Name: "engine-1", Kind: configurer.KindModel, Addr: "127.0.0.1:2", Zone: "kl-1", Service: "base", Incarnation: "i1", Slots: 4, Batch: 8}
	cl.Announce(server)
	awaitUpdate(ctx, c, cl, func() bool { o, ok := cl.Roster().Owner("engine-1"); return ok && o.Entry == "entry-1" })
	o, _ := cl.Roster().Owner("engine-1")
	c.Assert(o.Epoch > 0, qt.IsTrue)
	c.Assert(o.Clean, qt.IsTrue)
	c.Assert(cl.LeaseEnd().After(time.Time{}), qt.IsTrue)

	op := operatorClient{c, cfg.OperatorsAddr}
	var applied appliedBody
	zero := uint64(0)
	c.Assert(op.call("POST", "/v1/apply", applyBody{Change: "c1", Expect: &zero, Doc: sampleDoc(), Wait: true, Timeout: "60s"}, &applied), qt.Equals, http.StatusOK)
	c.Assert(applied, qt.DeepEquals, appliedBody{Revision: 1, InForce: true, Changed: []configurer.Ref{
		{Kind: "class", Name: "chat"}, {Kind: "service", Name: "base"}, {Kind: "adapter", Name: "ipoh"},
	}})
	c.Assert(cl.Catalog().Revision(), qt.Equals, uint64(1))
	target, err := cl.Catalog().Resolve("ipoh")
	c.Assert(err, qt.IsNil)

	var bad errorBody
	c.Assert(op.call("POST", "/v1/apply", applyBody{Change: "c2", Expect: &zero}, &bad), qt.Equals, http.StatusConflict)
	c.Assert(bad.Error.Winner.Change, qt.Equals, "c1")
	c.Assert(bad.Error.Winner.Operator, qt.Equals, "aisyah")
	var st statusJSON
	c.Assert(op.call("GET", "/v1/status", nil, &st), qt.Equals, http.StatusOK)
	c.Assert(st.Servers[0].Owner, qt.Equals, "entry-1")
	c.Assert(st.Entries[0].Revision, qt.Equals, uint64(1))

	p, err := cl.Permit(ctx, registrar.LoadRequest{Server: "engine-1", Target: target, Urgent: true})
	c.Assert(err, qt.IsNil)
	cl.ReturnPermit(p, true)
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		_, err = cl.Permit(ctx, registrar.LoadRequest{Server: "engine-1", Target: target, Rate: rate})
		c.Assert(err, qt.ErrorMatches, "control leader: the rate of use .*")
	}
	_, err = cl.Permit(ctx, registrar.LoadRequest{Server: "engine-1", Target: target, Waited: -time.Second})
	c.Assert(err, qt.ErrorMatches, "control leader: the wait .* is negative")
	digest := quarantiner.Digest{1}
	c.Assert(cl.ReportCrash(ctx, "engine-1", []quarantiner.Digest{digest}), qt.IsNil)
	c.Assert(cl.Standing(digest), qt.Equals, quarantiner.Suspect)
	release, err := cl.LockSuspect(ctx, digest)
	c.Assert(err, qt.IsNil)
	release()
	c.Assert(cl.ReportCrash(ctx, "engine-1", []quarantiner.Digest{digest}), qt.IsNil)
	c.Assert(cl.Standing(digest), qt.Equals, quarantiner.Quarantined)

	c.Assert(cl.ReportCompletion(ctx, digest, cl.Roster().Revision()), qt.IsNil)
	harmless := quarantiner.Digest{2}
	before := cl.Roster().Revision()
	c.Assert(cl.ReportCrash(ctx, "engine-1", []quarantiner.Digest{harmless}), qt.IsNil)
	c.Assert(cl.ReportCompletion(ctx, harmless, before), qt.IsNil)
	c.Assert(cl.Standing(harmless), qt.Equals, quarantiner.Suspect)
	c.Assert(cl.ReportCompletion(ctx, harmless, cl.Roster().Revision()), qt.IsNil)
	for updated := cl.Updated(); cl.Standing(harmless) != quarantiner.Clear; updated = cl.Updated() {
		select {
		case <-updated:
		case <-time.After(10 * time.Millisecond):
		}
		c.Assert(ctx.Err(), qt.IsNil)
	}
	c.Assert(cl.Standing(digest), qt.Equals, quarantiner.Quarantined)

	key := recorder.Key{Caller: "gym", Service: "orders", Key: "k1"}
	begun, err := cl.BeginBooking(ctx, recorder.Begin{Key: key, Attempt: "a1"})
	c.Assert(err, qt.IsNil)
	c.Assert(begun.Decision, qt.Equals, recorder.DecisionRun)
	c.Assert(cl.EndBooking(ctx, recorder.End{Key: key, Attempt: "a1", Outcome: recorder.OutcomeDone, Answer: recorder.Answer{Status: 201}}), qt.IsNil)
	begun, err = cl.BeginBooking(ctx, recorder.Begin{Key: key, Attempt: "a2"})
	c.Assert(err, qt.IsNil)
	c.Assert(begun, qt.DeepEquals, recorder.BeginReply{Decision: recorder.DecisionDone, Answer: recorder.Answer{Status: 201}})

	// An answer larger than a message still ends its booking, and the session stays open.
	large := recorder.Key{Caller: "gym", Service: "orders", Key: "k2"}
	begun, err = cl.BeginBooking(ctx, recorder.Begin{Key: large, Attempt: "a3"})
	c.Assert(err, qt.IsNil)
	c.Assert(begun.Decision, qt.Equals, recorder.DecisionRun)
	end := recorder.End{Key: large, Attempt: "a3", Outcome: recorder.OutcomeDone, Answer: recorder.Answer{Status: 201, Body: make([]byte, maxMessageBytes+1)}}
	c.Assert(cl.EndBooking(ctx, end), qt.IsNil)
	begun, err = cl.BeginBooking(ctx, recorder.Begin{Key: large, Attempt: "a4"})
	c.Assert(err, qt.IsNil)
	c.Assert(begun, qt.DeepEquals, recorder.BeginReply{Decision: recorder.DecisionDone})
}
