package attempter

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/streamer"
)

const (
	initialBackoff          = 10 * time.Millisecond
	maxBackoff              = 200 * time.Millisecond
	defaultFirstTokenBudget = 5 * time.Second
	lockTimeout             = 10 * time.Second
	// maxAttempts bounds the attempts of one request, however they end.
	maxAttempts = 200
)

// Control is the part of the control role that the attempter uses.
type Control interface {
	Roster() *registrar.Roster
	Standing(d quarantiner.Digest) quarantiner.Standing
	LockSuspect(ctx context.Context, d quarantiner.Digest) (release func(), err error)
}

// Local serves requests at backend servers that this entry owns.
type Local interface {
	Serve(ctx context.Context, req *streamer.Request, server string, lastCandidate bool, sink streamer.Sink) streamer.End
}

// Peers serves requests at backend servers that other entries own.
type Peers interface {
	Serve(ctx context.Context, addr string, req *streamer.Request, server string, lastCandidate bool, sink streamer.Sink) streamer.End
}

// Deps are the dependencies of an Attempter, which alone calls the router and the retrier.
type Deps struct {
	Name    string
	Control Control
	Router  *router.Router
	Retrier *retrier.Retrier
	Local   Local
	Peers   Peers
	Meter   *meter.Meter
}

// Attempter tries a request at one candidate after another.
type Attempter struct {
	Deps
	policy *policy
	// forgetUnknown returns "not run" although an earlier attempt may have run, so that a test can show that it detects this.
	forgetUnknown bool
}

// New returns an Attempter.
func New(deps Deps) *Attempter {
	return &Attempter{Deps: deps, policy: newPolicy(deps.Router, deps.Retrier)}
}

// run is the state of one request across its attempts.
type run struct {
	*Attempter
	req  *streamer.Request
	sink streamer.Sink
	// mayHaveRun is true once an attempt may have run, so that the request can't end as "not run".
	mayHaveRun  bool
	retries     int
	backoff     time.Duration
	candidates  []router.Candidate
	releaseLock func()
	// copyServer is the server where copies of the request run.
	copyServer string
	// lastCopyServer is the last such server; a second attempt there waits first, in case it can't be reached.
	lastCopyServer string
}

// Execute runs the request's attempts and returns how the last one ended.
func (a *Attempter) Execute(ctx context.Context, req *streamer.Request, sink streamer.Sink) streamer.End {
	a.policy.beginRequest()
	r := &run{Attempter: a, req: req, sink: sink, backoff: initialBackoff}
	defer r.unlockSuspect()
	var end streamer.End
	for range maxAttempts {
		end = r.attempt(ctx)
		if end.Outcome == retrier.Unknown {
			r.mayHaveRun = true
		}
		if !r.awaitRetry(ctx, end) {
			break
		}
		a.Meter.CountRetry(string(end.Reason))
	}
	if r.mayHaveRun && end.Outcome == retrier.NotRun && !a.forgetUnknown {
		end.Outcome = retrier.Unknown
	}
	return end
}

// attempt checks the request's standing and sends it to the next candidate.
func (r *run) attempt(ctx context.Context) streamer.End {
	if end, ok := r.checkStanding(ctx); !ok {
		return end
	}
	roster := r.Control.Roster()
	if roster == nil {
		return notRun(streamer.ReasonNoServer, "this entry has no roster yet")
	}
	if len(r.candidates) == 0 {
		r.candidates, r.req.Homes = r.policy.route(roster, r.req)
	}
	r.candidates = moveToFront(roster, r.copyServer, r.candidates)
	r.copyServer = ""
	if len(r.candidates) == 0 {
		return notRun(streamer.ReasonNoServer, "no backend server answers for "+r.req.Target.Service+" now")
	}
	c := r.candidates[0]
	r.candidates = r.candidates[1:]
	if len(r.candidates) > 0 {
		if after, ok := r.policy.hedgeAfter(r.retryRequest()); ok && r.releaseLock == nil {
			return r.serveHedged(ctx, after, c, r.candidates[0], false)
		}
	}
	return r.serve(ctx, r.req, c, len(r.candidates) == 0, r.sink)
}

// checkStanding checks the request's standing: a quarantined request is refused, a suspect one waits until no other copy runs.
func (r *run) checkStanding(ctx context.Context) (streamer.End, bool) {
	standing := r.Control.Standing(r.req.Digest)
	if standing == quarantiner.Suspect {
		if err := r.lockSuspect(ctx); err != nil {
			return notRun(streamer.ReasonQuarantine, "this request was in flight at a crash and could not be run alone: "+err.Error()), false
		}
		// Another copy may have run meanwhile.
		standing = r.Control.Standing(r.req.Digest)
	}
	switch standing {
	case quarantiner.Quarantined:
		return notRun(streamer.ReasonQuarantine, "this request crashed backend servers and is refused for a while"), false
	case quarantiner.Clear:
		r.unlockSuspect()
	case quarantiner.Suspect:
	}
	return streamer.End{}, true
}

