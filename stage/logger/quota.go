package logger

import (
	"sync"
	"time"
)

// Lines a second of each kind; a process writes some hundred bytes a line, so that all of them together stay far below
// what a log collector takes from one instance.
const (
	requestLines = 100
	attemptLines = 50
	lateLines    = 20
	orderLines   = 200
)

// quota bounds the lines of one kind to a number a second.
type quota struct {
	perSecond int

	mu      sync.Mutex
	second  time.Time
	used    int
	leftOut int
}

// take reports whether a line may be written now, and how many were left out since the last one.
func (q *quota) take(now time.Time) (leftOut int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.second) >= time.Second {
		q.second, q.used = now, 0
	}
	if q.used >= q.perSecond {
		q.leftOut++
		return 0, false
	}
	q.used++
	leftOut, q.leftOut = q.leftOut, 0
	return leftOut, true
}
