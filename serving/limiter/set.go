package limiter

import (
	"maps"
	"slices"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/matcher"
)

const (
	// reportEvery is the shortest time between two reports on an account. While requests wait, it is urgentReportEvery, or
	// unansweredReportEvery if the last one wasn't answered.
	reportEvery           = 200 * time.Millisecond
	urgentReportEvery     = 20 * time.Millisecond
	unansweredReportEvery = 100 * time.Millisecond
	// additionTime is how long a report's answer is expected to take while the pool has enough; from unmetAfter on it hasn't.
	additionTime = 60 * time.Millisecond
	unmetAfter   = 150 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused request may come back.
	minRetryAfter = 100 * time.Millisecond
)

// Set is an entry's buckets.
type Set struct {
	bounds  Bounds
	buckets map[string]*bucket
	// active are the accounts with a request or a debt lately.
	active map[string]bool
	// epoch is the leader's, entries the number of entries that share the quotas.
	epoch   uint64
	entries heldCount
	// reportEntries is set until a new leader that announced fewer entries was told of the number in force.
	reportEntries bool
	// confirmedAt is the latest time at which the leader is known to have served this entry.
	confirmedAt time.Time
}

// New returns an empty set.
func New(b Bounds) *Set {
	return &Set{bounds: b, buckets: make(map[string]*bucket), active: make(map[string]bool)}
}

// Verdict is the answer to a request's admission.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may run and was charged.
	Admitted Verdict = iota
	// Short means that the account's share lacks room for the request now.
	Short
	// Unknown means that this entry doesn't know its share, without contact with a leader for too long.
	Unknown
)

// Decision is the answer to a request's admission.
type Decision struct {
	Verdict Verdict
	// Missing is how much more must be at hand, Wait the expected time until then; for Short only.
	Missing float64
	Wait    time.Duration
}

// Configure sets the accounts of the operator's document; those without a limit have no bucket.
func (s *Set) Configure(now time.Time, accounts []*matcher.Account) {
	s.entries.settle(now)
	limited := make(map[string]bool, len(accounts))
	for _, a := range accounts {
		if !a.Quota.Limited() {
			continue
		}
		limited[a.Name] = true
		b := s.buckets[a.Name]
		if b == nil || b.quota.Unit != a.Quota.Unit {
			s.buckets[a.Name] = &bucket{quota: a.Quota, refilledAt: now, ratedAt: now, backlogAt: now}
			continue
		}
		if b.quota == a.Quota {
			continue
		}
		s.refill(now, b)
		if a.Quota.Rate < b.quota.Rate {
			b.grants = nil
		}
		b.quota = a.Quota
		b.saved = min(b.saved, s.limits(b).savings)
	}
	maps.DeleteFunc(s.buckets, func(name string, _ *bucket) bool { return !limited[name] })
	maps.DeleteFunc(s.active, func(name string, _ bool) bool { return !limited[name] })
}

// Announce records a leader's number of entries and its scarce accounts; those of an older leader are ignored.
func (s *Set) Announce(now time.Time, epoch uint64, entries int, scarce []string) {
	if epoch < s.epoch {
		return
	}
	s.entries.settle(now)
	switch isNew := epoch > s.epoch; {
	case isNew && entries < s.entries.n:
		// A new leader doesn't know yet all entries that have leases.
		s.reportEntries = true
		s.entries.set(now, entries)
	case entries > s.entries.n || s.entries.next > 0:
		s.entries.set(now, entries)
	case entries > 0:
		s.entries.n = entries
	}
	s.epoch = epoch
	for name, b := range s.buckets {
		b.scarce = slices.Contains(scarce, name)
	}
}

