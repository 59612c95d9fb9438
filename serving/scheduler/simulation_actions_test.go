package scheduler

import (
	"fmt"
	"slices"
	"time"

	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
)

// networkLatency is the latency between processes; engineOrderTime the time that an engine takes for an unload or a cancel.
const (
	networkLatency  = time.Millisecond
	engineOrderTime = 2 * time.Millisecond
)

func (sim *simulation) handle(i int, ev Event) {
	if ev, ok := ev.(Ended); ok {
		sim.releaseClaim(ev.Attempt)
	}
	if ev, ok := ev.(Ended); ok && ev.OK {
		if s := sim.scheds[i]; s.jobs[ev.Attempt] != nil && !s.jobs[ev.Attempt].failed {
			defer sim.end(ev.Attempt, "", true, router.Served)
		}
	} else if ok {
		if s := sim.scheds[i]; s.jobs[ev.Attempt] != nil && !s.jobs[ev.Attempt].failed {
			defer sim.end(ev.Attempt, "", false, router.LoadFailed)
		}
	}
	for _, act := range slices.Clone(sim.scheds[i].Handle(sim.now, ev)) {
		sim.perform(i, act)
	}
}

func (sim *simulation) engine(name string) *fakeEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *fakeEngine) bool { return e.name == name })]
}

// reachStep runs the fault that is set for a step.
func (sim *simulation) reachStep(name string, e *fakeEngine) {
	if f := sim.stepFaults[name]; f != nil {
		f(e)
	}
}

// whenRunning runs f at an engine after d, or when its pause ends; never if the process has ended by then.
func (sim *simulation) whenRunning(e *fakeEngine, d time.Duration, f func()) {
	incarnation := e.incarnation
	sim.after(d, func() {
		if e.down || e.incarnation != incarnation {
			return
		}
		if wait := e.pausedUntil.Sub(sim.now); wait > 0 {
			sim.whenRunning(e, wait, f)
			return
		}
		f()
	})
}

func (sim *simulation) perform(i int, act Action) {
	switch act := act.(type) {
	case Send:
		incarnation := sim.scheds[i].servers[act.Job.Server].announcement.Incarnation
		sim.after(2*networkLatency, func() { sim.claim(i, pendingSend{Send: act, incarnation: incarnation}) })
	case Refuse:
		if sim.writtenAttempts[act.Attempt] {
			sim.violate("attempt %v was refused after it was sent", act.Attempt)
		}
		results := map[Reason]router.Result{ReasonLoad: router.LoadFailed, ReasonLeaving: router.Unreachable, ReasonNotOwner: router.Unreachable, ReasonSlots: router.Declined}
		sim.end(act.Attempt, act.Reason, false, results[act.Reason])
	case Fail:
		if act.Crashed {
			sim.after(3*networkLatency, func() { sim.releaseClaim(act.Attempt) })
		}
		if sim.forbidFailures {
			sim.violate("rule 7: attempt %v failed after it was sent", act.Attempt)
		}
		sim.end(act.Attempt, "", false, router.Unreachable)
	case RequestPermit:
		sim.requestPermit(i, act)
	case ReturnPermit:
		delete(sim.permits, act.Permit.ID)
	case Load:
		sim.handleLoad(i, act)
	case Unload:
		sim.handleUnload(i, act)
	case Cancel:
		e := sim.engine(act.Server)
		sim.whenRunning(e, networkLatency+engineOrderTime, func() {
			delete(e.running, act.Attempt)
			sim.deliver(i, networkLatency, Ended{Attempt: act.Attempt})
		})
	case ReportCrash:
		sim.handleCrashReport(act)
	}
}

