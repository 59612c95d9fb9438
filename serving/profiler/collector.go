package profiler

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// unit is the unit of the sums: they are in hundredths, so that messages carry small whole numbers.
	unit = 100
	// minPause and maxPause bound the time that counts for an event: a connection's buffer and a pause of the whole server
	// say nothing about its speed.
	minPause = 200 * time.Microsecond
	maxPause = 2 * time.Second
	// maxDeviation bounds the logarithm of the ratio between a first event's time and the usual one.
	maxDeviation = 1.5
	// usualTimes is the number of prompts over which the usual time before a first event is averaged, minUsualTimes the
	// number from which it is known. sizeClasses bounds the powers of two of prompt lengths.
	usualTimes    = 64
	minUsualTimes = 4
	sizeClasses   = 24
)

// Sample sums what processes saw of a server's streams.
type Sample struct {
	Server string
	// Events is the number of events after the first ones, Load the sum over them of the server's load as a share of its
	// slots, Pause that of the natural logarithms of the microseconds since the event before; both in hundredths.
	Events int
	Load   int
	Pause  int
	// Prompts is the number of first events, Held the sum over them of the server's load, First that of the natural
	// logarithms of the ratios between the time before the event and the usual time for a prompt of that length; both in
	// hundredths.
	Prompts int
	Held    int
	First   int
}

func (s *Sample) add(o Sample) {
	s.Events, s.Load, s.Pause = s.Events+o.Events, s.Load+o.Load, s.Pause+o.Pause
	s.Prompts, s.Held, s.First = s.Prompts+o.Prompts, s.Held+o.Held, s.First+o.First
}

// Collector sums samples by server until they are taken; it has no clock and is not safe for concurrent use.
type Collector struct {
	sums  map[string]*Sample
	usual map[usualKey]*usualTime
}

// usualKey identifies the prompts of one service with about the same length.
type usualKey struct {
	service string
	class   int
}

// usualTime is the mean logarithm of the times before first events in microseconds.
type usualTime struct {
	n    int
	mean float64
}

// NewCollector returns a Collector without samples.
func NewCollector() *Collector {
	return &Collector{sums: make(map[string]*Sample), usual: make(map[usualKey]*usualTime)}
}

// Add adds a sample that another process summed.
func (c *Collector) Add(s Sample) {
	sum := c.sums[s.Server]
	if sum == nil {
		sum = &Sample{Server: s.Server}
		c.sums[s.Server] = sum
	}
	sum.add(s)
}

// AddEvents records that a number of events came that long after the event before, at a load that is a share of the
// server's slots.
func (c *Collector) AddEvents(server string, load float64, n int, took time.Duration) {
	if n <= 0 || took <= 0 {
		return
	}
	pause := logMicroseconds(min(max(took/time.Duration(n), minPause), maxPause))
	load = min(max(load, 0), 1)
	c.Add(Sample{Server: server, Events: n, Load: n * hundredths(load), Pause: n * hundredths(pause)})
}

// AddPrompt records how long the first event took after a prompt of that many tokens was sent to a server with a free slot,
// at a load that is a share of its slots.
func (c *Collector) AddPrompt(service, server string, load float64, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	k := usualKey{service: service, class: min(int(math.Log2(float64(tokens))), sizeClasses)}
	u := c.usual[k]
	if u == nil {
		u = &usualTime{}
		c.usual[k] = u
	}
	v := logMicroseconds(took)
	if u.n >= minUsualTimes {
		v = min(max(v, u.mean-maxDeviation), u.mean+maxDeviation)
		c.Add(Sample{Server: server, Prompts: 1, Held: hundredths(min(max(load, 0), 1)), First: hundredths(v - u.mean)})
	}
	u.n = min(u.n+1, usualTimes)
	u.mean += (v - u.mean) / float64(u.n)
}

// Take returns the sums since the last call, by server.
func (c *Collector) Take() []Sample {
	if len(c.sums) == 0 {
		return nil
	}
	out := make([]Sample, 0, len(c.sums))
	for _, id := range slices.Sorted(maps.Keys(c.sums)) {
		out = append(out, *c.sums[id])
	}
	clear(c.sums)
	return out
}

func logMicroseconds(d time.Duration) float64 {
	return math.Log(float64(d) / float64(time.Microsecond))
}

func hundredths(v float64) int { return int(math.Round(v * unit)) }
