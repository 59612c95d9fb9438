package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

// Backoff between connection attempts, and the time without a message after which a stream is closed.
const (
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = time.Second
	clientSilenceTimeout = 3 * time.Second
	clientTickInterval   = 50 * time.Millisecond
)

// ErrClosed is returned after the client was closed.
var ErrClosed = errors.New("control client is closed")

// RefusedError is the control leader's final refusal of a call.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "control leader: " + e.Reason }

// ClientConfig identifies an entry and lists the control replicas.
type ClientConfig struct {
	Name        string
	Incarnation uint64
	// Addr is this entry's address for other entries.
	Addr string
	Zone string
	// ControlAddrs are the addresses of the control replicas for entries, as ip:port.
	ControlAddrs []string
}

// Client connects an entry to the control replicas; its methods are safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	logger *log.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	events chan func(now time.Time)
	agent  *agent
	rand   *rand.Rand
	// backoff is the mean wait before the next attempt to connect; a welcome resets it.
	backoff time.Duration

	view                 atomic.Pointer[clientView]
	mu                   sync.Mutex
	updated              chan struct{}
	pendingAnnouncements map[string]registrar.Server
	announced            chan struct{}
}

// clientView is the state that is read without locking.
type clientView struct {
	catalog   *configurer.Catalog
	roster    *registrar.Roster
	standings *quarantiner.Standings
	leaseEnd  time.Time
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithClientLogger sets where the client logs.
func WithClientLogger(l *log.Logger) ClientOption { return func(c *Client) { c.logger = l } }

// NewClient starts a client, which connects and reconnects in the background.
func NewClient(cfg ClientConfig, opts ...ClientOption) (*Client, error) {
	if cfg.Name == "" || cfg.Addr == "" || len(cfg.ControlAddrs) == 0 {
		return nil, errors.New("control client: name, addr and controls must be set")
	}
	if reason := configurer.CheckName(cfg.Name); reason != "" {
		return nil, errors.Errorf("control client: name %q %s", cfg.Name, reason)
	}
	c := &Client{
		cfg:                  cfg,
		logger:               &log.DefaultLogger,
		events:               make(chan func(now time.Time), maxQueuedEvents),
		agent:                newAgent(cfg),
		rand:                 rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Name)))),
		backoff:              minBackoff,
		updated:              make(chan struct{}),
		pendingAnnouncements: make(map[string]registrar.Server),
		announced:            make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	c.publish()
	c.wg.Go(c.run)
	return c, nil
}

// Close stops the client and waits for its goroutines; the entry's lease is left to expire.
func (c *Client) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Catalog returns the configuration in force, at revision 0 before the first contact.
func (c *Client) Catalog() *configurer.Catalog { return c.view.Load().catalog }

// Roster returns the latest roster.
func (c *Client) Roster() *registrar.Roster { return c.view.Load().roster }

// Standing returns the quarantine standing of a request's digest.
func (c *Client) Standing(d quarantiner.Digest) quarantiner.Standing {
	return c.view.Load().standings.Of(d)
}

// LeaseEnd returns the time at which this entry's lease expires unless it is renewed.
func (c *Client) LeaseEnd() time.Time { return c.view.Load().leaseEnd }

// Updated returns a channel that is closed at the next change of catalog, roster or standings.
func (c *Client) Updated() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// publish copies the agent's state to the view.
func (c *Client) publish() {
	c.view.Store(&clientView{
		catalog: c.agent.catalog, roster: c.agent.roster, standings: c.agent.standings, leaseEnd: c.agent.lease.End(),
	})
}

func (c *Client) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.updated)
	c.updated = make(chan struct{})
}

// run connects to the control replicas in turn.
func (c *Client) run() {
	next := c.rand.IntN(len(c.cfg.ControlAddrs))
	for c.ctx.Err() == nil {
		err := c.session(c.cfg.ControlAddrs[next%len(c.cfg.ControlAddrs)])
		if err != nil && c.ctx.Err() == nil {
			c.logger.Debug().Err(err).Str("control", c.cfg.ControlAddrs[next%len(c.cfg.ControlAddrs)]).Msg("control: session ended")
		}
		next++
		c.pause(c.backoff/2 + time.Duration(c.rand.Int64N(int64(c.backoff))))
		c.backoff = min(2*c.backoff, maxBackoff)
	}
}

