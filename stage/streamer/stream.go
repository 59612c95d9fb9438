package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrAbandoned says that nobody reads the answer any more.
var ErrAbandoned = errors.New("answer abandoned by its reader")

// ErrSlow says that the reader fell too far behind.
var ErrSlow = errors.New("reader of the answer is too slow")

// Stream is a bounded buffer between the writer and the reader of an answer; the writer never waits.
type Stream struct {
	limit int
	ready chan struct{}
	gone  chan struct{}

	mu     sync.Mutex
	head   Head
	opened bool
	shown  bool
	buf    []byte
	end    End
	ended  bool
	left   bool
}

// Part is what a reader gets next: a head, then data, then an end; data of several writes comes in one part.
type Part struct {
	Head   Head
	Opened bool
	Data   []byte
	End    End
	Ended  bool
}

// New returns a stream that holds at most limit unread bytes.
func New(limit int) *Stream {
	return &Stream{limit: limit, ready: make(chan struct{}, 1), gone: make(chan struct{})}
}

// Head opens the answer; later calls change nothing.
func (s *Stream) Head(h Head) {
	s.mu.Lock()
	if !s.opened {
		s.head, s.opened = h, true
	}
	s.mu.Unlock()
	s.wake()
}

// Opened reports whether the answer has begun.
func (s *Stream) Opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Data appends a copy of b.
func (s *Stream) Data(b []byte) error {
	s.mu.Lock()
	switch {
	case s.left || s.ended:
		s.mu.Unlock()
		return ErrAbandoned
	case len(s.buf)+len(b) > s.limit:
		s.mu.Unlock()
		return ErrSlow
	}
	s.buf = append(s.buf, b...)
	s.mu.Unlock()
	s.wake()
	return nil
}

// End closes the answer; later calls change nothing.
func (s *Stream) End(e End) {
	s.mu.Lock()
	if !s.ended {
		s.end, s.ended = e, true
	}
	s.mu.Unlock()
	s.wake()
}

// Abandon says that the reader has gone.
func (s *Stream) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.left {
		s.left = true
		close(s.gone)
	}
}

// Abandoned is closed once the reader has gone.
func (s *Stream) Abandoned() <-chan struct{} { return s.gone }

// Next waits for the next part; spare becomes the stream's buffer, so that the reader must be done with it.
func (s *Stream) Next(ctx context.Context, spare []byte) (Part, error) {
	return s.NextBefore(ctx, spare, nil)
}

// NextBefore is Next, but returns an empty part once something comes from due.
func (s *Stream) NextBefore(ctx context.Context, spare []byte, due <-chan time.Time) (Part, error) {
	done := ctx.Done()
	for {
		if p, ok := s.take(spare); ok {
			return p, nil
		}
		if done == nil && due == nil {
			// Waiting for one channel costs a fraction of a select.
			<-s.ready
			continue
		}
		select {
		case <-s.ready:
		case <-due:
			return Part{}, nil
		case <-done:
			return Part{}, ctx.Err()
		}
	}
}

func (s *Stream) take(spare []byte) (Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var p Part
	if s.opened && !s.shown {
		p.Head, p.Opened, s.shown = s.head, true, true
	}
	if len(s.buf) > 0 {
		p.Data, s.buf = s.buf, spare[:0]
	}
	if s.ended {
		p.End, p.Ended = s.end, true
	}
	return p, p.Opened || p.Ended || len(p.Data) > 0
}

func (s *Stream) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
