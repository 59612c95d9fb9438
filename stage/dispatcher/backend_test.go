package dispatcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/standin/launcher"
)

// backend is a backend server that speaks the published protocol, keeps a ledger of the calls that ran, and injects faults.
type backend struct {
	t    testing.TB
	kind configurer.Kind
	name string
	addr string
	// fault may inject a fault into the n-th call that may run, counted from 0; it reports whether it did.
	fault func(n int, c *call) bool
	// stockFault is the same for calls that may be repeated.
	stockFault func(c *call) bool
	// loadFault may inject a fault into an order; it reports whether it did.
	loadFault func(c *call) bool
	// eventInterval is the time between events.
	eventInterval time.Duration
	eventCount    int
	// skipLedger turns the ledger off for generations.
	skipLedger bool

	mu          sync.Mutex
	ln, killed  net.Listener
	conns       map[net.Conn]bool
	incarnation int
	calls       int
	ledger      []ledgerEntry
	resident    map[string]bool
	running     map[string]*stream
	cancelled   map[string]bool
	// suspended is set by suspend, and closed when the process continues.
	suspended chan struct{}
	wg        sync.WaitGroup
}

// ledgerEntry is a line of the ledger: a call that ran.
type ledgerEntry struct{ key, request, attempt, body string }

// call is one request as the backend read it.
type call struct {
	*backend
	conn    net.Conn
	req     *fasthttp.Request
	attempt string
	model   string
}

// stream is a generation, which runs whether or not a connection reads it.
type stream struct {
	events [][]byte
	stop   chan struct{}
}

func startBackend(t testing.TB, name string, kind configurer.Kind) *backend {
	b := &backend{
		t: t, name: name, kind: kind, conns: make(map[net.Conn]bool), resident: make(map[string]bool),
		running: make(map[string]*stream), cancelled: make(map[string]bool), eventCount: 8,
	}
	addr, err := launcher.FreeAddr(context.Background())
	qt.Assert(t, err, qt.IsNil)
	b.listen(addr)
	t.Cleanup(func() {
		b.kill()
		b.wg.Wait()
	})
	return b
}

func (b *backend) listen(addr string) {
	ln, err := net.Listen("tcp", addr)
	qt.Assert(b.t, err, qt.IsNil)
	b.mu.Lock()
	b.ln, b.addr = ln, ln.Addr().String()
	b.incarnation++
	clear(b.resident)
	clear(b.running)
	b.mu.Unlock()
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !b.register(ln, c) {
				return
			}
			b.wg.Add(1)
			go b.serve(c)
		}
	}()
}

// register adds a connection; it returns false and closes the connection if the process that accepted it was killed.
func (b *backend) register(ln net.Listener, c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.killed == ln {
		_ = c.Close()
		return false
	}
	b.conns[c] = true
	return true
}

// kill ends the process: listener, connections and generations.
func (b *backend) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.ln.Close()
	b.killed = b.ln
	for c := range b.conns {
		_ = c.Close()
	}
	for _, s := range b.running {
		s.halt()
	}
}

func (b *backend) restart() {
	b.kill()
	b.listen(b.addr)
}

// suspend stops the process for d: connections stay open, nothing is answered.
func (b *backend) suspend(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	suspended := make(chan struct{})
	b.suspended = suspended
	time.AfterFunc(d, func() { close(suspended) })
}

func (b *backend) waitResumed() {
	b.mu.Lock()
	suspended := b.suspended
	b.mu.Unlock()
	if suspended != nil {
		<-suspended
	}
}

func (s *stream) halt() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

func (b *backend) server() registrar.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	service := "orders"
	if b.kind == configurer.KindModel {
		service = "base"
	}
	return registrar.Server{
		Name: b.name, Kind: b.kind, Addr: b.addr, Zone: "z", Service: service,
		Incarnation: strconv.Itoa(b.incarnation), Slots: 4, Batch: 256, Fenced: true,
	}
}

func (b *backend) serve(c net.Conn) {
	defer b.wg.Done()
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req := &fasthttp.Request{}
		if err := req.Read(br); err != nil {
			return
		}
		k := &call{backend: b, conn: c, req: req, attempt: string(req.Header.Peek(marker.Attempt))}
		if !k.answer() {
			return
		}
	}
}

// answer answers the call; it reports whether the connection stays open.
func (c *call) answer() bool {
	c.waitResumed()
	path := string(c.req.URI().Path())
	switch path {
	case "/load":
		return c.load()
	case "/v1/load_lora_adapter", "/v1/unload_lora_adapter":
		var o struct {
			Name string `json:"lora_name"`
		}
		_ = json.Unmarshal(c.req.Body(), &o)
		if c.loadFault != nil && c.loadFault(c) {
			return false
		}
		c.mu.Lock()
		c.resident[o.Name] = path == "/v1/load_lora_adapter"
		c.mu.Unlock()
		return c.write(200, "{}")
	case "/v1/cancel":
		var o struct {
			Attempt string `json:"attempt"`
		}
		_ = json.Unmarshal(c.req.Body(), &o)
		c.mu.Lock()
		c.cancelled[o.Attempt] = true
		if s := c.running[o.Attempt]; s != nil {
			s.halt()
		}
		c.mu.Unlock()
		return c.write(200, "{}")
	}
	c.mu.Lock()
	n := c.calls
	if !strings.HasPrefix(path, "/stock") {
		c.calls++
	}
	c.mu.Unlock()
	if c.kind == configurer.KindModel {
		var o struct {
			Model string `json:"model"`
		}
		_ = json.Unmarshal(c.req.Body(), &o)
		c.model = o.Model
	}
	if c.fault != nil && !strings.HasPrefix(path, "/stock") && c.fault(n, c) {
		return false
	}
	if c.stockFault != nil && strings.HasPrefix(path, "/stock") && c.stockFault(c) {
		return false
	}
	if c.kind == configurer.KindModel {
		return c.generate()
	}
	c.run()
	return c.write(200, c.booked())
}

