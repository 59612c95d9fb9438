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
	// permitTTL is how long a load permit counts against the store unless it is returned.
	permitTTL = 6 * time.Second
	// permitMargin is how much longer the leader counts a permit than its holder.
	permitMargin = 250 * time.Millisecond
	// maxAsks bounds the waiting requests for permits.
	maxAsks = 4096
	// overdueAfter is the wait from which the oldest request gets a share of the permits, one of every fairShare.
	overdueAfter = 2 * time.Second
	fairShare    = 8
	// maxWaited bounds the wait that a request may bring along.
	maxWaited = time.Minute
	// defaultRate is the loads a second that a weight store allows unless the settings say otherwise.
	defaultRate = 3.0
	// defaultParallel is the loads at once that a weight store serves at full speed unless the settings say otherwise.
	defaultParallel = 2
)

// StoreLimits are what the weight store allows all entries together.
type StoreLimits struct {
	// Rate is in loads a second.
	Rate float64 `json:"rate"`
	// Parallel is in loads at once.
	Parallel int `json:"parallel"`
}

// PermitAsk says what an owner wants a load permit for.
type PermitAsk struct {
	Server string
	Target configurer.Target
	Urgent bool
	// Rate is how much the adapter was used lately; of two equally urgent loads that of the higher rate goes first.
	Rate float64
	// Waited is how long the load has waited already, over all earlier requests for it.
	Waited time.Duration
}

// Ask is a request for a load permit.
type Ask struct {
	ID     uint64
	Holder string
	Urgent bool
	// Rate and Waited are those of the PermitAsk.
	Rate   float64
	Waited time.Duration
}

// Errors of Ask.
var (
	ErrBadRate  = errors.New("the rate of use in a request for a permit is not a finite number from 0 on")
	ErrBadWait  = errors.New("the wait in a request for a permit is negative")
	ErrManyAsks = errors.New("too many requests for permits wait")
)

func (a Ask) check() error {
	switch {
	case math.IsNaN(a.Rate) || math.IsInf(a.Rate, 0) || a.Rate < 0:
		return ErrBadRate
	case a.Waited < 0:
		return ErrBadWait
	}
	return nil
}

// queued is a request that waits since a time.
type queued struct {
	Ask
	since time.Time
}

// isBefore reports whether q is to be granted before o: urgent ones first, then by rate, then by age.
func (q queued) isBefore(o queued) bool {
	switch {
	case q.Urgent != o.Urgent:
		return q.Urgent
	case q.Rate != o.Rate:
		return q.Rate > o.Rate
	}
	return q.since.Before(o.since)
}

// PermitGrant answers an Ask.
type PermitGrant struct {
	Ask Ask
	ID  uint64
}

// Permits decides when adapters may be loaded from the weight store, for one control leader; it has no clock.
type Permits struct {
	limits StoreLimits
	seq    leaser.Sequence
	tokens float64
	last   time.Time
	out    map[uint64]*heldPermit
	// assumed are permits of the last leader that no entry has reported yet.
	assumed      int
	assumedUntil time.Time
	waiting      []queued
	// passed counts the permits in a row that didn't go to the oldest request though it was overdue.
	passed int

	// These switch mechanisms off, to show that their tests can fail: the share of the oldest request, and the rules by
	// which an unused permit gives its token back.
	unfair   bool
	generous bool
}

type heldPermit struct {
	holder string
	until  time.Time
	// claimed says that an earlier leader granted it, from whose tokens it was.
	claimed bool
}

// NewPermits returns the permits of a leader whose era began at now; fresh says that no leader came before.
func NewPermits(era uint64, now time.Time, fresh bool, limits StoreLimits) *Permits {
	if limits.Rate <= 0 {
		limits.Rate = defaultRate
	}
	if limits.Parallel <= 0 {
		limits.Parallel = defaultParallel
	}
	p := &Permits{limits: limits, seq: leaser.NewSequence(era), last: now, out: make(map[uint64]*heldPermit)}
	if fresh {
		p.tokens = 1
		return p
	}
	p.assumed, p.assumedUntil = limits.Parallel, now.Add(permitTTL+permitMargin)
	return p
}

