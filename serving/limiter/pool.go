package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/matcher"
)

const (
	// demandLife is how long a demand is kept that wasn't met; entries repeat it meanwhile.
	demandLife = additionLife / 2
	// maxServed bounds the entries of an account whose last service is known; beyond it, those that make no difference go.
	maxServed = 1024
	// maxRefillGap is the longest time between two calls of Distribute after which the pool goes on. After a longer one the
	// process was suspended, and another leader may have given out the rate of that time.
	maxRefillGap = 500 * time.Millisecond
)

// EntryID identifies an entry's session at a relay.
type EntryID struct{ Relay, Entry uint64 }

// Demand is an entry's report on an account.
type Demand struct {
	Account string
	// Seq numbers the entry's reports on the account.
	Seq uint32
	// Level is what the entry has, negative if it is in debt. Want is what it could use now, Must the part of that without
	// which its next request can't be admitted.
	Level, Want, Must float64
}

// Addition is the answer to a report.
type Addition struct {
	Entry   EntryID
	Account string
	Seq     uint32
	Amount  float64
}

// Pool gives out the part of quotas that entries don't refill by themselves. It belongs to one leader and begins empty.
type Pool struct {
	bounds  Bounds
	funds   map[string]*fund
	entries heldCount
	// inTouch is the number of entries that were heard of lately.
	inTouch int
	// names are the accounts in order, ranAt the time of the last call of Distribute.
	names []string
	ranAt time.Time
	dirty bool
}

// fund is one account's part of the pool.
type fund struct {
	quota      matcher.Quota
	level      float64
	refilledAt time.Time
	demands    map[EntryID]pendingDemand
	// served is what each entry got, as the end of its last service in a virtual time, which is that of the entry served last.
	served  map[EntryID]float64
	virtual float64
	scarce  bool
	granted float64
}

// pendingDemand is a demand that wasn't met yet.
type pendingDemand struct {
	Demand
	at time.Time
}

// IsEmpty reports whether no account has a limit.
func (p *Pool) IsEmpty() bool { return len(p.funds) == 0 }

// NewPool returns an empty pool.
func NewPool(b Bounds) *Pool { return &Pool{bounds: b, funds: make(map[string]*fund)} }

// Configure sets the accounts of the operator's document.
func (p *Pool) Configure(now time.Time, accounts []*matcher.Account) {
	limited := make(map[string]bool, len(accounts))
	for _, a := range accounts {
		if !a.Quota.Limited() {
			continue
		}
		limited[a.Name] = true
		f := p.funds[a.Name]
		if f == nil || f.quota.Unit != a.Quota.Unit {
			p.funds[a.Name] = &fund{
				quota: a.Quota, refilledAt: now, demands: make(map[EntryID]pendingDemand), served: make(map[EntryID]float64),
			}
			continue
		}
		f.quota = a.Quota
		f.level = min(f.level, p.limits(f).pool)
	}
	maps.DeleteFunc(p.funds, func(name string, _ *fund) bool { return !limited[name] })
	p.names = slices.Sorted(maps.Keys(p.funds))
	p.dirty = true
}

// SetEntries sets the number of entries with a session, and of those the ones that were heard of lately.
func (p *Pool) SetEntries(now time.Time, n, inTouch int) {
	before := p.entries.n
	p.inTouch = inTouch
	p.entries.set(now, n)
	p.dirty = p.dirty || p.entries.n != before
}

// Hold makes the number of entries that is announced at least n until their leases have ended.
func (p *Pool) Hold(now time.Time, n int) {
	p.dirty = p.dirty || n > p.entries.n
	p.entries.hold(now, n)
}

// Report records a demand of an entry.
func (p *Pool) Report(now time.Time, id EntryID, d Demand) {
	f := p.funds[d.Account]
	if f == nil || d.Want <= 0 {
		return
	}
	f.demands[id] = pendingDemand{d, now}
}

// RemoveRelay removes the demands of a relay's entries, which report them again to another one.
func (p *Pool) RemoveRelay(relay uint64) {
	for _, f := range p.funds {
		maps.DeleteFunc(f.demands, func(id EntryID, _ pendingDemand) bool { return id.Relay == relay })
		maps.DeleteFunc(f.served, func(id EntryID, _ float64) bool { return id.Relay == relay })
	}
}

// Announcement returns the number of entries that share the quotas and the scarce accounts; changed is set if they differ
// from those of the last call.
func (p *Pool) Announcement(now time.Time) (entries int, scarce []string, changed bool) {
	if before := p.entries.n; p.entries.next > 0 {
		p.entries.settle(now)
		p.dirty = p.dirty || p.entries.n != before
	}
	changed, p.dirty = p.dirty, false
	for _, name := range p.names {
		if p.funds[name].scarce {
			scarce = append(scarce, name)
		}
	}
	return p.entries.n, scarce, changed
}

