package balancer

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of the averages of the loads of other entries.
	averageTime = time.Second
	// initialStay is the assumed time that a request spends at a server of a service until answers were timed, stayWeight
	// the weight of the latest answer in its average.
	initialStay = 200 * time.Millisecond
	stayWeight  = 1.0 / 8
	// shortestWeight is the weight of a longer answer in the shortest stay.
	shortestWeight = 1.0 / 64
	// loadsAge is how old the loads of other entries are when they arrive: reports and sums are sent ten times a second.
	loadsAge = 150 * time.Millisecond
	// sumsInterval is the longest time between two messages with sums while there is load.
	sumsInterval = 400 * time.Millisecond
	// fadeTime is the time constant with which averages fade once no sums arrive.
	fadeTime = 500 * time.Millisecond
)

// forecast estimates the requests of other entries at a server from sums that are older than a short request takes: the
// older a sum is in relation to a request's stay, the less of its difference from the average remains.
type forecast struct {
	last    float64
	average float64
	at      time.Time
}

// set records the requests of other entries.
func (f *forecast) set(now time.Time, running float64) {
	if f.at.IsZero() {
		f.average = running
	} else {
		f.average = f.averageAt(now)
	}
	f.last, f.at = running, now
}

// averageAt returns the average at a time; sums are sent only when they change.
func (f *forecast) averageAt(now time.Time) float64 {
	return f.last + (f.average-f.last)*math.Exp(-float64(max(now.Sub(f.at), 0))/float64(averageTime))
}

// othersRunning returns the expected number of requests of other entries at a server. Once no sums arrive, the average
// no longer moves to the last sum, which may be far from it by chance, and fades: all entries know the same averages, so
// that all would avoid the same servers.
func (b *Balancer) othersRunning(now time.Time, s *server) float64 {
	age := now.Sub(b.sumsAt)
	missing := max(age-sumsInterval, 0)
	average := s.others.averageAt(now.Add(-missing))
	expected := average + (s.others.last-average)*sumWeight(age, b.stay(s.Service))
	return expected * math.Exp(-float64(missing)/float64(fadeTime))
}

// hasCurrentSums reports whether sums of loads arrive.
func (b *Balancer) hasCurrentSums(now time.Time) bool { return now.Sub(b.sumsAt) <= sumsInterval }

// sumWeight returns which part of a difference from the average remains after the age of a sum.
func sumWeight(age, stay time.Duration) float64 {
	return math.Exp(-float64(age+loadsAge) / float64(max(stay, time.Millisecond)))
}

// stays averages how long requests stay at the servers of a service.
type stays struct {
	mean time.Duration
	// shortest follows the shortest stays: requests that found a free slot.
	shortest time.Duration
}

func (s *stays) record(took time.Duration) {
	if s.mean == 0 {
		s.mean, s.shortest = took, took
		return
	}
	s.mean += time.Duration(stayWeight * float64(took-s.mean))
	s.shortest = min(took, s.shortest+time.Duration(shortestWeight*float64(took-s.shortest)))
}

func (s *stays) get() time.Duration {
	if s == nil || s.mean == 0 {
		return initialStay
	}
	return s.mean
}

// sumsAreCurrent reports whether most requests that a sum is about are still at the servers of a service.
func (b *Balancer) sumsAreCurrent(service string) bool {
	s := b.stays[service]
	return s == nil || s.shortest >= loadsAge
}

// countSpan is the length of the two spans that a recentCount covers.
const countSpan = 200 * time.Millisecond

// countTime is how long an event counts on average.
const countTime = countSpan + countSpan/2

// recentCount counts the events of the current and the previous span of countSpan.
type recentCount struct {
	span     int64
	current  int
	previous int
}

func (r *recentCount) advance(now time.Time) {
	span := now.UnixNano() / int64(countSpan)
	switch span - r.span {
	case 0:
		return
	case 1:
		r.previous, r.current = r.current, 0
	default:
		r.previous, r.current = 0, 0
	}
	r.span = span
}

func (r *recentCount) add(now time.Time) {
	r.advance(now)
	r.current++
}

func (r *recentCount) count(now time.Time) int {
	r.advance(now)
	return r.current + r.previous
}
