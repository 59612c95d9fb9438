package registrar

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/leaser"
	"redwingstage.org/serving/configurer"
)

const (
	// permitTTL is how long a holder may use a load permit.
	permitTTL = 6 * time.Second
	// permitMargin is how much longer than permitTTL the leader counts a permit that isn't returned.
	permitMargin = 250 * time.Millisecond
	// maxQueued limits the queued requests for permits.
	maxQueued = 4096
	// overdueAfter is the wait after which the oldest request gets one of every permitsPerOverdue permits.
	overdueAfter      = 2 * time.Second
	permitsPerOverdue = 8
	// maxPriorWait caps the wait that a request counts from earlier requests.
	maxPriorWait = time.Minute
	// defaultRate is the rate, in loads a second, that a weight store allows unless the settings set another.
	defaultRate = 3.0
	// defaultParallel is how many concurrent loads a weight store serves at full speed unless the settings set another number.
	defaultParallel = 2
)

// StoreLimits are the weight store's limits for all entries together.
type StoreLimits struct {
	// Rate is in loads a second.
	Rate float64 `json:"rate"`
	// Parallel is in concurrent loads.
	Parallel int `json:"parallel"`
}

// LoadRequest describes the load that an owner requests a permit for.
type LoadRequest struct {
	Server string
	Target configurer.Target
	Urgent bool
	// Rate is the adapter's recent rate of use; of two equally urgent loads the one with the higher rate goes first.
	Rate float64
	// Waited is how long the load has waited over all earlier requests for it.
	Waited time.Duration
}

// PermitRequest is a request for a load permit.
type PermitRequest struct {
	ID     uint64
	Holder string
	Urgent bool
	// Rate and Waited are those of the LoadRequest.
	Rate   float64
	Waited time.Duration
}

// Errors of Permits.Request.
var (
	ErrBadRate         = errors.New("the rate of use in a request for a permit is not a finite number from 0 on")
	ErrBadWait         = errors.New("the wait in a request for a permit is negative")
	ErrTooManyRequests = errors.New("too many requests for permits wait")
)

func (r PermitRequest) check() error {
	switch {
	case math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) || r.Rate < 0:
		return ErrBadRate
	case r.Waited < 0:
		return ErrBadWait
	}
	return nil
}

// queuedRequest is a request and the time since which it waits.
type queuedRequest struct {
	PermitRequest
	since time.Time
}

// isBefore reports whether q is granted before o: urgent first, then higher rate, then older.
func (q queuedRequest) isBefore(o queuedRequest) bool {
	switch {
	case q.Urgent != o.Urgent:
		return q.Urgent
	case q.Rate != o.Rate:
		return q.Rate > o.Rate
	}
	return q.since.Before(o.since)
}

// PermitGrant is a granted permit and the request that it answers.
type PermitGrant struct {
	Request PermitRequest
	ID      uint64
}

// Permits limits adapter loads from the weight store in rate and number, for one control leader; callers pass the time.
type Permits struct {
	limits     StoreLimits
	seq        leaser.Sequence
	tokens     float64
	lastRefill time.Time
	granted    map[uint64]*grantedPermit
	// assumed counts the permits of the previous leader that no entry has reported yet.
	assumed      int
	assumedUntil time.Time
	waiting      []queuedRequest
	// bypassed counts the consecutive permits that didn't go to the oldest request though it was overdue.
	bypassed int

	// These switch mechanisms off, to show that their tests can fail: the overdue request's share of the permits, and the
	// rules by which only an unused permit refunds its token.
	noOverdueShare bool
	refundAlways   bool
}

type grantedPermit struct {
	holder string
	until  time.Time
	// claimed means that an earlier leader granted it, out of its own tokens.
	claimed bool
}

// NewPermits returns the permits of a leader epoch that began at now; fresh means that there was no earlier leader.
func NewPermits(leaderEpoch uint64, now time.Time, fresh bool, limits StoreLimits) *Permits {
	if limits.Rate <= 0 {
		limits.Rate = defaultRate
	}
	if limits.Parallel <= 0 {
		limits.Parallel = defaultParallel
	}
	p := &Permits{limits: limits, seq: leaser.NewSequence(leaderEpoch), lastRefill: now, granted: make(map[uint64]*grantedPermit)}
	if fresh {
		p.tokens = 1
		return p
	}
	p.assumed, p.assumedUntil = limits.Parallel, now.Add(permitTTL+permitMargin)
	return p
}

