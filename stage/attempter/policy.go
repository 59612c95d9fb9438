package attempter

import (
	"sync"
	"time"

	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/streamer"
)

// policy serializes the requests' access to the router and the retrier.
type policy struct {
	mu       sync.Mutex
	router   *router.Router
	retrier  *retrier.Retrier
	roster   *registrar.Roster
	services map[string]bool
}

func newPolicy(r *router.Router, t *retrier.Retrier) *policy {
	return &policy{router: r, retrier: t, services: make(map[string]bool)}
}

func (p *policy) beginRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retrier.Begin()
}

// route returns the candidates for the request under the roster, and its homes.
func (p *policy) route(roster *registrar.Roster, req *streamer.Request) ([]router.Candidate, []streamer.Home) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster != roster || !p.services[req.Target.Service] {
		p.roster = roster
		p.services[req.Target.Service] = true
		names := make([]string, 0, len(p.services))
		for name := range p.services {
			names = append(names, name)
		}
		p.router.Rebuild(roster, names...)
	}
	candidates := p.router.Route(time.Now(), req.Target, req.Prefix, nil)
	if len(candidates) == 0 {
		candidates = allCandidates(roster, req.Target.Service)
	}
	return candidates, p.homes(req)
}

// homes returns the entries that hold the request's claim; a booking needs no claim, since its record replaces it.
func (p *policy) homes(req *streamer.Request) []streamer.Home {
	if req.IsBooking() {
		return nil
	}
	var homes []streamer.Home
	for _, c := range p.router.Homes(req.Target, req.Digest[:], nil) {
		homes = append(homes, streamer.Home{Entry: c.Owner, Addr: c.Addr})
	}
	return homes
}

// allCandidates lists all servers of the service, also those that the router skips for recent failures.
func allCandidates(roster *registrar.Roster, service string) []router.Candidate {
	var candidates []router.Candidate
	for _, s := range roster.Servers(service) {
		if owner, ok := roster.Owner(s.Name); ok && !s.Leaving {
			candidates = append(candidates, router.Candidate{Server: s.Name, Owner: owner.Entry, Addr: owner.Addr})
		}
	}
	return candidates
}

func (p *policy) beginAttempt(c router.Candidate, req *streamer.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Begin(time.Now(), c.Server, req.Target)
}

func (p *policy) endAttempt(c router.Candidate, req *streamer.Request, end streamer.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fb := routerFeedback(c, req, end.Feedback)
	if result := routerResult(end); result != router.Served {
		fb.Result = result
	}
	p.router.End(time.Now(), fb)
}

// observeFeedback passes the feedback in the head of an answer to the router.
func (p *policy) observeFeedback(c router.Candidate, req *streamer.Request, f streamer.Feedback) {
	if !f.Known {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RecordFeedback(time.Now(), routerFeedback(c, req, f))
}

// routerFeedback converts an owner's feedback on a server for the router; a load of -1 means unknown.
func routerFeedback(c router.Candidate, req *streamer.Request, f streamer.Feedback) router.Feedback {
	fb := router.Feedback{Server: c.Server, Target: req.Target, Result: router.Served, Load: -1}
	if f.Known {
		fb.Load = f.Load
	}
	if f.Slow {
		fb.Result = router.Straggler
	}
	return fb
}

func (p *policy) observeFirstToken(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retrier.ObserveFirst(duration)
}

func (p *policy) decideRetry(req retrier.Request, res retrier.Result) retrier.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retrier.Decide(time.Now(), req, res)
}

func (p *policy) hedgeAfter(req retrier.Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retrier.HedgeAfter(req)
}

func (p *policy) takeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retrier.TakeHedge()
}

// routerResult returns the router's result for an attempt's end.
func routerResult(end streamer.End) router.Result {
	switch end.Reason {
	case streamer.Reason(scheduler.ReasonFull), streamer.Reason(scheduler.ReasonLate),
		streamer.Reason(scheduler.ReasonNotOwner), streamer.Reason(scheduler.ReasonLeaving):
		return router.Refused
	case streamer.Reason(scheduler.ReasonLoad):
		return router.LoadFailed
	case streamer.Reason(scheduler.ReasonSlots), streamer.ReasonRunningElsewhere:
		return router.Declined
	case streamer.ReasonForwardFailed, streamer.ReasonUnreachable, streamer.ReasonCrashed, streamer.ReasonSilent:
		return router.Unreachable
	}
	return router.Served
}
