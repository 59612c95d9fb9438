package owner

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
)

const (
	reportTimeout = 3 * time.Second
	permitTimeout = 5 * time.Second
	orderTimeout  = 10 * time.Second
	// maxPermitRequestGap is the longest time between a denied request and the next one of the same wait.
	maxPermitRequestGap = 2 * time.Second
)

// execute runs the scheduler's actions; blocking calls run in goroutines of their own.
func (o *Owner) execute(actions []scheduler.Action) {
	var failed []scheduler.Fail
	var crash *scheduler.ReportCrash
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Send:
			o.deliverDecision(a.Job.Attempt, decision{send: true, knownSafe: a.KnownSafe})
		case scheduler.Refuse:
			o.deliverDecision(a.Attempt, decision{reason: a.Reason, retryAfter: a.RetryAfter})
			o.Meter.CountRefusal(string(a.Reason))
		case scheduler.Cancel:
			if j := o.jobs[a.Attempt]; j != nil {
				j.cancel()
			}
		case scheduler.Fail:
			failed = append(failed, a)
		case scheduler.ReportCrash:
			crash = &a
		case scheduler.ReportCompletion:
			o.reportSuspectDone(a)
		case scheduler.RequestPermit:
			o.requestPermit(a)
		case scheduler.WithdrawPermit:
			key := permitKey{server: a.Server, target: a.Target}
			o.withdrawPermit(key)
			delete(o.permitWaits, key)
		case scheduler.ReturnPermit:
			o.tasks.Go(func() { o.Control.ReturnPermit(a.Permit, a.Used) })
		case scheduler.Load:
			o.load(a)
		case scheduler.Unload:
			o.unload(a)
		case scheduler.DeadlineAtRisk:
			o.Meter.CountDeadlineAtRisk(a.Class)
			o.Log.Warn("deadline at risk for class "+a.Class, a.Attempt.String())
		}
	}
	o.failAttempts(failed, crash)
}

func (o *Owner) deliverDecision(a retrier.Attempt, d decision) {
	j := o.jobs[a]
	if j == nil {
		return
	}
	if d.send {
		j.sent = true
	} else {
		delete(o.jobs, a)
	}
	select {
	case j.decided <- d:
	default:
	}
}

// failAttempts ends attempts that can't complete; when their server died, the crash is reported before any caller gets an answer.
func (o *Owner) failAttempts(failed []scheduler.Fail, crash *scheduler.ReportCrash) {
	if len(failed) == 0 && crash == nil {
		return
	}
	var digests []quarantiner.Digest
	if crash != nil {
		for _, a := range crash.Attempts {
			if j := o.jobs[a]; j != nil {
				digests = append(digests, j.req.Digest)
				o.reportedSuspects[j.req.Digest] = false
			}
		}
	}
	var ended []*job
	for _, f := range failed {
		j := o.jobs[f.Attempt]
		switch {
		case j == nil:
		case o.reportingServerEnd:
			j.crashed.Store(f.Crashed)
			ended = append(ended, j)
			delete(o.jobs, f.Attempt)
		default:
			// The server still runs the attempt, which ends once its cancellation is confirmed.
			j.becameSuspect.Store(f.BecameSuspect)
			j.silent.Store(true)
			j.cancel()
		}
	}
	o.tasks.Go(func() {
		if len(digests) > 0 {
			o.reportCrash(crash.Server, digests)
		}
		for _, j := range ended {
			close(j.failed)
			j.cancel()
			j.releaseClaim()
		}
	})
}

func (o *Owner) reportCrash(server string, digests []quarantiner.Digest) {
	ctx, cancel := context.WithTimeout(o.ctx, reportTimeout)
	defer cancel()
	if err := o.Control.ReportCrash(ctx, server, digests); err != nil {
		o.Log.Error("reporting a crash of "+server+" failed", err)
	}
}

// permitKey identifies the adapter load that a permit is for.
type permitKey struct {
	server string
	target configurer.Target
}

// permitWait is the start of a load's wait for a permit, and the time of the last denial if no request is open.
type permitWait struct{ since, deniedAt time.Time }

// isStale reports whether no request followed the last denial in time, so that the load is no longer needed.
func (w permitWait) isStale(now time.Time) bool {
	return !w.deniedAt.IsZero() && now.Sub(w.deniedAt) > maxPermitRequestGap
}

// permitRequest is a permit request that the control leader hasn't answered.
type permitRequest struct{ cancel context.CancelFunc }

func (o *Owner) requestPermit(a scheduler.RequestPermit) {
	key := permitKey{server: a.Server, target: a.Target}
	o.withdrawPermit(key)
	ctx, cancel := context.WithTimeout(o.ctx, permitTimeout)
	open := &permitRequest{cancel: cancel}
	o.permitRequests[key] = open
	waited := o.recordPermitWait(key, time.Now())
	o.tasks.Go(func() {
		defer cancel()
		p, err := o.Control.Permit(ctx, registrar.LoadRequest{
			Server: a.Server, Target: a.Target, Urgent: a.Urgent, Rate: a.Rate, Waited: waited,
		})
		posted := o.post(func() { o.permitAnswered(key, open, p, err) })
		if !posted && err == nil {
			o.Control.ReturnPermit(p, false)
		}
	})
}

