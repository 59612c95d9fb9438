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
func (w *world) arrive(r *request) {
	w.entries[r.entry].retry.Begin()
	w.route(r)
}

func (w *world) route(r *request) {
	if r.state != open {
		return
	}
	list := w.entries[r.entry].pick.Route(w.now, r.target, r.prefix, nil)
	if len(list) == 0 {
		w.after(100*time.Millisecond, func() { w.route(r) })
		return
	}
	w.offer(r, list, false)
}

// offer sends a request to the owner of the first candidate.
func (w *world) offer(r *request, list []router.Candidate, hedge bool) *attempt {
	w.ids++
	a := &attempt{id: retrier.NewAttempt("n", uint64(r.entry), w.ids), req: r, server: list[0].Server, rest: list[1:], isHedge: hedge}
	w.byID[a.id], w.byKey[a.id.String()] = a, a
	w.open[a] = true
	r.current = append(r.current, a)
	w.entries[r.entry].pick.Begin(w.now, a.server, r.target)
	owner, _ := strconv.Atoi(list[0].Owner)
	job := scheduler.Job{
		Attempt: a.id, Server: a.server, Target: r.target, Class: "chat", Urgent: !r.long, Long: r.long, Idempotent: true,
		Digest: digestOf(r.n), Prefix: r.prefix, Last: len(a.rest) == 0,
	}
	begin := time.Unix(0, 0).Add(r.at)
	job.Arrived = begin
	if r.long {
		job.Class = "report"
		job.Deadline = begin.Add(longDeadline)
	} else {
		job.FirstBy = begin.Add(firstBudget)
	}
	hop := time.Duration(0)
	if owner != r.entry {
		hop = w.team.Hop
	}
	w.after(hop, func() {
		e := w.engines[w.byName[a.server]]
		if !r.stalled && !e.holds(r.target) {
			w.judgeStall(r, e, list[0], a.rest)
		}
		if r.first.IsZero() {
			w.judgeLate(owner, a)
		}
		w.handle(owner, scheduler.Arrived{Job: job})
	})
	return a
}

// unstall ends the stall of the requests that wait for this load.
func (w *world) unstall(act scheduler.Load) {
	for a := range w.open {
		r := a.req
		if a.server == act.Server && r.target == act.Target && r.stalled && r.stallEnd.IsZero() && !a.refused {
			r.stallEnd = w.now
		}
	}
}

// refused reports a refusal to the picker and then tries the next candidate, retries or fails the request.
func (w *world) refused(a *attempt, reason scheduler.Reason, wait time.Duration, load float64) {
	fb := router.Refused
	switch reason {
	case scheduler.ReasonSlots:
		fb = router.Passed
	case scheduler.ReasonLoad:
		fb = router.LoadFailed
	case scheduler.ReasonLeaving, scheduler.ReasonNotOwner:
		fb = router.Unreachable
	case scheduler.ReasonCancelled:
		fb = router.Served
	}
	w.drop(a)
	w.entries[a.req.entry].pick.Done(w.now, router.Feedback{Server: a.server, Target: a.req.target, Result: fb, Load: load})
	w.decide(a, retrier.Result{
		Outcome: retrier.NotRun, Refused: true, More: len(a.rest) > 0, RetryAfter: wait,
		Final: reason == scheduler.ReasonQuarantine,
	})
}

// decide applies the retrier's decision after an attempt that failed.
func (w *world) decide(a *attempt, res retrier.Result) {
	r := a.req
	r.mayRun = r.mayRun || res.Outcome == retrier.Unknown
	if r.state != open || len(r.current) > 0 || a.cancel {
		return
	}
	req := retrier.Request{
		Idempotent: true, Urgent: !r.long, Tries: r.tries, MayHaveRun: r.mayRun,
		Deadline: time.Unix(0, 0).Add(r.at + firstBudget),
	}
	if r.long {
		req.Deadline = time.Unix(0, 0).Add(r.at + longDeadline)
	}
	d := w.entries[r.entry].retry.Decide(w.now, req, res)
	switch d.Step {
	case retrier.Next:
		w.offer(r, a.rest, a.isHedge)
	case retrier.Retry:
		r.tries++
		w.after(d.After, func() { w.route(r) })
	case retrier.Finish:
		r.state, r.done = notRun, w.now
		if d.Outcome == retrier.Unknown {
			r.state = unknown
		}
	}
}

// drop removes an attempt from its request.
func (w *world) drop(a *attempt) {
	for i, x := range a.req.current {
		if x == a {
			a.req.current = append(a.req.current[:i:i], a.req.current[i+1:]...)
		}
	}
	delete(w.open, a)
}