// pause runs events while there is no session.
func (c *Client) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
			return
		case f := <-c.events:
			f(time.Now())
		}
	}
}

// session serves one stream until it fails or is silent.
func (c *Client) session(addr string) error {
	ctx, cancel := context.WithCancel(c.ctx)
	var streams conc.WaitGroup
	defer streams.Wait()
	defer cancel()
	// Each stream has its own connection, since a shared one that went silent would also carry the next stream.
	conn := encoder.NewClient()
	defer conn.Close()
	client := connect.NewClient[entryMessage, leaderMessage](conn, "http://"+addr+pathEntry, encoder.ConnectOption(), connect.WithReadMaxBytes(maxMessageBytes))
	stream := client.CallBidiStream(ctx)
	out := newQueue[entryMessage]()
	frames := make(chan *leaderMessage)
	failed := make(chan error, 2)
	streams.Go(func() {
		// The transport checks the context only after the request has been closed.
		defer func() { _ = stream.CloseRequest() }()
		err := writeQueue(ctx, ctx, out, func(items []entryMessage) error {
			for i := range items {
				if err := stream.Send(&items[i]); err != nil {
					return err
				}
			}
			return nil
		})
		failed <- err
	})
	streams.Go(func() {
		for {
			f, err := stream.Receive()
			if err != nil {
				failed <- err
				return
			}
			select {
			case frames <- f:
			case <-ctx.Done():
				return
			}
		}
	})
	return c.serve(out, frames, failed)
}

// serve is the client's event loop while a stream is open.
func (c *Client) serve(out *queue[entryMessage], frames <-chan *leaderMessage, failed <-chan error) error {
	t := time.NewTicker(clientTickInterval)
	defer t.Stop()
	defer out.close()
	lastReceived := time.Now()
	c.agent.startSession(lastReceived)
	defer c.agent.resetSession()
	for {
		for _, f := range c.agent.takeMessages() {
			if !out.push(f) {
				return errors.New("stream has fallen behind")
			}
		}
		select {
		case <-c.ctx.Done():
			return ErrClosed
		case err := <-failed:
			return err
		case f := <-frames:
			lastReceived = time.Now()
			if err := c.receive(lastReceived, *f); err != nil {
				return err
			}
		case f := <-c.events:
			f(time.Now())
			// Calls that are queued already share a message.
			for range min(len(c.events), maxCallsPerMessage) {
				f := <-c.events
				f(time.Now())
			}
		case <-c.announced:
			c.announceServers(time.Now())
		case now := <-t.C:
			if now.Sub(lastReceived) > clientSilenceTimeout {
				return errors.New("stream is silent")
			}
			c.agent.tick(now)
		}
	}
}

func (c *Client) receive(now time.Time, f leaderMessage) error {
	if f.Welcome != nil {
		c.backoff = minBackoff
	}
	changed, err := c.agent.receive(now, f)
	if err != nil {
		return err
	}
	if changed || f.Heartbeat > 0 {
		c.publish()
	}
	if changed {
		c.notify()
	}
	return nil
}

func (c *Client) announceServers(now time.Time) {
	c.mu.Lock()
	servers := c.pendingAnnouncements
	c.pendingAnnouncements = make(map[string]registrar.Server)
	c.mu.Unlock()
	for _, s := range servers {
		c.agent.announce(now, s)
	}
}

// Announce forwards a backend server's announcement; it never blocks.
func (c *Client) Announce(s registrar.Server) {
	c.mu.Lock()
	c.pendingAnnouncements[s.Name] = s
	c.mu.Unlock()
	select {
	case c.announced <- struct{}{}:
	default:
	}
}

// post runs f on the client's goroutine.
func (c *Client) post(ctx context.Context, f func(now time.Time)) error {
	select {
	case c.events <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return ErrClosed
	}
}

