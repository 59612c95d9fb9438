package leaser

import "time"

// maxUnanswered bounds the renewals whose answers are still awaited.
const maxUnanswered = 64

// Tenure is a holder's own view of its lease, counted from before each renewal was sent.
type Tenure struct {
	last uint64
	sent map[uint64]time.Time
	end  time.Time
}

// NewTenure returns a tenure without a lease.
func NewTenure() *Tenure { return &Tenure{sent: make(map[uint64]time.Time)} }

// Renew returns the number of a renewal that is about to be sent at now.
func (t *Tenure) Renew(now time.Time) uint64 {
	t.last++
	t.sent[t.last] = now
	delete(t.sent, t.last-maxUnanswered)
	return t.last
}

// Renewed takes the answer to a renewal; answers to unknown ones change nothing.
func (t *Tenure) Renewed(number uint64, ttl time.Duration) {
	at, ok := t.sent[number]
	if !ok {
		return
	}
	for n := range t.sent {
		if n <= number {
			delete(t.sent, n)
		}
	}
	if end := at.Add(ttl); end.After(t.end) {
		t.end = end
	}
}

// End returns the moment when the lease ends unless it is renewed.
func (t *Tenure) End() time.Time { return t.end }

// Held reports whether the lease runs at now.
func (t *Tenure) Held(now time.Time) bool { return now.Before(t.end) }
