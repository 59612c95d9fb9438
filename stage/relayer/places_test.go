package relayer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

// A plain service whose servers refuse most requests: the entry refuses its share on arrival, with a time to come back, and
// asks no server.
func TestRequestBeyondAdmittedShareReachesNoServer(t *testing.T) {
	c := qt.New(t)
	var asked atomic.Int64
	e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		setSeal(w, r)
	})
	e.balancer.SetEntries(20)
	now := time.Now().Add(-3 * time.Second)
	for ; time.Until(now) < 0; now = now.Add(10 * time.Millisecond) {
		choice, status := e.balancer.Pick(now, balancer.Request{Service: "s"})
		c.Assert(status, qt.Equals, balancer.Picked)
		e.balancer.End(now, choice, tracker.Adapter{}, balancer.Rejected)
		e.balancer.Admit(now, balancer.Request{Service: "s"})
	}
	l := dial(c, e)
	refused := 0
	const requests = 40
	for range requests {
		l.send(c, http.MethodPost, "/once/1", "body")
		r := l.receive(c)
		if r.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		c.Check(err, qt.IsNil)
		c.Check(after > 0.2 && after < 5, qt.IsTrue)
		c.Check(strings.Contains(r.body, "the servers of s are full"), qt.IsTrue, qt.Commentf("%s", r.body))
	}
	c.Check(refused > requests/4, qt.IsTrue, qt.Commentf("%d refused", refused))
	c.Check(int(asked.Load()), qt.Equals, requests-refused)
	scraped := httptest.NewRecorder()
	e.metrics.handler().ServeHTTP(scraped, httptest.NewRequest(http.MethodGet, metricsPath, nil))
	line := fmt.Sprintf("redwingstage_entry_places_total{reason=\"share\",result=\"refused\",service=\"s\"} %d\n", refused)
	c.Check(strings.Contains(scraped.Body.String(), line), qt.IsTrue)
}
