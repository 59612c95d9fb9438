package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

const (
	// soundBlocks is the number of blocks of events after which a stream has not crashed its server.
	soundBlocks       = 2
	crashProbeTimeout = 300 * time.Millisecond
	// maxCrashProbes bounds the servers that are probed at once.
	maxCrashProbes       = 64
	retryAfterQuarantine = time.Minute
	// trialWait is how long a request waits for the trial that it requested, retryAfterTrial the wait of those refused meanwhile.
	trialWait       = 150 * time.Millisecond
	retryAfterTrial = 200 * time.Millisecond
	// crashReportInterval is the interval between two checks for reports that are due.
	crashReportInterval = 100 * time.Millisecond
)

// crashProbeWaits are the waits before the probes of a server: requests that it breaks off are gathered until the last one. A
// server that ends closes connections before it stops to accept others.
var crashProbeWaits = []time.Duration{20 * time.Millisecond, 250 * time.Millisecond}

// suspects are the standings of parts and requests, and this entry's evidence about them.
type suspects struct {
	mu       sync.Mutex
	observer *quarantiner.Observer
	// changed is closed when standings change.
	changed chan struct{}
	// crashes are the servers that are about to be probed, with the requests that they broke off.
	crashes map[tracker.Key]*quarantiner.ServerCrash
	// probes has a place for each probe at once.
	probes chan struct{}
}

func newSuspects(entry string) *suspects {
	return &suspects{
		observer: quarantiner.NewObserver(entry), changed: make(chan struct{}), crashes: make(map[tracker.Key]*quarantiner.ServerCrash),
		probes: make(chan struct{}, maxCrashProbes),
	}
}

// apply applies standings from the leader.
func (s *suspects) apply(now time.Time, replace bool, list []governor.DigestStanding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replace {
		s.observer.Reset(now)
	}
	for _, d := range list {
		s.observer.SetState(now, d.Digest, d.State())
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *suspects) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observer.IsEmpty()
}

// check returns whether requests like c are refused, apart from a trial.
func (s *suspects) check(c *call) quarantiner.Admission {
	if s.isEmpty() {
		return quarantiner.Admitted
	}
	digests := c.digests()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observer.Check(digests)
}

// admit returns whether a request may be sent now, whether its trial must be requested, and a channel that is closed when the
// result may change.
func (s *suspects) admit(now time.Time, c *call) (a quarantiner.Admission, mustRequest bool, changed <-chan struct{}) {
	if s.isEmpty() {
		return quarantiner.Admitted, false, nil
	}
	digests := c.digests()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, c.onTrial, mustRequest = s.observer.Admit(now, digests)
	return a, mustRequest, s.changed
}

// recordSound records that a server began to answer a request, and returns what the leader suspects of it.
func (s *suspects) recordSound(now time.Time, c *call) (suspected []quarantiner.Digest) {
	digests := c.digests()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observer.RecordAnswer(now, digests)
}

// addBroken adds a request that a server broke off before it began to answer; first is set if the server isn't about to be
// probed yet.
func (s *suspects) addBroken(server tracker.Key, c *call) (first bool) {
	digests := c.digests()
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := s.crashes[server]
	if crash == nil {
		first = true
		crash = &quarantiner.ServerCrash{Server: server}
		s.crashes[server] = crash
	}
	for _, d := range digests {
		if !slices.Contains(crash.Digests, d) {
			crash.Digests = append(crash.Digests, d)
		}
	}
	if c.onTrial {
		crash.Tried = digests
	}
	return first
}

// takeBroken returns what was gathered of a server, and records it if the server has ended.
func (s *suspects) takeBroken(now time.Time, server tracker.Key, hasEnded bool) quarantiner.ServerCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := *s.crashes[server]
	delete(s.crashes, server)
	if hasEnded {
		s.observer.RecordCrash(now, crash)
	}
	return crash
}

// takeReport returns what the leader should be told now; isEmpty means nothing.
func (s *suspects) takeReport(now time.Time) (up governor.UpMessage, isEmpty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.observer.TakeReports(now) {
		up.Crashes = append(up.Crashes, governor.Crash(c))
	}
	for _, own := range s.observer.TakeExpiredGrants(now) {
		up.Trials = append(up.Trials, governor.Trial{Digests: []quarantiner.Digest{own}, Step: governor.TrialCancelled})
	}
	return up, len(up.Crashes)+len(up.Trials) == 0
}

// partDigests returns the digests of the parts that the request shares with others.
func (e *Relayer) partDigests(c *call) []quarantiner.Digest {
	if e.headers.ParseParts == nil {
		return nil
	}
	var out []quarantiner.Digest
	for _, id := range e.headers.ParseParts(c.req.get(e.headers.Parts)) {
		out = append(out, quarantiner.DigestOf("part", c.service, id))
	}
	return out
}

// digests returns the digests of the parts and of the whole request, the same each time that the caller sends it.
func (c *call) digests() []quarantiner.Digest {
	if c.allDigests == nil {
		whole := quarantiner.DigestOf("request", c.service, c.req.method, c.req.host, c.req.uri, c.adapter.Model, c.adapter.Name, string(c.req.body))
		c.allDigests = append(slices.Clone(c.parts), whole)
	}
	return c.allDigests
}

