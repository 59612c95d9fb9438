package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
)

const (
	crossTalkRequests = 100_000
	crossTalkCallers  = 128
	// Every crossCancel-th request is disconnected during its answer.
	crossTalkCancelEvery = 20
)

// streamCaller is a caller that streams answers on a connection of its own.
type streamCaller struct {
	addr string
	conn net.Conn
	br   *bufio.Reader
	resp fasthttp.Response
}

func (caller *streamCaller) stream(text string, cancel bool) (string, string, error) {
	if caller.conn == nil {
		c, err := net.Dial("tcp", caller.addr)
		if err != nil {
			return "", "", err
		}
		caller.conn, caller.br = c, bufio.NewReader(c)
	}
	body := chat("abcd"[len(text)%4:len(text)%4+1], text, true)
	_, err := fmt.Fprintf(caller.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		return "", "", err
	}
	if cancel {
		_, err = caller.br.Peek(len(text))
		_ = caller.conn.Close()
		caller.conn = nil
		return "", "", err
	}
	defer func() {
		if caller.resp.ConnectionClose() {
			_ = caller.conn.Close()
			caller.conn = nil
		}
	}()
	caller.resp.Reset()
	if err := caller.resp.ReadLimitBody(caller.br, 1<<20); err != nil {
		return "", "", err
	}
	return string(caller.resp.Body()), string(caller.resp.Header.Peek(marker.Outcome)), nil
}

// TestCrossTalk streams many answers at once, each with its request's name, while other callers disconnect.
func TestCrossTalk(t *testing.T) {
	ctl := newFakeControl(t)
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	for i, name := range []string{"e1", "e2"} {
		b := startBackend(t, name, configurer.KindModel)
		b.eventCount, b.skipLedger = 3, true
		ctl.assign(b.server(), []string{"near", "far"}[i], []string{near.Peers(), far.Peers()}[i])
	}
	var next, done, cancelled atomic.Int64
	var wg sync.WaitGroup
	for i := range crossTalkCallers {
		caller := &streamCaller{addr: []string{near.Callers(), far.Callers()}[i%2]}
		wg.Go(func() {
			for n := next.Add(1); n <= crossTalkRequests && !t.Failed(); n = next.Add(1) {
				text := fmt.Sprintf("caller-%d", n)
				cancel := n%crossTalkCancelEvery == 0
				body, outcome, err := caller.stream(text, cancel)
				switch {
				case cancel:
					cancelled.Add(1)
				case err != nil:
					t.Errorf("%s: %v", text, err)
				case outcome != "done" || joinContents(body) != text+"/0 "+text+"/1 end" || !strings.HasSuffix(body, "[DONE]\n\n"):
					t.Errorf("%s got %s: %q", text, outcome, body)
				default:
					done.Add(1)
				}
			}
			if caller.conn != nil {
				_ = caller.conn.Close()
			}
		})
	}
	wg.Wait()
	qt.Assert(t, done.Load()+cancelled.Load(), qt.Equals, int64(crossTalkRequests))
	t.Logf("%d complete answers, %d callers disconnected", done.Load(), cancelled.Load())
}

// TestPoison sends a request that crashes engines repeatedly through both entries: it causes at most two crashes.
func TestPoison(t *testing.T) {
	ctl := newFakeControl(t)
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	var crashes atomic.Int64
	for i, name := range []string{"e1", "e2", "e3"} {
		b := startBackend(t, name, configurer.KindModel)
		b.eventInterval, b.eventCount = time.Millisecond, 40
		entry, addr := []string{"near", "far", "near"}[i], []string{near.Peers(), far.Peers(), near.Peers()}[i]
		b.fault = func(_ int, c *call) bool {
			if c.prompt() != "poison" || len(c.req.Header.Peek(marker.ResumedAttempt)) > 0 {
				return false
			}
			crashes.Add(1)
			c.open()
			b.restart()
			ctl.assign(b.server(), entry, addr)
			return true
		}
		ctl.assign(b.server(), entry, addr)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for attempt := 0; ; attempt++ {
				text := fmt.Sprintf("innocent-%d-%d", i, attempt)
				a := post(t, []*Dispatcher{near, far}[i%2], "/v1/chat/completions", chat([]string{"a", "b", "c", "d"}[i%4], text, true))
				if a.outcome == "done" {
					return
				}
				if attempt == 20 {
					t.Errorf("harmless %d: %d %s", i, a.status, a.body)
					return
				}
			}
		})
	}
	var last answer
	for i := range 8 {
		last = post(t, []*Dispatcher{near, far}[i%2], "/v1/chat/completions", chat("a", "poison", true))
	}
	wg.Wait()
	qt.Check(t, last.status, qt.Equals, 422, qt.Commentf("%s", last.body))
	qt.Check(t, last.outcome, qt.Equals, "not-run")
	qt.Check(t, crashes.Load() <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes.Load()))
}

// TestGracefulClose closes the owner with open streams and bookings: none is cut, and the other entry takes over.
func TestGracefulClose(t *testing.T) {
	ctl := newFakeControl(t)
	near, far := ctl.startEntry(t, "near"), ctl.startEntry(t, "far")
	engine, orders := startBackend(t, "e1", configurer.KindModel), startBackend(t, "o1", configurer.KindPlain)
	engine.eventInterval, engine.eventCount = 2*time.Millisecond, 100
	var open sync.WaitGroup
	open.Add(20)
	orders.fault = func(n int, _ *call) bool {
		if n < 10 {
			open.Done()
			time.Sleep(50 * time.Millisecond)
		}
		return false
	}
	ctl.assign(engine.server(), "near", near.Peers())
	ctl.assign(orders.server(), "near", near.Peers())
	engine.fault = func(n int, _ *call) bool {
		if n < 10 {
			open.Done()
		}
		return false
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			d := []*Dispatcher{near, far}[i/2%2]
			a := answer{}
			if i%2 == 0 {
				a = post(t, d, "/v1/chat/completions", chat("a", "x", true))
			} else {
				a = post(t, d, "/services/orders/bookings", "crate")
			}
			qt.Check(t, a.outcome, qt.Equals, "done", qt.Commentf("%d: %d %s", i, a.status, a.body))
		})
	}
	open.Wait()
	stop, busy := make(chan struct{}), sync.WaitGroup{}
	busy.Go(func() {
		// A caller with a keep-alive connection never stops sending requests.
		caller := &streamCaller{addr: near.Callers()}
		for {
			select {
			case <-stop:
				return
			default:
			}
			if body, outcome, err := caller.stream("aaaa", false); err != nil {
				caller.conn = nil
			} else if outcome != "done" {
				t.Errorf("busy caller: %s %s", outcome, body)
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	qt.Check(t, near.Close(ctx), qt.IsNil)
	close(stop)
	wg.Wait()
	busy.Wait()
	a := post(t, far, "/v1/chat/completions", chat("a", "x", true))
	qt.Check(t, a.outcome, qt.Equals, "done", qt.Commentf("%s", a.body))
	qt.Check(t, ctl.released, qt.HasLen, 2)
}
