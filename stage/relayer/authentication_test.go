package relayer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

const (
	testKey     = "X-Key"
	testAccount = "X-Account"
)

// keyHeaders are testHeaders with the headers of client accounts.
var keyHeaders = func() Headers {
	h := testHeaders
	h.Key, h.Account, h.Challenge = testKey, testAccount, "Token"
	h.ParseKey = func(v string) (string, bool) {
		scheme, key, ok := strings.Cut(v, " ")
		return key, ok && scheme == "Token" && key != ""
	}
	return h
}()

// account returns an account with the keys.
func account(name string, priority int, keys ...string) matcher.Account {
	a := matcher.Account{Name: name, Priority: priority}
	for _, k := range keys {
		a.Keys = append(a.Keys, matcher.HashKey(k))
	}
	return a
}

// accountTable returns a table of a version with the accounts and one route of each kind; requests below /open/ need no key.
func accountTable(c *qt.C, version uint64, accounts ...matcher.Account) *matcher.Table {
	base := matcher.Route{
		Host: testHost, Timeout: 20 * time.Second, LatencyTarget: 10 * time.Second, MaxPause: 100 * time.Millisecond, Attempts: 2,
		Shares: []matcher.Share{{Service: "s", Weight: 1}}, Priority: 4,
	}
	once, stream, open := base, base, base
	once.Name, once.Prefix = "once", "/once/"
	stream.Name, stream.Prefix, stream.Stream = "stream", "/stream/", true
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	t, err := matcher.New(version, []matcher.Route{once, stream, open}, []matcher.Service{{Name: "s"}}, matcher.Limits{}, accounts...)
	c.Assert(err, qt.IsNil)
	return t
}

// startAccountEntry runs an entry with the accounts in front of one server.
func startAccountEntry(c *qt.C, log io.Writer, handler http.HandlerFunc, accounts ...matcher.Account) *Relayer {
	e := startEntryWithLog(c, logger.New(log, "info"), handler)
	e.headers = newHeaderNames(keyHeaders)
	e.table.Store(accountTable(c, 2, accounts...))
	return e
}

// lockedBuffer is a buffer for logs of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestDecisionOnHead(t *testing.T) {
	c := qt.New(t)
	accounts := accountTable(c, 2, account("large", 1, "k1", "k2"), account("small", matcher.NoPriority, "k3"))
	none := accountTable(c, 3)
	names := newHeaderNames(keyHeaders)
	for _, row := range []struct {
		name     string
		table    *matcher.Table
		path     string
		keys     []string
		mayBeOld bool
		status   int
		account  string
		priority int
	}{
		{name: "no configuration", path: "/once/", status: 503},
		{name: "known key", table: accounts, path: "/once/", keys: []string{"Token k1"}, account: "large", priority: 1},
		{name: "second key", table: accounts, path: "/once/", keys: []string{"Token k2"}, account: "large", priority: 1},
		{name: "account without priority", table: accounts, path: "/once/", keys: []string{"Token k3"}, account: "small", priority: 4},
		{name: "unknown key", table: accounts, path: "/once/", keys: []string{"Token k4"}, status: 401},
		{name: "no key", table: accounts, path: "/once/", status: 401},
		{name: "another scheme", table: accounts, path: "/once/", keys: []string{"Basic k1"}, status: 401},
		{name: "key without scheme", table: accounts, path: "/once/", keys: []string{"k1"}, status: 401},
		{name: "the same key twice", table: accounts, path: "/once/", keys: []string{"Token k1", "Token k1"}, status: 401},
		{name: "two keys", table: accounts, path: "/once/", keys: []string{"Token k1", "Token k3"}, status: 401},
		{name: "unknown key, old table", table: accounts, path: "/once/", keys: []string{"Token k4"}, mayBeOld: true, status: 503},
		{name: "known key, old table", table: accounts, path: "/once/", keys: []string{"Token k3"}, mayBeOld: true, account: "small", priority: 4},
		{name: "public, no key", table: accounts, path: "/open/", priority: 4},
		{name: "public, unknown key", table: accounts, path: "/open/", keys: []string{"Token k4"}, mayBeOld: true, priority: 4},
		{name: "public, two keys", table: accounts, path: "/open/", keys: []string{"Token k1", "Token k1"}, priority: 4},
		{name: "public, known key", table: accounts, path: "/open/", keys: []string{"Token k1"}, account: "large", priority: 1},
		{name: "no route", table: accounts, path: "/none/", keys: []string{"Token k1"}, status: 404},
		{name: "no route, no key", table: accounts, path: "/none/", status: 404},
		{name: "no route, old table", table: accounts, path: "/none/", mayBeOld: true, status: 503},
		{name: "no accounts, some key", table: none, path: "/once/", keys: []string{"Token k4"}, priority: 4},
		{name: "no accounts, no key", table: none, path: "/once/", priority: 4},
	} {
		req := &request{host: testHost, path: row.path}
		for _, k := range row.keys {
			req.fields = append(req.fields, field{testKey, k})
		}
		d := decideHead(row.table, names, req, row.mayBeOld)
		note := qt.Commentf("%s", row.name)
		c.Check(d.accountName(), qt.Equals, row.account, note)
		if row.status == 0 {
			c.Assert(d.refusal, qt.IsNil, note)
			c.Check(d.priority(), qt.Equals, row.priority, note)
			continue
		}
		c.Assert(d.refusal, qt.IsNotNil, note)
		c.Check(d.refusal.status, qt.Equals, row.status, note)
		c.Check(d.refusal.retryAfter > 0, qt.Equals, row.status == 503, note)
	}
}