// recordPermitWait records a permit request for a load and returns how long the load has waited across all requests.
func (o *Owner) recordPermitWait(key permitKey, now time.Time) time.Duration {
	w, ok := o.permitWaits[key]
	if !ok || w.isStale(now) {
		w.since = now
	}
	w.deniedAt = time.Time{}
	o.permitWaits[key] = w
	return now.Sub(w.since)
}

// permitAnswered passes a permit or its denial to the scheduler; a permit whose request was withdrawn is returned.
func (o *Owner) permitAnswered(key permitKey, open *permitRequest, p registrar.Permit, err error) {
	current := o.permitRequests[key] == open
	if current {
		delete(o.permitRequests, key)
	}
	switch {
	case err == nil && current:
		delete(o.permitWaits, key)
		o.handleEvent(scheduler.Granted{Server: key.server, Target: key.target, Permit: p})
	case err == nil:
		o.tasks.Go(func() { o.Control.ReturnPermit(p, false) })
	case current:
		now := time.Now()
		maps.DeleteFunc(o.permitWaits, func(_ permitKey, w permitWait) bool { return w.isStale(now) })
		o.permitWaits[key] = permitWait{since: o.permitWaits[key].since, deniedAt: now}
		o.handleEvent(scheduler.Denied{Server: key.server, Target: key.target})
	}
}

// withdrawPermit cancels a permit request, so that the leader's queue holds only requests that are still needed.
func (o *Owner) withdrawPermit(key permitKey) {
	if open := o.permitRequests[key]; open != nil {
		open.cancel()
		delete(o.permitRequests, key)
	}
}

// mayOrder reports whether an order under the epoch is still allowed; it is checked right before the order is written.
func (o *Owner) mayOrder(server string, epoch uint64) (ownedServer, bool) {
	srv := o.owned[server]
	if srv == nil || srv.owner.Epoch != epoch || !srv.adopted {
		return ownedServer{}, false
	}
	now := time.Now()
	return *srv, waiter.IsBefore(now, o.Control.LeaseEnd()) && !now.Before(srv.ordersFrom)
}

func (o *Owner) load(a scheduler.Load) {
	srv, ok := o.mayOrder(a.Server, a.Epoch)
	lease := o.Control.LeaseEnd()
	source := o.adapterSource(a.Target)
	o.tasks.Go(func() {
		if !ok || source == "" {
			o.postEvent(scheduler.LoadEnded{Server: a.Server, Target: a.Target, Order: a.Order})
			return
		}
		start := time.Now()
		ctx, cancel := context.WithDeadline(o.ctx, lease)
		defer cancel()
		incarnation, err := o.Sender.Load(ctx, sender.AdapterOrder{
			Attempt: o.newAttempt().String(), Addr: srv.server.Addr, Name: a.Target.String(), Path: source,
			Fence: a.Epoch, Timeout: orderTimeout,
		})
		confirmed := err == nil && incarnation == srv.server.Incarnation
		o.Meter.ObserveLoad(confirmed, time.Since(start))
		o.post(func() { o.checkOrderResult(a.Server, a.Epoch, err, incarnation) })
		o.postEvent(scheduler.LoadEnded{Server: a.Server, Target: a.Target, Order: a.Order, OK: confirmed})
	})
}

func (o *Owner) unload(a scheduler.Unload) {
	srv, ok := o.mayOrder(a.Server, a.Epoch)
	lease := o.Control.LeaseEnd()
	o.tasks.Go(func() {
		if !ok {
			o.postEvent(scheduler.UnloadEnded{Server: a.Server, Target: a.Target, Order: a.Order})
			return
		}
		ctx, cancel := context.WithDeadline(o.ctx, lease)
		defer cancel()
		err := o.Sender.Unload(ctx, sender.AdapterOrder{
			Attempt: o.newAttempt().String(), Addr: srv.server.Addr, Name: a.Target.String(), Fence: a.Epoch, Timeout: orderTimeout,
		})
		o.post(func() { o.checkOrderResult(a.Server, a.Epoch, err, "") })
		o.postEvent(scheduler.UnloadEnded{Server: a.Server, Target: a.Target, Order: a.Order, OK: err == nil})
	})
}

// checkOrderResult checks an order's result for a newer owner or a restart.
func (o *Owner) checkOrderResult(server string, epoch uint64, err error, incarnation string) {
	srv := o.owned[server]
	if srv == nil || srv.owner.Epoch != epoch {
		return
	}
	switch {
	case errors.Is(err, sender.ErrOldFence):
		o.Log.Warn("order refused, the backend server has a newer owner", server)
		o.release(srv)
	case err != nil || incarnation != "" && incarnation != srv.server.Incarnation:
		o.poll(srv)
	}
}

func (o *Owner) adapterSource(t configurer.Target) string {
	a, ok := o.Control.Catalog().Adapter(t.Adapter)
	if !ok {
		return ""
	}
	v, ok := a.Version(t.Version)
	if !ok {
		return ""
	}
	return v.Source()
}
