package dispatcher

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
)

// answer is an answer as its caller received it.
type answer struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

// post sends a request as a caller with its own connection.
func post(t testing.TB, d *Dispatcher, path, body string, header ...string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Callers()+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i+1 < len(header) && header[i] != ""; i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	a := answer{status: resp.StatusCode, body: string(b), header: resp.Header, outcome: resp.Header.Get(marker.Outcome)}
	if s := resp.Trailer.Get(marker.Outcome); s != "" {
		a.outcome = s
	}
	return a
}

func chat(model, text string, stream bool) string {
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": text}},
	})
	return string(b)
}

// joinContents joins the contents of a stream's events.
func joinContents(stream string) string {
	var out strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(line, "data: ")
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return out.String()
}

func TestEndToEnd(t *testing.T) {
	ctl := newFakeControl(t)
	engine, orders := startBackend(t, "e1", configurer.KindModel), startBackend(t, "o1", configurer.KindPlain)
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	ctl.assign(engine.server(), "near", near.Peers())
	ctl.assign(orders.server(), "near", near.Peers())
	want := "x/0 x/1 x/2 x/3 x/4 x/5 x/6 end"
	for _, d := range []*Dispatcher{near, far} {
		a := post(t, d, "/v1/chat/completions", chat("a", "x", true))
		qt.Check(t, a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
		qt.Check(t, a.outcome, qt.Equals, "done")
		qt.Check(t, joinContents(a.body), qt.Equals, want)
		qt.Check(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue)
		a = post(t, d, "/v1/chat/completions", chat("b@1", "x", false))
		qt.Check(t, a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
		var whole struct {
			Object  string
			Model   string
			Choices []struct{ Message struct{ Content string } }
		}
		qt.Assert(t, json.Unmarshal([]byte(a.body), &whole), qt.IsNil, qt.Commentf("%s", a.body))
		qt.Check(t, whole.Object+" "+whole.Model, qt.Equals, "chat.completion b@1")
		qt.Check(t, whole.Choices[0].Message.Content, qt.Equals, want)
		a = post(t, d, "/services/orders/bookings", "crate")
		qt.Check(t, a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
		qt.Check(t, a.outcome, qt.Equals, "done")
		key := a.header.Get(marker.IdempotencyKey)
		again := post(t, d, "/services/orders/bookings", "crate", marker.IdempotencyKey, key)
		qt.Check(t, again.body, qt.Equals, a.body)
		qt.Check(t, orders.countRuns(func(e ledgerEntry) bool { return e.key == key }), qt.Equals, 1)
		other := post(t, d, "/services/orders/bookings", "two crates", marker.IdempotencyKey, key)
		qt.Check(t, other.status, qt.Equals, 409)
		qt.Check(t, other.outcome, qt.Equals, "not-run")
	}
	resp, err := http.Get("http://" + near.Metrics() + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.Contains(metrics, []byte(`redwingstage_requests_total{class="chat",met="yes",outcome="done"} `)), qt.IsTrue)
}
