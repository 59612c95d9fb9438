package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/announcer"
	"redwingstage.org/standin/faulter"
	"redwingstage.org/standin/responder"
)

// Config describes one order service.
type Config struct {
	Name    string
	Addr    string
	Zone    string
	Service string
	// Entries are the entries' addresses for callers, to which the service announces itself.
	Entries []string
	// Batch is the largest number of concurrent calls.
	Batch int
	// CallTime is the time that one call takes.
	CallTime time.Duration
	// Folder is the data folder of the ledger; without one the ledger is in memory.
	Folder string
}

// defaultBatch is the default of Config.Batch.
const defaultBatch = 64

// initialStock is the number of units of each item at the start.
const initialStock = 1000

// Option changes how a Server behaves.
type Option func(*Server)

// WithExit calls exit on a crash instead of restarting within the process.
func WithExit(exit func()) Option {
	return func(s *Server) { s.exit = exit }
}

// Server serves the order service over HTTP.
type Server struct {
	cfg       Config
	exit      func()
	faults    faulter.Injector
	departure responder.Departure
	ledger    *ledger
	ln        *faulter.Listener
	httpd     *fasthttp.Server
	announcer *announcer.Announcer
	slots     chan struct{}
	cancel    context.CancelFunc
	closed    <-chan struct{}
	wg        conc.WaitGroup

	mu          sync.Mutex
	incarnation string
	starts      int
	lastReply   reply
	running     int
	waiting     int
	requests    int
}

// reply is an answer to one attempt.
type reply struct {
	attempt string
	status  int
	body    []byte
}

// New listens and announces the service until Close; it fails if it can't listen or open the ledger.
func New(cfg Config, opts ...Option) (*Server, error) {
	if cfg.Batch == 0 {
		cfg.Batch = defaultBatch
	}
	bookings, err := openLedger(cfg.Folder)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s", cfg.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := faulter.Listen(ctx, cfg.Addr)
	if err != nil {
		cancel()
		return nil, errors.Join(errors.Wrapf(err, "service %s", cfg.Name), bookings.close())
	}
	s := &Server{
		cfg: cfg, ln: ln, cancel: cancel, closed: ctx.Done(),
		slots:  make(chan struct{}, cfg.Batch),
		ledger: bookings,
	}
	for _, o := range opts {
		o(s)
	}
	s.reset()
	s.httpd = &fasthttp.Server{Handler: s.route, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{}}
	s.wg.Go(s.serve)
	s.announcer = announcer.New(cfg.Entries, s.announcement)
	return s, nil
}

// discardLogger discards fasthttp's log lines about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Addr returns the address that the service listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the service at once and waits for its goroutines.
func (s *Server) Close() error {
	s.announcer.Close()
	s.cancel()
	// Shutdown doesn't close the listener of a server that has not begun to serve.
	err := errors.Join(s.ln.Close(), s.httpd.Shutdown())
	s.wg.Wait()
	return errors.Join(err, s.ledger.close())
}

// SetFaults replaces the injected faults; invalid ones are an error.
func (s *Server) SetFaults(f faulter.Faults) error {
	if err := s.faults.Set(f); err != nil {
		return err
	}
	if f.Silent {
		s.ln.SilenceConns()
	}
	return nil
}

// Faults returns the faults that were set last.
func (s *Server) Faults() faulter.Faults { return s.faults.Faults() }

// Leave announces that the service is leaving; new calls are still served.
func (s *Server) Leave() {
	s.departure.StartLeaving(time.Now())
	s.announcer.AnnounceNow()
}

// Departure returns the counts of calls before and after Leave.
func (s *Server) Departure() *responder.Departure { return &s.departure }

// Crash drops all connections and restarts the service; the ledger is kept.
func (s *Server) Crash() {
	log.Warn().Str("service", s.cfg.Name).Msg("orderer: crashed")
	if s.exit != nil {
		s.exit()
	}
	// The incarnation changes before connections drop: a disconnected caller may call again at once.
	s.mu.Lock()
	s.reset()
	s.mu.Unlock()
	s.ln.CloseConns()
}

// Ledger returns the number of runs of each booking by key.
func (s *Server) Ledger() map[string]int { return s.ledger.runsByKey() }

// Requests returns the number of received order and stock calls.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *Server) serve() {
	if err := s.httpd.Serve(s.ln); err != nil {
		log.Debug().Str("service", s.cfg.Name).Err(err).Msg("orderer: stopped serving")
	}
}

func (s *Server) reset() {
	s.starts++
	s.incarnation = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(s.starts)
}

