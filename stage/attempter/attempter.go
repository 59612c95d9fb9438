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
	firstPause   = 10 * time.Millisecond
	maxPause     = 200 * time.Millisecond
	defaultFirst = 5 * time.Second
	lockTimeout  = 10 * time.Second
	// maxRounds bounds the attempts of one request, however they end.
	maxRounds = 200
)

// Control is the part of the control role that the attempter uses.
type Control interface {
	Roster() *registrar.Roster
	Standing(d quarantiner.Digest) quarantiner.Standing
	Lock(ctx context.Context, d quarantiner.Digest) (release func(), err error)
}

// Local serves requests at backend servers that this entry owns.
type Local interface {
	Serve(ctx context.Context, req *streamer.Request, server string, last bool, sink streamer.Sink) streamer.End
}

// Peers serves requests at backend servers that other entries own.
type Peers interface {
	Serve(ctx context.Context, addr string, req *streamer.Request, server string, last bool, sink streamer.Sink) streamer.End
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
	// hopeful returns "not run" although an earlier attempt may have run, so that a test can show that it detects this.
	hopeful bool
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
	// ran is true once an attempt may have run, so that the request can't end as "not run".
	ran     bool
	tries   int
	paused  time.Duration
	left    []router.Candidate
	release func()
	// meet is the server where copies of the request run.
	meet string
	// met is the last such server; a second attempt there waits first, in case it can't be reached.
	met string
}

// Do runs the request's attempts and returns how the last one ended.
func (a *Attempter) Do(ctx context.Context, req *streamer.Request, sink streamer.Sink) streamer.End {
	a.policy.arrive()
	r := &run{Attempter: a, req: req, sink: sink, paused: firstPause}
	defer r.unlock()
	var end streamer.End
	for range maxRounds {
		end = r.attempt(ctx)
		if end.Outcome == retrier.Unknown {
			r.ran = true
		}
		if !r.goOn(ctx, end) {
			break
		}
		a.Meter.Retried(string(end.Reason))
	}
	if r.ran && end.Outcome == retrier.NotRun && !a.hopeful {
		end.Outcome = retrier.Unknown
	}
	return end
}

// attempt checks the request's standing and sends it to the next candidate.
func (r *run) attempt(ctx context.Context) streamer.End {
	if end, ok := r.examine(ctx); !ok {
		return end
	}
	roster := r.Control.Roster()
	if roster == nil {
		return notRun(streamer.ReasonNoServer, "this entry has no roster yet")
	}
	if len(r.left) == 0 {
		r.left, r.req.Homes = r.policy.route(roster, r.req)
	}
	r.left = first(roster, r.meet, r.left)
	r.meet = ""
	if len(r.left) == 0 {
		return notRun(streamer.ReasonNoServer, "no backend server answers for "+r.req.Target.Service+" now")
	}
	c := r.left[0]
	r.left = r.left[1:]
	if len(r.left) > 0 {
		if after, ok := r.policy.hedgeAfter(r.facts()); ok && r.release == nil {
			return r.serveHedged(ctx, after, c, r.left[0], false)
		}
	}
	return r.serve(ctx, r.req, c, len(r.left) == 0, r.sink)
}

// examine checks the request's standing: a convicted request is refused, a suspect one waits until no other copy runs.
func (r *run) examine(ctx context.Context) (streamer.End, bool) {
	standing := r.Control.Standing(r.req.Digest)
	if standing == quarantiner.Suspect {
		if err := r.lock(ctx); err != nil {
			return notRun(streamer.ReasonQuarantine, "this request was in flight at a crash and could not be run alone: "+err.Error()), false
		}
		// Another copy may have run meanwhile.
		standing = r.Control.Standing(r.req.Digest)
	}
	switch standing {
	case quarantiner.Convicted:
		return notRun(streamer.ReasonQuarantine, "this request crashed backend servers and is refused for a while"), false
	case quarantiner.Clear:
		r.unlock()
	case quarantiner.Suspect:
	}
	return streamer.End{}, true
}

// first moves the server where copies of the request run to the front of the candidates.
func first(roster *registrar.Roster, server string, list []router.Candidate) []router.Candidate {
	s, ok := roster.Server(server)
	owner, owned := roster.Owner(server)
	if !ok || !owned || s.Leaving {
		return list
	}
	c := router.Candidate{Server: server, Owner: owner.Entry, Addr: owner.Addr}
	return append([]router.Candidate{c}, slices.DeleteFunc(list, func(o router.Candidate) bool { return o.Server == server })...)
}

