package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/tunneler"
)

// partialLinks are links over which some addresses can't be reached.
type partialLinks struct {
	mu   sync.Mutex
	lost map[string]bool
}

func (p *partialLinks) set(addr string, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost[addr] = lost
}

func (p *partialLinks) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	p.mu.Lock()
	lost := p.lost[addr]
	p.mu.Unlock()
	if lost {
		return nil, syscall.ECONNREFUSED
	}
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}

// startLinks returns an entry's links to n servers, beside another entry that opens connections with carry.
func startLinks(c *qt.C, n int, carry func(ctx context.Context, addr string) (net.Conn, error)) (*links, *partialLinks, []tracker.Instance) {
	own, log := &partialLinks{lost: make(map[string]bool)}, logger.New(io.Discard, "error").Component("test")
	l := newLinks(false, "z", own.dial, log)
	t, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0"}, tunneler.Deps{DialServer: carry, Log: log})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(t.Close(), qt.IsNil) })
	l.setPeers([]governor.Peer{{Addr: t.Addr(), Zone: "z"}, {Addr: "own", Zone: "z"}}, "own")
	var servers []tracker.Instance
	for i := range n {
		srv := httptest.NewServer(http.NotFoundHandler())
		c.Cleanup(srv.Close)
		servers = append(servers, tracker.Instance{Key: tracker.Key{ID: fmt.Sprint("s", i), StartedMS: 1}, Addr: srv.Listener.Addr().String()})
	}
	return l, own, servers
}

func dialServer(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// open opens and closes a connection to a server; carried reports that it went through another entry.
func (l *links) open(c *qt.C, in tracker.Instance) (carried bool, err error) {
	conn, carried, err := l.dial(c.Context(), in)
	if err == nil {
		_ = conn.Close()
	}
	return carried, err
}

// Servers that had crashed must not be taken for lost links: none of their requests could be served elsewhere.
func TestServersThatAreDownAreNotBlocked(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 5, func(context.Context, string) (net.Conn, error) {
		return nil, errors.Wrap(tunneler.ErrServer, "refused")
	})
	for _, in := range servers {
		own.set(in.Addr, true)
		_, err := l.open(c, in)
		c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(l.isBlocked(in.Key), qt.IsFalse)
	}
}

// An entry that reaches some servers uses its own links to them.
func TestLostLinksToSomeServersLeaveTheOthers(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 6, dialServer)
	for _, in := range servers[1:] {
		own.set(in.Addr, true)
		carried, err := l.open(c, in)
		c.Check(carried, qt.IsTrue)
		c.Check(err, qt.IsNil)
		carried, err = l.open(c, servers[0])
		c.Check(carried, qt.IsFalse)
		c.Check(err, qt.IsNil)
	}
}

// All servers count as unreachable after a few, and the own links are used again as soon as they reach one.
func TestLostLinksAreLeftAndReturnedTo(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 6, dialServer)
	ctx, cancel := context.WithCancel(c.Context())
	var wg sync.WaitGroup
	wg.Go(func() { l.watch(ctx, func(tracker.Key) bool { return true }) })
	defer wg.Wait()
	defer cancel()
	for _, in := range servers {
		own.set(in.Addr, true)
	}
	for _, in := range servers[:minBlocked] {
		_, err := l.open(c, in)
		c.Check(err, qt.IsNil)
	}
	c.Check(l.isBlocked(servers[minBlocked].Key), qt.IsTrue)
	c.Check(l.isLost(), qt.IsFalse, qt.Commentf("another entry carries connections"))
	for _, in := range servers {
		own.set(in.Addr, false)
	}
	for end := time.Now().Add(10 * linkProbeInterval); l.countBlocked() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	carried, err := l.open(c, servers[0])
	c.Check(carried, qt.IsFalse)
	c.Check(err, qt.IsNil)
}

// A request that no way leads to a server for is refused at once.
func TestNoWayToServersIsKnown(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 6, func(context.Context, string) (net.Conn, error) { return nil, errLost })
	for _, in := range servers[:minBlocked] {
		own.set(in.Addr, true)
		_, err := l.open(c, in)
		c.Check(err, qt.IsNotNil)
	}
	c.Check(l.isLost(), qt.IsTrue)
	began := time.Now()
	_, err := l.open(c, servers[minBlocked])
	c.Check(err, qt.IsNotNil)
	c.Check(time.Since(began) < directWait, qt.IsTrue)
}

// An entry that has no way to any server says that it isn't ready, so that callers go elsewhere.
func TestEntryWithoutAnyWayIsNotReady(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c, http.NotFound)
	ready := func() int {
		w := httptest.NewRecorder()
		e.serveReadiness(w, nil)
		return w.Code
	}
	c.Check(ready(), qt.Equals, http.StatusOK)
	for i := range minBlocked {
		e.links.block(tracker.Instance{Key: tracker.Key{ID: fmt.Sprint("x", i)}})
	}
	c.Check(ready(), qt.Equals, http.StatusOK, qt.Commentf("other entries may carry connections"))
	_, err := e.links.dialPeer(c.Context(), "127.0.0.1:1")
	c.Assert(err, qt.IsNotNil)
	c.Check(ready(), qt.Equals, http.StatusServiceUnavailable)
}

// A pooled connection that hangs must not get the next request once the links are known to be lost.
func TestPooledConnectionsOverLostLinksAreNotUsed(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 1, dialServer)
	p := newPool(l)
	direct, err := p.get(c.Context(), servers[0], 10, "a")
	c.Assert(err, qt.IsNil)
	p.put(direct, 0)
	own.set(servers[0].Addr, true)
	l.block(servers[0])
	carried, err := p.get(c.Context(), servers[0], 10, "b")
	c.Assert(err, qt.IsNil)
	c.Check(carried.carried, qt.IsTrue)
	p.put(carried, 0)
	own.set(servers[0].Addr, false)
	l.recordReached(servers[0].Key)
	again, err := p.get(c.Context(), servers[0], 10, "c")
	c.Assert(err, qt.IsNil)
	c.Check(again.carried, qt.IsFalse)
	c.Check(again.Close(), qt.IsNil)
}

