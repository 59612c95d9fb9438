package dispatcher

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
)

// bookingsPerConn is the number of bookings that one connection carries.
const bookingsPerConn = 20

// keepAliveCaller sends bookings one after another on one keep-alive connection.
type keepAliveCaller struct {
	*qt.C
	conn net.Conn
	br   *bufio.Reader
}

func newKeepAliveCaller(c *qt.C, addr string) *keepAliveCaller {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return &keepAliveCaller{C: c, conn: conn, br: bufio.NewReader(conn)}
}

// book sends a booking and returns the outcome and the key in the answer's headers.
func (caller *keepAliveCaller) book(key string) (outcome, answeredKey string) {
	_, err := fmt.Fprintf(caller.conn, "POST /services/orders/bookings HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		marker.IdempotencyKey, key, len(key), key)
	caller.Assert(err, qt.IsNil)
	res, err := http.ReadResponse(caller.br, nil)
	caller.Assert(err, qt.IsNil)
	caller.Assert(res.Body.Close(), qt.IsNil)
	return res.Header.Get(marker.Outcome), res.Header.Get(marker.IdempotencyKey)
}

// bookTwice sends bookings on one connection and again on another, and returns the violations.
func bookTwice(t *testing.T, shareMemory bool) []string {
	c := qt.New(t)
	ctl := newFakeControl(t)
	near := ctl.startEntry(t, "near")
	orders := startBackend(t, "o1", configurer.KindPlain)
	ctl.assign(orders.server(), "near", near.Peers())
	waitServed(t, near, "/services/orders/stock/x")
	if shareMemory {
		setFlag(near.receiver, "keepBuffers")
	}
	var violations []string
	for range 2 {
		caller := newKeepAliveCaller(c, near.Callers())
		for n := range bookingsPerConn {
			key := fmt.Sprintf("key-%02d", n)
			if outcome, answeredKey := caller.book(key); outcome != "done" || answeredKey != key {
				violations = append(violations, fmt.Sprintf("%s is %s under %s", key, outcome, answeredKey))
			}
		}
	}
	runs := make(map[string]int)
	orders.mu.Lock()
	defer orders.mu.Unlock()
	for _, e := range orders.ledger {
		if e.key == "" {
			continue
		}
		runs[e.key]++
		if e.body != e.key {
			violations = append(violations, fmt.Sprintf("%s ran with the body of %s", e.key, e.body))
		}
	}
	for n := range bookingsPerConn {
		if key := fmt.Sprintf("key-%02d", n); runs[key] != 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", key, runs[key]))
		}
	}
	return violations
}

// TestRequestMemoryIsCopied checks that the record copies keys and bodies: the HTTP library reuses a connection's memory
// for each of its requests.
func TestRequestMemoryIsCopied(t *testing.T) {
	qt.Assert(t, bookTwice(t, false), qt.HasLen, 0)
}

// TestCheckerNoticesSharedMemory disables the copying; the check must find violations.
func TestCheckerNoticesSharedMemory(t *testing.T) {
	violations := bookTwice(t, true)
	t.Logf("copying disabled: %q", violations)
	qt.Assert(t, violations, qt.Any(qt.Matches), "key-.. ran [02] times|key-.. is (unknown|not-run)? under .*")
}
