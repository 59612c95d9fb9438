package receiver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/streamer"
)

const (
	maxHeaderBytes    = 16 << 10
	leasePollInterval = 20 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// Control is the part of the control role that the receiver uses.
type Control interface {
	Catalog() *configurer.Catalog
	Roster() *registrar.Roster
	LeaseEnd() time.Time
	Announce(s registrar.Server)
}

// Executor runs a request and writes its answer to sink.
type Executor interface {
	Execute(ctx context.Context, req *streamer.Request, sink streamer.Sink) streamer.End
}

// Config holds the limits of the listener for callers; zero values mean defaults.
type Config struct {
	// Entry and Incarnation identify this process in generated request IDs.
	Entry       string
	Incarnation uint64
	// MaxBody limits a request's body in bytes.
	MaxBody int
	// MaxConns limits the open connections.
	MaxConns int
	// MaxBuffered limits the bytes of all requests that are being read or handled; 0 means 512 MiB.
	MaxBuffered int64
	// MaxUnread limits the bytes buffered for a slow caller.
	MaxUnread int
	// ReadTimeout limits the time to read a whole request.
	ReadTimeout time.Duration
	// IdleTimeout limits how long a connection stays open without a request.
	IdleTimeout time.Duration
	// WriteTimeout limits each write to a caller.
	WriteTimeout time.Duration
	// LeaseWait limits how long a request waits until this entry's lease is renewed.
	LeaseWait time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxBody == 0 {
		c.MaxBody = 8 << 20
	}
	if c.MaxConns == 0 {
		c.MaxConns = 20_000
	}
	if c.MaxUnread == 0 {
		c.MaxUnread = 4 << 20
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = 30 * time.Second
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 60 * time.Second
	}
	if c.LeaseWait == 0 {
		c.LeaseWait = 2 * time.Second
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = 10 * time.Second
	}
	return c
}

// Deps holds the dependencies of a receiver.
type Deps struct {
	Control  Control
	Executor Executor
	Meter    *meter.Meter
	Log      *logger.Component
}

// Receiver is the HTTP server for callers.
type Receiver struct {
	Deps
	cfg           Config
	app           *fiber.App
	ctx           context.Context
	cancel        context.CancelFunc
	closing       atomic.Bool
	openRequests  atomic.Int64
	lastRequestID atomic.Uint64
	wg            conc.WaitGroup
	// keepBuffers is set by tests through reflection: use the HTTP library's buffers instead of copies.
	keepBuffers bool
	// memory bounds the bodies of all connections.
	memory *collector.Collector
}

// New starts a receiver on the listener.
func New(ln net.Listener, cfg Config, deps Deps) *Receiver {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	r := &Receiver{Deps: deps, cfg: cfg, ctx: ctx, cancel: cancel, memory: collector.NewWithBudget(cfg.MaxBuffered)}
	r.app = fiber.New(fiber.Config{
		BodyLimit: cfg.MaxBody, ReadBufferSize: maxHeaderBytes, ReadTimeout: cfg.ReadTimeout, IdleTimeout: cfg.IdleTimeout,
		Concurrency: cfg.MaxConns + 1, ErrorHandler: r.respondError, StrictRouting: true, CaseSensitive: true,
		StreamRequestBody: true, DisablePreParseMultipartForm: true,
	})
	r.registerRoutes()
	limited := newListener(ln, cfg.MaxConns, cfg.WriteTimeout)
	r.wg.Go(func() {
		err := r.app.Listener(limited, fiber.ListenConfig{DisableStartupMessage: true})
		if err != nil && !errors.Is(err, net.ErrClosed) {
			r.Log.Error("caller listener stopped", err)
		}
	})
	return r
}

func (r *Receiver) registerRoutes() {
	r.app.Use(r.collectBody)
	r.app.Post("/v1/chat/completions", r.countOpen(r.handleGeneration))
	r.app.Post("/v1/completions", r.countOpen(r.handleGeneration))
	r.app.Get("/v1/models", r.handleModels)
	r.app.Post("/v1/announce", r.handleAnnouncement)
	r.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendStatus(http.StatusOK) })
	r.app.Get("/readyz", r.handleReadiness)
	r.app.All("/services/:name", r.countOpen(r.handleService))
	r.app.All("/services/:name/*", r.countOpen(r.handleService))
	r.app.Use(func(c fiber.Ctx) error {
		return r.refuse(c, problem{status: http.StatusNotFound, code: "no_route", message: "nothing answers " + c.Method() + " " + c.Path()})
	})
}

// countOpen counts open requests, for which a shutdown waits.
func (r *Receiver) countOpen(h fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		r.openRequests.Add(1)
		defer r.openRequests.Add(-1)
		if r.closing.Load() {
			// Callers with keep-alive connections reconnect to another entry.
			c.RequestCtx().SetConnectionClose()
		}
		return h(c)
	}
}

// currentCatalog returns the current configuration, or nil if none was received or the lease has expired, when other
// entries may use a later one.
func (r *Receiver) currentCatalog() *configurer.Catalog {
	c := r.Control.Catalog()
	if c == nil || c.Revision() == 0 || !waiter.IsBefore(time.Now(), r.Control.LeaseEnd()) {
		return nil
	}
	return c
}

// awaitCatalog waits up to LeaseWait for a current configuration, such as during a change of the control leader.
func (r *Receiver) awaitCatalog() *configurer.Catalog {
	for end := time.Now().Add(r.cfg.LeaseWait); ; time.Sleep(leasePollInterval) {
		c := r.currentCatalog()
		if c != nil || r.closing.Load() || time.Now().After(end) {
			return c
		}
	}
}

// handleReadiness answers the readiness probe of the platform's load balancer.
func (r *Receiver) handleReadiness(c fiber.Ctx) error {
	if r.closing.Load() || r.currentCatalog() == nil || r.Control.Roster() == nil {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	return c.SendStatus(http.StatusOK)
}

// StartDraining fails the readiness probe; requests are still served.
func (r *Receiver) StartDraining() { r.closing.Store(true) }

// WaitIdle returns once no request is open or ctx is done.
func (r *Receiver) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for r.openRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close accepts no new connections, cancels open requests once ctx is done and waits for all goroutines.
func (r *Receiver) Close(ctx context.Context) error {
	r.StartDraining()
	err := r.app.ShutdownWithContext(ctx)
	r.cancel()
	r.wg.Wait()
	return err
}

// respondError answers errors of handlers and of fiber, such as a body over the limit.
func (r *Receiver) respondError(c fiber.Ctx, err error) error {
	p := problem{status: http.StatusInternalServerError, code: "internal", message: "the entry failed"}
	var fe *fiber.Error
	if errors.As(err, &fe) {
		p = problem{status: fe.Code, code: "bad_request", message: fe.Message}
		if lc, ok := c.RequestCtx().Conn().(*conn); ok && fe.Code == http.StatusRequestEntityTooLarge {
			lc.unreadBody.Store(true)
		}
	} else {
		r.Log.Error("handler failed", err)
	}
	return r.refuse(c, p)
}

// refuse answers a request that was not sent to a backend server.
func (r *Receiver) refuse(c fiber.Ctx, p problem) error {
	r.Meter.CountRefusal(p.code)
	c.Set(marker.Outcome, "not-run")
	p.outcome = "not-run"
	return p.send(c)
}
