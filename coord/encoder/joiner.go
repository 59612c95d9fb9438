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

// joiner sends each message of a stream as one piece. connect-go writes prefix and payload one after the other, which
// would be two frames, two system calls and two wake-ups at the receiver.
type joiner struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (j *joiner) RoundTrip(r *http.Request) (*http.Response, error) {
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
	// left is what is still to come of the present payload.
	left uint64
	// torn says that a prefix came in pieces, so that nothing is known of the boundaries any more.
	torn bool
}

// Read implements io.Reader.
func (b *joinedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case b.torn || n == 0:
		return n, err
	case b.left > 0:
		b.left -= min(b.left, uint64(n))
		return n, err
	case n != prefixBytes:
		b.torn = true
		return n, err
	}
	b.left = uint64(binary.BigEndian.Uint32(p[1:prefixBytes]))
	if err != nil || b.left == 0 || len(p) == n {
		return n, err
	}
	m, err := b.ReadCloser.Read(p[n:])
	b.left -= min(b.left, uint64(m))
	return n + m, err
}