// PermitTTL returns how long a holder may use a permit, counted from a time before the leader granted it.
func PermitTTL() time.Duration { return permitTTL }

// Request queues a request for a permit; it returns ErrBadRate, ErrBadWait or ErrTooManyRequests.
func (p *Permits) Request(now time.Time, req PermitRequest) error {
	if err := req.check(); err != nil {
		return err
	}
	if len(p.waiting) >= maxQueued {
		return ErrTooManyRequests
	}
	p.waiting = append(p.waiting, queuedRequest{req, now.Add(-min(req.Waited, maxPriorWait))})
	return nil
}

// Withdraw removes a queued request.
func (p *Permits) Withdraw(holder string, id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q queuedRequest) bool { return q.Holder == holder && q.ID == id })
}

// WithdrawAll removes all queued requests of a holder; its permits count until they expire.
func (p *Permits) WithdrawAll(holder string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q queuedRequest) bool { return q.Holder == holder })
}

// Return ends a permit. An unused permit refunds its token, unless it has expired, was returned before or came from an
// earlier leader.
func (p *Permits) Return(now time.Time, holder string, id uint64, used bool) {
	if p.refundAlways {
		p.tokens++
	}
	permit, ok := p.granted[id]
	if !ok || permit.holder != holder {
		return
	}
	delete(p.granted, id)
	if used || permit.claimed || !now.Before(permit.until) {
		return
	}
	p.refill(now)
	p.tokens = min(p.burst(), p.tokens+1)
}

// Claim records a permit of the previous leader in place of an assumed one.
func (p *Permits) Claim(holder string, id uint64) {
	if _, ok := p.granted[id]; ok || p.assumed == 0 {
		return
	}
	p.assumed--
	p.granted[id] = &grantedPermit{holder: holder, until: p.assumedUntil, claimed: true}
}

// Used returns the number of loads that may be running.
func (p *Permits) Used() int { return len(p.granted) + p.assumed }

// Waiting returns the number of queued requests.
func (p *Permits) Waiting() int { return len(p.waiting) }

// Grant issues the permits that the store's limits allow at now: urgent requests first, then those with a higher rate. Of
// every eight permits one goes to the oldest request once it has waited two seconds, so a request with n older ones in
// the queue gets one of the next 8(n+1) permits after that.
func (p *Permits) Grant(now time.Time) []PermitGrant {
	p.refill(now)
	for _, id := range slices.Sorted(maps.Keys(p.granted)) {
		if !now.Before(p.granted[id].until) {
			delete(p.granted, id)
		}
	}
	if !now.Before(p.assumedUntil) {
		p.assumed = 0
	}
	var out []PermitGrant
	for p.Used() < p.limits.Parallel && p.tokens >= 1 {
		request, ok := p.pop(now)
		if !ok {
			break
		}
		id, err := p.seq.Next()
		if err != nil {
			break
		}
		p.tokens--
		p.granted[id] = &grantedPermit{holder: request.Holder, until: now.Add(permitTTL + permitMargin)}
		out = append(out, PermitGrant{Request: request, ID: id})
	}
	return out
}

// burst returns the largest number of saved tokens: as many as the store serves concurrently at full speed, which loads
// that start one by one at the rate would never reach.
func (p *Permits) burst() float64 { return float64(p.limits.Parallel) }

// refill adds the tokens earned since the last refill.
func (p *Permits) refill(now time.Time) {
	if d := now.Sub(p.lastRefill); d > 0 {
		p.tokens = min(p.burst(), p.tokens+d.Seconds()*p.limits.Rate)
		p.lastRefill = now
	}
}

// pop removes and returns the next request to grant.
func (p *Permits) pop(now time.Time) (PermitRequest, bool) {
	if len(p.waiting) == 0 {
		return PermitRequest{}, false
	}
	best, oldest := 0, 0
	for i, q := range p.waiting {
		if q.isBefore(p.waiting[best]) {
			best = i
		}
		if q.since.Before(p.waiting[oldest].since) {
			oldest = i
		}
	}
	overdue := now.Sub(p.waiting[oldest].since) >= overdueAfter
	switch {
	case !overdue || best == oldest:
		p.bypassed = 0
	case p.bypassed >= permitsPerOverdue-1 && !p.noOverdueShare:
		p.bypassed, best = 0, oldest
	default:
		p.bypassed++
	}
	next := p.waiting[best].PermitRequest
	p.waiting = slices.Delete(p.waiting, best, best+1)
	return next, true
}
