package inferer

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/faulter"
	"redwingstage.org/standin/launcher"
	"redwingstage.org/standin/modeler"
)

// TestMain ignores fasthttp's cleanup goroutines, which end seconds after their server or client.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}

func newServer(c *quicktest.C, change func(*Config)) *Server {
	cfg := Config{
		Name: "engine-1", Addr: "127.0.0.1:0", Zone: "z1", Service: "base", Fenced: true, LoadReportLag: time.Nanosecond,
		CacheLag: time.Nanosecond, CacheLossEvery: 1000,
		Model: modeler.Config{
			Slots: 2, BaseStepTime: 200 * time.Microsecond, LoadTime: time.Millisecond, ColdStartTime: time.Millisecond, ResumeWindow: time.Hour,
		},
	}
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { c.Assert(s.Close(), quicktest.IsNil) })
	return s
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(c *quicktest.C, s *Server, method, path, body string, headers ...string) response {
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	return callOn(c, tr, s, method, path, body, headers...)
}

func callOn(c *quicktest.C, tr *http.Transport, s *Server, method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, "http://"+s.Addr()+path, strings.NewReader(body))
	c.Assert(err, quicktest.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

func loadAdapter(c *quicktest.C, s *Server, name, fence string) response {
	return call(c, s, "POST", "/v1/load_lora_adapter", `{"lora_name":"`+name+`","lora_path":"x"}`, marker.FencingEpoch, fence)
}

// events returns the ids and text of a stream and whether it has an end marker.
func events(c *quicktest.C, body string) (ids []string, text string, complete bool) {
	sc := bufio.NewScanner(strings.NewReader(body))
	var eventID string
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			eventID = id
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			c.Assert(eventID, quicktest.Equals, ids[len(ids)-1])
			return ids, text, true
		}
		var ev struct {
			ID      string
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		c.Assert(json.Unmarshal([]byte(data), &ev), quicktest.IsNil)
		c.Assert(eventID, quicktest.Equals, ev.ID)
		ids = append(ids, ev.ID)
		text += ev.Choices[0].Text + ev.Choices[0].Delta.Content
	}
	return ids, text, false
}

const streamRequest = `{"model":"a@1","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"plan mk-1"}]}`

func TestStreamAndResume(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, nil)
	c.Assert(call(c, s, "POST", "/v1/chat/completions", streamRequest).status, quicktest.Equals, 404)
	c.Assert(loadAdapter(c, s, "a@1", "1").status, quicktest.Equals, 200)
	a := call(c, s, "POST", "/v1/chat/completions", streamRequest, marker.Attempt, "e1.1.1")
	c.Assert(a.header.Get(marker.Attempt), quicktest.Equals, "e1.1.1")
	c.Assert(a.header.Get(marker.Model), quicktest.Equals, "a@1")
	c.Assert(a.header.Get(marker.Incarnation), quicktest.Not(quicktest.Equals), "")
	ids, text, complete := events(c, a.body)
	c.Assert(complete, quicktest.IsTrue)
	c.Assert(ids, quicktest.DeepEquals, []string{"e1.1.1", "e1.1.1", "e1.1.1", "e1.1.1", "e1.1.1", "e1.1.1"})
	c.Assert(text, quicktest.Equals, "a@1 mk-1 3 4 5 end")
	c.Assert(text, quicktest.Equals, AnswerText("a@1", "mk-1", 6))

	a = call(c, s, "POST", "/v1/chat/completions", streamRequest, marker.Attempt, "e1.1.2", marker.ResumedAttempt, "e1.1.1", marker.ResumeOffset, "4")
	ids, text, complete = events(c, a.body)
	c.Assert(complete, quicktest.IsTrue)
	c.Assert(ids, quicktest.DeepEquals, []string{"e1.1.2", "e1.1.2"})
	c.Assert(text, quicktest.Equals, " 5 end")
	c.Assert(a.header.Get(marker.ResumedAttempt), quicktest.Equals, "e1.1.1")
	c.Assert(a.header.Get(marker.ResumeOffset), quicktest.Equals, "4")
	a = call(c, s, "POST", "/v1/chat/completions", streamRequest, marker.ResumedAttempt, "e9.1.1")
	c.Assert(a.status, quicktest.Equals, 404)
}

