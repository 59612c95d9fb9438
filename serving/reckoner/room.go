package reckoner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fillShare is the share of an engine's memory that requests may be reckoned to take; the rest covers answers that are
	// longer than expected.
	fillShare = 0.9
	// unseenTime is how old the sums of what others sent are.
	unseenTime = 250 * time.Millisecond
	// claimAfter is the share of its time that a request waits before it claims room, claimShare the share of its time for
	// which it may, maxClaim the longest time. After a claim it waits as long without one.
	claimAfter = 0.125
	claimShare = 0.25
	maxClaim   = time.Second
	// agedAfter is the share of its time after which a waiting request counts as most urgent.
	agedAfter = 0.5
)

// Recent sums what an entry sent to a service's servers lately.
type Recent struct {
	sum float64
	at  time.Time
}

// Add adds the tokens of a request.
func (r *Recent) Add(now time.Time, tokens int) { r.sum, r.at = r.value(now)+float64(tokens), now }

func (r *Recent) value(now time.Time) float64 {
	return r.sum * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(unseenTime))
}

// Unseen returns the tokens that the other entries are expected to have sent since their last reports: each as much as this one.
func (r *Recent) Unseen(now time.Time, entries int) int {
	if entries <= 1 || r.sum == 0 {
		return 0
	}
	return int(r.value(now) * float64(entries-1))
}

// Fits reports whether a request fits beside what is held at a server of that capacity; an empty server takes any request
// that its memory can hold.
func Fits(held, need, capacity int) bool {
	if held <= 0 {
		return need <= capacity
	}
	return float64(held+need) <= fillShare*float64(capacity)
}

// Free returns the tokens that requests may still take at a server.
func Free(held, capacity int) int { return int(fillShare*float64(capacity)) - held }

// FitsShare is Fits for one of several entries that don't know what the others hold: each may use an equal part, or place
// one request.
func FitsShare(own, need, capacity, entries int) bool {
	if own <= 0 {
		return need <= capacity
	}
	return float64(own+need) <= fillShare*float64(capacity)/float64(max(entries, 1))
}

// Waiter is a request that waits for room.
type Waiter struct {
	// Group names the requests that the same servers can take, Memory is the room that the request needs.
	Group    string
	Memory   int
	Priority int
	Arrived  time.Time
	Deadline time.Time

	claiming          bool
	claimUntil        time.Time
	nextClaim         time.Time
	order             uint64
	claimedAtLeastOne bool
}

// waited returns the share of its time that a request has waited.
func (w *Waiter) waited(now time.Time) float64 {
	total := w.Deadline.Sub(w.Arrived)
	if total <= 0 {
		return 1
	}
	return float64(now.Sub(w.Arrived)) / float64(total)
}

// rank is the priority that counts.
func (w *Waiter) rank(now time.Time) int {
	if w.waited(now) >= agedAfter {
		return 0
	}
	return w.Priority
}

// Queue orders one entry's requests that wait for room at one service; it has no clock and is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
	added   uint64
}

// Add adds a request.
func (q *Queue) Add(w *Waiter) {
	q.added++
	w.order = q.added
	q.waiters = append(q.waiters, w)
}

// Remove removes a request.
func (q *Queue) Remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(o *Waiter) bool { return o == w })
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// compare orders requests by urgency, then by the time that they have left, then by arrival; those not in the queue come last.
func (q *Queue) compare(now time.Time, a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.rank(now), b.rank(now)), a.Deadline.Compare(b.Deadline), cmp.Compare(a.order-1, b.order-1))
}

// IsBehind reports whether a request must let another one go first: one that can use the same servers, needs no more room
// and comes before it. A larger one that doesn't fit yet is no reason to wait, until it claims its room.
func (q *Queue) IsBehind(now time.Time, w *Waiter) bool {
	return slices.ContainsFunc(q.waiters, func(o *Waiter) bool {
		return o != w && o.Group == w.Group && o.Memory <= w.Memory && q.compare(now, o, w) < 0
	})
}

// Claim reports whether a request now claims room at a server, so that smaller ones can't pass it for ever; started is set if
// the claim begins. One request of the queue claims room at a time, and each for a bounded time.
func (q *Queue) Claim(now time.Time, w *Waiter) (claims, started bool) {
	if w.claiming {
		if now.Before(w.claimUntil) {
			return true, false
		}
		w.claiming, w.nextClaim = false, now.Add(w.claimTime())
		return false, false
	}
	if !w.mayClaim(now) {
		return false, false
	}
	for _, o := range q.waiters {
		if o != w && (o.claiming && now.Before(o.claimUntil) || o.mayClaim(now) && q.compareClaims(now, o, w) < 0) {
			return false, false
		}
	}
	w.claiming, w.claimedAtLeastOne, w.claimUntil = true, true, now.Add(w.claimTime())
	return true, true
}

func (w *Waiter) claimTime() time.Duration {
	return min(time.Duration(claimShare*float64(w.Deadline.Sub(w.Arrived))), maxClaim)
}

func (w *Waiter) mayClaim(now time.Time) bool {
	return !w.claiming && w.waited(now) >= claimAfter && !now.Before(w.nextClaim) && now.Before(w.Deadline)
}

// compareClaims lets those that had no claim yet go first, whatever their urgency.
func (q *Queue) compareClaims(now time.Time, a, b *Waiter) int {
	if a.claimedAtLeastOne != b.claimedAtLeastOne {
		if b.claimedAtLeastOne {
			return -1
		}
		return 1
	}
	return q.compare(now, a, b)
}
