package operator

import (
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingstage.org/standin/malformer"
)

// An answer whose head is malformed, such as that of another process at a replica's address, was taken for a change that is in force, and
// for what an entry tells.
func TestAnswerWithMalformedHeadIsNone(t *testing.T) {
	c := quicktest.New(t)
	srv, err := malformer.NewServer()
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(srv.Close)
	answers := []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 X\r\nX Secret: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	}
	lines := malformer.Bytes()
	for _, line := range malformer.Lines() {
		lines = append(lines, line)
	}
	for i, line := range lines {
		framing := []string{"Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "\r\n{}"}[i%3]
		answers = append(answers, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+framing)
	}
	for _, text := range answers {
		srv.SetAnswer(text)
		cl := newClient([]string{srv.Addr()}, testToken, nil, func(time.Duration) {})
		b, err := cl.send(apiCall{method: http.MethodPost, path: "/x", body: struct{}{}, changeID: "c-1"})
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%q: %q", text, b))
		cl.close()
		b, err = askEntry(srv.Addr(), explainRequest{})
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%q: %q", text, b))
	}
}
