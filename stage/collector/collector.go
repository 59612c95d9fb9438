package collector

import (
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/budgeter"
)

const (
	// firstBytes is the first room of a body in bytes; it doubles as bytes come.
	firstBytes = 4 << 10
	// retryInterval is the longest pause between two decisions while a connection waits for room.
	retryInterval = 50 * time.Millisecond
	// budgetShare is the share of a process's memory for what its connections hold, defaultBudget the budget in bytes if that memory
	// is unknown.
	budgetShare   = 0.25
	defaultBudget = 512 << 20
)

var (
	// ErrNoRoom means that the budget has no room for a connection.
	ErrNoRoom = errors.New("the memory for requests is used up")
	// ErrTooLarge means that a body is larger than allowed.
	ErrTooLarge = errors.New("the body is too large")
)

// Collector holds the budget of a process.
type Collector struct {
	mu     sync.Mutex
	budget *budgeter.Budget
	evict  map[*budgeter.Holder]func()
	// released is closed and replaced whenever bytes are released.
	released chan struct{}
	refused  int
}

// New returns a collector for a process with memoryLimit bytes; 0 means that its memory is unknown.
func New(memoryLimit int64) *Collector {
	limit := int64(defaultBudget)
	if memoryLimit > 0 {
		limit = int64(budgetShare * float64(memoryLimit))
	}
	return NewWithBudget(limit)
}

// NewWithBudget returns a collector for connections that hold at most limit bytes together; 0 means the default.
func NewWithBudget(limit int64) *Collector {
	if limit <= 0 {
		limit = defaultBudget
	}
	return &Collector{budget: budgeter.New(limit), evict: make(map[*budgeter.Holder]func()), released: make(chan struct{})}
}

// Used returns the bytes that all connections hold, and the limit.
func (c *Collector) Used() (used, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Used(), c.budget.Limit()
}

// Refused returns how many requests for room were refused.
func (c *Collector) Refused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// Buffer is what one connection holds for its current request.
type Buffer struct {
	collector *Collector
	holder    *budgeter.Holder
}

// Open begins a request; evict must make the connection's reads and writes fail, and may be called at any time until Close returns.
func (c *Collector) Open(evict func()) *Buffer {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.budget.Open(time.Now())
	c.evict[h] = evict
	return &Buffer{collector: c, holder: h}
}

// Close returns all that the connection holds.
func (b *Buffer) Close() {
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evict, b.holder)
	c.budget.Close(b.holder)
	c.notify()
}

// notify wakes the connections that wait; c.mu must be held.
func (c *Collector) notify() {
	close(c.released)
	c.released = make(chan struct{})
}

// Take waits for n more bytes, a bounded time; the error is ErrNoRoom.
func (b *Buffer) Take(n int) error {
	c := b.collector
	for {
		c.mu.Lock()
		d, evicted := c.budget.Take(time.Now(), b.holder, int64(n))
		if evicted != nil {
			c.evict[evicted]()
		}
		if d == budgeter.Refused {
			c.refused++
		}
		released := c.released
		c.mu.Unlock()
		switch d {
		case budgeter.Granted:
			return nil
		case budgeter.Refused:
			return ErrNoRoom
		}
		t := time.NewTimer(retryInterval)
		select {
		case <-released:
		case <-t.C:
		}
		t.Stop()
	}
}

// Release returns n bytes.
func (b *Buffer) Release(n int) {
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Release(b.holder, int64(n))
	c.notify()
}

// Serve records that the request was received completely, or a write to the caller has ended, so that the connection isn't evicted;
// false means that it was evicted before.
func (b *Buffer) Serve() bool {
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Serve(time.Now(), b.holder)
	return !b.holder.Evicted()
}

// Send records that a write to the caller begins; a connection may be evicted while it lasts.
func (b *Buffer) Send() {
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Send(time.Now(), b.holder)
}

// ReadAll reads r to its end into memory that grows as bytes come; its capacity stays counted until Close. length is the announced
// length, or less than 0 if there is none; a body of more than limit bytes is ErrTooLarge. Errors of r are returned as they are.
func (b *Buffer) ReadAll(r io.Reader, length, limit int) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length < 0 {
		// One more byte shows that a body is too large.
		length = limit + 1
	}
	var data []byte
	for len(data) < length {
		if len(data) == cap(data) {
			grown, err := b.grow(data, length)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(data) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// grow returns data with twice the capacity, at most limit bytes.
func (b *Buffer) grow(data []byte, limit int) ([]byte, error) {
	n := min(max(2*cap(data), firstBytes), limit)
	if err := b.Take(n); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), n)
	copy(grown, data)
	b.Release(cap(data))
	return grown, nil
}
