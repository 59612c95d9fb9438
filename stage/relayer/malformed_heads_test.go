package relayer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/standin/malformer"
)

// receiveRaw returns what the entry writes until it closes the connection, which the request must ask for.
func (l *caller) receiveRaw(c *qt.C) string {
	raw, err := io.ReadAll(l.br)
	c.Assert(err, qt.IsNil)
	return string(raw)
}

// checkNoAnswer checks the raw bytes that a caller got: the entry's own 502, with nothing of the server's head or body.
func checkNoAnswer(c *qt.C, raw string) {
	comment := qt.Commentf("%.400q", raw)
	c.Check(strings.HasPrefix(raw, "HTTP/1.1 502 "), qt.IsTrue, comment)
	c.Check(raw, qt.Contains, "may have run", comment)
	for _, theirs := range []string{"ecret", "X Sec", testSeal, "seal", "payload", "Transfer Encoding", "Content Length", "HTTP/1.1 2"} {
		c.Check(strings.Contains(raw, theirs), qt.IsFalse, comment)
	}
}

// malformedAnswers returns answers with the line before and after the server's own fields, for all framings and some statuses.
func malformedAnswers(line string) []string {
	const body = "id: 7\ndata: payload\n\n"
	var answers []string
	for _, status := range []int{200, 404, 503} {
		for _, framing := range []struct{ line, body string }{
			{fmt.Sprintf("Content-Length: %d", len(body)), body},
			{"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
			{"X-Sound: 1", body},
		} {
			own := fmt.Sprintf("%s: id-1\r\n%s: seal\r\n%s\r\n", testAttempt, testSeal, framing.line)
			for _, head := range []string{line + "\r\n" + own, own + line + "\r\n"} {
				answers = append(answers, fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n%s", status, head, framing.body))
			}
		}
	}
	return answers
}

// startAnswering runs an entry in front of a server that outlives its answers, which are those that answer holds.
func startAnswering(c *qt.C, answer *atomic.Value) (e *Relayer, seen *atomic.Int32) {
	return startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
		if r.URL.Path == testHealthPath {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, _ = fmt.Fprint(w, answer.Load())
		return false
	})
}

// An engine in trouble sent an answer in whose head the name of a field held a blank or a control byte. Callers got it as an
// answer, with that line or with a part of its body, or an error that quoted it.
func TestAnswerWithMalformedFieldIsNone(t *testing.T) {
	t.Parallel()
	for name, line := range malformer.Lines(testSeal, testNotRun) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var answer atomic.Value
			e, seen := startAnswering(c, &answer)
			sent := int32(0)
			for _, text := range malformedAnswers(line) {
				for _, path := range []string{"/once/", "/stream/"} {
					answer.Store(text)
					l := dial(c, e)
					l.send(c, "POST", path, "x", testDeadline+": 9000", "Connection: close")
					checkNoAnswer(c, l.receiveRaw(c))
					sent++
				}
			}
			c.Check(seen.Load(), qt.Equals, sent)
		})
	}
}

// The same for each byte that a name or a value may not hold.
func TestAnswerWithInvalidByteInFieldIsNone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var answer atomic.Value
	e, seen := startAnswering(c, &answer)
	lines := malformer.Bytes()
	for i, line := range lines {
		answers := malformedAnswers(line)
		answer.Store(answers[i%len(answers)])
		l := dial(c, e)
		l.send(c, "POST", []string{"/once/", "/stream/"}[i/len(answers)%2], "x", testDeadline+": 9000", "Connection: close")
		checkNoAnswer(c, l.receiveRaw(c))
	}
	c.Check(seen.Load(), qt.Equals, int32(len(lines)))
}

// A line break within the status line is read by some libraries as the end of that line.
func TestAnswerWithMalformedStatusLineIsNone(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 OK\nX-Secret: v", "HTTP/1.1 200 OK\nContent-Length: 3", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 \x7f",
	} {
		t.Run(line, func(t *testing.T) {
			c := qt.New(t)
			e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				_, _ = io.WriteString(w, strings.Replace(responseHead(r, 200), "HTTP/1.1 200 X", line, 1)+"payload")
				return false
			})
			l := dial(c, e)
			l.send(c, "POST", "/once/", "x", testDeadline+": 9000", "Connection: close")
			checkNoAnswer(c, l.receiveRaw(c))
		})
	}
}

