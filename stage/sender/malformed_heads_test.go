package sender

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
	"redwingstage.org/standin/malformer"
)

// checkUnknown checks that nothing of an answer is taken, and that no byte of it is in the message for the caller.
func checkUnknown(t *testing.T, r Reply) {
	t.Helper()
	qt.Check(t, r.End.Outcome, qt.Equals, retrier.Unknown, qt.Commentf("status %d, body %q", r.Status, r.Body))
	qt.Check(t, r.Finished, qt.IsFalse)
	qt.Check(t, r.Events, qt.Equals, 0)
	checkNotQuoted(t, r.End.Message)
}

// checkNotQuoted checks that the text of an error has no byte of an answer that was refused.
func checkNotQuoted(t *testing.T, text string) {
	t.Helper()
	for _, theirs := range []string{"ecret", "X Sec", marker.Attempt, "payload", "Transfer Encoding", "Content Length", "HTTP/1.1 2"} {
		qt.Check(t, strings.Contains(text, theirs), qt.IsFalse, qt.Commentf("%q", text))
	}
}

// checkNoAnswer checks that calls, streams and control calls take nothing of what a server answers.
func checkNoAnswer(t *testing.T, answers ...string) {
	t.Helper()
	var answer atomic.Value
	s := startServer(t, func(_ int64, c net.Conn, _ *fasthttp.Request) bool {
		_, _ = fmt.Fprint(c, answer.Load())
		return false
	})
	snd := New(WithReadTimeouts(time.Second, time.Second))
	defer snd.Close()
	for _, text := range answers {
		answer.Store(text)
		for _, isStream := range []bool{false, true} {
			call := Call{Attempt: "a", Addr: s.addr(), Method: "POST", URI: "/x", Stream: isStream}
			checkUnknown(t, snd.Call(context.Background(), call, streamer.New(1<<10)))
		}
		_, err := snd.Poll(context.Background(), s.addr(), "a")
		qt.Assert(t, err, qt.IsNotNil)
		checkNotQuoted(t, err.Error())
		_, err = snd.Load(context.Background(), AdapterOrder{Attempt: "a", Addr: s.addr(), Name: "n@1", Path: "/p", Fence: 1})
		qt.Assert(t, err, qt.IsNotNil)
		checkNotQuoted(t, err.Error())
		_, err = snd.Cancel(context.Background(), s.addr(), "b", "a")
		qt.Assert(t, err, qt.IsNotNil)
		checkNotQuoted(t, err.Error())
	}
}

// malformedAnswers returns answers with the line before and after the server's own fields, in all framings.
func malformedAnswers(line string) []string {
	const body = "id: a\ndata: [DONE]\n\n"
	own := fmt.Sprintf("%s: a\r\n%s: i\r\n", marker.Attempt, marker.Incarnation)
	var answers []string
	for _, framing := range []struct{ line, body string }{
		{fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		{"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		{"", body},
	} {
		for _, head := range []string{line + "\r\n" + own, own + line + "\r\n"} {
			answers = append(answers, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s\r\n%s", head, framing.line, framing.body))
		}
	}
	return answers
}

// A server in trouble sent an answer in whose head the name of a field held a blank or a control byte. It was taken for an answer, with
// a part of its body, and a control call took it for a confirmation.
func TestAnswerWithMalformedFieldIsUnknown(t *testing.T) {
	for name, line := range malformer.Lines(marker.Incarnation) {
		t.Run(name, func(t *testing.T) { checkNoAnswer(t, malformedAnswers(line)...) })
	}
	for i, line := range malformer.Bytes() {
		answers := malformedAnswers(line)
		checkNoAnswer(t, answers[i%len(answers)])
	}
}

// An interim answer is held to the same rules, and so is the status line.
func TestMalformedInterimAnswerIsUnknown(t *testing.T) {
	rest := marker.Attempt + ": a\r\nContent-Length: 7\r\n\r\npayload"
	for _, before := range []string{
		"HTTP/1.1 103 Hints\r\nX Secret: v\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Hints\r\nX-Secret : v\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 103 Hints\nX-Secret: v\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\nX-Secret: v\r\n", "HTTP/1.1 200 O\rK\r\n",
		"HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 secret\r\n",
	} {
		checkNoAnswer(t, before+rest)
	}
}

// A trailer is held to the rules of a head.
func TestAnswerWithMalformedTrailerIsUnknown(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", marker.Attempt)
	for name, line := range malformer.Lines(marker.Incarnation) {
		t.Run(name, func(t *testing.T) { checkNoAnswer(t, head+line+"\r\n\r\n", head+"X-Sound: 1\r\n"+line+"\r\n\r\n") })
	}
}

// The error for a head that the library refuses quoted it.
func TestRefusedHeadIsNotQuoted(t *testing.T) {
	for _, lines := range []string{
		marker.Attempt + ": a\r\nTrailer: Content-Length\r\nX-Note: secret\r\n",
		marker.Attempt + ": a\r\nContent-Length: secret\r\n",
		marker.Attempt + ": a\r\nTransfer-Encoding: secret\r\n",
		marker.Attempt + ": secret\r\n",
	} {
		checkNoAnswer(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\npayload")
	}
}

// An answer whose length two readers could take differently was read by one of them.
func TestAnswerWithAmbiguousLengthIsUnknown(t *testing.T) {
	for _, row := range []struct{ name, version, lines, body string }{
		{"two lengths", "HTTP/1.1", "Content-Length: 2\r\nContent-Length: 2\r\n", "{}"},
		{"a list of lengths", "HTTP/1.1", "Content-Length: 2, 2\r\n", "{}"},
		{"a length with a sign", "HTTP/1.1", "Content-Length: +2\r\n", "{}"},
		{"a length and chunks", "HTTP/1.1", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"},
		{"two codings", "HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"},
		{"another coding", "HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			checkNoAnswer(t, fmt.Sprintf("%s 200 OK\r\n%s: a\r\n%s\r\n%s", row.version, marker.Attempt, row.lines, row.body))
		})
	}
}
