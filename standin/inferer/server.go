package inferer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"redwingstage.org/standin/announcer"
	"redwingstage.org/standin/faulter"
	"redwingstage.org/standin/modeler"
	"redwingstage.org/standin/responder"
)

// Config describes one engine.
type Config struct {
	Name    string
	Addr    string
	Zone    string
	Service string
	// Entries are the entries' addresses for callers, to which the engine announces itself.
	Entries []string
	// Fenced makes the engine refuse commands with a stale fence number.
	Fenced bool
	// LoadReportLag is the age of the load report.
	LoadReportLag time.Duration
	// CacheLag is the delay of cache events; every CacheLossEvery-th event is lost.
	CacheLag       time.Duration
	CacheLossEvery int
	// StartsCold makes the engine begin with a cold start.
	StartsCold bool
	Model      modeler.Config
	Seed       uint64
}

// Defaults of a Config.
const (
	defaultLoadReportLag  = 500 * time.Millisecond
	defaultCacheLag       = 2 * time.Second
	defaultCacheLossEvery = 20
)

// Option changes how a Server behaves.
type Option func(*Server)

// WithExit calls exit on a crash instead of restarting within the process.
func WithExit(exit func()) Option {
	return func(s *Server) { s.exit = exit }
}

// Server serves one simulated engine over HTTP.
type Server struct {
	cfg       Config
	exit      func()
	faults    faulter.Injector
	departure responder.Departure
	ln        *faulter.Listener
	httpd     *fasthttp.Server
	announcer *announcer.Announcer
	wake      chan struct{}
	cancel    context.CancelFunc
	closed    <-chan struct{}
	wg        conc.WaitGroup

	mu           sync.Mutex
	engine       *modeler.Engine
	incarnation  string
	starts       int
	highestFence uint64
	streams      map[string]*stream
	lastRequest  identity
	expiring     []expiry
	loadWaiters  map[string][]chan bool
	samples      []loadSample
	cacheLog     []cacheEvent
	cacheSeq     uint64
	stopped      bool
	requests     int
}

// expiry is the time at which a finished stream is dropped.
type expiry struct {
	attempt string
	at      time.Time
}

// New listens and announces the engine until Close; it fails if it can't listen.
func New(cfg Config, opts ...Option) (*Server, error) {
	if cfg.LoadReportLag == 0 {
		cfg.LoadReportLag = defaultLoadReportLag
	}
	if cfg.CacheLag == 0 {
		cfg.CacheLag = defaultCacheLag
	}
	if cfg.CacheLossEvery == 0 {
		cfg.CacheLossEvery = defaultCacheLossEvery
	}
	if cfg.Model.ResumeWindow == 0 {
		cfg.Model.ResumeWindow = defaultResumeWindow
	}
	cfg.Model.Base = cfg.Service
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := faulter.Listen(ctx, cfg.Addr)
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "engine %s", cfg.Name)
	}
	s := &Server{
		cfg: cfg, ln: ln, cancel: cancel, closed: ctx.Done(),
		wake:   make(chan struct{}, 1),
		engine: modeler.New(cfg.Model, cfg.Seed),
	}
	for _, o := range opts {
		o(s)
	}
	s.engine.CrashOn(s.shouldCrash)
	s.reset()
	if cfg.StartsCold {
		s.engine.Restart(time.Now())
	}
	s.httpd = &fasthttp.Server{Handler: s.route, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{}}
	s.wg.Go(func() { s.advanceLoop(ctx) })
	s.wg.Go(s.serve)
	s.announcer = announcer.New(cfg.Entries, s.announcement)
	return s, nil
}

// defaultResumeWindow is the default time for which finished streams stay resumable.
const defaultResumeWindow = 10 * time.Second

// discardLogger discards fasthttp's log lines about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Addr returns the address that the engine listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the engine at once and waits for its goroutines.
func (s *Server) Close() error {
	s.announcer.Close()
	s.stop()
	// Shutdown doesn't close the listener of a server that has not begun to serve.
	err := errors.Join(s.ln.Close(), s.httpd.Shutdown())
	s.wg.Wait()
	return err
}

// stop fails all streams and loads and refuses new ones.
func (s *Server) stop() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.failAll()
}

// SetFaults replaces the injected faults; invalid ones are an error.
func (s *Server) SetFaults(f faulter.Faults) error {
	if err := s.faults.Set(f); err != nil {
		return err
	}
	s.mu.Lock()
	s.engine.SetSpeed(1 / max(f.Slowdown, 1))
	s.engine.FailLoads("", f.FailingLoads)
	s.mu.Unlock()
	if f.Silent {
		s.ln.SilenceConns()
	}
	return nil
}