// The error for an answer that was refused quoted its head, and with some of them what followed it: the seal, the body, or what
// another request's answer held.
func TestRefusedHeadIsNotQuoted(t *testing.T) {
	for _, row := range []struct{ name, status, line string }{
		{"status", "HTTP/1.1 secret", "X-Sound: v"},
		{"status with a tab", "HTTP/1.1 200\tsecret", "X-Sound: v"},
		{"length", "HTTP/1.1 200 X", "Content-Length: secret"},
		{"length that no library takes", "HTTP/1.1 200 X", "Content-Length: 9223372036854775807"},
		{"coding", "HTTP/1.1 200 X", "Transfer-Encoding: secret"},
		{"trailer that no library takes", "HTTP/1.1 200 X", "Trailer: Content-Length"},
		{"encoding", "HTTP/1.1 200 X", "Content-Encoding: secret"},
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(row.name+path, func(t *testing.T) {
				c := qt.New(t)
				e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
					head := strings.Replace(responseHead(r, 200, row.line, "X-Note: secret"), "HTTP/1.1 200 X", row.status, 1)
					_, _ = io.WriteString(w, head+"payload")
					return false
				})
				l := dial(c, e)
				l.send(c, "POST", path, "x", testDeadline+": 9000", "Connection: close")
				checkNoAnswer(c, l.receiveRaw(c))
			})
		}
	}
}

// An interim answer or one to another request, of which a caller gets nothing, is held to the same rules: what follows it can't be told.
func TestSkippedAnswerWithMalformedFieldIsNone(t *testing.T) {
	for name, before := range map[string]string{
		"interim":            "HTTP/1.1 103 Hints\r\nX Secret: v\r\n\r\n",
		"to another request": "HTTP/1.1 200 X\r\n" + testAttempt + ": id-0\r\nContent-Length : 0\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				_, _ = io.WriteString(w, before+responseHead(r, 200, "Content-Length: 7")+"payload")
				return true
			})
			l := dial(c, e)
			l.send(c, "POST", "/once/", "x", testDeadline+": 9000", "Connection: close")
			checkNoAnswer(c, l.receiveRaw(c))
		})
	}
}

// A refusal in a malformed head proves nothing: the request isn't sent again, and its caller isn't told that it didn't run.
func TestRefusalWithMalformedFieldProvesNothing(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				c := qt.New(t)
				e, seen := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
					_, _ = io.WriteString(w, responseHead(r, status, testNotRun+": 1", "Retry-After: 30", "X Secret: v", "Content-Length: 0"))
					return true
				})
				for range 2 {
					l := dial(c, e)
					l.send(c, "POST", path, "x", testDeadline+": 9000", "Connection: close")
					checkNoAnswer(c, l.receiveRaw(c))
				}
				c.Check(seen.Load(), qt.Equals, int32(2), qt.Commentf("its Retry-After is none either"))
			})
		}
	}
}

// The connection of such an answer isn't used again, and a request that may be repeated is sent to another server.
func TestMalformedHeadEndsItsConnection(t *testing.T) {
	c := qt.New(t)
	conns, requests := new(atomic.Int32), new(atomic.Int32)
	e, _ := startScripted(c, func(w io.Writer, n int, r *http.Request) bool {
		if n == 0 {
			conns.Add(1)
		}
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(w, responseHead(r, 200, "X-Secret : v", "Content-Length: 7")+"payload")
			return true
		}
		_, _ = io.WriteString(w, responseHead(r, 200, "Content-Length: 2")+"ok")
		return true
	})
	other := e.balancer.Servers()[0]
	other.Key.ID = "s1"
	e.control.applyMessage(governor.DownMessage{Engines: []tracker.Instance{other}})
	l := dial(c, e)
	l.send(c, "GET", "/safe/", "", testDeadline+": 9000")
	resp := l.receive(c)
	c.Check(resp.status, qt.Equals, 200)
	c.Check(resp.body, qt.Equals, "ok")
	c.Check(conns.Load(), qt.Equals, int32(2))
}

// A stream that has begun isn't continued by an answer with a malformed head: it is resumed at another server or cut.
func TestMalformedHeadEndsOrResumesStream(t *testing.T) {
	for _, row := range []struct {
		path   string
		sends  int32
		body   string
		failed bool
	}{
		{"/resumable/", 2, "id: 1\n\n", true},
		{"/thrice/", 3, "id: 1\n\nid: 2\n\n", false},
		{"/stream/", 1, "id: 1\n\n", true},
	} {
		t.Run(row.path, func(t *testing.T) {
			c := qt.New(t)
			n := new(atomic.Int32)
			e, seen := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				switch n.Add(1) {
				case 1:
					_, _ = io.WriteString(w, responseHead(r, 200, "Content-Length: 99")+"id: 1\n\n")
				case 2:
					_, _ = io.WriteString(w, responseHead(r, 200, "X Secret: v", "Content-Length: 16")+"id: 2\npayload\n\n")
				default:
					_, _ = io.WriteString(w, responseHead(r, 200, "Content-Length: 7")+"id: 2\n\n")
				}
				return false
			})
			for _, id := range []string{"s1", "s2"} {
				other := e.balancer.Servers()[0]
				other.Key.ID = id
				e.control.applyMessage(governor.DownMessage{Engines: []tracker.Instance{other}})
			}
			l := dial(c, e)
			l.send(c, "POST", row.path, "x", testDeadline+": 3000")
			resp := l.receive(c)
			c.Check(resp.body, qt.Equals, row.body)
			c.Check(resp.err != nil, qt.Equals, row.failed)
			c.Check(seen.Load(), qt.Equals, row.sends)
		})
	}
}

