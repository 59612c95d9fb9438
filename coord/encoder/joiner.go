package encoder

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"
)

const (
	streamType  = "application/connect+"
	prefixBytes = 5
)

// messageJoiner sends each message of a stream in one write. connect-go writes prefix and payload separately, which
// would be two frames, two system calls and two wake-ups at the receiver.
type messageJoiner struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (j *messageJoiner) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil && strings.HasPrefix(r.Header.Get("Content-Type"), streamType) {
		joined := *r
		joined.Body = &joinedBody{ReadCloser: r.Body}
		r = &joined
	}
	return j.Transport.RoundTrip(r)
}

// joinedBody reads a prefix together with the beginning of its payload.
type joinedBody struct {
	io.ReadCloser
	// remaining is the number of bytes remaining of the current payload.
	remaining uint64
	// unaligned reports that a prefix was split over reads, so that message boundaries are unknown.
	unaligned bool
}

// Read implements io.Reader.
func (b *joinedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case b.unaligned || n == 0:
		return n, err
	case b.remaining > 0:
		b.remaining -= min(b.remaining, uint64(n))
		return n, err
	case n != prefixBytes:
		b.unaligned = true
		return n, err
	}
	b.remaining = uint64(binary.BigEndian.Uint32(p[1:prefixBytes]))
	if err != nil || b.remaining == 0 || len(p) == n {
		return n, err
	}
	m, err := b.ReadCloser.Read(p[n:])
	b.remaining -= min(b.remaining, uint64(m))
	return n + m, err
}
