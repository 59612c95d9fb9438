package balancer

import (
	"math"
	"time"

	"redwingstage.org/serving/tracker"
)

const (
	// answerRateWindow is the time constant of the decayed rate of answers.
	answerRateWindow = time.Second
	// minAnswerRate is the rate of answers a second assumed before any was seen.
	minAnswerRate = 1.0
)

// Ticket is a request's place in the queue of a service.
type Ticket struct {
	adapter tracker.Adapter
	ready   chan struct{}
}

// Ready returns a channel that receives a value each time the request may be tried again.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// queue holds the requests that wait for a service, per adapter in order of arrival; its owner locks.
type queue struct {
	waiting    map[tracker.Adapter][]*Ticket
	total      int
	answerRate float64
	lastAnswer time.Time
}

func newQueue() *queue { return &queue{waiting: make(map[tracker.Adapter][]*Ticket)} }

// isBehind reports whether other requests wait before the ticket, or at all if it is nil.
func (q *queue) isBehind(ad tracker.Adapter, t *Ticket) bool {
	list := q.waiting[ad]
	return len(list) > 0 && list[0] != t
}

func (q *queue) enqueue(now time.Time, ad tracker.Adapter, maxWait time.Duration) (*Ticket, time.Duration) {
	wait := time.Duration(float64(q.total+1) / max(q.rate(now), minAnswerRate) * float64(time.Second))
	if q.total > 0 && wait > maxWait {
		return nil, wait
	}
	t := &Ticket{adapter: ad, ready: make(chan struct{}, 1)}
	q.waiting[ad] = append(q.waiting[ad], t)
	q.total++
	return t, 0
}

func (q *queue) remove(t *Ticket) {
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
	q.notifyFirst()
}

// recordResult counts an answer and notifies the first request of each adapter.
func (q *queue) recordResult(now time.Time, r Result) {
	if r == OK || r == Failed {
		q.answerRate = q.rate(now) + 1/answerRateWindow.Seconds()
		q.lastAnswer = now
	}
	q.notifyFirst()
}

// rate returns the decayed rate of answers a second.
func (q *queue) rate(now time.Time) float64 {
	if q.lastAnswer.IsZero() {
		return 0
	}
	return q.answerRate * math.Exp(-float64(now.Sub(q.lastAnswer))/float64(answerRateWindow))
}

// notifyFirst notifies the first request of each adapter to try again.
func (q *queue) notifyFirst() {
	for _, list := range q.waiting {
		select {
		case list[0].ready <- struct{}{}:
		default:
		}
	}
}

// queue returns the queue of a service; the caller holds the lock.
func (b *Balancer) queue(service string) *queue {
	q := b.queues[service]
	if q == nil {
		q = newQueue()
		b.queues[service] = q
	}
	return q
}

// Enqueue queues a request behind those that wait for the service, if its turn is expected within maxWait; otherwise it
// returns the expected wait.
func (b *Balancer) Enqueue(now time.Time, service string, ad tracker.Adapter, maxWait time.Duration) (*Ticket, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue(service).enqueue(now, ad, maxWait)
}

// Dequeue removes a request from the queue.
func (b *Balancer) Dequeue(service string, t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(service).remove(t)
}

// notifyWaiters wakes the goroutines that wait for an adapter; the caller holds the lock.
func (b *Balancer) notifyWaiters(ad tracker.Adapter) {
	if ch := b.waiters[ad]; ch != nil {
		close(ch)
		delete(b.waiters, ad)
	}
}

// NotifyLoaded returns a channel that is closed when a server next holds the adapter.
func (b *Balancer) NotifyLoaded(ad tracker.Adapter) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := b.waiters[ad]
	if ch == nil {
		ch = make(chan struct{})
		b.waiters[ad] = ch
	}
	return ch
}
