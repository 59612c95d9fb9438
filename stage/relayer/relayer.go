package relayer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

const (
	// headBuffer is the read buffer of callers in bytes: room for a head of defaultHeader, the most that a document may allow.
	headBuffer = 16<<10 + 512
	// Limits until the first document is applied.
	defaultHeaderTime = 3 * time.Second
	defaultIdle       = 15 * time.Second
	defaultHeader     = 16 << 10
	defaultBody       = 4 << 20
	// bodyTime bounds the time to read a request's body.
	bodyTime = 10 * time.Second
	// leaveTime is how long a shutdown still accepts connections, until the load balancer has noticed that it isn't ready.
	leaveTime  = 3 * time.Second
	sweepEvery = 500 * time.Millisecond
	// restTime is how long a connection must be idle before a shutdown closes it: a request may be in transit on one that
	// was just accepted, or has just had a response. restEvery is how often a shutdown checks.
	restTime  = 500 * time.Millisecond
	restEvery = 50 * time.Millisecond
)

// errLeft is the cancellation cause of a request whose caller disconnected.
var errLeft = errors.New("the caller disconnected")

// Config is the configuration of an entry.
type Config struct {
	Node string
	Zone string
	// Callers is the address of the callers' listener, Ready that of readiness probes and metrics, as ip:port.
	Callers string
	Ready   string
	// Controls are the addresses of some control replicas, from which the others are discovered.
	Controls []string
	// RetryShare is the number of retries allowed per request, RetrySlack how many more are allowed per RetryWindow by all
	// entries together.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Deps are the dependencies of an entry.
type Deps struct {
	Dialect Dialect
	Decode  func(governor.Doc) (*matcher.Table, error)
	Log     *logger.Logger
}

// Relayer is a running entry.
type Relayer struct {
	cfg      Config
	deps     Deps
	names    *names
	log      *logger.Part
	pool     *pool
	balancer *balancer.Balancer
	budget   *budget
	metrics  *metrics
	link     *link
	table    atomic.Pointer[matcher.Table]
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	listener net.Listener
	ready    *http.Server
	leaving  atomic.Bool
	// leave is how long a shutdown still accepts connections; draining says that each connection closes after its response,
	// even if that began before the shutdown.
	leave    time.Duration
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]use
}

// use says whether a caller's connection has a request, and since when.
type use struct {
	busy  bool
	since time.Time
}

// New starts an entry; it is ready once a control replica has sent it a document.
func New(cfg Config, deps Deps) (*Relayer, error) {
	var lc net.ListenConfig
	callers, err := lc.Listen(context.Background(), "tcp", cfg.Callers)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Callers)
	}
	ready, err := lc.Listen(context.Background(), "tcp", cfg.Ready)
	if err != nil {
		return nil, errors.Join(errors.Wrapf(err, "listen on %s", cfg.Ready), callers.Close())
	}
	e := &Relayer{
		cfg: cfg, deps: deps, names: newNames(deps.Dialect), log: deps.Log.Part("entry"), pool: newPool(),
		balancer: balancer.New(), listener: callers, conns: make(map[net.Conn]use), leave: leaveTime,
		metrics: newMetrics(),
		budget:  newBudget(cfg.RetryShare, cfg.RetrySlack, cfg.RetryWindow, time.Now()),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.link = newLink(e)
	mux := http.NewServeMux()
	mux.HandleFunc(deps.Dialect.ReadyPath, e.answerReady)
	mux.Handle(metricsPath, e.metrics.handler())
	e.ready = &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTime}
	e.wg.Go(func() {
		if err := e.ready.Serve(ready); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener ended", err)
		}
	})
	e.wg.Go(func() { e.link.run(e.ctx) })
	e.wg.Go(e.sweep)
	e.wg.Go(e.accept)
	return e, nil
}

// SetControls replaces the configured addresses of control replicas, as ip:port.
func (e *Relayer) SetControls(addrs []string) { e.link.setSeeds(addrs) }

// answerReady responds to the load balancer's readiness probe.
func (e *Relayer) answerReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.table.Load() == nil || e.link.silentFor(time.Now()) > readyGrace {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Relayer) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			e.pool.sweep(now)
		}
	}
}

func (e *Relayer) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			if e.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			e.log.Error("accept", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		e.mu.Lock()
		e.conns[c] = use{since: time.Now()}
		e.mu.Unlock()
		e.wg.Go(func() {
			e.serve(c)
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
			_ = c.Close()
		})
	}
}

