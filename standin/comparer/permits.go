package comparer

import (
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/scheduler"
)

// leaderTick is how often the control leader checks whether the store's rate allows another load.
const leaderTick = 50 * time.Millisecond

// wish is the load that an entry requests a permit for.
type wish struct {
	server string
	target configurer.Target
}

// asked is a request that is pending at the leader; since is the time of the first request for the same load.
type asked struct {
	id    uint64
	entry int
	since time.Time
}

// leader grants load permits with the control leader's own code.
type leader struct {
	permits *registrar.Permits
	ids     uint64
	open    map[wish]asked
	byID    map[uint64]wish
}

func newLeader(t Team, now time.Time) *leader {
	limits := registrar.StoreLimits{Rate: t.StoreRate, Parallel: t.Parallel}
	return &leader{permits: registrar.NewPermits(1, now, true, limits), open: make(map[wish]asked), byID: make(map[uint64]wish)}
}

// ask queues a request; a repeated one replaces the earlier one and keeps its age.
func (l *leader) ask(now time.Time, entry int, act scheduler.AskPermit) {
	w, since := wish{act.Server, act.Target}, now
	if a, ok := l.open[w]; ok {
		since = a.since
		l.withdraw(w)
	}
	l.ids++
	a := asked{id: l.ids, entry: entry, since: since}
	err := l.permits.Ask(now, registrar.Ask{ID: a.id, Holder: holder(entry), Urgent: act.Urgent, Rate: act.Rate, Waited: now.Sub(since)})
	if err != nil {
		return // The scheduler retries.
	}
	l.open[w], l.byID[a.id] = a, w
}

// withdraw removes a pending request.
func (l *leader) withdraw(w wish) {
	a, ok := l.open[w]
	if !ok {
		return
	}
	l.permits.Withdraw(holder(a.entry), a.id)
	delete(l.open, w)
	delete(l.byID, a.id)
}

// grant calls f for each request that the store's limits allow now.
func (l *leader) grant(now time.Time, f func(entry int, ev scheduler.Granted)) {
	for _, g := range l.permits.Grant(now) {
		w := l.byID[g.Ask.ID]
		a := l.open[w]
		delete(l.open, w)
		delete(l.byID, g.Ask.ID)
		f(a.entry, scheduler.Granted{Server: w.server, Target: w.target, Permit: registrar.Permit{ID: g.ID}})
	}
}

// bucket is the ideal cache's token bucket for the store's rate, in loads per second.
type bucket struct {
	rate     float64
	parallel int
	tokens   float64
	at       time.Time
}

// burst is the capacity of the ideal cache's token bucket, in loads.
const burst = 2.0

func (s *bucket) refill(now time.Time) {
	if !s.at.IsZero() {
		s.tokens = min(s.tokens+now.Sub(s.at).Seconds()*s.rate, burst)
	}
	s.at = now
}
