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
	crossStreams = 100_000
	crossCallers = 128
	// Every crossCancel-th request is disconnected during its answer.
	crossCancel = 20
)

// talker is a caller that streams answers on a connection of its own.
type talker struct {
	addr string
	conn net.Conn
	br   *bufio.Reader
	resp fasthttp.Response
}

func (k *talker) ask(text string, cancel bool) (string, string, error) {
	if k.conn == nil {
		c, err := net.Dial("tcp", k.addr)
		if err != nil {
			return "", "", err
		}
		k.conn, k.br = c, bufio.NewReader(c)
	}
	body := chat("abcd"[len(text)%4:len(text)%4+1], text, true)
	_, err := fmt.Fprintf(k.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		return "", "", err
	}
	if cancel {
		_, err = k.br.Peek(len(text))
		_ = k.conn.Close()
		k.conn = nil
		return "", "", err
	}
	defer func() {
		if k.resp.ConnectionClose() {
			_ = k.conn.Close()
			k.conn = nil
		}
	}()
	k.resp.Reset()
	if err := k.resp.ReadLimitBody(k.br, 1<<20); err != nil {
		return "", "", err
	}
	return string(k.resp.Body()), string(k.resp.Header.Peek(marker.Outcome)), nil
}

// TestCrossTalk streams many answers at once, each with its request's name, while other callers disconnect.
func TestCrossTalk(t *testing.T) {
	w := newWorld(t)
	near, far := w.startEntry(t, "near"), w.startEntry(t, "far")
	for i, name := range []string{"e1", "e2"} {
		b := startBackend(t, name, configurer.KindModel)
		b.events, b.discreet = 3, true
		w.assign(b.server(), []string{"near", "far"}[i], []string{near.Peers(), far.Peers()}[i])
	}
	var next, done, cancelled atomic.Int64
	var wg sync.WaitGroup
	for i := range crossCallers {
		k := &talker{addr: []string{near.Callers(), far.Callers()}[i%2]}
		wg.Go(func() {
			for n := next.Add(1); n <= crossStreams && !t.Failed(); n = next.Add(1) {
				text := fmt.Sprintf("caller-%d", n)
				cancel := n%crossCancel == 0
				body, outcome, err := k.ask(text, cancel)
				switch {
				case cancel:
					cancelled.Add(1)
				case err != nil:
					t.Errorf("%s: %v", text, err)
				case outcome != "done" || texts(body) != text+"/0 "+text+"/1 end" || !strings.HasSuffix(body, "[DONE]\n\n"):
					t.Errorf("%s got %s: %q", text, outcome, body)
				default:
					done.Add(1)
				}
			}
			if k.conn != nil {
				_ = k.conn.Close()
			}
		})
	}
	wg.Wait()
	qt.Assert(t, done.Load()+cancelled.Load(), qt.Equals, int64(crossStreams))
	t.Logf("%d complete answers, %d callers disconnected", done.Load(), cancelled.Load())
}

// TestPoison sends a request that crashes engines repeatedly through both entries: it causes at most two crashes.
func TestPoison(t *testing.T) {
	w := newWorld(t)
	near, far := w.startEntry(t, "near"), w.startEntry(t, "far")
	var crashes atomic.Int64
	for i, name := range []string{"e1", "e2", "e3"} {
		b := startBackend(t, name, configurer.KindModel)
		b.pace, b.events = time.Millisecond, 40
		entry, addr := []string{"near", "far", "near"}[i], []string{near.Peers(), far.Peers(), near.Peers()}[i]
		b.fault = func(_ int, c *call) bool {
			if c.text() != "poison" || len(c.req.Header.Peek(marker.Resume)) > 0 {
				return false
			}
			crashes.Add(1)
			c.open()
			b.restart()
			w.assign(b.server(), entry, addr)
			return true
		}
		w.assign(b.server(), entry, addr)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for try := 0; ; try++ {
				text := fmt.Sprintf("innocent-%d-%d", i, try)
				a := post(t, []*Dispatcher{near, far}[i%2], "/v1/chat/completions", chat([]string{"a", "b", "c", "d"}[i%4], text, true))
				if a.outcome == "done" {
					return
				}
				if try == 20 {
					t.Errorf("innocent %d: %d %s", i, a.status, a.body)
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
	w := newWorld(t)
	near, far := w.startEntry(t, "near"), w.startEntry(t, "far")
	engine, orders := startBackend(t, "e1", configurer.KindModel), startBackend(t, "o1", configurer.KindPlain)
	engine.pace, engine.events = 2*time.Millisecond, 100
	var open sync.WaitGroup
	open.Add(20)
	orders.fault = func(n int, _ *call) bool {
		if n < 10 {
			open.Done()
			time.Sleep(50 * time.Millisecond)
		}
		return false
	}
	w.assign(engine.server(), "near", near.Peers())
	w.assign(orders.server(), "near", near.Peers())
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
		k := &talker{addr: near.Callers()}
		for {
			select {
			case <-stop:
				return
			default:
			}
			if body, outcome, err := k.ask("aaaa", false); err != nil {
				k.conn = nil
			} else if outcome != "done" {
				t.Errorf("busy caller: %s %s", outcome, body)
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	qt.Check(t, near.Close(ctx), qt.IsNil)
	close(stop)
	wg.Wait()
	busy.Wait()
	a := post(t, far, "/v1/chat/completions", chat("a", "x", true))
	qt.Check(t, a.outcome, qt.Equals, "done", qt.Commentf("%s", a.body))
	qt.Check(t, w.released, qt.HasLen, 2)
}
