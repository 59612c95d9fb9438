package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

const (
	// chooseRetryInterval is the longest pause between two tries to choose a server, and thus between two requests for an adapter.
	chooseRetryInterval = 400 * time.Millisecond
	// maxWaitTargets bounds the wait for a server on a route without streams, in multiples of the route's target.
	maxWaitTargets = 2
	// Callers disconnect from a stream that doesn't begin within the longest of callerTimeoutFloor, callerTimeoutTargets
	// times the route's target, and callerTimeoutGaps times its gap.
	callerTimeoutFloor   = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	// maxPrefillWaitShare is the share of a route's target that a prompt may wait while engines prefill other prompts, and
	// prefillPollInterval the polling interval of that wait.
	maxPrefillWaitShare = 0.5
	prefillPollInterval = 15 * time.Millisecond
	// firstByteReserve is the time reserved after the wait for the first byte of the response, with other prompts on the engine.
	firstByteReserve = 500 * time.Millisecond
	// maxQueueWaitShare is the share of a request's remaining time that its expected wait in the service's queue may take.
	maxQueueWaitShare = 0.4
	// maxTries bounds the attempts of one request, including those that reached no server.
	maxTries = 8
	// copyRequestInterval is the shortest time between two requests for another copy of an adapter.
	copyRequestInterval = time.Second
	// Retry-After times of refused requests.
	retryAfterLoad     = 300 * time.Millisecond
	retryAfterBusy     = 500 * time.Millisecond
	retryAfterNoServer = time.Second
	retryAfterShutdown = 10 * time.Millisecond
)

// call is a request with its route and the state of its attempts.
type call struct {
	req     *request
	route   *matcher.Route
	service string
	adapter tracker.Adapter
	id      string
	// tokens is the number of tokens of the prompt, 0 if unknown.
	tokens int
	// outputTokens is the most tokens that the response may have, 0 if unknown.
	outputTokens int
	// lengthHint is the caller's estimate of the tokens of the response, 0 if it gave none. memory is the room that the request
	// needs at an engine, capacity an engine's memory, both in tokens and 0 if unknown; eventTokens is the tokens of one event.
	lengthHint, memory, capacity, eventTokens int
	// account is the client account of the request's key, nil if there is none.
	account *matcher.Account
	// charged is what the request counts of the account's quota, 0 if nothing; wasSent is set once a server may have run it.
	charged float64
	wasSent bool
	// priority is that of the account if it has one, otherwise of the route; 0 is the most urgent.
	priority int
	head     []byte
	arrived  time.Time
	deadline time.Time
	// lastProgressAt is when the request arrived, or when its latest event was sent to the caller.
	lastProgressAt time.Time
	sends          int
	// roomLimit is the end of the wait for room at engines, zero before it began.
	roomLimit time.Time
	// expectedWait is the expected wait in the queue if it was too long.
	expectedWait time.Duration
	// choice is the server of the latest attempt, chosenAt the time of that choice.
	choice   balancer.Choice
	chosenAt time.Time
	// waitedFor is what the request last waited for before a server was chosen.
	waitedFor string
	// reached are the servers that received the request, by id.
	reached map[string]bool
	// mayHaveRun is set if a server may have run the request.
	mayHaveRun bool
	excluded   map[string]bool
	// failedServers are the servers that failed or were unreachable, by id.
	failedServers []string
	// parts are the digests of the parts that the request shares with others.
	parts []quarantiner.Digest
	// allDigests are those and the digest of the whole request, nil until they are needed.
	allDigests []quarantiner.Digest
	// prompt is the prompt, as far as engines may have cached its beginning.
	prompt balancer.Prompt
	// software is the version of the servers that may take the request if softwareFixed is set, since one of it began the stream.
	software      string
	softwareFixed bool
	// takeUp is how that version was known for a stream that the caller takes up, "" for other requests.
	takeUp takeUpSource
	// onTrial is set if the latest attempt is a trial whose result isn't reported yet.
	onTrial bool
}