// Faults returns the faults that were set last.
func (s *Server) Faults() faulter.Faults { return s.faults.Faults() }

// Leave announces that the engine is leaving; running and new requests are still served.
func (s *Server) Leave() {
	s.departure.StartLeaving(time.Now())
	s.announcer.AnnounceNow()
}

// Departure returns the counts of requests before and after Leave.
func (s *Server) Departure() *responder.Departure { return &s.departure }

// Crash drops all connections, requests and adapters and restarts the engine cold.
func (s *Server) Crash() {
	s.mu.Lock()
	s.engine.Restart(time.Now())
	s.onCrash()
	s.mu.Unlock()
	s.wakeUp()
}

// EvictedRequests returns how many requests failed because their adapter was unloaded.
func (s *Server) EvictedRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.EvictedRequests()
}

// Requests returns the number of accepted generation requests.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *Server) serve() {
	if err := s.httpd.Serve(s.ln); err != nil {
		log.Debug().Str("engine", s.cfg.Name).Err(err).Msg("inferer: stopped serving")
	}
}

// shouldCrash reports whether a request crashes the engine; s.mu is held.
func (s *Server) shouldCrash(r modeler.Request) bool {
	st, ok := s.streams[r.ID]
	return ok && s.faults.Crashes(st.prompt)
}

// onCrash drops all state after the engine restarted; s.mu is held.
func (s *Server) onCrash() {
	log.Warn().Str("engine", s.cfg.Name).Msg("inferer: crashed")
	if s.exit != nil {
		s.exit()
	}
	s.ln.CloseConns()
	s.failAll()
	s.reset()
}

func (s *Server) failAll() {
	for _, st := range s.streams {
		st.end(failed)
	}
	for model := range s.loadWaiters {
		s.finishLoad(model, false)
	}
}

func (s *Server) reset() {
	s.starts++
	s.incarnation = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(s.starts)
	s.highestFence = 0
	s.streams = make(map[string]*stream)
	s.loadWaiters = make(map[string][]chan bool)
	s.samples, s.cacheLog, s.expiring = nil, nil, nil
	s.cacheSeq = 0
}

func (s *Server) announcement() announcer.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return announcer.Announcement{
		Name: s.cfg.Name, Kind: "model", Addr: s.Addr(), Zone: s.cfg.Zone, Service: s.cfg.Service,
		Incarnation: s.incarnation, Slots: s.engine.Slots(), Batch: s.engine.Batch(),
		Fenced: s.cfg.Fenced, Leaving: s.departure.IsLeaving(),
	}
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maxStepWait bounds the time between steps, so that load samples stay current.
const maxStepWait = 100 * time.Millisecond

// advanceLoop advances the engine in real time.
func (s *Server) advanceLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
		}
		t.Reset(s.advance())
	}
}

// advance advances the engine to now and returns the time until the next call.
func (s *Server) advance() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, ev := range s.engine.Advance(now) {
		s.dispatch(ev)
	}
	for len(s.expiring) > 0 && !now.Before(s.expiring[0].at) {
		delete(s.streams, s.expiring[0].attempt)
		s.expiring = s.expiring[1:]
	}
	s.addSample(now)
	next, ok := s.engine.NextEventAt()
	if !ok {
		return maxStepWait
	}
	return min(time.Until(next), maxStepWait)
}

func (s *Server) dispatch(ev modeler.Event) {
	switch ev.Kind {
	case modeler.Token:
		if st, ok := s.streams[ev.ID]; ok {
			st.setTokens(ev.N)
		}
	case modeler.Finished, modeler.Failed:
		s.endStream(ev)
	case modeler.Loaded:
		s.finishLoad(ev.Model, true)
	case modeler.LoadFailed:
		s.finishLoad(ev.Model, false)
	case modeler.Crashed:
		s.onCrash()
	case modeler.Cached:
		s.addCacheEvent(ev, "add")
	case modeler.Evicted:
		s.addCacheEvent(ev, "drop")
	case modeler.Ready:
		log.Info().Str("engine", s.cfg.Name).Msg("inferer: ready")
	}
}

func (s *Server) endStream(ev modeler.Event) {
	st, ok := s.streams[ev.ID]
	if !ok {
		return
	}
	state := finished
	if ev.Kind == modeler.Failed {
		state = failed
	}
	st.end(state)
	s.expiring = append(s.expiring, expiry{attempt: ev.ID, at: ev.At.Add(s.cfg.Model.ResumeWindow)})
}

func (s *Server) finishLoad(model string, ok bool) {
	for _, ch := range s.loadWaiters[model] {
		ch <- ok
	}
	delete(s.loadWaiters, model)
}