// Confirm records the latest time at which the leader is known to have served this entry.
func (s *Set) Confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Take decides on a request of an account; accounts without a limit are always admitted. queued means that Queue was
// called for the request.
func (s *Set) Take(now time.Time, account string, cost float64, queued bool) Decision {
	b := s.buckets[account]
	if b == nil && queued {
		// The account was removed or lost its limit while the request waited.
		return Decision{Verdict: Unknown}
	}
	if b == nil {
		return Decision{}
	}
	s.active[account] = true
	if !s.isLeased(now) {
		return Decision{Verdict: Unknown}
	}
	s.refill(now, b)
	l := s.limits(b)
	missing := b.missing(cost, l)
	if !s.hasContact(now) && !b.scarce {
		missing -= l.ownDebt
	}
	if !queued {
		b.countRequest(now, cost)
		// The requests that wait come first.
		missing += b.waiting
	}
	if missing < 0 {
		b.take(cost)
		return Decision{}
	}
	d := Decision{Verdict: Short, Missing: missing, Wait: s.expect(now, b, missing)}
	if !b.scarce && !b.isUnmet(now) && s.hasContact(now) {
		d.Wait = min(d.Wait, additionTime)
	}
	return d
}

// Queue records that a request waits for room at this entry, Dequeue that it no longer does.
func (s *Set) Queue(account string, cost float64) {
	if b := s.buckets[account]; b != nil {
		b.waiting += cost
	}
}

// Dequeue ends what Queue began.
func (s *Set) Dequeue(account string, cost float64) {
	if b := s.buckets[account]; b != nil {
		b.waiting = max(b.waiting-cost, 0)
	}
}

// RetryAfter records that a request is refused and returns when this entry expects to have room for it, after those that
// were refused before it.
func (s *Set) RetryAfter(now time.Time, account string, cost, missing float64) time.Duration {
	b := s.buckets[account]
	if b == nil {
		return minRetryAfter
	}
	if elapsed := now.Sub(b.backlogAt).Seconds(); elapsed > 0 {
		b.backlog = max(b.backlog-elapsed*s.income(now, b), 0)
		b.backlogAt = now
	}
	wait := s.expect(now, b, missing+b.backlog)
	b.backlog = min(b.backlog+cost, b.quota.Rate*s.bounds.window().Seconds())
	return max(wait, minRetryAfter)
}

// Refund returns the cost of an admitted request that did not run.
func (s *Set) Refund(now time.Time, account string, cost float64) {
	b := s.buckets[account]
	if b == nil {
		return
	}
	s.refill(now, b)
	b.add(cost, now, s.limits(b).savings)
}

// Add adds the leader's answer to a report and reports whether it counts: only the first answer to a recent report does.
func (s *Set) Add(now time.Time, account string, seq uint32, amount float64) bool {
	b := s.buckets[account]
	if b == nil || amount <= 0 {
		return false
	}
	at, ok := b.answered(now, seq)
	if !ok {
		return false
	}
	s.refill(now, b)
	b.add(amount, at, s.limits(b).savings)
	b.decayRates(now)
	b.inflow += amount / rateTime
	return true
}

// Reports returns the demands that are due for the leader, and the number of entries that it must be told of, or 0.
func (s *Set) Reports(now time.Time) (due []Demand, entries int) {
	if s.reportEntries {
		s.reportEntries, entries = false, s.entries.n
	}
	for _, name := range slices.Sorted(maps.Keys(s.active)) {
		b := s.buckets[name]
		s.refill(now, b)
		b.decayRates(now)
		l := s.limits(b)
		low := b.level() < b.target(l)/2
		if !low && b.waiting == 0 && b.requests == 0 {
			delete(s.active, name)
			continue
		}
		pause := reportEvery
		switch {
		case b.waiting > 0 && b.isLastAnswered():
			pause = urgentReportEvery
		case b.waiting > 0:
			pause = unansweredReportEvery
		}
		if (low || b.waiting > 0) && waiter.Elapsed(now, b.reportedAt) >= pause {
			due = append(due, b.newReport(now, name, l))
		}
	}
	return due, entries
}

