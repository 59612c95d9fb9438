package relayer

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

const (
	// wantEvery is the longest pause between two tries to choose a server, and thus between two requests for an adapter.
	wantEvery = 400 * time.Millisecond
	// waitFactor bounds the wait for a server on a route without streams, in multiples of the route's target.
	waitFactor = 2
	// Callers disconnect from a stream that doesn't begin within the longest of leaveFloor, leaveTargets times the route's
	// target, and leaveGaps times its gap.
	leaveFloor   = 2 * time.Second
	leaveTargets = 4
	leaveGaps    = 8
	// turnShare is the share of a route's target that a prompt may wait while engines read other prompts, and turnEvery the
	// polling interval of that wait.
	turnShare = 0.5
	turnEvery = 15 * time.Millisecond
	// lateWork is the time reserved after the wait for the first byte of the response, with other prompts on the engine.
	lateWork = 500 * time.Millisecond
	// queueShare is the share of a request's remaining time that its expected wait in the service's queue may take.
	queueShare = 0.4
	// maxSends bounds the attempts of one request, including those that reached no server.
	maxSends = 8
	// copyPause is the shortest time between two requests for another copy of an adapter.
	copyPause = time.Second
	// Retry-After times of refused requests.
	comeBackLoad = 300 * time.Millisecond
	comeBackFull = 500 * time.Millisecond
	comeBackNone = time.Second
)

