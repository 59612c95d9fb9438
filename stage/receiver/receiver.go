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

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/streamer"
)

const (
	maxHeader     = 16 << 10
	leasePoll     = 20 * time.Millisecond
	closeInterval = 10 * time.Millisecond
)

// Control is the part of the control role that a receiver uses.
type Control interface {
	Catalog() *configurer.Catalog
	Roster() *registrar.Roster
	LeaseEnd() time.Time
	Announce(s registrar.Server)
}

// Doer runs a request, writes its answer to sink and returns its end.
type Doer interface {
	Do(ctx context.Context, req *streamer.Request, sink streamer.Sink) streamer.End
}

// Config holds the limits of the listener for callers; zero values mean defaults.
type Config struct {
	// Entry and Incarnation identify this process in generated request IDs.
	Entry       string
	Incarnation uint64
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// MaxConns is the largest number of open connections.
	MaxConns int
	// MaxUnread is how many bytes of an answer are buffered for a slow caller.
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
	Control Control
	Doer    Doer
	Meter   *meter.Meter
	Log     *logger.Part
}

// Receiver is the HTTP server for callers.
type Receiver struct {
	Deps
	cfg     Config
	app     *fiber.App
	ctx     context.Context
	stop    context.CancelFunc
	closing atomic.Bool
	open    atomic.Int64
	ids     atomic.Uint64
	wg      conc.WaitGroup
	// shared uses the HTTP library's buffers instead of copies; tests set it by reflection to check that they detect this.
	shared bool
}

// New starts a receiver on the listener.
func New(ln net.Listener, cfg Config, deps Deps) *Receiver {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	r := &Receiver{Deps: deps, cfg: cfg, ctx: ctx, stop: stop}
	r.app = fiber.New(fiber.Config{
		BodyLimit: cfg.MaxBody, ReadBufferSize: maxHeader, ReadTimeout: cfg.ReadTimeout, IdleTimeout: cfg.IdleTimeout,
		Concurrency: cfg.MaxConns + 1, ErrorHandler: r.failed, StrictRouting: true, CaseSensitive: true,
	})
	r.routes()
	guarded := newListener(ln, cfg.MaxConns, cfg.WriteTimeout)
	r.wg.Go(func() {
		err := r.app.Listener(guarded, fiber.ListenConfig{DisableStartupMessage: true})
		if err != nil && !errors.Is(err, net.ErrClosed) {
			r.Log.Error("caller listener stopped", err)
		}
	})
	return r
}

func (r *Receiver) routes() {
	r.app.Post("/v1/chat/completions", r.counted(r.generate))
	r.app.Post("/v1/completions", r.counted(r.generate))
	r.app.Get("/v1/models", r.models)
	r.app.Post("/v1/announce", r.announce)
	r.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendStatus(http.StatusOK) })
	r.app.Get("/readyz", r.ready)
	r.app.All("/services/:name", r.counted(r.plain))
	r.app.All("/services/:name/*", r.counted(r.plain))
	r.app.Use(func(c fiber.Ctx) error {
		return r.refuse(c, problem{status: http.StatusNotFound, code: "no_route", message: "nothing answers " + c.Method() + " " + c.Path()})
	})
}

// counted counts the open requests, for which a shutdown waits.
func (r *Receiver) counted(h fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		r.open.Add(1)
		defer r.open.Add(-1)
		if r.closing.Load() {
			// Callers with keep-alive connections reconnect to another entry.
			c.RequestCtx().SetConnectionClose()
		}
		return h(c)
	}
}

// inForce returns the current configuration, or nil if this entry has not received one or its lease has expired, in
// which case other entries may use a later one.
func (r *Receiver) inForce() *configurer.Catalog {
	c := r.Control.Catalog()
	if c == nil || c.Revision() == 0 || !time.Now().Before(r.Control.LeaseEnd()) {
		return nil
	}
	return c
}

// catalog returns the current configuration, or nil; it waits up to LeaseWait for a valid lease, such as during a change
// of the control leader.
func (r *Receiver) catalog() *configurer.Catalog {
	for end := time.Now().Add(r.cfg.LeaseWait); ; time.Sleep(leasePoll) {
		c := r.inForce()
		if c != nil || r.closing.Load() || time.Now().After(end) {
			return c
		}
	}
}

// ready answers the readiness probe of the platform's load balancer.
func (r *Receiver) ready(c fiber.Ctx) error {
	if r.closing.Load() || r.inForce() == nil || r.Control.Roster() == nil {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	return c.SendStatus(http.StatusOK)
}

// Leave makes the readiness probe fail, while requests are still served.
func (r *Receiver) Leave() { r.closing.Store(true) }

// Wait blocks until no request is open, or returns the error of ctx.
func (r *Receiver) Wait(ctx context.Context) error {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for r.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close accepts no new connections, cancels the requests that are open when ctx is done, and waits for all goroutines.
func (r *Receiver) Close(ctx context.Context) error {
	r.Leave()
	err := r.app.ShutdownWithContext(ctx)
	r.stop()
	r.wg.Wait()
	return err
}

// failed answers errors that handlers return or that fiber raises itself, such as a body over the limit.
func (r *Receiver) failed(c fiber.Ctx, err error) error {
	p := problem{status: http.StatusInternalServerError, code: "internal", message: "the entry failed"}
	var fe *fiber.Error
	if errors.As(err, &fe) {
		p = problem{status: fe.Code, code: "bad_request", message: fe.Message}
		if lc, ok := c.RequestCtx().Conn().(*conn); ok && fe.Code == http.StatusRequestEntityTooLarge {
			lc.unread.Store(true)
		}
	} else {
		r.Log.Error("handler failed", err)
	}
	return r.refuse(c, p)
}

// refuse sends an error response to a request that was not sent to any backend server.
func (r *Receiver) refuse(c fiber.Ctx, p problem) error {
	r.Meter.Refused(p.code)
	c.Set(marker.Outcome, "not-run")
	p.outcome = "not-run"
	return p.send(c)
}
