package dispatcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/stage/receiver"
)

// Bad requests are refused with an error in the API's usual form, and never run.
func TestRefusals(t *testing.T) {
	ctl := newFakeControl(t)
	d := ctl.startEntry(t, "near")
	announce := func(field, value string) string {
		m := map[string]any{"name": "e", "kind": "model", "addr": "127.0.0.1:1", "zone": "z", "service": "base", "incarnation": "i", "slots": 1, "batch": 1}
		m[field] = value
		if value == "0" {
			m[field] = 0
		}
		b, _ := json.Marshal(m)
		return string(b)
	}
	const gen = "/v1/chat/completions"
	tests := []struct {
		path, body  string
		header      [2]string
		status      int
		code, param string
	}{
		{path: gen, body: "{", status: 400, code: "bad_request"},
		{path: gen, body: "[]", status: 400, code: "bad_request"},
		{path: gen, body: "null", status: 400, code: "bad_request"},
		{path: gen, body: `{"messages":[]}`, status: 400, code: "bad_request", param: "model"},
		{path: gen, body: `{"model":7}`, status: 400, code: "bad_request", param: "model"},
		{path: gen, body: `{"model":"a"}`, status: 400, code: "bad_request", param: "messages"},
		{path: gen, body: `{"model":"a","stream":"yes"}`, status: 400, code: "bad_request", param: "stream"},
		{path: gen, body: `{"model":"a","max_tokens":-1}`, status: 400, code: "bad_request", param: "max_tokens"},
		{path: gen, body: chat("zz", "", true), status: 404, code: "model_not_found", param: "model"},
		{path: gen, body: chat("a@9", "", true), status: 404, code: "model_not_found", param: "model"},
		{path: gen, body: chat("a", "", true), header: [2]string{marker.Class, "gold"}, status: 400, code: "bad_request", param: marker.Class},
		{path: gen, body: chat("a", "", true), header: [2]string{marker.Deadline, "soon"}, status: 400, code: "bad_request", param: marker.Deadline},
		{path: gen, body: chat("a", "", true), header: [2]string{marker.Deadline, "2001-01-01T00:00:00Z"}, status: 504, code: "deadline", param: marker.Deadline},
		{path: "/services/none/x", status: 404, code: "service_not_found"},
		{path: "/services/base/x", status: 404, code: "service_not_found"},
		{path: "/services/orders/a/%2e%2e/b", status: 400, code: "bad_request"},
		{path: "/services/orders/x", header: [2]string{marker.IdempotencyKey, strings.Repeat("k", 300)}, status: 400, code: "bad_request", param: marker.IdempotencyKey},
		{path: "/v1/nothing", status: 404, code: "no_route"},
		{path: gen, body: strings.Repeat("x", 9<<20), status: 413, code: "bad_request"},
		{path: gen, header: [2]string{marker.Class, strings.Repeat("x", 20<<10)}, status: 431, code: "bad_request"},
		{path: "/v1/announce", body: "x", status: 400, code: "bad_request"},
		{path: "/v1/announce", body: announce("addr", "host:1"), status: 400, code: "bad_request", param: "addr"},
		{path: "/v1/announce", body: announce("kind", "odd"), status: 400, code: "bad_request", param: "kind"},
		{path: "/v1/announce", body: announce("name", ""), status: 400, code: "bad_request", param: "name"},
		{path: "/v1/announce", body: announce("slots", "0"), status: 400, code: "bad_request", param: "slots"},
		{path: "/v1/announce", body: announce("batch", "0"), status: 400, code: "bad_request", param: "batch"},
	}
	for i, tt := range tests {
		t.Run(fmt.Sprintf("%d%s", i, tt.path), func(t *testing.T) {
			a := post(t, d, tt.path, tt.body, marker.RequestID, "r", tt.header[0], tt.header[1])
			var b struct {
				Error struct{ Message, Code, Param, Outcome string }
			}
			qt.Assert(t, json.Unmarshal([]byte(a.body), &b), qt.IsNil, qt.Commentf("%s", a.body))
			qt.Check(t, a.status, qt.Equals, tt.status, qt.Commentf("%s", a.body))
			qt.Check(t, b.Error.Code, qt.Equals, tt.code)
			qt.Check(t, b.Error.Param, qt.Equals, tt.param)
			qt.Check(t, b.Error.Message, qt.Not(qt.Equals), "")
			qt.Check(t, b.Error.Outcome+a.outcome, qt.Equals, "not-runnot-run")
		})
	}
	qt.Check(t, post(t, d, "/v1/announce", announce("name", "ok")).status, qt.Equals, 204)
}