// mark records whether a connection has a request, so that a shutdown closes only those without; false means it was closed.
func (e *Relayer) mark(c net.Conn, busy bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.conns[c]; !ok {
		return false
	}
	e.conns[c] = use{busy: busy, since: time.Now()}
	return true
}

func (e *Relayer) limits() matcher.Limits {
	l := matcher.Limits{HeaderBytes: defaultHeader, BodyBytes: defaultBody, Header: defaultHeaderTime, Idle: defaultIdle}
	if t := e.table.Load(); t != nil {
		given := t.Limits()
		if given.HeaderBytes > 0 {
			l.HeaderBytes = min(given.HeaderBytes, defaultHeader)
		}
		if given.BodyBytes > 0 {
			l.BodyBytes = given.BodyBytes
		}
		if given.Header > 0 {
			l.Header = given.Header
		}
		if given.Idle > 0 {
			l.Idle = given.Idle
		}
	}
	return l
}

// serve serves the requests of one connection.
func (e *Relayer) serve(c net.Conn) {
	br := bufio.NewReaderSize(c, headBuffer)
	for {
		limits := e.limits()
		if !e.mark(c, false) || c.SetReadDeadline(time.Now().Add(limits.Idle)) != nil {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return
		}
		if !e.mark(c, true) {
			return
		}
		if c.SetReadDeadline(time.Now().Add(limits.Header)) != nil {
			return
		}
		w := &answer{conn: c, leaving: &e.leaving, draining: &e.draining}
		req, err := e.receive(c, br, limits)
		if err != nil {
			refuseRequest(w, err)
			return
		}
		w.method, w.closing = req.method, req.once
		arrived := time.Now()
		ok := e.watch(c, br, req, w)
		e.metrics.ended(arrived, w)
		if !ok || w.failed || w.closing {
			return
		}
	}
}

// receive reads a request's head and body; it sends "100 Continue" if the caller waits for it.
func (e *Relayer) receive(c net.Conn, br *bufio.Reader, limits matcher.Limits) (*request, error) {
	req, err := readHead(br, limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if req.awaits && (req.chunked || req.length > 0) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return nil, err
		}
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return nil, err
	}
	return req, req.readBody(br, limits.BodyBytes)
}

// refuseRequest responds to a request that can't be read; the connection closes after the response.
func refuseRequest(w *answer, err error) {
	w.closing = true
	var b *badRequestError
	switch {
	case errors.As(err, &b):
		w.fail(b.status, b.reason, 0)
	case isTimeout(err):
		w.fail(http.StatusRequestTimeout, "the request did not arrive in time", 0)
	}
}

// watch handles a request and cancels it if the caller disconnects; false means that the connection must close.
func (e *Relayer) watch(c net.Conn, br *bufio.Reader, req *request, w *answer) bool {
	ctx, cancel := context.WithCancelCause(e.ctx)
	defer cancel(nil)
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	var watching conc.WaitGroup
	var gone atomic.Bool
	watching.Go(func() {
		if _, err := br.Peek(1); err != nil && !isTimeout(err) {
			gone.Store(true)
			cancel(errLeft)
		}
	})
	ok := e.handle(ctx, req, w)
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		ok = false
	}
	watching.Wait()
	return ok && !gone.Load()
}

// Close shuts the entry down: not ready, serving requests in flight and new ones, until all connections close or ctx is done.
func (e *Relayer) Close(ctx context.Context) error {
	e.log.Info("shutting down", "")
	e.leaving.Store(true)
	waiter.Wait(ctx, e.leave)
	err := e.listener.Close()
	e.draining.Store(true)
	for e.closeIdle(time.Now()) > 0 && ctx.Err() == nil {
		waiter.Wait(ctx, restEvery)
	}
	e.cancel()
	e.mu.Lock()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	err = errors.Join(err, e.ready.Close())
	e.wg.Wait()
	return err
}

// closeIdle closes the connections that have been idle for restTime; the others close after their responses. It returns how
// many remain.
func (e *Relayer) closeIdle(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, u := range e.conns {
		if !u.busy && now.Sub(u.since) >= restTime {
			delete(e.conns, c)
			_ = c.Close()
		}
	}
	return len(e.conns)
}

// connLimit returns how many connections this entry may open to one server of the service.
func (e *Relayer) connLimit(service string) int {
	t := e.table.Load()
	if t == nil {
		return 1
	}
	s, ok := t.Service(service)
	if !ok || s.MaxConns <= 0 {
		return 1 << 16
	}
	return max(int(connShare*float64(s.MaxConns))/e.balancer.Entries(), 1)
}

// point returns a random number in [0, 1) for the weighted choice among a route's services.
func point() float64 { return rand.Float64() }
