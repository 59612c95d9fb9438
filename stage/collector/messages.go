package collector

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uncountedBytes is what a message may hold in bytes without being counted.
	uncountedBytes = 16 << 10
	// prefixBytes is the length of the prefix of each message of a stream: flags, then the message's length.
	prefixBytes = 5
	// streamType begins the media types of connect's streams.
	streamType = "application/connect+"
)

// Handler returns a handler for connect's calls whose messages are counted while they are received: a message without room fails the
// read with ErrNoRoom.
func (c *Collector) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		b := &messageBody{
			ReadCloser: r.Body, collector: c, isStream: strings.HasPrefix(r.Header.Get("Content-Type"), streamType),
			evict: func() { _ = ctl.SetReadDeadline(time.Unix(1, 0)) },
		}
		defer b.end()
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// messageBody is a request's body; one goroutine reads it, which may outlive the handler.
type messageBody struct {
	io.ReadCloser
	collector *Collector
	evict     func()
	isStream  bool

	mu    sync.Mutex
	ended bool
	// prefix is what was read of the current message's prefix, rest what is to come after it, both only of streams.
	prefix []byte
	rest   uint32
	// received is what was read of the current message, counted what the buffer holds for it.
	received, counted int
	buffer            *Buffer
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.isStream && b.rest == 0 {
		// The reader has used the message before.
		b.release()
	}
	b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, http.ErrBodyReadAfterClose
	}
	if countErr := b.count(p[:n]); countErr != nil {
		return 0, countErr
	}
	return n, err
}

// end returns what the body holds, for good.
func (b *messageBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.release()
}

// count counts data that was read; b.mu must be held.
func (b *messageBody) count(data []byte) error {
	if !b.isStream {
		return b.take(len(data))
	}
	for len(data) > 0 {
		if b.rest == 0 {
			n := min(prefixBytes-len(b.prefix), len(data))
			b.prefix = append(b.prefix, data[:n]...)
			data = data[n:]
			if len(b.prefix) < prefixBytes {
				return nil
			}
			b.release()
			b.rest, b.prefix = binary.BigEndian.Uint32(b.prefix[1:]), b.prefix[:0]
			continue
		}
		n := min(int64(b.rest), int64(len(data)))
		if err := b.take(int(n)); err != nil {
			return err
		}
		b.rest -= uint32(n)
		data = data[n:]
	}
	return nil
}

// take counts n more bytes of the current message; b.mu must be held.
func (b *messageBody) take(n int) error {
	b.received += n
	if b.received <= uncountedBytes {
		return nil
	}
	if b.buffer == nil {
		b.buffer = b.collector.Open(b.evict)
	}
	more := b.received - b.counted
	b.counted = b.received
	return b.buffer.Take(more)
}

// release returns what the current message holds; b.mu must be held.
func (b *messageBody) release() {
	if b.buffer != nil {
		b.buffer.Close()
	}
	b.buffer, b.received, b.counted = nil, 0, 0
}
