package comparer

import (
	"strconv"
	"time"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/standin/modeler"
)

// arrive starts a request at its entry.
func (s *simulation) arrive(r *request) {
	s.entries[r.entry].retry.Begin()
	s.route(r)
}

func (s *simulation) route(r *request) {
	if r.state != statePending {
		return
	}
	list := s.entries[r.entry].pick.Route(s.now, r.target, r.prefix, nil)
	if len(list) == 0 {
		s.after(100*time.Millisecond, func() { s.route(r) })
		return
	}
	s.offer(r, list, false)
}

// offer sends a request to the owner of the first candidate.
func (s *simulation) offer(r *request, list []router.Candidate, hedge bool) *attempt {
	s.lastAttemptID++
	a := &attempt{id: retrier.NewAttempt("n", uint64(r.entry), s.lastAttemptID), req: r, server: list[0].Server, remaining: list[1:], isHedge: hedge}
	s.attemptsByID[a.id], s.attemptsByKey[a.id.String()] = a, a
	s.openAttempts[a] = true
	r.attempts = append(r.attempts, a)
	s.entries[r.entry].pick.Begin(s.now, a.server, r.target)
	owner, _ := strconv.Atoi(list[0].Owner)
	job := scheduler.Job{
		Attempt: a.id, Server: a.server, Target: r.target, Class: "chat", Urgent: !r.long, Long: r.long, Idempotent: true,
		Digest: digestOf(r.n), Prefix: r.prefix, IsLastCandidate: len(a.remaining) == 0,
	}
	begin := time.Unix(0, 0).Add(r.at)
	job.Arrived = begin
	if r.long {
		job.Class = "report"
		job.Deadline = begin.Add(longDeadline)
	} else {
		job.FirstTokenBy = begin.Add(firstTokenBudget)
	}
	hop := time.Duration(0)
	if owner != r.entry {
		hop = s.deployment.HopLatency
	}
	s.after(hop, func() {
		e := s.engines[s.engineIndex[a.server]]
		if !r.stalled && !e.isLoaded(r.target) {
			s.recordStallCause(r, e, list[0], a.remaining)
		}
		if r.firstToken.IsZero() {
			s.recordLateCause(owner, a)
		}
		s.dispatch(owner, scheduler.Arrived{Job: job})
	})
	return a
}

// endStalls ends the stall of the requests that wait for this load.
func (s *simulation) endStalls(act scheduler.Load) {
	for a := range s.openAttempts {
		r := a.req
		if a.server == act.Server && r.target == act.Target && r.stalled && r.stallEnd.IsZero() && !a.refused {
			r.stallEnd = s.now
		}
	}
}

// handleRefusal reports a refusal to the picker and then tries the next candidate, retries or fails the request.
func (s *simulation) handleRefusal(a *attempt, reason scheduler.Reason, wait time.Duration, load float64) {
	fb := router.Refused
	switch reason {
	case scheduler.ReasonSlots:
		fb = router.Declined
	case scheduler.ReasonLoad:
		fb = router.LoadFailed
	case scheduler.ReasonLeaving, scheduler.ReasonNotOwner:
		fb = router.Unreachable
	case scheduler.ReasonCancelled:
		fb = router.Served
	}
	s.removeAttempt(a)
	s.entries[a.req.entry].pick.End(s.now, router.Feedback{Server: a.server, Target: a.req.target, Result: fb, Load: load})
	s.applyDecision(a, retrier.Result{
		Outcome: retrier.NotRun, Refused: true, HasMoreCandidates: len(a.remaining) > 0, RetryAfter: wait,
		Final: reason == scheduler.ReasonQuarantine,
	})
}

// applyDecision applies the retrier's decision after an attempt that failed.
func (s *simulation) applyDecision(a *attempt, res retrier.Result) {
	r := a.req
	r.mayHaveRun = r.mayHaveRun || res.Outcome == retrier.Unknown
	if r.state != statePending || len(r.attempts) > 0 || a.cancelled {
		return
	}
	req := retrier.Request{
		Idempotent: true, Urgent: !r.long, Tries: r.tries, MayHaveRun: r.mayHaveRun,
		Deadline: time.Unix(0, 0).Add(r.at + firstTokenBudget),
	}
	if r.long {
		req.Deadline = time.Unix(0, 0).Add(r.at + longDeadline)
	}
	d := s.entries[r.entry].retry.Decide(s.now, req, res)
	switch d.Step {
	case retrier.Next:
		s.offer(r, a.remaining, a.isHedge)
	case retrier.Retry:
		r.tries++
		s.after(d.After, func() { s.route(r) })
	case retrier.Finish:
		r.state, r.endedAt = stateNotRun, s.now
		if d.Outcome == retrier.Unknown {
			r.state = stateUnknown
		}
	}
}

// removeAttempt removes an attempt from its request.
func (s *simulation) removeAttempt(a *attempt) {
	for i, x := range a.req.attempts {
		if x == a {
			a.req.attempts = append(a.req.attempts[:i:i], a.req.attempts[i+1:]...)
		}
	}
	delete(s.openAttempts, a)
}

