package modeler

import (
	"slices"
	"time"
)

// NextEventAt returns the time of the next event or state change; false means none.
func (e *Engine) NextEventAt() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	return e.nextChange()
}

func (e *Engine) nextChange() (time.Time, bool) {
	next := e.stepEnd
	if !e.coldUntil.IsZero() && (next.IsZero() || e.coldUntil.Before(next)) {
		next = e.coldUntil
	}
	for _, l := range e.loads {
		if next.IsZero() || l.end.Before(next) {
			next = l.end
		}
	}
	return next, !next.IsZero()
}

// Advance simulates the engine up to now and returns the events in time order.
func (e *Engine) Advance(now time.Time) []Event {
	for {
		at, ok := e.nextChange()
		if !ok || at.After(now) {
			break
		}
		e.applyChange(at)
	}
	events := e.events
	e.events = nil
	return events
}

// applyChange applies the one state change that is due at the time.
func (e *Engine) applyChange(at time.Time) {
	if e.coldUntil.Equal(at) {
		e.coldUntil = time.Time{}
		e.emit(Event{At: at, Kind: Ready})
		return
	}
	for i, l := range e.loads {
		if l.end.Equal(at) {
			e.loads = slices.Delete(e.loads, i, i+1)
			e.endLoad(at, l.model)
			return
		}
	}
	e.endStep(at)
}

func (e *Engine) endLoad(at time.Time, model string) {
	if e.IsResident(model) {
		e.emit(Event{At: at, Kind: Loaded, Model: model})
		return
	}
	e.pendingStall += e.cfg.LoadStall
	if e.consumeLoadFailure(model) || e.consumeLoadFailure("") || e.cfg.LoadFailureProb > 0 && e.rng.Float64() < e.cfg.LoadFailureProb {
		e.emit(Event{At: at, Kind: LoadFailed, Model: model})
		return
	}
	e.residents[model] = true
	e.emit(Event{At: at, Kind: Loaded, Model: model})
}

func (e *Engine) consumeLoadFailure(model string) bool {
	if e.loadFailures[model] == 0 {
		return false
	}
	e.loadFailures[model]--
	return true
}

// beginStep admits waiting requests to the batch and starts the next step, if there is work.
func (e *Engine) beginStep(at time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Batch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.prefillLeft = max(j.prefillLeft-e.cachedTokens(j.req), 1)
	}
	if len(e.running) == 0 {
		e.stepEnd = time.Time{}
		return
	}
	decoded, prefilled := e.planPrefill()
	d := e.cfg.BaseStepTime + e.cfg.DecodeTime*time.Duration(decoded) + e.cfg.PrefillTime*time.Duration(prefilled)
	scale := (1 + e.cfg.Jitter*e.rng.Float64()) / e.speed
	d = time.Duration(float64(d)*scale) + e.pendingStall
	e.pendingStall = 0
	e.stepEnd = at.Add(max(d, 1))
}

// planPrefill divides the step's prefill tokens among the batch by priority and counts decoded and prefilled tokens.
func (e *Engine) planPrefill() (decoded, prefilled int) {
	budget := e.cfg.MaxPrefillTokens
	slices.SortStableFunc(e.running, func(a, b *job) int { return a.req.Priority - b.req.Priority })
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			decoded++
			continue
		}
		j.stepPrefill = min(j.prefillLeft, budget)
		budget -= j.stepPrefill
		prefilled += j.stepPrefill
	}
	return decoded, prefilled
}

func (e *Engine) endStep(at time.Time) {
	for _, j := range e.running {
		if e.shouldCrash != nil && j.generated == 0 && e.shouldCrash(j.req) {
			e.Restart(at)
			e.emit(Event{At: at, Kind: Crashed, ID: j.req.ID})
			return
		}
	}
	e.resumable = slices.DeleteFunc(e.resumable, func(f finishedStream) bool { return !at.Before(f.until) })
	for _, j := range slices.Clone(e.running) {
		if j.prefillLeft > 0 {
			j.prefillLeft -= j.stepPrefill
			j.stepPrefill = 0
			if j.prefillLeft > 0 {
				continue
			}
			e.cachePrefix(at, j.req)
		}
		e.generate(at, j)
	}
	e.beginStep(at)
}

// generate adds one token to a request.
func (e *Engine) generate(at time.Time, j *job) {
	j.generated++
	e.emit(Event{At: at, Kind: Token, ID: j.req.ID, Model: j.req.Model, N: j.generated})
	if j.generated < j.req.OutputTokens {
		return
	}
	e.remove(j)
	e.resumable = append(e.resumable, finishedStream{id: j.req.ID, tokens: j.generated, until: at.Add(e.cfg.ResumeWindow)})
	e.emit(Event{At: at, Kind: Finished, ID: j.req.ID, Model: j.req.Model, N: j.generated})
}

func (e *Engine) cachedTokens(r Request) int {
	if r.Prefix == 0 {
		return 0
	}
	return min(e.cache.lookup(prefixKey{model: r.Model, prefix: r.Prefix}), r.PrefixTokens)
}

// cachePrefix caches the prefix of a prefilled request.
func (e *Engine) cachePrefix(at time.Time, r Request) {
	if r.Prefix == 0 {
		return
	}
	evicted, ok := e.cache.add(prefixKey{model: r.Model, prefix: r.Prefix}, r.PrefixTokens)
	if ok {
		e.emit(Event{At: at, Kind: Cached, Model: r.Model, Prefix: r.Prefix})
	}
	for _, key := range evicted {
		e.emit(Event{At: at, Kind: Evicted, Model: key.model, Prefix: key.prefix})
	}
}
