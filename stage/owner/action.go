package owner

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
)

const (
	accuseTimeout = 3 * time.Second
	permitTimeout = 5 * time.Second
	loadTimeout   = 10 * time.Second
	// wantGap is the longest time between a denied request and the next one of the same wait.
	wantGap = 2 * time.Second
)

// execute runs the scheduler's actions; blocking calls run in goroutines of their own.
func (o *Owner) execute(actions []scheduler.Action) {
	var failed []scheduler.Fail
	var accused *scheduler.Accuse
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Send:
			o.decide(a.Job.Attempt, decision{send: true, proven: a.Proven})
		case scheduler.Refuse:
			o.decide(a.Attempt, decision{reason: a.Reason, retryAfter: a.RetryAfter})
			o.Meter.Refused(string(a.Reason))
		case scheduler.Cancel:
			if j := o.jobs[a.Attempt]; j != nil {
				j.cancel()
			}
		case scheduler.Fail:
			failed = append(failed, a)
		case scheduler.Accuse:
			accused = &a
		case scheduler.Absolve:
			o.absolve(a)
		case scheduler.AskPermit:
			o.askPermit(a)
		case scheduler.WithdrawPermit:
			key := ask{server: a.Server, target: a.Target}
			o.withdrawPermit(key)
			delete(o.wanted, key)
		case scheduler.ReturnPermit:
			o.tasks.Go(func() { o.Control.Return(a.Permit, a.Used) })
		case scheduler.Load:
			o.load(a)
		case scheduler.Unload:
			o.unload(a)
		case scheduler.Alarm:
			o.Meter.AtRisk(a.Class)
			o.Log.Warn("deadline at risk for class "+a.Class, a.Attempt.String())
		}
	}
	o.fail(failed, accused)
}

