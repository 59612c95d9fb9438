package parser

import (
	"bufio"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseStatus(t *testing.T) {
	for _, row := range []struct {
		line   string
		status int
	}{
		{"HTTP/1.1 200 OK", 200},
		{"HTTP/1.0 404 Not Found", 404},
		{"HTTP/1.1 599 ", 599},
		{"HTTP/1.1 100", 100},
		{"HTTP/1.1 000 OK", 0},
		{"HTTP/1.1 099 OK", 0},
		{"HTTP/1.1 600 OK", 0},
		{"HTTP/1.1 999 OK", 0},
		{"HTTP/1.1  200 OK", 0},
		{"HTTP/1.1 +20 OK", 0},
		{"HTTP/1.1 2000 OK", 0},
		{"HTTP/1.1 20 OK", 0},
		{"HTTP/1.1 2 0 OK", 0},
		{"HTTP/1.1", 0},
		{"HTTP/1.", 0},
		{"HTTP/2.0 200 OK", 0},
		{"http/1.1 200 OK", 0},
		{"", 0},
	} {
		t.Run(row.line, func(t *testing.T) {
			status, err := ParseStatus([]byte(row.line + "\r\nX: y\r\n\r\n"))
			qt.Check(t, status, qt.Equals, row.status)
			if row.status == 0 {
				qt.Check(t, err, qt.ErrorIs, ErrStatus)
			} else {
				qt.Check(t, err, qt.IsNil)
			}
			br := bufio.NewReader(strings.NewReader(row.line + "\r\nX: y\r\n\r\n"))
			head, err := PeekHead(br, br.Size())
			qt.Assert(t, err, qt.IsNil)
			r, err := ParseResponse(head)
			qt.Check(t, r.Status(), qt.Equals, row.status)
			qt.Check(t, err == nil, qt.Equals, row.status > 0)
		})
	}
}
