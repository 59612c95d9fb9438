package parser

import (
	"bytes"

	"github.com/go-faster/errors"
)

// statusEnd is the length in bytes of a status line up to its status, as in "HTTP/1.1 200".
const statusEnd = 12

// ErrStatus is the error for a first line that isn't a status line with three digits from 100 to 599. Like the errors of heads, it
// holds no byte of the line.
var ErrStatus = errors.New("the first line has no status from 100 to 599")

// ParseStatus returns the status of a response that begins with head; the error is ErrStatus.
//
// net/http and fasthttp take any three digits, and fasthttp reports 000 as 200.
func ParseStatus(head []byte) (int, error) {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(line) < statusEnd || !isDigit(rest[0]) || rest[1] != ' ' || len(line) > statusEnd && line[statusEnd] != ' ' {
		return 0, ErrStatus
	}
	status := 0
	for _, c := range line[statusEnd-3 : statusEnd] {
		if !isDigit(c) {
			return 0, ErrStatus
		}
		status = 10*status + int(c-'0')
	}
	if status < 100 || status > 599 {
		return 0, ErrStatus
	}
	return status, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