func (o *Owner) decide(a retrier.Attempt, d decision) {
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

// fail ends attempts that can't complete; when their server is gone, the crash is reported before any caller gets an answer.
func (o *Owner) fail(failed []scheduler.Fail, accused *scheduler.Accuse) {
	if len(failed) == 0 && accused == nil {
		return
	}
	var digests []quarantiner.Digest
	if accused != nil {
		for _, a := range accused.Attempts {
			if j := o.jobs[a]; j != nil {
				digests = append(digests, j.req.Digest)
				o.accused[j.req.Digest] = false
			}
		}
	}
	var cut []*job
	for _, f := range failed {
		j := o.jobs[f.Attempt]
		switch {
		case j == nil:
		case o.going:
			j.crashed.Store(f.Crashed)
			cut = append(cut, j)
			delete(o.jobs, f.Attempt)
		default:
			// The server still runs the attempt, which ends once its cancellation is confirmed.
			j.recalled.Store(f.Recalled)
			j.silent.Store(true)
			j.cancel()
		}
	}
	o.tasks.Go(func() {
		if len(digests) > 0 {
			o.accuse(accused.Server, digests)
		}
		for _, j := range cut {
			close(j.failed)
			j.cancel()
			j.free()
		}
	})
}

func (o *Owner) accuse(server string, digests []quarantiner.Digest) {
	ctx, cancel := context.WithTimeout(o.ctx, accuseTimeout)
	defer cancel()
	if err := o.Control.Accuse(ctx, server, digests); err != nil {
		o.Log.Error("reporting a crash of "+server+" failed", err)
	}
}

// ask identifies the adapter load that a permit is for.
type ask struct {
	server string
	target configurer.Target
}

// want is the start of a load's wait for a permit, and the time of the last denial if no request is open.
type want struct{ since, denied time.Time }

// isStale reports whether no request followed the last denial in time, so that the load is no longer needed.
func (w want) isStale(now time.Time) bool {
	return !w.denied.IsZero() && now.Sub(w.denied) > wantGap
}

// asking is a permit request that the control leader hasn't answered.
type asking struct{ cancel context.CancelFunc }

func (o *Owner) askPermit(a scheduler.AskPermit) {
	key := ask{server: a.Server, target: a.Target}
	o.withdrawPermit(key)
	ctx, cancel := context.WithTimeout(o.ctx, permitTimeout)
	open := &asking{cancel: cancel}
	o.asks[key] = open
	waited := o.waited(key, time.Now())
	o.tasks.Go(func() {
		defer cancel()
		p, err := o.Control.Permit(ctx, registrar.PermitAsk{
			Server: a.Server, Target: a.Target, Urgent: a.Urgent, Rate: a.Rate, Waited: waited,
		})
		fed := o.post(func() { o.answered(key, open, p, err) })
		if !fed && err == nil {
			o.Control.Return(p, false)
		}
	})
}

// waited records a permit request for a load and returns how long the load has waited across all requests.
func (o *Owner) waited(key ask, now time.Time) time.Duration {
	w, ok := o.wanted[key]
	if !ok || w.isStale(now) {
		w.since = now
	}
	w.denied = time.Time{}
	o.wanted[key] = w
	return now.Sub(w.since)
}

// answered passes a permit or its denial to the scheduler; a permit whose request was withdrawn is returned.
func (o *Owner) answered(key ask, open *asking, p registrar.Permit, err error) {
	current := o.asks[key] == open
	if current {
		delete(o.asks, key)
	}
	switch {
	case err == nil && current:
		delete(o.wanted, key)
		o.handle(scheduler.Granted{Server: key.server, Target: key.target, Permit: p})
	case err == nil:
		o.tasks.Go(func() { o.Control.Return(p, false) })
	case current:
		now := time.Now()
		maps.DeleteFunc(o.wanted, func(_ ask, w want) bool { return w.isStale(now) })
		o.wanted[key] = want{since: o.wanted[key].since, denied: now}
		o.handle(scheduler.Denied{Server: key.server, Target: key.target})
	}
}

// withdrawPermit cancels a permit request, so that the leader's queue holds only requests that are still needed.
func (o *Owner) withdrawPermit(key ask) {
	if open := o.asks[key]; open != nil {
		open.cancel()
		delete(o.asks, key)
	}
}

// mayOrder reports whether an order under the epoch is still allowed; it is checked right before the order is written.
func (o *Owner) mayOrder(server string, epoch uint64) (held, bool) {
	h := o.held[server]
	if h == nil || h.owner.Epoch != epoch || !h.adopted {
		return held{}, false
	}
	now := time.Now()
	return *h, now.Before(o.Control.LeaseEnd()) && !now.Before(h.orderAt)
}

func (o *Owner) load(a scheduler.Load) {
	h, ok := o.mayOrder(a.Server, a.Epoch)
	lease := o.Control.LeaseEnd()
	source := o.source(a.Target)
	o.tasks.Go(func() {
		if !ok || source == "" {
			o.feed(scheduler.LoadEnded{Server: a.Server, Target: a.Target, Order: a.Order})
			return
		}
		begun := time.Now()
		ctx, cancel := context.WithDeadline(o.ctx, lease)
		defer cancel()
		incarnation, err := o.Sender.Load(ctx, sender.Order{
			Attempt: o.attempt().String(), Addr: h.server.Addr, Name: a.Target.String(), Path: source,
			Fence: a.Epoch, Wait: loadTimeout,
		})
		confirmed := err == nil && incarnation == h.server.Incarnation
		o.Meter.Loaded(confirmed, time.Since(begun))
		o.post(func() { o.ordered(a.Server, a.Epoch, err, incarnation) })
		o.feed(scheduler.LoadEnded{Server: a.Server, Target: a.Target, Order: a.Order, OK: confirmed})
	})
}

func (o *Owner) unload(a scheduler.Unload) {
	h, ok := o.mayOrder(a.Server, a.Epoch)
	lease := o.Control.LeaseEnd()
	o.tasks.Go(func() {
		if !ok {
			o.feed(scheduler.UnloadEnded{Server: a.Server, Target: a.Target, Order: a.Order})
			return
		}
		ctx, cancel := context.WithDeadline(o.ctx, lease)
		defer cancel()
		err := o.Sender.Unload(ctx, sender.Order{
			Attempt: o.attempt().String(), Addr: h.server.Addr, Name: a.Target.String(), Fence: a.Epoch, Wait: loadTimeout,
		})
		o.post(func() { o.ordered(a.Server, a.Epoch, err, "") })
		o.feed(scheduler.UnloadEnded{Server: a.Server, Target: a.Target, Order: a.Order, OK: err == nil})
	})
}

// ordered checks an order's result for a newer owner or a restart.
func (o *Owner) ordered(server string, epoch uint64, err error, incarnation string) {
	h := o.held[server]
	if h == nil || h.owner.Epoch != epoch {
		return
	}
	switch {
	case errors.Is(err, sender.ErrOldFence):
		o.Log.Warn("order refused, the backend server has a newer owner", server)
		o.release(h)
	case err != nil || incarnation != "" && incarnation != h.server.Incarnation:
		o.poll(h)
	}
}

func (o *Owner) source(t configurer.Target) string {
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