// An entry that is gone must not cost a request all its time for a connection.
func TestSilentPeerCostsPartOfTheTime(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 1, dialServer)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	own.set(servers[0].Addr, true)
	l.mu.Lock()
	l.list = append([]governor.Peer{{Addr: silent.Addr().String(), Zone: "z"}}, l.list...)
	l.failedAt[l.list[1].Addr] = time.Now().Add(time.Hour)
	l.mu.Unlock()
	carried, err := l.open(c, servers[0])
	c.Check(err, qt.IsNil)
	c.Check(carried, qt.IsTrue)
}

// A server that is down must not make an entry whose connections others carry say that it isn't ready.
func TestServerThatIsDownLosesNoLinks(t *testing.T) {
	c := qt.New(t)
	down := ""
	l, own, servers := startLinks(c, minBlocked+1, func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == down {
			return nil, errors.Wrap(tunneler.ErrServer, "refused")
		}
		return dialServer(ctx, addr)
	})
	down = servers[minBlocked].Addr
	for i, in := range servers {
		own.set(in.Addr, true)
		_, err := l.open(c, in)
		c.Check(err == nil, qt.Equals, i < minBlocked, qt.Commentf("%v", err))
	}
	c.Check(l.isLost(), qt.IsFalse)
}

// An entry whose port for others is taken serves its own callers.
func TestEntryServesWithoutTunnels(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	e, err := New(Config{Node: "n", Zone: "z", CallersAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", TunnelAddr: taken.Addr().String(), RetryWindow: time.Second},
		Deps{Headers: testHeaders, Log: logger.New(io.Discard, "error")})
	c.Assert(err, qt.IsNil)
	c.Check(e.tunnelAddr(), qt.Equals, "")
	ctx, cancel := context.WithCancel(c.Context())
	cancel()
	c.Check(e.Close(ctx), qt.IsNil)
}

// An idle connection through another entry is used again unless the server has ended it.
func TestIdleCarriedConnectionIsUsedUntilItsEnd(t *testing.T) {
	c := qt.New(t)
	l, own, servers := startLinks(c, 1, dialServer)
	srv := httptest.NewServer(http.NotFoundHandler())
	c.Cleanup(srv.Close)
	servers[0].Addr = srv.Listener.Addr().String()
	own.set(servers[0].Addr, true)
	p := newPool(l)
	first, err := p.get(c.Context(), servers[0], 10, "a")
	c.Assert(err, qt.IsNil)
	for range 2 {
		_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(first.br, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		p.put(first, 0)
		again, err := p.get(c.Context(), servers[0], 10, "b")
		c.Assert(err, qt.IsNil)
		c.Check(again, qt.Equals, first)
	}
	p.put(first, 0)
	srv.CloseClientConnections()
	for end := time.Now().Add(time.Second); first.isUsable() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	other, err := p.get(c.Context(), servers[0], 10, "c")
	c.Assert(err, qt.IsNil)
	c.Check(other, qt.Not(qt.Equals), first)
	c.Check(other.Close(), qt.IsNil)
}

// startOldCarrier starts an entry of a build that carries connections without frames; kill ends them in order, as the kernel does for a
// process that is killed.
func startOldCarrier(c *qt.C) (addr string, kill func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var mu sync.Mutex
	var conns []net.Conn
	kill = func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				_ = conn.Close()
				continue
			}
			server, err := net.Dial("tcp", req.Host)
			if err != nil {
				_ = conn.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, conn, server)
			mu.Unlock()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
			go func() { _, _ = io.Copy(server, conn) }()
			go func() { _, _ = io.Copy(conn, server) }()
		}
	}()
	c.Cleanup(kill)
	return ln.Addr().String(), kill
}

// An answer without a length must not look complete when the entry that carries it ends, in whatever way and of whatever build.
func TestAnswerThroughEntryThatEndsIsCut(t *testing.T) {
	for _, carrier := range []string{"stopped", "older build, killed"} {
		for _, path := range []string{"/stream/x", "/safe/x", "/once/x"} {
			t.Run(carrier+path, func(t *testing.T) {
				c := qt.New(t)
				began, release := make(chan struct{}, 8), make(chan struct{})
				e := startEntry(c, func(w http.ResponseWriter, r *http.Request) {
					setSeal(w, r)
					w.Header().Set("Transfer-Encoding", "identity")
					writeEvent(w, 1)
					began <- struct{}{}
					<-release
				})
				defer close(release)
				own := &partialLinks{lost: make(map[string]bool)}
				for _, in := range e.balancer.Servers() {
					own.set(in.Addr, true)
				}
				e.links.dialer = own.dial
				addr, end := startOldCarrier(c)
				if carrier == "stopped" {
					tn, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0"}, tunneler.Deps{DialServer: dialServer, Log: e.log})
					c.Assert(err, qt.IsNil)
					addr, end = tn.Addr(), func() { c.Check(tn.Close(), qt.IsNil) }
				}
				e.links.setPeers([]governor.Peer{{Addr: addr, Zone: "z"}}, "own")
				l := dial(c, e)
				l.send(c, "POST", path, "x")
				<-began
				time.Sleep(50 * time.Millisecond)
				end()
				resp := l.receive(c)
				c.Check(resp.status != http.StatusOK || resp.err != nil, qt.IsTrue, qt.Commentf("%d %q", resp.status, resp.body))
			})
		}
	}
}