// headWithout returns the head without the lines of the header name.
func (c *call) headWithout(name string) []byte {
	var out []byte
	for _, line := range bytes.SplitAfter(c.head, []byte("\r\n")) {
		if !bytes.HasPrefix(line, []byte(name+":")) {
			out = append(out, line...)
		}
	}
	return out
}

// serveRequest serves a request; false means that the connection must close.
func (e *Relayer) serveRequest(ctx context.Context, req *request, w *responseWriter) bool {
	d := e.currentDecision(req)
	e.metrics.observeLeaderAge(d.leaderAge)
	if d.refusal != nil {
		return e.writeRefusal(req, w, d.refusal)
	}
	table, route := d.table, d.route
	c := &call{
		req: req, route: route, service: route.Pick(randomPoint()), id: req.get(e.headers.AttemptID), arrived: time.Now(),
		reached: make(map[string]bool), excluded: make(map[string]bool), account: d.account, priority: d.priority(),
	}
	if c.id == "" {
		return w.writeError(http.StatusBadRequest, "the header "+e.headers.AttemptID+" is missing", 0)
	}
	c.deadline = e.deadlineOf(c)
	if r := e.placeTakeUp(ctx, c); r != nil {
		e.metrics.countPlace(c, placeRefused, "take_up")
		return e.refuse(c, w, r.reason, r.retryAfter)
	}
	if s, ok := table.Service(c.service); ok && s.AdapterSlots > 0 {
		e.describePrompt(c, s)
	}
	if route.Stream && e.draining.Load() && e.stopsBefore(c.deadline) {
		return e.refuse(c, w, "the entry shuts down before the stream has to end", retryAfterShutdown)
	}
	if c.isTooLarge() {
		return e.refuseTooLarge(c, w)
	}
	c.parts = e.partDigests(c)
	if a := e.suspects.check(c); a != quarantiner.Admitted {
		return e.refuseQuarantined(c, w, a)
	}
	if admitted, ok := e.admitToQuota(ctx, c, w); !admitted {
		return ok
	}
	defer e.refundQuota(c)
	if d.account != nil {
		e.metrics.countAccount(d.account.Name, accountAdmitted)
	}
	c.head = req.upstreamHead(e.headers)
	e.budget.countRequest()
	if a := e.balancer.Admit(time.Now(), c.pickRequest(e.cfg.Zone)); !a.Admitted {
		e.metrics.countPlace(c, placeRefused, "share")
		reason := fmt.Sprintf("the servers of %s are full, %.0f %% of its requests are admitted", c.service, 100*a.Share)
		return e.refuse(c, w, reason, a.RetryAfter)
	}
	ctx, release := e.withWithdrawal(ctx, w.conn, d)
	defer release(nil)
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(deadlineSlack))
	defer cancel()
	return e.tryServers(ctx, c, w)
}

// describePrompt sets what a request to engines of a service says of its adapter, its prompt and its answer.
func (e *Relayer) describePrompt(c *call, s *matcher.Service) {
	c.adapter = e.headers.ParseModel(c.req.get(e.headers.Model))
	c.tokens, c.outputTokens = e.headers.ParseUsage(c.req.get(e.headers.Usage))
	c.prompt = e.promptOf(c, s)
	e.reckonMemory(c, s)
}

