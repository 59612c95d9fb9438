package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/cutter"
)

// streamTrial streams answers through two entries while faults are injected.
type streamTrial struct {
	t         testing.TB
	control   *fakeControl
	near, far *Dispatcher
	engines   []*backend
	hop       *cutter.Cutter
	// callFaults[n] handles the n-th generation call, resumed ones included, and orderFaults[n] the n-th order.
	callFaults  []func(c *call)
	orderFaults []func(c *call)
	calls       atomic.Int64
	orders      atomic.Int64
}

// streamFault is a fault that addTo adds to a trial; step and name identify it.
type streamFault struct {
	step, name string
	addTo      func(tr *streamTrial)
}

// eventsBeforeFault is the number of events sent before a fault in the middle of a stream.
const eventsBeforeFault = 3

func engineFault(step, name string, f func(tr *streamTrial, c *call)) streamFault {
	return streamFault{step, name, func(tr *streamTrial) {
		tr.callFaults = append(tr.callFaults, func(c *call) { f(tr, c) })
	}}
}

// midStreamFault injects a fault after eventsBeforeFault events; the generation continues at the engine.
func midStreamFault(name string, f func(tr *streamTrial, c *call, id string, s *stream)) streamFault {
	return engineFault("event", name, func(tr *streamTrial, c *call) {
		id, s, offset := c.open()
		if s == nil {
			c.write(404, `{}`)
			return
		}
		c.stream(id, s, offset, offset+eventsBeforeFault)
		f(tr, c, id, s)
	})
}

func goSilent(c *call) { _, _ = io.Copy(io.Discard, c.conn) }

var streamFaults = []streamFault{
	engineFault("head", "killed", func(tr *streamTrial, c *call) { c.open(); tr.restartEngine(c.backend) }),
	engineFault("head", "cut before running", func(*streamTrial, *call) {}),
	engineFault("head", "cut while running", func(_ *streamTrial, c *call) { c.open() }),
	engineFault("head", "silent", func(_ *streamTrial, c *call) { c.open(); goSilent(c) }),
	engineFault("head", "refused", func(_ *streamTrial, c *call) { c.write(503, `{"error":{"type":"not_run"}}`) }),
	engineFault("head", "failed", func(_ *streamTrial, c *call) { c.open(); c.write(500, `{}`) }),
	engineFault("head", "not resident", func(_ *streamTrial, c *call) { c.write(404, `{}`) }),
	engineFault("head", "crossed attempt", func(_ *streamTrial, c *call) { c.writeMislabelled(func() { c.attempt = "other.1.1" }) }),
	engineFault("head", "crossed model", func(_ *streamTrial, c *call) { c.writeMislabelled(func() { c.model = "d@1" }) }),
	midStreamFault("killed", func(tr *streamTrial, c *call, _ string, _ *stream) { tr.restartEngine(c.backend) }),
	midStreamFault("cut", func(*streamTrial, *call, string, *stream) {}),
	midStreamFault("silent", func(_ *streamTrial, c *call, _ string, _ *stream) { goSilent(c) }),
	midStreamFault("ended early", func(_ *streamTrial, c *call, _ string, _ *stream) { c.raw("0\r\n\r\n") }),
	midStreamFault("truncated", func(_ *streamTrial, c *call, id string, _ *stream) { c.raw("40\r\nid: " + id + "\ndata: {\"choices\"") }),
	midStreamFault("crossed", func(_ *streamTrial, c *call, _ string, _ *stream) {
		c.event("other.1.1", `{"choices":[{"delta":{"content":"other/3 "}}]}`)
	}),
	midStreamFault("oversized", func(_ *streamTrial, c *call, id string, _ *stream) { c.event(id, strings.Repeat("x", 2<<20)) }),
	engineFault("end", "doubled", func(_ *streamTrial, c *call) {
		c.generate()
		c.raw(c.head(200, c.attempt, "Content-Length: 2\r\n") + "{}")
	}),
	engineFault("end", "silent before", func(_ *streamTrial, c *call) {
		if id, s, offset := c.open(); s != nil {
			c.stream(id, &stream{events: s.events, stop: s.stop}, offset, len(s.events)-1)
		}
		goSilent(c)
	}),
	engineFault("hop", "cut", func(tr *streamTrial, c *call) { tr.hop.Reset(); c.generate() }),
	engineFault("hop", "silent", func(tr *streamTrial, c *call) { tr.hop.DropOpen(); c.generate() }),
}