// Servers get the account's name whatever the caller sent, and never the key.
func TestKeyIsNotPassedOnAndAccountIsNamed(t *testing.T) {
	for _, row := range []struct {
		name, path string
		headers    []string
		account    []string
	}{
		{name: "known key", path: "/once/", headers: []string{"X-Key: Token k1"}, account: []string{"large"}},
		{name: "another account named", path: "/once/", headers: []string{"X-Key: Token k1", "x-account: small"}, account: []string{"large"}},
		{
			name: "both in the connection header", path: "/once/", account: []string{"large"},
			headers: []string{"X-Key: Token k1", "X-Account: small", "Connection: x-key, x-account"},
		},
		{name: "public, no key", path: "/open/", headers: []string{"X-Account: large"}},
		{name: "public, unknown key", path: "/open/", headers: []string{"X-Key: Token k9", "X-Account: large"}},
		{name: "public, known key twice", path: "/open/", headers: []string{"X-Key: Token k1", "x-KEY: Token k1"}},
		{name: "public, known key", path: "/open/", headers: []string{"x-key: Token k1"}, account: []string{"large"}},
		{name: "stream", path: "/stream/", headers: []string{"X-Key: Token k1"}, account: []string{"large"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var got http.Header
			e := startAccountEntry(c, io.Discard, func(w http.ResponseWriter, r *http.Request) {
				got = r.Header.Clone()
				setSeal(w, r)
				writeEvent(w, 1)
			}, account("large", 1, "k1", "k2"), account("small", 3, "k3"))
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", append(row.headers, "X-Other: kept")...)
			c.Assert(l.receive(c).status, qt.Equals, 200)
			c.Check(got.Values(testKey), qt.HasLen, 0)
			c.Check(got.Values(testAccount), qt.DeepEquals, row.account)
			c.Check(got.Get("X-Other"), qt.Equals, "kept")
			c.Check(fmt.Sprint(got), qt.Not(qt.Contains), "k1")
			if row.path == "/stream/" {
				c.Check(got.Get("X-Priority"), qt.Equals, "1", qt.Commentf("the account's priority goes before the route's"))
			}
		})
	}
}

// Without accounts, both headers are headers as any other.
func TestWithoutAccountsHeadsAreForwardedAsBefore(t *testing.T) {
	c := qt.New(t)
	req := &request{
		method: "POST", uri: "/once/?q=1", path: "/once/", host: testHost, body: []byte("x"),
		fields: []field{
			{"Host", testHost},
			{testKey, "Token k1"},
			{testAccount, "mine"},
			{testKey, "Token k2"},
			{"Connection", "X-Local"},
			{"X-Local", "1"},
			{"X-Hold", "1"},
			{testAttempt, "id-1"},
		},
	}
	want := "POST /once/?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Key: Token k1\r\nX-Account: mine\r\nX-Key: Token k2\r\nX-Attempt: id-1\r\nContent-Length: 1\r\n"
	for _, h := range []Headers{testHeaders, keyHeaders} {
		names := newHeaderNames(h)
		req.decision = decideHead(accountTable(c, 1), names, req, false)
		c.Check(string(req.upstreamHead(names)), qt.Equals, want)
	}
}

// A refused request's body is neither asked for nor waited for.
func TestUnknownKeyIsRefusedBeforeBody(t *testing.T) {
	head := "POST /once/ HTTP/1.1\r\nHost: " + testHost + "\r\n" + testAttempt + ": id-1\r\nX-Key: Token k9\r\n"
	for _, row := range []struct {
		name, sent string
		closes     bool
	}{
		{"no body", head + "\r\n", false},
		{"the whole body", head + "Content-Length: 2\r\n\r\nok", false},
		{"a part of the body", head + "Content-Length: 4000000\r\n\r\nok", true},
		{"a body over the limit", head + "Content-Length: 2000000000\r\n\r\n", true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true},
		{"a body that is sent when asked for", head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			e := startAccountEntry(c, io.Discard, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				setSeal(w, r)
			}, account("large", 1, "k1"))
			l := dial(c, e)
			_, err := io.WriteString(l, row.sent)
			c.Assert(err, qt.IsNil)
			resp := l.receive(c)
			c.Check(resp.status, qt.Equals, 401)
			c.Check(resp.header.Get("Www-Authenticate"), qt.Equals, "Token")
			c.Check(resp.closes, qt.Equals, row.closes)
			c.Check(calls.Load(), qt.Equals, int32(0))
			if row.closes {
				_, err := l.br.ReadByte()
				c.Check(err, qt.Equals, io.EOF)
				return
			}
			l.send(c, "POST", "/once/", "x", "X-Key: Token k1")
			c.Check(l.receive(c).status, qt.Equals, 200)
		})
	}
}