// serve runs one attempt at the candidate's owner.
func (r *run) serve(ctx context.Context, req *streamer.Request, c router.Candidate, last bool, sink streamer.Sink) streamer.End {
	r.policy.begin(c, req)
	timed := &timedSink{Sink: sink, begun: time.Now(), policy: r.policy, candidate: c, req: req}
	var end streamer.End
	if c.Owner == r.Name {
		end = r.Local.Serve(ctx, req, c.Server, last, timed)
	} else {
		end = r.Peers.Serve(ctx, c.Addr, req, c.Server, last, timed)
	}
	r.policy.done(c, req, end)
	return end
}

// timedSink reports the time to the first token to the retrier, and the head's feedback to the router.
type timedSink struct {
	streamer.Sink
	begun     time.Time
	policy    *policy
	candidate router.Candidate
	req       *streamer.Request
}

// Head implements streamer.Sink.
func (s *timedSink) Head(h streamer.Head) {
	s.policy.first(time.Since(s.begun))
	s.policy.note(s.candidate, s.req, h.Feedback)
	s.Sink.Head(h)
}

func (r *run) facts() retrier.Request {
	return retrier.Request{
		Idempotent: r.req.Idempotent, Urgent: r.req.Urgent, Deadline: r.req.Deadline, Tries: r.tries,
		MayHaveRun: r.ran, Delivered: r.sink.Opened(),
	}
}

// goOn reports whether to make another attempt, after waiting out its delay.
func (r *run) goOn(ctx context.Context, end streamer.End) bool {
	if ctx.Err() != nil || r.sink.Opened() || end.Outcome == retrier.Done {
		return false
	}
	final := false
	switch end.Reason {
	case streamer.ReasonConflict, streamer.ReasonQuarantine, streamer.ReasonCancelled, streamer.ReasonRecord,
		streamer.ReasonSlow, streamer.ReasonDeadline, streamer.ReasonOversized, streamer.ReasonClosing:
		final = true
	case streamer.ReasonStanding:
		r.left = nil
		return true
	case streamer.ReasonElsewhere:
		again := end.Meet == "" || end.Meet == r.met
		r.meet, r.met, r.left = end.Meet, end.Meet, nil
		if !again {
			return true
		}
		return r.pause(ctx)
	case streamer.ReasonPeer:
		if r.req.IsBooking() && end.Outcome == retrier.Unknown {
			// A retry with the same key is answered from the record, and runs nothing twice.
			return r.pause(ctx)
		}
	}
	if !final && end.Outcome == retrier.NotRun && len(r.left) == 0 && isAbsence(end.Reason) {
		return r.pause(ctx)
	}
	res := retrier.Result{
		Outcome: end.Outcome, Refused: end.Outcome == retrier.NotRun, Final: final, More: len(r.left) > 0,
		RetryAfter: end.RetryAfter,
	}
	d := r.policy.decide(r.facts(), res)
	switch d.Step {
	case retrier.Next:
		return true
	case retrier.Retry:
		r.tries++
		r.left = nil
		return waiter.Wait(ctx, d.After)
	case retrier.Finish:
	}
	return false
}

// isAbsence reports whether no owner could take the request, which is temporary while ownership moves.
func isAbsence(reason streamer.Reason) bool {
	switch reason {
	case streamer.ReasonNoServer, streamer.ReasonPeer, streamer.ReasonUnreachable, streamer.ReasonRunning,
		streamer.Reason(scheduler.ReasonNotOwner), streamer.Reason(scheduler.ReasonLeaving):
		return true
	}
	return false
}

// pause waits with jitter and exponential backoff; it returns false once the budget for the first token is spent.
func (r *run) pause(ctx context.Context) bool {
	wait := r.paused/2 + rand.N(r.paused)
	r.paused = min(2*r.paused, maxPause)
	limit := r.req.FirstBy
	if limit.IsZero() {
		limit = r.req.Arrived.Add(defaultFirst)
	}
	if time.Now().Add(wait).After(limit) {
		return false
	}
	r.left = nil
	return waiter.Wait(ctx, wait)
}

func (r *run) lock(ctx context.Context) error {
	if r.release != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	release, err := r.Control.Lock(ctx, r.req.Digest)
	if err != nil {
		return err
	}
	r.release = release
	return nil
}

func (r *run) unlock() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

func notRun(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: message}
}