func TestNonStreamingAnswer(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, nil)
	a := call(c, s, "POST", "/v1/completions", `{"model":"base","max_tokens":3,"prompt":"mesh mk-2"}`)
	c.Assert(a.status, quicktest.Equals, 200)
	var body struct {
		Choices []struct{ Text string }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	c.Assert(json.Unmarshal([]byte(a.body), &body), quicktest.IsNil)
	c.Assert(body.Choices[0].Text, quicktest.Equals, "base mk-2 end")
	c.Assert(body.Usage.Completion, quicktest.Equals, 3)
	c.Assert(call(c, s, "POST", "/v1/completions", `{`).status, quicktest.Equals, 400)
}

func TestLoadAndUnload(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		c := quicktest.New(t)
		s := newServer(c, func(cfg *Config) { cfg.Fenced = fenced })
		c.Assert(loadAdapter(c, s, "a@1", "7").status, quicktest.Equals, 200)
		a := loadAdapter(c, s, "b@1", "6")
		if fenced {
			c.Assert(a.status, quicktest.Equals, 409)
			c.Assert(a.body, quicktest.Contains, `"type":"fence","code":"old_fence"`)
			a = loadAdapter(c, s, "b@1", "8")
		}
		c.Assert(a.status, quicktest.Equals, 200)
		a = loadAdapter(c, s, "c@1", "8")
		c.Assert(a.status, quicktest.Equals, 409)
		c.Assert(a.body, quicktest.Contains, `"full"`)
		a = call(c, s, "POST", "/v1/unload_lora_adapter", `{"lora_name":"a@1"}`, marker.FencingEpoch, "8")
		c.Assert(a.status, quicktest.Equals, 200)
		c.Assert(call(c, s, "GET", "/v1/models", "").body, quicktest.Contains, `{"id":"b@1","object":"model","parent":"base"}`)
		c.Assert(call(c, s, "GET", "/load", "").body, quicktest.Contains, `"resident":["b@1"],"serving":[]`)
		c.Assert(s.EvictedRequests(), quicktest.Equals, 0)
	}
}

// withSlowSteps makes a long request outlast the test unless it is cancelled.
func withSlowSteps(cfg *Config) { cfg.Model.BaseStepTime = 50 * time.Millisecond }

// longRequest is a request that takes minutes with slow steps.
const longRequest = `{"model":"a@1","stream":true,"max_tokens":30000,"messages":[{"role":"user","content":"plan mk-1"}]}`

// openLongStream starts a long stream and waits for its first line.
func openLongStream(c *quicktest.C, s *Server, attempt string) *bufio.Reader {
	req, err := http.NewRequest("POST", "http://"+s.Addr()+"/v1/chat/completions", strings.NewReader(longRequest))
	c.Assert(err, quicktest.IsNil)
	req.Header.Set(marker.Attempt, attempt)
	tr := &http.Transport{}
	resp, err := tr.RoundTrip(req)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = resp.Body.Close(); tr.CloseIdleConnections() })
	r := bufio.NewReader(resp.Body)
	_, err = r.ReadString('\n')
	c.Assert(err, quicktest.IsNil)
	return r
}

func TestCancelAndEviction(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, withSlowSteps)
	loadAdapter(c, s, "a@1", "1")
	r := openLongStream(c, s, "x")
	c.Assert(call(c, s, "POST", "/v1/cancel", `{"attempt":"x"}`).status, quicktest.Equals, 200)
	rest, _ := io.ReadAll(r)
	c.Assert(string(rest), quicktest.Not(quicktest.Contains), "[DONE]")
	c.Assert(call(c, s, "POST", "/v1/cancel", `{"attempt":"x"}`).status, quicktest.Equals, 200)
	c.Assert(call(c, s, "GET", "/load", "").body, quicktest.Contains, `"serving":[]`)

	r = openLongStream(c, s, "y")
	a := call(c, s, "POST", "/v1/unload_lora_adapter", `{"lora_name":"a@1"}`, marker.FencingEpoch, "1")
	c.Assert(a.status, quicktest.Equals, 200)
	rest, _ = io.ReadAll(r)
	c.Assert(string(rest), quicktest.Not(quicktest.Contains), "[DONE]")
	c.Assert(s.EvictedRequests(), quicktest.Equals, 1)
	c.Assert(call(c, s, "GET", "/stats", "").body, quicktest.Equals, `{"requests":2,"evicted":1,"late":0}`)
}

