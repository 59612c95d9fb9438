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

// keptBookings is the number of bookings that one connection carries.
const keptBookings = 20

// keptCaller sends bookings one after another on one keep-alive connection.
type keptCaller struct {
	*qt.C
	conn net.Conn
	br   *bufio.Reader
}

func newKeptCaller(c *qt.C, addr string) *keptCaller {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return &keptCaller{C: c, conn: conn, br: bufio.NewReader(conn)}
}

// book sends a booking and returns the outcome and the key in the answer's headers.
func (k *keptCaller) book(key string) (outcome, named string) {
	_, err := fmt.Fprintf(k.conn, "POST /services/orders/bookings HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		marker.Key, key, len(key), key)
	k.Assert(err, qt.IsNil)
	res, err := http.ReadResponse(k.br, nil)
	k.Assert(err, qt.IsNil)
	k.Assert(res.Body.Close(), qt.IsNil)
	return res.Header.Get(marker.Outcome), res.Header.Get(marker.Key)
}

// bookTwice sends bookings on one connection and again on another, and returns the violations.
func bookTwice(t *testing.T, shared bool) []string {
	c := qt.New(t)
	w := newWorld(t)
	near := w.startEntry(t, "near")
	orders := startBackend(t, "o1", configurer.KindPlain)
	w.assign(orders.server(), "near", near.Peers())
	adopted(t, near, "/services/orders/stock/x")
	if shared {
		switchOff(near.receiver, "shared")
	}
	var found []string
	for range 2 {
		k := newKeptCaller(c, near.Callers())
		for n := range keptBookings {
			key := fmt.Sprintf("key-%02d", n)
			if outcome, named := k.book(key); outcome != "done" || named != key {
				found = append(found, fmt.Sprintf("%s is %s under %s", key, outcome, named))
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
			found = append(found, fmt.Sprintf("%s ran with the body of %s", e.key, e.body))
		}
	}
	for n := range keptBookings {
		if key := fmt.Sprintf("key-%02d", n); runs[key] != 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, runs[key]))
		}
	}
	return found
}

// TestRequestMemoryIsCopied checks that the record copies keys and bodies: the HTTP library reuses a connection's memory
// for each of its requests.
func TestRequestMemoryIsCopied(t *testing.T) {
	qt.Assert(t, bookTwice(t, false), qt.HasLen, 0)
}

// TestCheckerNoticesSharedMemory disables the copying; the check must find violations.
func TestCheckerNoticesSharedMemory(t *testing.T) {
	found := bookTwice(t, true)
	t.Logf("copying disabled: %q", found)
	qt.Assert(t, found, qt.Any(qt.Matches), "key-.. ran [02] times|key-.. is (unknown|not-run)? under .*")
}
