package demonstrator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/marker"
	"redwingstage.org/stage/logger"
)

// answer is a complete response.
type answer struct {
	status  int
	body    string
	outcome string
}

// send sends a request as README shows it.
func send(c *qt.C, method, url, body string, header ...string) answer {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewBufferString(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	return answer{
		status:  res.StatusCode,
		body:    string(b),
		outcome: res.Header.Get(marker.Outcome) + res.Trailer.Get(marker.Outcome),
	}
}

// TestReadme sends the example requests of README.
func TestReadme(t *testing.T) {
	c := qt.New(t)
	d, err := New(context.Background(), Config{Folder: t.TempDir()}, logger.New(io.Discard, "error"))
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	url := "http://" + d.Callers()

	chat := send(c, "POST", url+"/v1/chat/completions",
		`{"model":"gym-7","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"plan a route"}]}`)
	c.Assert(chat.status, qt.Equals, http.StatusOK, qt.Commentf("%s", chat.body))
	c.Assert(chat.body, qt.Contains, `"content":"gym-7@1"`)
	c.Assert(chat.body, qt.Contains, "data: [DONE]")
	c.Assert(chat.outcome, qt.Equals, "done", qt.Commentf("%s", chat.body))

	stock := send(c, "GET", url+"/services/orders/stock/crate", "")
	c.Assert(stock.status, qt.Equals, http.StatusOK, qt.Commentf("%s", stock.body))

	const booking = `{"item":"crate","quantity":2}`
	first := send(c, "POST", url+"/services/orders/bookings", booking, marker.IdempotencyKey, "monday-1")
	c.Assert(first.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.body))
	// A retry with the same key through the other entry returns the first answer.
	second := send(c, "POST", "http://"+d.cfg.Callers[1]+"/services/orders/bookings", booking, marker.IdempotencyKey, "monday-1")
	c.Assert(second, qt.Equals, first)
}
