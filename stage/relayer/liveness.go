package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

const (
	// livenessTimeout bounds the wait for a server's answer to a probe by a request that may be repeated.
	livenessTimeout = time.Second
	// probePause is the wait before a probe is repeated whose connection broke off, maxProbes how often it is sent.
	probePause = 50 * time.Millisecond
	maxProbes  = 10
	// maxProbeBytes bounds the body of the answer to a probe.
	maxProbeBytes = 1 << 20
	// unreadTime is how long a server keeps a response that isn't read, at the least.
	unreadTime = time.Second
)

// errNoProbe means that there is no way to ask the server.
var errNoProbe = errors.New("the server can't be asked")

// liveness asks servers whether they outlived responses that ended with their connections. A killed process's connections end in the
// same way.
type liveness struct {
	mu sync.Mutex
	// waiting are the probes that aren't sent yet, running the servers that are being probed.
	waiting map[tracker.Key]*probe
	running map[tracker.Key]bool
}

// probe is one question to a server; err is set before done is closed.
type probe struct {
	key  tracker.Key
	done chan struct{}
	err  error
	// waiters is the number of those who wait for the answer; ctx ends once there are none.
	waiters int
	ctx     context.Context
	cancel  context.CancelFunc
}

func newLiveness() *liveness {
	return &liveness{waiting: make(map[tracker.Key]*probe), running: make(map[tracker.Key]bool)}
}

// join returns a probe that is sent from now on, and that the caller leaves; mustRun is set if the caller must run the server's probes.
func (l *liveness) join(ctx context.Context, k tracker.Key) (p *probe, mustRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p = l.waiting[k]; p == nil {
		p = &probe{key: k, done: make(chan struct{})}
		p.ctx, p.cancel = context.WithCancel(ctx)
		l.waiting[k] = p
	}
	p.waiters++
	mustRun = !l.running[k]
	l.running[k] = true
	return p, mustRun
}

// leave ends a probe for which nobody waits any more.
func (l *liveness) leave(p *probe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.waiters--; p.waiters > 0 {
		return
	}
	p.cancel()
	if l.waiting[p.key] == p {
		delete(l.waiting, p.key)
	}
}

// next returns the server's next probe, or nil if none waits.
func (l *liveness) next(k tracker.Key) *probe {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.waiting[k]
	delete(l.waiting, k)
	if p == nil {
		delete(l.running, k)
	}
	return p
}

// confirmEnd changes the result of an attempt whose response ended with its connection unless the server outlived that end and can't have
// given the response up.
func (e *Relayer) confirmEnd(ctx context.Context, a *attempt, out *responseWriter, r attemptResult) attemptResult {
	isSlow := out.slowestWrite >= unreadTime
	var err error
	if isSlow {
		err = errors.Errorf("the caller left it unread for %d ms", out.slowestWrite.Milliseconds())
	} else {
		err = e.confirmAlive(ctx, a)
	}
	e.metrics.countProbe(err == nil)
	if err == nil {
		return r
	}
	r = unknownResult("body", errors.Wrap(err, "it ended with its connection, which may not be its end"))
	r.isBroken = true
	if isSlow || ctx.Err() != nil || errors.Is(err, errNoProbe) || e.balancer.IsLeaving(a.choice.Key) {
		r.result, r.isBroken = balancer.NoEvidence, false
	}
	if out.streaming {
		r.outcome = outcomeCut
	}
	return r
}