// TakeReturned returns, by account, the amounts that ended unused since the last call.
func (s *Set) TakeReturned() map[string]float64 {
	var out map[string]float64
	for name, b := range s.buckets {
		if b.returned > 0 {
			if out == nil {
				out = make(map[string]float64)
			}
			out[name], b.returned = b.returned, 0
		}
	}
	return out
}

// Share is an account's share of its quota at this entry.
type Share struct {
	// Level is what is at hand, Rate the entry's own refill a second.
	Level, Rate float64
	// Scarce reports that the account's entries ask for more than the leader has to give.
	Scarce bool
}

// Share returns an account's share; false if it has no limit here.
func (s *Set) Share(now time.Time, account string) (Share, bool) {
	b := s.buckets[account]
	if b == nil {
		return Share{}, false
	}
	s.refill(now, b)
	return Share{Level: b.level(), Rate: b.quota.Rate * s.share(now), Scarce: b.scarce}, true
}

// Preview returns an account's share and what Take would decide on a request that doesn't wait yet; it changes nothing. It
// returns false if the account has no limit here.
func (s *Set) Preview(now time.Time, account string, cost float64) (Share, Decision, bool) {
	b := s.buckets[account]
	if b == nil {
		return Share{}, Decision{}, false
	}
	scratch, own := *s, *b
	own.grants, own.sent = slices.Clone(b.grants), slices.Clone(b.sent)
	scratch.buckets, scratch.active = map[string]*bucket{account: &own}, make(map[string]bool)
	share, _ := scratch.Share(now, account)
	return share, scratch.Take(now, account, cost, false), true
}

func (s *Set) limits(b *bucket) limits { return s.bounds.limits(b.quota, s.entries.n) }

func (s *Set) isLeased(now time.Time) bool {
	return s.entries.n > 0 && !s.confirmedAt.IsZero() && waiter.Elapsed(now, s.confirmedAt) < leaseTime
}

func (s *Set) hasContact(now time.Time) bool { return waiter.Elapsed(now, s.confirmedAt) < contactTime }

// share returns the share of a rate that this entry refills now.
func (s *Set) share(now time.Time) float64 {
	switch {
	case !s.isLeased(now):
		return 0
	case s.hasContact(now):
		return localShare / float64(s.entries.n)
	}
	return 1 / float64(s.entries.n)
}

// refilled returns the seconds of a rate that this entry refills from one time to another.
func (s *Set) refilled(from, to time.Time) float64 {
	if s.entries.n == 0 || s.confirmedAt.IsZero() {
		return 0
	}
	overlap := func(start, end time.Time) float64 {
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		return max(end.Sub(start).Seconds(), 0)
	}
	contactEnd, end := s.confirmedAt.Add(contactTime), s.confirmedAt.Add(leaseTime)
	return (localShare*overlap(from, contactEnd) + overlap(contactEnd, end)) / float64(s.entries.n)
}

// refill refills a bucket; what it has is returned once the lease has ended.
func (s *Set) refill(now time.Time, b *bucket) {
	s.entries.settle(now)
	b.refill(now, s.refilled, s.limits(b).savings)
	if !s.isLeased(now) && b.saved > 0 {
		b.returned += b.saved
		b.saved = 0
	}
}

// income returns what an account gets a second at this entry: at least an equal share, with what comes from the pool.
func (s *Set) income(now time.Time, b *bucket) float64 {
	b.decayRates(now)
	return max(b.quota.Rate*s.share(now)+b.inflow, b.quota.Rate/float64(max(s.entries.n, 1)))
}

// expect returns the expected time until an amount has come in, at most the quota's window.
func (s *Set) expect(now time.Time, b *bucket, amount float64) time.Duration {
	most := s.bounds.window()
	income := s.income(now, b)
	if amount >= income*most.Seconds() {
		return most
	}
	return time.Duration(amount / income * float64(time.Second))
}
