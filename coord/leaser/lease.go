package leaser

import (
	"time"

	"redwingstage.org/coord/waiter"
)

// maxPendingRenewals bounds the renewals that await a response.
const maxPendingRenewals = 64

// HolderLease is the holder's view of its lease, counted from before each renewal is sent.
type HolderLease struct {
	lastRenewal uint64
	sentAt      map[uint64]time.Time
	end         time.Time
}

// NewHolderLease returns a HolderLease that isn't held yet.
func NewHolderLease() *HolderLease { return &HolderLease{sentAt: make(map[uint64]time.Time)} }

// Renew returns the number of a renewal that is about to be sent at now.
func (l *HolderLease) Renew(now time.Time) uint64 {
	l.lastRenewal++
	l.sentAt[l.lastRenewal] = now
	delete(l.sentAt, l.lastRenewal-maxPendingRenewals)
	return l.lastRenewal
}

// Acknowledge applies the response to a renewal; responses to unknown ones are ignored.
func (l *HolderLease) Acknowledge(number uint64, ttl time.Duration) {
	at, ok := l.sentAt[number]
	if !ok {
		return
	}
	for n := range l.sentAt {
		if n <= number {
			delete(l.sentAt, n)
		}
	}
	if end := at.Add(ttl); end.After(l.end) {
		l.end = end
	}
}

// End returns the time when the lease ends unless renewed.
func (l *HolderLease) End() time.Time { return l.end }

// Held reports whether the lease is valid at now.
func (l *HolderLease) Held(now time.Time) bool { return waiter.IsBefore(now, l.end) }
