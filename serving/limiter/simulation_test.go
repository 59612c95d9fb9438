package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
)

const (
	simStep = 10 * time.Millisecond
	// simDelay is the time that a message takes between an entry and the leader, by way of a relay.
	simDelay = 30 * time.Millisecond
	// simMaxWait is how long a request waits at its entry.
	simMaxWait = 150 * time.Millisecond
)

// requestKind is a kind of request, with its share of the requests and its tokens.
type requestKind struct {
	share, tokens float64
}

// lectureMix is the mix of a lecture archive: questions, digests of whole lectures, and calls that name no tokens.
var lectureMix = []requestKind{{0.646, 700}, {0.0172, 9200}, {0.3368, 200}}

func meanTokens(mix []requestKind) float64 {
	var sum float64
	for _, k := range mix {
		sum += k.share * k.tokens
	}
	return sum
}

// simRequest waits at an entry.
type simRequest struct {
	account string
	cost    float64
	at      time.Time
}

// simEntry is an entry of a simulation.
type simEntry struct {
	set     *Set
	id      EntryID
	waiting []simRequest
	// isCut is set while it has no contact, isFrozen while it doesn't run.
	isCut, isFrozen, isDead bool
	tickAt                  int
}

// admission is what was admitted at a time.
type admission struct {
	at   time.Time
	cost float64
}

// simAccount has the load and the results of one account.
type simAccount struct {
	matcher.Account
	// load is the rate of tokens that callers send, over all entries.
	load                                 float64
	offered, served, refused             int
	largeOffered, largeServed            int
	offeredTokens, servedTokens, longest float64
	admitted                             []admission
}

// simMessage is on its way until a time.
type simMessage struct {
	at      time.Time
	deliver func()
}

// sim plays entries and a leader with messages that take time.
type sim struct {
	c        *qt.C
	rnd      *rand.Rand
	bounds   Bounds
	now      time.Time
	entries  []*simEntry
	pool     *Pool
	epoch    uint64
	accounts []*simAccount
	mix      []requestKind
	messages []simMessage
	// reports and announcements count messages.
	reports, announcements int
	step                   int
	// targets are the entries that callers send to; nil means all.
	targets []*simEntry
}

func newSim(c *qt.C, seed uint64, b Bounds, entries int, accounts []matcher.Account) *sim {
	s := &sim{c: c, rnd: rand.New(rand.NewPCG(seed, 1)), bounds: b, now: time.Unix(1000, 0), mix: lectureMix}
	for _, a := range accounts {
		s.accounts = append(s.accounts, &simAccount{Account: a})
	}
	for range entries {
		s.addEntry()
	}
	s.startLeader()
	return s
}

func (s *sim) list() []*matcher.Account {
	out := make([]*matcher.Account, len(s.accounts))
	for i, a := range s.accounts {
		out[i] = &a.Account
	}
	return out
}

func (s *sim) addEntry() *simEntry {
	e := &simEntry{set: New(s.bounds), id: EntryID{uint64(len(s.entries) % 5), uint64(len(s.entries))}, tickAt: s.rnd.IntN(30)}
	e.set.Configure(s.now, s.list())
	s.entries = append(s.entries, e)
	return e
}

// startLeader begins a new leader, as after the end of the last one.
func (s *sim) startLeader() {
	s.epoch++
	s.pool = NewPool(s.bounds)
	s.pool.Configure(s.now, s.list())
}

func (s *sim) configure() {
	if s.pool != nil {
		s.pool.Configure(s.now, s.list())
	}
	for _, e := range s.entries {
		e.set.Configure(s.now, s.list())
	}
}

func (s *sim) send(deliver func()) {
	s.messages = append(s.messages, simMessage{s.now.Add(simDelay), deliver})
}

// run plays a time.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		due := s.messages
		s.messages = nil
		for _, m := range due {
			if m.at.After(s.now) {
				s.messages = append(s.messages, m)
			} else {
				m.deliver()
			}
		}
		s.step++
		s.lead()
		s.playRequests()
		for i, e := range s.entries {
			s.playEntry(i, e)
		}
	}
}

