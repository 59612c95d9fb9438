package relayer

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/reckoner"
	"redwingstage.org/stage/governor"
)

const (
	// roomPollInterval is the interval at which a request looks for room at engines; roomPollPerRequest is added for each
	// request that waits, so that the number of tries stays bounded.
	roomPollInterval   = 20 * time.Millisecond
	roomPollPerRequest = 2 * time.Millisecond
	// maxTokens bounds the numbers of tokens that a caller can name.
	maxTokens = math.MaxInt32
)

// Decisions on room, in the log and as labels of the metric.
const (
	roomWait    = "wait"
	roomRefuse  = "refuse"
	roomTooMuch = "too large"
)

// answerLengths learns the lengths of answers by service; it is safe for concurrent use.
type answerLengths struct {
	mu        sync.Mutex
	byService map[string]*reckoner.Lengths
}

func newAnswerLengths() *answerLengths {
	return &answerLengths{byService: make(map[string]*reckoner.Lengths)}
}

func (l *answerLengths) expect(service string, hint, most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	if s == nil {
		s = &reckoner.Lengths{}
	}
	return s.Expect(hint, most)
}

func (l *answerLengths) learn(service string, hint, most, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	if s == nil {
		s = &reckoner.Lengths{}
		l.byService[service] = s
	}
	s.Learn(hint, most, tokens)
}

// reckonMemory reckons the room that a request needs at an engine of the service.
func (e *Relayer) reckonMemory(c *call, s *matcher.Service) {
	if s.MemoryTokens <= 0 || c.tokens <= 0 {
		return
	}
	if e.headers.LengthHint != "" {
		if n, err := strconv.Atoi(strings.TrimSpace(c.req.get(e.headers.LengthHint))); err == nil && n > 0 {
			c.lengthHint = min(n, maxTokens)
		}
	}
	c.capacity, c.eventTokens = s.MemoryTokens, s.EventTokens
	prompt := min(c.tokens, maxTokens)
	c.memory = min(prompt+e.lengths.expect(c.service, c.lengthHint, min(c.outputTokens, maxTokens)), max(c.capacity, prompt))
}

// isTooLarge reports whether no engine can hold even the prompt.
func (c *call) isTooLarge() bool { return c.capacity > 0 && c.tokens >= c.capacity }

// refuseTooLarge refuses a request that no engine can hold. The request is a proper one, and later versions of the
// configuration may name larger engines, so that it isn't answered as the caller's error; the time until the next try is all
// that the caller has left.
func (e *Relayer) refuseTooLarge(c *call, w *responseWriter) bool {
	e.recordRoom(c, roomTooMuch)
	reason := "the prompt of " + strconv.Itoa(c.tokens) + " tokens doesn't fit into the memory of any engine of " + c.service
	return e.refuse(c, w, reason, max(time.Until(c.deadline), retryAfterNoServer))
}

// recordRoom counts and logs a decision on room.
func (e *Relayer) recordRoom(c *call, decision string) {
	e.metrics.room.WithLabelValues(decision).Inc()
	e.log.Room(c.id, c.adapter.Name, decision, c.memory, c.capacity)
}

// learnLength records the length of an answer that one attempt brought whole.
func (e *Relayer) learnLength(a *attempt) {
	c := a.call
	if c.eventTokens > 0 && a.resumedAfter == "" && c.req.get(e.headers.Resume) == "" {
		e.lengths.learn(c.service, c.lengthHint, c.outputTokens, a.events*c.eventTokens)
	}
}

// beginRoomWait gives up a request's turn among those that wait for a place, which would hold up smaller ones, and requests another
// copy of the adapter. It returns the end of the wait for room: later, no answer would come in time.
func (e *Relayer) beginRoomWait(c *call, r *balancer.Request) time.Time {
	if r.Ticket != nil {
		e.balancer.Dequeue(c.service, r.Ticket)
		r.Ticket = nil
	}
	if c.adapter.Name != "" {
		e.control.requestAdapter(governor.Want{Service: c.service, Adapter: c.adapter, Copy: true})
	}
	if c.roomLimit.IsZero() {
		now := time.Now()
		c.roomLimit = now.Add(time.Duration(maxQueueWaitShare * float64(c.deadline.Sub(now))))
	}
	return c.roomLimit
}

// updateRoomWait lets a request begin to wait for room, or end its wait if it now waits for something else. It returns the
// longest pause until the next try.
func (e *Relayer) updateRoomWait(c *call, r *balancer.Request, status balancer.PickStatus) time.Duration {
	switch {
	case status != balancer.NoRoom && r.Room != nil:
		e.stopRoomWait(c, r)
		return chooseRetryInterval
	case status != balancer.NoRoom:
		return chooseRetryInterval
	case r.Room == nil:
		e.recordRoom(c, roomWait)
		r.Room = e.balancer.WaitForRoom(*r)
	}
	return roomPollInterval + time.Duration(e.balancer.WaitingForRoom(c.service))*roomPollPerRequest
}

func (e *Relayer) stopRoomWait(c *call, r *balancer.Request) {
	if r.Room != nil {
		e.balancer.StopWaiting(c.service, r.Room)
		r.Room = nil
	}
}
