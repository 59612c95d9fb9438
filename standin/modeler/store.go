package modeler

import (
	"sync"
	"time"
)

// StoreConfig limits a weight store; a limit of 0 means none.
type StoreConfig struct {
	// Rate is the number of loads that may start per second.
	Rate float64
	// FullSpeedLoads is the number of concurrent loads at full speed; further ones are slowed in proportion.
	FullSpeedLoads int
	// FullSpeedInFlight is the number of queued and running loads beyond which each further load is slowed in proportion.
	FullSpeedInFlight int
	// LoadTime is the time of a load at full speed.
	LoadTime time.Duration
}

// Store simulates the weight store that engines load adapters from; it is safe for concurrent use.
type Store struct {
	cfg StoreConfig

	mu           sync.Mutex
	nextStart    time.Time // the earliest start under the rate limit without burst
	loads        []loadSpan
	totalLoads   int
	peakInFlight int
}

// loadSpan is a load in flight, which is queued until start.
type loadSpan struct{ start, end time.Time }

// NewStore returns a store without loads.
func NewStore(cfg StoreConfig) *Store {
	setDefault(&cfg.LoadTime, defaultLoadTime)
	return &Store{cfg: cfg}
}

// BeginLoad starts or queues a load and returns its end time.
func (s *Store) BeginLoad(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeEnded(now)
	start := s.reserveStart(now)
	d := s.cfg.LoadTime
	inFlight := len(s.loads) + 1
	if n := s.cfg.FullSpeedInFlight; n > 0 && inFlight > n {
		d = d * time.Duration(inFlight) / time.Duration(n)
	}
	if n := s.cfg.FullSpeedLoads; n > 0 {
		if running := s.runningAt(start) + 1; running > n {
			d = d * time.Duration(running) / time.Duration(n)
		}
	}
	end := start.Add(d)
	s.loads = append(s.loads, loadSpan{start: start, end: end})
	s.totalLoads++
	s.peakInFlight = max(s.peakInFlight, inFlight)
	return end
}

// InFlight returns the number of queued and running loads.
func (s *Store) InFlight(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeEnded(now)
	return len(s.loads)
}

// TotalLoads returns the number of loads that were ever begun.
func (s *Store) TotalLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalLoads
}

// PeakInFlight returns the peak number of loads in flight.
func (s *Store) PeakInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakInFlight
}

// reserveStart returns the start of the next load under the rate limit, which allows a burst of FullSpeedLoads loads.
func (s *Store) reserveStart(now time.Time) time.Time {
	if s.cfg.Rate <= 0 {
		return now
	}
	gap := time.Duration(float64(time.Second) / s.cfg.Rate)
	burst := gap * time.Duration(max(s.cfg.FullSpeedLoads, 1)-1)
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	start := s.nextStart.Add(-burst)
	if start.Before(now) {
		start = now
	}
	s.nextStart = s.nextStart.Add(gap)
	return start
}

func (s *Store) runningAt(t time.Time) int {
	n := 0
	for _, l := range s.loads {
		if !l.start.After(t) && l.end.After(t) {
			n++
		}
	}
	return n
}

func (s *Store) removeEnded(now time.Time) {
	kept := s.loads[:0]
	for _, l := range s.loads {
		if l.end.After(now) {
			kept = append(kept, l)
		}
	}
	s.loads = kept
}