// call makes a call and waits for its answer, across reconnects.
func (c *Client) call(ctx context.Context, f callFrame) (answerFrame, error) {
	done := make(chan answerFrame, 1)
	started := make(chan *pendingCall, 1)
	err := c.post(ctx, func(now time.Time) { started <- c.agent.call(now, f, func(a answerFrame) { done <- a }) })
	if err != nil {
		return answerFrame{}, err
	}
	select {
	case a := <-done:
		if a.Code == answerRefused {
			return a, &RefusedError{Reason: a.Text}
		}
		return a, nil
	case <-c.ctx.Done():
		return answerFrame{}, ErrClosed
	case <-ctx.Done():
	}
	err = c.post(c.ctx, func(now time.Time) {
		pending := <-started
		c.agent.cancel(pending)
		select {
		case a := <-done:
			// The answer arrived before the cancellation.
			c.agent.returnGrant(now, pending.frame, a)
		default:
		}
	})
	if err != nil {
		return answerFrame{}, err
	}
	return answerFrame{}, ctx.Err()
}

// Permit waits for a permit to load an adapter from the weight store.
func (c *Client) Permit(ctx context.Context, req registrar.LoadRequest) (registrar.Permit, error) {
	a, err := c.call(ctx, callFrame{
		Kind: callPermit, Server: req.Server, Urgent: req.Urgent, Rate: req.Rate, WaitedMillis: req.Waited.Milliseconds(),
	})
	if err != nil {
		return registrar.Permit{}, err
	}
	return registrar.Permit{ID: a.Permit, Expires: a.expires}, nil
}

// ReturnPermit returns a permit; an unused one doesn't count against the store's rate.
func (c *Client) ReturnPermit(p registrar.Permit, used bool) {
	_ = c.post(c.ctx, func(now time.Time) {
		delete(c.agent.permits, p.ID)
		c.agent.call(now, callFrame{Kind: callReturnPermit, Grant: p.ID, Unused: !used}, nil)
	})
}

// ReportCrash reports the requests in flight at a crash; it returns once every live entry has them as suspects.
func (c *Client) ReportCrash(ctx context.Context, server string, ds []quarantiner.Digest) error {
	_, err := c.call(ctx, callFrame{Kind: callReportCrash, Server: server, Digests: ds})
	return err
}

// ReportCompletion reports that a suspect completed a run begun at liveRevision; one suspected after it stays so.
func (c *Client) ReportCompletion(ctx context.Context, d quarantiner.Digest, liveRevision uint64) error {
	_, err := c.call(ctx, callFrame{Kind: callReportCompletion, Digests: []quarantiner.Digest{d}, LiveRevision: liveRevision})
	return err
}

// LockSuspect waits for the lock to run a suspect request, which one entry holds at a time.
func (c *Client) LockSuspect(ctx context.Context, d quarantiner.Digest) (release func(), err error) {
	a, err := c.call(ctx, callFrame{Kind: callLockSuspect, Digests: []quarantiner.Digest{d}})
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			_ = c.post(c.ctx, func(now time.Time) { c.agent.unlock(now, d, a.ID) })
		})
	}, nil
}

// BeginBooking requests to run a booking, which may have been recorded despite an error.
func (c *Client) BeginBooking(ctx context.Context, b recorder.Begin) (recorder.BeginReply, error) {
	b.Entry, b.Incarnation = c.cfg.Name, c.cfg.Incarnation
	a, err := c.call(ctx, callFrame{Kind: callBeginBooking, Begin: &b})
	if err != nil {
		return recorder.BeginReply{}, err
	}
	if a.Begun == nil {
		return recorder.BeginReply{}, errors.New("control leader: empty answer to a booking")
	}
	return *a.Begun, nil
}

// EndBooking records how a booking ended; an answer too large to be stored isn't sent, since it could exceed maxMessageBytes.
func (c *Client) EndBooking(ctx context.Context, e recorder.End) error {
	if !e.Answer.IsStorable() {
		e.Answer = recorder.Answer{}
	}
	_, err := c.call(ctx, callFrame{Kind: callEndBooking, End: &e})
	return err
}

// ReleaseServer gives up a backend server, except the pinned adapters that still serve; call it again as these become fewer.
func (c *Client) ReleaseServer(ctx context.Context, server string, pinned []configurer.Target) error {
	f := callFrame{Kind: callReleaseServer, Server: server}
	for _, t := range pinned {
		f.Pinned = append(f.Pinned, targetFrame(t))
	}
	_, err := c.call(ctx, f)
	return err
}
