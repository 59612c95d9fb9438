package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/stage/attempter"
	"redwingstage.org/stage/booker"
	"redwingstage.org/stage/forwarder"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/owner"
	"redwingstage.org/stage/receiver"
	"redwingstage.org/stage/sender"
)

const (
	headerTimeout     = 5 * time.Second
	loadBalancerDelay = 3 * time.Second
)

// Control is the part of the control role that an entry uses.
type Control interface {
	// Catalog returns the current configuration, or nil before the first one arrives.
	Catalog() *configurer.Catalog
	// Roster returns the servers, their owners and the entries, or nil before the first one arrives.
	Roster() *registrar.Roster
	// Standing returns the quarantine state of a request's digest.
	Standing(d quarantiner.Digest) quarantiner.Standing
	// Updated returns a channel that is closed at the next change of catalog, roster, standings or lease.
	Updated() <-chan struct{}
	// LeaseEnd returns the time until which orders may be sent.
	LeaseEnd() time.Time
	// Announce forwards a backend server's announcement.
	Announce(s registrar.Server)
	// Permit requests a permit for one adapter load.
	Permit(ctx context.Context, req registrar.LoadRequest) (registrar.Permit, error)
	// ReturnPermit returns a permit, used or unused.
	ReturnPermit(p registrar.Permit, used bool)
	// ReportCrash reports digests that were in flight at a crash, which makes them suspect at all entries.
	ReportCrash(ctx context.Context, server string, ds []quarantiner.Digest) error
	// ReportCompletion reports that a suspect request completed in a run that began at roster revision seen.
	ReportCompletion(ctx context.Context, d quarantiner.Digest, seen uint64) error
	// LockSuspect acquires the lock under which a suspect digest runs one copy at a time.
	LockSuspect(ctx context.Context, d quarantiner.Digest) (release func(), err error)
	// BeginBooking records a booking before it is sent.
	BeginBooking(ctx context.Context, b recorder.Begin) (recorder.BeginReply, error)
	// EndBooking records how a booking ended.
	EndBooking(ctx context.Context, e recorder.End) error
	// ReleaseServer hands over a server, and pins the adapters that open requests still use.
	ReleaseServer(ctx context.Context, server string, pinned []configurer.Target) error
}

// Config is an entry's identity, listener addresses and limits.
type Config struct {
	Name        string
	Incarnation uint64
	// Zone is the data centre.
	Zone string
	// CallersAddr, PeersAddr and MetricsAddr are listener addresses, ip:port; with an empty MetricsAddr there is no metrics listener.
	CallersAddr string
	PeersAddr   string
	MetricsAddr string
	Limits      receiver.Config
}

// Option configures a Dispatcher.
type Option func(*components)

// components are the components that options may replace.
type components struct {
	decider  owner.Decider
	router   *router.Router
	retrier  *retrier.Retrier
	sender   *sender.Sender
	log      *logger.Logger
	registry *prometheus.Registry
}

// WithSender replaces the client for backend servers.
func WithSender(s *sender.Sender) Option { return func(c *components) { c.sender = s } }

// WithLog sets where logs go.
func WithLog(l *logger.Logger) Option { return func(c *components) { c.log = l } }

// WithRegistry sets where metrics are registered.
func WithRegistry(r *prometheus.Registry) Option { return func(c *components) { c.registry = r } }

// WithDecider replaces the scheduler.
func WithDecider(d owner.Decider) Option { return func(c *components) { c.decider = d } }

// WithRouter replaces the router that chooses candidates.
func WithRouter(r *router.Router) Option { return func(c *components) { c.router = r } }

// Dispatcher is a running entry.
type Dispatcher struct {
	receiver  *receiver.Receiver
	owner     *owner.Owner
	attempter *attempter.Attempter
	booker    *booker.Booker
	sender    *sender.Sender
	client    *forwarder.Client
	peers     *http.Server
	metrics   *http.Server
	log       *logger.Component
	wg        conc.WaitGroup
	closeOnce sync.Once
	closeErr  error

	callersAddr, peersAddr, metricsAddr string
}