// lead plays the leader's part of a step.
func (s *sim) lead() {
	if s.pool == nil {
		return
	}
	touched := 0
	for _, e := range s.entries {
		if !e.isCut && !e.isDead {
			touched++
		}
	}
	s.pool.SetEntries(s.now, touched, touched)
	for _, a := range s.pool.Distribute(s.now) {
		e := s.entries[a.Entry.Entry]
		s.send(func() {
			if !e.isCut && !e.isDead && !e.isFrozen {
				e.set.Add(s.now, a.Account, a.Seq, a.Amount)
			}
		})
	}
	n, scarce, changed := s.pool.Announcement(s.now)
	if changed {
		s.announcements++
		epoch := s.epoch
		s.send(func() {
			for _, e := range s.entries {
				if !e.isCut && !e.isDead && !e.isFrozen {
					e.set.Announce(s.now, epoch, n, scarce)
				}
			}
		})
	}
}

func (s *sim) playEntry(i int, e *simEntry) {
	if e.isDead {
		return
	}
	if !e.isFrozen && !e.isCut && s.pool != nil {
		s.playReports(i, e)
	}
	if !e.isFrozen {
		s.playWaiting(e)
	}
}

// playReports sends an entry's heartbeats and reports.
func (s *sim) playReports(i int, e *simEntry) {
	if e.tickAt--; e.tickAt <= 0 {
		e.tickAt = 30
		at := s.now
		s.send(func() { e.set.Confirm(at) })
	}
	if (s.step+i)%5 > 0 && len(e.waiting) == 0 {
		return
	}
	demands, entries := e.set.Reports(s.now)
	pool := s.pool
	s.reports += len(demands)
	if len(demands) > 0 || entries > 0 {
		s.send(func() {
			pool.Hold(s.now, entries)
			for _, d := range demands {
				pool.Report(s.now, e.id, d)
			}
		})
	}
}

// playRequests has callers send requests of all accounts to entries that live.
func (s *sim) playRequests() {
	targets := s.targets
	if targets == nil {
		for _, e := range s.entries {
			if !e.isDead {
				targets = append(targets, e)
			}
		}
	}
	for _, a := range s.accounts {
		for range s.poisson(a.load / meanTokens(s.mix) * simStep.Seconds()) {
			s.offer(targets[s.rnd.IntN(len(targets))], a)
		}
	}
}

func (s *sim) poisson(mean float64) int {
	n, p, limit := 0, s.rnd.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.rnd.Float64()
	}
	return n
}

func (s *sim) offer(e *simEntry, a *simAccount) {
	cost := s.mix[len(s.mix)-1].tokens
	for p, i := s.rnd.Float64(), 0; i < len(s.mix); i++ {
		if p -= s.mix[i].share; p < 0 {
			cost = s.mix[i].tokens
			break
		}
	}
	a.offered++
	a.offeredTokens += cost
	if cost > 5000 {
		a.largeOffered++
	}
	if e.isFrozen {
		return
	}
	d := e.set.Take(s.now, a.Name, cost, false)
	switch {
	case d.Verdict == Admitted:
		s.admit(a, cost)
	case d.Verdict == Short && d.Wait <= simMaxWait:
		e.set.Queue(a.Name, cost)
		e.waiting = append(e.waiting, simRequest{a.Name, cost, s.now})
	default:
		s.refuse(e, a, cost, d.Missing)
	}
}

func (s *sim) refuse(e *simEntry, a *simAccount, cost, missing float64) {
	a.refused++
	a.longest = max(a.longest, e.set.RetryAfter(s.now, a.Name, cost, missing).Seconds())
}

func (s *sim) admit(a *simAccount, cost float64) {
	a.served++
	a.servedTokens += cost
	if cost > 5000 {
		a.largeServed++
	}
	a.admitted = append(a.admitted, admission{s.now, cost})
}

