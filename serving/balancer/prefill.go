package balancer

import (
	"slices"
	"time"
)

// Engines prefill prompts between the tokens of their other streams, so that several prompts at once pause all streams
// for longer than callers accept. Prompts that take a large part of the longest allowed pause are therefore serialized
// at an engine: one is always prefilled, and more only while all of them together stay within the pause.
const (
	// prefillShare is the part of the longest pause that prefills may take; tokens and slow steps need the rest.
	prefillShare = 0.35
	// longPromptShare is the part of the prefill limit from which a prompt is serialized.
	longPromptShare = 0.25
	// initialPrefillRate is the assumed prefill rate, in tokens per millisecond, until minRateSamples prompts were
	// timed.
	initialPrefillRate = 30.0
	// rateSamples is the number of timed prompts kept, rateQuantile the quantile of their rates that counts: prompts
	// beside others take longer, those that the engine has cached less long.
	rateSamples    = 64
	rateQuantile   = 0.75
	minRateSamples = 16
	// minTimedTokens is the length from which a prompt is timed; the network and the first token dominate shorter ones.
	minTimedTokens = 256
	// maxPrefillLoad limits the prefill load that counts in the score, in multiples of the prefill limit.
	maxPrefillLoad = 3
)

// prefillRate is how fast the engines of a service prefill, in tokens per millisecond.
type prefillRate struct {
	samples []float64
	next    int
	rate    float64
}

// RecordPrefillTime records how long a server took to prefill a prompt of that many tokens and to send its first token.
func (b *Balancer) RecordPrefillTime(service string, tokens int, took time.Duration) {
	if tokens < minTimedTokens || took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.prefillRates[service]
	if p == nil {
		p = &prefillRate{}
		b.prefillRates[service] = p
	}
	v := float64(tokens) / (float64(took) / float64(time.Millisecond))
	if len(p.samples) < rateSamples {
		p.samples = append(p.samples, v)
	} else {
		p.samples[p.next] = v
		p.next = (p.next + 1) % rateSamples
	}
	if len(p.samples) >= minRateSamples {
		sorted := slices.Sorted(slices.Values(p.samples))
		p.rate = sorted[int(rateQuantile*float64(len(sorted)-1))]
	}
}

// prefillLimit returns how many prompt tokens a server of the service may prefill at once for streams whose pauses may
// be as long as maxPause; 0 if pauses don't matter.
func (b *Balancer) prefillLimit(service string, maxPause time.Duration) float64 {
	return prefillShare * b.prefillRate(service) * float64(maxPause) / float64(time.Millisecond)
}

// prefillRate returns how many prompt tokens engines of the service prefill in a millisecond.
func (b *Balancer) prefillRate(service string) float64 {
	if p := b.prefillRates[service]; p != nil && p.rate > 0 {
		return p.rate
	}
	return initialPrefillRate
}

// isLongPrompt reports whether so many tokens of a prompt have to be prefilled that it is serialized with others.
func (b *Balancer) isLongPrompt(req Request, tokens int) bool {
	return req.MaxPause > 0 && float64(tokens) >= longPromptShare*b.prefillLimit(req.Service, req.MaxPause)
}

// DelaysPrefill reports whether other long prompts have to wait while the server prefills the request's prompt.
func (c Choice) DelaysPrefill() bool { return c.pendingPrefill != nil && *c.pendingPrefill > 0 }

// mustWaitForPrefill reports whether a server has to prefill other prompts first.
func (b *Balancer) mustWaitForPrefill(now time.Time, s *server, req Request) bool {
	tokens := b.tokensToPrefill(now, s, req)
	if req.IgnorePrefillLimit || !b.isLongPrompt(req, tokens) {
		return false
	}
	prefill := b.totalPrefill(now, s)
	return prefill > 0 && float64(prefill+tokens) > b.prefillLimit(req.Service, req.MaxPause)*s.prefillRateOf()
}

// prefillScore returns the load that a server's prefills count for.
func (b *Balancer) prefillScore(now time.Time, s *server, req Request) float64 {
	limit := b.prefillLimit(req.Service, req.MaxPause) * s.prefillRateOf()
	if limit <= 0 {
		return 0
	}
	return prefillPenalty * min(float64(b.totalPrefill(now, s))/limit, maxPrefillLoad)
}
