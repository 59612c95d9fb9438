package relayer

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
)

// applyAccounts puts a table with the accounts in force as a document of control does.
func applyAccounts(c *qt.C, e *Relayer, version uint64, accounts ...matcher.Account) {
	e.deps.Decode = func(governor.Doc) (*matcher.Table, error) { return accountTable(c, version, accounts...), nil }
	e.control.applyMessage(governor.DownMessage{Doc: &governor.Doc{Version: version}})
}

// startWithdrawalEntry runs an entry whose server sends one event, and ends when release is closed.
func startWithdrawalEntry(c *qt.C, closeRevoked bool, began chan<- struct{}, release <-chan struct{}) *Relayer {
	e := startAccountEntry(c, io.Discard, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		setSeal(w, r)
		if r.URL.Path == "/stream/" {
			writeEvent(w, 1)
		}
		began <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}, account("large", 1, "k1", "k2"))
	e.cfg.CloseRevoked = closeRevoked
	return e
}

// Where the settings don't ask for more, requests with a key that is taken away end as if it were not, and new ones get 401.
func TestRunningRequestOutlivesItsKey(t *testing.T) {
	c := qt.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	e := startWithdrawalEntry(c, false, began, release)
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", "X-Key: Token k1")
	<-began
	applyAccounts(c, e, 3, account("large", 1, "k2"))
	close(release)
	resp := l.receive(c)
	c.Check(resp.status, qt.Equals, 200)
	c.Check(resp.err, qt.IsNil)
	l.send(c, "POST", "/stream/", "x", "X-Key: Token k1")
	c.Check(l.receive(c).status, qt.Equals, 401)
}

func TestWithdrawalEndsWhatTheKeyWasUsedFor(t *testing.T) {
	for _, row := range []struct {
		name, path, key string
		next            matcher.Account
		// status is what the caller gets; cut is set if the response must not look complete.
		status int
		cut    bool
	}{
		{name: "a stream that began is cut", path: "/stream/", key: "k1", next: account("large", 1, "k2"), status: 200, cut: true},
		{name: "a request that may have run fails", path: "/once/", key: "k1", next: account("large", 1, "k2"), status: 502},
		{name: "the key moves to another account", path: "/stream/", key: "k1", next: account("small", 1, "k1", "k2"), status: 200, cut: true},
		{name: "another key is taken away", path: "/stream/", key: "k1", next: account("large", 1, "k1"), status: 200},
		{name: "a public route needs no key", path: "/open/", key: "k1", next: account("large", 1, "k2"), status: 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			began, release := make(chan struct{}), make(chan struct{})
			e := startWithdrawalEntry(c, true, began, release)
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", "X-Key: Token "+row.key)
			<-began
			if row.cut {
				_, err := l.br.Peek(1)
				c.Assert(err, qt.IsNil)
			}
			applyAccounts(c, e, 3, row.next)
			if row.status == 200 && !row.cut {
				close(release)
			}
			resp := l.receive(c)
			c.Check(resp.status, qt.Equals, row.status)
			if row.cut {
				c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF)
			} else {
				c.Check(resp.err, qt.IsNil)
			}
			if row.cut || row.status != 200 {
				_, err := l.br.ReadByte()
				c.Check(err, qt.Equals, io.EOF)
				c.Check(metricsText(e), qt.Contains, `outcome="withdrawn_key"} 1`)
			}
		})
	}
}

// countKeyUses returns the number of connections that have used a key.
func countKeyUses(e *Relayer) int {
	e.keyUses.mu.Lock()
	defer e.keyUses.mu.Unlock()
	return len(e.keyUses.conns)
}

// A request that waits for a server when its key is taken away did not run: it gets 401.
func TestWithdrawalRefusesWaitingRequest(t *testing.T) {
	c := qt.New(t)
	e := startAccountEntry(c, io.Discard, func(http.ResponseWriter, *http.Request) {}, account("large", 1, "k1"))
	e.cfg.CloseRevoked = true
	e.balancer.Remove([]string{"s0"})
	l := dial(c, e)
	l.send(c, "POST", "/stream/", "x", "X-Key: Token k1", testDeadline+": 20000")
	for countKeyUses(e) == 0 {
		time.Sleep(time.Millisecond)
	}
	applyAccounts(c, e, 3, account("large", 1, "k2"))
	resp := l.receive(c)
	c.Check(resp.status, qt.Equals, 401)
	c.Check(resp.closes, qt.IsTrue)
}

// A key that is taken away between the decision on the head and the record of its use ends its request all the same.
func TestWithdrawalBeforeUseIsRecorded(t *testing.T) {
	c := qt.New(t)
	e := startAccountEntry(c, io.Discard, func(http.ResponseWriter, *http.Request) {}, account("large", 1, "k1"))
	e.cfg.CloseRevoked = true
	req := &request{host: testHost, path: "/once/", fields: []field{{testKey, "Token k1"}}}
	d := e.decideNow(req)
	c.Assert(d.refusal, qt.IsNil)
	applyAccounts(c, e, 3, account("large", 1, "k2"))
	ctx, cancel := e.withWithdrawal(context.Background(), nil, &d)
	defer cancel(nil)
	c.Check(isWithdrawn(ctx), qt.IsTrue)
	e.keyUses.forget(nil)
}

// Idle connections on which a key was used close when it is taken away; others stay open.
func TestWithdrawalClosesIdleConnections(t *testing.T) {
	c := qt.New(t)
	e := startAccountEntry(c, io.Discard, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
	}, account("large", 1, "k1", "k2"))
	e.cfg.CloseRevoked = true
	gone, stays := dial(c, e), dial(c, e)
	gone.send(c, "POST", "/once/", "x", "X-Key: Token k1")
	c.Assert(gone.receive(c).status, qt.Equals, 200)
	gone.send(c, "POST", "/once/", "x", "X-Key: Token k2")
	c.Assert(gone.receive(c).status, qt.Equals, 200)
	stays.send(c, "POST", "/once/", "x", "X-Key: Token k2")
	c.Assert(stays.receive(c).status, qt.Equals, 200)
	applyAccounts(c, e, 3, account("large", 1, "k2"))
	_, err := gone.br.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	stays.send(c, "POST", "/once/", "x", "X-Key: Token k2")
	c.Check(stays.receive(c).status, qt.Equals, 200)
}
