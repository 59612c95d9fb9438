package comparer

import (
	"strconv"
	"strings"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/standin/modeler"
)

// Parameters of the modelled engines; prefixNum/prefixDen is the share of a prompt in its prefix.
const (
	stepBase       = 18 * time.Millisecond
	stepPerToken   = 600 * time.Microsecond
	prefillToken   = 80 * time.Microsecond
	cacheTokens    = 16 << 10
	restartTime    = 8 * time.Second
	stepJitter     = 0.05
	prefixNum      = 7
	prefixDen      = 10
	progressTokens = 4
)

// engine is a modelled inference engine and its state in the simulation.
type engine struct {
	name   string
	slots  int
	batch  int
	model  *modeler.Engine
	alive  bool
	wakeAt time.Time
	orders map[string]order
	// busy is the number of samples in which the engine was busy, filled the sum of its batch utilization in them.
	busy   int
	filled float64
}

// order is a load order in flight and the entry that sent it.
type order struct {
	entry int
	load  scheduler.Load
}

func newEngine(i int, t Team, store *modeler.Store, seed uint64) *engine {
	cfg := modeler.Config{
		Slots: t.Slots, Batch: t.Batch, Step: stepBase, Token: stepPerToken, Prefill: prefillToken,
		Cache: cacheTokens, ColdStart: restartTime, Jitter: stepJitter, Store: store,
	}
	return &engine{
		name: "e" + strconv.Itoa(i), slots: t.Slots, batch: t.Batch, alive: true,
		model: modeler.New(cfg, seed*64+uint64(i)), orders: make(map[string]order),
	}
}

// wake schedules the engine's next event.
func (w *world) wake(e *engine) {
	at, ok := e.model.Next()
	if !ok || !e.wakeAt.IsZero() && !at.Before(e.wakeAt) {
		return
	}
	e.wakeAt = at
	w.at(at, func() {
		if !e.wakeAt.Equal(at) {
			return
		}
		e.wakeAt = time.Time{}
		w.poll(e)
	})
}

// poll advances the engine's model to now and dispatches its events.
func (w *world) poll(e *engine) {
	for _, ev := range e.model.Advance(w.now) {
		switch ev.Kind {
		case modeler.Token:
			w.token(w.byKey[ev.ID], ev.N)
		case modeler.Finished:
			w.finished(w.byKey[ev.ID], ev.N)
		case modeler.Loaded, modeler.LoadFailed:
			w.loaded(e, ev)
		case modeler.Ready:
			w.ready(e)
		case modeler.Failed, modeler.Crashed, modeler.Cached, modeler.Dropped:
		}
	}
	w.wake(e)
}

func (w *world) loaded(e *engine, ev modeler.Event) {
	o, ok := e.orders[ev.Model]
	if !ok {
		return
	}
	delete(e.orders, ev.Model)
	good := ev.Kind == modeler.Loaded
	if good {
		w.unstall(o.load)
	}
	w.after(w.team.Hop, func() {
		w.handle(o.entry, scheduler.LoadEnded{Server: e.name, Target: o.load.Target, Order: o.load.Order, OK: good})
	})
}

func (w *world) startLoad(i int, act scheduler.Load) {
	e := w.engines[w.byName[act.Server]]
	if !e.alive {
		return
	}
	if err := e.model.Load(w.now, act.Target.String()); err != nil {
		w.res.Violations++
		w.handle(i, scheduler.LoadEnded{Server: act.Server, Target: act.Target, Order: act.Order})
		return
	}
	w.res.Loads++
	e.orders[act.Target.String()] = order{entry: i, load: act}
	w.wake(e)
}

func (w *world) unload(i int, act scheduler.Unload) {
	e := w.engines[w.byName[act.Server]]
	err := e.model.Unload(w.now, act.Target.String())
	w.evicted[act.Target.String()] = w.now
	w.handle(i, scheduler.UnloadEnded{Server: act.Server, Target: act.Target, Order: act.Order, OK: err == nil})
	w.wake(e)
}

// crash makes an engine lose all its state and restart cold.
func (w *world) crash(i int) {
	e := w.engines[i]
	if !e.alive {
		return
	}
	e.alive = false
	e.model.Restart(w.now)
	e.orders = make(map[string]order)
	w.after(crashNoticed, func() { w.handle(w.owner[e.name], scheduler.Gone{Server: e.name, Crashed: true}) })
	w.after(rosterDelay, w.spread)
	w.wake(e)
}

func (w *world) ready(e *engine) {
	e.alive = true
	w.own(e)
	w.spread()
}

// sample samples the batch utilization of each busy engine.
func (w *world) sample() {
	for _, e := range w.engines {
		if n := e.model.Running(); n > 0 {
			e.busy++
			e.filled += float64(n) / float64(e.batch)
		}
	}
}

// holds reports whether the adapter is resident in the engine.
func (e *engine) holds(t configurer.Target) bool { return e.model.IsResident(t.String()) }

// refusedForAdapter reports whether an engine rejected a request because its adapter isn't resident.
func refusedForAdapter(err error) bool {
	return err != nil && strings.Contains(err.Error(), "not resident")
}