// claim takes the attempt's claim at its home entry; if a copy runs, the attempt is retried elsewhere or later.
func (sim *simulation) claim(i int, act pendingSend) {
	s, a := sim.scheds[i], act.Job.Attempt
	if j := s.jobs[a]; j == nil || j.failed || j.cancelled {
		if j != nil {
			sim.deliver(i, networkLatency, Ended{Attempt: a})
		}
		return
	}
	mode, process := quarantiner.Shared, quarantiner.ServerProcess{Server: act.Job.Server, Incarnation: act.incarnation}
	if act.Job.Standing == quarantiner.Suspect {
		mode = quarantiner.Exclusive
	}
	copyServer, ok := "", s.disabled.claims || act.KnownSafe
	if !ok {
		copyServer, ok = sim.claims.Acquire(act.Job.Digest, process, mode)
		if ok {
			sim.claimed[a] = process
		}
	}
	c := sim.openAttempts[a]
	if ok && c != nil && sim.quarantine.Standing(sim.now, act.Job.Digest) == act.Job.Standing || s.disabled.suspectIsolation {
		sim.writtenAttempts[a] = true
		sim.after(networkLatency, func() { sim.runAttempt(i, act) })
		return
	}
	sim.releaseClaim(a)
	if c != nil {
		c.copyServer = copyServer
		sim.end(a, "elsewhere", false, router.Declined)
	}
	for _, next := range slices.Clone(s.Handle(sim.now, Ended{Attempt: a})) {
		sim.perform(i, next)
	}
}

// releaseClaim releases an attempt's claim.
func (sim *simulation) releaseClaim(a retrier.Attempt) {
	if p, ok := sim.claimed[a]; ok {
		delete(sim.claimed, a)
		var n, id uint64
		_, _ = fmt.Sscanf(a.String(), "n.%x.%x", &n, &id)
		sim.claims.Release(sim.calls[n].digest, p)
	}
}

// releaseClaims releases the claims on an ended process, once its end is known.
func (sim *simulation) releaseClaims(e *fakeEngine, incarnation int) {
	sim.after(time.Second, func() {
		for a, p := range sim.claimed {
			if p.Server == e.name && p.Incarnation == fmt.Sprint(incarnation) {
				sim.releaseClaim(a)
			}
		}
	})
}

func (sim *simulation) handleCrashReport(act ReportCrash) {
	var digests []quarantiner.Digest
	for _, a := range act.Attempts {
		var n, id uint64
		_, _ = fmt.Sscanf(a.String(), "n.%x.%x", &n, &id)
		digests = append(digests, sim.calls[n].digest)
	}
	sim.quarantine.ReportCrash(sim.now, fmt.Sprint(act.Server, sim.now.UnixNano()), digests)
	for i := range sim.scheds {
		for _, d := range digests {
			sim.after(2*networkLatency, func() { sim.handle(i, StandingChanged{Digest: d, Standing: sim.quarantine.Standing(sim.now, d)}) })
		}
	}
}

func (sim *simulation) requestPermit(i int, act RequestPermit) {
	if sim.permitsToLose > 0 {
		sim.permitsToLose--
		return
	}
	if sim.permitsToDeny > 0 {
		sim.permitsToDeny--
		sim.deliver(i, 2*networkLatency, Denied{Server: act.Server, Target: act.Target})
		return
	}
	sim.lastID++
	p := registrar.Permit{ID: sim.lastID}
	sim.permits[p.ID] = true
	sim.deliver(i, 2*networkLatency, Granted{Server: act.Server, Target: act.Target, Permit: p})
}

// pendingSend is a Send and the incarnation that its entry knew of.
type pendingSend struct {
	Send
	incarnation string
}

