package relayer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/matcher"
)

// errKeyWithdrawn is the cancellation cause of a request whose key was taken away.
var errKeyWithdrawn = errors.New("the key was taken away")

// keyUses are the keys that open connections have used, so that the withdrawal of a key ends what it was used for. It is empty
// unless Config.CloseRevoked is set.
type keyUses struct {
	mu    sync.Mutex
	conns map[net.Conn]*connKeys
}

// connKeys are the keys that one connection has used, with the names of the accounts that held them.
type connKeys struct {
	used map[matcher.KeyHash]string
	// cancel cancels the request in flight that needs a key; nil if there is none. runningKey is that key.
	cancel     context.CancelCauseFunc
	runningKey matcher.KeyHash
	// isBusy is set while the connection has a request; mustClose is set if it closes after that.
	isBusy    bool
	mustClose bool
}

func newKeyUses() *keyUses { return &keyUses{conns: make(map[net.Conn]*connKeys)} }

// isHeld reports whether a key is still one of the account with the name.
func isHeld(t *matcher.Table, key matcher.KeyHash, account string) bool {
	a, ok := t.AccountOf(key)
	return ok && a.Name == account
}

// begin records the use of a request's key on a connection.
func (u *keyUses) begin(c net.Conn, key matcher.KeyHash, account string, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := u.conns[c]
	if k == nil {
		k = &connKeys{used: make(map[matcher.KeyHash]string)}
		u.conns[c] = k
	}
	k.used[key] = account
	k.cancel, k.runningKey, k.isBusy = cancel, key, true
}

// setBusy records whether a connection that has used a key has a request; false means that it must close.
func (u *keyUses) setBusy(c net.Conn, busy bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := u.conns[c]
	if k == nil {
		return true
	}
	k.isBusy = busy
	if !busy {
		k.cancel = nil
	}
	return !k.mustClose
}

// forget removes a connection that has ended.
func (u *keyUses) forget(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// withdraw cancels the requests whose keys a table has taken away, and closes the idle connections that have used such a key;
// those with another request close after it. A table without accounts takes no key away: requests need none.
func (u *keyUses) withdraw(t *matcher.Table) {
	if !t.HasAccounts() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, k := range u.conns {
		for key, account := range k.used {
			if isHeld(t, key, account) {
				continue
			}
			delete(k.used, key)
			k.mustClose = true
			if k.cancel != nil && k.runningKey == key {
				k.cancel(errKeyWithdrawn)
			}
		}
		if k.mustClose && !k.isBusy {
			_ = c.Close()
		}
	}
}

// withWithdrawal returns a context that is cancelled if the request's key is taken away, where the settings ask for it.
func (e *Relayer) withWithdrawal(ctx context.Context, c net.Conn, d *headDecision) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if !e.cfg.CloseRevoked || d.account == nil || d.route.Public {
		return ctx, cancel
	}
	e.keyUses.begin(c, d.key, d.account.Name, cancel)
	if t := e.table.Load(); t != d.table {
		// The table that came in between may have taken the key away before its use was recorded.
		e.keyUses.withdraw(t)
	}
	return ctx, cancel
}

// isWithdrawn reports whether a request ended because its key was taken away.
func isWithdrawn(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errKeyWithdrawn) }

// failWithdrawn ends a request whose key was taken away: a response that has begun is cut.
func (e *Relayer) failWithdrawn(c *call, w *responseWriter) bool {
	e.metrics.countAccount(c.account.Name, accountWithdrawn)
	reason := errKeyWithdrawn.Error()
	if w.streaming {
		return e.abortResponse(c, w, reason)
	}
	w.closeConn = true
	if c.mayHaveRun {
		return e.respondError(c, w, http.StatusBadGateway, "the request may have run: "+reason)
	}
	e.logEnd(c, "refused", reason, http.StatusUnauthorized)
	return e.writeDenial(w, &refusal{status: http.StatusUnauthorized, reason: reason})
}