// handleFailure receives the end of an attempt that was sent and failed.
func (s *simulation) handleFailure(a *attempt, res retrier.Result, fb router.Result) {
	s.removeAttempt(a)
	s.entries[a.req.entry].pick.End(s.now, router.Feedback{Server: a.server, Target: a.req.target, Result: fb, Load: -1})
	s.applyDecision(a, res)
}

// submit sends an attempt to its engine.
func (s *simulation) submit(owner int, a *attempt) {
	e := s.engines[s.engineIndex[a.server]]
	if a.cancelled || a.failed || !e.alive {
		return
	}
	r := a.req
	priority := 0
	if r.long {
		priority = 1
	}
	err := e.model.Submit(s.now, modeler.Request{
		ID: a.id.String(), Model: r.target.String(), PromptTokens: r.prompt, Prefix: r.prefix,
		PrefixTokens: r.prompt * prefixNum / prefixDen, OutputTokens: r.output, Priority: priority,
	})
	if err != nil {
		s.res.Violations++
		s.dispatch(owner, scheduler.Ended{Attempt: a.id, AdapterMissing: isNotResident(err)})
		s.handleFailure(a, retrier.Result{Outcome: retrier.NotRun, Refused: true}, router.LoadFailed)
		return
	}
	s.scheduleHedge(a)
	s.scheduleEngine(e)
}

// scheduleHedge schedules a hedge of an urgent request to another warm server, in case its first token is late.
func (s *simulation) scheduleHedge(a *attempt) {
	r := a.req
	en := s.entries[r.entry]
	wait, ok := en.retry.HedgeAfter(retrier.Request{Idempotent: true, Urgent: !r.long})
	if !ok || s.policy.NoHedge || r.hedged {
		return
	}
	s.after(wait, func() {
		if r.state != statePending || !r.firstToken.IsZero() || r.hedged || a.ended || a.failed {
			return
		}
		list := en.pick.Route(s.now, r.target, 0, nil)
		for _, c := range list {
			if c.Server != a.server && c.Warm && en.retry.TakeHedge() {
				r.hedged = true
				s.res.Hedges++
				s.offer(r, []router.Candidate{c}, true)
				return
			}
		}
	})
}

// reportToken reports a running attempt's first token and then every tokensPerProgress-th token.
func (s *simulation) reportToken(a *attempt, n int) {
	if n >= a.req.output || n != 1 && n%tokensPerProgress != 0 {
		return
	}
	owner := s.owner[a.server]
	s.after(s.deployment.HopLatency, func() {
		if a.failed || a.cancelled {
			return
		}
		s.dispatch(owner, scheduler.Progress{Attempt: a.id, Tokens: n})
		load, slow := s.load(a.server), s.entries[owner].sched.IsSlow(s.now, a.server)
		s.after(s.deployment.HopLatency, func() { s.receiveProgress(a, n, load, slow) })
	})
}

// reportFinished reports a complete answer.
func (s *simulation) reportFinished(a *attempt, n int) {
	a.ended = true
	s.after(s.deployment.HopLatency, func() {
		if a.failed {
			return
		}
		s.dispatch(s.owner[a.server], scheduler.Ended{Attempt: a.id, OK: true, Tokens: n})
		load := s.load(a.server)
		s.after(s.deployment.HopLatency, func() { s.receiveAnswer(a, load) })
	})
}

// receiveProgress receives tokens at the caller's entry.
func (s *simulation) receiveProgress(a *attempt, n int, load float64, slow bool) {
	r := a.req
	fb := router.Feedback{Server: a.server, Target: r.target, Load: load}
	if slow && s.policy.Scheduler&scheduler.PartStragglers == 0 {
		fb.Result = router.Straggler
	}
	s.entries[r.entry].pick.RecordFeedback(s.now, fb)
	if n != 1 || r.state != statePending || a.cancelled {
		return
	}
	if r.firstToken.IsZero() {
		r.firstToken = s.now
		s.entries[r.entry].retry.ObserveFirst(s.now.Sub(a.sentAt))
	}
	for _, other := range append([]*attempt(nil), r.attempts...) {
		if other != a {
			s.cancelAttempt(other)
		}
	}
}

// cancelAttempt cancels an attempt because another one had the first token.
func (s *simulation) cancelAttempt(a *attempt) {
	a.cancelled = true
	s.removeAttempt(a)
	s.entries[a.req.entry].pick.End(s.now, router.Feedback{Server: a.server, Target: a.req.target, Load: -1})
	s.after(s.deployment.HopLatency, func() { s.dispatch(s.owner[a.server], scheduler.Cancelled{Attempt: a.id}) })
}

// stopAttempt stops an attempt at its engine.
func (s *simulation) stopAttempt(owner int, a *attempt) {
	e := s.engines[s.engineIndex[a.server]]
	e.model.Cancel(s.now, a.id.String())
	a.ended = true
	s.after(s.deployment.HopLatency, func() { s.dispatch(owner, scheduler.Ended{Attempt: a.id}) })
}

// receiveAnswer receives the complete answer.
func (s *simulation) receiveAnswer(a *attempt, load float64) {
	r := a.req
	s.removeAttempt(a)
	s.entries[r.entry].pick.End(s.now, router.Feedback{Server: a.server, Target: r.target, Load: load})
	if r.state == statePending && !a.cancelled {
		r.state, r.endedAt = stateAnswered, s.now
	}
}