// runAttempt runs an attempt at an engine, which checks the adapter only if the owner couldn't know of a restart.
func (sim *simulation) runAttempt(i int, act pendingSend) {
	e, a, t := sim.engine(act.Job.Server), act.Job.Attempt, act.Job.Target
	sim.whenRunning(e, 0, func() {
		if act.incarnation != fmt.Sprint(e.incarnation) {
			sim.deliver(i, networkLatency, Ended{Attempt: a, AdapterMissing: true})
			return
		}
		if t.Adapter != "" && !e.resident[t] {
			sim.violate("rule 1: %s runs %v on %v, which isn't resident", e.name, a, t)
		}
		if !e.leavingSince.IsZero() && sim.now.Sub(e.leavingSince) > 3*time.Second {
			sim.violate("rule 6: %s received %v more than 3 s after it began to leave", e.name, a)
		}
		e.running[a] = t
		sim.reachStep("request", e)
		c := sim.openAttempts[a]
		if c != nil && c.poison {
			sim.whenRunning(e, 20*time.Millisecond, func() {
				if _, ok := e.running[a]; ok {
					sim.crashes[c.digest]++
					sim.kill(e)
				}
			})
			return
		}
		sim.reportProgress(i, e, a, 0)
	})
}

// reportProgress reports tokens until the attempt ends.
func (sim *simulation) reportProgress(i int, e *fakeEngine, a retrier.Attempt, n int) {
	const parts = 5
	sim.whenRunning(e, sim.runTime/parts, func() {
		if _, ok := e.running[a]; !ok {
			return
		}
		if n+1 < parts {
			sim.handle(i, Progress{Attempt: a, Tokens: n + 1})
			sim.reportProgress(i, e, a, n+1)
			return
		}
		delete(e.running, a)
		sim.deliver(i, networkLatency, Ended{Attempt: a, OK: true, Tokens: parts})
	})
}

func (sim *simulation) handleLoad(i int, act Load) {
	e := sim.engine(act.Server)
	sim.whenRunning(e, networkLatency, func() {
		sim.reachStep("load", e)
		took := sim.loadTime
		if sim.loadsToSlow > 0 {
			sim.loadsToSlow--
			took = 3 * time.Second
		}
		fails := sim.loadsToFail > 0 || len(e.resident) >= 2 && !e.resident[act.Target]
		sim.loadsToFail = max(sim.loadsToFail-1, 0)
		sim.whenRunning(e, took, func() {
			if !fails && len(e.resident) < 2 {
				e.resident[act.Target] = true
			}
			sim.deliver(i, networkLatency, LoadEnded{Server: act.Server, Target: act.Target, Order: act.Order, OK: e.resident[act.Target]})
		})
	})
}

func (sim *simulation) handleUnload(i int, act Unload) {
	e := sim.engine(act.Server)
	sim.reachStep("eviction", e)
	sim.whenRunning(e, networkLatency+engineOrderTime, func() {
		for a, t := range e.running {
			if t == act.Target {
				sim.violate("rule 2: %s unloads %v while %v uses it", e.name, t, a)
			}
		}
		if act.Epoch < e.epoch {
			sim.violate("rule 2: entry %d sent %s an unload with epoch %d after epoch %d", i, e.name, act.Epoch, e.epoch)
		}
		delete(e.resident, act.Target)
		sim.deliver(i, networkLatency, UnloadEnded{Server: act.Server, Target: act.Target, Order: act.Order, OK: true})
	})
}

// kill ends an engine's process, which restarts without adapters after 2 s.
func (sim *simulation) kill(e *fakeEngine) {
	if e.down {
		return
	}
	e.down = true
	sim.releaseClaims(e, e.incarnation)
	e.incarnation++
	e.reset()
	for i := range sim.scheds {
		// A previous owner's connections break too.
		sim.deliver(i, 5*networkLatency, ServerEnded{Server: e.name, Crashed: true})
	}
	sim.after(500*time.Millisecond, sim.updateRosters)
	sim.after(2*time.Second, func() {
		e.down, e.pausedUntil = false, time.Time{}
		sim.handle(e.owner, Owned{Server: sim.announcement(e), Epoch: e.epoch, RequestedAt: sim.now})
		sim.updateRosters()
	})
}