func TestCacheEventsHaveGaps(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, func(cfg *Config) { cfg.CacheLossEvery = 2 })
	for _, p := range []string{"one", "two", "three"} {
		call(c, s, "POST", "/v1/completions", `{"model":"base","max_tokens":1,"prompt":"prompt `+p+`"}`)
	}
	var list struct{ Events []struct{ Seq int } }
	a := call(c, s, "GET", "/v1/cache/events?after=0", "")
	c.Assert(json.Unmarshal([]byte(a.body), &list), quicktest.IsNil)
	c.Assert(list.Events, quicktest.DeepEquals, []struct{ Seq int }{{1}, {3}})
	c.Assert(call(c, s, "GET", "/v1/cache/events?after=3", "").body, quicktest.Equals, `{"events":[]}`)
}

func TestAnswerFaults(t *testing.T) {
	tests := []struct {
		fault faulter.AnswerFault
		check func(c *quicktest.C, ids []string, text string, complete bool)
	}{
		{faulter.Truncated, func(c *quicktest.C, _ []string, text string, complete bool) {
			c.Assert(text, quicktest.Equals, "a@1 mk-1 3")
			c.Assert(complete, quicktest.IsFalse)
		}},
		{faulter.Doubled, func(c *quicktest.C, _ []string, text string, _ bool) {
			c.Assert(text, quicktest.Equals, "a@1a@1 mk-1 mk-1 3 3 4 4 5 5 end end")
		}},
		{faulter.Misrouted, func(c *quicktest.C, ids []string, text string, _ bool) {
			c.Assert(ids[0], quicktest.Equals, "crossed.0")
			c.Assert(text, quicktest.Equals, "other@1 other 3 4 5 end")
		}},
		{faulter.Late, func(c *quicktest.C, _ []string, text string, complete bool) {
			c.Assert(text, quicktest.Equals, "a@1 mk-1 3 4 5 end")
			c.Assert(complete, quicktest.IsTrue)
		}},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			c := quicktest.New(t)
			s := newServer(c, nil)
			loadAdapter(c, s, "a@1", "1")
			a := call(c, s, "POST", "/faults", `{"answer":"`+string(tt.fault)+`","count":1,"delay":"20ms"}`)
			c.Assert(a.status, quicktest.Equals, 200)
			sent := time.Now()
			ids, text, complete := events(c, call(c, s, "POST", "/v1/chat/completions", streamRequest).body)
			tt.check(c, ids, text, complete)
			if tt.fault == faulter.Late {
				c.Assert(time.Since(sent) >= 20*time.Millisecond, quicktest.IsTrue)
			}
			_, text, _ = events(c, call(c, s, "POST", "/v1/chat/completions", streamRequest).body)
			c.Assert(text, quicktest.Equals, "a@1 mk-1 3 4 5 end")
		})
	}
}

func TestNonStreamingAnswerIsTruncated(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, nil)
	c.Assert(s.SetFaults(faulter.Faults{Answer: faulter.Truncated, FaultyAnswers: 1}), quicktest.IsNil)
	a := call(c, s, "POST", "/v1/completions", `{"model":"base","prompt":"x"}`)
	c.Assert(a.status, quicktest.Equals, 200)
	c.Assert(a.err, quicktest.ErrorIs, io.ErrUnexpectedEOF)
}

func TestCrashOnRequest(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, func(cfg *Config) {
		withSlowSteps(cfg)
		cfg.Model.ColdStartTime = time.Hour
	})
	loadAdapter(c, s, "a@1", "1")
	before := call(c, s, "GET", "/load", "").header.Get(marker.Incarnation)
	other := openLongStream(c, s, "innocent")
	c.Assert(s.SetFaults(faulter.Faults{CrashSubstring: "poison"}), quicktest.IsNil)
	a := call(c, s, "POST", "/v1/completions", `{"model":"a@1","prompt":"some poison here"}`)
	c.Assert(a.err, quicktest.IsNotNil)
	_, err := io.ReadAll(other)
	c.Assert(err, quicktest.IsNotNil)
	a = call(c, s, "GET", "/load", "")
	c.Assert(a.header.Get(marker.Incarnation), quicktest.Not(quicktest.Equals), before)
	c.Assert(a.body, quicktest.Contains, `"resident":[]`)
	c.Assert(call(c, s, "GET", "/health", "").status, quicktest.Equals, 503)
	a = call(c, s, "POST", "/v1/completions", `{"model":"base","prompt":"x"}`)
	c.Assert(a.status, quicktest.Equals, 503)
	c.Assert(a.body, quicktest.Contains, `"type":"not_run"`)
}