// deadlineOf returns when a request's time is over, by its route and its caller.
func (e *Relayer) deadlineOf(c *call) time.Time {
	end := c.arrived.Add(c.route.Timeout)
	if ms, err := strconv.ParseInt(c.req.get(e.headers.Deadline), 10, 64); err == nil && ms > 0 {
		end = earlier(end, c.arrived.Add(time.Duration(ms)*time.Millisecond))
	}
	return end
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// tryServers tries servers until one responds or no further attempt is allowed.
func (e *Relayer) tryServers(ctx context.Context, c *call, w *responseWriter) bool {
	c.lastProgressAt = c.arrived
	var next *balancer.Choice
	for try := 0; ; try++ {
		if next == nil {
			choice, status := e.chooseServer(ctx, c)
			if status != balancer.Picked {
				return e.failWithoutServer(ctx, c, w, status)
			}
			next = &choice
		}
		choice := *next
		next = nil
		if a := e.admit(ctx, c); a != quarantiner.Admitted {
			e.releaseChoice(c, &choice)
			return e.refuseQuarantined(c, w, a)
		}
		chosenAt := time.Now()
		e.metrics.observeWait(c, chosenAt)
		c.choice, c.chosenAt = choice, chosenAt
		a := &attempt{call: c, choice: choice, lastEventID: w.lastEventID, resumedAfter: w.lastEventID}
		r := e.runAttempt(ctx, a, w)
		e.endAttempt(a, r)
		if e.retryServerError(c, r) {
			c.mayHaveRun = true
			c.excluded[choice.Key.ID] = true
			e.log.Attempt(c.id, a.logEntry(r))
			continue
		}
		switch r.outcome {
		case outcomeAnswered, outcomeForwarded:
			if a.resumedAfter != "" || c.takeUp != "" || a.framing == framingClose {
				e.log.Attempt(c.id, a.logEntry(r))
			}
			return e.finishResponse(c, w, r)
		case outcomeCallerLeft:
			return false
		case outcomeNotRun:
			e.recordRejection(c, choice, r)
		case outcomeUnsent:
			c.excluded[choice.Key.ID] = true
		case outcomeUnknown, outcomeCut:
			c.mayHaveRun = true
			c.excluded[choice.Key.ID] = true
		}
		if r.result == balancer.Unreachable || r.result == balancer.Failed {
			c.failedServers = append(c.failedServers, choice.Key.ID)
		}
		e.log.Attempt(c.id, a.logEntry(r))
		next = r.nextChoice
		if next != nil && !c.mayUse(next) {
			e.releaseChoice(c, next)
			next, r.nextChoice = nil, nil
		}
		if !e.allowRetry(ctx, c, w, r, try) {
			e.releaseChoice(c, next)
			return e.failRequest(ctx, c, w, r)
		}
		if w.streaming {
			c.lastProgressAt = w.lastChunkAt
		}
	}
}

// endAttempt records the result of an attempt.
func (e *Relayer) endAttempt(a *attempt, r attemptResult) {
	c := a.call
	e.balancer.End(time.Now(), a.choice, c.adapter, r.result)
	if c.tokens > 0 && !r.outcome.endsRequest() {
		e.control.enqueueLoads()
	}
	e.metrics.countAttempt(r.result)
	e.metrics.countResponse(a.framing, r.outcome)
	if r.outcome == outcomeForwarded && c.route.Stream {
		e.learnLength(a)
	}
	c.wasSent = c.wasSent || r.outcome != outcomeUnsent && r.outcome != outcomeNotRun
	if r.outcome != outcomeUnsent {
		c.sends++
		c.reached[a.choice.Key.ID] = true
	}
	e.recordEvidence(a, r)
}

// retryServerError reports whether a request that got a server error is retried; if so, the retry budget is charged.
func (e *Relayer) retryServerError(c *call, r attemptResult) bool {
	return r.outcome == outcomeAnswered && r.result == balancer.Failed && c.route.Idempotent() &&
		c.sends < c.route.Attempts && e.budget.spend(time.Now(), e.balancer.Entries())
}

// recordRejection records why a server did not run a request.
func (e *Relayer) recordRejection(c *call, choice balancer.Choice, r attemptResult) {
	if r.misdirected && c.adapter.Model != "" {
		e.balancer.RemoveResident(choice.Key.ID, c.adapter)
		e.control.reportMissing(governor.AdapterPlacement{Engine: choice.Key.ID, Adapter: c.adapter})
		return
	}
	c.excluded[choice.Key.ID] = true
}

// allowRetry reports whether the request may be sent again; if so, the retry budget is charged where it applies.
func (e *Relayer) allowRetry(ctx context.Context, c *call, w *responseWriter, r attemptResult, try int) bool {
	if ctx.Err() != nil || w.writeFailed || try >= maxTries || time.Until(c.deadline) <= 0 {
		return false
	}
	switch r.outcome {
	case outcomeUnsent:
		return true
	case outcomeNotRun:
		return c.sends < c.route.Attempts && e.budget.spend(time.Now(), e.balancer.Entries())
	case outcomeUnknown, outcomeCut:
		if !c.route.Idempotent() {
			return false
		}
		if w.streaming && (!c.route.Resumable || !w.resumable()) {
			return false
		}
		return c.sends < c.route.Attempts && (r.nextChoice != nil || e.budget.spend(time.Now(), e.balancer.Entries()))
	}
	return false
}

// finishResponse completes the response: it writes a buffered one, or the last chunk of one that was already forwarded.
func (e *Relayer) finishResponse(c *call, w *responseWriter, r attemptResult) bool {
	var ok bool
	if r.outcome == outcomeForwarded {
		ok = w.endStream()
	} else {
		ok = w.writeComplete(r.status, r.fields, r.body)
	}
	if ok && r.status < http.StatusMultipleChoices {
		e.reportLate(c, w)
	}
	return ok
}

// reportLate logs and counts complete responses that missed their route's target or gap.
func (e *Relayer) reportLate(c *call, w *responseWriter) {
	t := logger.RequestTiming{
		Server: c.choice.Key.ID, Model: c.adapter.Name, Account: c.req.decision.accountName(), Wait: c.chosenAt.Sub(c.arrived), First: w.firstWriteAt.Sub(c.arrived), Gap: w.maxGap,
		Running: c.choice.Running, Sends: c.sends, Basis: c.req.decision.basis(),
	}
	switch {
	case c.route.LatencyTarget > 0 && t.First > c.route.LatencyTarget && t.Wait > t.First/2:
		t.Reason = "wait before the server: " + c.waitedFor
	case c.route.LatencyTarget > 0 && t.First > c.route.LatencyTarget:
		t.Reason = "first byte of the server"
	case c.route.MaxPause > 0 && t.Gap > c.route.MaxPause:
		t.Reason = "pause of the server"
	default:
		return
	}
	e.metrics.late.WithLabelValues(t.Reason).Inc()
	e.log.LateRequest(c.id, t)
}

// failRequest ends a request whose last attempt brought no response.
func (e *Relayer) failRequest(ctx context.Context, c *call, w *responseWriter, r attemptResult) bool {
	switch {
	case e.callerLeft(ctx, w):
		return false
	case isWithdrawn(ctx):
		return e.failWithdrawn(c, w)
	case w.streaming:
		return e.abortResponse(c, w, r.reason)
	case !c.mayHaveRun:
		e.metrics.countPlace(c, placeRefused, "attempts")
		return e.refuse(c, w, "the request was not run: "+r.reason, e.retryAfterBusy(c))
	case !time.Now().Before(c.deadline):
		return e.respondError(c, w, http.StatusGatewayTimeout, "no answer came in time: "+r.reason)
	}
	return e.respondError(c, w, http.StatusBadGateway, "the request may have run: "+r.reason)
}

// failWithoutServer ends a request for which no server could be chosen.
func (e *Relayer) failWithoutServer(ctx context.Context, c *call, w *responseWriter, status balancer.PickStatus) bool {
	switch {
	case e.callerLeft(ctx, w):
		return false
	case isWithdrawn(ctx):
		return e.failWithdrawn(c, w)
	case w.streaming:
		return e.abortResponse(c, w, "no other server can be asked")
	case c.mayHaveRun:
		return e.respondError(c, w, http.StatusBadGateway, "the request may have run, and no other server can be asked")
	case status == balancer.NotLoaded:
		e.metrics.countPlace(c, placeRefused, "adapter")
		return e.refuse(c, w, "no server holds the adapter yet", retryAfterLoad)
	case status == balancer.LimitReached:
		e.metrics.countPlace(c, placeRefused, "queue")
		e.balancer.CountUnplaced(time.Now(), c.pickRequest(e.cfg.Zone))
		return e.refuse(c, w, "all servers of "+c.service+" are busy", max(c.expectedWait, e.retryAfterBusy(c)))
	case status == balancer.NoRoom:
		e.recordRoom(c, roomRefuse)
		return e.refuse(c, w, "no server of "+c.service+" has room for the request", e.retryAfterBusy(c))
	}
	e.metrics.countPlace(c, placeRefused, "server")
	return e.refuse(c, w, "no server answers for "+c.service+" now", retryAfterNoServer)
}

// retryAfterBusy returns when the caller of a request that no server took may come back.
func (e *Relayer) retryAfterBusy(c *call) time.Duration {
	return e.balancer.RetryAfter(time.Now(), c.pickRequest(e.cfg.Zone), retryAfterBusy)
}

// callerLeft reports whether the caller disconnected or a write to it failed; false once the entry itself closes connections.
func (e *Relayer) callerLeft(ctx context.Context, w *responseWriter) bool {
	return e.ctx.Err() == nil && (w.writeFailed || errors.Is(context.Cause(ctx), errCallerLeft))
}

// abortResponse ends a connection in mid-response, which must not look complete.
func (e *Relayer) abortResponse(c *call, w *responseWriter, reason string) bool {
	w.aborted = true
	if e.ctx.Err() != nil {
		reason = "the entry shut down: " + reason
	}
	e.logEnd(c, "cut", reason, w.status)
	return false
}

// logEnd logs the end of a request that wasn't served.
func (e *Relayer) logEnd(c *call, outcome, reason string, status int) {
	e.log.Request(logger.Request{
		ID: c.id, Account: c.req.decision.accountName(), Model: c.adapter.Name, Outcome: outcome, Reason: reason, Status: status,
		Basis: c.req.decision.basis(),
	})
}

// refuse responds that the request was not run, and when to retry.
func (e *Relayer) refuse(c *call, w *responseWriter, reason string, retryAfter time.Duration) bool {
	e.logEnd(c, "refused", reason, http.StatusServiceUnavailable)
	return w.writeError(http.StatusServiceUnavailable, reason, retryAfter)
}

func (e *Relayer) respondError(c *call, w *responseWriter, status int, reason string) bool {
	e.logEnd(c, "failed", reason, status)
	return w.writeError(status, reason, 0)
}

// waitDeadline returns the end of a request's wait for a server, after which no response would reach its caller in time.
func (c *call) waitDeadline() time.Time {
	if !c.route.Stream {
		return earlier(c.arrived.Add(max(maxWaitTargets*c.route.LatencyTarget, chooseRetryInterval)), c.deadline)
	}
	callerTimeout := max(callerTimeoutFloor, callerTimeoutTargets*c.route.LatencyTarget, callerTimeoutGaps*c.route.MaxPause)
	return earlier(c.lastProgressAt.Add(callerTimeout), c.deadline).Add(-firstByteReserve)
}

// pickRequest describes the server that the request needs to an entry in the zone.
func (c *call) pickRequest(zone string) balancer.Request {
	return balancer.Request{
		Service: c.service, Adapter: c.adapter, Zone: zone, Except: c.excluded, Tokens: c.tokens, MaxPause: c.route.MaxPause,
		Memory: c.memory, Capacity: c.capacity, Priority: c.priority, Arrived: c.arrived, Deadline: c.deadline, Prompt: c.prompt,
		Software: c.software, OnlySoftware: c.softwareFixed,
	}
}

// mayUse reports whether a server's software version is one that may go on with the request.
func (c *call) mayUse(choice *balancer.Choice) bool {
	return !c.softwareFixed || choice.Software == c.software
}

// waitReasons names what a request waits for, in the log and in the metric of late responses.
var waitReasons = map[balancer.PickStatus]string{
	balancer.NotLoaded: "an adapter", balancer.LimitReached: "a place", balancer.NoServer: "a server",
	balancer.PrefillBusy: "its turn among prompts", balancer.NoRoom: "room",
}

// chooseServer returns the server for the next attempt; it waits a bounded time for a free slot or for an adapter to be loaded.
func (e *Relayer) chooseServer(ctx context.Context, c *call) (balancer.Choice, balancer.PickStatus) {
	pickRequest := c.pickRequest(e.cfg.Zone)
	defer func() {
		e.stopRoomWait(c, &pickRequest)
		if pickRequest.Ticket != nil {
			e.balancer.Dequeue(c.service, pickRequest.Ticket)
		}
	}()
	limit := c.waitDeadline()
	for {
		var loaded, ready <-chan struct{}
		if c.adapter.Model != "" {
			loaded = e.balancer.NotifyLoaded(c.adapter)
		}
		now := time.Now()
		pickRequest.IgnorePrefillLimit = now.After(c.arrived.Add(time.Duration(maxPrefillWaitShare * float64(c.route.LatencyTarget))))
		choice, status := e.balancer.Pick(now, pickRequest)
		switch {
		case status == balancer.Picked:
			if choice.DelaysPrefill() {
				e.control.enqueueLoads()
			}
			if c.adapter.Name != "" && choice.HighLoad {
				e.control.requestAdapter(governor.Want{Service: c.service, Adapter: c.adapter, Copy: true})
			}
			return choice, status
		case status == balancer.NoServer && len(c.excluded) > 0 && c.lastProgressAt.Equal(c.arrived):
			// Only a stream that has begun waits for another server, until its waitDeadline.
			return choice, status
		case status == balancer.LimitReached && pickRequest.Ticket == nil:
			maxQueueWait := time.Duration(maxQueueWaitShare * float64(time.Until(c.deadline)))
			if pickRequest.Ticket, c.expectedWait = e.balancer.Enqueue(now, c.service, c.adapter, maxQueueWait); pickRequest.Ticket == nil {
				return choice, status
			}
			limit = now.Add(2 * maxQueueWait)
		case now.After(limit):
			return choice, status
		}
		if status == balancer.NoRoom {
			limit = earlier(limit, e.beginRoomWait(c, &pickRequest))
		}
		c.waitedFor = waitReasons[status]
		if status == balancer.NotLoaded {
			e.requestLoad(c)
		}
		if pickRequest.Ticket != nil {
			ready = pickRequest.Ticket.Ready()
		}
		pause := min(time.Until(limit)+time.Millisecond, e.updateRoomWait(c, &pickRequest, status))
		if !waitAny(ctx, min(pause, e.choicePause(now, c, status)), loaded, ready) {
			return choice, status
		}
	}
}

// choicePause returns the longest pause before another try to choose a server.
func (e *Relayer) choicePause(now time.Time, c *call, status balancer.PickStatus) time.Duration {
	if status == balancer.PrefillBusy {
		return prefillPollInterval
	}
	if wait := e.balancer.PaceWait(now, c.service); wait > 0 {
		return min(wait, chooseRetryInterval)
	}
	return chooseRetryInterval
}

// requestLoad requests the adapter of a request that no server holds.
func (e *Relayer) requestLoad(c *call) {
	if c.adapter.Name == "" {
		return
	}
	e.control.requestAdapter(governor.Want{
		Service: c.service, Adapter: c.adapter, Remaining: time.Until(c.arrived.Add(c.route.LatencyTarget)),
		FailedServers: c.failedServers, Software: c.software,
	})
}

// waitAny waits until a channel is ready or the pause is over; false means that ctx is done.
func waitAny(ctx context.Context, pause time.Duration, loaded, ready <-chan struct{}) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-loaded:
	case <-ready:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}
