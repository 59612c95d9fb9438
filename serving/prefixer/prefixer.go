package prefixer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingstage.org/serving/tracker"
)

const (
	// usableShare is the share of an engine's memory that cached prompts are assumed to use at most.
	usableShare = 0.5
	// minRetention and maxRetention bound the estimate of how long an engine keeps a prompt.
	minRetention = 2 * time.Second
	maxRetention = time.Minute
	// rateWindow is the time constant of the decayed rate of prompt tokens.
	rateWindow = 10 * time.Second
	// maxPrefixes bounds the prefixes kept per engine.
	maxPrefixes = 512
)

// Part is one part of a prompt, in order; requests with the same part share its tokens.
type Part struct {
	ID     string
	Tokens int
}

// Prefix is the beginning of a prompt up to the end of one part.
type Prefix struct {
	// Digest is that of the adapter and of all parts up to the end, Tokens their number of tokens.
	Digest uint64
	Tokens int
}

// Prefixes returns the beginnings of a prompt for an adapter, the shortest first.
func Prefixes(ad tracker.Adapter, parts []Part) []Prefix {
	if len(parts) == 0 {
		return nil
	}
	out := make([]Prefix, 0, len(parts))
	digest := xxhash.Sum64String(ad.Model + "\x00" + ad.Name)
	tokens := 0
	for _, p := range parts {
		var previous [8]byte
		binary.LittleEndian.PutUint64(previous[:], digest)
		digest = xxhash.Sum64String(string(previous[:]) + p.ID)
		tokens += max(p.Tokens, 0)
		out = append(out, Prefix{Digest: digest, Tokens: tokens})
	}
	return out
}

// cached is a prefix at one engine.
type cached struct {
	adapter tracker.Adapter
	usedAt  time.Time
	// sharedAt is when the prefix was last returned by TakeShared.
	sharedAt time.Time
}

// Index holds what the engines of one service are believed to hold; it has no clock and is not safe for concurrent use.
type Index struct {
	engines map[tracker.Key]map[uint64]*cached
	// rate is the decayed rate of prompt tokens a second that this entry had prefilled, at ratedAt.
	rate    float64
	ratedAt time.Time
	unsent  []Shared
}

// Shared is a prefix that other entries should know of.
type Shared struct {
	Engine  tracker.Key
	Adapter tracker.Adapter
	Prefix  Prefix
}

// New returns an empty Index.
func New() *Index { return &Index{engines: make(map[tracker.Key]map[uint64]*cached)} }

// Record records that an engine has read the prompt with these prefixes. Those of at least minShared tokens are returned by
// TakeShared, again after half of retention, but for the whole prompt, whose last part is the request's or its session's own.
func (x *Index) Record(now time.Time, engine tracker.Key, ad tracker.Adapter, list []Prefix, minShared int, retention time.Duration) {
	if len(list) == 0 {
		return
	}
	held := x.Held(now, engine, list, retention)
	x.rate = x.decayedRate(now) + float64(list[len(list)-1].Tokens-held)/rateWindow.Seconds()
	x.ratedAt = now
	for i, p := range list {
		c := x.add(now, engine, ad, p, retention)
		if i < len(list)-1 && p.Tokens >= minShared && now.Sub(c.sharedAt) >= retention/2 {
			c.sharedAt = now
			x.unsent = append(x.unsent, Shared{Engine: engine, Adapter: ad, Prefix: p})
		}
	}
}

// AddShared records a prefix that an engine has read for another entry.
func (x *Index) AddShared(now time.Time, s Shared) {
	x.add(now, s.Engine, s.Adapter, s.Prefix, maxRetention).sharedAt = now
}

// TakeShared returns the prefixes for other entries that were recorded since the last call.
func (x *Index) TakeShared() []Shared {
	out := x.unsent
	x.unsent = nil
	return out
}

func (x *Index) add(now time.Time, engine tracker.Key, ad tracker.Adapter, p Prefix, retention time.Duration) *cached {
	m := x.engines[engine]
	if m == nil {
		m = make(map[uint64]*cached)
		x.engines[engine] = m
	}
	c := m[p.Digest]
	if c == nil {
		if len(m) >= maxPrefixes {
			dropOldest(now, m, retention)
		}
		c = &cached{adapter: ad}
		m[p.Digest] = c
	}
	c.usedAt = now
	return c
}

// dropOldest removes what has expired, or the least recently used prefix if nothing has.
func dropOldest(now time.Time, m map[uint64]*cached, retention time.Duration) {
	var oldest uint64
	first := true
	for digest, c := range m {
		if now.Sub(c.usedAt) > retention {
			delete(m, digest)
			continue
		}
		if first || c.usedAt.Before(m[oldest].usedAt) || c.usedAt.Equal(m[oldest].usedAt) && digest < oldest {
			oldest, first = digest, false
		}
	}
	if len(m) >= maxPrefixes {
		delete(m, oldest)
	}
}

// Held returns how many tokens of a prompt's beginning an engine is believed to hold.
func (x *Index) Held(now time.Time, engine tracker.Key, list []Prefix, retention time.Duration) int {
	m := x.engines[engine]
	tokens := 0
	for _, p := range list {
		// A digest covers all parts before its end, so that a longer prefix counts without the shorter ones.
		if c := m[p.Digest]; c != nil && now.Sub(c.usedAt) <= retention {
			tokens = p.Tokens
		}
	}
	return tokens
}

// Forget drops what an engine held, as after its end.
func (x *Index) Forget(engine tracker.Key) { delete(x.engines, engine) }

// ForgetAdapter drops what an engine held for an adapter that it no longer holds in the same version.
func (x *Index) ForgetAdapter(engine tracker.Key, ad tracker.Adapter) {
	m := x.engines[engine]
	for digest, c := range m {
		if c.adapter == ad {
			delete(m, digest)
		}
	}
}

// Retention returns how long an engine with room for memory tokens is expected to keep an unused prompt, if entries like this one
// send to a number of engines like it; 0 if the memory is unknown.
func (x *Index) Retention(now time.Time, memory, entries, engines int) time.Duration {
	if memory <= 0 {
		return 0
	}
	perEngine := x.decayedRate(now) * float64(max(entries, 1)) / float64(max(engines, 1))
	if perEngine <= 0 {
		return maxRetention
	}
	seconds := usableShare * float64(memory) / perEngine
	return min(max(time.Duration(seconds*float64(time.Second)), minRetention), maxRetention)
}

func (x *Index) decayedRate(now time.Time) float64 {
	if x.ratedAt.IsZero() {
		return 0
	}
	return x.rate * math.Exp(-max(now.Sub(x.ratedAt), 0).Seconds()/rateWindow.Seconds())
}
