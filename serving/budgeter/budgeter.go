package budgeter

import "time"

const (
	// smallBytes is what a connection may hold in bytes and still count as small.
	smallBytes = 128 << 10
	// reservedShare is the share of the budget that only small connections may use.
	reservedShare = 0.125
	// patience is how long a connection may receive a request, or not read a response, before it is evicted for another one that
	// isn't small.
	patience = time.Second
	// maxWait bounds the wait for room, from the first decision that is Wait.
	maxWait = 2 * time.Second
	// searchInterval is the shortest time between two searches for a connection to evict: each goes over all of them.
	searchInterval = 10 * time.Millisecond
	// bytesPerWaiter bounds the connections that wait for more than a small room: their unread bytes take memory of the kernel.
	bytesPerWaiter = 256 << 10
)

// Decision is the answer to a request for room.
type Decision int

const (
	// Granted means that the bytes count as held.
	Granted Decision = iota
	// Wait means that there is no room now; the connection asks again when some is released, or after a short pause.
	Wait
	// Refused means that the connection gets no room and must release what it holds.
	Refused
)

// state is what a connection does.
type state int

const (
	receiving state = iota
	serving
	sending
)

// Holder is what one connection holds for its current request.
type Holder struct {
	held    int64
	state   state
	since   time.Time
	waiting time.Time
	evicted bool
}

// Held returns the bytes that the connection holds.
func (h *Holder) Held() int64 { return h.held }

// Evicted reports whether the connection was evicted; it gets no more room.
func (h *Holder) Evicted() bool { return h.evicted }

// Budget is the bytes that the connections of a process may hold together.
type Budget struct {
	limit   int64
	used    int64
	waiters int64
	holders map[*Holder]struct{}
	// evicting is what evicted connections hold that aren't closed yet.
	evicting   int64
	searchedAt time.Time
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: make(map[*Holder]struct{})}
}

// Used returns the bytes that all connections hold.
func (b *Budget) Used() int64 { return b.used }

// Limit returns the bytes that all connections may hold.
func (b *Budget) Limit() int64 { return b.limit }

// Open adds a connection that begins to receive a request.
func (b *Budget) Open(now time.Time) *Holder {
	h := &Holder{since: now}
	b.holders[h] = struct{}{}
	return h
}

// Take asks for n more bytes. If a connection is evicted for them, it is returned: its bytes count until it is closed.
func (b *Budget) Take(now time.Time, h *Holder, n int64) (d Decision, evicted *Holder) {
	if h.evicted || h.held+n > b.limit {
		b.stopWaiting(h)
		return Refused, nil
	}
	small := h.held+n <= smallBytes
	room := b.limit - b.used
	if !small {
		room -= int64(reservedShare * float64(b.limit))
	}
	if n <= room {
		b.stopWaiting(h)
		b.used += n
		h.held += n
		return Granted, nil
	}
	if h.waiting.IsZero() {
		if !small && b.waiters >= b.limit/bytesPerWaiter {
			return Refused, nil
		}
		h.waiting = now
		b.waiters++
	}
	if now.Sub(h.waiting) >= maxWait {
		b.stopWaiting(h)
		return Refused, nil
	}
	if b.evicting >= n || now.Sub(b.searchedAt) < searchInterval {
		return Wait, nil
	}
	b.searchedAt = now
	if v := b.worst(now, h, n, small); v != nil {
		v.evicted = true
		b.evicting += v.held
		return Wait, v
	}
	return Wait, nil
}

func (b *Budget) stopWaiting(h *Holder) {
	if !h.waiting.IsZero() {
		h.waiting = time.Time{}
		b.waiters--
	}
}

// worst returns the connection to evict for n bytes of h, nil if there is none: the one that holds most, of equal ones the one that
// has gone on longest.
func (b *Budget) worst(now time.Time, h *Holder, n int64, small bool) *Holder {
	var worst *Holder
	for v := range b.holders {
		if v == h || v.evicted || v.held == 0 || !v.evictable(now, h.held+n, small) {
			continue
		}
		if worst == nil || v.held > worst.held || v.held == worst.held && v.since.Before(worst.since) {
			worst = v
		}
	}
	return worst
}

// evictable reports whether the connection may be evicted for one that will hold n bytes. A request that a server runs is never.
func (h *Holder) evictable(now time.Time, n int64, small bool) bool {
	overdue := now.Sub(h.since) >= patience
	switch h.state {
	case receiving:
		return overdue || small && h.held > n
	case sending:
		return overdue
	default:
		return false
	}
}

// Serve records that the request was received completely.
func (b *Budget) Serve(now time.Time, h *Holder) { h.state, h.since = serving, now }

// Send records that a write to the caller begins.
func (b *Budget) Send(now time.Time, h *Holder) { h.state, h.since = sending, now }

// Release returns n bytes.
func (b *Budget) Release(h *Holder, n int64) {
	n = min(n, h.held)
	h.held -= n
	b.used -= n
	if h.evicted {
		b.evicting -= n
	}
}

// Close removes the connection and returns what it holds.
func (b *Budget) Close(h *Holder) {
	if _, ok := b.holders[h]; !ok {
		return
	}
	b.stopWaiting(h)
	b.Release(h, h.held)
	delete(b.holders, h)
}
