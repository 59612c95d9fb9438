package balancer

import (
	"slices"
	"time"

	"redwingstage.org/serving/prefixer"
	"redwingstage.org/serving/tracker"
)

const (
	// prefixWeight is the load, as a share of a server's slots, that a saved prefill of a whole latency target outweighs.
	prefixWeight = 1.0
	// minSharedTokens is the length from which a cached beginning is announced to other entries: the prefill of shorter ones takes
	// less time than a step or two of the engine.
	minSharedTokens = 1000
)

// Prompt is a request's prompt, as far as its beginning may be cached.
type Prompt struct {
	// Prefixes are the beginnings of the prompt, the shortest first; nil if they are unknown or don't count.
	Prefixes []prefixer.Prefix
	// Memory is the memory of an engine in tokens.
	Memory int
	// Target is the latency target against which the saved prefill is weighed.
	Target time.Duration
}

// index returns the index of a service; the caller holds the lock.
func (b *Balancer) index(service string) *prefixer.Index {
	x := b.prefixes[service]
	if x == nil {
		x = prefixer.New()
		b.prefixes[service] = x
	}
	return x
}

// retention returns how long engines of a service keep prompts; the caller holds the lock.
func (b *Balancer) retention(now time.Time, service string, memory int) time.Duration {
	return b.index(service).Retention(now, memory, b.entries, len(b.services[service]))
}

// held returns how many tokens of the request's prompt a server is believed to have cached.
func (b *Balancer) held(now time.Time, s *server, req Request) int {
	if len(req.Prompt.Prefixes) == 0 {
		return 0
	}
	return b.index(req.Service).Held(now, s.Key, req.Prompt.Prefixes, b.retention(now, req.Service, req.Prompt.Memory))
}

// tokensToPrefill returns how many tokens of the request's prompt a server has to prefill.
func (b *Balancer) tokensToPrefill(now time.Time, s *server, req Request) int {
	return max(req.Tokens-b.held(now, s, req), 0)
}

// prefixScore returns the load that a cached beginning outweighs, as a negative score: the time saved by it against the latency target.
// Servers without a place or room aren't scored, and the wait behind other prompts is part of prefillScore.
func (b *Balancer) prefixScore(now time.Time, s *server, req Request) float64 {
	if req.Prompt.Target <= 0 {
		return 0
	}
	held := b.held(now, s, req)
	if held == 0 {
		return 0
	}
	savedMS := float64(held) / b.prefillRate(req.Service)
	return -prefixWeight * min(savedMS*float64(time.Millisecond)/float64(req.Prompt.Target), 1)
}

// withHolders adds to the considered servers the usable ones that have cached a long beginning of the prompt.
func (b *Balancer) withHolders(now time.Time, req Request, considered, usable []*server) []*server {
	if len(req.Prompt.Prefixes) == 0 || len(considered) == len(usable) {
		return considered
	}
	for _, s := range usable {
		if b.held(now, s, req) >= minSharedTokens && !slices.Contains(considered, s) {
			considered = append(considered, s)
		}
	}
	return considered
}

// RecordPrompt records that the server of a choice has read the prompt of a request for the adapter.
func (b *Balancer) RecordPrompt(now time.Time, c Choice, ad tracker.Adapter, p Prompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[c.Key.ID]; s == nil || s.Key != c.Key {
		return
	}
	b.index(c.Service).Record(now, c.Key, ad, p.Prefixes, minSharedTokens, b.retention(now, c.Service, p.Memory))
}

// SharedPrefixes returns the cached beginnings that other entries should know of and that were recorded since the last call.
func (b *Balancer) SharedPrefixes() []prefixer.Shared {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []prefixer.Shared
	for _, x := range b.prefixes {
		out = append(out, x.TakeShared()...)
	}
	return out
}

// AddSharedPrefixes records cached beginnings that other entries know of; those of unknown servers are ignored.
func (b *Balancer) AddSharedPrefixes(now time.Time, list []prefixer.Shared) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		if s := b.servers[p.Engine.ID]; s != nil && s.Key == p.Engine {
			b.index(s.Service).AddShared(now, p)
		}
	}
}

// forgetPrompts drops what a start of a server had cached; the caller holds the lock.
func (b *Balancer) forgetPrompts(s *server) {
	if x := b.prefixes[s.Service]; x != nil {
		x.Forget(s.Key)
	}
}

// forgetAdapterPrompts drops what a server had cached for an adapter; the caller holds the lock.
func (b *Balancer) forgetAdapterPrompts(s *server, ad tracker.Adapter) {
	if x := b.prefixes[s.Service]; x != nil {
		x.ForgetAdapter(s.Key, ad)
	}
}
