package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrAbandoned means that the reader of the answer is gone, or that the answer has ended.
var ErrAbandoned = errors.New("answer abandoned by its reader")

// ErrSlow means that the unread bytes would exceed the stream's limit.
var ErrSlow = errors.New("reader of the answer is too slow")

// Stream is a bounded buffer between the writer and the reader of an answer; writes never block.
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

// Part is everything buffered since the last read: the head, the data of one or more writes, and the end.
type Part struct {
	Head   Head
	Opened bool
	Data   []byte
	End    End
	Ended  bool
}

// New returns a stream that buffers at most limit bytes.
func New(limit int) *Stream {
	return &Stream{limit: limit, ready: make(chan struct{}, 1), gone: make(chan struct{})}
}

// Head sets the head of the answer; later calls have no effect.
func (s *Stream) Head(h Head) {
	s.mu.Lock()
	if !s.opened {
		s.head, s.opened = h, true
	}
	s.mu.Unlock()
	s.wake()
}

// Opened reports whether Head was called.
func (s *Stream) Opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Data appends a copy of b, or returns ErrAbandoned or ErrSlow.
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

// End ends the answer; later calls have no effect.
func (s *Stream) End(e End) {
	s.mu.Lock()
	if !s.ended {
		s.end, s.ended = e, true
	}
	s.mu.Unlock()
	s.wake()
}

// Abandon tells the writer that the reader is gone.
func (s *Stream) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.left {
		s.left = true
		close(s.gone)
	}
}

// Abandoned returns a channel that is closed by Abandon.
func (s *Stream) Abandoned() <-chan struct{} { return s.gone }

// Next waits for the next part; spare is reused as the stream's buffer, so the caller must no longer use it.
func (s *Stream) Next(ctx context.Context, spare []byte) (Part, error) {
	return s.NextBefore(ctx, spare, nil)
}

// NextBefore is like Next, but returns an empty part when due delivers a value.
func (s *Stream) NextBefore(ctx context.Context, spare []byte, due <-chan time.Time) (Part, error) {
	done := ctx.Done()
	for {
		if p, ok := s.take(spare); ok {
			return p, nil
		}
		if done == nil && due == nil {
			// Receiving from a single channel is much cheaper than a select.
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
