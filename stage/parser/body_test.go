package parser

import (
	"bufio"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestBody(t *testing.T) {
	for _, row := range []struct {
		name   string
		length int
		raw    string
		body   string
		err    error
	}{
		{"length", 4, "bodyrest", "body", nil},
		{"no bytes", 0, "rest", "", nil},
		{"cut", 4, "bod", "bod", io.ErrUnexpectedEOF},
		{"until close", LengthUntilClose, "body", "body", nil},
		{"chunks", LengthChunked, "4\r\nbody\r\n0\r\n\r\nrest", "body", nil},
		{"trailer", LengthChunked, "4\r\nbody\r\n0\r\nA: b\r\nC:\r\n\r\nrest", "body", nil},
		{"no last chunk", LengthChunked, "4\r\nbody\r\n", "body", io.ErrUnexpectedEOF},
		{"no empty line", LengthChunked, "4\r\nbody\r\n0\r\n", "body", io.ErrUnexpectedEOF},
		{"cut trailer", LengthChunked, "4\r\nbody\r\n0\r\nA: b", "body", io.ErrUnexpectedEOF},
		{"blank in a trailer's name", LengthChunked, "4\r\nbody\r\n0\r\nA B: c\r\n\r\n", "body", ErrField},
		{"blank after a trailer's name", LengthChunked, "4\r\nbody\r\n0\r\nA: b\r\nC : d\r\n\r\n", "body", ErrField},
		{"folded trailer", LengthChunked, "4\r\nbody\r\n0\r\nA: b\r\n c\r\n\r\n", "body", ErrField},
		{"bare line feed in a trailer", LengthChunked, "4\r\nbody\r\n0\r\nA: b\n\r\n", "body", ErrField},
		{"bare line feed as the end", LengthChunked, "4\r\nbody\r\n0\r\n\nrest", "body", ErrField},
	} {
		t.Run(row.name, func(t *testing.T) {
			br := bufio.NewReader(strings.NewReader(row.raw))
			b := NewBody(br, row.length)
			got, err := io.ReadAll(b)
			qt.Check(t, string(got), qt.Equals, row.body)
			qt.Check(t, errors.Is(err, row.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, b.Consumed(), qt.Equals, len(row.body))
			if row.err == nil {
				rest, _ := io.ReadAll(br)
				qt.Check(t, string(rest) == "rest" || row.length == LengthUntilClose, qt.IsTrue, qt.Commentf("%q", rest))
			}
		})
	}
}