var loadFaults = []streamFault{
	{"load", "failed", func(tr *streamTrial) { tr.orderFaults = append(tr.orderFaults, func(c *call) { c.write(500, `{}`) }) }},
	{"load", "cut", func(tr *streamTrial) { tr.orderFaults = append(tr.orderFaults, func(*call) {}) }},
	{"load", "killed", func(tr *streamTrial) {
		tr.orderFaults = append(tr.orderFaults, func(c *call) { tr.restartEngine(c.backend) })
	}},
	{"load", "old fence", func(tr *streamTrial) {
		tr.orderFaults = append(tr.orderFaults, func(c *call) { c.write(409, `{"error":{"type":"fence","code":"old_fence"}}`) })
	}},
	{"load", "crossed", func(tr *streamTrial) {
		tr.orderFaults = append(tr.orderFaults, func(c *call) { c.attempt = "other.1.1"; c.write(200, `{}`) })
	}},
}

// writeMislabelled writes a complete answer under another attempt or model.
func (c *call) writeMislabelled(rename func()) {
	id, s, _ := c.open()
	if s == nil {
		c.write(404, `{}`)
		return
	}
	rename()
	c.stream(id, s, 0, len(s.events))
}

// newStreamTrial takes the options as a function because each entry needs a scheduler of its own.
func newStreamTrial(t testing.TB, opts func() []Option) *streamTrial {
	tr := &streamTrial{t: t, control: newFakeControl(t)}
	tr.near, tr.far = tr.control.startEntry(t, "near", opts()...), tr.control.startEntry(t, "far", opts()...)
	hop, err := cutter.New(context.Background(), "127.0.0.1:0", tr.near.Peers())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = hop.Close() })
	tr.hop = hop
	for i, name := range []string{"e1", "e2"} {
		b := startBackend(t, name, configurer.KindModel)
		tr.engines = append(tr.engines, b)
		b.fault = func(_ int, c *call) bool {
			n := int(tr.calls.Add(1)) - 1
			if n < len(tr.callFaults) {
				tr.callFaults[n](c)
			}
			return n < len(tr.callFaults)
		}
		b.loadFault = func(c *call) bool {
			n := int(tr.orders.Add(1)) - 1
			if n < len(tr.orderFaults) {
				tr.orderFaults[n](c)
			}
			return n < len(tr.orderFaults)
		}
		if i == 0 {
			tr.control.assign(b.server(), "near", hop.Addr())
		} else {
			tr.control.assign(b.server(), "far", tr.far.Peers())
		}
	}
	return tr
}

func (tr *streamTrial) restartEngine(b *backend) {
	b.restart()
	tr.control.mu.Lock()
	o := tr.control.owners[b.name]
	tr.control.mu.Unlock()
	tr.control.assign(b.server(), o.Entry, o.Addr)
}

// run streams through both entries, again after all faults, and returns the violations.
func (tr *streamTrial) run() []string {
	violations := tr.check("first", tr.far, "a")
	violations = append(violations, tr.check("second", tr.near, "b@1")...)
	tr.hop.Restore()
	tr.calls.Add(int64(len(tr.callFaults)))
	tr.orders.Add(int64(len(tr.orderFaults)))
	for _, d := range []*Dispatcher{tr.near, tr.far} {
		for _, f := range tr.check("last", d, "a") {
			violations = append(violations, "without faults: "+f)
		}
		if a := tr.stream(d, "end", "a"); a.outcome != "done" {
			violations = append(violations, "without faults: "+a.outcome+" "+a.body)
		}
	}
	return violations
}

func (tr *streamTrial) stream(d *Dispatcher, request, model string) answer {
	return post(tr.t, d, "/v1/chat/completions", chat(model, request, true), marker.RequestID, request)
}

// check streams one answer and compares it with the events that the engine sends for this request.
func (tr *streamTrial) check(request string, d *Dispatcher, model string) []string {
	a := tr.stream(d, request, model)
	var violations []string
	want := ""
	for i := range 7 {
		want += fmt.Sprintf("%s/%d ", request, i)
	}
	want += "end"
	got := joinContents(a.body)
	switch {
	case a.outcome == "done" && (got != want || !strings.HasSuffix(a.body, "data: [DONE]\n\n") || a.status != http.StatusOK):
		violations = append(violations, "done, but incomplete: "+a.body)
	case a.outcome != "done" && !strings.Contains(a.body, `"outcome":"`+a.outcome+`"`):
		violations = append(violations, "broken, but not marked as such: "+a.body)
	case !strings.HasPrefix(want, got):
		violations = append(violations, "text of another answer: "+got)
	}
	version := model
	if model == "a" {
		version = "a@2"
	}
	for _, b := range tr.engines {
		if n := b.countRuns(func(e ledgerEntry) bool { return e.request == request && e.body != version }); n > 0 {
			violations = append(violations, request+" ran on another adapter or version")
		}
		if n := b.countRuns(func(e ledgerEntry) bool { return e.request == request }); n > 0 && a.outcome == "not-run" {
			violations = append(violations, request+" was reported as not run, but ran")
		}
	}
	return violations
}

