package registrar

import (
	"maps"
	"slices"
	"time"

	"redwingstage.org/coord/leaser"
)

const (
	// permitTTL is how long a load permit counts against the store unless it is returned.
	permitTTL = 6 * time.Second
	// permitMargin is how much longer the leader counts a permit than its holder.
	permitMargin = 250 * time.Millisecond
	// maxAsks bounds the waiting requests for permits.
	maxAsks = 4096
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

// Ask is a request for a load permit.
type Ask struct {
	ID     uint64
	Holder string
	Urgent bool
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
	urgent       []Ask
	waiting      []Ask
}

type heldPermit struct {
	holder string
	until  time.Time
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

// Ask queues a request for a permit; false means that too many wait already.
func (p *Permits) Ask(a Ask) bool {
	if len(p.urgent)+len(p.waiting) >= maxAsks {
		return false
	}
	if a.Urgent {
		p.urgent = append(p.urgent, a)
	} else {
		p.waiting = append(p.waiting, a)
	}
	return true
}

// Withdraw takes a request back.
func (p *Permits) Withdraw(holder string, id uint64) {
	same := func(a Ask) bool { return a.Holder == holder && a.ID == id }
	p.urgent = slices.DeleteFunc(p.urgent, same)
	p.waiting = slices.DeleteFunc(p.waiting, same)
}

// Drop takes all requests of a holder back; its permits count until they expire.
func (p *Permits) Drop(holder string) {
	same := func(a Ask) bool { return a.Holder == holder }
	p.urgent = slices.DeleteFunc(p.urgent, same)
	p.waiting = slices.DeleteFunc(p.waiting, same)
}

// Return ends a permit.
func (p *Permits) Return(holder string, id uint64) {
	if held, ok := p.out[id]; ok && held.holder == holder {
		delete(p.out, id)
	}
}

// Claim takes up a permit of the last leader in place of one that was assumed.
func (p *Permits) Claim(holder string, id uint64) {
	if _, ok := p.out[id]; ok || p.assumed == 0 {
		return
	}
	p.assumed--
	p.out[id] = &heldPermit{holder: holder, until: p.assumedUntil}
}

// Used returns the loads that may be running now.
func (p *Permits) Used() int { return len(p.out) + p.assumed }

// Waiting returns the requests that wait.
func (p *Permits) Waiting() int { return len(p.urgent) + len(p.waiting) }

// Grant gives out what the store allows at now, urgent requests first.
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
		ask, ok := p.pop()
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

// refill adds what the rate allows; at most one load may be saved up, so that no second sees more than the rate and one.
func (p *Permits) refill(now time.Time) {
	if d := now.Sub(p.last); d > 0 {
		p.tokens = min(1, p.tokens+d.Seconds()*p.limits.Rate)
		p.last = now
	}
}

func (p *Permits) pop() (Ask, bool) {
	list := &p.urgent
	if len(*list) == 0 {
		list = &p.waiting
	}
	if len(*list) == 0 {
		return Ask{}, false
	}
	a := (*list)[0]
	*list = (*list)[1:]
	return a, true
}