// New starts an entry, which serves callers once control has a catalog and a roster; it returns an error if it can't listen.
func New(cfg Config, control Control, opts ...Option) (*Dispatcher, error) {
	c := newComponents(cfg, opts)
	var lns listeners
	callers, peers, metrics := lns.open("callers", cfg.CallersAddr), lns.open("peers", cfg.PeersAddr), lns.open("metrics", cfg.MetricsAddr)
	if lns.err != nil {
		lns.close()
		return nil, lns.err
	}
	if callers == nil || peers == nil {
		lns.close()
		return nil, errors.New("callers and peers: an address is missing")
	}
	m := meter.New(c.registry)
	id := booker.Identity{Entry: cfg.Name, Incarnation: cfg.Incarnation}
	d := &Dispatcher{sender: c.sender, client: forwarder.NewClient(), log: c.log.Component("entry")}
	d.booker = booker.New(control, id)
	d.owner = owner.New(id, owner.Deps{
		Control: control, Decider: c.decider, Sender: c.sender, Booker: d.booker, Homes: d.client, Meter: m,
		Log: c.log.Component("owner"),
	})
	d.attempter = attempter.New(attempter.Deps{
		Name: cfg.Name, Control: control, Router: c.router, Retrier: c.retrier, Local: d.owner, Peers: d.client, Meter: m,
	})
	limits := cfg.Limits
	limits.Entry, limits.Incarnation = cfg.Name, cfg.Incarnation
	d.receiver = receiver.New(callers, limits, receiver.Deps{Control: control, Executor: d.attempter, Meter: m, Log: c.log.Component("entry")})
	d.callersAddr = callers.Addr().String()
	mux := http.NewServeMux()
	mux.Handle(forwarder.NewHandler(d.owner))
	mux.Handle(forwarder.NewClaimHandler(d.owner))
	d.peers, d.peersAddr = encoder.NewServer(mux), peers.Addr().String()
	d.serve(d.peers, peers)
	if metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
		d.metrics, d.metricsAddr = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, metrics.Addr().String()
		d.serve(d.metrics, metrics)
	}
	return d, nil
}

func (d *Dispatcher) serve(s *http.Server, ln net.Listener) {
	d.wg.Go(func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener ended", err)
		}
	})
}

// Callers returns the address of the callers' listener.
func (d *Dispatcher) Callers() string { return d.callersAddr }

// Peers returns the address of the peers' listener.
func (d *Dispatcher) Peers() string { return d.peersAddr }

// Metrics returns the address of the metrics listener, or "".
func (d *Dispatcher) Metrics() string { return d.metricsAddr }

// Close reports not ready, hands over the servers and waits for open requests, which are cut only when ctx ends; it returns the first error.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.closeOnce.Do(func() { d.closeErr = d.shutDown(ctx) })
	return d.closeErr
}

func (d *Dispatcher) shutDown(ctx context.Context) error {
	d.log.Info("shutting down", "")
	d.receiver.StartDraining()
	drainErr := d.owner.Drain(ctx)
	// Accept connections until the load balancer has noticed that this entry isn't ready.
	loadBalancerCtx, cancel := context.WithTimeout(ctx, loadBalancerDelay)
	defer cancel()
	_ = d.receiver.WaitIdle(loadBalancerCtx)
	errs := []error{drainErr, d.receiver.Close(ctx), d.receiver.WaitIdle(ctx), d.peers.Shutdown(ctx)}
	d.owner.Close()
	d.booker.Close(ctx)
	d.client.Close()
	d.sender.Close()
	errs = append(errs, d.peers.Close())
	if d.metrics != nil {
		errs = append(errs, d.metrics.Close())
	}
	d.wg.Wait()
	for _, err := range errs {
		if err != nil {
			return errors.Wrap(err, "shut down")
		}
	}
	return nil
}

// listeners opens listeners and keeps the first error, after which it opens none.
type listeners struct {
	opened []net.Listener
	err    error
}

func (l *listeners) open(name, addr string) net.Listener {
	if l.err != nil || addr == "" {
		return nil
	}
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		l.err = errors.Wrapf(err, "%s: listen on %s", name, addr)
		return nil
	}
	l.opened = append(l.opened, ln)
	return ln
}

func (l *listeners) close() {
	for _, ln := range l.opened {
		_ = ln.Close()
	}
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}
