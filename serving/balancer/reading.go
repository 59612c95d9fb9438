package balancer

import (
	"slices"
	"time"
)

// Engines read prompts between the tokens of their other streams, so that several prompts at once hold all of them up for
// longer than callers like. Prompts that take a good part of the longest pause therefore take turns at an engine: one is
// always read, and more only as long as all of them together keep the pause.
const (
	// pauseShare is the part of the longest pause that the prompts being read may take; tokens and slow steps need the rest.
	pauseShare = 0.35
	// turnShare is the part of that from which a prompt takes turns.
	turnShare = 0.25
	// firstRate is the number of tokens that engines read in a millisecond until enough prompts were timed.
	firstRate = 30.0
	// rateSamples is how many prompts are timed, rateQuantile which of them counts: those beside others take longer, those
	// that the engine knows already less long.
	rateSamples  = 64
	rateQuantile = 0.75
	minSamples   = 16
	// minTimed is the number of tokens from which a prompt is timed; the way there and the first token hide shorter ones.
	minTimed = 256
	// maxReadingPenalty bounds how much being busy with prompts counts.
	maxReadingPenalty = 3
)

// pace is how fast the engines of a service read prompts, in tokens a millisecond.
type pace struct {
	samples []float64
	next    int
	rate    float64
}

// Timed takes note of how long a server took for the prompt of a request and its first token.
func (b *Balancer) Timed(service string, tokens int, took time.Duration) {
	if tokens < minTimed || took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.paces[service]
	if p == nil {
		p = &pace{}
		b.paces[service] = p
	}
	v := float64(tokens) / (float64(took) / float64(time.Millisecond))
	if len(p.samples) < rateSamples {
		p.samples = append(p.samples, v)
	} else {
		p.samples[p.next] = v
		p.next = (p.next + 1) % rateSamples
	}
	if len(p.samples) >= minSamples {
		sorted := slices.Sorted(slices.Values(p.samples))
		p.rate = sorted[int(rateQuantile*float64(len(sorted)-1))]
	}
}

// readLimit returns how many tokens of prompts a server of the service may be reading at once for streams whose pauses may
// be as long as gap; 0 where pauses don't matter.
func (b *Balancer) readLimit(service string, gap time.Duration) float64 {
	rate := firstRate
	if p := b.paces[service]; p != nil && p.rate > 0 {
		rate = p.rate
	}
	return pauseShare * rate * float64(gap) / float64(time.Millisecond)
}

// takesTurns reports whether a prompt is so long that it takes turns with others.
func (b *Balancer) takesTurns(a Ask) bool {
	return a.Gap > 0 && float64(a.Tokens) >= turnShare*b.readLimit(a.Service, a.Gap)
}

// TakesTurns reports whether others have to wait while the server reads the request's prompt.
func (c Choice) TakesTurns() bool { return c.unread != nil && *c.unread > 0 }

// mustWait reports whether a server has to read other prompts first.
func (b *Balancer) mustWait(now time.Time, s *server, a Ask) bool {
	if a.Press || !b.takesTurns(a) {
		return false
	}
	reading := b.reading(now, s)
	return reading > 0 && float64(reading+a.Tokens) > b.readLimit(a.Service, a.Gap)
}

// readingScore is the load that a server's prompts count for.
func (b *Balancer) readingScore(now time.Time, s *server, a Ask) float64 {
	limit := b.readLimit(a.Service, a.Gap)
	if limit <= 0 {
		return 0
	}
	return readingPenalty * min(float64(b.reading(now, s))/limit, maxReadingPenalty)
}
