package relayer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/parser"
)

// maxTrailerBytes bounds the trailer after a request's last chunk.
const maxTrailerBytes = 8 << 10

// badRequestError is an invalid request, with the HTTP status and reason to respond with.
type badRequestError struct {
	status int
	reason string
}

// Error implements error.
func (e *badRequestError) Error() string { return e.reason }

func badRequestf(format string, args ...any) error {
	return &badRequestError{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

// field is one header line.
type field struct{ name, value string }

// request is a caller's request, read in full.
type request struct {
	method string
	uri    string
	path   string
	host   string
	fields []field
	length int
	// chunked is set if the body has the chunked transfer coding.
	chunked bool
	// expectsContinue is set if the caller sends its body only after "100 Continue".
	expectsContinue bool
	// closeConn is set if the caller wants the connection closed after the response.
	closeConn bool
	body      []byte
	// decision is what was decided on the head; isBodyUnread is set if the request is refused and its body is left unread.
	decision     headDecision
	isBodyUnread bool
	// memory counts what the request holds, from its body on.
	memory *collector.Buffer
}

// get returns the first value of the header with the given canonical name.
func (r *request) get(name string) string {
	for _, f := range r.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// readHead reads a request's head of at most limit bytes; br's buffer must be at least as large.
func readHead(br *bufio.Reader, limit int) (*request, error) {
	raw, err := parser.PeekHead(br, limit)
	if errors.Is(err, parser.ErrTooLarge) {
		return nil, &badRequestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	fields, err := parseFields(raw)
	if err != nil {
		return nil, err
	}
	var h fasthttp.RequestHeader
	if err := h.Read(br); err != nil {
		return nil, badRequestf("the head can't be read: %v", err)
	}
	r := &request{
		method: string(h.Method()), uri: string(h.RequestURI()), host: strings.ToLower(string(h.Host())), fields: fields,
		closeConn: h.ConnectionClose(),
	}
	if !strings.HasPrefix(r.uri, "/") {
		return nil, badRequestf("the target %q is not a path", r.uri)
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	if host, _, ok := strings.Cut(r.host, ":"); ok {
		r.host = host
	}
	return r, r.parseFraming()
}

// parseFields checks the request line and each header line strictly, against request smuggling.
func parseFields(raw []byte) ([]field, error) {
	line, lines, _ := strings.Cut(string(raw), "\r\n")
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" || !parser.IsToken(parts[0]) {
		return nil, badRequestf("the request line %q is malformed", line)
	}
	if strings.ContainsAny(line, "\r\n\x00\t") {
		return nil, badRequestf("the request line has a control character")
	}
	parsed, err := parser.ParseFields(lines)
	if err != nil {
		return nil, badRequestf("the head is malformed: %v", err)
	}
	fields := make([]field, 0, len(parsed))
	hosts := 0
	for _, p := range parsed {
		f := field{http.CanonicalHeaderKey(p.Name), p.Value}
		if f.name == "Host" {
			hosts++
		}
		fields = append(fields, f)
	}
	if hosts != 1 {
		return nil, badRequestf("the request has %d host headers", hosts)
	}
	return fields, nil
}

// parseFraming finds the body's length or transfer coding; ambiguous framing is an error.
func (r *request) parseFraming() error {
	lengths, codings := 0, 0
	for _, f := range r.fields {
		switch f.name {
		case "Content-Length":
			lengths++
			n, err := strconv.ParseUint(f.value, 10, 31)
			if err != nil || strings.HasPrefix(f.value, "+") {
				return badRequestf("content length %q is not a number", f.value)
			}
			r.length = int(n)
		case "Transfer-Encoding":
			codings++
			if !strings.EqualFold(f.value, "chunked") {
				return badRequestf("transfer encoding %q is not supported", f.value)
			}
			r.chunked = true
		case "Expect":
			r.expectsContinue = strings.EqualFold(f.value, "100-continue")
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return badRequestf("the length of the body is ambiguous")
	}
	return nil
}

// readBody reads a body of at most limit bytes into r.memory.
func (r *request) readBody(br *bufio.Reader, limit int) error {
	if !r.chunked {
		body, err := r.memory.ReadAll(br, r.length, limit)
		if err == nil && len(body) < r.length {
			err = io.ErrUnexpectedEOF
		}
		r.body = body
		return bodyError(err)
	}
	body, err := r.memory.ReadAll(httputil.NewChunkedReader(br), -1, limit)
	switch {
	case err == nil:
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, collector.ErrNoRoom), errors.Is(err, collector.ErrTooLarge), isTimeout(err):
		return bodyError(err)
	default:
		return badRequestf("the chunks can't be read: %v", err)
	}
	r.body = body
	return discardTrailer(br)
}

// discardTrailer discards the trailer after a request's last chunk.
func discardTrailer(br *bufio.Reader) error {
	for n := 0; n <= maxTrailerBytes; {
		line, err := br.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		n += len(line)
	}
	return errors.Errorf("more than %d bytes follow the last chunk", maxTrailerBytes)
}

// bodyError returns the error for a body that can't be read.
func bodyError(err error) error {
	if errors.Is(err, collector.ErrTooLarge) {
		return &badRequestError{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	}
	return err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// upstreamHead returns the request line and the header lines to forward to a backend server, with the name of the request's
// client account if it has one; serialize adds the system's other headers.
func (r *request) upstreamHead(n *headerNames) []byte {
	connectionHeaders := make(map[string]bool)
	for _, f := range r.fields {
		if f.name != "Connection" {
			continue
		}
		for _, name := range strings.Split(f.value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			connectionHeaders[name] = !n.kept[name]
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", r.method, r.uri)
	for _, f := range r.fields {
		if hopByHop[f.name] || connectionHeaders[f.name] || n.dropped[f.name] || n.isHidden(&r.decision, f.name) {
			continue
		}
		b.WriteString(f.name)
		b.WriteString(": ")
		b.WriteString(f.value)
		b.WriteString("\r\n")
	}
	if name := r.decision.accountName(); name != "" && n.Account != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", n.Account, name)
	}
	if len(r.body) > 0 || r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.Bytes()
}
