package scheduler

import (
	"math"
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/placer"
	"redwingstage.org/serving/registrar"
)

// want is the load of an adapter that queued jobs wait for; they all share it.
type want struct {
	target  configurer.Target
	urgent  bool
	since   time.Time
	waiters int
	// asked says that a request for a permit is pending; permit is held until the load is ordered.
	asked   bool
	askedAt time.Time
	permit  *registrar.Permit
	retryAt time.Time
	fails   int
}

// arrangeLoads evicts, orders loads and requests permits for the queue's adapters.
func (s *Scheduler) arrangeLoads(now time.Time, sv *server) {
	s.refreshWants(now, sv)
	if !sv.mayOrder(now) || !sv.open {
		return
	}
	s.useOrReturnPermits(now, sv)
	s.orderLoads(now, sv)
	s.askPermits(now, sv)
}

// refreshWants updates the pending loads from the queue, urgent and old ones first.
func (s *Scheduler) refreshWants(now time.Time, sv *server) {
	for _, w := range sv.wants {
		w.waiters, w.urgent = 0, false
	}
	if sv.open && sv.isModel() {
		s.eachNext(sv, func(it queued) {
			t := it.Value.Target
			if t.Adapter == "" || sv.slots.CanServe(t) {
				return
			}
			w := sv.want(t)
			if w == nil {
				w = &want{target: t, since: now}
				sv.wants = append(sv.wants, w)
			}
			w.waiters++
			w.urgent = w.urgent || it.Urgent
		})
	}
	sv.wants = slices.DeleteFunc(sv.wants, func(w *want) bool {
		if w.waiters > 0 || sv.slots.State(w.target) == placer.Loading {
			return false
		}
		s.withdraw(sv, w)
		return true
	})
	if !slices.ContainsFunc(sv.wants, func(w *want) bool { return canLoad(sv.slots.State(w.target)) }) {
		sv.slots.EndDrain()
	}
	slices.SortStableFunc(sv.wants, func(a, b *want) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
}

// eachNext calls f for the queued jobs that may be sent once their adapter is loaded: only as many long ones as their share allows.
func (s *Scheduler) eachNext(sv *server, f func(queued)) {
	longs := math.MaxInt
	if s.cfg.has(PartLongShare) {
		longs = s.longLimit(sv) - sv.longs
	}
	sv.queue.Each(func(it queued) {
		if it.Value.long {
			if longs--; longs < 0 {
				return
			}
		}
		f(it)
	})
}

func (sv *server) want(t configurer.Target) *want {
	for _, w := range sv.wants {
		if w.target == t {
			return w
		}
	}
	return nil
}

// useOrReturnPermits evicts for held permits and returns those that expired or get no slot.
func (s *Scheduler) useOrReturnPermits(now time.Time, sv *server) {
	for _, w := range sv.wants {
		if w.permit != nil && isPast(now, w.permit.Expires) {
			s.returnPermit(w)
		}
	}
	held := sv.permits()
	coming := sv.slots.Count(placer.Unloading)
	for held > coming && !sv.slots.HasRoom() {
		t, ok := sv.slots.Victim(now, s.isWanted(sv))
		if !ok {
			break
		}
		s.order++
		sv.slots.BeginUnload(now, t, s.order)
		s.emit(Unload{Server: sv.reg.Name, Target: t, Epoch: sv.epoch, Order: s.order})
		coming++
	}
	if coming > 0 || sv.slots.HasRoom() {
		return
	}
	for _, w := range sv.wants {
		s.returnPermit(w)
	}
}

// orderLoads orders the loads that have a permit and a slot.
func (s *Scheduler) orderLoads(now time.Time, sv *server) {
	for _, w := range sv.wants {
		if w.permit == nil || !sv.slots.HasRoom() || !canLoad(sv.slots.State(w.target)) {
			continue
		}
		s.order++
		sv.loading[w.target] = *w.permit
		w.permit = nil
		sv.slots.BeginLoad(now, w.target, s.order)
		s.emit(Load{Server: sv.reg.Name, Target: w.target, Epoch: sv.epoch, Order: s.order})
	}
}

func canLoad(st placer.State) bool { return st == placer.Absent || st == placer.Lost }

// askPermits requests permits for the first pending loads that have a slot or a victim.
func (s *Scheduler) askPermits(now time.Time, sv *server) {
	out := sv.permits() + len(sv.loading)
	for _, w := range sv.wants {
		if w.asked {
			out++
		}
	}
	for _, w := range sv.wants {
		if w.asked && now.Sub(w.askedAt) >= s.cfg.PermitLost {
			w.asked = false
			out--
		}
		if out >= s.cfg.LoadsPerServer || w.asked || w.permit != nil || now.Before(w.retryAt) || !canLoad(sv.slots.State(w.target)) {
			continue
		}
		if !sv.slots.HasRoom() {
			if _, ok := sv.slots.Victim(now, s.isWanted(sv)); !ok {
				if now.Sub(w.since) >= s.cfg.DrainAfter {
					sv.slots.Drain(now, sv.isHeavy)
				}
				return
			}
		}
		w.asked, w.askedAt = true, now
		out++
		s.emit(AskPermit{Server: sv.reg.Name, Target: w.target, Urgent: w.urgent, Rate: sv.slots.Rate(now, w.target)})
	}
}

// permits returns the number of held permits whose load isn't ordered yet.
func (sv *server) permits() int {
	n := 0
	for _, w := range sv.wants {
		if w.permit != nil {
			n++
		}
	}
	return n
}

// isWanted returns a function that reports whether queued jobs wait for the target, so that evicting it would be undone at once.
func (s *Scheduler) isWanted(sv *server) func(configurer.Target) bool {
	return func(t configurer.Target) bool {
		found := false
		s.eachNext(sv, func(it queued) { found = found || it.Value.Target == t })
		return found
	}
}

// isHeavy reports whether a target runs over half of the batch, so that draining it would idle the server.
func (sv *server) isHeavy(t configurer.Target) bool {
	n := 0
	for _, j := range sv.inFlight {
		if j.Target == t {
			n++
		}
	}
	return 2*n > sv.batch()
}

// granted stores a permit for a pending load and reports whether it can be used.
func (s *Scheduler) granted(now time.Time, sv *server, ev Granted) bool {
	w := sv.want(ev.Target)
	if w == nil || w.permit != nil || !sv.open || !sv.mayOrder(now) || !canLoad(sv.slots.State(ev.Target)) {
		if w != nil {
			w.asked = false
		}
		return false
	}
	permit := ev.Permit
	w.asked, w.permit = false, &permit
	return true
}

func (s *Scheduler) denied(now time.Time, sv *server, t configurer.Target) {
	if w := sv.want(t); w != nil && w.asked {
		w.asked = false
		w.retryAt = now.Add(s.jitter(s.cfg.PermitRetry))
	}
}

func (s *Scheduler) returnPermit(w *want) {
	if w.permit != nil {
		s.emit(ReturnPermit{Permit: *w.permit})
		w.permit = nil
	}
}

// withdraw returns a held permit and withdraws a pending request.
func (s *Scheduler) withdraw(sv *server, w *want) {
	s.returnPermit(w)
	if w.asked {
		w.asked = false
		s.emit(WithdrawPermit{Server: sv.reg.Name, Target: w.target})
	}
}

// dropPermits calls withdraw for all pending loads.
func (s *Scheduler) dropPermits(sv *server) {
	for _, w := range sv.wants {
		s.withdraw(sv, w)
	}
}

func (s *Scheduler) loadEnded(now time.Time, sv *server, ev LoadEnded) {
	order := ev.Order
	if s.off.orders {
		order = 0
	}
	if !sv.slots.EndLoad(now, ev.Target, order, ev.OK) {
		return
	}
	s.emit(ReturnPermit{Permit: sv.loading[ev.Target], Used: true})
	delete(sv.loading, ev.Target)
	if ev.OK {
		delete(sv.cool, ev.Target)
		sv.wants = slices.DeleteFunc(sv.wants, func(w *want) bool { return w.target == ev.Target })
	} else {
		s.loadFailed(now, sv, ev.Target)
	}
	s.forget(sv.reg.Name, sv)
}

// loadFailed refuses the waiting jobs that have another candidate and retries for the rest with backoff, up to LoadAttempts.
func (s *Scheduler) loadFailed(now time.Time, sv *server, t configurer.Target) {
	sv.cool[t] = now.Add(s.cfg.LoadCool)
	w := sv.want(t)
	if w == nil {
		return
	}
	w.fails++
	w.retryAt = now.Add(s.jitter(s.cfg.LoadRetry << min(w.fails-1, maxBackoffShift)))
	final := w.fails >= s.cfg.LoadAttempts
	s.passOn(now, sv, t, final)
	if final {
		sv.wants = slices.DeleteFunc(sv.wants, func(o *want) bool { return o == w })
	}
}

// maxBackoffShift bounds the exponential backoff.
const maxBackoffShift = 6

// passOn refuses the jobs that wait for a load, all or those with another candidate.
func (s *Scheduler) passOn(now time.Time, sv *server, t configurer.Target, all bool) {
	for _, j := range sv.queue.Drop(func(it queued) bool {
		return it.Value.Target == t && (all || !it.Value.Last)
	}) {
		s.refuse(now, j, ReasonLoad, s.cfg.LoadCool)
	}
}

// watchLoads handles slow loads and orders without an answer.
func (s *Scheduler) watchLoads(now time.Time, sv *server) {
	for _, t := range sv.slots.Stuck(now, placer.Loading, s.cfg.LoadSlow) {
		s.passOn(now, sv, t, false)
	}
	if !sv.mayOrder(now) {
		if !sv.leased {
			s.dropLost(now, sv)
		}
		return
	}
	for _, st := range []placer.State{placer.Loading, placer.Unloading} {
		for _, t := range sv.slots.Stuck(now, st, s.cfg.LoadLost) {
			if permit, ok := sv.loading[t]; ok {
				s.emit(ReturnPermit{Permit: permit, Used: true})
				delete(sv.loading, t)
				s.loadFailed(now, sv, t)
			}
			// The server may or may not hold the adapter; an unload resolves it.
			s.order++
			sv.slots.BeginUnload(now, t, s.order)
			s.emit(Unload{Server: sv.reg.Name, Target: t, Epoch: sv.epoch, Order: s.order})
		}
	}
	for t, until := range sv.cool {
		if !until.After(now) {
			delete(sv.cool, t)
		}
	}
}

// dropLost drops unanswered loads at a server whose lease this entry lost.
func (s *Scheduler) dropLost(now time.Time, sv *server) {
	for _, t := range sv.slots.Stuck(now, placer.Loading, s.cfg.LoadLost) {
		if permit, ok := sv.loading[t]; ok {
			s.emit(ReturnPermit{Permit: permit, Used: true})
			delete(sv.loading, t)
		}
	}
	s.forget(sv.reg.Name, sv)
}
