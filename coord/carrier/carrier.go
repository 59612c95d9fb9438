package carrier

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/waiter"
)

// Path is the URL path at which Handler must be mounted.
const Path = "/redwingstage.coord.Log/"

const (
	procedure              = Path + "Carry"
	queueLength            = 1024
	maxFrameBytes          = 16 << 20
	defaultResponseTimeout = 1200 * time.Millisecond
	idleTimeout            = 10 * time.Second
	sendTimeout            = 5 * time.Second
	minBackoff             = 50 * time.Millisecond
	maxBackoff             = time.Second
	// maxPeers bounds the peers, also those that aren't members here: removed replicas go on sending.
	maxPeers = 4 * replicator.MaxMembers
)

var (
	errNoResponse = errors.New("the peer does not answer")
	errStreamEnd  = errors.New("the stream has ended")
)

// Option configures a Carrier.
type Option func(*Carrier)

// WithErrorHandler calls f with each broken stream and each malformed message; f must not block.
func WithErrorHandler(f func(peer uint64, err error)) Option {
	return func(c *Carrier) { c.onError = f }
}

// WithResponseTimeout sets the time without a response after which a connection is replaced; it should lie between the
// heartbeat interval and the election timeout.
func WithResponseTimeout(d time.Duration) Option {
	return func(c *Carrier) { c.responseTimeout = d }
}

// WithDialer opens the connections to peers by dial; nil stands for the DialContext of a net.Dialer.
func WithDialer(dial encoder.DialFunc) Option {
	return func(c *Carrier) { c.dial = dial }
}

// Carrier is the transport of one replica.
type Carrier struct {
	id              uint64
	cluster         string
	responseTimeout time.Duration
	onError         func(peer uint64, err error)
	dial            encoder.DialFunc
	handler         http.Handler
	receive         atomic.Pointer[func(replicator.Message) error]

	mu      sync.Mutex
	addr    string
	peers   map[uint64]*peer
	inbound map[uint64]*inbound
	closed  bool
	wg      conc.WaitGroup
}

// peer holds the outbound state for one replica.
type peer struct {
	id           uint64
	addr         string
	queue        chan replicator.Message
	lastReceived atomic.Int64
	cancel       context.CancelFunc
}

// New returns the transport of replica id of the cluster.
func New(id uint64, cluster string, opts ...Option) *Carrier {
	c := &Carrier{
		id: id, cluster: cluster, responseTimeout: defaultResponseTimeout, onError: func(uint64, error) {},
		peers: map[uint64]*peer{}, inbound: map[uint64]*inbound{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.handler = connect.NewClientStreamHandler(procedure, c.receiveStream, encoder.ConnectOption(),
		connect.WithReadMaxBytes(maxFrameBytes))
	return c
}

// SetReceiver sets the function that receives the peers' messages.
func (c *Carrier) SetReceiver(receive func(replicator.Message) error) { c.receive.Store(&receive) }

// SetPeers replaces the addresses, "host:port", of all replicas, including this one. Those of other replicas are learned
// when they open a stream to this one, since they may have joined while it was cut off.
func (c *Carrier) SetPeers(addrs map[uint64]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.addr = addrs[c.id]
	for id, p := range c.peers {
		if addrs[id] != p.addr {
			p.cancel()
			delete(c.peers, id)
		}
	}
	for id, addr := range addrs {
		if id != c.id && c.peers[id] == nil {
			c.addPeer(id, addr)
		}
	}
}

// addPeer starts the send loop for a replica; the caller holds the lock.
func (c *Carrier) addPeer(id uint64, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{id: id, addr: addr, queue: make(chan replicator.Message, queueLength), cancel: cancel}
	c.peers[id] = p
	c.wg.Go(func() { c.sendLoop(ctx, p) })
}

// Send queues m for its receiver without blocking; it drops m if the receiver is unknown or the queue is full.
func (c *Carrier) Send(m replicator.Message) {
	c.mu.Lock()
	p := c.peers[m.To]
	c.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// LastReceived returns when a message of each other replica arrived last, the zero time if none has.
func (c *Carrier) LastReceived() map[uint64]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[uint64]time.Time, len(c.peers))
	for id, p := range c.peers {
		out[id] = time.Time{}
		if at := p.lastReceived.Load(); at != 0 {
			out[id] = time.Unix(0, at)
		}
	}
	return out
}

// Close ends all streams and waits for them.
func (c *Carrier) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, p := range c.peers {
		p.cancel()
	}
	for _, in := range c.inbound {
		in.abort()
	}
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// sendLoop sends p's queue, with backoff between failed streams.
func (c *Carrier) sendLoop(ctx context.Context, p *peer) {
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			start := time.Now()
			unsent, err := c.sendStream(ctx, p, m)
			for (errors.Is(err, errNoResponse) || errors.Is(err, errStreamEnd)) && ctx.Err() == nil {
				// The connection is replaced, but nothing shows that the peer is away.
				c.onError(p.id, err)
				unsent, err = c.sendStream(ctx, p, unsent)
			}
			if err == nil || ctx.Err() != nil {
				continue
			}
			c.onError(p.id, err)
			if time.Since(start) > maxBackoff {
				backoff = minBackoff
			}
		}
		waiter.Wait(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
		p.drain()
	}
}

