package balancer

import (
	"math"
	"time"
)

const (
	// targetRefusals is the share of requests that servers may refuse while entries admit as many as the servers can
	// take; fewer refusals would leave places free.
	targetRefusals = 0.1
	// minAdmitted is the smallest admitted share; some requests must find out that places are free again.
	minAdmitted = 0.05
	// rise is how much the admitted share rises over that of the last answers while servers refuse few requests, fastRise
	// while the sums of loads show free slots.
	rise     = 2.0
	fastRise = 2.5
	// busyLoad is the load of all servers together from which no slots count as free.
	busyLoad = 0.8
	// priorAnswers are answers that an entry assumes beside its own, of which servers refused as many as they refused all
	// entries, so that few requests of its own are little evidence.
	priorAnswers = 3
	// ownCountTime is the time constant of an entry's own counts of answers and refusals.
	ownCountTime = 700 * time.Millisecond
	// shareInterval is the shortest time between two changes of the admitted share.
	shareInterval = 50 * time.Millisecond
	// evenPart is the part of the admitted share that all priorities get alike; the most urgent ones get the rest.
	evenPart = 0.5
	// demandTime is the time constant of an entry's counts of requests by priority, of which it sees a few in a second.
	demandTime = 5 * time.Second
	// minDemand is the count below which a priority is forgotten.
	minDemand = 0.01
	// minRetryAfter is the shortest time after which a refused caller may come back; maxRetryAfterShare limits the time
	// to a share of what the caller has left.
	minRetryAfter      = 200 * time.Millisecond
	maxRetryAfterShare = 1.0 / 6
	retryAfterPerShare = 2 * time.Second
)

// admission decides which share of a plain service's requests of each priority an entry admits, from the refusals of its servers.
type admission struct {
	share     float64
	updatedAt time.Time
	// earlierShare, answers and refusals are averages and counts that are decayed with ownCountTime.
	earlierShare float64
	answers      float64
	refusals     float64
	countedAt    time.Time
	// demand is the number of requests by priority, decayed with demandTime.
	demand   map[int]float64
	demandAt time.Time
}

func newAdmission() *admission {
	return &admission{share: 1, earlierShare: 1, demand: make(map[int]float64)}
}

// ask counts a request.
func (a *admission) ask(now time.Time, priority int) {
	f := math.Exp(-float64(max(now.Sub(a.demandAt), 0)) / float64(demandTime))
	for p, n := range a.demand {
		if n *= f; n < minDemand {
			delete(a.demand, p)
		} else {
			a.demand[p] = n
		}
	}
	a.demand[priority]++
	a.demandAt = now
}

// shareOf returns the share of the requests of a priority that are admitted. All priorities together have the admitted share.
func (a *admission) shareOf(priority int) float64 {
	if a.share >= 1 {
		return 1
	}
	total, before := 0.0, 0.0
	for p, n := range a.demand {
		total += n
		if p < priority {
			before += n
		}
	}
	even := evenPart * a.share
	if a.demand[priority] == 0 {
		return even
	}
	rest := (a.share-even)*total - (1-even)*before
	return min(even+max(rest, 0)/a.demand[priority], 1)
}

func (a *admission) decay(now time.Time) {
	f := math.Exp(-float64(max(now.Sub(a.countedAt), 0)) / float64(ownCountTime))
	a.answers, a.refusals, a.earlierShare, a.countedAt = a.answers*f, a.refusals*f, a.share+(a.earlierShare-a.share)*f, now
}

// record counts an attempt's result.
func (a *admission) record(now time.Time, r Result) {
	a.decay(now)
	switch r {
	case Rejected:
		a.refusals++
	case OK, Failed:
		a.answers++
	}
}

// evidence is what the sums of all entries tell of a service's servers.
type evidence struct {
	// refused is the share of requests that servers refused, 0 if unknown.
	refused float64
	// hasFreeSlots reports that servers are known to have free slots.
	hasFreeSlots bool
}