// A key that is taken away while a request's body is on its way must not be used when the body has come.
func TestKeyTakenAwayWhileBodyIsRead(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	e := startAccountEntry(c, io.Discard, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		setSeal(w, r)
	}, account("large", 1, "k1"))
	l := dial(c, e)
	_, err := fmt.Fprintf(l, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: id-1\r\nX-Key: Token k1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", testHost, testAttempt)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(l.br, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, 100)
	e.table.Store(accountTable(c, 3, account("large", 1, "k2")))
	_, err = io.WriteString(l, "ok")
	c.Assert(err, qt.IsNil)
	c.Check(l.receive(c).status, qt.Equals, 401)
	c.Check(calls.Load(), qt.Equals, int32(0))
}

// Keys appear in no log line and no metric, whether they are known or not.
func TestKeysAreInNoLogLineAndNoMetric(t *testing.T) {
	c := qt.New(t)
	log := &lockedBuffer{}
	status := http.StatusOK
	e := startAccountEntry(c, log, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.WriteHeader(status)
	}, account("large", 1, "secret-known"))
	l := dial(c, e)
	send := func(path string, want int, keys ...string) {
		l.send(c, "POST", path, "", keys...)
		c.Check(l.receive(c).status, qt.Equals, want)
	}
	send("/once/", 200, "X-Key: Token secret-known")
	send("/once/", 401, "X-Key: Token secret-unknown")
	send("/once/", 401, "X-Key: secret-malformed")
	send("/open/", 200, "X-Key: Token secret-unknown")
	status = http.StatusServiceUnavailable
	send("/once/", 502, "X-Key: Token secret-known")
	c.Check(log.String(), qt.Not(qt.Contains), "secret")
	c.Check(log.String(), qt.Contains, `"account":"large"`)
	c.Check(log.String(), qt.Contains, `"reason":"the key is unknown","status":401`)
	text := metricsText(e)
	c.Check(text, qt.Not(qt.Contains), "secret")
	c.Check(text, qt.Contains, `redwingstage_entry_accounts_total{account="large",outcome="admitted"} 2`)
	c.Check(text, qt.Contains, `redwingstage_entry_accounts_total{account="unknown",outcome="refused_key"} 2`)
	e.metrics.amounts.WithLabelValues("large", "refused").Inc()
	e.metrics.keepAccounts(accountTable(c, 3, account("other", 1, "k")))
	c.Check(metricsText(e), qt.Not(qt.Contains), `account="large"`, qt.Commentf("the labels are bounded by the accounts in force"))
}

// An entry that had heard nothing for a while, as after a freeze, denied a new key while it still read the version that has it:
// the message that brings the version confirmed the leader before it was applied.
func TestNewKeyIsNotDeniedWhileItsVersionIsRead(t *testing.T) {
	c := qt.New(t)
	e := startAccountEntry(c, io.Discard, func(http.ResponseWriter, *http.Request) {}, account("large", 1, "k1"))
	now := time.Now()
	setConfirmation(e, now.Add(-time.Hour))
	req := &request{host: testHost, path: "/once/", fields: []field{{testKey, "Token new"}}}
	reading, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	e.deps.Decode = func(governor.Doc) (*matcher.Table, error) {
		close(reading)
		<-release
		return accountTable(c, 3, account("large", 1, "new")), nil
	}
	go func() {
		defer close(done)
		e.control.receive("replica", governor.DownMessage{Doc: &governor.Doc{Version: 3}}, now.Add(time.Hour))
	}()
	<-reading
	d := e.decideNow(req)
	c.Assert(d.refusal, qt.IsNotNil)
	c.Check(d.refusal.status, qt.Equals, http.StatusServiceUnavailable)
	close(release)
	<-done
	d = e.decideNow(req)
	c.Check(d.accountName(), qt.Equals, "large")
	req.fields[0].value = "Token k1"
	d = e.decideNow(req)
	c.Assert(d.refusal, qt.IsNotNil)
	c.Check(d.refusal.status, qt.Equals, http.StatusUnauthorized)
}
