package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["termination"] = termination }

const (
	host  = "ficu95.example"
	model = "daka510000"
	// pause is the engine's time for one event of a stream, below the sheet's 400 ms.
	pause = 330 * time.Millisecond
	// events is the mean number of events of a stream of mesh-advice.
	events = 17
	// clientPause is the time between an answer and the client's next request on the connection.
	clientPause = 300 * time.Millisecond
)

// document is a configuration with the routes and services of the co-op's sheet.
func document() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-advice", "host": host, "path_prefix": "/pufi791/", "kind": "stream", "timeout_ms": 20000, "latency_target_ms": 1000, "priority": 0, "service": "asesor", "attempts": 1, "sticky": true, "can_resume": false, "gap_target_ms": 400},
			{"name": "r-book", "host": host, "path_prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 6000, "latency_target_ms": 100, "priority": 2, "service": "pedidos", "attempts": 1},
			{"name": "r-check", "host": host, "path_prefix": "/cufi504/", "kind": "safe", "timeout_ms": 6000, "latency_target_ms": 100, "priority": 2, "service": "pedidos", "attempts": 2},
		},
		"services": []map[string]any{
			{"name": "asesor", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 222663, "kv_token_bytes": 163840, "link_mbps": 130000.0, "moves": true, "backups": true, "stride": 4,
				"cap": 12, "host_mb": 150000.0, "disk_mb": 450000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models":     []map[string]any{{"name": model, "weights_mb": 72700.0, "load_s": 4.3, "adapters": 3000, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 1.7}},
				"weights_mb": 75300.0, "adapter_slots": 17, "loads_per_s": 2.8,
			}},
			{"name": "pedidos", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
	}
}

func baseModel() []map[string]any {
	return []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
}

// runs are the requests that engines began and ended, by id.
type runs struct {
	mu           sync.Mutex
	began, ended map[string]time.Time
	brokenOff    map[string]bool
}

func newRuns() *runs {
	return &runs{began: make(map[string]time.Time), ended: make(map[string]time.Time), brokenOff: make(map[string]bool)}
}

// stream answers with events at a steady pace.
func (r *runs) stream(e *engine, c net.Conn, req *http.Request, _ []byte) bool {
	id := req.Header.Get("Attempt-Id")
	r.mu.Lock()
	r.began[id] = time.Now()
	r.mu.Unlock()
	e.lab.note("engine %s runs %s, deadline %s ms", e.id, id, req.Header.Get("Request-Deadline"))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= events && err == nil; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %050d\n\n", n, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[id] = time.Now()
	if err != nil {
		r.brokenOff[id] = true
		e.lab.note("engine %s: the caller has left %s: %v", e.id, id, err)
		return false
	}
	e.lab.note("engine %s ends %s", e.id, id)
	return true
}

// streamClient sends two requests on one kept connection.
type streamClient struct {
	lab  *lab
	name string
	addr string
}

// answer is what a client saw of one request.
type answer struct {
	id           string
	sent, ended  time.Time
	status       int
	close, whole bool
	events       int
	err          error
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, %d events, whole %v, %v", a.id, a.status, a.events, a.whole, a.err)
}

func (s *streamClient) ask(c net.Conn, br *bufio.Reader, id string) answer {
	a := answer{id: id}
	body := strings.Repeat("x", 1300)
	_, a.err = fmt.Fprintf(c, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: %s\r\nToken-Usage: 646,68\r\nPrompt-Prefix: 5c1e07a2:93,91bd3f06:62,%x:491\r\nRequest-Deadline: 20000\r\nContent-Length: %d\r\n\r\n%s",
		host, id, model, id, len(body), body)
	a.sent = time.Now()
	s.lab.note("client %s sent %s", s.name, id)
	if a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	a.status, a.close = resp.StatusCode, resp.Close
	data, err := io.ReadAll(resp.Body)
	a.events, a.err, a.ended, a.whole = strings.Count(string(data), "\n\n"), err, time.Now(), err == nil
	s.lab.note("client %s got %s", s.name, a)
	return a
}

// termination stops an entry while clients use kept connections.
func termination(l *lab) (int, error) {
	controls, fronts, err := l.deploy(3, 2, document())
	if err != nil {
		return cannot, err
	}
	r := newRuns()
	for i := range 3 {
		if _, err := l.engine("i-asesor"+strconv.Itoa(i), "asesor", "talca-a", 64, baseModel(), controls, r.stream); err != nil {
			return cannot, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	// The first answers end between 2.6 and 2.9 s after the signal.
	start := time.Now()
	signalAt := start.Add(events*pause - 2850*time.Millisecond)
	const clients = 6
	answers := make([][]answer, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := &streamClient{lab: l, name: strconv.Itoa(i), addr: fronts[0].ip + ":8149"}
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			c, err := net.DialTimeout("tcp", s.addr, time.Second)
			if err != nil {
				l.note("client %s: %v", s.name, err)
				return
			}
			defer c.Close()
			br := bufio.NewReader(c)
			for n := range 2 {
				a := s.ask(c, br, fmt.Sprintf("%02d%02d9c41d07be2a3", i, n))
				answers[i] = append(answers[i], a)
				if a.err != nil || a.close {
					return
				}
				time.Sleep(clientPause)
			}
		}()
	}
	time.Sleep(time.Until(signalAt))
	term := time.Now()
	if l.trouble {
		l.note("%s gets SIGTERM", fronts[0].name)
		fronts[0].stop(syscall.SIGTERM)
		time.AfterFunc(8*time.Second, func() {
			l.note("%s gets SIGKILL, if it still runs", fronts[0].name)
			fronts[0].signal(syscall.SIGKILL)
		})
	}
	wg.Wait()
	return judgeTermination(l, r, answers, term)
}

// judgeTermination applies LOST: a request sent later than 3 s after the signal was passed on, its engine went on, and its
// connection ended without a complete answer before the deadline.
func judgeTermination(l *lab, r *runs, answers [][]answer, term time.Time) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second, lost := 0, 0
	for _, list := range answers {
		for n, a := range list {
			began, ran := r.began[a.id]
			if n > 0 {
				second++
			}
			switch {
			case a.err == nil, errors.Is(a.err, syscall.EPIPE), !ran:
			case l.trouble && a.sent.Sub(term) <= 3*time.Second:
				l.note("excused: %s was sent %.3f s after the signal", a.id, a.sent.Sub(term).Seconds())
			case a.ended.Sub(a.sent) < 19*time.Second:
				lost++
				l.note("LOST: %s was sent %.3f s after the signal, ran at an engine %.3f s later, and its connection ended %.3f s after the signal with %d of %d events: %v",
					a.id, a.sent.Sub(term).Seconds(), began.Sub(a.sent).Seconds(), a.ended.Sub(term).Seconds(), a.events, events, a.err)
			}
		}
	}
	l.note("%d second requests, %d lost", second, lost)
	if lost > 0 {
		return broken, nil
	}
	if !l.trouble && second == 0 {
		return cannot, errors.New("no client sent a second request")
	}
	return held, nil
}
