package controller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/registrar"
)

// Keepalive and timeouts of the listeners, and paths of the metrics listener.
const (
	pingInterval      = 5 * time.Second
	pingTimeout       = 3 * time.Second
	readHeaderTimeout = 2 * time.Second
	// drainTimeout bounds the wait for operators' calls at a shutdown, most of which wait for a change to be in force.
	drainTimeout   = 20 * time.Second
	minTokenLength = 16
	healthPath     = "/healthz"
	readyPath      = "/readyz"
	metricsPath    = "/metrics"
)

// Log is the replicated log whose commands a Controller applies.
type Log interface {
	// Propose appends a command and returns the result of applying it.
	Propose(ctx context.Context, cmd []byte) (runner.Result, error)
	// ReadBarrier returns nil once a quorum has confirmed that this replica leads.
	ReadBarrier(ctx context.Context) error
	// Status returns this replica's view of the group.
	Status() runner.Status
	// AddMember adds a replica, which first catches up as a learner.
	AddMember(ctx context.Context, m runner.Member) error
	// RemoveMember removes a replica.
	RemoveMember(ctx context.Context, id uint64) error
	// Close stops the replica and waits for it.
	Close() error
}

// Token is an operator's bearer token.
type Token struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// Config identifies a replica and holds its settings.
type Config struct {
	// ID identifies the replica; one that lost its disk must rejoin under a new ID.
	ID uint64
	// Cluster names the group of replicas.
	Cluster string
	// Addr is the listen address for entries and other replicas, as ip:port.
	Addr string
	// OperatorsAddr is the operators' API listen address, none if empty.
	OperatorsAddr string
	// TLS secures the operators' API, which is plain HTTP if nil.
	TLS *tls.Config
	// MetricsAddr is the listen address for metrics and health, none if empty.
	MetricsAddr string
	// DataFolder is the data folder.
	DataFolder string
	// Members are the initial replicas of a new group, including this one, or those of a running group that it joins.
	Members []runner.Member
	// Tokens are the operators' tokens.
	Tokens []Token
	// Store holds the weight store's limits.
	Store registrar.StoreLimits
}

// Option configures a Controller.
type Option func(*Controller)

// WithLogger sets where the controller logs.
func WithLogger(l *log.Logger) Option { return func(c *Controller) { c.logger = l } }

// WithLog replaces the replicated log, for tests.
func WithLog(open func(m runner.StateMachine) (Log, error)) Option {
	return func(c *Controller) { c.open = open }
}

// Controller is one running replica of the control process.
type Controller struct {
	cfg        Config
	logger     *log.Logger
	open       func(m runner.StateMachine) (Log, error)
	clock      func() time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	wg         conc.WaitGroup
	machine    *machine
	log        Log
	hub        *hub
	peerServer *http.Server
	// forwardedCalls counts the calls in progress that other replicas forwarded to this one.
	forwardedCalls atomic.Int64
	metricsServer  *http.Server
	api            *fiber.App
	tokens         map[tokenHash]string
	metrics        *metrics
	reg            *prometheus.Registry
}

// New starts a replica; all its listeners are open when it returns.
func New(cfg Config, opts ...Option) (*Controller, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, logger: &log.DefaultLogger, machine: newMachine(), reg: prometheus.NewRegistry(), clock: time.Now}
	c.open = c.openLog
	for _, opt := range opts {
		opt(c)
	}
	c.metrics = newMetrics(c.reg)
	c.tokens = hashTokens(cfg.Tokens)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.start(); err != nil {
		c.cancel()
		return nil, err
	}
	return c, nil
}

func (cfg Config) check() error {
	switch {
	case cfg.ID == 0:
		return errors.New("control settings: id must be at least 1")
	case cfg.Addr == "":
		return errors.New("control settings: addr is missing")
	}
	seen := make(map[string]bool)
	for i, t := range cfg.Tokens {
		switch {
		case t.Name == "":
			return errors.Errorf("control settings: tokens[%d].name is missing", i)
		case len(t.Token) < minTokenLength:
			return errors.Errorf("control settings: tokens[%d].token has fewer than %d characters", i, minTokenLength)
		case seen[t.Token]:
			return errors.Errorf("control settings: tokens[%d].token stands twice", i)
		}
		seen[t.Token] = true
	}
	return nil
}

