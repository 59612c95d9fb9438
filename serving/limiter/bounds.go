package limiter

import (
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/matcher"
)

const (
	defaultWindow = 8 * time.Second
	// defaultOverage, and defaultSlackTime in seconds of the rate, apply where the settings have no tolerances.
	defaultOverage   = 0.05
	defaultSlackTime = 0.5
	// localShare is the share of a rate that entries refill by themselves while they have contact with the leader. The rest
	// goes through the leader's pool.
	localShare = 0.2
	// usableShare is the share of the tolerance that the limits below use. The rest covers differences in clocks, entries
	// that start or end, and debts that the leader doesn't know yet.
	usableShare = 0.8
	// minUsableTime is the least that the limits add up to, in seconds of the rate.
	minUsableTime = 0.25
	// Shares of the usable tolerance: what entries save up, the leader's pool, its overdraft, and entries' debts.
	savingsShare   = 0.3
	poolShare      = 0.2
	overdraftShare = 0.1
	debtShare      = 0.4
)

const (
	// additionLife is how long after the report that it answers an addition may be used.
	additionLife = time.Second
	// leaseTime is how long after the leader's last sign of life an entry refills its buckets. It is longer than a change of
	// leader or the return of all replicas takes, and shorter than the quota's window.
	leaseTime = 7 * time.Second
	// contactTime is how long after the leader's last sign of life an entry counts on the leader's pool.
	contactTime = time.Second
)

// Bounds are the tolerances of quotas over all entries, whether they have contact with the leader or not.
type Bounds struct {
	// Window is the length of the sliding window that quotas are measured over; 0 means 8 s.
	Window time.Duration
	// Overage is the share of a quota, Slack the amount in its unit that may be admitted beyond it in a window. If both are 0,
	// conservative values apply.
	Overage float64
	Slack   float64
}

// Limit returns the most that all entries together may admit in a window.
func (b Bounds) Limit(q matcher.Quota) float64 {
	return q.Rate*b.window().Seconds() + b.tolerance(q)
}

func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// tolerance returns how much more than its rate an account may use in a window.
func (b Bounds) tolerance(q matcher.Quota) float64 {
	overage, slack := b.Overage, b.Slack
	if overage == 0 && slack == 0 {
		overage, slack = defaultOverage, defaultSlackTime*q.Rate
	}
	return q.Burst + overage*(q.Rate*b.window().Seconds()+q.Burst) + slack
}

// limits are the amounts that may be unused or owed at once. With what is refilled in a window, they add up to less than the
// most that may be admitted in it.
type limits struct {
	// savings is the most that one entry saves up by its own refill.
	savings float64
	// pool is the most that the leader's pool saves up, overdraft the most that it may owe.
	pool, overdraft float64
	// debts is the most that all entries may owe before the account is scarce, ownDebt an entry's part of it.
	debts, ownDebt float64
}

func (b Bounds) limits(q matcher.Quota, entries int) limits {
	n := float64(max(entries, 1))
	unused := (1 - localShare) * q.Rate * additionLife.Seconds()
	usable := max(usableShare*b.tolerance(q)-unused, minUsableTime*q.Rate)
	return limits{
		savings: savingsShare * usable / n,
		pool:    poolShare * usable, overdraft: overdraftShare * usable,
		debts: debtShare * usable, ownDebt: debtShare * usable / n,
	}
}

// heldCount is a number of entries that rises at once and falls only after leaseTime.
type heldCount struct {
	n int
	// next is the number that replaces n leaseTime after loweredAt, 0 for none.
	next      int
	loweredAt time.Time
}

func (h *heldCount) set(now time.Time, n int) {
	h.settle(now)
	switch {
	case n <= 0:
	case n >= h.n:
		h.n, h.next = n, 0
	case h.next == 0:
		h.next, h.loweredAt = n, now
	default:
		h.next = max(h.next, n)
	}
}

// hold raises the number to n, which another process uses, until leaseTime has passed.
func (h *heldCount) hold(now time.Time, n int) {
	if n > h.n {
		h.n, h.next, h.loweredAt = n, max(h.n, 1), now
	}
}

func (h *heldCount) settle(now time.Time) {
	if h.next > 0 && waiter.Elapsed(now, h.loweredAt) >= leaseTime {
		h.n, h.next = h.next, 0
	}
}
