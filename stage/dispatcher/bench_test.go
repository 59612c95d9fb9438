package dispatcher

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/registrar"
)

const benchEvents = 500

// startFastEngine starts an engine that writes each event in a separate call and without delay.
func startFastEngine(b *testing.B) registrar.Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveFastEngine(c)
		}
	}()
	return registrar.Server{
		Name: "e1", Kind: configurer.KindModel, Addr: ln.Addr().String(), Zone: "z", Service: "base",
		Incarnation: "1", Slots: 4, Batch: 4096,
	}
}

func serveFastEngine(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req := &fasthttp.Request{}
		if err := req.Read(br); err != nil {
			return
		}
		attempt := string(req.Header.Peek(marker.Attempt))
		if path := string(req.URI().Path()); !strings.HasSuffix(path, "/completions") {
			body := `{"incarnation":"1","resident":["a@2"],"serving":["a@2"]}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRedwing-Attempt: %s\r\nRedwing-Incarnation: 1\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRedwing-Attempt: %s\r\nRedwing-Incarnation: 1\r\nRedwing-Model: a@2\r\nTransfer-Encoding: chunked\r\n\r\n", attempt)
		chunk := func(data string) []byte {
			e := "id: " + attempt + "\ndata: " + data + "\n\n"
			return fmt.Appendf(nil, "%x\r\n%s\r\n", len(e), e)
		}
		event := chunk(`{"object":"chat.completion.chunk","model":"a@2","choices":[{"index":0,"delta":{"content":" token"}}]}`)
		for range benchEvents - 1 {
			if _, err := c.Write(event); err != nil {
				return
			}
		}
		if _, err := c.Write(append(chunk("[DONE]"), "0\r\n\r\n"...)); err != nil {
			return
		}
	}
}

// BenchmarkTokens streams answers of 500 events; the engine and the callers run in the same process.
func BenchmarkTokens(b *testing.B) {
	for _, path := range []string{"near", "hop"} {
		for _, callers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("%s/callers=%d", path, callers), func(b *testing.B) {
				ctl := newFakeControl(b)
				near, far := ctl.startEntry(b, "near"), ctl.startEntry(b, "far")
				ctl.assign(startFastEngine(b), "near", near.Peers())
				d := map[string]*Dispatcher{"near": near, "hop": far}[path]
				qt.Assert(b, post(b, d, "/v1/chat/completions", chat("a", "x", true)).outcome, qt.Equals, "done")
				benchCallers(b, d.Callers(), callers, benchEvents)
			})
		}
	}
}

// BenchmarkRequests measures requests with one event, which is the cost of a request without its tokens.
func BenchmarkRequests(b *testing.B) {
	ctl := newFakeControl(b)
	near := ctl.startEntry(b, "near")
	engine := startBackend(b, "e1", configurer.KindModel)
	engine.eventCount, engine.skipLedger = 1, true
	ctl.assign(engine.server(), "near", near.Peers())
	qt.Assert(b, post(b, near, "/v1/chat/completions", chat("a", "x", true)).outcome, qt.Equals, "done")
	benchCallers(b, near.Callers(), 64, 1)
}

func benchCallers(b *testing.B, addr string, callers, events int) {
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			caller := &streamCaller{addr: addr}
			for n := left.Add(-int64(events)); n > -int64(events); n = left.Add(-int64(events)) {
				// The text's length picks adapter "a".
				body, outcome, err := caller.stream(fmt.Sprintf("%020d", n+1<<40), false)
				if err != nil || outcome != "done" {
					b.Errorf("%v %s: %s", err, outcome, body)
					return
				}
			}
			if caller.conn != nil {
				_ = caller.conn.Close()
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
