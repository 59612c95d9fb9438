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

// Waits between attempts to reach a control replica, and the silence after which a stream counts as dead.
const (
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = time.Second
	clientSilent = 3 * time.Second
	clientTick   = 50 * time.Millisecond
)

// ErrClosed says that the client was closed.
var ErrClosed = errors.New("control client is closed")

// RefusedError says that the control leader refused a call for good.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "control leader: " + e.Reason }

// ClientConfig says who an entry is and where the control replicas are.
type ClientConfig struct {
	Name        string
	Incarnation uint64
	// Addr is where other entries reach this one.
	Addr string
	Zone string
	// Controls are the addresses of the control replicas for entries, as ip:port.
	Controls []string
}

// Client keeps an entry in touch with the control replicas; its methods may be called from any goroutine.
type Client struct {
	cfg    ClientConfig
	logger *log.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	events chan func(now time.Time)
	agent  *agent
	rand   *rand.Rand
	// backoff is the mean wait before the next attempt to connect; a welcome sets it back.
	backoff time.Duration

	view    atomic.Pointer[clientView]
	mu      sync.Mutex
	updated chan struct{}
	servers map[string]registrar.Server
	stir    chan struct{}
}

// clientView is what traffic reads without waiting.
type clientView struct {
	catalog   *configurer.Catalog
	roster    *registrar.Roster
	standings *quarantiner.Standings
	lease     time.Time
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithClientLogger sets where the client logs.
func WithClientLogger(l *log.Logger) ClientOption { return func(c *Client) { c.logger = l } }

// NewClient starts a client; it connects by itself and again whenever it must.
func NewClient(cfg ClientConfig, opts ...ClientOption) (*Client, error) {
	if cfg.Name == "" || cfg.Addr == "" || len(cfg.Controls) == 0 {
		return nil, errors.New("control client: name, addr and controls must be set")
	}
	if reason := configurer.CheckName(cfg.Name); reason != "" {
		return nil, errors.Errorf("control client: name %q %s", cfg.Name, reason)
	}
	c := &Client{
		cfg:     cfg,
		logger:  &log.DefaultLogger,
		events:  make(chan func(now time.Time), maxEvents),
		agent:   newAgent(cfg),
		rand:    rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Name)))),
		backoff: minBackoff,
		updated: make(chan struct{}),
		servers: make(map[string]registrar.Server),
		stir:    make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	c.publish()
	c.wg.Go(c.run)
	return c, nil
}

// Close ends the client and waits for its goroutines; the entry's lease runs out by itself.
func (c *Client) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Catalog returns the configuration in force, at revision 0 before the first contact.
func (c *Client) Catalog() *configurer.Catalog { return c.view.Load().catalog }

// Roster returns the latest roster.
func (c *Client) Roster() *registrar.Roster { return c.view.Load().roster }

// Standing returns what is known of a request's digest.
func (c *Client) Standing(d quarantiner.Digest) quarantiner.Standing {
	return c.view.Load().standings.Of(d)
}

// LeaseEnd returns the moment when this entry's lease ends unless it is renewed.
func (c *Client) LeaseEnd() time.Time { return c.view.Load().lease }

// Updated returns a channel that is closed at the next change of catalog, roster or standings.
func (c *Client) Updated() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// publish makes the agent's knowledge the view of traffic.
func (c *Client) publish() {
	c.view.Store(&clientView{
		catalog: c.agent.catalog, roster: c.agent.roster, standings: c.agent.standings, lease: c.agent.tenure.End(),
	})
}

func (c *Client) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.updated)
	c.updated = make(chan struct{})
}

// run connects to one control replica after the other.
func (c *Client) run() {
	at := c.rand.IntN(len(c.cfg.Controls))
	for c.ctx.Err() == nil {
		err := c.session(c.cfg.Controls[at%len(c.cfg.Controls)])
		if err != nil && c.ctx.Err() == nil {
			c.logger.Debug().Err(err).Str("control", c.cfg.Controls[at%len(c.cfg.Controls)]).Msg("control: session ended")
		}
		at++
		c.pause(c.backoff/2 + time.Duration(c.rand.Int64N(int64(c.backoff))))
		c.backoff = min(2*c.backoff, maxBackoff)
	}
}

// pause serves events without a session.
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

