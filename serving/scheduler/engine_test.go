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

// hop is the latency between processes; orderTime the time that an engine takes for an unload or a cancel.
const (
	hop       = time.Millisecond
	orderTime = 2 * time.Millisecond
)

func (w *world) handle(i int, ev Event) {
	if ev, ok := ev.(Ended); ok {
		w.free(ev.Attempt)
	}
	if ev, ok := ev.(Ended); ok && ev.OK {
		if s := w.scheds[i]; s.jobs[ev.Attempt] != nil && !s.jobs[ev.Attempt].failed {
			defer w.end(ev.Attempt, "", true, router.Served)
		}
	} else if ok {
		if s := w.scheds[i]; s.jobs[ev.Attempt] != nil && !s.jobs[ev.Attempt].failed {
			defer w.end(ev.Attempt, "", false, router.LoadFailed)
		}
	}
	for _, act := range slices.Clone(w.scheds[i].Handle(w.now, ev)) {
		w.perform(i, act)
	}
}

func (w *world) engine(name string) *fakeEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.name == name })]
}

// step runs the fault that is set for a step.
func (w *world) step(name string, e *fakeEngine) {
	if f := w.onStep[name]; f != nil {
		f(e)
	}
}

// whenAwake runs f at an engine after d, or when its pause ends; never if the process has ended by then.
func (w *world) whenAwake(e *fakeEngine, d time.Duration, f func()) {
	inc := e.inc
	w.after(d, func() {
		if e.down || e.inc != inc {
			return
		}
		if wait := e.frozen.Sub(w.now); wait > 0 {
			w.whenAwake(e, wait, f)
			return
		}
		f()
	})
}

func (w *world) perform(i int, act Action) {
	switch act := act.(type) {
	case Send:
		inc := w.scheds[i].servers[act.Job.Server].reg.Incarnation
		w.after(2*hop, func() { w.claim(i, sent{Send: act, inc: inc}) })
	case Refuse:
		if w.written[act.Attempt] {
			w.violate("attempt %v was refused after it was sent", act.Attempt)
		}
		fb := map[Reason]router.Result{ReasonLoad: router.LoadFailed, ReasonLeaving: router.Unreachable, ReasonNotOwner: router.Unreachable, ReasonSlots: router.Passed}
		w.end(act.Attempt, act.Reason, false, fb[act.Reason])
	case Fail:
		if act.Crashed {
			w.after(3*hop, func() { w.free(act.Attempt) })
		}
		if w.whole {
			w.violate("rule 7: attempt %v failed after it was sent", act.Attempt)
		}
		w.end(act.Attempt, "", false, router.Unreachable)
	case AskPermit:
		w.askPermit(i, act)
	case ReturnPermit:
		delete(w.permits, act.Permit.ID)
	case Load:
		w.load(i, act)
	case Unload:
		w.unload(i, act)
	case Cancel:
		e := w.engine(act.Server)
		w.whenAwake(e, hop+orderTime, func() {
			delete(e.running, act.Attempt)
			w.deliver(i, hop, Ended{Attempt: act.Attempt})
		})
	case Accuse:
		w.accuse(act)
	}
}

// claim takes the attempt's claim at its home entry; if a copy runs, the attempt is retried elsewhere or later.
func (w *world) claim(i int, act sent) {
	s, a := w.scheds[i], act.Job.Attempt
	if j := s.jobs[a]; j == nil || j.failed || j.cancelled {
		if j != nil {
			w.deliver(i, hop, Ended{Attempt: a})
		}
		return
	}
	mode, place := quarantiner.Shared, quarantiner.Place{Server: act.Job.Server, Incarnation: act.inc}
	if act.Job.Standing == quarantiner.Suspect {
		mode = quarantiner.Alone
	}
	meet, ok := "", s.off.claims || act.Proven
	if !ok {
		meet, ok = w.claims.Take(act.Job.Digest, place, mode)
		if ok {
			w.claimed[a] = place
		}
	}
	c := w.open[a]
	if ok && c != nil && w.reg.Standing(w.now, act.Job.Digest) == act.Job.Standing || s.off.suspects {
		w.written[a] = true
		w.after(hop, func() { w.submit(i, act) })
		return
	}
	w.free(a)
	if c != nil {
		c.meet = meet
		w.end(a, "elsewhere", false, router.Passed)
	}
	for _, next := range slices.Clone(s.Handle(w.now, Ended{Attempt: a})) {
		w.perform(i, next)
	}
}