func (c *call) load() bool {
	c.mu.Lock()
	var resident []string
	for name, ok := range c.resident {
		if ok {
			resident = append(resident, name)
		}
	}
	b, _ := json.Marshal(map[string]any{"incarnation": strconv.Itoa(c.incarnation), "resident": resident, "serving": []string{}})
	c.mu.Unlock()
	return c.write(200, string(b))
}

// run adds the call to the ledger.
func (c *call) run() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger = append(c.ledger, ledgerEntry{
		key: string(c.req.Header.Peek(marker.IdempotencyKey)), request: string(c.req.Header.Peek(marker.RequestID)),
		attempt: c.attempt, body: string(c.req.Body()),
	})
}

func (c *call) booked() string {
	return fmt.Sprintf(`{"booked":%q,"by":%q}`, c.req.Body(), c.req.Header.Peek(marker.RequestID))
}

func (c *call) head(status int, attempt, extra string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range []string{marker.ResumedAttempt, marker.ResumeOffset} {
		if v := c.req.Header.Peek(name); len(v) > 0 {
			extra += fmt.Sprintf("%s: %s\r\n", name, v)
		}
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nRedwing-Attempt: %s\r\nRedwing-Incarnation: %d\r\nRedwing-Model: %s\r\n%s\r\n",
		status, attempt, c.incarnation, c.model, extra)
}

func (c *call) raw(s string) bool {
	_, err := c.conn.Write([]byte(s))
	return err == nil
}

func (c *call) write(status int, body string) bool {
	return c.raw(c.head(status, c.attempt, "Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body)
}

// generate streams events that contain the prompt; the generation continues when its connection breaks.
func (c *call) generate() bool {
	id, s, offset := c.open()
	if s == nil {
		return c.write(404, `{"error":{"type":"not_found"}}`)
	}
	return c.stream(id, s, offset, len(s.events))
}

// open starts a generation, or finds the one to resume.
func (c *call) open() (string, *stream, int) {
	id, offset := c.attempt, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	resumed := string(c.req.Header.Peek(marker.ResumedAttempt))
	if resumed != "" {
		id = resumed
		offset, _ = strconv.Atoi(string(c.req.Header.Peek(marker.ResumeOffset)))
	}
	s := c.running[id]
	if s != nil {
		return id, s, offset
	}
	isBase := !strings.Contains(c.model, "@")
	if resumed != "" || !isBase && !c.resident[c.model] {
		return id, nil, 0
	}
	s = &stream{stop: make(chan struct{})}
	c.running[id] = s
	for i := range c.eventCount {
		text := "end"
		if i < c.eventCount-1 {
			text = c.prompt() + "/" + strconv.Itoa(i) + " "
		}
		s.events = append(s.events, fmt.Appendf(nil, `{"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`, c.model, text))
	}
	if c.skipLedger {
		return id, s, 0
	}
	c.ledger = append(c.ledger, ledgerEntry{request: string(c.req.Header.Peek(marker.RequestID)), attempt: id, body: c.model})
	return id, s, 0
}

// prompt returns the prompt, which identifies the caller.
func (c *call) prompt() string {
	var o struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	_ = json.Unmarshal(c.req.Body(), &o)
	if len(o.Messages) == 0 {
		return "?"
	}
	return o.Messages[0].Content
}

// stream writes events from offset to limit, and the end marker after the last.
func (c *call) stream(id string, s *stream, offset, limit int) bool {
	head := strings.Replace(c.head(200, c.attempt, "Transfer-Encoding: chunked\r\n"), "application/json", "text/event-stream", 1)
	if !c.raw(head) {
		return false
	}
	for _, e := range s.events[offset:min(limit, len(s.events))] {
		select {
		case <-s.stop:
			return false
		case <-time.After(c.eventInterval):
		}
		if !c.event(id, string(e)) {
			return false
		}
	}
	if limit < len(s.events) {
		return true
	}
	c.mu.Lock()
	delete(c.running, id)
	c.mu.Unlock()
	return c.event(id, "[DONE]") && c.raw("0\r\n\r\n")
}

func (c *call) event(id, data string) bool {
	e := "id: " + id + "\ndata: " + data + "\n\n"
	return c.raw(strconv.FormatInt(int64(len(e)), 16) + "\r\n" + e + "\r\n")
}

// countRuns counts the ledger entries that f accepts.
func (b *backend) countRuns(f func(ledgerEntry) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.ledger {
		if f(e) {
			n++
		}
	}
	return n
}
