package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
)

const (
	// quotaReportInterval is the interval between two checks for reports on quotas that are due.
	quotaReportInterval = 50 * time.Millisecond
	// maxQuotaWaitShare is the share of a route's latency target that a request waits for its account's quota, and
	// minQuotaWait the least on routes without one.
	maxQuotaWaitShare = 0.25
	minQuotaWait      = 100 * time.Millisecond
	// quotaSpread is by how much of it the time after which refused callers come back is spread.
	quotaSpread = 0.5
)

// quotas are this entry's shares of client accounts' quotas.
type quotas struct {
	mu  sync.Mutex
	set *limiter.Set
	// changed is closed when additions come in.
	changed chan struct{}
	// wake is sent to when a request waits, so that the report on its account is sent at once.
	wake chan struct{}
}

func newQuotas(b limiter.Bounds) *quotas {
	return &quotas{set: limiter.New(b), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

func (q *quotas) configure(now time.Time, accounts []*matcher.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Configure(now, accounts)
}

// confirm records the latest time at which the leader is known to have served this entry.
func (q *quotas) confirm(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Confirm(at)
}

// apply applies a message of the leader; nil changes nothing.
func (q *quotas) apply(now time.Time, u *governor.QuotaUpdate) {
	if u == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if u.Entries > 0 {
		q.set.Announce(now, u.Epoch, u.Entries, u.Scarce)
	}
	for _, a := range u.Additions {
		q.set.Add(now, a.Account, a.Seq, a.Amount())
	}
	close(q.changed)
	q.changed = make(chan struct{})
}

// take decides on a request and returns a channel that is closed when the decision may change.
func (q *quotas) take(account string, cost float64, queued bool) (limiter.Decision, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Take(time.Now(), account, cost, queued), q.changed
}

// enqueue records that a request waits, and has the account reported at once.
func (q *quotas) enqueue(account string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Queue(account, cost)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *quotas) dequeue(account string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Dequeue(account, cost)
}

// retryAfter returns when a refused request may come back, spread so that those that were refused together don't meet.
func (q *quotas) retryAfter(account string, cost, missing float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.set.RetryAfter(time.Now(), account, cost, missing)
	return wait + time.Duration(quotaSpread*rand.Float64()*float64(wait))
}

func (q *quotas) refund(account string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Refund(time.Now(), account, cost)
}

// report returns the report for the leader that is due, nil if there is none, and what was returned since the last call.
func (q *quotas) report(now time.Time) (r *governor.QuotaReport, returned map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	demands, entries := q.set.Reports(now)
	returned = q.set.TakeReturned()
	if len(demands) == 0 && entries == 0 {
		return nil, returned
	}
	r = &governor.QuotaReport{Entries: entries}
	for _, d := range demands {
		r.Demands = append(r.Demands, governor.NewQuotaDemand(d))
	}
	return r, returned
}

// admitToQuota charges a request to its account's quota. It waits for a small part of the route's latency target if there is
// no room yet; otherwise it responds and returns false, and whether the connection can go on.
func (e *Relayer) admitToQuota(ctx context.Context, c *call, w *responseWriter) (admitted, ok bool) {
	if c.account == nil || !c.account.Quota.Limited() {
		return true, true
	}
	cost := e.quotaCost(c.account, c.req)
	switch d := e.awaitQuota(ctx, c, cost); {
	case d.Verdict == limiter.Admitted:
		c.charged = cost
		e.metrics.amounts.WithLabelValues(c.account.Name, "admitted").Add(cost)
		return true, true
	case e.callerLeft(ctx, w):
		return false, false
	case d.Verdict == limiter.Unknown:
		e.metrics.countAccount(c.account.Name, accountQuotaUnsure)
		return false, e.refuse(c, w, "this entry doesn't know its share of the account's quota now", retryAfterNoServer)
	default:
		return false, e.refuseQuota(c, w, cost, d.Missing)
	}
}

// quotaCost returns what a request counts of an account's quota.
func (e *Relayer) quotaCost(a *matcher.Account, req *request) float64 {
	if a.Quota.Unit != matcher.Tokens {
		return a.Quota.Cost(0)
	}
	prompt, output := e.headers.ParseUsage(req.get(e.headers.Usage))
	return a.Quota.Cost(prompt + output)
}

// maxQuotaWait returns how long a request of a route waits for its account's quota.
func maxQuotaWait(r *matcher.Route) time.Duration {
	return max(time.Duration(maxQuotaWaitShare*float64(r.LatencyTarget)), minQuotaWait)
}

// awaitQuota decides on a request, after a wait if room is expected soon.
func (e *Relayer) awaitQuota(ctx context.Context, c *call, cost float64) limiter.Decision {
	account := c.account.Name
	d, changed := e.quotas.take(account, cost, false)
	end := time.Now().Add(maxQuotaWait(c.route))
	if d.Verdict != limiter.Short || d.Wait > time.Until(end) {
		return d
	}
	e.quotas.enqueue(account, cost)
	defer e.quotas.dequeue(account, cost)
	for d.Verdict == limiter.Short {
		remaining := time.Until(end)
		if remaining <= 0 || !waitAny(ctx, min(max(d.Wait, time.Millisecond), remaining), changed, nil) {
			return d
		}
		d, changed = e.quotas.take(account, cost, true)
	}
	return d
}

// refuseQuota responds that the request was not run because of its account's quota, and when there is room for it.
func (e *Relayer) refuseQuota(c *call, w *responseWriter, cost, missing float64) bool {
	account := c.account.Name
	wait := e.quotas.retryAfter(account, cost, missing)
	e.metrics.countAccount(account, accountQuotaRefused)
	e.metrics.amounts.WithLabelValues(account, "refused").Add(cost)
	e.log.QuotaRefused(c.id, account, cost, missing, wait)
	return w.writeError(http.StatusTooManyRequests, fmt.Sprintf("the quota of account %s has no room", account), wait)
}

// refundQuota returns a request's charge if no server ran it.
func (e *Relayer) refundQuota(c *call) {
	if c.charged > 0 && !c.wasSent {
		e.metrics.amounts.WithLabelValues(c.account.Name, "refunded").Add(c.charged)
		e.quotas.refund(c.account.Name, c.charged)
	}
}

// reportQuotas reports the demand for quotas until ctx is done.
func (c *controlClient) reportQuotas(ctx context.Context) {
	t := time.NewTicker(quotaReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c.entry.quotas.wake:
		}
		r, returned := c.entry.quotas.report(time.Now())
		for account, amount := range returned {
			c.entry.metrics.amounts.WithLabelValues(account, "returned").Add(amount)
		}
		if r != nil {
			c.enqueue(governor.UpMessage{Quotas: r})
		}
	}
}
