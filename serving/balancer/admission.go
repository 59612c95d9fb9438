package balancer

import (
	"math"
	"time"
)

const (
	// targetRefusals is the share of requests that servers may refuse while entries admit as many as the servers can
	// take; fewer refusals would leave places free.
	targetRefusals = 0.16
	// minAdmitted is the smallest admitted share; some requests must find out that places are free again.
	minAdmitted = 0.05
	// maxRise limits the rise of the admitted share over that of the last span of evidence; ownRise is the rise without sums.
	maxRise = 2.0
	ownRise = 1.6
	// fullLoad is the load of all servers together up to which the admitted share rises.
	fullLoad = 1.2
	// busyLoad is the load from which refusals mean that servers are full.
	busyLoad = 0.8
	// priorAnswers are answers that an entry assumes beside those that it had, so that a few refusals are no evidence.
	priorAnswers = 3
	// ownCountTime is the time constant of an entry's own counts of answers and refusals.
	ownCountTime = 700 * time.Millisecond
	// shareInterval is the time between two changes of the admitted share.
	shareInterval = 50 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller may come back; maxRetryAfterShare limits the time
	// to a share of what the caller has left.
	minRetryAfter      = 200 * time.Millisecond
	maxRetryAfterShare = 1.0 / 6
	retryAfterPerShare = 2 * time.Second
)

// admission decides which share of a plain service's requests an entry admits. All entries see the same sums of loads
// and refusals, so that their shares agree without an exchange; an entry without sums goes by its own refusals.
type admission struct {
	share float64
	// shares are the admitted shares of the last intervals, as of updatedAt.
	shares    [(countTime + 2*loadsAge) / shareInterval]float64
	updatedAt time.Time
	// ownShare, answers and refusals are decayed with ownCountTime.
	ownShare  float64
	answers   float64
	refusals  float64
	countedAt time.Time
}

// evidence is what an entry knows of the places of a service, and which share was admitted when it was so.
type evidence struct {
	// refused is the share of requests that servers refused.
	refused float64
	// load is the requests at all servers as a share of their slots, negative if unknown.
	load float64
}

func newAdmission() *admission {
	a := &admission{share: 1, ownShare: 1}
	for i := range a.shares {
		a.shares[i] = 1
	}
	return a
}

func (a *admission) decay(now time.Time) {
	f := math.Exp(-float64(max(now.Sub(a.countedAt), 0)) / float64(ownCountTime))
	a.answers, a.refusals, a.ownShare, a.countedAt = a.answers*f, a.refusals*f, a.share+(a.ownShare-a.share)*f, now
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

// ownRefused returns the share of this entry's requests that servers refused.
func (a *admission) ownRefused() float64 {
	return a.refusals / (a.refusals + a.answers + priorAnswers)
}

// update sets the admitted share. The evidence came about under the shares of a while ago, so that the new share is a
// multiple of theirs and not of the latest one.
func (a *admission) update(now time.Time, e evidence) {
	if now.Sub(a.updatedAt) < shareInterval {
		return
	}
	a.decay(now)
	before := a.ownShare
	if e.load >= 0 {
		before = a.earlierShare()
	}
	change := ownRise
	switch isFull := e.load < 0 || e.load >= busyLoad; {
	case isFull && e.refused > targetRefusals/2:
		change = (1 - e.refused) / (1 - targetRefusals)
	case e.load >= 0:
		change = min(fullLoad/max(e.load, fullLoad/maxRise), maxRise)
	}
	a.share = min(max(before*change, minAdmitted), 1)
	steps := int(min(now.Sub(a.updatedAt)/shareInterval, time.Duration(len(a.shares))))
	copy(a.shares[steps:], a.shares[:len(a.shares)-steps])
	for i := range steps {
		a.shares[i] = a.share
	}
	a.updatedAt = now
}

// earlierShare returns the admitted share of the time that reported sums are about.
func (a *admission) earlierShare() float64 {
	sum, list := 0.0, a.shares[loadsAge/shareInterval:len(a.shares)-int(loadsAge/shareInterval)]
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
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
	// Share is the share of the service's requests that are admitted now.
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
	a.update(now, b.evidence(now, req.Service, a))
	out := Admission{Admitted: a.share >= 1 || b.random() < a.share, Share: a.share}
	if !out.Admitted {
		out.RetryAfter = b.retryAfter(now, req, minRetryAfter)
	}
	return out
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

// evidence returns what is known of the places of a service.
func (b *Balancer) evidence(now time.Time, service string, a *admission) evidence {
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
	if !fresh || slots == 0 {
		return evidence{refused: a.ownRefused(), load: -1}
	}
	perSecond := refusals / countTime.Seconds()
	answers := running / b.stay(service).Seconds()
	return evidence{refused: perSecond / max(perSecond+answers, 1), load: running / slots}
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
