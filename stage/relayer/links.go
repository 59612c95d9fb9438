package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/acceptor"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/tunneler"
)

const (
	dialTimeout = 700 * time.Millisecond
	// directWait is how long a server may take to accept a connection before another entry is asked for one; a handshake between
	// regions takes less.
	directWait = 150 * time.Millisecond
	// minBlocked is the number of servers that can't be reached, with none reached since, from which all count as such.
	minBlocked = 3
	// linkProbeInterval is the interval between two tries to reach unreachable servers, linkProbes how many of them are tried at once.
	linkProbeInterval = 250 * time.Millisecond
	linkProbes        = 4
	// failedPeerTime is how long an entry that carried no connection is asked last, maxPeers how many are asked for one connection, each
	// for peerTimeout at most.
	failedPeerTime = time.Second
	peerTimeout    = 300 * time.Millisecond
	maxPeers       = 3
	tcpKeepAlive   = time.Second
	// unacknowledgedTimeout is how long a server's host may leave data unacknowledged: longer than a host that stands still for a
	// second. The kernel applies it to keep-alive probes, too.
	unacknowledgedTimeout = 2500 * time.Millisecond
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks on some architectures.
	tcpUserTimeout = 0x12
)

var (
	errNoPeer = errors.New("no other entry carries connections")
	errLost   = errors.New("this entry's own links to servers are lost")
)

// links opens connections to backend servers: over this entry's own links, or through other entries where those are lost.
type links struct {
	dialer encoder.DialFunc
	peers  net.Dialer
	zone   string
	log    *logger.Component

	mu sync.Mutex
	// blocked are the servers that this entry's own links don't reach, reachedAt is when they last reached any.
	blocked   map[tracker.Key]blockedServer
	reachedAt time.Time
	// list are the other entries that carry connections, failedAt is when one last didn't.
	list     []governor.Peer
	failedAt map[string]time.Time
	// carriedAt and uncarriedAt are when another entry last carried a connection, and when none would.
	carriedAt, uncarriedAt time.Time
	// isStranded is the state that was logged last.
	isStranded bool

	// opened counts connections to servers by way.
	opened *prometheus.CounterVec
	// dials are those whose request has ended without them.
	dials conc.WaitGroup
}

type blockedServer struct {
	addr           string
	since, triedAt time.Time
}

// newLinks returns the links of an entry in a zone; bounded bounds what waits unread in each connection, and dialer, unless it is nil,
// replaces this entry's own links.
func newLinks(bounded bool, zone string, dialer encoder.DialFunc, log *logger.Component) *links {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive, Control: func(network, addr string, raw syscall.RawConn) error {
		if bounded {
			if err := acceptor.BoundReceiveBuffer(network, addr, raw); err != nil {
				return err
			}
		}
		return raw.Control(func(fd uintptr) {
			// Without it, a connection that hangs ends later.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
		})
	}}
	if dialer == nil {
		dialer = d.DialContext
	}
	return &links{
		dialer: dialer, peers: d, zone: zone, log: log, blocked: make(map[tracker.Key]blockedServer), failedAt: make(map[string]time.Time),
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_server_connections_total", Help: "Connections to servers by way: direct, or carried by another entry.",
		}, []string{"way"}),
	}
}

// setPeers sets the entries that carry connections, without this one.
func (l *links) setPeers(list []governor.Peer, own string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(slices.Clone(list), func(p governor.Peer) bool { return p.Addr == own })
	clear(l.failedAt)
}

// dialResult is the result of a dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial opens a connection to a server; carried reports that it goes through another entry.
func (l *links) dial(ctx context.Context, in tracker.Instance) (c net.Conn, carried bool, err error) {
	c, carried, err = l.dialAnyWay(ctx, in)
	switch {
	case err != nil:
	case carried:
		l.opened.WithLabelValues("carried").Inc()
	default:
		l.opened.WithLabelValues("direct").Inc()
	}
	return c, carried, err
}

