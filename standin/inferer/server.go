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
	// Fenced makes the engine refuse orders with a stale fence number.
	Fenced bool
	// Lag is the age of the load report.
	Lag time.Duration
	// CacheLag is the delay of cache events; every CacheGap-th event is lost.
	CacheLag time.Duration
	CacheGap int
	// Cold makes the engine begin with a cold start.
	Cold  bool
	Model modeler.Config
	Seed  uint64
}

// Defaults of a Config.
const (
	defaultLag      = 500 * time.Millisecond
	defaultCacheLag = 2 * time.Second
	defaultCacheGap = 20
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

	mu          sync.Mutex
	engine      *modeler.Engine
	incarnation string
	starts      int
	fence       uint64
	streams     map[string]*stream
	last        identity // of the request that came last
	expiring    []expiry
	loading     map[string][]chan bool
	lagging     []sample
	cache       []cacheEvent
	cacheSeq    uint64
	ended       bool
	requests    int
}

// expiry says when a finished stream is dropped.
type expiry struct {
	attempt string
	at      time.Time
}

// New listens and announces the engine until Close; it fails if it can't listen.
func New(cfg Config, opts ...Option) (*Server, error) {
	if cfg.Lag == 0 {
		cfg.Lag = defaultLag
	}
	if cfg.CacheLag == 0 {
		cfg.CacheLag = defaultCacheLag
	}
	if cfg.CacheGap == 0 {
		cfg.CacheGap = defaultCacheGap
	}
	if cfg.Model.Keep == 0 {
		cfg.Model.Keep = keep
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
	s.engine.CrashOn(s.crashes)
	s.reset()
	if cfg.Cold {
		s.engine.Restart(time.Now())
	}
	s.httpd = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: quiet{}}
	s.wg.Go(func() { s.drive(ctx) })
	s.wg.Go(s.serve)
	s.announcer = announcer.New(cfg.Entries, s.announcement)
	return s, nil
}

// keep is the default time for which finished streams stay resumable.
const keep = 10 * time.Second

// quiet discards fasthttp's log lines about broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Addr returns the address that the engine listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the engine at once and waits for its goroutines.
func (s *Server) Close() error {
	s.announcer.Close()
	s.end()
	// Shutdown doesn't close the listener of a server that has not begun to serve.
	err := errors.Join(s.ln.Close(), s.httpd.Shutdown())
	s.wg.Wait()
	return err
}

// end fails all streams and loads and refuses new ones.
func (s *Server) end() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.dropAll()
}

// SetFaults replaces the injected faults; invalid ones are an error.
func (s *Server) SetFaults(f faulter.Faults) error {
	if err := s.faults.Set(f); err != nil {
		return err
	}
	s.mu.Lock()
	s.engine.SetSpeed(1 / max(f.Slow, 1))
	s.engine.FailLoads("", f.Loads)
	s.mu.Unlock()
	if f.Silent {
		s.ln.Silence()
	}
	return nil
}

// Faults returns the faults that were set last.
func (s *Server) Faults() faulter.Faults { return s.faults.Faults() }

// Leave announces that the engine is leaving; running and new requests are still served.
func (s *Server) Leave() {
	s.departure.Begin(time.Now())
	s.announcer.Now()
}

// Departure returns the counts of requests received after Leave.
func (s *Server) Departure() *responder.Departure { return &s.departure }

// Crash drops all connections, requests and adapters and restarts the engine cold.
func (s *Server) Crash() {
	s.mu.Lock()
	s.engine.Restart(time.Now())
	s.crashed()
	s.mu.Unlock()
	s.wakeUp()
}

// Evicted returns how many requests failed because their adapter was unloaded.
func (s *Server) Evicted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Evicted()
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

// crashes reports whether a request crashes the engine; s.mu is held.
func (s *Server) crashes(r modeler.Request) bool {
	st, ok := s.streams[r.ID]
	return ok && s.faults.Crashes(st.prompt)
}

// crashed drops all state after the engine restarted; s.mu is held.
func (s *Server) crashed() {
	log.Warn().Str("engine", s.cfg.Name).Msg("inferer: crashed")
	if s.exit != nil {
		s.exit()
	}
	s.ln.Drop()
	s.dropAll()
	s.reset()
}

func (s *Server) dropAll() {
	for _, st := range s.streams {
		st.end(failed)
	}
	for model := range s.loading {
		s.loadEnded(model, false)
	}
}

func (s *Server) reset() {
	s.starts++
	s.incarnation = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(s.starts)
	s.fence = 0
	s.streams = make(map[string]*stream)
	s.loading = make(map[string][]chan bool)
	s.lagging, s.cache, s.expiring = nil, nil, nil
	s.cacheSeq = 0
}

func (s *Server) announcement() announcer.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return announcer.Server{
		Name: s.cfg.Name, Kind: "model", Addr: s.Addr(), Zone: s.cfg.Zone, Service: s.cfg.Service,
		Incarnation: s.incarnation, Slots: s.engine.Slots(), Batch: s.engine.Batch(),
		Fenced: s.cfg.Fenced, Leaving: s.departure.HasBegun(),
	}
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// idle bounds the time between steps, so that load samples stay current.
const idle = 100 * time.Millisecond

// drive advances the engine in real time.
func (s *Server) drive(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
		}
		t.Reset(s.step())
	}
}

// step advances the engine to now and returns the time until the next step.
func (s *Server) step() time.Duration {
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
	next, ok := s.engine.Next()
	if !ok {
		return idle
	}
	return min(time.Until(next), idle)
}

func (s *Server) dispatch(ev modeler.Event) {
	switch ev.Kind {
	case modeler.Token:
		if st, ok := s.streams[ev.ID]; ok {
			st.add(ev.N)
		}
	case modeler.Finished, modeler.Failed:
		s.endStream(ev)
	case modeler.Loaded:
		s.loadEnded(ev.Model, true)
	case modeler.LoadFailed:
		s.loadEnded(ev.Model, false)
	case modeler.Crashed:
		s.crashed()
	case modeler.Cached:
		s.addCacheEvent(ev, "add")
	case modeler.Dropped:
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
	e := finished
	if ev.Kind == modeler.Failed {
		e = failed
	}
	st.end(e)
	s.expiring = append(s.expiring, expiry{attempt: ev.ID, at: ev.At.Add(s.cfg.Model.Keep)})
}

func (s *Server) loadEnded(model string, ok bool) {
	for _, ch := range s.loading[model] {
		ch <- ok
	}
	delete(s.loading, model)
}