// confirmAlive returns nil once the attempt's server has answered a probe that was sent after the call. A request that may run once waits
// as long as it has time: nothing else can become of it.
func (e *Relayer) confirmAlive(ctx context.Context, a *attempt) error {
	in := a.choice.Instance
	if a.call.route.Idempotent() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, livenessTimeout)
		defer cancel()
	}
	p, mustRun := e.liveness.join(e.ctx, in.Key)
	defer e.liveness.leave(p)
	if mustRun {
		e.wg.Go(func() {
			for p := e.liveness.next(in.Key); p != nil; p = e.liveness.next(in.Key) {
				p.err = e.probeServer(p.ctx, in)
				close(p.done)
			}
		})
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// probeServer returns nil if this start of the server answers a request that is sent now. A server at its limit of connections resets
// new ones; one that has ended refuses them.
func (e *Relayer) probeServer(ctx context.Context, in tracker.Instance) error {
	path, err := e.probePath(in.Service)
	if err != nil {
		return err
	}
	for range maxProbes {
		if err = e.probeOnce(ctx, in, path); !isBroken(err) || !waiter.Wait(ctx, probePause) {
			break
		}
	}
	return err
}

// probeOnce sends a probe over a new connection.
func (e *Relayer) probeOnce(ctx context.Context, in tracker.Instance, path string) error {
	// What comes on an idle connection may have been written before, and its other side may be gone.
	// Another request may have taken the place of the connection that ended: one probe of a server at a time may go beyond the limit.
	c, err := e.pool.dial(ctx, in, math.MaxInt)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	keepAlive, err := e.askServer(c, in, path)
	if !stop() || err != nil || keepAlive < 0 || !e.pool.holdsAtMost(in.Key, e.connLimit(in.Service)) {
		_ = c.Close()
	} else {
		e.pool.put(c, keepAlive)
	}
	return err
}

// probePath returns the path that a server of the service is probed at.
func (e *Relayer) probePath(service string) (string, error) {
	t := e.table.Load()
	if t == nil {
		return "", errors.Wrap(errNoProbe, "no document is in force")
	}
	s, ok := t.Service(service)
	switch {
	case ok && s.AdapterSlots > 0 && e.headers.ReportPath != "":
		return e.headers.ReportPath, nil
	case ok && s.HealthPath != "":
		return s.HealthPath, nil
	}
	return "", errors.Wrapf(errNoProbe, "service %q has no health path", service)
}

// askServer sends a probe and reads its answer; it returns the server's idle timeout as roundTrip does.
func (e *Relayer) askServer(c *conn, in tracker.Instance, path string) (time.Duration, error) {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", path, in.Addr, e.headers.Expect, in.Key.ID); err != nil {
		return -1, errors.Wrap(err, "write")
	}
	for range maxStrayResponses + maxInterimResponses {
		h, err := readResponseHead(c.br)
		if err != nil {
			return -1, errors.Wrap(err, "read")
		}
		switch {
		case h.StatusCode() < http.StatusOK:
			continue
		case len(h.Peek(e.headers.AttemptID)) > 0:
			if err := discardBody(c.br, h); err != nil {
				return -1, errors.Wrap(err, "skip an answer to another request")
			}
			continue
		case h.StatusCode() == http.StatusMisdirectedRequest:
			return -1, errors.New("another server answers at its address")
		}
		if id := h.Peek(e.headers.Instance); len(id) > 0 && string(id) != in.Key.ID {
			return -1, errors.Errorf("the server at its address is %q", id)
		}
		b := newResponseBody(c.br, h, http.MethodGet)
		body, err := io.ReadAll(io.LimitReader(b, maxProbeBytes+1))
		switch {
		case err != nil:
			return -1, errors.Wrap(err, "read the body")
		case len(body) > maxProbeBytes:
			return -1, errors.Errorf("the body has more than %d bytes", maxProbeBytes)
		}
		if err := e.checkStart(in, body); err != nil {
			return -1, err
		}
		if h.ConnectionClose() || b.framing() == framingClose {
			return -1, nil
		}
		return parseKeepAlive(string(h.Peek("Keep-Alive"))), nil
	}
	return -1, errors.New("no answer to the probe came")
}

// checkStart returns an error if what a server says of itself is of another start.
func (e *Relayer) checkStart(in tracker.Instance, body []byte) error {
	if e.headers.ParseStart == nil || in.Key.StartedMS == 0 || len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	if ms, ok := e.headers.ParseStart(body); ok && ms != in.Key.StartedMS {
		return errors.Errorf("the server has started again, at %d", ms)
	}
	return nil
}