func (l *links) dialAnyWay(ctx context.Context, in tracker.Instance) (c net.Conn, carried bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if l.isBlocked(in.Key) {
		c, err = l.dialPeer(ctx, in.Addr)
		return c, true, err
	}
	direct := l.dialDirect(ctx, in)
	wait := time.NewTimer(directWait)
	defer wait.Stop()
	var ended *dialResult
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, false, nil
		}
		ended = &r
	case <-wait.C:
	}
	if ctx.Err() == nil {
		c, err = l.dialPeer(ctx, in.Addr)
		if err == nil || !errors.Is(err, tunneler.ErrServer) && !errors.Is(err, errNoPeer) && ctx.Err() == nil {
			l.block(in)
		}
		if err == nil {
			if ended == nil {
				l.dials.Go(func() { closeResult(direct) })
			}
			return c, true, nil
		}
	}
	if ended != nil {
		return nil, false, ended.err
	}
	select {
	case r := <-direct:
		return r.conn, false, r.err
	case <-ctx.Done():
		l.dials.Go(func() { closeResult(direct) })
		return nil, false, ctx.Err()
	}
}

// dialDirect dials a server over this entry's own links, whatever becomes of the request: the result tells whether they reach it.
func (l *links) dialDirect(ctx context.Context, in tracker.Instance) <-chan dialResult {
	out := make(chan dialResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		defer cancel()
		c, err := l.dialer(ctx, "tcp", in.Addr)
		if err == nil {
			l.recordReached(in.Key)
		}
		out <- dialResult{c, err}
	}()
	return out
}

func closeResult(direct <-chan dialResult) {
	if r := <-direct; r.conn != nil {
		_ = r.conn.Close()
	}
}

// dialPeer opens a connection to the server at addr through another entry: of two that can't reach it, one may have lost its own links.
func (l *links) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	err := errNoPeer
	unreached := 0
	for _, p := range l.candidates(time.Now()) {
		var c net.Conn
		if c, err = l.dialThrough(ctx, p.Addr, addr); err == nil {
			l.recordPeer(p.Addr, true)
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		l.recordPeer(p.Addr, false)
		if errors.Is(err, tunneler.ErrServer) {
			if unreached++; unreached > 1 {
				break
			}
		}
	}
	if unreached == 0 {
		l.mu.Lock()
		l.uncarriedAt = time.Now()
		l.mu.Unlock()
	}
	return nil, err
}

// dialThrough opens a connection to the server at addr through the entry at peer.
func (l *links) dialThrough(ctx context.Context, peer, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return tunneler.Dial(ctx, &l.peers, peer, addr)
}

// candidates returns the entries to ask for a connection: one in this data centre, then others, those that failed lately last.
func (l *links) candidates(now time.Time) []governor.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.list)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	hasFailed := func(p governor.Peer) bool {
		at, ok := l.failedAt[p.Addr]
		return ok && now.Sub(at) < failedPeerTime
	}
	local := slices.IndexFunc(out, func(p governor.Peer) bool { return p.Zone == l.zone && !hasFailed(p) })
	rank := func(i int, p governor.Peer) int {
		switch {
		case i == local:
			return 0
		case hasFailed(p):
			return 3
		case p.Zone == l.zone:
			return 2
		}
		return 1
	}
	ranks := make(map[string]int, len(out))
	for i, p := range out {
		ranks[p.Addr] = rank(i, p)
	}
	slices.SortStableFunc(out, func(x, y governor.Peer) int { return ranks[x.Addr] - ranks[y.Addr] })
	return out[:min(len(out), maxPeers)]
}

func (l *links) recordPeer(addr string, ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.carriedAt = now
		delete(l.failedAt, addr)
	} else {
		l.failedAt[addr] = now
	}
}

// block records that this entry's own links don't reach a server.
func (l *links) block(in tracker.Instance) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.blocked[in.Key]; !ok {
		l.blocked[in.Key] = blockedServer{addr: in.Addr, since: now, triedAt: now}
	}
	l.logState()
}

