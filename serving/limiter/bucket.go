package limiter

import (
	"slices"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/matcher"
)

const (
	// targetTime is the time of its own demand that an entry wants to have at hand.
	targetTime = 0.5
	// rateTime is the time over which rates are averaged, in seconds.
	rateTime = 1.0
	// meanWeight is the weight of the newest request in the mean cost.
	meanWeight = 0.1
	// margin is added to what a request must have, for rounding.
	margin = 0.01
	// maxSentReports bounds the reports that may still be answered.
	maxSentReports = 8
)

// grant is an unused addition from the leader's pool.
type grant struct {
	amount float64
	at     time.Time
}

// sentReport is a report to the leader that wasn't answered yet.
type sentReport struct {
	seq uint32
	at  time.Time
}

// bucket is one account's share of its quota at this entry.
type bucket struct {
	quota matcher.Quota
	// saved is what the entry has by its own refill; a negative value is a debt.
	saved      float64
	grants     []grant
	refilledAt time.Time
	// requests is the rate of requests, mean their mean cost, inflow the rate of additions; rates are as of ratedAt.
	requests, mean, inflow float64
	ratedAt                time.Time
	// waiting is the cost of the requests that wait here, backlog that of those that were told to come back.
	waiting, backlog float64
	backlogAt        time.Time
	seq              uint32
	sent             []sentReport
	reportedAt       time.Time
	scarce           bool
	// returned is what expired since the last call of Set.TakeReturned.
	returned float64
}

// level returns what is at hand.
func (b *bucket) level() float64 {
	sum := b.saved
	for _, g := range b.grants {
		sum += g.amount
	}
	return sum
}

// expire drops additions at their end.
func (b *bucket) expire(now time.Time) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		if waiter.Elapsed(now, g.at) < additionLife {
			return false
		}
		b.returned += g.amount
		return true
	})
}

// refill adds what the entry's own rate brought since the last call; what exceeds the most that it may save up is dropped.
func (b *bucket) refill(now time.Time, rate func(from, to time.Time) float64, most float64) {
	if now.After(b.refilledAt) {
		b.saved += b.quota.Rate * rate(b.refilledAt, now)
		b.refilledAt = now
	}
	b.saved = min(b.saved, most)
	b.expire(now)
}

// add adds an amount: a debt is paid first, then savings are filled, and the rest can be used until its end.
func (b *bucket) add(amount float64, at time.Time, most float64) {
	fill := min(amount, max(most-b.saved, 0))
	b.saved += fill
	if rest := amount - fill; rest > 0 {
		b.grants = append(b.grants, grant{rest, at})
	}
}

// take removes a cost, from what ends first; the rest becomes a debt.
func (b *bucket) take(cost float64) {
	for len(b.grants) > 0 && cost > 0 {
		g := &b.grants[0]
		used := min(cost, g.amount)
		cost -= used
		if g.amount -= used; g.amount <= 0 {
			b.grants = b.grants[1:]
		}
	}
	b.saved -= cost
}

// missing returns how much more must be at hand for a request to be admitted; it is not positive if the request may run.
func (b *bucket) missing(cost float64, l limits) float64 {
	if b.scarce {
		return cost - l.ownDebt - b.level()
	}
	return -b.level()
}

func (b *bucket) decayRates(now time.Time) {
	if s := now.Sub(b.ratedAt).Seconds(); s > 0 {
		f := max(1-s/rateTime, 0)
		b.requests *= f
		b.inflow *= f
		b.ratedAt = now
	}
}

func (b *bucket) countRequest(now time.Time, cost float64) {
	b.decayRates(now)
	b.requests += 1 / rateTime
	if b.mean == 0 {
		b.mean = cost
	}
	b.mean += meanWeight * (cost - b.mean)
}

// target returns the level that the entry wants to have.
func (b *bucket) target(l limits) float64 { return max(l.savings, targetTime*b.requests*b.mean) }

// newReport records a report to the leader and returns it.
func (b *bucket) newReport(now time.Time, account string, l limits) Demand {
	b.seq++
	b.reportedAt = now
	if len(b.sent) == maxSentReports {
		b.sent = b.sent[1:]
	}
	b.sent = append(b.sent, sentReport{b.seq, now})
	d := Demand{Account: account, Seq: b.seq, Level: b.level()}
	if b.waiting > 0 {
		d.Must = max(b.missing(b.waiting, l), 0)
	} else {
		d.Must = max(-d.Level, 0)
	}
	if d.Must > 0 {
		d.Must += margin
	}
	d.Want = max(b.target(l)+b.waiting-d.Level, d.Must)
	return d
}

// isUnmet reports whether a recent report should have been answered by now.
func (b *bucket) isUnmet(now time.Time) bool {
	return slices.ContainsFunc(b.sent, func(r sentReport) bool {
		age := waiter.Elapsed(now, r.at)
		return age > unmetAfter && age < additionLife
	})
}

// isLastAnswered reports whether the latest report was answered.
func (b *bucket) isLastAnswered() bool {
	return len(b.sent) == 0 || b.sent[len(b.sent)-1].seq != b.seq
}

// answered removes the report with a sequence number and returns when it was sent; false if it isn't known or too old.
func (b *bucket) answered(now time.Time, seq uint32) (time.Time, bool) {
	i := slices.IndexFunc(b.sent, func(r sentReport) bool { return r.seq == seq })
	if i < 0 {
		return time.Time{}, false
	}
	at := b.sent[i].at
	// The leader answers only the latest report that it has.
	b.sent = slices.Delete(b.sent, 0, i+1)
	return at, waiter.Elapsed(now, at) < additionLife
}
