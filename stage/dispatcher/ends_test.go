package dispatcher

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
)

// Half of an answer without a length must not reach a caller as the whole one when its service is killed, nor be recorded for a booking;
// a service that lives and ends its answer so is served.
func TestAnswerWithoutLengthFromKilledService(t *testing.T) {
	ctl := newFakeControl(t)
	orders, spare := startBackend(t, "o1", configurer.KindPlain), startBackend(t, "o2", configurer.KindPlain)
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	ctl.assign(orders.server(), "near", near.Peers())
	ctl.assign(spare.server(), "near", near.Peers())
	waitServed(t, far, "/services/orders/stock/1")
	var kills atomic.Int64
	answer := func(c *call) bool {
		c.run()
		whole := c.head(http.StatusOK, c.attempt, "") + c.booked()
		if kills.Add(-1) < 0 {
			return c.raw(whole)
		}
		c.raw(whole[:len(whole)-1])
		c.restart()
		ctl.assign(c.server(), "near", near.Peers())
		return true
	}
	for _, b := range []*backend{orders, spare} {
		b.fault, b.stockFault = func(_ int, c *call) bool { return answer(c) }, answer
	}
	for name, d := range map[string]*Dispatcher{"near": near, "far": far} {
		// Another content for each: what was in flight at two crashes is refused.
		kills.Store(1)
		first := post(t, d, "/services/orders/bookings", name)
		qt.Check(t, first.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", first.body))
		qt.Check(t, first.outcome, qt.Equals, "unknown")
		again := post(t, d, "/services/orders/bookings", name, marker.IdempotencyKey, first.header.Get(marker.IdempotencyKey))
		qt.Check(t, again.outcome, qt.Equals, "unknown", qt.Commentf("%s", again.body))
		live := post(t, d, "/services/orders/bookings", "another "+name)
		qt.Check(t, live.status, qt.Equals, http.StatusOK, qt.Commentf("%s", live.body))
		qt.Check(t, live.outcome, qt.Equals, "done")

		kills.Store(1)
		resp, err := http.Get("http://" + d.Callers() + "/services/orders/stock/" + name)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		qt.Check(t, string(body[len(body)-1:]), qt.Equals, "}")
		qt.Check(t, kills.Load(), qt.Equals, int64(-1))
	}
}
