package relayer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
)

// testAccounts are one with a limit, in tokens, and one without.
var testAccounts = []*matcher.Account{
	{Name: "limited", Quota: matcher.Quota{Rate: 100, Burst: 100, Unit: matcher.Tokens, DefaultTokens: 10}},
	{Name: "free"},
}

// startLimitedEntry returns an entry that has contact with a leader and shares testAccounts' quotas with 9 others.
func startLimitedEntry(c *qt.C) *Relayer {
	e := startEntry(c)
	shareQuotas(e)
	return e
}

// shareQuotas gives an entry contact with a leader and its share of testAccounts' quotas, and waits for its first refill.
func shareQuotas(e *Relayer) {
	now := time.Now()
	e.quotas.configure(now, testAccounts)
	e.quotas.apply(now, &governor.QuotaUpdate{Entries: 10, Epoch: 1})
	e.quotas.confirm(now)
	for {
		e.quotas.mu.Lock()
		s, _ := e.quotas.set.Share(time.Now(), "limited")
		e.quotas.mu.Unlock()
		if s.Level > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// newAccountCall returns a request of an account that names tokens of its prompt and response.
func newAccountCall(e *Relayer, account *matcher.Account, prompt, output int) *call {
	route, _ := e.table.Load().Match(testHost, "/safe/x")
	return &call{
		req:   &request{method: "GET", uri: "/safe/x", host: testHost, path: "/safe/x", fields: []field{{testUsage, strconv.Itoa(prompt) + "," + strconv.Itoa(output)}}},
		route: route, service: "s", id: "id-1", account: account, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
		reached: make(map[string]bool), excluded: make(map[string]bool),
	}
}

// respond returns the status and the header of the response that write writes.
func respond(c *qt.C, write func(w *responseWriter)) (int, http.Header) {
	server, client := net.Pipe()
	defer client.Close()
	var writing conc.WaitGroup
	writing.Go(func() {
		// A panic of write must end the reading below.
		defer func() { _ = server.Close() }()
		write(&responseWriter{conn: server, stopping: new(atomic.Bool), draining: new(atomic.Bool)})
	})
	r, err := http.ReadResponse(bufio.NewReader(client), nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, r.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Body.Close(), qt.IsNil)
	writing.Wait()
	return r.StatusCode, r.Header
}

// A request counts the tokens of its prompt and response. The next one is refused with 429 and the time after which there is
// room: 890 of 900 tokens are missing, of which this entry gets 10 a second, so that it is the longest, 8 s, and up to half more.
func TestRequestBeyondQuotaIsRefused(t *testing.T) {
	c := qt.New(t)
	e := startLimitedEntry(c)
	first := newAccountCall(e, testAccounts[0], 700, 200)
	admitted, _ := e.admitToQuota(context.Background(), first, nil)
	c.Check(admitted, qt.IsTrue)
	c.Check(first.charged, qt.Equals, 900.0)
	status, header := respond(c, func(w *responseWriter) {
		admitted, ok := e.admitToQuota(context.Background(), newAccountCall(e, testAccounts[0], 1, 0), w)
		c.Check(admitted, qt.IsFalse)
		c.Check(ok, qt.IsTrue, qt.Commentf("the connection goes on"))
	})
	c.Check(status, qt.Equals, http.StatusTooManyRequests)
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	c.Check(after >= 8 && after <= 12, qt.IsTrue, qt.Commentf("%v", after))
	other, _ := e.admitToQuota(context.Background(), newAccountCall(e, testAccounts[1], 1e6, 0), nil)
	c.Check(other, qt.IsTrue, qt.Commentf("an account without a limit"))
	none, _ := e.admitToQuota(context.Background(), newAccountCall(e, nil, 1e6, 0), nil)
	c.Check(none, qt.IsTrue, qt.Commentf("a request without an account"))
}

// A request without a number of tokens counts the account's default.
func TestRequestWithoutTokensCountsDefault(t *testing.T) {
	c := qt.New(t)
	e := startLimitedEntry(c)
	l := newAccountCall(e, testAccounts[0], 0, 0)
	l.req.fields = nil
	admitted, _ := e.admitToQuota(context.Background(), l, nil)
	c.Check(admitted, qt.IsTrue)
	c.Check(l.charged, qt.Equals, 10.0)
}

// A request that waits is reported at once, and goes on when the leader's addition comes.
func TestRequestWaitsForAddition(t *testing.T) {
	c := qt.New(t)
	e := startLimitedEntry(c)
	_, _ = e.admitToQuota(context.Background(), newAccountCall(e, testAccounts[0], 700, 200), nil)
	waiting := newAccountCall(e, testAccounts[0], 700, 0)
	route := *waiting.route
	route.LatencyTarget = time.Hour
	waiting.route = &route
	done := make(chan bool)
	go func() {
		admitted, _ := e.admitToQuota(context.Background(), waiting, nil)
		done <- admitted
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		select {
		case up := <-e.control.queue:
			if up.Quotas == nil {
				continue
			}
			for _, d := range up.Quotas.Demands {
				c.Check(d.Account, qt.Equals, "limited")
				e.quotas.apply(time.Now(), &governor.QuotaUpdate{Additions: []governor.QuotaAddition{{Account: d.Account, Seq: d.Seq, Thousandths: d.Want}}})
			}
		case admitted := <-done:
			c.Check(admitted, qt.IsTrue)
			return
		}
	}
	c.Fatal("the request still waits")
}

// A request that every server refused returns its charge; one that a server ran doesn't.
func TestRequestThatDidNotRunIsRefunded(t *testing.T) {
	for _, row := range []struct {
		name     string
		handler  http.HandlerFunc
		refunded bool
	}{
		{"refused", func(w http.ResponseWriter, r *http.Request) {
			setSeal(w, r)
			w.Header().Set(testNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"answered", func(w http.ResponseWriter, r *http.Request) {
			setSeal(w, r)
			_, _ = io.WriteString(w, "ok")
		}, false},
		{"failed", func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			limited := account("limited", matcher.NoPriority, "k")
			limited.Quota = testAccounts[0].Quota
			e := startAccountEntry(c, io.Discard, row.handler, limited)
			shareQuotas(e)
			l := dial(c, e)
			l.send(c, "POST", "/once/", "", "X-Key: Token k", testUsage+": 10000,0")
			l.receive(c)
			// The first request has ended when the next one on its connection is answered.
			l.send(c, "POST", "/open/", "")
			l.receive(c)
			e.quotas.mu.Lock()
			s, _ := e.quotas.set.Share(time.Now(), "limited")
			e.quotas.mu.Unlock()
			c.Check(s.Level > -5000, qt.Equals, row.refunded, qt.Commentf("%v", s.Level))
			c.Check(metricsText(e), qt.Contains, `redwingstage_entry_quota_amount_total{account="limited",kind="admitted"} 10000`)
		})
	}
}

// An entry that a leader hasn't told its share refuses with 503: 429 would blame the account.
func TestEntryWithoutShareRefuses(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	e.quotas.configure(time.Now(), testAccounts)
	status, _ := respond(c, func(w *responseWriter) {
		admitted, _ := e.admitToQuota(context.Background(), newAccountCall(e, testAccounts[0], 1, 0), w)
		c.Check(admitted, qt.IsFalse)
	})
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	d, _ := e.quotas.take("limited", 1, false)
	c.Check(d.Verdict, qt.Equals, limiter.Unknown)
}
