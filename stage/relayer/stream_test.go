package relayer

import (
	"bufio"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An event whose line ended at the end of the reader's buffer was forwarded in two parts, and text at the start of a buffer was
// parsed as a new line.
func TestEventEndsAtBlankLineAcrossBuffers(t *testing.T) {
	const size = 16
	for _, newline := range []string{"\n", "\r\n"} {
		for n := range 3 * size {
			c := qt.New(t)
			text := strings.ReplaceAll("id: 1\ndata: "+strings.Repeat("x", n)+"id: 9\n\n", "\n", newline)
			r := &eventReader{br: bufio.NewReaderSize(strings.NewReader(text), size)}
			block, err := r.next()
			c.Assert(err, qt.IsNil)
			c.Check(string(block), qt.Equals, text)
			c.Check(r.lastID, qt.Equals, "1", qt.Commentf("%d bytes before", n))
			_, err = r.next()
			c.Check(err, qt.Equals, io.EOF)
		}
	}
}
