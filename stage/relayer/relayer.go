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

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/acceptor"
	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/tunneler"
)

const (
	// callerBufferBytes is the read buffer of callers: room for a head of defaultHeaderBytes, the most that a document may allow.
	callerBufferBytes = 16<<10 + 512
	// Limits until the first document is applied.
	defaultHeaderTimeout     = 3 * time.Second
	defaultCallerIdleTimeout = 15 * time.Second
	defaultHeaderBytes       = 16 << 10
	defaultBodyBytes         = 4 << 20
	// readyIdleTimeout and maxReadyConns bound the connections of readiness probes and metrics.
	readyIdleTimeout = 30 * time.Second
	maxReadyConns    = 64
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// shutdownAcceptTime is how long a shutdown still accepts connections, until the load balancer has noticed that it isn't ready.
	shutdownAcceptTime = 3 * time.Second
	sweepInterval      = 500 * time.Millisecond
	// drainIdleTime is how long a connection must be idle before a shutdown closes it: a request may be in transit on one that
	// was just accepted, or has just had a response. drainPollInterval is how often a shutdown checks.
	drainIdleTime     = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// lastResponseTime is how long a shutdown waits for the responses to requests that it ends.
	lastResponseTime = 200 * time.Millisecond
)

// errCallerLeft is the cancellation cause of a request whose caller disconnected.
var errCallerLeft = errors.New("the caller disconnected")

// Config is the configuration of an entry.
type Config struct {
	Node string
	Zone string
	// CallersAddr is the address of the callers' listener, ReadyAddr that of readiness probes, metrics and explanations,
	// as ip:port.
	CallersAddr string
	ReadyAddr   string
	// TunnelAddr is the address of the listener for entries that have lost their links to backend servers, as ip:port; without one,
	// this entry carries nothing for others.
	TunnelAddr string
	// Controls are the addresses of some control replicas, from which the others are discovered.
	Controls []string
	// RetryShare is the number of retries allowed per request, RetrySlack how many more are allowed per RetryWindow by all
	// entries together.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ApplyTime is the time from a document's acknowledgement until it must be in force at all entries; 0 means 2 s.
	ApplyTime time.Duration
	// Quota are the tolerances of client accounts' quotas.
	Quota limiter.Bounds
	// CloseRevoked makes the withdrawal of a key close the connections that used it and end its requests, RevokeTime after
	// the document's acknowledgement at the latest. Otherwise the key is only refused for new requests.
	CloseRevoked bool
	RevokeTime   time.Duration
	// MemoryLimit is the memory of the process in bytes, MaxFiles its file descriptors; 0 if unknown.
	MemoryLimit int64
	MaxFiles    int
}

// Deps are the dependencies of an entry.
type Deps struct {
	Headers Headers
	Decode  func(governor.Doc) (*matcher.Table, error)
	Log     *logger.Logger
	// Dialer opens the connections to control replicas; nil stands for the DialContext of a net.Dialer.
	Dialer encoder.DialFunc
	// ServerDialer opens the connections to backend servers; nil stands for the DialContext of a net.Dialer.
	ServerDialer encoder.DialFunc
}

// Relayer is a running entry.
type Relayer struct {
	cfg      Config
	deps     Deps
	headers  *headerNames
	log      *logger.Component
	links    *links
	pool     *pool
	tunnels  *tunneler.Tunneler
	suspects *suspects
	liveness *liveness
	quotas   *quotas
	balancer *balancer.Balancer
	budget   *retryBudget
	metrics  *metrics
	keyUses  *keyUses
	lengths  *answerLengths
	starts   *streamStarts
	control  *controlClient
	table    atomic.Pointer[matcher.Table]
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	listener net.Listener
	ready    *http.Server
	stopping atomic.Bool
	// acceptTime is how long a shutdown still accepts connections; draining is set once each connection closes after its response,
	// even if that began before the shutdown.
	acceptTime time.Duration
	draining   atomic.Bool
	// stopAt is when a shutdown ends the requests that remain, nil if there is no such time.
	stopAt atomic.Pointer[time.Time]

	// memory bounds what the callers' connections hold, maxConns how many there are.
	memory   *collector.Collector
	maxConns int

	mu    sync.Mutex
	conns map[net.Conn]connState
	// explaining is held while a request is explained.
	explaining sync.Mutex
}

// connState is whether a caller's connection has a request, whether that is still being received, and since when.
type connState struct {
	busy      bool
	receiving bool
	since     time.Time
}