// PermitTTL returns how long a holder may use a permit, counted from before the leader granted it.
func PermitTTL() time.Duration { return permitTTL }

// Ask queues a request for a permit.
func (p *Permits) Ask(now time.Time, a Ask) error {
	if err := a.check(); err != nil {
		return err
	}
	if len(p.waiting) >= maxAsks {
		return ErrManyAsks
	}
	p.waiting = append(p.waiting, queued{a, now.Add(-min(a.Waited, maxWaited))})
	return nil
}

// Withdraw takes a request back.
func (p *Permits) Withdraw(holder string, id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q queued) bool { return q.Holder == holder && q.ID == id })
}

// Drop takes all requests of a holder back; its permits count until they expire.
func (p *Permits) Drop(holder string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q queued) bool { return q.Holder == holder })
}

// Return ends a permit. One that wasn't used gives the store's rate back what it cost, unless it has expired, was
// returned before or came from an earlier leader.
func (p *Permits) Return(now time.Time, holder string, id uint64, used bool) {
	if p.generous {
		p.tokens++
	}
	held, ok := p.out[id]
	if !ok || held.holder != holder {
		return
	}
	delete(p.out, id)
	if used || held.claimed || !now.Before(held.until) {
		return
	}
	p.refill(now)
	p.tokens = min(p.burst(), p.tokens+1)
}

// Claim takes up a permit of the last leader in place of one that was assumed.
func (p *Permits) Claim(holder string, id uint64) {
	if _, ok := p.out[id]; ok || p.assumed == 0 {
		return
	}
	p.assumed--
	p.out[id] = &heldPermit{holder: holder, until: p.assumedUntil, claimed: true}
}

// Used returns the loads that may be running now.
func (p *Permits) Used() int { return len(p.out) + p.assumed }

// Waiting returns the requests that wait.
func (p *Permits) Waiting() int { return len(p.waiting) }

// Grant gives out what the store allows at now: urgent requests first, then those for adapters that are used more. Of
// every eight permits one goes to the oldest request, once that waits for two seconds: so a request before which n older
// ones wait gets one of the next 8(n+1) permits after that.
func (p *Permits) Grant(now time.Time) []PermitGrant {
	p.refill(now)
	for _, id := range slices.Sorted(maps.Keys(p.out)) {
		if !now.Before(p.out[id].until) {
			delete(p.out, id)
		}
	}
	if !now.Before(p.assumedUntil) {
		p.assumed = 0
	}
	var out []PermitGrant
	for p.Used() < p.limits.Parallel && p.tokens >= 1 {
		ask, ok := p.pop(now)
		if !ok {
			break
		}
		id, err := p.seq.Next()
		if err != nil {
			break
		}
		p.tokens--
		p.out[id] = &heldPermit{holder: ask.Holder, until: now.Add(permitTTL + permitMargin)}
		out = append(out, PermitGrant{Ask: ask, ID: id})
	}
	return out
}

// burst returns how many loads the rate may save up: as many as the store serves at once at full speed, which loads that
// begin one by one at the rate would never reach.
func (p *Permits) burst() float64 { return float64(p.limits.Parallel) }

// refill adds what the rate allows.
func (p *Permits) refill(now time.Time) {
	if d := now.Sub(p.last); d > 0 {
		p.tokens = min(p.burst(), p.tokens+d.Seconds()*p.limits.Rate)
		p.last = now
	}
}

func (p *Permits) pop(now time.Time) (Ask, bool) {
	if len(p.waiting) == 0 {
		return Ask{}, false
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
		p.passed = 0
	case p.passed >= fairShare-1 && !p.unfair:
		p.passed, best = 0, oldest
	default:
		p.passed++
	}
	a := p.waiting[best].Ask
	p.waiting = slices.Delete(p.waiting, best, best+1)
	return a, true
}
