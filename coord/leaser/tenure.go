package leaser

import "time"

// maxPendingRenewals bounds the renewals that await a response.
const maxPendingRenewals = 64

// Tenure is the holder's view of its lease, counted from before each renewal is sent.
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
	delete(t.sent, t.last-maxPendingRenewals)
	return t.last
}

// Renewed applies the response to a renewal; responses to unknown ones are ignored.
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

// End returns the time when the lease ends unless renewed.
func (t *Tenure) End() time.Time { return t.end }

// Held reports whether the lease is valid at now.
func (t *Tenure) Held(now time.Time) bool { return now.Before(t.end) }