// moveToFront moves the server where copies of the request run to the front of the candidates.
func moveToFront(roster *registrar.Roster, server string, candidates []router.Candidate) []router.Candidate {
	s, ok := roster.Server(server)
	owner, owned := roster.Owner(server)
	if !ok || !owned || s.Leaving {
		return candidates
	}
	c := router.Candidate{Server: server, Owner: owner.Entry, Addr: owner.Addr}
	return append([]router.Candidate{c}, slices.DeleteFunc(candidates, func(o router.Candidate) bool { return o.Server == server })...)
}

// serve runs one attempt at the candidate's owner.
func (r *run) serve(ctx context.Context, req *streamer.Request, c router.Candidate, lastCandidate bool, sink streamer.Sink) streamer.End {
	r.policy.beginAttempt(c, req)
	timed := &timedSink{Sink: sink, start: time.Now(), policy: r.policy, candidate: c, req: req}
	var end streamer.End
	if c.Owner == r.Name {
		end = r.Local.Serve(ctx, req, c.Server, lastCandidate, timed)
	} else {
		end = r.Peers.Serve(ctx, c.Addr, req, c.Server, lastCandidate, timed)
	}
	r.policy.endAttempt(c, req, end)
	return end
}

// timedSink reports the time to the first token to the retrier, and the head's feedback to the router.
type timedSink struct {
	streamer.Sink
	start     time.Time
	policy    *policy
	candidate router.Candidate
	req       *streamer.Request
}

// Head implements streamer.Sink.
func (s *timedSink) Head(h streamer.Head) {
	s.policy.observeFirstToken(time.Since(s.start))
	s.policy.observeFeedback(s.candidate, s.req, h.Feedback)
	s.Sink.Head(h)
}

func (r *run) retryRequest() retrier.Request {
	return retrier.Request{
		Idempotent: r.req.Idempotent, Urgent: r.req.Urgent, Deadline: r.req.Deadline, Tries: r.retries,
		MayHaveRun: r.mayHaveRun, Delivered: r.sink.Opened(),
	}
}

// awaitRetry reports whether to make another attempt, after waiting out its delay.
func (r *run) awaitRetry(ctx context.Context, end streamer.End) bool {
	if ctx.Err() != nil || r.sink.Opened() || end.Outcome == retrier.Done {
		return false
	}
	final := false
	switch end.Reason {
	case streamer.ReasonConflict, streamer.ReasonQuarantine, streamer.ReasonCancelled, streamer.ReasonRecord,
		streamer.ReasonSlow, streamer.ReasonDeadline, streamer.ReasonOversized, streamer.ReasonClosing:
		final = true
	case streamer.ReasonQuarantineChanged:
		r.candidates = nil
		return true
	case streamer.ReasonRunningElsewhere:
		backOff := end.CopyServer == "" || end.CopyServer == r.lastCopyServer
		r.copyServer, r.lastCopyServer, r.candidates = end.CopyServer, end.CopyServer, nil
		if !backOff {
			return true
		}
		return r.waitBackoff(ctx)
	case streamer.ReasonForwardFailed:
		if r.req.IsBooking() && end.Outcome == retrier.Unknown {
			// A retry with the same key is answered from the record, and runs nothing twice.
			return r.waitBackoff(ctx)
		}
	}
	if !final && end.Outcome == retrier.NotRun && len(r.candidates) == 0 && isUnavailable(end.Reason) {
		return r.waitBackoff(ctx)
	}
	res := retrier.Result{
		Outcome: end.Outcome, Refused: end.Outcome == retrier.NotRun, Final: final, HasMoreCandidates: len(r.candidates) > 0,
		RetryAfter: end.RetryAfter,
	}
	d := r.policy.decideRetry(r.retryRequest(), res)
	switch d.Step {
	case retrier.Next:
		return true
	case retrier.Retry:
		r.retries++
		r.candidates = nil
		return waiter.Wait(ctx, d.After)
	case retrier.Finish:
	}
	return false
}

// isUnavailable reports whether no owner could take the request, which is temporary while ownership moves.
func isUnavailable(reason streamer.Reason) bool {
	switch reason {
	case streamer.ReasonNoServer, streamer.ReasonForwardFailed, streamer.ReasonUnreachable, streamer.ReasonRunning,
		streamer.Reason(scheduler.ReasonNotOwner), streamer.Reason(scheduler.ReasonLeaving):
		return true
	}
	return false
}

// waitBackoff waits with jitter and exponential backoff; it returns false once the budget for the first token is spent.
func (r *run) waitBackoff(ctx context.Context) bool {
	wait := r.backoff/2 + rand.N(r.backoff)
	r.backoff = min(2*r.backoff, maxBackoff)
	limit := r.req.FirstTokenDeadline
	if limit.IsZero() {
		limit = r.req.Arrived.Add(defaultFirstTokenBudget)
	}
	if time.Now().Add(wait).After(limit) {
		return false
	}
	r.candidates = nil
	return waiter.Wait(ctx, wait)
}

func (r *run) lockSuspect(ctx context.Context) error {
	if r.releaseLock != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	release, err := r.Control.LockSuspect(ctx, r.req.Digest)
	if err != nil {
		return err
	}
	r.releaseLock = release
	return nil
}

func (r *run) unlockSuspect() {
	if r.releaseLock != nil {
		r.releaseLock()
		r.releaseLock = nil
	}
}

func notRun(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: message}
}
