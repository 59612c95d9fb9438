package parser

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/go-faster/errors"
)

// Lengths of a body that has no Content-Length, as fasthttp reports them.
const (
	LengthChunked    = -1
	LengthUntilClose = -2
)

// maxTrailerBytes bounds the trailer after the last chunk.
const maxTrailerBytes = 8 << 10

// Body reads a response's body up to its end, with the trailer.
type Body struct {
	r  io.Reader
	br *bufio.Reader
	// length is the length in bytes, LengthChunked or LengthUntilClose; consumed is how many bytes were read.
	length   int
	consumed int
	// endErr is the error that all further reads return.
	endErr error
}

// IsBodiless reports whether a response has no body.
func IsBodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// NewBody returns the body of a response whose head was read from br; length is in bytes, LengthChunked or LengthUntilClose.
func NewBody(br *bufio.Reader, length int) *Body {
	b := &Body{r: br, br: br, length: length}
	switch {
	case length >= 0:
		b.r = io.LimitReader(br, int64(length))
	case length == LengthChunked:
		b.r = httputil.NewChunkedReader(br)
	default:
		b.length = LengthUntilClose
	}
	return b
}

// Length returns the length in bytes, LengthChunked or LengthUntilClose.
func (b *Body) Length() int { return b.length }

// Consumed returns how many bytes were read.
func (b *Body) Consumed() int { return b.consumed }

// Read implements io.Reader; io.EOF means that the body is complete.
func (b *Body) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.r.Read(p)
	b.consumed += n
	if err == nil {
		return n, nil
	}
	b.endErr = err
	if errors.Is(err, io.EOF) {
		switch {
		case b.length > b.consumed:
			b.endErr = io.ErrUnexpectedEOF
		case b.length == LengthChunked:
			if err := discardTrailer(b.br); err != nil {
				b.endErr = errors.Wrap(err, "trailer")
			}
		}
	}
	return n, b.endErr
}

// discardTrailer discards the trailer after the last chunk, up to its empty line; its lines must be those of a head.
func discardTrailer(br *bufio.Reader) error {
	for n, size := 1, 0; size <= maxTrailerBytes; n++ {
		line, err := br.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		size += len(line)
		field, ok := bytes.CutSuffix(line, []byte(lineEnd))
		switch {
		case !ok:
			return errors.Wrapf(ErrField, "line %d", n)
		case len(field) == 0:
			return nil
		}
		if _, ok := parseField(string(field)); !ok {
			return errors.Wrapf(ErrField, "line %d", n)
		}
	}
	return errors.Errorf("more than %d bytes follow the last chunk", maxTrailerBytes)
}