// call is a request with its route and the state of its attempts.
type call struct {
	req     *request
	route   *matcher.Route
	service string
	adapter tracker.Adapter
	id      string
	// tokens is the number of tokens of the prompt, 0 if unknown.
	tokens   int
	head     []byte
	arrived  time.Time
	deadline time.Time
	// since is when the request arrived, or when its latest event was sent to the caller.
	since time.Time
	sends int
	// wait is the expected wait in the queue if it was too long.
	wait time.Duration
	// choice is the server of the latest attempt, chosen the time of that choice.
	choice balancer.Choice
	chosen time.Time
	// held is what the request last waited for before a server was chosen.
	held string
	// reached are the servers that received the request, by id.
	reached map[string]bool
	// ran says that a server may have run the request.
	ran    bool
	except map[string]bool
	// silent are the servers that failed or were unreachable, by id.
	silent []string
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

// handle serves a request; false means that the connection must close.
func (e *Relayer) handle(ctx context.Context, req *request, w *answer) bool {
	table := e.table.Load()
	if table == nil {
		return w.fail(http.StatusServiceUnavailable, "this entry has no configuration yet", comeBackNone)
	}
	route, ok := table.Match(req.host, req.path)
	if !ok && e.link.silentFor(time.Now()) > 0 {
		return w.fail(http.StatusServiceUnavailable, "no route matches, but this entry's routes may be stale", comeBackNone)
	}
	if !ok {
		return w.fail(http.StatusNotFound, "no route matches "+req.host+req.path, 0)
	}
	c := &call{
		req: req, route: route, service: route.Pick(point()), id: req.get(e.names.Attempt), arrived: time.Now(),
		reached: make(map[string]bool), except: make(map[string]bool),
	}
	if c.id == "" {
		return w.fail(http.StatusBadRequest, "the header "+e.names.Attempt+" is missing", 0)
	}
	if s, ok := table.Service(c.service); ok && s.AdapterSlots > 0 {
		c.adapter = e.names.ParseModel(req.get(e.names.Model))
		c.tokens = e.names.ParseUsage(req.get(e.names.Usage))
	}
	c.deadline = c.arrived.Add(route.Timeout)
	if ms, err := strconv.ParseInt(req.get(e.names.Deadline), 10, 64); err == nil && ms > 0 {
		c.deadline = earlier(c.deadline, c.arrived.Add(time.Duration(ms)*time.Millisecond))
	}
	c.head = req.forward(e.names)
	e.budget.arrive()
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(deadlineSlack))
	defer cancel()
	ok = e.attempts(ctx, c, w)
	return ok
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attempts tries servers until one responds or no further attempt is allowed.
func (e *Relayer) attempts(ctx context.Context, c *call, w *answer) bool {
	c.since = c.arrived
	var next *balancer.Choice
	for try := 0; ; try++ {
		if next == nil {
			choice, v := e.choose(ctx, c)
			if v != balancer.Chosen {
				return e.giveUp(ctx, c, w, v)
			}
			next = &choice
		}
		choice := *next
		next = nil
		began := time.Now()
		e.metrics.chosen(c, began)
		c.choice, c.chosen = choice, began
		a := &attempt{call: c, choice: choice, resume: w.last, after: w.last}
		r := e.exchange(ctx, a, w)
		e.balancer.End(time.Now(), choice, c.adapter, r.result)
		if c.tokens > 0 && !r.outcome.ends() {
			e.link.tellLoads()
		}
		e.metrics.tried(r.result)
		if r.outcome != unsent {
			c.sends++
			c.reached[choice.Key.ID] = true
		}
		if e.failedAgain(c, r) {
			c.ran = true
			c.except[choice.Key.ID] = true
			e.log.Attempt(c.id, a.entry(r))
			continue
		}
		switch r.outcome {
		case answered, passed:
			if a.after != "" {
				e.log.Attempt(c.id, a.entry(r))
			}
			return e.finish(c, w, r)
		case left:
			return false
		case notRun:
			e.rejected(c, choice, r)
		case unsent:
			c.except[choice.Key.ID] = true
		case unknown, cut:
			c.ran = true
			c.except[choice.Key.ID] = true
		}
		if r.result == balancer.Unreachable || r.result == balancer.Failed {
			c.silent = append(c.silent, choice.Key.ID)
		}
		e.log.Attempt(c.id, a.entry(r))
		next = r.next
		if !e.again(ctx, c, w, r, try) {
			e.release(c, next)
			return e.fail(ctx, c, w, r)
		}
		if w.begun {
			c.since = w.wrote
		}
	}
}

// failedAgain reports whether a request that got a server error is retried; if so, the retry budget is charged.
func (e *Relayer) failedAgain(c *call, r reply) bool {
	return r.outcome == answered && r.result == balancer.Failed && c.route.Idempotent() &&
		c.sends < c.route.Attempts && e.budget.spend(time.Now(), e.balancer.Entries())
}

// rejected records why a server did not run a request.
func (e *Relayer) rejected(c *call, choice balancer.Choice, r reply) {
	if r.missing && c.adapter.Model != "" {
		e.balancer.Drop(choice.Key.ID, c.adapter)
		e.link.missing(governor.AdapterAt{Engine: choice.Key.ID, Adapter: c.adapter})
		return
	}
	c.except[choice.Key.ID] = true
}

// again reports whether the request may be sent again; if so, the retry budget is charged where it applies.
func (e *Relayer) again(ctx context.Context, c *call, w *answer, r reply, try int) bool {
	if ctx.Err() != nil || w.failed || try >= maxSends || time.Until(c.deadline) <= 0 {
		return false
	}
	switch r.outcome {
	case unsent:
		return true
	case notRun:
		return c.sends < c.route.Attempts && e.budget.spend(time.Now(), e.balancer.Entries())
	case unknown, cut:
		if !c.route.Idempotent() {
			return false
		}
		if w.begun && (!c.route.Resumable || !w.resumable()) {
			return false
		}
		return c.sends < c.route.Attempts && (r.next != nil || e.budget.spend(time.Now(), e.balancer.Entries()))
	}
	return false
}

// finish completes the response: it writes a buffered one, or the last chunk of one that was already forwarded.
func (e *Relayer) finish(c *call, w *answer, r reply) bool {
	var ok bool
	if r.outcome == passed {
		ok = w.end()
	} else {
		ok = w.whole(r.status, r.fields, r.body)
	}
	if ok && r.status < http.StatusMultipleChoices {
		e.judgeTime(c, w)
	}
	return ok
}

// judgeTime logs and counts complete responses that missed their route's target or gap.
func (e *Relayer) judgeTime(c *call, w *answer) {
	t := logger.Timing{
		Server: c.choice.Key.ID, Model: c.adapter.Name, Wait: c.chosen.Sub(c.arrived), First: w.first.Sub(c.arrived), Gap: w.gap,
		Running: c.choice.Running, Sends: c.sends,
	}
	switch {
	case c.route.Target > 0 && t.First > c.route.Target && t.Wait > t.First/2:
		t.Reason = "wait before the server: " + c.held
	case c.route.Target > 0 && t.First > c.route.Target:
		t.Reason = "first byte of the server"
	case c.route.Gap > 0 && t.Gap > c.route.Gap:
		t.Reason = "pause of the server"
	default:
		return
	}
	e.metrics.late.WithLabelValues(t.Reason).Inc()
	e.log.Late(c.id, t)
}

// fail ends a request whose last attempt brought no response.
func (e *Relayer) fail(ctx context.Context, c *call, w *answer, r reply) bool {
	switch {
	case e.hasLeft(ctx, w):
		return false
	case w.begun || e.ctx.Err() != nil:
		return e.breakOff(c, w, r.reason)
	case !c.ran:
		return e.refuse(c, w, "the request was not run: "+r.reason, comeBackFull)
	case !time.Now().Before(c.deadline):
		return e.own(c, w, http.StatusGatewayTimeout, "no response came in time: "+r.reason)
	}
	return e.own(c, w, http.StatusBadGateway, "the request may have run: "+r.reason)
}

// giveUp ends a request for which no server could be chosen.
func (e *Relayer) giveUp(ctx context.Context, c *call, w *answer, v balancer.Verdict) bool {
	switch {
	case e.hasLeft(ctx, w):
		return false
	case w.begun || e.ctx.Err() != nil:
		return e.breakOff(c, w, "no other server is available")
	case c.ran:
		return e.own(c, w, http.StatusBadGateway, "the request may have run, and no other server is available")
	case v == balancer.Absent:
		return e.refuse(c, w, "no server holds the adapter yet", comeBackLoad)
	case v == balancer.Full:
		return e.refuse(c, w, "all servers of "+c.service+" are busy", max(c.wait, comeBackFull))
	}
	return e.refuse(c, w, "no server answers for "+c.service+" now", comeBackNone)
}

// hasLeft reports whether the caller disconnected or a write to it failed; false after the entry closed its connections.
func (e *Relayer) hasLeft(ctx context.Context, w *answer) bool {
	return e.ctx.Err() == nil && (w.failed || errors.Is(context.Cause(ctx), errLeft))
}

// breakOff ends a connection in mid-response, which must not look complete, or without a response when the entry shuts down.
func (e *Relayer) breakOff(c *call, w *answer, reason string) bool {
	w.broken = true
	if e.ctx.Err() != nil {
		reason = "the entry shut down: " + reason
	}
	e.log.Request(c.id, c.adapter.Name, "cut", reason, w.status)
	return false
}

// refuse responds that the request was not run, and when to retry.
func (e *Relayer) refuse(c *call, w *answer, reason string, after time.Duration) bool {
	e.log.Request(c.id, c.adapter.Name, "refused", reason, http.StatusServiceUnavailable)
	return w.fail(http.StatusServiceUnavailable, reason, after)
}

func (e *Relayer) own(c *call, w *answer, status int, reason string) bool {
	e.log.Request(c.id, c.adapter.Name, "failed", reason, status)
	return w.fail(status, reason, 0)
}

// waitLimit returns until when a request may wait for a server: while a response would still reach its caller in time.
func (c *call) waitLimit() time.Time {
	if !c.route.Stream {
		return earlier(c.arrived.Add(max(waitFactor*c.route.Target, wantEvery)), c.deadline)
	}
	patience := max(leaveFloor, leaveTargets*c.route.Target, leaveGaps*c.route.Gap)
	return earlier(c.since.Add(patience), c.deadline).Add(-lateWork)
}

// held names what a request waits for, in the log and in the metric of late responses.
var held = map[balancer.Verdict]string{
	balancer.Absent: "an adapter", balancer.Full: "a place", balancer.None: "a server",
	balancer.Occupied: "its turn among prompts",
}

// choose returns the server for the next attempt; it waits a bounded time for a free slot or for an adapter to be loaded.
func (e *Relayer) choose(ctx context.Context, c *call) (balancer.Choice, balancer.Verdict) {
	ask := balancer.Ask{Service: c.service, Adapter: c.adapter, Zone: e.cfg.Zone, Except: c.except, Tokens: c.tokens, Gap: c.route.Gap}
	defer func() {
		if ask.Ticket != nil {
			e.balancer.Dequeue(c.service, ask.Ticket)
		}
	}()
	limit := c.waitLimit()
	for {
		var loaded, turn <-chan struct{}
		if c.adapter.Model != "" {
			loaded = e.balancer.Await(c.adapter)
		}
		now := time.Now()
		ask.Press = now.After(c.arrived.Add(time.Duration(turnShare * float64(c.route.Target))))
		choice, v := e.balancer.Pick(now, ask)
		switch {
		case v == balancer.Chosen:
			if choice.TakesTurns() {
				e.link.tellLoads()
			}
			if c.adapter.Name != "" && choice.Crowded {
				e.link.want(governor.Want{Service: c.service, Adapter: c.adapter, Copy: true})
			}
			return choice, v
		case v == balancer.None && len(c.except) > 0 && c.since.Equal(c.arrived):
			// Only a stream that has begun waits for another server, until its waitLimit.
			return choice, v
		case v == balancer.Full && ask.Ticket == nil:
			patience := time.Duration(queueShare * float64(time.Until(c.deadline)))
			if ask.Ticket, c.wait = e.balancer.Enqueue(now, c.service, c.adapter, patience); ask.Ticket == nil {
				return choice, v
			}
			limit = now.Add(2 * patience)
		case now.After(limit):
			return choice, v
		}
		c.held = held[v]
		if v == balancer.Absent && c.adapter.Name != "" {
			e.link.want(governor.Want{
				Service: c.service, Adapter: c.adapter, Left: time.Until(c.arrived.Add(c.route.Target)),
				Except: c.silent,
			})
		}
		if ask.Ticket != nil {
			turn = ask.Ticket.Turn()
		}
		pause := min(wantEvery, time.Until(limit)+time.Millisecond)
		if v == balancer.Occupied {
			pause = turnEvery
		}
		if !await(ctx, pause, loaded, turn) {
			return choice, v
		}
	}
}

// await waits until a channel is ready or the pause is over; false means that ctx is done.
func await(ctx context.Context, pause time.Duration, loaded, turn <-chan struct{}) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-loaded:
	case <-turn:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}
