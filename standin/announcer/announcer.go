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

// Interval is the time between periodic announcements.
const Interval = time.Second

// timeout bounds one announcement to one entry.
const timeout = 500 * time.Millisecond

// Announcement describes a backend server to an entry.
type Announcement struct {
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

// Announcer announces a server to one entry; when an announcement fails, it tries the next entry.
type Announcer struct {
	entries []string
	state   func() Announcement
	client  *fasthttp.Client
	trigger chan struct{}
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu        sync.Mutex
	nextEntry int
	accepted  int
}

// New starts announcing the result of state to the entries' addresses for callers; without entries it does nothing.
func New(entries []string, state func() Announcement) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		entries: entries,
		state:   state,
		client:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1, NoDefaultUserAgentHeader: true},
		trigger: make(chan struct{}, 1),
		cancel:  cancel,
	}
	if len(entries) > 0 {
		a.wg.Go(func() { a.run(ctx) })
	}
	return a
}

// AnnounceNow triggers an announcement without waiting for the interval.
func (a *Announcer) AnnounceNow() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

// Accepted returns the number of announcements that entries accepted.
func (a *Announcer) Accepted() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted
}

// Close stops announcing and waits for the announcement in progress.
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
		case <-a.trigger:
		}
	}
}

// announce tries each entry once, starting with the one that last accepted an announcement.
func (a *Announcer) announce() {
	body, err := json.Marshal(a.state())
	if err != nil {
		log.Error().Err(err).Msg("announcer: encode announcement")
		return
	}
	var lastErr error
	for range a.entries {
		if lastErr = a.post(a.entries[a.nextEntry], body); lastErr == nil {
			a.mu.Lock()
			a.accepted++
			a.mu.Unlock()
			return
		}
		a.nextEntry = (a.nextEntry + 1) % len(a.entries)
	}
	log.Debug().Err(lastErr).Msg("announcer: no entry accepted the announcement")
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
