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
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// deadly is the last part of the prompt that crashes engines, the part that belongs to the request itself.
	deadly = "deadbeef"
	// downtime is how long a crashed engine is away.
	downtime = 3 * time.Second
	// jobEvery is the interval of the batch jobs, retryAfter their pause before their one retry.
	jobEvery   = 62 * time.Second
	retryAfter = time.Second
	// contact is contact_ms.
	contact = 3 * time.Second
)

// crashes are the ends of engines by the deadly request.
type crashes struct {
	mu      sync.Mutex
	arrived []time.Time
	ended   []time.Time
	number  atomic.Int64
}

// engine starts an engine at addr, or at a new address if that is empty; it crashes on the deadly request if trouble is set, and
// is back after downtime.
func (k *crashes) start(l *lab, controls []*proc, zone string) error {
	var running func(e *engine, c net.Conn, req *http.Request, body []byte) bool
	running = func(e *engine, c net.Conn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("Attempt-Id")
		if strings.Contains(req.Header.Get("Prompt-Prefix"), deadly) {
			k.mu.Lock()
			k.arrived = append(k.arrived, time.Now())
			k.mu.Unlock()
			l.note("engine %s begins the deadly request %s", e.id, id)
			time.Sleep(20 * time.Millisecond)
			if l.trouble {
				k.mu.Lock()
				k.ended = append(k.ended, time.Now())
				k.mu.Unlock()
				l.note("engine %s crashes", e.id)
				e.end()
				time.AfterFunc(downtime, func() {
					if _, err := l.engineAt(e.addr, "i-asesor"+strconv.FormatInt(k.number.Add(1), 10), "asesor", zone, 64, baseModel(), controls, running); err != nil {
						l.note("engine: %v", err)
					}
				})
				return false
			}
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for n := 1; n <= events && err == nil; n++ {
			time.Sleep(60 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: %050d\n\n", n, n)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		return err == nil
	}
	_, err := l.engineAt("", "i-asesor"+strconv.FormatInt(k.number.Add(1), 10), "asesor", zone, 64, baseModel(), controls, running)
	return err
}

// askOnce sends one request on a new connection and returns its status and whether its answer is whole.
func askOnce(addr, path, id, last string) (status int, whole bool, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	body := strings.Repeat("x", 1300)
	if _, err := fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: %s\r\nToken-Usage: 646,68\r\nPrompt-Prefix: 5c1e07a2:93,91bd3f06:62,%s:491\r\nRequest-Deadline: 6000\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, model, last, len(body), body); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK, err
}

// poison lets two batch jobs send the same deadly request once a minute, with one retry each.
func poison(l *lab) (int, error) {
	doc := document()
	doc["routes"] = append(doc["routes"].([]map[string]any), map[string]any{
		"name": "r-quick", "host": host, "path_prefix": "/lohu930/", "kind": "stream", "timeout_ms": 6000, "latency_target_ms": 600,
		"priority": 1, "service": "asesor", "attempts": 2, "sticky": true, "can_resume": true, "gap_target_ms": 400,
	})
	controls, fronts, err := l.deploy(3, 2, doc)
	if err != nil {
		return cannot, err
	}
	k := &crashes{}
	for i := range 8 {
		if err := k.start(l, controls, []string{"talca-a", "talca-b"}[i%2]); err != nil {
			return cannot, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var whole, cut atomic.Int64
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("b%02d%04d", i, n)
				// These streams may not be resumed.
				status, ok, err := askOnce(fronts[i%2].ip+":8149", "/pufi791/", id, id)
				if ok {
					whole.Add(1)
				} else {
					cut.Add(1)
					l.note("bystander %s: status %d, %v", id, status, err)
				}
			}
		}()
	}
	start := time.Now()
	for round := range 2 {
		time.Sleep(time.Until(start.Add(time.Duration(round) * jobEvery)))
		l.note("round %d of the jobs", round+1)
		var jobs sync.WaitGroup
		for i := range 2 {
			jobs.Add(1)
			go func() {
				defer jobs.Done()
				for try := range 2 {
					status, ok, err := askOnce(fronts[i].ip+":8149", "/lohu930/", fmt.Sprintf("d%d%d%d", round, i, try), deadly)
					l.note("job %d, try %d: status %d, whole %v, %v", i, try+1, status, ok, err)
					if ok || status == http.StatusServiceUnavailable {
						return
					}
					time.Sleep(retryAfter)
				}
			}()
		}
		jobs.Wait()
	}
	close(stop)
	wg.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	l.note("%d arrivals of the deadly request, %d crashes; bystanders: %d whole, %d not", len(k.arrived), len(k.ended), whole.Load(), cut.Load())
	if !l.trouble {
		if len(k.arrived) != 4 {
			return cannot, errors.New("not every job was served at its first try")
		}
		return held, nil
	}
	if len(k.ended) < 3 {
		return cannot, errors.New("fewer than three crashes")
	}
	late := 0
	for _, at := range k.arrived {
		if at.Sub(k.ended[2]) > contact {
			late++
		}
	}
	l.note("%d arrivals later than contact_ms after the third crash; three are allowed", late)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
