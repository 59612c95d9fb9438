package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
	"redwingstage.org/stage/streamer"
)

const (
	// crashReportWait bounds how long a failed answer waits for a crash report.
	crashReportWait   = 4 * time.Second
	maxResumes        = 4
	cancelTimeout     = 1 * time.Second
	cancelBackoff     = 20 * time.Millisecond
	maxCancelBackoff  = 500 * time.Millisecond
	bookingTimeout    = 60 * time.Second
	eventsPerProgress = 8
)

// decision is the scheduler's decision on a queued job.
type decision struct {
	send       bool
	knownSafe  bool
	reason     scheduler.Reason
	retryAfter time.Duration
}

// job is one attempt from its arrival to its end.
type job struct {
	attempt retrier.Attempt
	req     *streamer.Request
	server  registrar.Server
	spec    scheduler.Job
	// sent and standing are accessed only by the goroutine of run.
	sent     bool
	standing quarantiner.Standing
	decided  chan decision
	failed   chan struct{}
	crashed  atomic.Bool
	silent   atomic.Bool
	// written is true if the request may have reached its server.
	written       atomic.Bool
	becameSuspect atomic.Bool
	// seenRevision is the roster's revision before the standing was looked up.
	seenRevision uint64
	claim        claim
	// knownSafe is true if the same request completed recently.
	knownSafe bool
	ctx       context.Context
	cancel    context.CancelFunc
}

// Serve queues the request for the server, writes the answer to sink and returns how the attempt ended.
func (o *Owner) Serve(ctx context.Context, req *streamer.Request, server string, lastCandidate bool, sink streamer.Sink) streamer.End {
	j := o.newJob(ctx, req, server, lastCandidate)
	defer j.cancel()
	posted := o.post(func() { o.arrive(j) })
	if !posted {
		return refused(streamer.ReasonClosing, "this entry shuts down")
	}
	sink = &feedbackSink{Sink: sink, owner: o, server: server}
	end := o.serveJob(ctx, j, sink)
	end.Feedback = o.feedback(server)
	return end
}

// feedbackSink adds the server's feedback to the head of an answer.
type feedbackSink struct {
	streamer.Sink
	owner  *Owner
	server string
}

// Head implements streamer.Sink.
func (s *feedbackSink) Head(h streamer.Head) {
	h.Feedback = s.owner.feedback(s.server)
	s.Sink.Head(h)
}

// feedback returns the last published feedback on a server.
func (o *Owner) feedback(server string) streamer.Feedback {
	if feedbacks := o.feedbacks.Load(); feedbacks != nil {
		return (*feedbacks)[server]
	}
	return streamer.Feedback{}
}

// publishFeedback stores the servers' feedback where requests read it without the event loop.
func (o *Owner) publishFeedback(now time.Time) {
	feedbacks := make(map[string]streamer.Feedback, len(o.owned))
	for name := range o.owned {
		feedbacks[name] = streamer.Feedback{Known: true, Load: o.Decider.Load(name), Slow: o.Decider.IsSlow(now, name)}
	}
	o.feedbacks.Store(&feedbacks)
}

// serveJob waits for the scheduler's decision on the job and executes it.
func (o *Owner) serveJob(ctx context.Context, j *job, sink streamer.Sink) streamer.End {
	d, ok := o.awaitDecision(ctx, j)
	if !ok {
		return refused(streamer.ReasonClosing, "this entry shuts down")
	}
	if !d.send {
		return streamer.End{
			Outcome: retrier.NotRun, Reason: streamer.Reason(d.reason), RetryAfter: d.retryAfter,
			Message: "the request was refused before it was sent: " + string(d.reason),
		}
	}
	j.knownSafe = d.knownSafe
	if j.req.IsBooking() {
		return o.serveBooking(j, sink)
	}
	return o.serveIdempotent(j, sink)
}

func (o *Owner) newJob(ctx context.Context, req *streamer.Request, server string, lastCandidate bool) *job {
	if req.IsBooking() {
		// A booking continues without its caller, so that its answer is recorded for the next retry.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	j := &job{
		seenRevision: o.rosterRevision(), attempt: o.newAttempt(), req: req, decided: make(chan decision, 2), failed: make(chan struct{}),
		ctx: ctx, cancel: cancel,
	}
	j.spec = scheduler.Job{
		Attempt: j.attempt, Server: server, Target: req.Target, Class: req.Class, Urgent: req.Urgent, Long: req.Long,
		Idempotent: req.Idempotent, Digest: req.Digest, Standing: o.Control.Standing(req.Digest), Prefix: req.Prefix,
		MaxTokens: req.MaxTokens, Arrived: req.Arrived, FirstTokenBy: req.FirstTokenDeadline, Deadline: req.Deadline, IsLastCandidate: lastCandidate,
	}
	return j
}

