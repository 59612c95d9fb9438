package logger

import (
	"sync"
	"time"
)

// Maximum lines per second by kind. A line has some hundred bytes, so their sum stays far below what a log collector
// accepts from one instance.
const (
	requestLinesPerSecond = 100
	attemptLinesPerSecond = 50
	lateLinesPerSecond    = 20
	orderLinesPerSecond   = 200
	refusalLinesPerSecond = 20
	roomLinesPerSecond    = 10
	callLinesPerSecond    = 20
	writeLinesPerSecond   = 2
	libraryLinesPerSecond = 5
)

// lineQuota limits one kind of line per second.
type lineQuota struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	written     int
	dropped     int
}

// allow reports whether a line may be written now, and how many were dropped since the last one.
func (q *lineQuota) allow(now time.Time) (dropped int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.windowStart) >= time.Second {
		q.windowStart, q.written = now, 0
	}
	if q.written >= q.perSecond {
		q.dropped++
		return 0, false
	}
	q.written++
	dropped, q.dropped = q.dropped, 0
	return dropped, true
}
