package scheduler

import (
	"math"
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/placer"
	"redwingstage.org/serving/registrar"
)

// pendingLoad is the load of an adapter that queued jobs wait for; they all share it.
type pendingLoad struct {
	target  configurer.Target
	urgent  bool
	since   time.Time
	waiters int
	// permitRequested means that a request for a permit is pending; permit is held until the load is ordered.
	permitRequested   bool
	permitRequestedAt time.Time
	permit            *registrar.Permit
	retryAt           time.Time
	failures          int
}

// arrangeLoads evicts, orders loads and requests permits for the queue's adapters.
func (s *Scheduler) arrangeLoads(now time.Time, sv *server) {
	s.refreshPendingLoads(now, sv)
	if !sv.mayOrder(now) || !sv.acceptsJobs {
		return
	}
	s.evictOrReturnPermits(now, sv)
	s.orderLoads(now, sv)
	s.requestPermits(now, sv)
}

// refreshPendingLoads updates the pending loads from the queue, urgent and old ones first.
func (s *Scheduler) refreshPendingLoads(now time.Time, sv *server) {
	for _, pl := range sv.pendingLoads {
		pl.waiters, pl.urgent = 0, false
	}
	if sv.acceptsJobs && sv.isModel() {
		s.eachSendable(sv, func(it queuedJob) {
			t := it.Value.Target
			if t.Adapter == "" || sv.slots.CanServe(t) {
				return
			}
			pl := sv.pendingLoad(t)
			if pl == nil {
				pl = &pendingLoad{target: t, since: now}
				sv.pendingLoads = append(sv.pendingLoads, pl)
			}
			pl.waiters++
			pl.urgent = pl.urgent || it.Urgent
		})
	}
	sv.pendingLoads = slices.DeleteFunc(sv.pendingLoads, func(pl *pendingLoad) bool {
		if pl.waiters > 0 || sv.slots.State(pl.target) == placer.Loading {
			return false
		}
		s.releasePermit(sv, pl)
		return true
	})
	if !slices.ContainsFunc(sv.pendingLoads, func(pl *pendingLoad) bool { return canLoad(sv.slots.State(pl.target)) }) {
		sv.slots.EndDrain()
	}
	slices.SortStableFunc(sv.pendingLoads, func(a, b *pendingLoad) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
}

// eachSendable calls f for the queued jobs that may be sent once their adapter is loaded: only as many long ones as their share allows.
func (s *Scheduler) eachSendable(sv *server, f func(queuedJob)) {
	longLeft := math.MaxInt
	if s.cfg.enabled(PartLongShare) {
		longLeft = s.maxLong(sv) - sv.longInFlight
	}
	sv.queue.Each(func(it queuedJob) {
		if it.Value.runsLong {
			if longLeft--; longLeft < 0 {
				return
			}
		}
		f(it)
	})
}

func (sv *server) pendingLoad(t configurer.Target) *pendingLoad {
	for _, pl := range sv.pendingLoads {
		if pl.target == t {
			return pl
		}
	}
	return nil
}

// evictOrReturnPermits evicts for held permits and returns those that expired or get no slot.
func (s *Scheduler) evictOrReturnPermits(now time.Time, sv *server) {
	for _, pl := range sv.pendingLoads {
		if pl.permit != nil && isPast(now, pl.permit.Expires) {
			s.returnPermit(pl)
		}
	}
	held := sv.heldPermits()
	freeing := sv.slots.Count(placer.Unloading)
	for held > freeing && !sv.slots.HasFreeSlot() {
		t, ok := sv.slots.Victim(now, s.isAwaited(sv))
		if !ok {
			break
		}
		s.seq++
		sv.slots.BeginUnload(now, t, s.seq)
		s.emit(Unload{Server: sv.announcement.Name, Target: t, Epoch: sv.epoch, Order: s.seq})
		freeing++
	}
	if freeing > 0 || sv.slots.HasFreeSlot() {
		return
	}
	for _, pl := range sv.pendingLoads {
		s.returnPermit(pl)
	}
}

// orderLoads orders the loads that have a permit and a slot.
func (s *Scheduler) orderLoads(now time.Time, sv *server) {
	for _, pl := range sv.pendingLoads {
		if pl.permit == nil || !sv.slots.HasFreeSlot() || !canLoad(sv.slots.State(pl.target)) {
			continue
		}
		s.seq++
		sv.loadingPermits[pl.target] = *pl.permit
		pl.permit = nil
		sv.slots.BeginLoad(now, pl.target, s.seq)
		s.emit(Load{Server: sv.announcement.Name, Target: pl.target, Epoch: sv.epoch, Order: s.seq})
	}
}

func canLoad(st placer.State) bool { return st == placer.Absent || st == placer.Lost }

// requestPermits requests permits for the first pending loads that have a slot or a victim.
func (s *Scheduler) requestPermits(now time.Time, sv *server) {
	outstanding := sv.heldPermits() + len(sv.loadingPermits)
	for _, pl := range sv.pendingLoads {
		if pl.permitRequested {
			outstanding++
		}
	}
	for _, pl := range sv.pendingLoads {
		if pl.permitRequested && now.Sub(pl.permitRequestedAt) >= s.cfg.PermitTimeout {
			pl.permitRequested = false
			outstanding--
		}
		if outstanding >= s.cfg.LoadsPerServer || pl.permitRequested || pl.permit != nil || now.Before(pl.retryAt) || !canLoad(sv.slots.State(pl.target)) {
			continue
		}
		if !sv.slots.HasFreeSlot() {
			if _, ok := sv.slots.Victim(now, s.isAwaited(sv)); !ok {
				if now.Sub(pl.since) >= s.cfg.DrainAfter {
					sv.slots.Drain(now, sv.usesMostOfBatch)
				}
				return
			}
		}
		pl.permitRequested, pl.permitRequestedAt = true, now
		outstanding++
		s.emit(RequestPermit{Server: sv.announcement.Name, Target: pl.target, Urgent: pl.urgent, Rate: sv.slots.Rate(now, pl.target)})
	}
}

// heldPermits returns the number of held permits whose load isn't ordered yet.
func (sv *server) heldPermits() int {
	n := 0
	for _, pl := range sv.pendingLoads {
		if pl.permit != nil {
			n++
		}
	}
	return n
}

// isAwaited returns a function that reports whether queued jobs wait for the target, so that evicting it would be undone at once.
func (s *Scheduler) isAwaited(sv *server) func(configurer.Target) bool {
	return func(t configurer.Target) bool {
		found := false
		s.eachSendable(sv, func(it queuedJob) { found = found || it.Value.Target == t })
		return found
	}
}

// usesMostOfBatch reports whether a target runs over half of the batch, so that draining it would idle the server.
func (sv *server) usesMostOfBatch(t configurer.Target) bool {
	n := 0
	for _, j := range sv.inFlight {
		if j.Target == t {
			n++
		}
	}
	return 2*n > sv.batchSize()
}

// storePermit stores a permit for a pending load and reports whether it can be used.
func (s *Scheduler) storePermit(now time.Time, sv *server, ev Granted) bool {
	pl := sv.pendingLoad(ev.Target)
	if pl == nil || pl.permit != nil || !sv.acceptsJobs || !sv.mayOrder(now) || !canLoad(sv.slots.State(ev.Target)) {
		if pl != nil {
			pl.permitRequested = false
		}
		return false
	}
	permit := ev.Permit
	pl.permitRequested, pl.permit = false, &permit
	return true
}

func (s *Scheduler) delayPermitRetry(now time.Time, sv *server, t configurer.Target) {
	if pl := sv.pendingLoad(t); pl != nil && pl.permitRequested {
		pl.permitRequested = false
		pl.retryAt = now.Add(s.jitter(s.cfg.PermitRetryDelay))
	}
}

func (s *Scheduler) returnPermit(pl *pendingLoad) {
	if pl.permit != nil {
		s.emit(ReturnPermit{Permit: *pl.permit})
		pl.permit = nil
	}
}

// releasePermit returns a held permit and withdraws a pending request.
func (s *Scheduler) releasePermit(sv *server, pl *pendingLoad) {
	s.returnPermit(pl)
	if pl.permitRequested {
		pl.permitRequested = false
		s.emit(WithdrawPermit{Server: sv.announcement.Name, Target: pl.target})
	}
}

// releasePermits calls releasePermit for all pending loads.
func (s *Scheduler) releasePermits(sv *server) {
	for _, pl := range sv.pendingLoads {
		s.releasePermit(sv, pl)
	}
}

func (s *Scheduler) loadEnded(now time.Time, sv *server, ev LoadEnded) {
	order := ev.Order
	if s.disabled.orderNumbers {
		order = 0
	}
	if !sv.slots.EndLoad(now, ev.Target, order, ev.OK) {
		return
	}
	s.emit(ReturnPermit{Permit: sv.loadingPermits[ev.Target], Used: true})
	delete(sv.loadingPermits, ev.Target)
	if ev.OK {
		delete(sv.cooldownUntil, ev.Target)
		sv.pendingLoads = slices.DeleteFunc(sv.pendingLoads, func(pl *pendingLoad) bool { return pl.target == ev.Target })
	} else {
		s.loadFailed(now, sv, ev.Target)
	}
	s.dropIfIdle(sv.announcement.Name, sv)
}

// loadFailed refuses the waiting jobs that have another candidate and retries for the rest with backoff, up to LoadAttempts.
func (s *Scheduler) loadFailed(now time.Time, sv *server, t configurer.Target) {
	sv.cooldownUntil[t] = now.Add(s.cfg.LoadCooldown)
	pl := sv.pendingLoad(t)
	if pl == nil {
		return
	}
	pl.failures++
	pl.retryAt = now.Add(s.jitter(s.cfg.LoadBackoff << min(pl.failures-1, maxBackoffShift)))
	final := pl.failures >= s.cfg.LoadAttempts
	s.refuseWaiters(now, sv, t, final)
	if final {
		sv.pendingLoads = slices.DeleteFunc(sv.pendingLoads, func(o *pendingLoad) bool { return o == pl })
	}
}

// maxBackoffShift bounds the exponential backoff.
const maxBackoffShift = 6

// refuseWaiters refuses the jobs that wait for a load, all or those with another candidate.
func (s *Scheduler) refuseWaiters(now time.Time, sv *server, t configurer.Target, all bool) {
	for _, j := range sv.queue.Drop(func(it queuedJob) bool {
		return it.Value.Target == t && (all || !it.Value.IsLastCandidate)
	}) {
		s.refuse(now, j, ReasonLoad, s.cfg.LoadCooldown)
	}
}

// checkLoads handles slow loads and orders without an answer.
func (s *Scheduler) checkLoads(now time.Time, sv *server) {
	for _, t := range sv.slots.Stuck(now, placer.Loading, s.cfg.SlowLoadAfter) {
		s.refuseWaiters(now, sv, t, false)
	}
	if !sv.mayOrder(now) {
		if !sv.hasLease {
			s.dropUnanswered(now, sv)
		}
		return
	}
	for _, st := range []placer.State{placer.Loading, placer.Unloading} {
		for _, t := range sv.slots.Stuck(now, st, s.cfg.OrderTimeout) {
			if permit, ok := sv.loadingPermits[t]; ok {
				s.emit(ReturnPermit{Permit: permit, Used: true})
				delete(sv.loadingPermits, t)
				s.loadFailed(now, sv, t)
			}
			// The server may or may not hold the adapter; an unload resolves it.
			s.seq++
			sv.slots.BeginUnload(now, t, s.seq)
			s.emit(Unload{Server: sv.announcement.Name, Target: t, Epoch: sv.epoch, Order: s.seq})
		}
	}
	for t, until := range sv.cooldownUntil {
		if !until.After(now) {
			delete(sv.cooldownUntil, t)
		}
	}
}

// dropUnanswered drops unanswered loads at a server whose lease this entry lost.
func (s *Scheduler) dropUnanswered(now time.Time, sv *server) {
	for _, t := range sv.slots.Stuck(now, placer.Loading, s.cfg.OrderTimeout) {
		if permit, ok := sv.loadingPermits[t]; ok {
			s.emit(ReturnPermit{Permit: permit, Used: true})
			delete(sv.loadingPermits, t)
		}
	}
	s.dropIfIdle(sv.announcement.Name, sv)
}