func (o *Owner) arrive(j *job) {
	srv := o.owned[j.spec.Server]
	if srv == nil || !srv.adopted || o.draining {
		j.decided <- decision{reason: scheduler.ReasonNotOwner}
		return
	}
	j.server, j.standing = srv.server, j.spec.Standing
	o.jobs[j.attempt] = j
	o.handleEvent(scheduler.Arrived{Job: j.spec})
}

// awaitDecision returns the scheduler's decision, or false once the owner is closed; a job whose ctx ends is decided at once.
func (o *Owner) awaitDecision(ctx context.Context, j *job) (decision, bool) {
	select {
	case d := <-j.decided:
		return d, true
	case <-o.ctx.Done():
		return decision{}, false
	case <-ctx.Done():
	}
	o.postEvent(scheduler.Cancelled{Attempt: j.attempt})
	select {
	case d := <-j.decided:
		return d, true
	case <-o.ctx.Done():
		return decision{}, false
	}
}

// attemptEnded reports to the scheduler that the attempt no longer runs at its server.
func (o *Owner) attemptEnded(j *job, ev scheduler.Ended) {
	ev.Attempt = j.attempt
	o.post(func() {
		if o.jobs[j.attempt] == nil {
			return
		}
		j.releaseClaim()
		// The scheduler may report the completed request, which needs the job.
		o.handleEvent(ev)
		delete(o.jobs, j.attempt)
		o.checkDrained()
	})
}

// serveIdempotent sends an idempotent call.
func (o *Owner) serveIdempotent(j *job, sink streamer.Sink) streamer.End {
	if end, ok := o.recheck(j); !ok {
		o.attemptEnded(j, scheduler.Ended{})
		return end
	}
	out := o.newMeteredSink(j, sink)
	reply := o.send(j.ctx, j, out)
	for n := 0; n < maxResumes && o.mayResume(j, reply); n++ {
		next := o.newCall(j)
		next.Attempt, next.ResumeAttempt, next.Offset = o.newAttempt().String(), j.attempt.String(), out.events
		resumed := o.Sender.Call(j.ctx, next, out)
		if resumed.End.Outcome == retrier.NotRun || resumed.Events == 0 && resumed.Status != 0 {
			// An answer without any event doesn't show whether the attempt still runs.
			break
		}
		reply = resumed
	}
	o.Meter.CountEvents(out.events)
	if reply.Finished {
		o.attemptEnded(j, scheduler.Ended{
			OK: reply.End.Outcome == retrier.Done, Tokens: out.events, AdapterMissing: reply.AdapterMissing,
		})
		return o.deliverAnswer(j, reply, sink)
	}
	return o.stopBrokenAttempt(j, reply.End, out.events)
}

// send sends the job's first call; a call that was refused or not written can't have crashed its server.
func (o *Owner) send(ctx context.Context, j *job, sink streamer.Sink) sender.Reply {
	j.written.Store(true)
	reply := o.Sender.Call(ctx, o.newCall(j), sink)
	j.written.Store(reply.End.Outcome != retrier.NotRun)
	return reply
}

func (o *Owner) mayResume(j *job, reply sender.Reply) bool {
	if reply.Finished || !j.req.Stream || j.ctx.Err() != nil {
		return false
	}
	return reply.End.Reason == streamer.ReasonSilent || reply.End.Reason == streamer.ReasonBroken
}

// deliverAnswer writes an unstreamed answer to sink, and returns how the attempt ended.
func (o *Owner) deliverAnswer(j *job, reply sender.Reply, sink streamer.Sink) streamer.End {
	streamed := j.req.Stream && reply.Body == nil
	if streamed || reply.End.Outcome != retrier.Done {
		return reply.End
	}
	sink.Head(streamer.Head{Status: reply.Status, Type: reply.Type})
	if err := sink.Data(reply.Body); err != nil {
		end := streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonCancelled, Message: err.Error()}
		if errors.Is(err, streamer.ErrSlow) {
			end.Reason = streamer.ReasonSlow
		}
		return end
	}
	return reply.End
}

// recheck reports whether the job may still be sent after its time in the queue.
func (o *Owner) recheck(j *job) (streamer.End, bool) {
	if end, ok := o.acquireClaim(j); !ok {
		return end, false
	}
	switch {
	case j.isFailed():
		return refused(streamer.Reason(scheduler.ReasonLeaving), "the backend server's process died before the request was sent"), false
	case j.becameSuspect.Load():
		return refused(streamer.ReasonQuarantineChanged, "the request became suspect before it was sent"), false
	}
	if j.ctx.Err() != nil {
		return refused(streamer.ReasonCancelled, "the caller went away"), false
	}
	if o.Control.Standing(j.req.Digest) != j.spec.Standing {
		return refused(streamer.ReasonQuarantineChanged, "the request became suspect while it was queued"), false
	}
	return streamer.End{}, true
}