// An answer to a probe confirms nothing if its head is malformed.
func TestProbeWithMalformedFieldConfirmsNothing(t *testing.T) {
	for _, line := range []string{"X Secret: v", "X-Secret : v", "X-Sec\x01ret: v", "X-Secret: a\r\n b", "X-Secret: a\nX-Other: b"} {
		t.Run(line, func(t *testing.T) {
			c := qt.New(t)
			e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				if r.URL.Path == testHealthPath {
					_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")
					return true
				}
				_, _ = io.WriteString(w, responseHead(r, 200)+"payload")
				return false
			})
			l := dial(c, e)
			l.send(c, "POST", "/once/", "x", testDeadline+": 900", "Connection: close")
			checkNoAnswer(c, l.receiveRaw(c))
		})
	}
}

// Answers with malformed heads count against their server as other malformed answers do.
func TestMalformedHeadCountsAgainstServer(t *testing.T) {
	for _, line := range []string{"X-Sound: v", "X Secret: v", "X-Sec\x01ret: v"} {
		c := qt.New(t)
		e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
			_, _ = io.WriteString(w, responseHead(r, 200, line, "Content-Length: 7")+"payload")
			return true
		})
		l := dial(c, e)
		l.send(c, "POST", "/once/", "x", testDeadline+": 900", "Connection: close")
		l.receiveRaw(c)
		counted := strings.Contains(metricsText(e), `redwingstage_entry_attempts_total{result="failed"} 1`)
		c.Check(counted, qt.Equals, line != "X-Sound: v")
	}
}

// A trailer is held to the rules of a head: an answer with a malformed one isn't complete.
func TestAnswerWithMalformedTrailerIsIncomplete(t *testing.T) {
	const body = "id: 7\ndata: payload\n\n"
	for name, line := range malformer.Lines(testSeal, testNotRun) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var trailer atomic.Value
			e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
				head := responseHead(r, 200, "Transfer-Encoding: chunked")
				_, _ = fmt.Fprintf(w, "%s%x\r\n%s\r\n0\r\n%s\r\n", head, len(body), body, trailer.Load())
				return true
			})
			for _, sound := range []string{"", "X-Sound: 1\r\n"} {
				trailer.Store(sound + line + "\r\n")
				l := dial(c, e)
				l.send(c, "POST", "/once/", "x", testDeadline+": 9000", "Connection: close")
				checkNoAnswer(c, l.receiveRaw(c))
				l = dial(c, e)
				l.send(c, "POST", "/stream/", "x", testDeadline+": 9000", "Connection: close")
				resp := l.receive(c)
				c.Check(resp.body, qt.Equals, body)
				c.Check(resp.err, qt.Equals, io.ErrUnexpectedEOF)

				trailer.Store(sound)
				l = dial(c, e)
				l.send(c, "POST", "/once/", "x", testDeadline+": 9000", "Connection: close")
				c.Check(l.receive(c).body, qt.Equals, body)
			}
		})
	}
}

// Chunks in an answer that isn't HTTP/1.1 were passed on as its body, sizes included: the library doesn't read them there.
func TestChunksOutsideHTTP11AreNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/1.9"} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(version+path, func(t *testing.T) {
				c := qt.New(t)
				var answer atomic.Value
				e, _ := startAnswering(c, &answer)
				answer.Store(fmt.Sprintf("%s 200 X\r\n%s: id-1\r\n%s: seal\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nid: 7\ndata: payload\n\n\r\n0\r\n\r\n", version, testAttempt, testSeal))
				l := dial(c, e)
				l.send(c, "POST", path, "x", testDeadline+": 9000", "Connection: close")
				checkNoAnswer(c, l.receiveRaw(c))
			})
		}
	}
}

// The library keeps the last line of a repeated Content-Encoding: an encoded body was passed on as a plain one.
func TestAnswerWithRepeatedEncodingIsNone(t *testing.T) {
	for _, lines := range []string{
		"Content-Encoding: gzip\r\nContent-Encoding: identity", "Content-Encoding: identity\r\ncontent-encoding: gzip",
		"Content-Encoding: gzip\r\nContent-Encoding:", "Content-Encoding: identity, gzip",
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(lines+path, func(t *testing.T) {
				c := qt.New(t)
				e, _ := startScripted(c, func(w io.Writer, _ int, r *http.Request) bool {
					_, _ = io.WriteString(w, responseHead(r, 200, lines, "Content-Length: 21")+"id: 7\ndata: payload\n\n")
					return true
				})
				l := dial(c, e)
				l.send(c, "POST", path, "x", testDeadline+": 9000", "Connection: close")
				checkNoAnswer(c, l.receiveRaw(c))
			})
		}
	}
}
