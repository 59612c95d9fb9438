package logger

import (
	"sync"
	"time"
)

// Maximum lines per second by kind. A line has some hundred bytes, so their sum stays far below what a log collector
// accepts from one instance.
const (
	requestLines = 100
	attemptLines = 50
	lateLines    = 20
	orderLines   = 200
)

// quota limits one kind of line per second.
type quota struct {
	perSecond int

	mu      sync.Mutex
	second  time.Time
	used    int
	leftOut int
}

// take reports whether a line may be written now, and how many were dropped since the last one.
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