func TestModelsArePaged(t *testing.T) {
	d := newFakeControl(t).startEntry(t, "near")
	var got []string
	for after, more := "", true; more; {
		resp, err := http.Get("http://" + d.Callers() + "/v1/models?limit=3&after=" + after)
		qt.Assert(t, err, qt.IsNil)
		var page struct {
			Data    []struct{ ID string }
			HasMore bool   `json:"has_more"`
			LastID  string `json:"last_id"`
		}
		qt.Assert(t, json.NewDecoder(resp.Body).Decode(&page), qt.IsNil)
		_ = resp.Body.Close()
		for _, m := range page.Data {
			got = append(got, m.ID)
		}
		after, more = page.LastID, page.HasMore
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"a", "b", "c", "d"})
}

// A connection over the limit gets an error, and new ones are accepted again once another one closes.
func TestTooManyConnections(t *testing.T) {
	ctl := newFakeControl(t)
	d, err := New(Config{Name: "n", Incarnation: 1, CallersAddr: "127.0.0.1:0", PeersAddr: "127.0.0.1:0", Limits: receiver.Config{MaxConns: 2}}, ctl)
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, d.Close(context.Background()), qt.IsNil) }()
	connect := func() (net.Conn, string) {
		c, err := net.Dial("tcp", d.Callers())
		qt.Assert(t, err, qt.IsNil)
		_, _ = c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		return c, fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(marker.Outcome), " ", string(b[:min(len(b), 10)]))
	}
	one, a := connect()
	qt.Check(t, a, qt.Equals, "200  OK")
	two, a := connect()
	defer two.Close()
	qt.Check(t, a, qt.Equals, "200  OK")
	three, a := connect()
	defer three.Close()
	qt.Check(t, a, qt.Equals, `503 not-run {"error":{`)
	_ = one.Close()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c, a := connect()
		_ = c.Close()
		if a == "200  OK" {
			return
		}
	}
	t.Fatal("no connection accepted although another one was closed")
}

// The generation of a caller that doesn't read is cancelled once its buffer is full, so that others aren't delayed.
func TestSlowCaller(t *testing.T) {
	ctl := newFakeControl(t)
	engine := startBackend(t, "e1", configurer.KindModel)
	engine.eventCount = 100_000
	d := ctl.startEntry(t, "near")
	ctl.assign(engine.server(), "near", d.Peers())
	c, err := net.Dial("tcp", d.Callers())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	body := chat("a", "x", true)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	qt.Assert(t, err, qt.IsNil)
	deadline := time.Now().Add(testTimeout)
	for engine.cancelledCount() != 1 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(t, engine.cancelledCount(), qt.Equals, 1)
}

// A booking that is answered without a body returns that answer, also when resent, and the entry keeps serving.
func TestNoContent(t *testing.T) {
	ctl := newFakeControl(t)
	orders := startBackend(t, "o1", configurer.KindPlain)
	orders.fault = func(_ int, c *call) bool {
		c.run()
		c.raw(c.head(http.StatusNoContent, c.attempt, "Connection: close\r\n"))
		return true
	}
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	ctl.assign(orders.server(), "near", near.Peers())
	for i, d := range []*Dispatcher{near, far} {
		key := fmt.Sprint("k", i)
		for range 2 {
			a := post(t, d, "/services/orders/x", "{}", marker.IdempotencyKey, key)
			qt.Check(t, a.status, qt.Equals, http.StatusNoContent, qt.Commentf("%s", a.body))
			qt.Check(t, a.outcome, qt.Equals, "done")
			qt.Check(t, a.body, qt.Equals, "")
		}
		qt.Check(t, orders.countRuns(func(e ledgerEntry) bool { return e.key == key }), qt.Equals, 1)
	}
}

// A refusal that exceeds the caller's buffer isn't reported as done without its body.
func TestLargeRefusal(t *testing.T) {
	ctl := newFakeControl(t)
	engine := startBackend(t, "e1", configurer.KindModel)
	large := strings.Repeat("x", 5<<20)
	engine.fault = func(_ int, c *call) bool {
		c.raw(c.head(http.StatusBadRequest, c.attempt, fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(large))) + large)
		return true
	}
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	ctl.assign(engine.server(), "near", near.Peers())
	for _, d := range []*Dispatcher{near, far} {
		a := post(t, d, "/v1/chat/completions", chat("a", "x", true))
		qt.Check(t, a.status, qt.Equals, http.StatusBadGateway)
		qt.Check(t, a.outcome, qt.Equals, "unknown")
		qt.Check(t, len(a.body) < 1<<10, qt.IsTrue)
		a = post(t, d, "/v1/chat/completions", chat("a", "x", false))
		qt.Check(t, a.status, qt.Equals, http.StatusBadRequest)
		qt.Check(t, a.outcome, qt.Equals, "done")
		qt.Check(t, a.body == large, qt.IsTrue)
	}
}