// session keeps one stream until it breaks or falls silent.
func (c *Client) session(addr string) error {
	ctx, cancel := context.WithCancel(c.ctx)
	var streams conc.WaitGroup
	defer streams.Wait()
	defer cancel()
	// A connection of its own: after a silent one, a shared one would carry the next stream as well.
	conn := encoder.NewClient()
	defer conn.CloseIdleConnections()
	client := connect.NewClient[up, down](conn, "http://"+addr+pathEntry, encoder.Option(), connect.WithReadMaxBytes(maxMessage))
	stream := client.CallBidiStream(ctx)
	out := newQueue[up]()
	frames := make(chan *down)
	failed := make(chan error, 2)
	streams.Go(func() {
		// The transport looks at the context only once the request has ended.
		defer func() { _ = stream.CloseRequest() }()
		err := write(ctx, ctx, out, func(items []up) error {
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

// serve is the client's control loop while a stream is open.
func (c *Client) serve(out *queue[up], frames <-chan *down, failed <-chan error) error {
	t := time.NewTicker(clientTick)
	defer t.Stop()
	defer out.close()
	heard := time.Now()
	c.agent.connected(heard)
	defer c.agent.disconnected()
	for {
		for _, f := range c.agent.take() {
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
			heard = time.Now()
			if err := c.receive(heard, *f); err != nil {
				return err
			}
		case f := <-c.events:
			f(time.Now())
			// What waits already shares a message.
			for range min(len(c.events), maxCalls) {
				f := <-c.events
				f(time.Now())
			}
		case <-c.stir:
			c.takeServers(time.Now())
		case now := <-t.C:
			if now.Sub(heard) > clientSilent {
				return errors.New("stream is silent")
			}
			c.agent.tick(now)
		}
	}
}

func (c *Client) receive(now time.Time, f down) error {
	if f.Welcome != nil {
		c.backoff = minBackoff
	}
	changed, err := c.agent.receive(now, f)
	if err != nil {
		return err
	}
	if changed || f.Beat > 0 {
		c.publish()
	}
	if changed {
		c.notify()
	}
	return nil
}

func (c *Client) takeServers(now time.Time) {
	c.mu.Lock()
	servers := c.servers
	c.servers = make(map[string]registrar.Server)
	c.mu.Unlock()
	for _, s := range servers {
		c.agent.announce(now, s)
	}
}

// Announce passes on what a backend server says of itself; it never waits.
func (c *Client) Announce(s registrar.Server) {
	c.mu.Lock()
	c.servers[s.Name] = s
	c.mu.Unlock()
	select {
	case c.stir <- struct{}{}:
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

// ask carries a call out and waits for its answer, over any number of sessions.
func (c *Client) ask(ctx context.Context, f callFrame) (answerFrame, error) {
	done := make(chan answerFrame, 1)
	call := make(chan *pendingCall, 1)
	err := c.post(ctx, func(now time.Time) { call <- c.agent.call(now, f, func(a answerFrame) { done <- a }) })
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
		asked := <-call
		c.agent.withdraw(asked)
		select {
		case a := <-done:
			// The answer came at the same moment.
			c.agent.forgo(now, asked.frame, a)
		default:
		}
	})
	if err != nil {
		return answerFrame{}, err
	}
	return answerFrame{}, ctx.Err()
}

// Permit waits for the right to load an adapter from the weight store.
func (c *Client) Permit(ctx context.Context, ask registrar.PermitAsk) (registrar.Permit, error) {
	a, err := c.ask(ctx, callFrame{
		Kind: callPermit, Server: ask.Server, Urgent: ask.Urgent, Rate: ask.Rate, Waited: ask.Waited.Milliseconds(),
	})
	if err != nil {
		return registrar.Permit{}, err
	}
	return registrar.Permit{ID: a.Permit, Expires: a.until}, nil
}

// Return gives a permit back; one that wasn't used costs nothing of the store's rate.
func (c *Client) Return(p registrar.Permit, used bool) {
	_ = c.post(c.ctx, func(now time.Time) {
		delete(c.agent.permits, p.ID)
		c.agent.call(now, callFrame{Kind: callReturn, Grant: p.ID, Unused: !used}, nil)
	})
}

// Accuse reports the requests in flight at a crash; it returns when the suspicion is in force at every live entry.
func (c *Client) Accuse(ctx context.Context, server string, ds []quarantiner.Digest) error {
	_, err := c.ask(ctx, callFrame{Kind: callAccuse, Server: server, Digests: ds})
	return err
}

// Absolve reports that a suspect ran to its end in a run that began under the live state's revision; a later one stays suspect.
func (c *Client) Absolve(ctx context.Context, d quarantiner.Digest, seen uint64) error {
	_, err := c.ask(ctx, callFrame{Kind: callAbsolve, Digests: []quarantiner.Digest{d}, Seen: seen})
	return err
}

// Lock waits for the right to run a suspect request, which one entry has at a time.
func (c *Client) Lock(ctx context.Context, d quarantiner.Digest) (release func(), err error) {
	a, err := c.ask(ctx, callFrame{Kind: callLock, Digests: []quarantiner.Digest{d}})
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

// Begin asks to run a booking; after an error it may have been recorded.
func (c *Client) Begin(ctx context.Context, b recorder.Begin) (recorder.Begun, error) {
	b.Entry, b.Incarnation = c.cfg.Name, c.cfg.Incarnation
	a, err := c.ask(ctx, callFrame{Kind: callBegin, Begin: &b})
	if err != nil {
		return recorder.Begun{}, err
	}
	if a.Begun == nil {
		return recorder.Begun{}, errors.New("control leader: empty answer to a booking")
	}
	return *a.Begun, nil
}

// End records how a booking ended; an answer too large to be stored stays here, since it could exceed a message.
func (c *Client) End(ctx context.Context, e recorder.End) error {
	if !e.Answer.Fits() {
		e.Answer = recorder.Answer{}
	}
	_, err := c.ask(ctx, callFrame{Kind: callEnd, End: &e})
	return err
}

// Release hands a backend server over, with the adapters that still serve; call it again as these become fewer.
func (c *Client) Release(ctx context.Context, server string, pinned []configurer.Target) error {
	f := callFrame{Kind: callRelease, Server: server}
	for _, t := range pinned {
		f.Pinned = append(f.Pinned, targetFrame(t))
	}
	_, err := c.ask(ctx, f)
	return err
}