func (o *Owner) newCall(j *job) sender.Call {
	c := sender.Call{
		Attempt: j.attempt.String(), Addr: j.server.Addr, Method: j.req.Method, URI: j.req.URI, Type: j.req.Type,
		Accept: j.req.Accept, Request: j.req.ID, Body: j.req.Body, Stream: j.req.Stream, Key: j.req.Key,
		NewConn: j.req.IsBooking(), Incarnation: j.server.Incarnation,
	}
	if j.req.Kind == configurer.KindModel {
		c.Model = j.req.Target.String()
	}
	if !j.req.Stream {
		c.FirstByteTimeout = bookingTimeout
	}
	return c
}

// stopBrokenAttempt stops a broken attempt in the background; its caller waits for the stop or a crash report, at most crashReportWait.
func (o *Owner) stopBrokenAttempt(j *job, end streamer.End, tokens int) streamer.End {
	if end.Reason != streamer.ReasonCancelled {
		// A cancelled caller and a losing hedge are no failures.
		o.Log.Warn("answer broke, "+string(end.Reason)+": "+end.Message, j.req.ID)
	}
	stopped := make(chan struct{})
	o.tasks.Go(func() {
		defer close(stopped)
		o.stopAttempt(j)
		o.attemptEnded(j, scheduler.Ended{Tokens: tokens})
	})
	timer := time.NewTimer(crashReportWait)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-j.failed:
	case <-timer.C:
	}
	select {
	case <-j.failed:
		if j.crashed.Load() {
			end.Reason, end.Message = streamer.ReasonCrashed, "the backend server's process died under the request"
		}
	default:
		switch {
		case j.becameSuspect.Load():
			end.Reason, end.Message = streamer.ReasonQuarantineChanged, "the request became suspect while it ran"
		case j.silent.Load():
			end.Reason, end.Message = streamer.ReasonSilent, "the backend server went silent"
		}
	}
	return end
}

// stopAttempt retries until the server confirms that the attempt no longer runs, or its process is known to have ended.
func (o *Owner) stopAttempt(j *job) {
	for backoff := cancelBackoff; ; backoff = min(2*backoff, maxCancelBackoff) {
		if o.tryStop(j) {
			return
		}
		select {
		case <-j.failed:
			return
		case <-o.ctx.Done():
			return
		case <-time.After(backoff):
		}
	}
}

// tryStop asks the server once to stop the attempt; a dead or restarted process is reported, which fails its jobs.
func (o *Owner) tryStop(j *job) bool {
	ctx, cancel := context.WithTimeout(o.ctx, cancelTimeout)
	defer cancel()
	incarnation, err := o.requestStop(ctx, j)
	if err == nil && (incarnation == "" || incarnation == j.server.Incarnation) {
		return true
	}
	result, ok := o.await(func() bool { return o.handleUnconfirmedStop(j, err) })
	return !ok || result
}

func (o *Owner) requestStop(ctx context.Context, j *job) (string, error) {
	if j.req.Kind == configurer.KindModel {
		return o.Sender.Cancel(ctx, j.server.Addr, j.attempt.String(), o.newAttempt().String())
	}
	report, err := o.Sender.Poll(ctx, j.server.Addr, o.newAttempt().String())
	return report.Incarnation, err
}

// handleUnconfirmedStop handles an attempt whose stop wasn't confirmed; it reports whether the attempt can no longer run.
func (o *Owner) handleUnconfirmedStop(j *job, err error) bool {
	if o.jobs[j.attempt] == nil {
		return j.isFailed()
	}
	srv := o.owned[j.server.Name]
	var notListening *sender.NotListeningError
	switch {
	case srv == nil && (err == nil || errors.As(err, &notListening)), srv != nil && !srv.adopted && srv.server.Incarnation != j.server.Incarnation:
		// The server was handed over, or its restart was announced, and its end isn't reported to the scheduler yet.
		o.reportServerEnd(j.server, true)
	case srv != nil && err != nil:
		o.handleNoAnswer(srv, err, time.Now())
	case srv != nil && srv.adopted && srv.server.Incarnation == j.server.Incarnation:
		o.markEnded(srv, true)
		o.poll(srv)
	}
	if o.jobs[j.attempt] == nil {
		return j.isFailed()
	}
	// The scheduler had already failed the attempt before its process ended, so that no further failure follows.
	return err == nil || errors.As(err, &notListening)
}

func (j *job) isFailed() bool {
	select {
	case <-j.failed:
		return true
	default:
		return false
	}
}

func refused(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: message}
}
