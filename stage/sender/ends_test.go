package sender

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

// serverEnd is what becomes of a server's process at the end of an answer.
type serverEnd int

const (
	serverLives serverEnd = iota
	serverIsKilled
	serverIsRestarted
	serverIsSilent
	serverHasNoIncarnation
)

// startEndingServer starts a server that answers "/x" with the answer after its head, and ends its connection in order, as the kernel does
// for a process that is killed.
func startEndingServer(t *testing.T, answer string, end serverEnd) *testServer {
	release := make(chan struct{})
	var s *testServer
	s = startServer(t, func(_ int64, c net.Conn, req *fasthttp.Request) bool {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", marker.Attempt, req.Header.Peek(marker.Attempt))
		if string(req.URI().Path()) == "/load" {
			report := `{"incarnation":"i1"}`
			switch end {
			case serverIsSilent:
				<-release
				return false
			case serverIsRestarted:
				report = `{"incarnation":"i2"}`
			case serverHasNoIncarnation:
				report = `{"incarnation":""}`
			}
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(report), report)
			return false
		}
		if end == serverIsKilled {
			_ = s.ln.Close()
		}
		if end != serverHasNoIncarnation {
			head += marker.Incarnation + ": i1\r\n"
		}
		_, _ = io.WriteString(c, head+answer)
		return false
	})
	t.Cleanup(func() { close(release) })
	return s
}

func callEndingServer(t *testing.T, s *testServer, method string) Reply {
	snd := New(WithReadTimeouts(100*time.Millisecond, 100*time.Millisecond))
	defer snd.Close()
	return snd.Call(t.Context(), Call{Attempt: "a1", Addr: s.addr(), Method: method, URI: "/x"}, streamer.New(1<<20))
}

// An answer that tells its length must not be complete wherever its server's process is killed.
func TestAnswerWithLengthCutAtAnyByteIsUnknown(t *testing.T) {
	for _, answer := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"} {
		for n := range len(answer) {
			r := callEndingServer(t, startEndingServer(t, answer[:n], serverIsKilled), http.MethodGet)
			qt.Check(t, r.End.Outcome, qt.Equals, retrier.Unknown, qt.Commentf("%q: %q", answer[:n], r.Body))
		}
		r := callEndingServer(t, startEndingServer(t, answer, serverIsKilled), http.MethodGet)
		qt.Check(t, r.End.Outcome, qt.Equals, retrier.Done, qt.Commentf("%v", r.End))
		qt.Check(t, string(r.Body), qt.Equals, "whole")
	}
}

// An answer without a length must not be complete when its server's process was killed in the middle of it.
func TestAnswerWithoutLengthFromKilledServerIsUnknown(t *testing.T) {
	for name, row := range map[string]struct {
		end  serverEnd
		want retrier.Outcome
	}{
		"lives": {serverLives, retrier.Done}, "killed": {serverIsKilled, retrier.Unknown}, "restarted": {serverIsRestarted, retrier.Unknown},
		"silent": {serverIsSilent, retrier.Unknown}, "without an incarnation": {serverHasNoIncarnation, retrier.Unknown},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				r := callEndingServer(t, startEndingServer(t, "\r\nhalf", row.end), method)
				qt.Check(t, r.End.Outcome, qt.Equals, row.want, qt.Commentf("%v", r.End))
				qt.Check(t, r.Finished, qt.Equals, row.want == retrier.Done)
			})
		}
	}
}

// A stream that its server's process ended before its end marker must not be complete, whatever its framing.
func TestStreamWithoutMarkerIsUnknown(t *testing.T) {
	const events = "id: a1\ndata: {}\n\nid: a1\ndata: [DONE]\n"
	for n := range len(events) {
		for _, answer := range []string{
			"\r\n" + events[:n],
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, events[:n]),
			"Transfer-Encoding: chunked\r\n\r\n" + chunk(events[:n]) + "0\r\n\r\n",
		} {
			s := startEndingServer(t, answer, serverLives)
			snd := New()
			sink := streamer.New(1 << 10)
			r := snd.Call(t.Context(), Call{Attempt: "a1", Addr: s.addr(), Method: http.MethodPost, URI: "/x", Stream: true}, sink)
			qt.Check(t, r.End.Outcome, qt.Equals, retrier.Unknown, qt.Commentf("%q", answer))
			snd.Close()
		}
	}
}

func chunk(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}
