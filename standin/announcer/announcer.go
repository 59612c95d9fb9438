package announcer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Interval is the time between two announcements.
const Interval = time.Second

// timeout bounds one announcement to one entry.
const timeout = 500 * time.Millisecond

// Server is what a backend server says of itself.
type Server struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	Batch       int    `json:"batch"`
	Fenced      bool   `json:"fenced"`
	Leaving     bool   `json:"leaving"`
}

// Announcer announces a server to one entry at a time; it goes on to the next when one doesn't answer.
type Announcer struct {
	entries []string
	state   func() Server
	client  *fasthttp.Client
	now     chan struct{}
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu   sync.Mutex
	next int
	sent int
}

// New starts to announce what state returns to the entries' callers' addresses; without entries it does nothing.
func New(entries []string, state func() Server) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		entries: entries,
		state:   state,
		client:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1, NoDefaultUserAgentHeader: true},
		now:     make(chan struct{}, 1),
		cancel:  cancel,
	}
	if len(entries) > 0 {
		a.wg.Go(func() { a.run(ctx) })
	}
	return a
}

// Now announces without waiting for the interval to pass.
func (a *Announcer) Now() {
	select {
	case a.now <- struct{}{}:
	default:
	}
}

// Sent returns the number of announcements that an entry took.
func (a *Announcer) Sent() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// Close stops the announcements.
func (a *Announcer) Close() {
	a.cancel()
	a.wg.Wait()
	a.client.CloseIdleConnections()
}

func (a *Announcer) run(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		a.announce()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.now:
		}
	}
}

// announce tries the entries in turn, from the one that answered last.
func (a *Announcer) announce() {
	body, err := json.Marshal(a.state())
	if err != nil {
		log.Error().Err(err).Msg("announcer: can't encode")
		return
	}
	var last error
	for range a.entries {
		if last = a.post(a.entries[a.next], body); last == nil {
			a.mu.Lock()
			a.sent++
			a.mu.Unlock()
			return
		}
		a.next = (a.next + 1) % len(a.entries)
	}
	log.Debug().Err(last).Msg("announcer: no entry answers")
}

func (a *Announcer) post(entry string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + "/v1/announce")
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := a.client.DoTimeout(req, resp, timeout); err != nil {
		return errors.Wrapf(err, "announce to %s", entry)
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return errors.Errorf("announce to %s: status %d", entry, code)
	}
	return nil
}
