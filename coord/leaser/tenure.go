package leaser

import "time"

// maxPendingRenewals bounds the renewals that await a response.
const maxPendingRenewals = 64

// HolderLease is the holder's view of its lease, counted from before each renewal is sent.
type HolderLease struct {
	last uint64
	sent map[uint64]time.Time
	end  time.Time
}

// NewTenure returns a tenure without a lease.
func NewTenure() *HolderLease { return &HolderLease{sent: make(map[uint64]time.Time)} }

// Renew returns the number of a renewal that is about to be sent at now.
func (t *HolderLease) Renew(now time.Time) uint64 {
	t.last++
	t.sent[t.last] = now
	delete(t.sent, t.last-maxPendingRenewals)
	return t.last
}

// Acknowledge applies the response to a renewal; responses to unknown ones are ignored.
func (t *HolderLease) Acknowledge(number uint64, ttl time.Duration) {
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
func (t *HolderLease) End() time.Time { return t.end }

// Held reports whether the lease is valid at now.
func (t *HolderLease) Held(now time.Time) bool { return now.Before(t.end) }