// free releases an attempt's claim.
func (w *world) free(a retrier.Attempt) {
	if p, ok := w.claimed[a]; ok {
		delete(w.claimed, a)
		var n, id uint64
		_, _ = fmt.Sscanf(a.String(), "n.%x.%x", &n, &id)
		w.claims.Free(w.calls[n].digest, p)
	}
}

// freeAll releases the claims on an ended process, once its end is known.
func (w *world) freeAll(e *fakeEngine, inc int) {
	w.after(time.Second, func() {
		for a, p := range w.claimed {
			if p.Server == e.name && p.Incarnation == fmt.Sprint(inc) {
				w.free(a)
			}
		}
	})
}

func (w *world) accuse(act Accuse) {
	var digests []quarantiner.Digest
	for _, a := range act.Attempts {
		var n, id uint64
		_, _ = fmt.Sscanf(a.String(), "n.%x.%x", &n, &id)
		digests = append(digests, w.calls[n].digest)
	}
	w.reg.Accuse(w.now, fmt.Sprint(act.Server, w.now.UnixNano()), digests)
	for i := range w.scheds {
		for _, d := range digests {
			w.after(2*hop, func() { w.handle(i, Judged{Digest: d, Standing: w.reg.Standing(w.now, d)}) })
		}
	}
}

func (w *world) askPermit(i int, act AskPermit) {
	if w.losePermits > 0 {
		w.losePermits--
		return
	}
	if w.denyPermits > 0 {
		w.denyPermits--
		w.deliver(i, 2*hop, Denied{Server: act.Server, Target: act.Target})
		return
	}
	w.ids++
	p := registrar.Permit{ID: w.ids}
	w.permits[p.ID] = true
	w.deliver(i, 2*hop, Granted{Server: act.Server, Target: act.Target, Permit: p})
}

// sent is a Send and the incarnation that its entry knew of.
type sent struct {
	Send
	inc string
}

// submit runs an attempt at an engine, which checks the adapter only if the owner couldn't know of a restart.
func (w *world) submit(i int, act sent) {
	e, a, t := w.engine(act.Job.Server), act.Job.Attempt, act.Job.Target
	w.whenAwake(e, 0, func() {
		if act.inc != fmt.Sprint(e.inc) {
			w.deliver(i, hop, Ended{Attempt: a, Missing: true})
			return
		}
		if t.Adapter != "" && !e.resident[t] {
			w.violate("rule 1: %s runs %v on %v, which isn't resident", e.name, a, t)
		}
		if !e.leaving.IsZero() && w.now.Sub(e.leaving) > 3*time.Second {
			w.violate("rule 6: %s received %v more than 3 s after it began to leave", e.name, a)
		}
		e.running[a] = t
		w.step("request", e)
		c := w.open[a]
		if c != nil && c.poison {
			w.whenAwake(e, 20*time.Millisecond, func() {
				if _, ok := e.running[a]; ok {
					w.crashes[c.digest]++
					w.kill(e)
				}
			})
			return
		}
		w.progress(i, e, a, 0)
	})
}

// progress reports tokens until the attempt ends.
func (w *world) progress(i int, e *fakeEngine, a retrier.Attempt, n int) {
	const parts = 5
	w.whenAwake(e, w.runTime/parts, func() {
		if _, ok := e.running[a]; !ok {
			return
		}
		if n+1 < parts {
			w.handle(i, Progress{Attempt: a, Tokens: n + 1})
			w.progress(i, e, a, n+1)
			return
		}
		delete(e.running, a)
		w.deliver(i, hop, Ended{Attempt: a, OK: true, Tokens: parts})
	})
}

func (w *world) load(i int, act Load) {
	e := w.engine(act.Server)
	w.whenAwake(e, hop, func() {
		w.step("load", e)
		took := w.loadTime
		if w.slowLoads > 0 {
			w.slowLoads--
			took = 3 * time.Second
		}
		fails := w.failLoads > 0 || len(e.resident) >= 2 && !e.resident[act.Target]
		w.failLoads = max(w.failLoads-1, 0)
		w.whenAwake(e, took, func() {
			if !fails && len(e.resident) < 2 {
				e.resident[act.Target] = true
			}
			w.deliver(i, hop, LoadEnded{Server: act.Server, Target: act.Target, Order: act.Order, OK: e.resident[act.Target]})
		})
	})
}

func (w *world) unload(i int, act Unload) {
	e := w.engine(act.Server)
	w.step("eviction", e)
	w.whenAwake(e, hop+orderTime, func() {
		for a, t := range e.running {
			if t == act.Target {
				w.violate("rule 2: %s unloads %v while %v uses it", e.name, t, a)
			}
		}
		if act.Epoch < e.epoch {
			w.violate("rule 2: entry %d sent %s an unload with epoch %d after epoch %d", i, e.name, act.Epoch, e.epoch)
		}
		delete(e.resident, act.Target)
		w.deliver(i, hop, UnloadEnded{Server: act.Server, Target: act.Target, Order: act.Order, OK: true})
	})
}