// attemptEnded receives the end of an attempt that was sent and failed.
func (w *world) attemptEnded(a *attempt, res retrier.Result, fb router.Result) {
	w.drop(a)
	w.entries[a.req.entry].pick.Done(w.now, router.Feedback{Server: a.server, Target: a.req.target, Result: fb, Load: -1})
	w.decide(a, res)
}

// submit sends an attempt to its engine.
func (w *world) submit(owner int, a *attempt) {
	e := w.engines[w.byName[a.server]]
	if a.cancel || a.lost || !e.alive {
		return
	}
	r := a.req
	priority := 0
	if r.long {
		priority = 1
	}
	err := e.model.Submit(w.now, modeler.Request{
		ID: a.id.String(), Model: r.target.String(), Prompt: r.prompt, Prefix: r.prefix,
		Shared: r.prompt * prefixNum / prefixDen, Output: r.output, Priority: priority,
	})
	if err != nil {
		w.res.Violations++
		w.handle(owner, scheduler.Ended{Attempt: a.id, Missing: refusedForAdapter(err)})
		w.attemptEnded(a, retrier.Result{Outcome: retrier.NotRun, Refused: true}, router.LoadFailed)
		return
	}
	w.planHedge(a)
	w.wake(e)
}

// planHedge schedules a hedge of an urgent request to another warm server, in case its first token is late.
func (w *world) planHedge(a *attempt) {
	r := a.req
	en := w.entries[r.entry]
	wait, ok := en.retry.HedgeAfter(retrier.Request{Idempotent: true, Urgent: !r.long})
	if !ok || w.policy.NoHedge || r.hedged {
		return
	}
	w.after(wait, func() {
		if r.state != open || !r.first.IsZero() || r.hedged || a.ended || a.lost {
			return
		}
		list := en.pick.Route(w.now, r.target, 0, nil)
		for _, c := range list {
			if c.Server != a.server && c.Warm && en.retry.TakeHedge() {
				r.hedged = true
				w.res.Hedges++
				w.offer(r, []router.Candidate{c}, true)
				return
			}
		}
	})
}

// token reports a running attempt's first token and then every progressTokens-th token.
func (w *world) token(a *attempt, n int) {
	if n >= a.req.output || n != 1 && n%progressTokens != 0 {
		return
	}
	owner := w.owner[a.server]
	w.after(w.team.Hop, func() {
		if a.lost || a.cancel {
			return
		}
		w.handle(owner, scheduler.Progress{Attempt: a.id, Tokens: n})
		load, slow := w.load(a.server), w.entries[owner].sched.IsSlow(w.now, a.server)
		w.after(w.team.Hop, func() { w.progressed(a, n, load, slow) })
	})
}

// finished reports a complete answer.
func (w *world) finished(a *attempt, n int) {
	a.ended = true
	w.after(w.team.Hop, func() {
		if a.lost {
			return
		}
		w.handle(w.owner[a.server], scheduler.Ended{Attempt: a.id, OK: true, Tokens: n})
		load := w.load(a.server)
		w.after(w.team.Hop, func() { w.answered(a, load) })
	})
}

// progressed receives tokens at the caller's entry.
func (w *world) progressed(a *attempt, n int, load float64, slow bool) {
	r := a.req
	fb := router.Feedback{Server: a.server, Target: r.target, Load: load}
	if slow && w.policy.Scheduler&scheduler.PartStragglers == 0 {
		fb.Result = router.Lagging
	}
	w.entries[r.entry].pick.Note(w.now, fb)
	if n != 1 || r.state != open || a.cancel {
		return
	}
	if r.first.IsZero() {
		r.first = w.now
		w.entries[r.entry].retry.ObserveFirst(w.now.Sub(a.sentAt))
	}
	for _, other := range append([]*attempt(nil), r.current...) {
		if other != a {
			w.abandon(other)
		}
	}
}

// abandon cancels an attempt because another one had the first token.
func (w *world) abandon(a *attempt) {
	a.cancel = true
	w.drop(a)
	w.entries[a.req.entry].pick.Done(w.now, router.Feedback{Server: a.server, Target: a.req.target, Load: -1})
	w.after(w.team.Hop, func() { w.handle(w.owner[a.server], scheduler.Cancelled{Attempt: a.id}) })
}

// cancelled stops an attempt at its engine.
func (w *world) cancelled(owner int, a *attempt) {
	e := w.engines[w.byName[a.server]]
	e.model.Cancel(w.now, a.id.String())
	a.ended = true
	w.after(w.team.Hop, func() { w.handle(owner, scheduler.Ended{Attempt: a.id}) })
}

// answered receives the complete answer.
func (w *world) answered(a *attempt, load float64) {
	r := a.req
	w.drop(a)
	w.entries[r.entry].pick.Done(w.now, router.Feedback{Server: a.server, Target: r.target, Load: load})
	if r.state == open && !a.cancel {
		r.state, r.done = answered, w.now
	}
}
