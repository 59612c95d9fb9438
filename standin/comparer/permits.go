package comparer

import (
	"time"

	"redwingstage.org/serving/configurer"
)

// ask is an entry's wish for a load permit.
type ask struct {
	entry  int
	server string
	target configurer.Target
	urgent bool
	rate   float64
}

// permits models the control leader's permits, which keep the loads within the store's limits.
type permits struct {
	rate     float64
	parallel int

	tokens float64
	at     time.Time
	out    int
	queue  []ask
}

// burst is the number of permits that may be saved up.
const burst = 2.0

func (s *permits) refill(now time.Time) {
	if !s.at.IsZero() {
		s.tokens = min(s.tokens+now.Sub(s.at).Seconds()*s.rate, burst)
	}
	s.at = now
}

// push queues a wish once.
func (s *permits) push(a ask) {
	for i, q := range s.queue {
		if q.server == a.server && q.target == a.target {
			s.queue[i].urgent = q.urgent || a.urgent
			return
		}
	}
	s.queue = append(s.queue, a)
}

// withdraw drops a wish that waits.
func (s *permits) withdraw(server string, t configurer.Target) {
	for i, q := range s.queue {
		if q.server == server && q.target == t {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
}

// back takes a permit back; one that wasn't used gives the store's rate back.
func (s *permits) back(used bool) {
	s.out--
	if !used {
		s.tokens = min(s.tokens+1, burst)
	}
}

// pop returns the next wish that may be granted, urgent ones first, or the wait until one may be.
func (s *permits) pop(now time.Time) (ask, time.Duration, bool) {
	s.refill(now)
	if len(s.queue) == 0 || s.out >= s.parallel {
		return ask{}, 0, false
	}
	if s.tokens < 1 {
		return ask{}, time.Duration((1 - s.tokens) / s.rate * float64(time.Second)), false
	}
	best := 0
	for i, q := range s.queue {
		if b := s.queue[best]; q.urgent != b.urgent && q.urgent || q.urgent == b.urgent && q.rate > b.rate {
			best = i
		}
	}
	a := s.queue[best]
	s.queue = append(s.queue[:best:best], s.queue[best+1:]...)
	s.tokens--
	s.out++
	return a, 0, true
}
