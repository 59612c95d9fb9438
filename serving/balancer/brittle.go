package balancer

import (
	"math"
	"time"
)

const (
	// brittleTTL is how long after an answer that says so the servers of a service count as brittle; all answers say so meanwhile.
	brittleTTL = 3 * time.Second
	// brittleLoad is the part of what a brittle server can run that all entries together send to it, each entry an equal part.
	brittleLoad = 0.65
	// paceCap is how many requests of its part an entry may send at once: callers come in clumps.
	paceCap = 2.0
	// refusalCost is what a refusal costs of an entry's part, in requests.
	refusalCost = 2.0
	// paceCut is how much a sum of refusals lowers what entries send to a server that refuses as many requests as it bears, paceRise how
	// much a sum without refusals raises it, down to minPaceShare.
	paceCut      = 0.2
	paceRise     = 1.015
	minPaceShare = 0.25
	// minPaceWait is the shortest wait for an entry's next part.
	minPaceWait = 2 * time.Millisecond
)

// brittleness is the state of a service whose servers fall over if they refuse more than refusals requests in a second.
type brittleness struct {
	refusals int
	until    time.Time
}

// paceState is an entry's part of the requests to a brittle server: how many it may send, as of a time; zero before it was known.
type paceState struct {
	level float64
	at    time.Time
}

// SetBrittle records that the servers of a service fall over if they refuse more than refusals requests in a second.
func (b *Balancer) SetBrittle(now time.Time, service string, refusals int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle[service] = brittleness{refusals: refusals, until: now.Add(brittleTTL)}
	for _, s := range b.services[service] {
		if s.pace.at.IsZero() {
			b.restartPace(now, s)
		}
	}
}

// IsBrittle reports whether the servers of a service fall over if they refuse too many requests.
func (b *Balancer) IsBrittle(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isBrittle(now, service)
}

// restartPace lets an entry begin with a server at a random time, so that entries don't begin at the same moment.
func (b *Balancer) restartPace(now time.Time, s *server) {
	s.pace = paceState{level: b.random(), at: now}
}

func (b *Balancer) isBrittle(now time.Time, service string) bool {
	return now.Before(b.brittle[service].until)
}

// isPaced reports whether this entry has sent its part of the requests to a brittle server. Sums of loads are older than the latest
// requests: entries that went by them would all send at the same moment, and a server that comes back would be overrun at once.
func (b *Balancer) isPaced(now time.Time, s *server) bool {
	return b.isBrittle(now, s.Service) && b.paceLevel(now, s) < 1
}

// paceLevel returns how many requests this entry may send to a brittle server now.
func (b *Balancer) paceLevel(now time.Time, s *server) float64 {
	if s.pace.at.IsZero() {
		return 0
	}
	return math.Min(s.pace.level+b.pacePerSecond(s)*now.Sub(s.pace.at).Seconds(), paceCap)
}

// pacePerSecond returns this entry's part of the requests a second to a brittle server.
func (b *Balancer) pacePerSecond(s *server) float64 {
	return brittleLoad * s.paceShare * float64(s.slots()) / b.stay(s.Service).Seconds() / float64(b.entries)
}

// adaptPace adapts what all entries send to a brittle server to the sum of its recent refusals.
func (b *Balancer) adaptPace(now time.Time, s *server) {
	if !b.isBrittle(now, s.Service) {
		s.paceShare = 1
		return
	}
	s.pace = paceState{level: b.paceLevel(now, s), at: now}
	borne := float64(s.sumRefusals) / countTime.Seconds() / float64(max(b.brittle[s.Service].refusals, 1))
	if borne > 0 {
		s.paceShare = max(s.paceShare*(1-paceCut*min(borne, 1)), minPaceShare)
	} else {
		s.paceShare = min(s.paceShare*paceRise, 1)
	}
}

// PaceWait returns how long a request that no brittle server of its service may get now waits until one may, 0 if that isn't why it waits.
func (b *Balancer) PaceWait(now time.Time, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isBrittle(now, service) {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, s := range b.services[service] {
		if level := b.paceLevel(now, s); level < 1 && !s.Leaving && !s.pace.at.IsZero() {
			least = min(least, time.Duration((1-level)/b.pacePerSecond(s)*float64(time.Second)))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return max(least, minPaceWait)
}

// spendPace counts a request to a server.
func (b *Balancer) spendPace(now time.Time, s *server) {
	if b.isBrittle(now, s.Service) {
		s.pace = paceState{level: b.paceLevel(now, s) - 1, at: now}
	}
}

// slowPace lets an entry begin anew with a server that can't be reached, and later with one that refused a request.
func (b *Balancer) slowPace(now time.Time, s *server, r Result) {
	if !b.isBrittle(now, s.Service) {
		return
	}
	switch r {
	case Unreachable:
		b.restartPace(now, s)
	case Rejected:
		s.pace = paceState{level: b.paceLevel(now, s) - refusalCost, at: now}
	}
}