// secondFaults lists the faults that follow a first one; most of them hit the resumed stream.
const secondFaults = "head killed, head cut while running, head silent, event killed, event cut, event silent, event crossed, hop cut,"

func allStreamFaults() []streamFault {
	faults := append([]streamFault{}, streamFaults...)
	faults = append(faults, loadFaults...)
	for _, a := range streamFaults {
		for _, b := range streamFaults {
			if !strings.Contains(secondFaults, b.step+" "+b.name+",") {
				continue
			}
			faults = append(faults, streamFault{a.step, a.name + " then " + b.step + " " + b.name, func(tr *streamTrial) { a.addTo(tr); b.addTo(tr) }})
		}
	}
	for _, a := range loadFaults {
		for _, b := range append(append([]streamFault{}, loadFaults...), streamFaults[0], streamFaults[9]) {
			faults = append(faults, streamFault{a.step, a.name + " then " + b.step + " " + b.name, func(tr *streamTrial) { a.addTo(tr); b.addTo(tr) }})
		}
	}
	return faults
}

// TestCheckerNoticesStreams disables safeguards one by one; the check must find violations.
func TestCheckerNoticesStreams(t *testing.T) {
	tests := []struct {
		step, fault, off string
		part             func(d *Dispatcher) any
		want             string
	}{
		{"event", "crossed", "skipEchoCheck", func(d *Dispatcher) any { return d.sender }, "done, but incomplete.*|text of another answer.*"},
		{"event", "ended early", "acceptUnmarkedEnd", func(d *Dispatcher) any { return d.sender }, "done, but incomplete.*"},
	}
	for _, tt := range tests {
		t.Run(tt.off, func(t *testing.T) {
			tr := newStreamTrial(t, func() []Option { return nil })
			for _, f := range streamFaults {
				if f.step == tt.step && f.name == tt.fault {
					f.addTo(tr)
				}
			}
			setFlag(tt.part(tr.near), tt.off)
			setFlag(tt.part(tr.far), tt.off)
			violations := tr.run()
			t.Logf("%s set: %q", tt.off, violations)
			qt.Assert(t, violations, qt.Any(qt.Matches), "(?s)("+tt.want+")")
		})
	}
}

// A resumed call that returns no event of its stream adds nothing to the caller's answer, and doesn't complete it.
func TestAnswersToResumedCall(t *testing.T) {
	complete := func(status int, body string) func(c *call) {
		return func(c *call) {
			c.raw(c.head(status, c.attempt, fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(body))) + body)
		}
	}
	streamed := func(body string) func(c *call) {
		return func(c *call) {
			head := c.head(http.StatusOK, c.attempt, "Connection: close\r\n")
			c.raw(strings.Replace(head, "application/json", "text/event-stream", 1) + body)
		}
	}
	// restarted writes the stream from its beginning, under a head without the given header.
	restarted := func(missing string) func(c *call) {
		return func(c *call) {
			_, s, _ := c.open()
			head := strings.Replace(c.head(http.StatusOK, c.attempt, "Connection: close\r\n"), "application/json", "text/event-stream", 1)
			c.raw(strings.Replace(head, missing+":", "X-Lost:", 1))
			for _, e := range append(append([][]byte{}, s.events...), []byte("[DONE]")) {
				c.raw("id: " + c.attempt + "\ndata: " + string(e) + "\n\n")
			}
		}
	}
	const refusal = `{"error":{"type":"not_found","message":"no stream"}}`
	tests := []struct {
		name   string
		answer func(c *call)
	}{
		{"accepted", complete(http.StatusAccepted, refusal)},
		{"bad request", complete(http.StatusBadRequest, refusal)},
		{"not found", complete(http.StatusNotFound, refusal)},
		{"conflict", complete(http.StatusConflict, refusal)},
		{"too many", complete(http.StatusTooManyRequests, refusal)},
		{"failed", complete(http.StatusInternalServerError, refusal)},
		{"refused", complete(http.StatusServiceUnavailable, `{"error":{"type":"not_run"}}`)},
		{"other type", complete(http.StatusOK, `{"choices":[]}`)},
		{"empty body", complete(http.StatusOK, "")},
		{"empty stream", streamed("")},
		{"end marker without a name", streamed("data: [DONE]\n\n")},
		{"end marker of another", streamed("id: other.1.1\ndata: [DONE]\n\n")},
		{"begun anew", restarted(marker.ResumeOffset)},
		{"another attempt begun anew", restarted(marker.ResumedAttempt)},
	}
	broken := `(?s)(data: \{"object"[^\n]*\n\n){3}event: error\ndata: \{[^\n]*"outcome":"unknown"[^\n]*\n\n`
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctl := newFakeControl(t)
			engine := startBackend(t, "e1", configurer.KindModel)
			engine.fault = func(_ int, c *call) bool {
				if len(c.req.Header.Peek(marker.ResumedAttempt)) > 0 {
					tt.answer(c)
					return true
				}
				id, s, offset := c.open()
				if s == nil {
					return false
				}
				c.stream(id, s, offset, offset+eventsBeforeFault)
				return true
			}
			near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
			ctl.assign(engine.server(), "near", near.Peers())
			for i, d := range []*Dispatcher{near, far} {
				a := post(t, d, "/v1/chat/completions", chat("a", "x", true))
				qt.Check(t, a.body, qt.Matches, broken)
				qt.Check(t, joinContents(a.body), qt.Equals, "x/0 x/1 x/2 ")
				qt.Check(t, a.outcome, qt.Equals, "unknown")
				a = post(t, d, "/v1/chat/completions", chat("a", "x", false))
				qt.Check(t, a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", a.body))
				qt.Check(t, a.outcome, qt.Equals, "unknown")
				qt.Check(t, engine.cancelledCount(), qt.Equals, 2*(i+1), qt.Commentf("generations cancelled"))
			}
		})
	}
}

