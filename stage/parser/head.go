package parser

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Errors of heads. They hold no byte of the head, as callers may read them.
var (
	// ErrField is the error for a field line that is malformed.
	ErrField = errors.New("malformed field line")
	// ErrFraming is the error for a head whose body's length two readers could take differently.
	ErrFraming = errors.New("ambiguous length")
	// ErrTooLarge is the error for a head that doesn't end within its limit.
	ErrTooLarge = errors.New("the head is too large")
)

const lineEnd = "\r\n"

// Field is a field line's name, and its value without the blanks around it.
type Field struct{ Name, Value string }

// Response is the head of a response.
type Response struct {
	status int
	fields []Field
}

// Status returns the status, from 100 to 599.
func (r Response) Status() int { return r.status }

// Get returns the values of the fields with the name, joined as a list, "" if there is none.
func (r Response) Get(name string) string {
	var values []string
	for _, f := range r.fields {
		if strings.EqualFold(f.Name, name) {
			values = append(values, f.Value)
		}
	}
	return strings.Join(values, ", ")
}

// PeekHead returns the bytes of a head up to its empty line without consuming them; br's buffer must hold limit bytes. Errors are
// those of reading, or ErrTooLarge.
func PeekHead(br *bufio.Reader, limit int) ([]byte, error) {
	for n := 1; ; {
		if _, err := br.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, ErrTooLarge
			}
			return nil, err
		}
		b, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.Index(b, []byte(lineEnd+lineEnd)); i >= 0 && i+2*len(lineEnd) <= limit {
			return b[:i+2*len(lineEnd)], nil
		}
		if len(b) > limit {
			return nil, ErrTooLarge
		}
		n = len(b) + 1
	}
}

// ParseResponse parses the head of a response, up to its empty line; the error wraps ErrStatus, ErrField or ErrFraming.
func ParseResponse(head []byte) (Response, error) {
	status, err := ParseStatus(head)
	if err != nil {
		return Response{}, err
	}
	line, lines, _ := strings.Cut(string(head), lineEnd)
	if hasControl(line) {
		return Response{}, errors.Wrap(ErrStatus, "control character")
	}
	fields, err := ParseFields(lines)
	if err != nil {
		return Response{}, err
	}
	if err := checkFraming(strings.HasPrefix(line, "HTTP/1.1 "), fields); err != nil {
		return Response{}, err
	}
	return Response{status: status, fields: fields}, nil
}

// checkFraming returns an error if two readers could take the length of a body differently; isHTTP11 is set for the version with chunks.
func checkFraming(isHTTP11 bool, fields []Field) error {
	lengths, codings := 0, 0
	for _, f := range fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			lengths++
			if _, err := strconv.ParseUint(f.Value, 10, 63); err != nil || strings.HasPrefix(f.Value, "+") {
				return errors.Wrap(ErrFraming, "the content length is no number")
			}
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			codings++
			if !strings.EqualFold(f.Value, "chunked") {
				return errors.Wrap(ErrFraming, "the transfer encoding is not supported")
			}
		}
	}
	switch {
	case lengths+codings > 1:
		return errors.Wrap(ErrFraming, "more than one length or transfer encoding")
	case codings > 0 && !isHTTP11:
		return errors.Wrap(ErrFraming, "chunks in a version without them")
	}
	return nil
}

// ParseFields parses field lines up to the empty line after them; the error wraps ErrField.
//
// net/http and fasthttp also take lines without a carriage return, folded lines, and blanks within and after names.
func ParseFields(lines string) ([]Field, error) {
	fields := make([]Field, 0, strings.Count(lines, lineEnd))
	for n := 1; ; n++ {
		line, rest, ok := strings.Cut(lines, lineEnd)
		switch {
		case !ok:
			return nil, errors.Wrapf(ErrField, "line %d has no end", n)
		case line == "":
			return fields, nil
		}
		f, ok := parseField(line)
		if !ok {
			return nil, errors.Wrapf(ErrField, "line %d", n)
		}
		fields = append(fields, f)
		lines = rest
	}
}

// parseField parses a field line without its end; false means that it has no colon, that its name is no token, or that its value
// has a control character other than a tab.
func parseField(line string) (Field, bool) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !IsToken(name) || hasControl(value) {
		return Field{}, false
	}
	return Field{Name: name, Value: strings.Trim(value, " \t")}, true
}

// IsToken reports whether s is valid as a field's name or a method.
func IsToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if 'a' <= c|0x20 && c|0x20 <= 'z' || isDigit(c) {
			continue
		}
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// hasControl reports whether s has a control character other than a tab.
func hasControl(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