func hasMember(members []runner.Member, id uint64) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// start opens the listeners first, so that an address in use is found before the data folder is touched.
func (c *Controller) start() error {
	var lc net.ListenConfig
	var listeners []net.Listener
	fail := func(err error) error {
		for _, l := range listeners {
			_ = l.Close()
		}
		return err
	}
	for _, addr := range []string{c.cfg.Addr, c.cfg.OperatorsAddr, c.cfg.MetricsAddr} {
		if addr == "" {
			listeners = append(listeners, noListener{})
			continue
		}
		l, err := lc.Listen(c.ctx, "tcp", addr)
		if err != nil {
			return fail(errors.Wrapf(err, "control: listen on %s", addr))
		}
		listeners = append(listeners, l)
	}
	mux := http.NewServeMux()
	if err := c.openState(mux); err != nil {
		return fail(err)
	}
	c.registerHandlers(mux)
	c.peerServer = encoder.NewServer(mux)
	c.peerServer.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout, WriteByteTimeout: pingInterval}
	c.spawn(func() { c.hub.run(c.ctx) })
	c.serve(c.peerServer, listeners[0])
	if c.cfg.OperatorsAddr != "" {
		c.api = c.newAPI()
		l := listeners[1]
		if c.cfg.TLS != nil {
			l = tls.NewListener(l, c.cfg.TLS)
		}
		c.spawn(func() { c.serveAPI(l) })
	}
	if c.cfg.MetricsAddr != "" {
		c.metricsServer = c.newMetricsServer()
		c.serve(c.metricsServer, listeners[2])
	}
	return nil
}

// noListener takes the place of a listener that isn't configured.
type noListener struct{ net.Listener }

// Close implements net.Listener.
func (noListener) Close() error { return nil }

// openState opens the log and creates the hub.
func (c *Controller) openState(mux *http.ServeMux) error {
	var err error
	if c.log, err = c.open(c.machine); err != nil {
		return errors.Wrap(err, "control: open log")
	}
	if h, ok := c.log.(interface{ Handler() (string, http.Handler) }); ok {
		path, handler := h.Handler()
		mux.Handle(path, handler)
	}
	c.hub = &hub{
		log: c.log, machine: c.machine, limits: c.cfg.Store, clock: c.clock, logger: c.logger, metrics: c.metrics,
		ctx: c.ctx, spawn: c.spawn, events: make(chan func(now time.Time), maxQueuedEvents),
		live: spreader.New(), sessions: make(map[uint64]*session), links: make(map[uint64]*linkPeer),
	}
	c.hub.dial = c.hub.dialLeader
	return nil
}

// serve runs an HTTP server until Close.
func (c *Controller) serve(srv *http.Server, l net.Listener) {
	c.spawn(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.logger.Error().Err(err).Str("addr", l.Addr().String()).Msg("control: listener ended")
		}
	})
}

// newMetricsServer returns the metrics server.
func (c *Controller) newMetricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(c.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc(healthPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc(readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if c.log.Status().Leader == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}

func (c *Controller) spawn(f func()) { c.wg.Go(f) }

// handOverAndDrain transfers leadership and drains calls. Entries reconnect to other replicas and repeat unanswered calls there;
// operators' calls that this replica accepted are finished through the new leader.
func (c *Controller) handOverAndDrain() error {
	c.hub.post(c.ctx, func(time.Time) { c.hub.shuttingDown = true })
	if l, ok := c.log.(interface{ HandOver() }); ok {
		l.HandOver()
	}
	c.hub.post(c.ctx, func(time.Time) { c.hub.closeAll() })
	var err error
	if c.api != nil {
		err = c.api.ShutdownWithTimeout(drainTimeout)
	}
	for until := time.Now().Add(drainTimeout); c.forwardedCalls.Load() > 0 && time.Now().Before(until); {
		time.Sleep(leaderPollInterval)
	}
	return err
}

// Close transfers leadership, drains open calls, and stops streams, listeners and the log; it waits for all of them.
func (c *Controller) Close() error {
	err := c.handOverAndDrain()
	if e := c.log.Close(); e != nil {
		err = errors.Join(err, e)
	}
	c.cancel()
	for _, srv := range []*http.Server{c.peerServer, c.metricsServer} {
		if srv == nil {
			continue
		}
		if e := srv.Close(); e != nil {
			err = errors.Join(err, e)
		}
	}
	c.wg.Wait()
	return err
}
