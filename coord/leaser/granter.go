package leaser

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The granter waits defaultMargin longer than the holder, to allow for clock drift.
const (
	defaultTTL    = 5 * time.Second
	defaultMargin = 250 * time.Millisecond
)

// Grant is the ownership of a key.
type Grant struct {
	Holder string
	Epoch  uint64
	// Clean reports that the last holder released the key, or that there was none.
	Clean bool
}

// EndedLease is a holder whose lease ended, with the keys that it held.
type EndedLease struct {
	Holder string
	Keys   []string
}

// Granter grants keys to holders that renew one lease each; it has no clock and is not safe for concurrent use.
type Granter struct {
	epochs      Sequence
	ttl         time.Duration
	margin      time.Duration
	settledAt   time.Time
	firstLeader bool
	holders     map[string]*holder
	grants      map[string]Grant
	cleanKeys   map[string]bool
	// skipWait disables the wait for earlier leaders' leases, to show that its tests can fail.
	skipWait bool
}

type holder struct {
	expires time.Time
	keys    map[string]bool
}

// Option configures a Granter.
type Option func(*Granter)

// WithTTL sets how long a lease lasts, counted from before its renewal is sent.
func WithTTL(ttl time.Duration) Option { return func(g *Granter) { g.ttl = ttl } }

// WithMargin sets how much longer the granter waits than the holder.
func WithMargin(d time.Duration) Option { return func(g *Granter) { g.margin = d } }

// New returns the granter of a leader epoch that began at now; firstLeader means that no leader came before.
func New(leaderEpoch uint64, now time.Time, firstLeader bool, opts ...Option) *Granter {
	g := &Granter{
		epochs:      NewSequence(leaderEpoch),
		ttl:         defaultTTL,
		margin:      defaultMargin,
		firstLeader: firstLeader,
		holders:     make(map[string]*holder),
		grants:      make(map[string]Grant),
		cleanKeys:   make(map[string]bool),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.settledAt = now
	if !firstLeader {
		g.settledAt = now.Add(g.ttl + g.margin)
	}
	return g
}

// Settle ends the wait for earlier leaders' leases once all their holders are accounted for.
func (g *Granter) Settle(now time.Time) {
	if now.Before(g.settledAt) {
		g.settledAt = now
	}
}

// TTL returns how long a holder may rely on its lease.
func (g *Granter) TTL() time.Duration { return g.ttl }

// Settled reports whether earlier leaders' leases have expired.
func (g *Granter) Settled(now time.Time) bool { return g.skipWait || !now.Before(g.settledAt) }

// SettledAt returns the time when earlier leaders' leases have expired.
func (g *Granter) SettledAt() time.Time { return g.settledAt }

// Renew creates or renews a holder's lease.
func (g *Granter) Renew(now time.Time, name string) {
	h, ok := g.holders[name]
	if !ok {
		h = &holder{keys: make(map[string]bool)}
		g.holders[name] = h
	}
	h.expires = now.Add(g.ttl + g.margin)
}

// Live reports whether the holder's lease is valid.
func (g *Granter) Live(now time.Time, name string) bool {
	h, ok := g.holders[name]
	return ok && now.Before(h.expires)
}

// RefusedError is the reason why a key can't be granted or claimed now.
type RefusedError struct{ Key, Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Reason) }

// Grant assigns a free key to a live holder under a new epoch.
func (g *Granter) Grant(now time.Time, key, name string) (Grant, error) {
	if !g.Settled(now) {
		return Grant{}, &RefusedError{key, "leases of the last leader still run"}
	}
	if old, ok := g.grants[key]; ok {
		return Grant{}, &RefusedError{key, "held by " + old.Holder}
	}
	if !g.Live(now, name) {
		return Grant{}, &RefusedError{key, "no lease of " + name}
	}
	epoch, err := g.epochs.Next()
	if err != nil {
		return Grant{}, err
	}
	grant := Grant{Holder: name, Epoch: epoch, Clean: g.cleanKeys[key]}
	delete(g.cleanKeys, key)
	g.grants[key] = grant
	g.holders[name].keys[key] = true
	return grant, nil
}

// Claim accepts a live holder's claim to a key granted in an earlier leader epoch; of two claims the higher epoch wins.
func (g *Granter) Claim(now time.Time, key, name string, epoch uint64) error {
	switch old, held := g.grants[key]; {
	case held && old.Holder == name && old.Epoch == epoch:
		return nil
	case LeaderEpochOf(epoch) >= g.epochs.leaderEpoch || epoch == 0:
		return &RefusedError{key, "epoch is not of an earlier leader epoch"}
	case held && old.Epoch >= epoch:
		return &RefusedError{key, "held by " + old.Holder}
	case !g.Live(now, name):
		return &RefusedError{key, "no lease of " + name}
	case !now.Before(g.settledAt):
		return &RefusedError{key, "too late to claim"}
	case held:
		delete(g.holders[old.Holder].keys, key)
	}
	g.grants[key] = Grant{Holder: name, Epoch: epoch}
	g.holders[name].keys[key] = true
	return nil
}

// Release gives up a holder's key; it reports whether the holder had it.
func (g *Granter) Release(key, name string) bool {
	if g.grants[key].Holder != name || name == "" {
		return false
	}
	g.removeGrant(key)
	g.cleanKeys[key] = true
	return true
}

// Revoke takes a key from its holder, who must have confirmed that it no longer uses it.
func (g *Granter) Revoke(key string) {
	g.removeGrant(key)
	delete(g.cleanKeys, key)
}

func (g *Granter) removeGrant(key string) {
	if old, ok := g.grants[key]; ok {
		delete(g.grants, key)
		delete(g.holders[old.Holder].keys, key)
	}
}

// MarkNew marks a key that was never held.
func (g *Granter) MarkNew(key string) {
	if _, held := g.grants[key]; !held && g.firstLeader {
		g.cleanKeys[key] = true
	}
}

// Forget removes a key that no longer exists.
func (g *Granter) Forget(key string) {
	g.removeGrant(key)
	delete(g.cleanKeys, key)
}

// End ends a holder's lease at once, as when its process is known to have exited.
func (g *Granter) End(name string) EndedLease {
	h, ok := g.holders[name]
	if !ok {
		return EndedLease{Holder: name}
	}
	ended := EndedLease{Holder: name, Keys: slices.Sorted(maps.Keys(h.keys))}
	for _, key := range ended.Keys {
		delete(g.grants, key)
	}
	delete(g.holders, name)
	return ended
}

// ExpireLeases ends all expired leases.
func (g *Granter) ExpireLeases(now time.Time) []EndedLease {
	var ended []EndedLease
	for _, name := range slices.Sorted(maps.Keys(g.holders)) {
		if !g.Live(now, name) {
			ended = append(ended, g.End(name))
		}
	}
	return ended
}

// Holder returns the key's grant.
func (g *Granter) Holder(key string) (Grant, bool) {
	grant, ok := g.grants[key]
	return grant, ok
}

// KeyCount returns the number of keys of a holder.
func (g *Granter) KeyCount(name string) int {
	if h, ok := g.holders[name]; ok {
		return len(h.keys)
	}
	return 0
}