// restart restarts an engine's process at once; the announcement reports it to its owner.
func (sim *simulation) restart(e *fakeEngine) {
	sim.releaseClaims(e, e.incarnation)
	e.incarnation++
	e.reset()
	sim.after(300*time.Millisecond, func() {
		if !e.down && sim.scheds[e.owner].Owns(e.name) {
			sim.handle(e.owner, Owned{Server: sim.announcement(e), Epoch: e.epoch, RequestedAt: sim.now})
			sim.updateRosters()
		}
	})
}

// handOver transfers an engine with its pins to the other entry.
func (sim *simulation) handOver(e *fakeEngine) {
	old := e.owner
	sim.handle(old, Released{Server: e.name})
	sim.reachStep("hand-over", e)
	sim.completeHandOver(e, old)
}

// completeHandOver makes the other entry the owner once the old owner has no unload in flight.
func (sim *simulation) completeHandOver(e *fakeEngine, old int) {
	if !sim.scheds[old].HasNoUnloadsInFlight(e.name) && !sim.scheds[old].disabled.handOverWait {
		sim.after(10*time.Millisecond, func() { sim.completeHandOver(e, old) })
		return
	}
	if e.down || e.owner != old {
		return
	}
	e.owner, e.epoch = 1-old, e.epoch+1
	sim.handle(e.owner, Owned{
		Server: sim.announcement(e), Epoch: e.epoch, RequestedAt: sim.now, Residents: e.residents(), Pinned: sim.scheds[old].Pinned(e.name),
	})
	sim.after(50*time.Millisecond, sim.updateRosters)
	sim.unpinLater(e, old)
}

// unpinLater reports to the new owner the adapters that the old one's requests no longer use.
func (sim *simulation) unpinLater(e *fakeEngine, old int) {
	sim.after(30*time.Millisecond, func() {
		pinned := sim.scheds[old].Pinned(e.name)
		for _, t := range e.residents() {
			if !slices.Contains(pinned, t) {
				sim.handle(e.owner, InheritedPinEnded{Server: e.name, Target: t})
			}
		}
		if len(pinned) > 0 {
			sim.unpinLater(e, old)
		}
	})
}

// expireLease disconnects an entry from the control leader; the other one takes over when the lease expires.
func (sim *simulation) expireLease(old int) {
	if sim.leaseLost[0] || sim.leaseLost[1] {
		return
	}
	sim.leaseLost[old] = true
	sim.handle(old, LeaseLost{})
	sim.after(time.Second, func() {
		for _, e := range sim.engines {
			if e.owner != old || e.down {
				continue
			}
			e.owner, e.epoch = 1-old, e.epoch+1
			sim.handle(e.owner, Owned{
				Server: sim.announcement(e), Epoch: e.epoch, RequestedAt: sim.now, Residents: e.residents(), Pinned: e.residents(),
				OrdersFrom: sim.now.Add(500 * time.Millisecond),
			})
			sim.reachStep("takeover", e)
			sim.after(time.Second, func() {
				sim.handle(old, Released{Server: e.name})
				sim.unpinLater(e, old)
			})
		}
		sim.after(50*time.Millisecond, sim.updateRosters)
	})
}

func (sim *simulation) leave(e *fakeEngine) {
	e.leavingSince = sim.now
	sim.reachStep("leave", e)
	sim.after(300*time.Millisecond, func() { sim.deliverAnnouncement(e) })
	sim.after(time.Second, func() { sim.whenReporting(e, sim.updateRosters) })
}

// deliverAnnouncement delivers an engine's announcement to its owner, once announcements arrive again.
func (sim *simulation) deliverAnnouncement(e *fakeEngine) {
	sim.whenReporting(e, func() { sim.handle(e.owner, Owned{Server: sim.announcement(e), Epoch: e.epoch, RequestedAt: sim.now}) })
}

// whenReporting calls a function once an engine's reports arrive again.
func (sim *simulation) whenReporting(e *fakeEngine, f func()) {
	if sim.now.After(e.reportsLostUntil) {
		f()
		return
	}
	sim.after(100*time.Millisecond, func() { sim.whenReporting(e, f) })
}