// recordReached records that this entry's own links reach a server.
func (l *links) recordReached(k tracker.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachedAt = time.Now()
	delete(l.blocked, k)
	l.logState()
}

// stranded reports whether all servers count as unreachable over this entry's own links. The caller holds mu.
func (l *links) stranded() bool {
	n := 0
	for _, b := range l.blocked {
		if b.since.After(l.reachedAt) {
			n++
		}
	}
	return n >= minBlocked
}

// logState logs that all links are lost, or back. The caller holds mu.
func (l *links) logState() {
	if now := l.stranded(); now != l.isStranded {
		l.isStranded = now
		if now {
			l.log.Warn("the links to backend servers are lost, going through other entries", "")
		} else {
			l.log.Info("the links to backend servers are back", "")
		}
	}
}

// isBlocked reports whether a server isn't reached over this entry's own links.
func (l *links) isBlocked(k tracker.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.blocked) == 0 {
		return false
	}
	_, ok := l.blocked[k]
	return ok || l.stranded()
}

func (l *links) countBlocked() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.blocked))
}

// isLost reports whether this entry has no way to any server: neither its own links nor other entries.
func (l *links) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stranded() && l.uncarriedAt.After(l.carriedAt)
}

// watch tries to reach the servers that are blocked until ctx is done; known reports whether a server is still known.
func (l *links) watch(ctx context.Context, known func(tracker.Key) bool) {
	t := time.NewTicker(linkProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			var probes conc.WaitGroup
			for _, in := range l.dueProbes(now, known) {
				probes.Go(func() { closeResult(l.dialDirect(ctx, in)) })
			}
			probes.Wait()
		}
	}
}

// dueProbes returns the blocked servers that were tried longest ago, and drops those that aren't known anymore.
func (l *links) dueProbes(now time.Time, known func(tracker.Key) bool) []tracker.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []tracker.Key
	for k := range l.blocked {
		if known(k) {
			keys = append(keys, k)
		} else {
			delete(l.blocked, k)
		}
	}
	slices.SortFunc(keys, func(x, y tracker.Key) int { return l.blocked[x].triedAt.Compare(l.blocked[y].triedAt) })
	var out []tracker.Instance
	for _, k := range keys[:min(len(keys), linkProbes)] {
		b := l.blocked[k]
		b.triedAt = now
		l.blocked[k] = b
		out = append(out, tracker.Instance{Key: k, Addr: b.addr})
	}
	return out
}

// startTunnels starts to carry connections for other entries; an entry that can't serves its own callers without.
func (e *Relayer) startTunnels() {
	if e.cfg.TunnelAddr == "" {
		return
	}
	t, err := tunneler.New(tunneler.Config{Addr: e.cfg.TunnelAddr, MemoryLimit: e.cfg.MemoryLimit, MaxFiles: e.cfg.MaxFiles}, tunneler.Deps{
		DialServer: e.dialForPeer, Log: e.log,
	})
	if err != nil {
		e.log.Error("no connections are carried for other entries", err)
		return
	}
	e.tunnels = t
}

// tunnelAddr returns the address at which this entry carries connections for others, "" if it doesn't.
func (e *Relayer) tunnelAddr() string {
	if e.tunnels == nil {
		return ""
	}
	return e.tunnels.Addr()
}

// dialForPeer opens a connection over this entry's own links for another entry.
func (e *Relayer) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	if e.stopping.Load() {
		return nil, errors.New("the entry shuts down")
	}
	servers := e.balancer.Servers()
	i := slices.IndexFunc(servers, func(in tracker.Instance) bool { return in.Addr == addr })
	switch {
	case i < 0:
		return nil, errors.Errorf("no server is known at %s", addr)
	case e.links.isBlocked(servers[i].Key):
		return nil, errLost
	}
	c, err := e.links.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(tunneler.ErrServer, err.Error())
	}
	e.links.recordReached(servers[i].Key)
	return c, nil
}
