package balancer

import (
	"math"
	"time"

	"redwingstage.org/serving/tracker"
)

const (
	// drainWindow is the time over which the rate of answers is measured.
	drainWindow = time.Second
	// minDrain is the rate of answers a second that is assumed before any was seen.
	minDrain = 1.0
)

// Ticket is a request's place in the queue of a service.
type Ticket struct {
	adapter tracker.Adapter
	turn    chan struct{}
}

// Turn brings a value each time the request may be tried again.
func (t *Ticket) Turn() <-chan struct{} { return t.turn }

// queue holds the requests that wait for a service, for each adapter in the order of their arrival; its owner locks.
type queue struct {
	waiting map[tracker.Adapter][]*Ticket
	total   int
	drain   float64
	drained time.Time
}

func newQueue() *queue { return &queue{waiting: make(map[tracker.Adapter][]*Ticket)} }

// isBehind reports whether others wait before the holder of the ticket, or at all if there is none.
func (q *queue) isBehind(ad tracker.Adapter, t *Ticket) bool {
	list := q.waiting[ad]
	return len(list) > 0 && list[0] != t
}

func (q *queue) enter(now time.Time, ad tracker.Adapter, patience time.Duration) (*Ticket, time.Duration) {
	wait := time.Duration(float64(q.total+1) / max(q.rate(now), minDrain) * float64(time.Second))
	if q.total > 0 && wait > patience {
		return nil, wait
	}
	t := &Ticket{adapter: ad, turn: make(chan struct{}, 1)}
	q.waiting[ad] = append(q.waiting[ad], t)
	q.total++
	return t, 0
}

func (q *queue) leave(t *Ticket) {
	list := q.waiting[t.adapter]
	for i, o := range list {
		if o == t {
			q.waiting[t.adapter] = append(list[:i:i], list[i+1:]...)
			q.total--
			break
		}
	}
	if len(q.waiting[t.adapter]) == 0 {
		delete(q.waiting, t.adapter)
	}
	q.wake()
}

// ended counts an answer and lets the first of each adapter try.
func (q *queue) ended(now time.Time, r Result) {
	if r == OK || r == Failed {
		q.drain = q.rate(now) + 1/drainWindow.Seconds()
		q.drained = now
	}
	q.wake()
}

// rate returns the decayed rate of answers a second.
func (q *queue) rate(now time.Time) float64 {
	if q.drained.IsZero() {
		return 0
	}
	return q.drain * math.Exp(-float64(now.Sub(q.drained))/float64(drainWindow))
}

// wake lets the first of each adapter try again.
func (q *queue) wake() {
	for _, list := range q.waiting {
		select {
		case list[0].turn <- struct{}{}:
		default:
		}
	}
}
