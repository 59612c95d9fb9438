package responder

import (
	"sync"
	"time"
)

// LeaveBound is how long after its leaving a server may still be sent new work.
const LeaveBound = 3 * time.Second

// lateAfter is when new work counts as late too, which is worse than overdue.
const lateAfter = 5 * time.Second

// Departure counts the new work that reaches a server after it announced that it leaves; the zero value stays.
type Departure struct {
	mu      sync.Mutex
	began   time.Time
	last    time.Duration
	before  int
	after   int
	overdue int
	late    int
}

// departureReport is what GET /departure tells; LastMS is the time from the leave to the last new work.
type departureReport struct {
	Leaving bool  `json:"leaving"`
	Before  int   `json:"before"`
	After   int   `json:"after"`
	Overdue int   `json:"overdue"`
	Late    int   `json:"late"`
	LastMS  int64 `json:"last_ms"`
	SinceMS int64 `json:"since_ms"`
}

// Begin says that the server leaves; later calls change nothing.
func (d *Departure) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.began.IsZero() {
		d.began = now
	}
}

// HasBegun reports whether the server leaves.
func (d *Departure) HasBegun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.began.IsZero()
}

// Count counts a piece of new work.
func (d *Departure) Count(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.began.IsZero() {
		d.before++
		return
	}
	d.after++
	d.last = now.Sub(d.began)
	if d.last > LeaveBound {
		d.overdue++
	}
	if d.last > lateAfter {
		d.late++
	}
}

// Overdue returns how many pieces of new work came more than LeaveBound after the leave.
func (d *Departure) Overdue() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overdue
}

// Late returns how many pieces of new work came more than 5 s after the leave.
func (d *Departure) Late() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late
}

func (d *Departure) report(now time.Time) departureReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := departureReport{
		Leaving: !d.began.IsZero(), Before: d.before, After: d.after, Overdue: d.overdue, Late: d.late,
		LastMS: d.last.Milliseconds(),
	}
	if r.Leaving {
		r.SinceMS = now.Sub(d.began).Milliseconds()
	}
	return r
}