// drain drops messages queued without a stream; the sender repeats those that are still needed.
func (p *peer) drain() {
	for range len(p.queue) {
		<-p.queue
	}
}

// sendStream sends m and the queue on a new connection until it breaks or is idle, or the peer stops responding; with
// errNoResponse and errStreamEnd it returns the next message, which it hasn't sent.
func (c *Carrier) sendStream(ctx context.Context, p *peer, m replicator.Message) (unsent replicator.Message, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	httpClient := encoder.NewClient(encoder.WithDialer(c.dial), encoder.WithPing(c.responseTimeout/2, c.responseTimeout/2))
	defer httpClient.Close()
	client := connect.NewClient[frame, ack](httpClient, "http://"+p.addr+procedure, encoder.ConnectOption())
	s := client.CallClientStream(ctx)
	c.mu.Lock()
	s.RequestHeader().Set(addrHeader, c.addr)
	c.mu.Unlock()
	setHeaders(s.RequestHeader(), c.cluster, c.id, p.id)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	start := time.Now()
	var unansweredSince time.Time
	for sent := false; ; sent = true {
		now := time.Now()
		if time.Unix(0, p.lastReceived.Load()).After(unansweredSince) {
			unansweredSince = time.Time{}
		}
		if !unansweredSince.IsZero() && now.Sub(unansweredSince) > c.responseTimeout {
			return m, errNoResponse
		}
		if err := sendFrame(s, m, cancel); err != nil {
			// A peer that refuses streams ends them early.
			if err = c.streamError(s, err); sent && time.Since(start) >= c.responseTimeout {
				err = errors.Join(errStreamEnd, err)
			}
			return m, err
		}
		if unansweredSince.IsZero() && m.ExpectsResponse() {
			// The time to send a large message doesn't count: it would be sent again and again.
			unansweredSince = time.Now()
		}
		idle.Reset(idleTimeout)
		select {
		case <-ctx.Done():
			return m, ctx.Err()
		case <-idle.C:
			return m, nil
		case m = <-p.queue:
		}
	}
}

func sendFrame(s *connect.ClientStreamForClient[frame, ack], m replicator.Message, cancel func()) error {
	f, err := toFrame(m)
	if err != nil {
		return err
	}
	t := time.AfterFunc(sendTimeout, cancel)
	defer t.Stop()
	return s.Send(f)
}

// streamError returns the error with which the peer ended the stream, or else err.
func (c *Carrier) streamError(s *connect.ClientStreamForClient[frame, ack], err error) error {
	if _, cerr := s.CloseAndReceive(); cerr != nil {
		return cerr
	}
	return err
}
