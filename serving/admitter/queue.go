package admitter

import (
	"slices"
	"time"
)

// Item is a queued value with its class and time limits.
type Item[T any] struct {
	Value T
	// Urgent work goes first.
	Urgent bool
	// Arrived is when the work was queued.
	Arrived time.Time
	// FirstTokenBy is when the first token is due; zero means that there is no limit.
	FirstTokenBy time.Time
	// Deadline is when the whole answer is due; zero means that there is no limit.
	Deadline time.Time

	seq            uint64
	reportedAtRisk bool
}

// Config holds a queue's limits.
type Config struct {
	// MaxUrgent and MaxWaiting bound the two lanes, in items.
	MaxUrgent  int
	MaxWaiting int
	// MaxUrgentStreak is the number of urgent items in a row after which a waiting one goes first.
	MaxUrgentStreak int
	// FIFO returns work in the order of arrival, as a baseline for comparisons.
	FIFO bool
}

// Default limits of a queue.
const (
	DefaultMaxUrgent       = 128
	DefaultMaxWaiting      = 512
	DefaultMaxUrgentStreak = 16
)

// Queue holds the work of one backend server in two lanes: urgent work by its first token's due time, waiting work by its deadline.
type Queue[T comparable] struct {
	cfg          Config
	urgent       []*Item[T]
	waiting      []*Item[T]
	seq          uint64
	urgentStreak int
}

// New returns an empty queue; zero limits take their defaults.
func New[T comparable](cfg Config) *Queue[T] {
	if cfg.MaxUrgent <= 0 {
		cfg.MaxUrgent = DefaultMaxUrgent
	}
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.MaxUrgentStreak <= 0 {
		cfg.MaxUrgentStreak = DefaultMaxUrgentStreak
	}
	return &Queue[T]{cfg: cfg}
}

// Push queues an item and reports whether its lane had room.
func (q *Queue[T]) Push(it Item[T]) bool {
	lane, limit := &q.urgent, q.cfg.MaxUrgent
	if !it.Urgent {
		lane, limit = &q.waiting, q.cfg.MaxWaiting
	}
	if len(*lane) >= limit {
		return false
	}
	q.seq++
	it.seq = q.seq
	q.insert(lane, &it)
	return true
}

// Next removes and returns the first item in turn that ready accepts.
func (q *Queue[T]) Next(ready func(T) bool) (Item[T], bool) {
	if q.cfg.FIFO {
		return q.nextFIFO(ready)
	}
	first, second := &q.urgent, &q.waiting
	if q.urgentStreak >= q.cfg.MaxUrgentStreak {
		first, second = second, first
	}
	it, ok := takeFirst(first, ready)
	if !ok {
		it, ok = takeFirst(second, ready)
	}
	if !ok {
		return Item[T]{}, false
	}
	if it.Urgent && len(q.waiting) > 0 {
		q.urgentStreak++
	} else {
		q.urgentStreak = 0
	}
	return *it, true
}

// Remove removes a value and reports whether it was queued.
func (q *Queue[T]) Remove(v T) bool {
	for _, lane := range []*[]*Item[T]{&q.urgent, &q.waiting} {
		for i, it := range *lane {
			if it.Value == v {
				*lane = slices.Delete(*lane, i, i+1)
				return true
			}
		}
	}
	return false
}

// Drop removes and returns the values that f accepts, in queue order.
func (q *Queue[T]) Drop(f func(Item[T]) bool) []T {
	var out []T
	for _, lane := range []*[]*Item[T]{&q.urgent, &q.waiting} {
		*lane = slices.DeleteFunc(*lane, func(it *Item[T]) bool {
			if !f(*it) {
				return false
			}
			out = append(out, it.Value)
			return true
		})
	}
	return out
}

// Promote moves waiting items that must start now to meet their deadline into the urgent lane, up to twice MaxUrgent;
// need is the time that an item takes once started.
func (q *Queue[T]) Promote(now time.Time, need func(T) time.Duration) {
	q.waiting = slices.DeleteFunc(q.waiting, func(it *Item[T]) bool {
		if it.Deadline.IsZero() || len(q.urgent) >= 2*q.cfg.MaxUrgent {
			return false
		}
		start := it.Deadline.Add(-need(it.Value))
		if now.Before(start) {
			return false
		}
		it.Urgent = true
		it.FirstTokenBy = start
		q.insert(&q.urgent, it)
		return true
	})
}

// AtRisk returns the values, each once, whose deadline is at most their margin away.
func (q *Queue[T]) AtRisk(now time.Time, margin func(T) time.Duration) []T {
	var out []T
	for _, lane := range [][]*Item[T]{q.urgent, q.waiting} {
		for _, it := range lane {
			if it.reportedAtRisk || it.Deadline.IsZero() || now.Add(margin(it.Value)).Before(it.Deadline) {
				continue
			}
			it.reportedAtRisk = true
			out = append(out, it.Value)
		}
	}
	return out
}

// Ahead returns how many queued items would go before a new one with the urgency and due time.
func (q *Queue[T]) Ahead(urgent bool, due time.Time) int {
	if q.cfg.FIFO {
		return q.Len()
	}
	probe := &Item[T]{seq: q.seq + 1, FirstTokenBy: due, Deadline: due}
	if urgent {
		i, _ := slices.BinarySearchFunc(q.urgent, probe, byDue)
		return i
	}
	i, _ := slices.BinarySearchFunc(q.waiting, probe, byDue)
	return len(q.urgent) + i
}

// Each calls f for each queued item, urgent ones first.
func (q *Queue[T]) Each(f func(Item[T])) {
	for _, it := range q.urgent {
		f(*it)
	}
	for _, it := range q.waiting {
		f(*it)
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.urgent) + len(q.waiting) }

// LaneLengths returns the lengths of the urgent and the waiting lane.
func (q *Queue[T]) LaneLengths() (urgent, waiting int) { return len(q.urgent), len(q.waiting) }

func (q *Queue[T]) insert(lane *[]*Item[T], it *Item[T]) {
	i, _ := slices.BinarySearchFunc(*lane, it, byDue)
	*lane = slices.Insert(*lane, i, it)
}

func (q *Queue[T]) nextFIFO(ready func(T) bool) (Item[T], bool) {
	var oldest *Item[T]
	for _, lane := range [][]*Item[T]{q.urgent, q.waiting} {
		for _, it := range lane {
			if (oldest == nil || it.seq < oldest.seq) && ready(it.Value) {
				oldest = it
			}
		}
	}
	if oldest == nil {
		return Item[T]{}, false
	}
	q.Remove(oldest.Value)
	return *oldest, true
}

func takeFirst[T any](lane *[]*Item[T], ready func(T) bool) (*Item[T], bool) {
	for i, it := range *lane {
		if ready(it.Value) {
			*lane = slices.Delete(*lane, i, i+1)
			return it, true
		}
	}
	return nil, false
}

// byDue orders items by due time, those without one last, then by arrival.
func byDue[T any](a, b *Item[T]) int {
	da, db := due(a), due(b)
	switch {
	case da.IsZero() != db.IsZero():
		if da.IsZero() {
			return 1
		}
		return -1
	case !da.Equal(db):
		return da.Compare(db)
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	}
	return 0
}

func due[T any](it *Item[T]) time.Time {
	if it.FirstTokenBy.IsZero() || !it.Deadline.IsZero() && it.Deadline.Before(it.FirstTokenBy) {
		return it.Deadline
	}
	return it.FirstTokenBy
}
