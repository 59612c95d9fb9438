package leaser

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Lease times; a granter waits the margin longer than a holder, for clocks that run at different speeds.
const (
	defaultTTL    = 5 * time.Second
	defaultMargin = 250 * time.Millisecond
)

// Grant says who holds a key.
type Grant struct {
	Holder string
	Epoch  uint64
	// Clean says that the last holder gave the key up itself, or that there was none.
	Clean bool
}

// Lost is a holder whose lease ran out, with the keys that it held.
type Lost struct {
	Holder string
	Keys   []string
}

// Granter grants keys to holders that renew one lease each; it has no clock and no lock.
type Granter struct {
	seq     Sequence
	ttl     time.Duration
	margin  time.Duration
	settled time.Time
	fresh   bool
	holders map[string]*holder
	grants  map[string]Grant
	clean   map[string]bool
	// hasty switches off the wait for the last leader's leases, to show that its tests can fail.
	hasty bool
}

type holder struct {
	until time.Time
	keys  map[string]bool
}

// Option changes a Granter.
type Option func(*Granter)

// WithTTL sets how long a lease lasts from the moment before its renewal was sent.
func WithTTL(ttl time.Duration) Option { return func(g *Granter) { g.ttl = ttl } }

// WithMargin sets how much longer the granter waits than the holder.
func WithMargin(d time.Duration) Option { return func(g *Granter) { g.margin = d } }

// New returns the granter of an era that began at now; fresh says that no leader came before.
func New(era uint64, now time.Time, fresh bool, opts ...Option) *Granter {
	g := &Granter{
		seq:     NewSequence(era),
		ttl:     defaultTTL,
		margin:  defaultMargin,
		fresh:   fresh,
		holders: make(map[string]*holder),
		grants:  make(map[string]Grant),
		clean:   make(map[string]bool),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.settled = now
	if !fresh {
		g.settled = now.Add(g.ttl + g.margin)
	}
	return g
}

// Settle ends the wait for the leases of earlier leaders, since all their holders are known to be accounted for.
func (g *Granter) Settle(now time.Time) {
	if now.Before(g.settled) {
		g.settled = now
	}
}

// TTL returns how long a holder may count on its lease.
func (g *Granter) TTL() time.Duration { return g.ttl }

// Settled reports whether the leases of earlier leaders have run out.
func (g *Granter) Settled(now time.Time) bool { return g.hasty || !now.Before(g.settled) }

// SettledAt returns the moment when the leases of earlier leaders have run out.
func (g *Granter) SettledAt() time.Time { return g.settled }

// Renew begins or renews a holder's lease.
func (g *Granter) Renew(now time.Time, name string) {
	h, ok := g.holders[name]
	if !ok {
		h = &holder{keys: make(map[string]bool)}
		g.holders[name] = h
	}
	h.until = now.Add(g.ttl + g.margin)
}

// Live reports whether the holder's lease runs.
func (g *Granter) Live(now time.Time, name string) bool {
	h, ok := g.holders[name]
	return ok && now.Before(h.until)
}

// RefusedError says why a key can't be granted or claimed now.
type RefusedError struct{ Key, Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Reason) }

// Grant gives a free key to a live holder under a new epoch.
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
	epoch, err := g.seq.Next()
	if err != nil {
		return Grant{}, err
	}
	grant := Grant{Holder: name, Epoch: epoch, Clean: g.clean[key]}
	delete(g.clean, key)
	g.grants[key] = grant
	g.holders[name].keys[key] = true
	return grant, nil
}

// Claim takes up a key that a live holder says to hold since an earlier era; of two claims the higher epoch stays.
func (g *Granter) Claim(now time.Time, key, name string, epoch uint64) error {
	switch old, held := g.grants[key]; {
	case held && old.Holder == name && old.Epoch == epoch:
		return nil
	case EraOf(epoch) >= g.seq.era || epoch == 0:
		return &RefusedError{key, "epoch is not of an earlier era"}
	case held && old.Epoch >= epoch:
		return &RefusedError{key, "held by " + old.Holder}
	case !g.Live(now, name):
		return &RefusedError{key, "no lease of " + name}
	case !now.Before(g.settled):
		return &RefusedError{key, "too late to claim"}
	case held:
		delete(g.holders[old.Holder].keys, key)
	}
	g.grants[key] = Grant{Holder: name, Epoch: epoch}
	g.holders[name].keys[key] = true
	return nil
}

// Release gives a key up; it reports whether the holder had it.
func (g *Granter) Release(key, name string) bool {
	if g.grants[key].Holder != name || name == "" {
		return false
	}
	g.drop(key)
	g.clean[key] = true
	return true
}

// Revoke takes a key from its holder, who must have confirmed that it no longer uses it.
func (g *Granter) Revoke(key string) {
	g.drop(key)
	delete(g.clean, key)
}

func (g *Granter) drop(key string) {
	if old, ok := g.grants[key]; ok {
		delete(g.grants, key)
		delete(g.holders[old.Holder].keys, key)
	}
}

// New marks a key that no holder ever had.
func (g *Granter) New(key string) {
	if _, held := g.grants[key]; !held && g.fresh {
		g.clean[key] = true
	}
}

// Forget drops a key that exists no more.
func (g *Granter) Forget(key string) {
	g.drop(key)
	delete(g.clean, key)
}

// End ends a holder's lease at once, as when its process is known to be gone.
func (g *Granter) End(name string) Lost {
	h, ok := g.holders[name]
	if !ok {
		return Lost{Holder: name}
	}
	lost := Lost{Holder: name, Keys: slices.Sorted(maps.Keys(h.keys))}
	for _, key := range lost.Keys {
		delete(g.grants, key)
	}
	delete(g.holders, name)
	return lost
}

// Lapse ends the leases that have run out.
func (g *Granter) Lapse(now time.Time) []Lost {
	var out []Lost
	for _, name := range slices.Sorted(maps.Keys(g.holders)) {
		if !g.Live(now, name) {
			out = append(out, g.End(name))
		}
	}
	return out
}

// Holder returns who holds the key.
func (g *Granter) Holder(key string) (Grant, bool) {
	grant, ok := g.grants[key]
	return grant, ok
}

// Keys returns how many keys a holder has.
func (g *Granter) Keys(name string) int {
	if h, ok := g.holders[name]; ok {
		return len(h.keys)
	}
	return 0
}
