package orderer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/faulter"
)

func newServer(c *quicktest.C) *Server {
	s, err := New(Config{Name: "orders-1", Addr: "127.0.0.1:0", Zone: "z1", Service: "orders", CallTime: time.Millisecond})
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { c.Assert(s.Close(), quicktest.IsNil) })
	return s
}

func call(c *quicktest.C, s *Server, method, path, body string, headers ...string) (int, string, http.Header, error) {
	req, err := http.NewRequest(method, "http://"+s.Addr()+path, strings.NewReader(body))
	c.Assert(err, quicktest.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header, err
}

const booking = `{"item":"sieve-2mm","quantity":3}`

func TestLedgerCountsRuns(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c)
	for range 2 {
		status, body, h, err := call(c, s, "POST", "/bookings", booking, marker.IdempotencyKey, "k1", marker.Attempt, "e1.1.1")
		c.Assert(err, quicktest.IsNil)
		c.Assert(status, quicktest.Equals, 201)
		c.Assert(body, quicktest.Contains, `"key":"k1","item":"sieve-2mm","quantity":3`)
		c.Assert(h.Get(marker.Attempt), quicktest.Equals, "e1.1.1")
	}
	_, body, _, _ := call(c, s, "GET", "/stock/sieve-2mm", "")
	c.Assert(body, quicktest.Equals, `{"item":"sieve-2mm","left":994,"server":"orders-1"}`)
	status, _, _, _ := call(c, s, "POST", "/bookings", `{"item":"x"}`, marker.IdempotencyKey, "k2")
	c.Assert(status, quicktest.Equals, 422)
	_, body, _, _ = call(c, s, "GET", "/ledger", "")
	c.Assert(body, quicktest.Equals, `{"runs":{"k1":2}}`)
	_, body, h, _ := call(c, s, "GET", "/load", "", marker.Attempt, "e1.1.2")
	c.Assert(h.Get(marker.Attempt), quicktest.Equals, "e1.1.2")
	c.Assert(body, quicktest.Contains, `"running":0,"waiting":0,"leaving":false`)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name        string
		faults      faulter.Faults
		wantErr     bool
		contains    string // expected in the body
		runs        int
		minDuration time.Duration // of the call
	}{
		{"none", faulter.Faults{}, false, `"key":"k"`, 1, time.Millisecond},
		{"crash after the run", faulter.Faults{CrashSubstring: "sieve"}, true, "", 1, 0},
		{"truncated", faulter.Faults{Answer: faulter.Truncated}, true, "", 1, 0},
		{"crossed", faulter.Faults{Answer: faulter.Misrouted}, false, `"item":"before"`, 1, 0},
		{"late", faulter.Faults{Answer: faulter.Late, LateDelay: "20ms"}, false, `"key":"k"`, 1, 21 * time.Millisecond},
		{"slow", faulter.Faults{Slowdown: 30}, false, `"key":"k"`, 1, 30 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newServer(c)
			_, _, before, err := call(c, s, "GET", "/stock/before", "")
			c.Assert(err, quicktest.IsNil)
			c.Assert(s.SetFaults(tt.faults), quicktest.IsNil)
			sent := time.Now()
			_, body, _, err := call(c, s, "POST", "/bookings", booking, marker.IdempotencyKey, "k")
			c.Assert(time.Since(sent) >= tt.minDuration, quicktest.IsTrue)
			c.Assert(err != nil, quicktest.Equals, tt.wantErr)
			c.Assert(body, quicktest.Contains, tt.contains)
			c.Assert(s.Ledger(), quicktest.DeepEquals, map[string]int{"k": tt.runs})
			_, _, after, err := call(c, s, "GET", "/health", "")
			c.Assert(err, quicktest.IsNil)
			restarted := after.Get(marker.Incarnation) != before.Get(marker.Incarnation)
			c.Assert(restarted, quicktest.Equals, tt.faults.CrashSubstring != "")
		})
	}
}

func TestDoubledAnswer(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c)
	c.Assert(s.SetFaults(faulter.Faults{Answer: faulter.Doubled, FaultyAnswers: 1}), quicktest.IsNil)
	raw := exchangeRaw(c, s, "GET /stock/a HTTP/1.1\r\nHost: x\r\n\r\nGET /stock/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	c.Assert(strings.Count(raw, `"item":"a"`), quicktest.Equals, 2)
	c.Assert(strings.Count(raw, `"item":"b"`) >= 1, quicktest.IsTrue)
}

func TestSilentConnection(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c)
	nc, err := net.Dial("tcp", s.Addr())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = nc.Close() }()
	const request = "GET /stock/a HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = nc.Write([]byte(request))
	c.Assert(err, quicktest.IsNil)
	r := bufio.NewReader(nc)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.Body.Close(), quicktest.IsNil)
	c.Assert(s.SetFaults(faulter.Faults{Silent: true}), quicktest.IsNil)
	_, err = nc.Write([]byte(request))
	c.Assert(err, quicktest.IsNil)
	status, _, _, err := call(c, s, "GET", "/stock/a", "")
	c.Assert(err, quicktest.IsNil)
	c.Assert(status, quicktest.Equals, 200) // a new connection works
	s.ln.CloseConns()
	rest, _ := io.ReadAll(r)
	c.Assert(rest, quicktest.HasLen, 0)
}

func TestLeaveIsAnnounced(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c)
	c.Assert(s.announcement().Leaving, quicktest.IsFalse)
	status, _, _, err := call(c, s, "POST", "/leave", "")
	c.Assert(err, quicktest.IsNil)
	c.Assert(status, quicktest.Equals, 200)
	c.Assert(s.announcement().Leaving, quicktest.IsTrue)
	_, body, _, _ := call(c, s, "GET", "/load", "")
	c.Assert(body, quicktest.Contains, `"leaving":true`)
}

func TestUnknownFaultIsRefused(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c)
	status, body, _, _ := call(c, s, "POST", "/faults", `{"answer":"wrong"}`)
	c.Assert(status, quicktest.Equals, 400)
	c.Assert(body, quicktest.Contains, "is none of late, crossed, truncated, doubled")
	status, _, _, _ = call(c, s, "GET", "/nothing", "")
	c.Assert(status, quicktest.Equals, 404)
}

// exchangeRaw writes raw bytes to a connection and returns all received bytes until it is closed.
func exchangeRaw(c *quicktest.C, s *Server, raw string) string {
	nc, err := net.Dial("tcp", s.Addr())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = nc.Close() }()
	_, err = nc.Write([]byte(raw))
	c.Assert(err, quicktest.IsNil)
	b, err := io.ReadAll(nc)
	c.Assert(err, quicktest.IsNil)
	return string(b)
}