func (s *sim) playWaiting(e *simEntry) {
	e.waiting = slices.DeleteFunc(e.waiting, func(r simRequest) bool {
		i := slices.IndexFunc(s.accounts, func(a *simAccount) bool { return a.Name == r.account })
		d := e.set.Take(s.now, r.account, r.cost, true)
		switch {
		case d.Verdict == Admitted:
			s.admit(s.accounts[i], r.cost)
		case s.now.Sub(r.at) >= simMaxWait:
			s.refuse(e, s.accounts[i], r.cost, d.Missing)
		default:
			return false
		}
		e.set.Dequeue(r.account, r.cost)
		return true
	})
}

// highest returns the most that was admitted of an account in a window.
func (a *simAccount) highest(window time.Duration) float64 {
	var sum, most float64
	first := 0
	for _, x := range a.admitted {
		sum += x.cost
		for a.admitted[first].at.Add(window).Before(x.at) {
			sum -= a.admitted[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (a *simAccount) reset() {
	*a = simAccount{Account: a.Account, load: a.load, admitted: a.admitted}
}

// checkBounds checks that no window of any account has more than the settings allow.
func (s *sim) checkBounds() {
	for _, a := range s.accounts {
		most, limit := a.highest(s.bounds.Window), s.bounds.Limit(a.Quota)
		s.c.Check(most <= limit, qt.IsTrue, qt.Commentf("%s: %.0f of %.0f", a.Name, most, limit))
	}
}

// lectures are the tolerances and accounts of a lecture archive: 16 accounts, skewed by Zipf's law with exponent 1.2, with a
// limit of 1.8 times their usual tokens and at least 29,000 a second.
var lectures = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

const (
	lectureTokens  = 770_000
	smallestLimit  = 29_000
	lectureCount   = 16
	limitOfUsual   = 1.8
	lectureEntries = 63
)

// lectureAccounts returns the accounts and their usual tokens a second.
func lectureAccounts() (accounts []matcher.Account, usual []float64) {
	var sum float64
	for i := range lectureCount {
		usual = append(usual, math.Pow(float64(i+1), -1.2))
		sum += usual[i]
	}
	for i := range usual {
		usual[i] *= lectureTokens / sum
		rate := max(limitOfUsual*usual[i], smallestLimit)
		accounts = append(accounts, matcher.Account{
			Name: fmt.Sprintf("t%02d", i), Quota: matcher.Quota{Rate: rate, Burst: rate, Unit: matcher.Tokens, DefaultTokens: 200},
		})
	}
	return accounts, usual
}

func newLectures(c *qt.C, seed uint64, entries int) *sim {
	accounts, usual := lectureAccounts()
	s := newSim(c, seed, lectures, entries, accounts)
	s.run(3 * time.Second)
	for i, a := range s.accounts {
		a.load = usual[i]
	}
	return s
}

// 63 and 320 entries, each with a few requests a second of an account, and accounts at 55 % of their limits: at most one
// request in 500 meets several large ones at once and is refused.
func TestLoadBelowLimitsIsServed(t *testing.T) {
	for _, row := range []struct {
		entries int
		seed    uint64
	}{{lectureEntries, 0}, {lectureEntries, 1}, {320, 2}} {
		t.Run(fmt.Sprint(row.entries, "/", row.seed), func(t *testing.T) {
			c := qt.New(t)
			s := newLectures(c, row.seed, row.entries)
			for _, a := range s.accounts {
				a.load = 0.55 * a.Quota.Rate
			}
			s.run(10 * time.Second)
			s.checkBounds()
			s.checkServed(500)
			t.Logf("%.1f reports a second and entry", float64(s.reports)/13/float64(row.entries))
		})
	}
}

// checkServed checks that at most one request in a number was refused, over all accounts.
func (s *sim) checkServed(oneIn int, except ...int) {
	var refused, large, offered int
	for i, a := range s.accounts {
		if slices.Contains(except, i) {
			continue
		}
		refused, offered = refused+a.refused, offered+a.offered
		large += a.largeOffered - a.largeServed
	}
	s.c.Logf("%d of %d refused, %d of them large", refused, offered, large)
	s.c.Check(refused <= offered/oneIn, qt.IsTrue, qt.Commentf("%d of %d refused, %d large", refused, offered, large))
}

// surge makes accounts send six times their usual tokens, at least three times their limits.
func (s *sim) surge(hot ...int) {
	for _, i := range hot {
		a := s.accounts[i]
		a.load = max(6*a.load, 3*a.Quota.Rate)
		a.reset()
	}
}

// checkHot checks that accounts above their limits got at least a share of them in a time, large requests like others.
func (s *sim) checkHot(d time.Duration, share float64, hot ...int) {
	for _, i := range hot {
		a := s.accounts[i]
		got := a.servedTokens / d.Seconds() / a.Quota.Rate
		s.c.Logf("%s: %.2f of the limit, highest window %.2f of what is allowed, %d of %d large ones, %d of %d in all", a.Name,
			got, a.highest(s.bounds.Window)/s.bounds.Limit(a.Quota), a.largeServed, a.largeOffered, a.served, a.offered)
		s.c.Check(got >= share, qt.IsTrue, qt.Commentf("%s: %.2f", a.Name, got))
		large, all := float64(a.largeServed)/float64(a.largeOffered), float64(a.served)/float64(a.offered)
		s.c.Check(large >= all/3, qt.IsTrue, qt.Commentf("%s: %.2f of the large ones, %.2f of all", a.Name, large, all))
	}
}

// Three accounts send six times their usual tokens: no window has more than the settings allow, the accounts get what their
// limits give them, large requests among it, and the others aren't refused.
func TestSurgeStaysWithinLimits(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			s := newLectures(c, seed, lectureEntries)
			s.run(4 * time.Second)
			s.surge(0, 5, 15)
			s.reports, s.announcements = 0, 0
			s.run(11 * time.Second)
			s.checkBounds()
			s.checkHot(11*time.Second, 0.9, 0, 5, 15)
			t.Logf("%.1f reports a second and entry, %.1f announcements a second", float64(s.reports)/11/lectureEntries, float64(s.announcements)/11)
			s.checkServed(200, 0, 5, 15)
		})
	}
}

// One account sends only large requests, six times its usual tokens.
func TestSurgeOfLargeRequestsStaysWithinLimits(t *testing.T) {
	c := qt.New(t)
	accounts, usual := lectureAccounts()
	s := newSim(c, 1, lectures, lectureEntries, accounts[15:])
	s.mix = []requestKind{{1, 9200}}
	s.accounts[0].load = usual[15]
	s.run(4 * time.Second)
	s.surge(0)
	s.run(11 * time.Second)
	s.checkBounds()
	s.checkHot(11*time.Second, 0.9, 0)
}

// All replicas are away for 6 s, and accounts send six times their usual tokens meanwhile: entries go on by themselves within
// the limits, and nobody is starved. The new leader begins with an empty pool.
func TestLeaderIsAwayDuringSurge(t *testing.T) {
	c := qt.New(t)
	s := newLectures(c, 3, lectureEntries)
	s.run(4 * time.Second)
	s.pool = nil
	s.run(time.Second)
	s.surge(0, 5, 15)
	s.run(5 * time.Second)
	s.checkServed(15, 0, 5, 15)
	s.startLeader()
	s.run(6 * time.Second)
	s.checkBounds()
	s.checkHot(11*time.Second, 0.75, 0, 5, 15)
}

// The lead changes every second amid a surge, and entries that the leaders know come back one after the other: no leader
// gives out again what the last one gave, and the entries' shares aren't enlarged by a small count.
func TestLeaderChangesAmidGrants(t *testing.T) {
	c := qt.New(t)
	s := newLectures(c, 4, lectureEntries)
	s.run(4 * time.Second)
	s.surge(0, 5, 15)
	for range 8 {
		s.startLeader()
		for i, e := range s.entries {
			e.isCut = i > 5
		}
		s.run(300 * time.Millisecond)
		for _, e := range s.entries {
			e.isCut = false
		}
		s.run(700 * time.Millisecond)
	}
	s.checkBounds()
}

// A third of the entries is cut off from the leader during a surge: they end with their leases, and the others go on.
func TestCutEntriesEndWithTheirLeases(t *testing.T) {
	c := qt.New(t)
	s := newLectures(c, 5, lectureEntries)
	s.run(4 * time.Second)
	s.surge(0, 15)
	cut := s.entries[:lectureEntries/3]
	for _, e := range cut {
		e.isCut = true
	}
	s.run(leaseTime + 500*time.Millisecond)
	for _, e := range cut {
		c.Check(e.set.Take(s.now, "t15", 1, false).Verdict, qt.Equals, Unknown)
	}
	s.run(5 * time.Second)
	s.checkBounds()
	c.Check(s.entries[lectureEntries-1].set.entries.n, qt.Equals, lectureEntries-len(cut))
}

// Entries that are frozen for 10 s amid a surge, with additions on their way, hold nothing of them when they wake up.
func TestFrozenEntriesWakeWithoutOldGrants(t *testing.T) {
	c := qt.New(t)
	s := newLectures(c, 6, lectureEntries)
	s.run(4 * time.Second)
	s.surge(0, 15)
	s.run(time.Second)
	frozen := s.entries[:lectureEntries/3]
	for _, e := range frozen {
		e.isFrozen = true
	}
	s.run(10 * time.Second)
	for _, e := range frozen {
		e.isFrozen = false
		c.Check(e.set.Take(s.now, "t00", 1, false).Verdict, qt.Equals, Unknown)
		c.Check(e.set.Add(s.now, "t00", e.set.buckets["t00"].seq, 1000), qt.IsFalse)
	}
	s.run(5 * time.Second)
	s.checkBounds()
}

// Entries die and others join amid a surge, a fifth of them every two seconds.
func TestEntriesDieAndJoinDuringSurge(t *testing.T) {
	c := qt.New(t)
	s := newLectures(c, 7, lectureEntries)
	s.run(4 * time.Second)
	s.surge(0, 15)
	for round := range 5 {
		for i := range lectureEntries / 5 {
			e := s.entries[round*(lectureEntries/5)+i]
			e.isDead = true
			joined := s.addEntry()
			joined.set.Announce(s.now, s.epoch, s.entries[0].set.entries.n, nil)
			joined.set.Confirm(s.now)
		}
		s.run(2 * time.Second)
	}
	s.checkBounds()
}

// A limit that is lowered to a third while the account sends at its old one is kept from one window on.
func TestLoweredLimitBinds(t *testing.T) {
	c := qt.New(t)
	s := newLectures(c, 8, lectureEntries)
	a := s.accounts[1]
	a.load = 0.9 * a.Quota.Rate
	s.run(5 * time.Second)
	a.Quota.Rate /= 3
	a.Quota.Burst /= 3
	s.configure()
	a.reset()
	a.admitted = nil
	s.run(12 * time.Second)
	s.checkBounds()
	s.checkHot(12*time.Second, 0.9, 1)
}

// All requests of an account come to four entries: the pool follows, so that they aren't refused.
func TestDemandAtFewEntriesIsServed(t *testing.T) {
	c := qt.New(t)
	accounts, _ := lectureAccounts()
	s := newSim(c, 9, lectures, lectureEntries, accounts[8:9])
	s.run(3 * time.Second)
	s.targets = s.entries[:4]
	s.accounts[0].load = 0.55 * accounts[8].Quota.Rate
	s.run(10 * time.Second)
	s.checkBounds()
	s.checkServed(100)
}

// An account that is limited in requests, fewer a second than there are entries.
func TestFewRequestsOfManyEntries(t *testing.T) {
	c := qt.New(t)
	quota := matcher.Quota{Rate: 30, Burst: 30}
	s := newSim(c, 10, Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 40}, lectureEntries, []matcher.Account{{Name: "a", Quota: quota}})
	s.mix = []requestKind{{1, 1}}
	s.run(3 * time.Second)
	s.accounts[0].load = 0.55 * quota.Rate
	s.run(10 * time.Second)
	s.checkBounds()
	s.checkServed(100)
	s.accounts[0].load = 6 * quota.Rate
	s.accounts[0].reset()
	s.run(10 * time.Second)
	s.checkBounds()
	c.Check(float64(s.accounts[0].served) >= 0.9*10*quota.Rate, qt.IsTrue, qt.Commentf("%d", s.accounts[0].served))
}