// New starts an entry; it is ready once a control replica has sent it a document.
func New(cfg Config, deps Deps) (*Relayer, error) {
	callers, err := acceptor.Entry.Listen(context.Background(), cfg.CallersAddr, cfg.MemoryLimit)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.CallersAddr)
	}
	ready, err := acceptor.Entry.Listen(context.Background(), cfg.ReadyAddr, cfg.MemoryLimit)
	if err != nil {
		return nil, errors.Join(errors.Wrapf(err, "listen on %s", cfg.ReadyAddr), callers.Close())
	}
	log := deps.Log.Component("entry")
	l := newLinks(cfg.MemoryLimit > 0, cfg.Zone, deps.ServerDialer, log)
	e := &Relayer{
		cfg: cfg, deps: deps, headers: newHeaderNames(deps.Headers), log: log, links: l, pool: newPool(l), suspects: newSuspects(cfg.Node),
		quotas: newQuotas(cfg.Quota), liveness: newLiveness(),
		balancer: balancer.New(), listener: callers, conns: make(map[net.Conn]connState), acceptTime: shutdownAcceptTime,
		memory: collector.New(cfg.MemoryLimit), maxConns: acceptor.Entry.MaxConns(cfg.MemoryLimit, cfg.MaxFiles), metrics: newMetrics(),
		keyUses: newKeyUses(), lengths: newAnswerLengths(), starts: newStreamStarts(),
		budget: newRetryBudget(cfg.RetryShare, cfg.RetrySlack, cfg.RetryWindow, time.Now()),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.metrics.observeMemory(e.memory)
	e.startTunnels()
	e.metrics.observeLinks(e.links, e.tunnels)
	e.control = newControlClient(e)
	mux := http.NewServeMux()
	mux.HandleFunc(deps.Headers.ReadyPath, e.serveReadiness)
	mux.Handle(metricsPath, e.metrics.handler())
	mux.HandleFunc(explainPath, e.serveExplanation)
	e.ready = &http.Server{
		Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout, ReadTimeout: bodyTimeout, WriteTimeout: bodyTimeout,
		IdleTimeout: readyIdleTimeout, MaxHeaderBytes: defaultHeaderBytes,
	}
	e.wg.Go(func() {
		if err := e.ready.Serve(acceptor.New(ready, maxReadyConns)); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener ended", err)
		}
	})
	e.wg.Go(func() { e.control.run(e.ctx) })
	e.wg.Go(e.closeExpiredConns)
	e.wg.Go(func() { e.links.watch(e.ctx, e.balancer.IsKnown) })
	e.wg.Go(e.accept)
	return e, nil
}

// SetControls replaces the configured addresses of control replicas, as ip:port.
func (e *Relayer) SetControls(addrs []string) { e.control.setSeeds(addrs) }

// serveReadiness responds to the load balancer's readiness probe.
func (e *Relayer) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if stale, _ := e.control.freshness(time.Now()); e.stopping.Load() || e.table.Load() == nil || stale > readyGrace || e.links.isLost() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Relayer) closeExpiredConns() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			e.pool.closeExpired(now)
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
		if !e.admitConn(c) {
			_ = c.Close()
			continue
		}
		e.wg.Go(func() {
			// Deferred, so that a panic in one request costs neither the connection's place nor its memory.
			defer e.endConn(c)
			e.serveConn(c)
		})
	}
}

// endConn closes a caller's connection and frees its place.
func (e *Relayer) endConn(c net.Conn) {
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
	_ = c.Close()
}

// setBusy records whether a connection has a request, so that a shutdown closes only those without; false means it was closed.
func (e *Relayer) setBusy(c net.Conn, busy bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.conns[c]; !ok {
		return false
	}
	e.conns[c] = connState{busy: busy, receiving: busy, since: time.Now()}
	return true
}

