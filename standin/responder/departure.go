package responder

import (
	"sync"
	"time"
)

// OverdueAfter is how long new work may still arrive after a server starts to leave; later work is overdue.
const OverdueAfter = 3 * time.Second

// lateAfter is the time after the start of the leave beyond which new work is also late, which is worse than overdue.
const lateAfter = 5 * time.Second

// Departure counts the new work that a server receives before and after it starts to leave; the zero value isn't leaving.
type Departure struct {
	mu           sync.Mutex
	leavingSince time.Time
	lastDelay    time.Duration
	before       int
	after        int
	overdue      int
	late         int
}

// departureReport is the body of GET /departure; LastMS is the time from the start of the leave to the last new work.
type departureReport struct {
	Leaving bool  `json:"leaving"`
	Before  int   `json:"before"`
	After   int   `json:"after"`
	Overdue int   `json:"overdue"`
	Late    int   `json:"late"`
	LastMS  int64 `json:"last_ms"`
	SinceMS int64 `json:"since_ms"`
}

// StartLeaving marks the server as leaving since now; later calls have no effect.
func (d *Departure) StartLeaving(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leavingSince.IsZero() {
		d.leavingSince = now
	}
}

// IsLeaving reports whether the server is leaving.
func (d *Departure) IsLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.leavingSince.IsZero()
}

// RecordWork records new work that arrived at now.
func (d *Departure) RecordWork(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leavingSince.IsZero() {
		d.before++
		return
	}
	d.after++
	d.lastDelay = now.Sub(d.leavingSince)
	if d.lastDelay > OverdueAfter {
		d.overdue++
	}
	if d.lastDelay > lateAfter {
		d.late++
	}
}

// OverdueCount returns how much new work arrived more than OverdueAfter after the start of the leave.
func (d *Departure) OverdueCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overdue
}

// LateCount returns how much new work arrived more than 5 s after the start of the leave.
func (d *Departure) LateCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late
}

func (d *Departure) report(now time.Time) departureReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := departureReport{
		Leaving: !d.leavingSince.IsZero(), Before: d.before, After: d.after, Overdue: d.overdue, Late: d.late,
		LastMS: d.lastDelay.Milliseconds(),
	}
	if r.Leaving {
		r.SinceMS = now.Sub(d.leavingSince).Milliseconds()
	}
	return r
}
