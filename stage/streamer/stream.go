package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrAbandoned means that the reader has left or the answer has ended.
var ErrAbandoned = errors.New("answer abandoned by its reader")

// ErrSlow means that the unread bytes exceed the limit.
var ErrSlow = errors.New("reader of the answer is too slow")

// Stream is a bounded buffer between the writer and the reader of an answer; writes never block.
type Stream struct {
	limit       int
	ready       chan struct{}
	abandonedCh chan struct{}

	mu        sync.Mutex
	head      Head
	opened    bool
	headTaken bool
	buf       []byte
	end       End
	ended     bool
	abandoned bool
}

// Part holds the content buffered since the last read: the head, the data of several writes, the end.
type Part struct {
	Head   Head
	Opened bool
	Data   []byte
	End    End
	Ended  bool
}

// New returns a stream that buffers at most limit bytes.
func New(limit int) *Stream {
	return &Stream{limit: limit, ready: make(chan struct{}, 1), abandonedCh: make(chan struct{})}
}

// Head sets the head of the answer; later calls have no effect.
func (s *Stream) Head(h Head) {
	s.mu.Lock()
	if !s.opened {
		s.head, s.opened = h, true
	}
	s.mu.Unlock()
	s.notify()
}

// Opened reports whether Head was called.
func (s *Stream) Opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Data appends a copy of b.
func (s *Stream) Data(b []byte) error {
	s.mu.Lock()
	switch {
	case s.abandoned || s.ended:
		s.mu.Unlock()
		return ErrAbandoned
	case len(s.buf)+len(b) > s.limit:
		s.mu.Unlock()
		return ErrSlow
	}
	s.buf = append(s.buf, b...)
	s.mu.Unlock()
	s.notify()
	return nil
}

// End ends the answer; later calls have no effect.
func (s *Stream) End(e End) {
	s.mu.Lock()
	if !s.ended {
		s.end, s.ended = e, true
	}
	s.mu.Unlock()
	s.notify()
}

// Abandon records that the reader has left; writes then fail.
func (s *Stream) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.abandoned {
		s.abandoned = true
		close(s.abandonedCh)
	}
}

// Abandoned returns a channel that is closed by Abandon.
func (s *Stream) Abandoned() <-chan struct{} { return s.abandonedCh }

// Next waits for the next part; spare becomes the stream's buffer, so the caller must not use it again.
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
			// A receive costs a fraction of a select.
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
	if s.opened && !s.headTaken {
		p.Head, p.Opened, s.headTaken = s.head, true, true
	}
	if len(s.buf) > 0 {
		p.Data, s.buf = s.buf, spare[:0]
	}
	if s.ended {
		p.End, p.Ended = s.end, true
	}
	return p, p.Opened || p.Ended || len(p.Data) > 0
}

func (s *Stream) notify() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
