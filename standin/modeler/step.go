package modeler

import (
	"slices"
	"time"
)

// Next returns the time of the next event or state change; false means none.
func (e *Engine) Next() (time.Time, bool) {
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
		e.act(at)
	}
	events := e.events
	e.events = nil
	return events
}

// act applies the one state change that is due at the time.
func (e *Engine) act(at time.Time) {
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
	e.stall += e.cfg.Stall
	if e.takeFailure(model) || e.takeFailure("") || e.cfg.FailLoads > 0 && e.rng.Float64() < e.cfg.FailLoads {
		e.emit(Event{At: at, Kind: LoadFailed, Model: model})
		return
	}
	e.residents[model] = true
	e.emit(Event{At: at, Kind: Loaded, Model: model})
}

func (e *Engine) takeFailure(model string) bool {
	if e.failNext[model] == 0 {
		return false
	}
	e.failNext[model]--
	return true
}

// beginStep admits waiting requests to the batch and starts the next step, if there is work.
func (e *Engine) beginStep(at time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Batch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.prefill = max(j.prefill-e.cached(j.req), 1)
	}
	if len(e.running) == 0 {
		e.stepEnd = time.Time{}
		return
	}
	decoded, prefilled := e.plan()
	d := e.cfg.Step + e.cfg.Token*time.Duration(decoded) + e.cfg.Prefill*time.Duration(prefilled)
	scale := (1 + e.cfg.Jitter*e.rng.Float64()) / e.speed
	d = time.Duration(float64(d)*scale) + e.stall
	e.stall = 0
	e.stepEnd = at.Add(max(d, 1))
}

// plan divides the step's prefill tokens among the batch by priority and counts decoded and prefilled tokens.
func (e *Engine) plan() (decoded, prefilled int) {
	budget := e.cfg.Chunk
	slices.SortStableFunc(e.running, func(a, b *job) int { return a.req.Priority - b.req.Priority })
	for _, j := range e.running {
		if j.prefill == 0 {
			decoded++
			continue
		}
		j.chunk = min(j.prefill, budget)
		budget -= j.chunk
		prefilled += j.chunk
	}
	return decoded, prefilled
}

func (e *Engine) endStep(at time.Time) {
	for _, j := range e.running {
		if e.crash != nil && j.tokens == 0 && e.crash(j.req) {
			e.Restart(at)
			e.emit(Event{At: at, Kind: Crashed, ID: j.req.ID})
			return
		}
	}
	e.done = slices.DeleteFunc(e.done, func(f finished) bool { return !at.Before(f.until) })
	for _, j := range slices.Clone(e.running) {
		if j.prefill > 0 {
			j.prefill -= j.chunk
			j.chunk = 0
			if j.prefill > 0 {
				continue
			}
			e.remember(at, j.req)
		}
		e.generate(at, j)
	}
	e.beginStep(at)
}

// generate adds one token to a request.
func (e *Engine) generate(at time.Time, j *job) {
	j.tokens++
	e.emit(Event{At: at, Kind: Token, ID: j.req.ID, Model: j.req.Model, N: j.tokens})
	if j.tokens < j.req.Output {
		return
	}
	e.remove(j)
	e.done = append(e.done, finished{id: j.req.ID, tokens: j.tokens, until: at.Add(e.cfg.Keep)})
	e.emit(Event{At: at, Kind: Finished, ID: j.req.ID, Model: j.req.Model, N: j.tokens})
}

func (e *Engine) cached(r Request) int {
	if r.Prefix == 0 {
		return 0
	}
	return min(e.cache.lookup(prefixKey{model: r.Model, prefix: r.Prefix}), r.Shared)
}

// remember caches the prefix of a prefilled request.
func (e *Engine) remember(at time.Time, r Request) {
	if r.Prefix == 0 {
		return
	}
	dropped, ok := e.cache.add(prefixKey{model: r.Model, prefix: r.Prefix}, r.Shared)
	if ok {
		e.emit(Event{At: at, Kind: Cached, Model: r.Model, Prefix: r.Prefix})
	}
	for _, key := range dropped {
		e.emit(Event{At: at, Kind: Dropped, Model: key.model, Prefix: key.prefix})
	}
}