// An answer without a length ends with its connection; if that breaks between two events, the rest is fetched without duplicates.
func TestBrokenAnswerWithoutLength(t *testing.T) {
	want := "x/0 x/1 x/2 x/3 x/4 x/5 x/6 end"
	for _, tt := range []struct {
		name string
		cut  int
		kind string
	}{
		{"before the first event", 0, "text/event-stream"},
		{"between two events", eventsBeforeFault, "text/event-stream"},
		{"before the end marker", 8, "text/event-stream"},
		{"rest of another type", eventsBeforeFault, "application/json"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctl := newFakeControl(t)
			engine := startBackend(t, "e1", configurer.KindModel)
			engine.fault = func(_ int, c *call) bool {
				resumed := len(c.req.Header.Peek(marker.ResumedAttempt)) > 0
				_, s, offset := c.open()
				if s == nil {
					return false
				}
				kind, events := "text/event-stream", s.events[:tt.cut]
				if resumed {
					kind, events = tt.kind, append(append([][]byte{}, s.events[offset:]...), []byte("[DONE]"))
				}
				c.raw(strings.Replace(c.head(http.StatusOK, c.attempt, "Connection: close\r\n"), "application/json", kind, 1))
				for _, e := range events {
					c.raw("id: " + c.attempt + "\ndata: " + string(e) + "\n\n")
				}
				return true
			}
			near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
			ctl.assign(engine.server(), "near", near.Peers())
			for _, d := range []*Dispatcher{near, far} {
				a := post(t, d, "/v1/chat/completions", chat("a", "x", true))
				qt.Check(t, joinContents(a.body), qt.Equals, want)
				qt.Check(t, a.outcome, qt.Equals, "done")
				qt.Check(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue)
				a = post(t, d, "/v1/chat/completions", chat("a", "x", false))
				qt.Check(t, a.body, qt.Equals,
					`{"choices":[{"index":0,"message":{"content":"`+want+`"}}],"model":"a@2","object":"chat.completion"}`)
				qt.Check(t, a.outcome, qt.Equals, "done")
			}
		})
	}
}

// When a caller disconnects, its generation is cancelled at the engine, through either entry.
func TestDisconnectedCaller(t *testing.T) {
	for _, name := range []string{"near", "far"} {
		t.Run(name, func(t *testing.T) {
			ctl := newFakeControl(t)
			engine := startBackend(t, "e1", configurer.KindModel)
			engine.eventCount, engine.eventInterval = 100_000, time.Millisecond
			near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
			ctl.assign(engine.server(), "near", near.Peers())
			d := near
			if name == "far" {
				d = far
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Callers()+"/v1/chat/completions", strings.NewReader(chat("a", "x", true)))
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.DefaultClient.Do(req)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadFull(resp.Body, make([]byte, 64))
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			deadline := time.Now().Add(testTimeout)
			for engine.cancelledCount() != 1 && time.Now().Before(deadline) {
				time.Sleep(5 * time.Millisecond)
			}
			qt.Assert(t, engine.cancelledCount(), qt.Equals, 1)
		})
	}
}

// cancelledCount counts the cancelled attempts.
func (b *backend) cancelledCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.cancelled)
}
