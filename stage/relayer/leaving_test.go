package relayer

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/governor"
)

// A server that said in an answer that it leaves got further requests until its heartbeat said so too, and again when a
// late heartbeat called it ready.
func TestServerThatAnswersItLeavesGetsNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	var leaving, other atomic.Int64
	answer := func(n *atomic.Int64, headers ...string) http.HandlerFunc {
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
	e := startEntry(c, answer(&leaving, testLeaving), answer(&other))
	ask := func() int {
		l := dial(c, e)
		l.send(c, "POST", "/once/", "x", testDeadline+": 900")
		defer l.Close()
		return l.receive(c).status
	}
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