func (e *Relayer) limits() matcher.Limits {
	l := matcher.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, Header: defaultHeaderTimeout, Idle: defaultCallerIdleTimeout}
	if t := e.table.Load(); t != nil {
		given := t.Limits()
		if given.HeaderBytes > 0 {
			l.HeaderBytes = min(given.HeaderBytes, defaultHeaderBytes)
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

// serveConn serves the requests of one connection.
func (e *Relayer) serveConn(c net.Conn) {
	br := bufio.NewReaderSize(c, callerBufferBytes)
	defer e.keyUses.forget(c)
	for {
		limits := e.limits()
		if !e.keyUses.setBusy(c, false) || !e.setBusy(c, false) || c.SetReadDeadline(time.Now().Add(limits.Idle)) != nil {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return
		}
		if !e.keyUses.setBusy(c, true) || !e.setBusy(c, true) {
			return
		}
		if c.SetReadDeadline(time.Now().Add(limits.Header)) != nil {
			return
		}
		w := &responseWriter{conn: c, stopping: &e.stopping, draining: &e.draining}
		req, err := e.readRequest(c, br, limits)
		if err != nil {
			rejectRequest(w, err)
			if w.status > 0 {
				discardRest(c, br)
			}
			return
		}
		e.endReceiving(c)
		w.method, w.closeConn, w.memory = req.method, req.closeConn, req.memory
		arrived := time.Now()
		ok := e.serveWhileConnected(c, br, req, w)
		e.metrics.countRequest(arrived, w)
		discardUnread(c, br, req)
		if !ok || w.writeFailed || w.closeConn {
			return
		}
	}
}

// readRequest reads a request's head and, unless it is refused by the head, its body; it sends "100 Continue" if the caller
// waits for it.
func (e *Relayer) readRequest(c net.Conn, br *bufio.Reader, limits matcher.Limits) (*request, error) {
	req, err := readHead(br, limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if readsBody, err := e.decideRequest(req, br); err != nil || !readsBody {
		return req, err
	}
	if req.expectsContinue && (req.chunked || req.length > 0 && req.length <= limits.BodyBytes) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return nil, err
		}
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	return req, e.receiveBody(c, br, req, limits.BodyBytes)
}

// rejectRequest responds to a request that can't be read; the connection closes after the response.
func rejectRequest(w *responseWriter, err error) {
	w.closeConn = true
	var b *badRequestError
	switch {
	case errors.As(err, &b):
		w.writeError(b.status, b.reason, 0)
	case errors.Is(err, collector.ErrNoRoom):
		w.writeError(http.StatusServiceUnavailable, err.Error(), retryAfterNoRoom)
	case isTimeout(err):
		w.writeError(http.StatusRequestTimeout, "the request did not arrive in time", 0)
	}
}

// serveWhileConnected handles a request and cancels it if the caller disconnects; false means that the connection must close.
func (e *Relayer) serveWhileConnected(c net.Conn, br *bufio.Reader, req *request, w *responseWriter) bool {
	ctx, cancel := context.WithCancelCause(e.ctx)
	defer cancel(nil)
	if req.memory != nil {
		defer req.memory.Close()
	}
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	var watching conc.WaitGroup
	var disconnected atomic.Bool
	watching.Go(func() {
		if _, err := br.Peek(1); err != nil && !isTimeout(err) {
			disconnected.Store(true)
			cancel(errCallerLeft)
		}
	})
	ok := e.serveRequest(ctx, req, w)
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		ok = false
	}
	watching.Wait()
	return ok && !disconnected.Load()
}

// Close shuts the entry down: not ready, serving requests in flight and new ones, until all connections close or ctx is done.
// Requests that remain then are answered with an error, but for responses that have begun.
func (e *Relayer) Close(ctx context.Context) error {
	e.log.Info("shutting down", "")
	if at, ok := ctx.Deadline(); ok {
		e.stopAt.Store(&at)
	}
	e.stopping.Store(true)
	waiter.Wait(ctx, e.acceptTime)
	err := e.listener.Close()
	e.draining.Store(true)
	for e.closeIdle(time.Now()) > 0 && ctx.Err() == nil {
		waiter.Wait(ctx, drainPollInterval)
	}
	e.cancel()
	for end := time.Now().Add(lastResponseTime); e.countBusy() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval / 10)
	}
	e.mu.Lock()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	err = errors.Join(err, e.ready.Close())
	e.wg.Wait()
	e.links.dials.Wait()
	if e.tunnels != nil {
		err = errors.Join(err, e.tunnels.Close())
	}
	return err
}

// stopsBefore reports whether a shutdown ends requests before a time.
func (e *Relayer) stopsBefore(t time.Time) bool {
	at := e.stopAt.Load()
	return at != nil && at.Before(t)
}

// countBusy returns the number of connections with a request.
func (e *Relayer) countBusy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, u := range e.conns {
		if u.busy {
			n++
		}
	}
	return n
}

// closeIdle closes the connections that have been idle for drainIdleTime; the others close after their responses. It returns how
// many remain.
func (e *Relayer) closeIdle(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, u := range e.conns {
		if !u.busy && now.Sub(u.since) >= drainIdleTime {
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

// randomPoint returns a random number in [0, 1) for the weighted choice among a route's services.
func randomPoint() float64 { return rand.Float64() }
