package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/operator"
)

const explainedKey = "k-secret-1"

// startExplainedEntry runs an entry whose route goes to three engines: s0 holds the adapter, s1 has no place, s2 lacks it.
func startExplainedEntry(c *qt.C, log io.Writer) *Relayer {
	refuse := func(http.ResponseWriter, *http.Request) { c.Error("a server got a request") }
	e := startEntryWithLog(c, logger.New(log, "debug"), refuse, refuse, refuse)
	e.headers = newHeaderNames(keyHeaders)
	limited := account("limited", 2, explainedKey)
	limited.Quota = matcher.Quota{Rate: 100, Burst: 100, Unit: matcher.Tokens, DefaultTokens: 10}
	t, err := matcher.New(7, []matcher.Route{{
		Name: "tuned", Host: testHost, Prefix: "/tuned/", Timeout: 20 * time.Second, LatencyTarget: time.Second, Stream: true, Attempts: 2,
		Shares: []matcher.Share{{Service: "s", Weight: 1}},
	}}, []matcher.Service{{
		Name: "s", AdapterSlots: 4, MemoryTokens: 10_000, EventTokens: 1, Models: []matcher.Model{{Name: "m", Adapters: 9}},
	}}, matcher.Limits{}, limited)
	c.Assert(err, qt.IsNil)
	e.table.Store(t)
	now := time.Now()
	e.quotas.configure(now, t.Accounts())
	e.quotas.apply(now, &governor.QuotaUpdate{Entries: 2, Epoch: 1})
	e.quotas.confirm(now)
	held := tracker.Adapter{Model: "m", Name: "a"}
	e.control.receive("replica", governor.DownMessage{
		Versions: []tracker.Resident{{Adapter: held, Version: 3}}, Entries: 2,
		ResidentChanges: []governor.ResidentChange{{Engine: "s0", Adapter: held, Version: 3}, {Engine: "s1", Adapter: held, Version: 3}},
		Loads:           []governor.Load{{Server: "s0", Running: 2, Memory: 1500}, {Server: "s1", Running: 20}, {Server: "s2"}},
	}, now)
	return e
}

// ask asks the readiness listener of the entry.
func ask(e *Relayer, method string, body []byte) (int, string) {
	rec := httptest.NewRecorder()
	e.ready.Handler.ServeHTTP(rec, httptest.NewRequestWithContext(context.Background(), method, explainPath, bytes.NewReader(body)))
	return rec.Code, rec.Body.String()
}

func describe(c *qt.C, path string, headers ...string) []byte {
	in := explainRequest{Host: testHost + ":80", Path: path}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		in.Headers = append(in.Headers, explainHeader{Name: name, Value: value})
	}
	b, err := json.Marshal(in)
	c.Assert(err, qt.IsNil)
	return b
}

// explainedState is what a request changes at an entry.
type explainedState struct {
	metrics   string
	loads     []balancer.Load
	uses      []balancer.Use
	queued    int
	requested int
	waiting   int
	lengths   int
	share     any
	demands   any
}

func stateOf(e *Relayer, at time.Time) explainedState {
	e.quotas.mu.Lock()
	share, d, _ := e.quotas.set.Preview(at, "limited", 1)
	e.quotas.mu.Unlock()
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	return explainedState{
		metrics: metricsText(e), loads: e.balancer.Loads(), uses: e.balancer.Uses(), queued: len(e.control.queue), requested: len(e.control.requestedAt),
		waiting: e.balancer.WaitingForRoom("s"), lengths: len(e.lengths.byService), share: share, demands: d,
	}
}

func TestExplanation(t *testing.T) {
	c := qt.New(t)
	var log lockedBuffer
	e := startExplainedEntry(c, &log)
	at := time.Now().Add(100 * time.Millisecond)
	stateOf(e, at) // takes the loads that are to be reported
	before := stateOf(e, at)
	key := keyHeaders.Key + ": Token " + explainedKey
	var got explainAnswer
	for range 30 {
		status, body := ask(e, "POST", describe(c, "/tuned/x?q=1", key, "X-Model: m/a", testUsage+": 600,100"))
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
		c.Assert(body, qt.Not(qt.Contains), explainedKey)
		c.Assert(json.Unmarshal([]byte(body), &got), qt.IsNil)
		status, body = ask(e, "POST", describe(c, "/tuned/x", key, "X-Model: m/none"))
		c.Check(status, qt.Equals, 404)
		c.Check(body, qt.Contains, `{"error":{"code":"unknown_adapter","message":"the adapter m/none is unknown at s: no server holds it`)
	}
	c.Check(got.Version, qt.Equals, uint64(7))
	c.Check(got.Route, qt.Equals, "tuned")
	c.Check(got.Account, qt.Equals, "limited")
	c.Check(got.Priority, qt.Equals, 2)
	c.Check(got.Adapter, qt.Equals, "m/a")
	c.Check(got.NewsAgeMS >= 0 && got.NewsAgeMS < 60_000, qt.IsTrue)
	c.Check(got.ConfirmedAgeMS >= 0 && got.ConfirmedAgeMS < 60_000, qt.IsTrue)
	c.Check(got.Quota.Cost, qt.Equals, 700.0)
	c.Check(got.Quota.LimitPerS, qt.Equals, 100.0)
	c.Assert(got.Services, qt.HasLen, 1)
	c.Check(got.Services[0].Choice, qt.Equals, "s0")
	var leftOut []string
	for _, s := range got.Services[0].Servers {
		leftOut = append(leftOut, s.ID+" "+s.LeftOut)
	}
	c.Check(leftOut, qt.DeepEquals, []string{"s0 ", "s1 full", "s2 lacks the adapter"})
	s0 := got.Services[0].Servers[0]
	c.Check(s0.Chance, qt.Equals, 1.0)
	c.Check(s0.Memory, qt.Equals, 1500)
	c.Check(s0.AllRunning, qt.Equals, 2)
	c.Check(s0.Adapter, qt.Equals, 3)
	after := stateOf(e, at)
	c.Check(reflect.DeepEqual(after, before), qt.IsTrue, qt.Commentf("%+v, before %+v", after, before))
	c.Check(log.String(), qt.Not(qt.Contains), explainedKey)
}