// update sets the admitted share. The refusals came about under earlier shares, so that the new share is a multiple of
// those and not of the latest one.
func (a *admission) update(now time.Time, e evidence) {
	if now.Sub(a.updatedAt) < shareInterval {
		return
	}
	a.decay(now)
	a.updatedAt = now
	refused := (a.refusals + priorAnswers*e.refused) / (a.refusals + a.answers + priorAnswers)
	change := rise
	switch {
	case e.hasFreeSlots:
		change = fastRise
	case refused > targetRefusals/2:
		change = (1 - refused) / (1 - targetRefusals)
	}
	a.share = min(max(a.earlierShare*change, minAdmitted), 1)
}

// isCrowded reports whether so many entries share the servers that each knows little of the others' latest requests.
func (b *Balancer) isCrowded() bool { return b.entries > entriesPerServer }

func (b *Balancer) admission(service string) *admission {
	a := b.admissions[service]
	if a == nil {
		a = newAdmission()
		b.admissions[service] = a
	}
	return a
}

// Admission is the answer to a request that asks for a place.
type Admission struct {
	Admitted bool
	// Share is the share of the service's requests of all priorities that are admitted now.
	Share float64
	// RetryAfter is when the caller of a request that isn't admitted may come back.
	RetryAfter time.Duration
}

// Admit decides whether a request may look for a server now.
func (b *Balancer) Admit(now time.Time, req Request) Admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if req.Adapter.Model != "" || !b.isCrowded() {
		return Admission{Admitted: true, Share: 1}
	}
	a := b.admission(req.Service)
	a.update(now, b.evidence(now, req.Service))
	a.ask(now, req.Priority)
	share := a.shareOf(req.Priority)
	out := Admission{Admitted: share >= 1 || b.random() < share, Share: a.share}
	if !out.Admitted {
		out.RetryAfter = b.retryAfter(now, req, minRetryAfter)
	}
	return out
}

// CountUnplaced counts a request that was admitted and found no place at any server within its wait, like one that servers refused.
func (b *Balancer) CountUnplaced(now time.Time, req Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if req.Adapter.Model == "" && b.isCrowded() {
		b.admission(req.Service).record(now, Rejected)
	}
}

// RetryAfter returns when the caller of a request that no server took may come back, in [atLeast, 2 atLeast] if servers
// have room for all others.
func (b *Balancer) RetryAfter(now time.Time, req Request, atLeast time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isCrowded() {
		return atLeast
	}
	return b.retryAfter(now, req, atLeast)
}

// retryAfter returns a random time in [t, 2t], so that refused callers don't meet again; t is at least atLeast and grows
// with the share that is refused, but is no longer than callers can wait.
func (b *Balancer) retryAfter(now time.Time, req Request, atLeast time.Duration) time.Duration {
	t := atLeast + time.Duration(float64(retryAfterPerShare)*(1-b.admission(req.Service).share))
	if !req.Deadline.IsZero() {
		t = min(t, max(time.Duration(maxRetryAfterShare*float64(req.Deadline.Sub(now))), 0))
	}
	return t + time.Duration(b.random()*float64(t))
}

// evidence returns what the sums of all entries tell of a service's servers.
func (b *Balancer) evidence(now time.Time, service string) evidence {
	running, slots, refusals, fresh := 0.0, 0.0, 0.0, false
	for _, s := range b.services[service] {
		if s.Leaving {
			continue
		}
		slots += float64(s.slots())
		if b.hasFreshLoads(now, s) {
			fresh = true
			running += float64(s.running) + s.others.last
			refusals += float64(s.sumRefusals)
		}
	}
	if !fresh || slots == 0 || !b.hasCurrentSums(now) {
		return evidence{}
	}
	perSecond := refusals / countTime.Seconds()
	answers := running / b.stay(service).Seconds()
	return evidence{refused: perSecond / max(perSecond+answers, 1), hasFreeSlots: running < busyLoad*slots}
}

func (b *Balancer) stay(service string) time.Duration { return b.stays[service].get() }

func (b *Balancer) recordStay(service string, took time.Duration) {
	if b.stays[service] == nil {
		b.stays[service] = &stays{}
	}
	b.stays[service].record(took)
}

// random returns a random number in [0, 1).
func (b *Balancer) random() float64 {
	const n = 1 << 30
	return float64(b.randIntN(n)) / n
}
