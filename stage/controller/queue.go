package controller

import "sync"

// maxQueuedMessages bounds the messages queued for one stream; a stream that falls behind is closed.
const maxQueuedMessages = 8192

// queue passes messages from the control goroutine to the goroutine that writes a stream.
type queue[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	ready  chan struct{}
}

func newQueue[T any]() *queue[T] { return &queue[T]{ready: make(chan struct{}, 1)} }

// push adds a message; false means that the stream is closed or has fallen behind.
func (q *queue[T]) push(v T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.items) >= maxQueuedMessages {
		return false
	}
	q.items = append(q.items, v)
	q.signal()
	return true
}

// close closes the queue; items in it can still be taken.
func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

func (q *queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns the queued items, and whether more may follow.
func (q *queue[T]) take() ([]T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items, !q.closed
}
