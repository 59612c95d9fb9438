package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/logger"
)

const (
	// unreadBodyTime and unreadBodyBytes bound the discarding of a refused request's body after the answer: closing a
	// connection with unread bytes resets it, which could take the answer from the caller.
	unreadBodyTime  = 300 * time.Millisecond
	unreadBodyBytes = 8 << 20
)

// headDecision is what is decided on a request's head, by one table: its route and its client account, or its refusal.
type headDecision struct {
	// table is nil if this entry has no configuration.
	table *matcher.Table
	route *matcher.Route
	// account is the client account that holds the request's key, nil if there is none; key is valid beside it.
	account *matcher.Account
	key     matcher.KeyHash
	refusal *refusal
	// leaderAge is how long before the decision the leader was known to have served this entry, negative if never.
	leaderAge time.Duration
}

// basis returns what the decision stands on, for the log.
func (d *headDecision) basis() logger.Basis {
	b := logger.Basis{LeaderAge: d.leaderAge}
	if d.table != nil {
		b.Version = d.table.Version()
	}
	return b
}

// refusal is this entry's own answer to a request that isn't passed on.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// outcome is set if the request is refused for its key, and counted.
	outcome accountOutcome
}

// onKey reports whether there is a refusal and it is for the request's key; such refusals are sent before the body is read.
func (r *refusal) onKey() bool { return r != nil && r.outcome != "" }

// decideHead decides on a request's head by a table; mayBeOld is set if a newer version may be in force elsewhere.
func decideHead(table *matcher.Table, names *headerNames, req *request, mayBeOld bool) headDecision {
	d := headDecision{table: table}
	if table == nil {
		d.refusal = &refusal{
			status: http.StatusServiceUnavailable, reason: "this entry has no configuration yet", retryAfter: retryAfterNoServer,
		}
		return d
	}
	route, ok := table.Match(req.host, req.path)
	switch {
	case !ok && mayBeOld:
		d.refusal = &refusal{
			status: http.StatusServiceUnavailable, reason: "no route matches, and this entry may not know the newest ones",
			retryAfter: retryAfterNoServer,
		}
		return d
	case !ok:
		d.refusal = &refusal{status: http.StatusNotFound, reason: "no route matches " + req.host + req.path}
		return d
	}
	d.route = route
	if !table.HasAccounts() {
		return d
	}
	key, reason := names.requestKey(req)
	if reason == "" {
		if a, ok := table.AccountOf(key); ok {
			d.account, d.key = a, key
			return d
		}
		reason = "the key is unknown"
	}
	switch {
	case route.Public:
	case mayBeOld:
		d.refusal = &refusal{
			status: http.StatusServiceUnavailable, reason: reason + ", and this entry may not know the newest ones",
			retryAfter: retryAfterNoServer, outcome: accountKeyUnsure,
		}
	default:
		d.refusal = &refusal{status: http.StatusUnauthorized, reason: reason, outcome: accountKeyRefused}
	}
	return d
}

// requestKey returns the hash of a request's key, or the reason why it has none.
func (n *headerNames) requestKey(req *request) (key matcher.KeyHash, reason string) {
	var value string
	found := 0
	for _, f := range req.fields {
		if n.Key != "" && f.name == n.canonicalKey {
			value = f.value
			found++
		}
	}
	switch {
	case found == 0:
		return key, "the request has no key"
	case found > 1:
		return key, "the request has more than one key"
	}
	text, ok := n.ParseKey(value)
	if !ok {
		return key, "the key is malformed"
	}
	return matcher.HashKey(text), ""
}

// accountName returns the name of the request's client account, "" if it has none.
func (d *headDecision) accountName() string {
	if d.account == nil {
		return ""
	}
	return d.account.Name
}

// priority returns the account's priority if it has one, otherwise the route's.
func (d *headDecision) priority() int {
	if d.account != nil && d.account.Priority != matcher.NoPriority {
		return d.account.Priority
	}
	return d.route.Priority
}

// isHidden reports whether a caller's header isn't passed on: where there are accounts, neither the key nor the account's name is.
func (n *headerNames) isHidden(d *headDecision, name string) bool {
	return d.table != nil && d.table.HasAccounts() && name != "" && (name == n.canonicalKey || name == n.canonicalAccount)
}

// decideRequest decides on a request whose head was read, and reports whether its body must be read.
func (e *Relayer) decideRequest(req *request, br *bufio.Reader) (readsBody bool, err error) {
	req.decision = e.decideNow(req)
	if !req.decision.refusal.onKey() {
		return true, nil
	}
	return false, req.skipBody(br)
}

// decideNow decides on a request's head by the table in force.
func (e *Relayer) decideNow(req *request) headDecision {
	// Read before the table: in the other order, a version that comes in between would have the older table count as the newest.
	stale, leaderAge := e.control.freshness(time.Now())
	d := decideHead(e.table.Load(), e.headers, req, stale > 0)
	d.leaderAge = leaderAge
	return d
}

// currentDecision returns the decision on a request whose body was read, by the table that is in force then.
func (e *Relayer) currentDecision(req *request) *headDecision {
	d := &req.decision
	if !d.refusal.onKey() && (d.refusal != nil || d.table != e.table.Load()) {
		*d = e.decideNow(req)
	}
	return d
}

// skipBody discards a body that has arrived already; any other is left unread, and the connection closes after the answer.
func (r *request) skipBody(br *bufio.Reader) error {
	if r.chunked || r.length > br.Buffered() {
		r.isBodyUnread, r.closeConn = true, true
		return nil
	}
	_, err := br.Discard(r.length)
	return err
}

// discardUnread discards what comes of a request whose body wasn't read.
func discardUnread(c net.Conn, br *bufio.Reader, req *request) {
	if req.isBodyUnread {
		discardRest(c, br)
	}
}

// discardRest discards for a bounded time what comes of a request that was refused, so that its answer isn't lost: closing a connection
// with unread bytes resets it.
func discardRest(c net.Conn, br *bufio.Reader) {
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(unreadBodyTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, br, unreadBodyBytes)
}

// writeRefusal writes the refusal of a request's head.
func (e *Relayer) writeRefusal(req *request, w *responseWriter, r *refusal) bool {
	if r.onKey() {
		e.metrics.countAccount(unknownAccount, r.outcome)
	}
	e.log.Request(logger.Request{
		ID: req.get(e.headers.AttemptID), Outcome: "refused", Reason: r.reason, Status: r.status, Basis: req.decision.basis(),
	})
	return e.writeDenial(w, r)
}

// writeDenial writes a refusal; a 401 names the scheme that keys come with.
func (e *Relayer) writeDenial(w *responseWriter, r *refusal) bool {
	var fields []field
	if r.status == http.StatusUnauthorized && e.headers.Challenge != "" {
		fields = append(fields, field{"Www-Authenticate", e.headers.Challenge})
	}
	return w.writeError(r.status, r.reason, r.retryAfter, fields...)
}