// Distribute returns the additions for the entries whose demands can be met now.
func (p *Pool) Distribute(now time.Time) []Addition {
	var out []Addition
	wasSuspended := waiter.Elapsed(now, p.ranAt) > maxRefillGap
	p.ranAt = now
	for _, name := range p.names {
		f := p.funds[name]
		l := p.limits(f)
		if wasSuspended {
			f.level, f.refilledAt = min(f.level, 0), now
		}
		p.refill(now, f, l)
		maps.DeleteFunc(f.demands, func(_ EntryID, d pendingDemand) bool { return now.Sub(d.at) > demandLife })
		out = f.serve(l, out)
		if scarce := f.isScarce(l); scarce != f.scarce {
			f.scarce, p.dirty = scarce, true
		}
	}
	return out
}

// Status is the state of an account's part of the pool.
type Status struct {
	Account string
	// Granted is what was given out since the last call, Level what is left; Unmet is the number of entries with unmet demands.
	Granted, Level float64
	Unmet          int
	Scarce         bool
}

// TakeStatus returns the state of the accounts that were given additions since the last call, or are scarce.
func (p *Pool) TakeStatus() []Status {
	var out []Status
	for _, name := range p.names {
		f := p.funds[name]
		if f.granted > 0 || f.scarce {
			out = append(out, Status{name, f.granted, f.level, len(f.demands), f.scarce})
			f.granted = 0
		}
	}
	return out
}

func (p *Pool) limits(f *fund) limits { return p.bounds.limits(f.quota, p.entries.n) }

// refill adds the pool's rate, less the part of the entries that the leader has lost, which refill their buckets with it.
func (p *Pool) refill(now time.Time, f *fund, l limits) {
	elapsed := now.Sub(f.refilledAt)
	f.refilledAt = now
	touched := min(float64(p.inTouch)/float64(max(p.entries.n, 1)), 1)
	f.level = min(f.level+(1-localShare)*f.quota.Rate*touched*max(elapsed, 0).Seconds(), l.pool)
}

// serve meets demands: all of them if there is enough, otherwise first what entries need for their next request, those that
// got least before the others.
func (f *fund) serve(l limits, out []Addition) []Addition {
	if f.level <= 0 || len(f.demands) == 0 {
		return out
	}
	if len(f.served) > maxServed {
		f.forgetServed()
	}
	grant := func(id EntryID, amount float64) {
		d := f.demands[id]
		f.level -= amount
		f.granted += amount
		f.virtual = max(f.virtual, f.served[id])
		f.served[id] = f.virtual + amount
		delete(f.demands, id)
		out = append(out, Addition{id, d.Account, d.Seq, amount})
	}
	queue := f.queue()
	var total float64
	for _, q := range queue {
		total += q.want
	}
	if total <= f.level {
		for _, q := range queue {
			grant(q.id, q.want)
		}
		f.forgetServed()
		return out
	}
	for _, q := range queue {
		must := min(q.must, l.pool+l.overdraft)
		if must <= 0 {
			continue
		}
		if f.level <= 0 || must > f.level+l.overdraft {
			// A large request waits until the pool has room for it, and others behind it.
			return out
		}
		grant(q.id, must)
	}
	for i, q := range queue {
		if q.must <= 0 && f.level > 0 {
			grant(q.id, min(q.want, f.level/float64(len(queue)-i)))
		}
	}
	return out
}

// queuedDemand is a demand and what its entry got before.
type queuedDemand struct {
	id                 EntryID
	want, must, served float64
}

// queue returns the demands in the order in which they are met.
func (f *fund) queue() []queuedDemand {
	out := make([]queuedDemand, 0, len(f.demands))
	for id, d := range f.demands {
		out = append(out, queuedDemand{id, d.Want, d.Must, f.served[id]})
	}
	slices.SortFunc(out, func(x, y queuedDemand) int {
		return cmp.Or(cmp.Compare(x.served, y.served), cmp.Compare(x.id.Relay, y.id.Relay), cmp.Compare(x.id.Entry, y.id.Entry))
	})
	return out
}

// forgetServed drops what no longer makes a difference.
func (f *fund) forgetServed() {
	maps.DeleteFunc(f.served, func(_ EntryID, at float64) bool { return at <= f.virtual })
}

// isScarce reports whether entries must have room for most of a request before they admit it: their debts are too large.
func (f *fund) isScarce(l limits) bool {
	var debts float64
	for _, d := range f.demands {
		debts += max(-d.Level, 0)
	}
	if f.scarce {
		return debts > l.debts/2
	}
	return debts > l.debts
}