func (s *Server) announcement() announcer.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return announcer.Announcement{
		Name: s.cfg.Name, Kind: "plain", Addr: s.Addr(), Zone: s.cfg.Zone, Service: s.cfg.Service,
		Incarnation: s.incarnation, Batch: s.cfg.Batch, Leaving: s.departure.IsLeaving(),
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	ctx.Response.Header.Set(marker.Incarnation, s.incarnation)
	s.mu.Unlock()
	if a := ctx.Request.Header.Peek(marker.Attempt); len(a) > 0 {
		ctx.Response.Header.SetBytesV(marker.Attempt, a)
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	item, isStock := strings.CutPrefix(path, "/stock/")
	switch {
	case method == http.MethodPost && (path == "/bookings" || path == "/orders"):
		s.serveCall(ctx, s.book)
	case method == http.MethodGet && isStock && item != "":
		s.serveCall(ctx, func(string, *fasthttp.RequestCtx) reply { return s.checkStock(strings.Clone(item)) })
	case method == http.MethodGet && path == "/ledger":
		responder.WriteJSON(ctx, struct {
			Runs map[string]int `json:"runs"`
		}{s.Ledger()})
	case method == http.MethodGet && path == "/load":
		s.loadReport(ctx)
	case method == http.MethodGet && path == "/health":
	default:
		if !responder.ServeAdmin(ctx, s) {
			responder.WriteError(ctx, fasthttp.StatusNotFound, "not_found", "no such call")
		}
	}
}

// serveCall acquires a slot, runs the call and writes its answer with the injected faults.
func (s *Server) serveCall(ctx *fasthttp.RequestCtx, run func(string, *fasthttp.RequestCtx) reply) {
	attempt := string(ctx.Request.Header.Peek(marker.Attempt))
	if !s.acquireSlot() {
		return
	}
	content := string(ctx.RequestURI()) + "\n" + string(ctx.PostBody())
	f := s.faults.Faults()
	s.pause(time.Duration(float64(s.cfg.CallTime) * max(f.Slowdown, 1)))
	r := run(attempt, ctx)
	r.attempt = attempt
	s.releaseSlot()
	if s.faults.Crashes(content) {
		s.Crash()
		return
	}
	fault, delay := s.faults.NextAnswer()
	r = s.swapMisrouted(r, fault)
	if fault == faulter.Late {
		s.pause(delay)
	}
	if fault == faulter.Misrouted {
		ctx.Response.Header.Set(marker.Attempt, r.attempt)
	}
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("application/json")
	ctx.SetBody(r.body)
	responder.InjectAnswerFault(ctx, fault)
}

// acquireSlot waits for a slot; false means that the server was closed.
func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	s.requests++
	s.waiting++
	s.mu.Unlock()
	s.departure.RecordWork(time.Now())
	acquired := true
	select {
	case s.slots <- struct{}{}:
	case <-s.closed:
		acquired = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if acquired {
		s.running++
	}
	return acquired
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}

// swapMisrouted returns the previous call's answer if the fault is Misrouted, and stores this one.
func (s *Server) swapMisrouted(r reply, fault faulter.AnswerFault) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastReply
	s.lastReply = r
	if fault != faulter.Misrouted {
		return r
	}
	if previous.body == nil {
		return reply{attempt: "crossed.0", status: r.status, body: []byte(`{"crossed":true}`)}
	}
	return previous
}

// pause waits for d or until the server is closed.
func (s *Server) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-s.closed:
	}
}

// book runs a booking without deduplicating by key, so that the ledger shows repeated runs.
func (s *Server) book(attempt string, ctx *fasthttp.RequestCtx) reply {
	var order struct {
		Item     string `json:"item"`
		Quantity int    `json:"quantity"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil || order.Item == "" || order.Quantity <= 0 {
		return reply{status: fasthttp.StatusUnprocessableEntity, body: []byte(`{"error":{"message":"item or quantity missing","type":"invalid_request_error"}}`)}
	}
	key := string(ctx.Request.Header.Peek(marker.IdempotencyKey))
	if key == "" {
		key = "attempt:" + attempt
	}
	runs, keys, err := s.ledger.add(bookingRun{Key: key, Item: order.Item, Quantity: order.Quantity})
	if err != nil {
		log.Error().Str("service", s.cfg.Name).Err(err).Msg("orderer: booking is not durable")
		return reply{status: fasthttp.StatusInternalServerError, body: []byte(`{"error":{"message":"the ledger failed","type":"server_error"}}`)}
	}
	return jsonReply(fasthttp.StatusCreated, struct {
		Booking  string `json:"booking"`
		Key      string `json:"key"`
		Item     string `json:"item"`
		Quantity int    `json:"quantity"`
		Runs     int    `json:"runs"`
		Server   string `json:"server"`
	}{fmt.Sprintf("%s-%d", s.cfg.Name, keys), key, order.Item, order.Quantity, runs, s.cfg.Name})
}

// checkStock returns the unsold units of an item and changes nothing.
func (s *Server) checkStock(item string) reply {
	return jsonReply(fasthttp.StatusOK, struct {
		Item   string `json:"item"`
		Left   int    `json:"left"`
		Server string `json:"server"`
	}{item, s.ledger.unsold(item), s.cfg.Name})
}

func jsonReply(status int, v any) reply {
	b, err := json.Marshal(v)
	if err != nil {
		return reply{status: fasthttp.StatusInternalServerError, body: []byte("{}")}
	}
	return reply{status: status, body: b}
}

func (s *Server) loadReport(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	responder.WriteJSON(ctx, struct {
		Incarnation string `json:"incarnation"`
		Running     int    `json:"running"`
		Waiting     int    `json:"waiting"`
		Leaving     bool   `json:"leaving"`
		AgeMS       int64  `json:"age_ms"`
	}{s.incarnation, s.running, s.waiting, s.departure.IsLeaving() && !s.faults.Faults().HideLeave, 0})
}