// TestStoppedEngineRefusesRequests guards against hung calls: a stream or load that is accepted after the engine stopped
// never ends.
func TestStoppedEngineRefusesRequests(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, nil)
	s.stop()
	for _, a := range []response{
		call(c, s, "POST", "/v1/completions", `{"model":"base","prompt":"x"}`),
		loadAdapter(c, s, "a@1", "1"),
	} {
		c.Assert(a.status, quicktest.Equals, 503)
		c.Assert(a.body, quicktest.Contains, `"type":"not_run"`)
	}
}

func TestCrashCallsExit(t *testing.T) {
	c := quicktest.New(t)
	exited := make(chan struct{}, 1)
	s, err := New(Config{Name: "e", Addr: "127.0.0.1:0", Service: "base"}, WithExit(func() { exited <- struct{}{} }))
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Assert(s.Close(), quicktest.IsNil) }()
	c.Assert(s.SetFaults(faulter.Faults{CrashSubstring: "poison"}), quicktest.IsNil)
	call(c, s, "POST", "/v1/completions", `{"model":"base","prompt":"poison"}`)
	<-exited
}

func TestFailedLoadAndSlowdown(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, nil)
	c.Assert(s.SetFaults(faulter.Faults{FailingLoads: 1, Slowdown: 2}), quicktest.IsNil)
	a := loadAdapter(c, s, "a@1", "1")
	c.Assert(a.status, quicktest.Equals, 500)
	c.Assert(a.body, quicktest.Contains, `"type":"load_failed"`)
	c.Assert(loadAdapter(c, s, "a@1", "1").status, quicktest.Equals, 200)
	sent := time.Now()
	call(c, s, "POST", "/v1/chat/completions", streamRequest)
	c.Assert(time.Since(sent) >= 6*2*200*time.Microsecond, quicktest.IsTrue) // six steps at half speed
	a = call(c, s, "POST", "/faults", `{"slow":0.5,"answer":"odd"}`)
	c.Assert(a.status, quicktest.Equals, 400)
	c.Assert(a.body, quicktest.Contains, `slow: 0.5 is below 1; answer: \"odd\" is none of`)
	c.Assert(call(c, s, "POST", "/faults", `{"slwo":2}`).body, quicktest.Contains, `slwo`)
	c.Assert(call(c, s, "GET", "/faults", "").body, quicktest.Equals, `{"slow":2,"loads":1}`)
}

func TestSilentConnection(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, nil)
	nc, err := net.Dial("tcp", s.Addr())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	const request = "GET /health HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = nc.Write([]byte(request))
	c.Assert(err, quicktest.IsNil)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.StatusCode, quicktest.Equals, 200)
	_ = resp.Body.Close()

	c.Assert(s.SetFaults(faulter.Faults{Silent: true}), quicktest.IsNil)
	_, err = nc.Write([]byte(request))
	c.Assert(err, quicktest.IsNil)
	c.Assert(call(c, s, "GET", "/health", "").status, quicktest.Equals, 200) // a new connection works
	c.Assert(s.httpd.GetOpenConnectionsCount() > 0, quicktest.IsTrue)
	s.ln.CloseConns()
	rest, _ := io.ReadAll(r)
	c.Assert(rest, quicktest.HasLen, 0)
}

func TestAnnouncesAndLeaves(t *testing.T) {
	c := quicktest.New(t)
	announced := make(chan string, 100)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	entry := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		announced <- r.URL.Path + " " + string(b)
		w.WriteHeader(http.StatusNoContent)
	})}
	served := make(chan struct{})
	go func() { defer close(served); _ = entry.Serve(ln) }()
	defer func() { _ = entry.Close(); <-served }()

	downAddr, err := launcher.FreeAddr(context.Background())
	c.Assert(err, quicktest.IsNil)
	s := newServer(c, func(cfg *Config) { cfg.Entries = []string{downAddr, ln.Addr().String()} })
	first := <-announced
	c.Assert(first, quicktest.Contains, `/v1/announce {"name":"engine-1","kind":"model","addr":"`+s.Addr()+`","zone":"z1","service":"base"`)
	c.Assert(first, quicktest.Contains, `"slots":2,"batch":16,"fenced":true,"leaving":false}`)
	c.Assert(call(c, s, "POST", "/leave", "").status, quicktest.Equals, 200)
	for !strings.Contains(<-announced, `"leaving":true`) { //nolint:revive // it repeats until the change shows
	}
	c.Assert(s.Departure().LateCount()+s.Departure().OverdueCount(), quicktest.Equals, 0)
}