func TestExplanationRefuses(t *testing.T) {
	c := qt.New(t)
	var log lockedBuffer
	e := startExplainedEntry(c, &log)
	key := keyHeaders.Key + ": Token " + explainedKey
	for _, row := range []struct {
		name   string
		method string
		body   []byte
		status int
		code   string
	}{
		{"unknown route", "POST", describe(c, "/none/", key), 404, codeUnknownRoute},
		{"unknown key", "POST", describe(c, "/tuned/x", keyHeaders.Key+": Token other-secret"), 401, codeUnknownKey},
		{"no key", "POST", describe(c, "/tuned/x"), 401, codeUnknownKey},
		{"two keys", "POST", describe(c, "/tuned/x", key, key), 401, codeUnknownKey},
		{"unknown model", "POST", describe(c, "/tuned/x", key, "X-Model: other/a"), 404, codeUnknownAdapter},
		{"unknown adapter", "POST", describe(c, "/tuned/x", key, "X-Model: m/b"), 404, codeUnknownAdapter},
		{"not a post", "GET", nil, 405, codeInvalid},
		{"not JSON", "POST", []byte(`{"headers":"` + explainedKey), 400, codeInvalid},
		{"another form", "POST", []byte(`{"headers":"` + explainedKey + `"}`), 400, codeInvalid},
		{"too large", "POST", []byte(`{"path":"` + strings.Repeat("x", maxExplainBytes) + `"}`), 413, codeInvalid},
		{"malformed path", "POST", describe(c, "x y", key), 400, codeInvalid},
		{"malformed header", "POST", describe(c, "/tuned/x", "A B: "+explainedKey), 400, codeInvalid},
	} {
		status, body := ask(e, row.method, row.body)
		c.Check(status, qt.Equals, row.status, qt.Commentf("%s: %s", row.name, body))
		var got explainErrorBody
		c.Assert(json.Unmarshal([]byte(body), &got), qt.IsNil)
		c.Check(got.Error.Code, qt.Equals, row.code, qt.Commentf("%s", row.name))
		c.Check(body, qt.Not(qt.Contains), "secret", qt.Commentf("%s", row.name))
	}
	setConfirmation(e, time.Now().Add(-time.Minute))
	status, body := ask(e, "POST", describe(c, "/none/", key))
	c.Check(status, qt.Equals, 503)
	c.Check(body, qt.Contains, codeUnsure)
	c.Check(log.String(), qt.Not(qt.Contains), "secret")
}

// The operators' command reads what an entry answers.
func TestCommandReadsExplanation(t *testing.T) {
	c := qt.New(t)
	e := startExplainedEntry(c, io.Discard)
	srv := httptest.NewServer(e.ready.Handler)
	defer srv.Close()
	for _, row := range []struct {
		adapter string
		code    operator.Code
		out     []string
	}{
		{"m/a", operator.OK, []string{
			"entry    n in z, configuration 7, 2 entries", "route    tuned, priority 2", "account  limited, this entry has ", "the request counts 700.0: ",
			"adapter  m/a", "1500 of 10000", "version 3", "100 %", "2 of 20", "lacks the adapter", "full",
		}},
		{"m/b", operator.Refused, []string{"unknown_adapter: the adapter m/b is unknown at s"}},
	} {
		var out bytes.Buffer
		code := operator.Run(operator.Env{Out: &out, Err: &out}, []string{
			"explain", "--entry", srv.Listener.Addr().String(), "--host", testHost, "--path", "/tuned/x", "--header", keyHeaders.Key + ": Token " + explainedKey,
			"--header", "X-Model: " + row.adapter, "--header", testUsage + ": 600,100",
		})
		c.Check(code, qt.Equals, row.code)
		for _, text := range row.out {
			c.Check(out.String(), qt.Contains, text)
		}
		c.Check(out.String(), qt.Not(qt.Contains), explainedKey)
	}
}
