package comparer

import (
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/scheduler"
)

// grantInterval is how often the control leader checks whether the store's rate allows another load.
const grantInterval = 50 * time.Millisecond

// permitKey is the load that an entry requests a permit for.
type permitKey struct {
	server string
	target configurer.Target
}

// pendingPermit is a permit request that is pending at the leader; since is the time of the first request for the same load.
type pendingPermit struct {
	id    uint64
	entry int
	since time.Time
}

// permitLeader grants load permits with the control leader's own code.
type permitLeader struct {
	permits *registrar.Permits
	lastID  uint64
	pending map[permitKey]pendingPermit
	keys    map[uint64]permitKey
}

func newPermitLeader(t Deployment, now time.Time) *permitLeader {
	limits := registrar.StoreLimits{Rate: t.StoreRate, Parallel: t.StoreParallel}
	return &permitLeader{permits: registrar.NewPermits(1, now, true, limits), pending: make(map[permitKey]pendingPermit), keys: make(map[uint64]permitKey)}
}

// request queues a permit request; a repeated one replaces the earlier one and keeps its age.
func (l *permitLeader) request(now time.Time, entry int, act scheduler.RequestPermit) {
	key, since := permitKey{act.Server, act.Target}, now
	if p, ok := l.pending[key]; ok {
		since = p.since
		l.withdraw(key)
	}
	l.lastID++
	p := pendingPermit{id: l.lastID, entry: entry, since: since}
	err := l.permits.Request(now, registrar.PermitRequest{ID: p.id, Holder: entryName(entry), Urgent: act.Urgent, Rate: act.Rate, Waited: now.Sub(since)})
	if err != nil {
		return // The scheduler retries.
	}
	l.pending[key], l.keys[p.id] = p, key
}

// withdraw removes a pending request.
func (l *permitLeader) withdraw(key permitKey) {
	p, ok := l.pending[key]
	if !ok {
		return
	}
	l.permits.Withdraw(entryName(p.entry), p.id)
	delete(l.pending, key)
	delete(l.keys, p.id)
}

// grant calls onGrant for each request that the store's limits allow now.
func (l *permitLeader) grant(now time.Time, onGrant func(entry int, ev scheduler.Granted)) {
	for _, g := range l.permits.Grant(now) {
		key := l.keys[g.Request.ID]
		p := l.pending[key]
		delete(l.pending, key)
		delete(l.keys, g.Request.ID)
		onGrant(p.entry, scheduler.Granted{Server: key.server, Target: key.target, Permit: registrar.Permit{ID: g.ID}})
	}
}

// tokenBucket limits the ideal cache's loads to the store's rate, in loads per second.
type tokenBucket struct {
	rate       float64
	parallel   int
	tokens     float64
	refilledAt time.Time
}

// burstLoads is the capacity of the ideal cache's token bucket, in loads.
const burstLoads = 2.0

func (s *tokenBucket) refill(now time.Time) {
	if !s.refilledAt.IsZero() {
		s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*s.rate, burstLoads)
	}
	s.refilledAt = now
}