// admit waits until a request may be sent: one with quarantined digests only as their trial.
func (e *Relayer) admit(ctx context.Context, c *call) quarantiner.Admission {
	limit := time.Now().Add(trialWait)
	for {
		a, mustRequest, changed := e.suspects.admit(time.Now(), c)
		if a != quarantiner.Undecided {
			return a
		}
		if mustRequest {
			e.enqueueTrial(c.service, c.digests(), governor.TrialRequested)
		}
		if time.Until(limit) <= 0 || !waitAny(ctx, time.Until(limit), changed, nil) {
			return a
		}
	}
}

func (e *Relayer) enqueueTrial(service string, digests []quarantiner.Digest, step governor.TrialStep) {
	e.control.enqueue(governor.UpMessage{Trials: []governor.Trial{{Digests: digests, Step: step, Service: service}}})
}

// recordEvidence records what an attempt shows about its request: that a server answered it, or ended under it.
func (e *Relayer) recordEvidence(a *attempt, r attemptResult) {
	c := a.call
	switch {
	case r.outcome == outcomeForwarded || r.outcome == outcomeAnswered && r.showsSound():
		e.recordSound(c)
	case a.mayHaveCrashedServer(r):
		if e.suspects.addBroken(a.choice.Key, c) {
			e.wg.Go(func() { e.probeCrash(a.choice) })
		}
		c.onTrial = false
	}
	switch {
	case !c.onTrial:
	case r.outcome == outcomeUnsent:
		e.enqueueTrial(c.service, c.digests(), governor.TrialCancelled)
	default:
		e.enqueueTrial(c.service, c.digests(), governor.TrialUndecided)
	}
	c.onTrial = false
}

// mayHaveCrashedServer reports whether the server broke off the request before it began to answer. Under a request on trial it
// may also end after the caller left or the time was over.
func (a *attempt) mayHaveCrashedServer(r attemptResult) bool {
	switch r.outcome {
	case outcomeUnknown, outcomeCut, outcomeCallerLeft:
		return a.blocks < soundBlocks && (r.isBroken || a.call.onTrial)
	default:
		return false
	}
}

// showsSound reports whether an answer shows that the server survives the request. Errors of servers may be given before
// the request begins to run.
func (r *attemptResult) showsSound() bool {
	return r.status < http.StatusInternalServerError && !impliesNotRun(r.status)
}

func (e *Relayer) recordSound(c *call) {
	up := governor.UpMessage{Sound: e.suspects.recordSound(time.Now(), c)}
	if c.onTrial {
		up.Trials = []governor.Trial{{Digests: c.digests(), Step: governor.TrialAnswered, Service: c.service}}
	}
	c.onTrial = false
	if len(up.Sound)+len(up.Trials) > 0 {
		e.control.enqueue(up)
	}
}

// probeCrash reports a server that has ended; one that still accepts connections has only ended some.
func (e *Relayer) probeCrash(server balancer.Choice) {
	hasEnded := false
	for _, wait := range crashProbeWaits {
		waiter.Wait(e.ctx, wait)
		if hasEnded = e.refusesConnections(server.Addr); hasEnded {
			break
		}
	}
	crash := e.suspects.takeBroken(time.Now(), server.Key, hasEnded)
	if !hasEnded {
		if len(crash.Tried) > 0 {
			e.enqueueTrial(server.Service, crash.Tried, governor.TrialUndecided)
		}
		return
	}
	e.log.Warn("backend server ended under requests that it had not begun to answer", server.Key.ID)
	e.reportCrashes(time.Now())
}

// refusesConnections reports whether a server refuses connections, as one does that has ended.
func (e *Relayer) refusesConnections(addr string) bool {
	e.suspects.probes <- struct{}{}
	defer func() { <-e.suspects.probes }()
	ctx, cancel := context.WithTimeout(e.ctx, crashProbeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrashes reports the crashes that are due.
func (e *Relayer) reportCrashes(now time.Time) {
	if up, isEmpty := e.suspects.takeReport(now); !isEmpty {
		e.control.enqueue(up)
	}
}

// isBroken reports whether a read or write failed because the other side ended the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// refuseQuarantined ends a request that may crash a backend server.
func (e *Relayer) refuseQuarantined(c *call, w *responseWriter, a quarantiner.Admission) bool {
	reason, retryAfter := "requests like this one crash backend servers", retryAfterQuarantine
	if a != quarantiner.Refused {
		reason, retryAfter = "a request like this one is on trial, as backend servers ended under others", retryAfterTrial
	}
	switch {
	case w.streaming:
		return e.abortResponse(c, w, reason)
	case c.mayHaveRun:
		return e.respondError(c, w, http.StatusBadGateway, "the request may have run: "+reason)
	}
	return e.refuse(c, w, reason, retryAfter)
}

// applyStandings applies the standings in a message of the replica.
func (c *controlClient) applyStandings(d *governor.DownMessage) {
	if d.Welcome == nil && len(d.Standings) == 0 {
		return
	}
	c.entry.suspects.apply(time.Now(), d.Welcome != nil, d.Standings)
}

// reportCrashes reports crashes as they become due.
func (c *controlClient) reportCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, crashReportInterval)
		c.entry.reportCrashes(time.Now())
	}
}
