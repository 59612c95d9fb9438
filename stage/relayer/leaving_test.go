package relayer

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/governor"
)

// answerOK counts the requests and answers them, with the headers set to 1.
func answerOK(n *atomic.Int64, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		w.Header().Set(testAttempt, r.Header.Get(testAttempt))
		w.Header().Set(testSeal, "seal")
		for _, h := range headers {
			w.Header().Set(h, "1")
		}
		_, _ = io.WriteString(w, "x")
	}
}

// askOnce sends one request on a connection of its own and returns the status.
func askOnce(c *qt.C, e *Relayer, path string) int {
	l := dial(c, e)
	defer l.Close()
	l.send(c, "POST", path, "x", testDeadline+": 900")
	return l.receive(c).status
}

// A server that said in an answer that it leaves got further requests until its heartbeat said so too, and again when a
// late heartbeat called it ready.
func TestServerThatAnswersItLeavesGetsNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	var leaving, other atomic.Int64
	e := startEntry(c, answerOK(&leaving, testLeaving), answerOK(&other))
	ask := func() int { return askOnce(c, e, "/once/") }
	for leaving.Load() == 0 {
		c.Assert(ask(), qt.Equals, http.StatusOK)
	}
	late := e.balancer.Servers()
	for i := range late {
		late[i].Leaving = false
		late[i].Sequence++
	}
	e.control.applyMessage(governor.DownMessage{Engines: late})
	for range 20 {
		c.Check(ask(), qt.Equals, http.StatusOK)
	}
	c.Check(leaving.Load(), qt.Equals, int64(1))
}

// A server that turned a request away with a time got further requests at once.
func TestServerIsLeftAloneUntilItsRetryAfter(t *testing.T) {
	c := qt.New(t)
	var turnedAway, other atomic.Int64
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		turnedAway.Add(1)
		w.Header().Set(testAttempt, r.Header.Get(testAttempt))
		w.Header().Set(testNotRun, "1")
		w.Header().Set("Retry-After", "1.2")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, answerOK(&other))
	ask := func() int { return askOnce(c, e, "/safe/") }
	for turnedAway.Load() == 0 {
		c.Assert(ask(), qt.Equals, http.StatusOK)
	}
	end := time.Now().Add(time.Second)
	for time.Now().Before(end) {
		c.Check(ask(), qt.Equals, http.StatusOK)
	}
	c.Check(turnedAway.Load(), qt.Equals, int64(1))
	for end := time.Now().Add(3 * time.Second); turnedAway.Load() == 1 && time.Now().Before(end); {
		ask()
	}
	c.Check(turnedAway.Load() > 1, qt.IsTrue, qt.Commentf("the server is asked again after its time"))
}
