package parser

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

func TestParseFields(t *testing.T) {
	for _, row := range []struct {
		lines string
		// want are the fields as "name=value;", "" if the lines are malformed.
		want string
	}{
		{"A: b\r\n\r\n", "A=b;"},
		{"A:b\r\nA: \t c d \t\r\nX-!#$%&'*+.^_`|~9:\r\n\r\n", "A=b;A=c d;X-!#$%&'*+.^_`|~9=;"},
		{"A: \x80\xff\tb:c\r\n\r\nrest", "A=\x80\xff\tb:c;"},
		{"A : b\r\n\r\n", ""},
		{"A\t: b\r\n\r\n", ""},
		{"A B: c\r\n\r\n", ""},
		{" A: b\r\n\r\n", ""},
		{"A: b\r\n c\r\n\r\n", ""},
		{"A: b\r\n\tc: d\r\n\r\n", ""},
		{"A: b\nC: d\r\n\r\n", ""},
		{"A: b\r\n\nC: d\r\n\r\n", ""},
		{"A: b\rC: d\r\n\r\n", ""},
		{"A: b\r\r\n\r\n", ""},
		{"A\x01: b\r\n\r\n", ""},
		{"A: \x00\r\n\r\n", ""},
		{"A: \x7f\r\n\r\n", ""},
		{"\x80: b\r\n\r\n", ""},
		{"A\r\n\r\n", ""},
		{": b\r\n\r\n", ""},
		{"A: b\r\n", ""},
		{"A: b", ""},
		{"", ""},
	} {
		t.Run(row.lines, func(t *testing.T) {
			fields, err := ParseFields(row.lines)
			var got strings.Builder
			for _, f := range fields {
				fmt.Fprintf(&got, "%s=%s;", f.Name, f.Value)
			}
			qt.Check(t, got.String(), qt.Equals, row.want)
			qt.Check(t, errors.Is(err, ErrField), qt.Equals, row.want == "", qt.Commentf("%v", err))
		})
	}
}

func TestParseResponse(t *testing.T) {
	for _, row := range []struct {
		head   string
		status int
		err    error
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", 200, nil},
		{"HTTP/1.1 404 N\tF \xff\r\nA: b\r\n\r\n", 404, nil},
		{"HTTP/1.1 503\r\nA: b\r\n\r\n", 503, nil},
		{"HTTP/1.1 200 OK\nA: b\r\n\r\n", 0, ErrStatus},
		{"HTTP/1.1 200 O\rK\r\n\r\n", 0, ErrStatus},
		{"HTTP/1.1 200 O\x00K\r\n\r\n", 0, ErrStatus},
		{"\r\nHTTP/1.1 200 OK\r\n\r\n", 0, ErrStatus},
		{"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", 0, ErrField},
		{"HTTP/1.1 200 OK\r\n", 0, ErrField},
		{"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", 200, nil},
		{"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n", 200, nil},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0, ErrFraming},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", 0, ErrFraming},
		{"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n", 0, ErrFraming},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\n", 0, ErrFraming},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 0, ErrFraming},
	} {
		t.Run(row.head, func(t *testing.T) {
			got, err := ParseResponse([]byte(row.head))
			qt.Check(t, got.Status(), qt.Equals, row.status)
			qt.Check(t, errors.Is(err, row.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestGet(t *testing.T) {
	r, err := ParseResponse([]byte("HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\nc: e\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Get("c"), qt.Equals, "d, e")
	qt.Check(t, r.Get("a"), qt.Equals, "b")
	qt.Check(t, r.Get("X"), qt.Equals, "")
}

// All bytes that a name may hold, and no others.
func TestIsToken(t *testing.T) {
	const valid = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 0x100 {
		s := "a" + string([]byte{byte(b)}) + "b"
		qt.Check(t, IsToken(s), qt.Equals, strings.IndexByte(valid, byte(b)) >= 0, qt.Commentf("%q", s))
	}
	qt.Check(t, IsToken(""), qt.IsFalse)
}

// A head may arrive byte by byte, and may be as large as its limit.
func TestPeekHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for limit := range len(head) + 10 {
		br := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(head+"body")), 64)
		got, err := PeekHead(br, limit)
		if limit < len(head) {
			qt.Check(t, err, qt.ErrorIs, ErrTooLarge)
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, head)
		qt.Check(t, br.Buffered(), qt.Equals, len(head))
	}
	_, err := PeekHead(bufio.NewReaderSize(strings.NewReader(strings.Repeat("x", 99)), 64), 64)
	qt.Check(t, err, qt.ErrorIs, ErrTooLarge)
}