// kill ends an engine's process, which restarts without adapters after 2 s.
func (w *world) kill(e *fakeEngine) {
	if e.down {
		return
	}
	e.down = true
	w.freeAll(e, e.inc)
	e.inc++
	e.clear()
	for i := range w.scheds {
		// A previous owner's connections break too.
		w.deliver(i, 5*hop, Gone{Server: e.name, Crashed: true})
	}
	w.after(500*time.Millisecond, w.spread)
	w.after(2*time.Second, func() {
		e.down, e.frozen = false, time.Time{}
		w.handle(e.owner, Owned{Server: w.announce(e), Epoch: e.epoch, Asked: w.now})
		w.spread()
	})
}

// restart restarts an engine's process at once; its owner learns of it from the announcement.
func (w *world) restart(e *fakeEngine) {
	w.freeAll(e, e.inc)
	e.inc++
	e.clear()
	w.after(300*time.Millisecond, func() {
		if !e.down && w.scheds[e.owner].Owns(e.name) {
			w.handle(e.owner, Owned{Server: w.announce(e), Epoch: e.epoch, Asked: w.now})
			w.spread()
		}
	})
}

// handOver transfers an engine with its pins to the other entry.
func (w *world) handOver(e *fakeEngine) {
	old := e.owner
	w.handle(old, Released{Server: e.name})
	w.step("hand-over", e)
	w.passOver(e, old)
}

// passOver makes the other entry the owner once the old owner has no unload in flight.
func (w *world) passOver(e *fakeEngine, old int) {
	if !w.scheds[old].IsSettled(e.name) && !w.scheds[old].off.settle {
		w.after(10*time.Millisecond, func() { w.passOver(e, old) })
		return
	}
	if e.down || e.owner != old {
		return
	}
	e.owner, e.epoch = 1-old, e.epoch+1
	w.handle(e.owner, Owned{
		Server: w.announce(e), Epoch: e.epoch, Asked: w.now, Residents: e.residents(), Pinned: w.scheds[old].Pinned(e.name),
	})
	w.after(50*time.Millisecond, w.spread)
	w.unpinLater(e, old)
}

// unpinLater tells the new owner which adapters the old one's requests no longer use.
func (w *world) unpinLater(e *fakeEngine, old int) {
	w.after(30*time.Millisecond, func() {
		pinned := w.scheds[old].Pinned(e.name)
		for _, t := range e.residents() {
			if !slices.Contains(pinned, t) {
				w.handle(e.owner, Unpinned{Server: e.name, Target: t})
			}
		}
		if len(pinned) > 0 {
			w.unpinLater(e, old)
		}
	})
}

// loseLease disconnects an entry from the control leader; the other one takes over when the lease expires.
func (w *world) loseLease(old int) {
	if w.leaseLost[0] || w.leaseLost[1] {
		return
	}
	w.leaseLost[old] = true
	w.handle(old, LeaseLost{})
	w.after(time.Second, func() {
		for _, e := range w.engines {
			if e.owner != old || e.down {
				continue
			}
			e.owner, e.epoch = 1-old, e.epoch+1
			w.handle(e.owner, Owned{
				Server: w.announce(e), Epoch: e.epoch, Asked: w.now, Residents: e.residents(), Pinned: e.residents(),
				OrderAt: w.now.Add(500 * time.Millisecond),
			})
			w.step("takeover", e)
			w.after(time.Second, func() {
				w.handle(old, Released{Server: e.name})
				w.unpinLater(e, old)
			})
		}
		w.after(50*time.Millisecond, w.spread)
	})
}

func (w *world) leave(e *fakeEngine) {
	e.leaving = w.now
	w.step("leave", e)
	w.after(300*time.Millisecond, func() { w.hear(e) })
	w.after(time.Second, func() { w.unmuted(e, w.spread) })
}

// hear delivers an engine's announcement to its owner, once announcements arrive again.
func (w *world) hear(e *fakeEngine) {
	w.unmuted(e, func() { w.handle(e.owner, Owned{Server: w.announce(e), Epoch: e.epoch, Asked: w.now}) })
}

// unmuted calls a function once an engine's reports arrive again.
func (w *world) unmuted(e *fakeEngine, do func()) {
	if w.now.After(e.mute) {
		do()
		return
	}
	w.after(100*time.Millisecond, func() { w.unmuted(e, do) })
}
