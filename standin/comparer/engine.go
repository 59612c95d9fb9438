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
	stepBase          = 18 * time.Millisecond
	stepPerToken      = 600 * time.Microsecond
	prefillToken      = 80 * time.Microsecond
	cacheTokens       = 16 << 10
	restartTime       = 8 * time.Second
	stepJitter        = 0.05
	prefixNum         = 7
	prefixDen         = 10
	tokensPerProgress = 4
)

// engine is a modelled inference engine and its state in the simulation.
type engine struct {
	name        string
	slots       int
	batch       int
	model       *modeler.Engine
	alive       bool
	nextEventAt time.Time
	loadOrders  map[string]loadOrder
	// busySamples is the number of samples in which the engine was busy, fillSum the sum of its batch utilization in them.
	busySamples int
	fillSum     float64
}

// loadOrder is a load order in flight and the entry that sent it.
type loadOrder struct {
	entry int
	load  scheduler.Load
}

func newEngine(i int, t Deployment, store *modeler.Store, seed uint64) *engine {
	cfg := modeler.Config{
		Slots: t.Slots, Batch: t.Batch, BaseStepTime: stepBase, DecodeTime: stepPerToken, PrefillTime: prefillToken,
		CacheTokens: cacheTokens, ColdStartTime: restartTime, Jitter: stepJitter, Store: store,
	}
	return &engine{
		name: "e" + strconv.Itoa(i), slots: t.Slots, batch: t.Batch, alive: true,
		model: modeler.New(cfg, seed*64+uint64(i)), loadOrders: make(map[string]loadOrder),
	}
}

// scheduleEngine schedules the engine's next event.
func (s *simulation) scheduleEngine(e *engine) {
	at, ok := e.model.NextEventAt()
	if !ok || !e.nextEventAt.IsZero() && !at.Before(e.nextEventAt) {
		return
	}
	e.nextEventAt = at
	s.at(at, func() {
		if !e.nextEventAt.Equal(at) {
			return
		}
		e.nextEventAt = time.Time{}
		s.advanceEngine(e)
	})
}

// advanceEngine advances the engine's model to now and dispatches its events.
func (s *simulation) advanceEngine(e *engine) {
	for _, ev := range e.model.Advance(s.now) {
		switch ev.Kind {
		case modeler.Token:
			s.reportToken(s.attemptsByKey[ev.ID], ev.N)
		case modeler.Finished:
			s.reportFinished(s.attemptsByKey[ev.ID], ev.N)
		case modeler.Loaded, modeler.LoadFailed:
			s.handleLoadEnded(e, ev)
		case modeler.Ready:
			s.handleReady(e)
		case modeler.Failed, modeler.Crashed, modeler.Cached, modeler.Evicted:
		}
	}
	s.scheduleEngine(e)
}

func (s *simulation) handleLoadEnded(e *engine, ev modeler.Event) {
	o, ok := e.loadOrders[ev.Model]
	if !ok {
		return
	}
	delete(e.loadOrders, ev.Model)
	succeeded := ev.Kind == modeler.Loaded
	if succeeded {
		s.endStalls(o.load)
	}
	s.after(s.deployment.HopLatency, func() {
		s.dispatch(o.entry, scheduler.LoadEnded{Server: e.name, Target: o.load.Target, Order: o.load.Order, OK: succeeded})
	})
}

func (s *simulation) startLoad(i int, act scheduler.Load) {
	e := s.engines[s.engineIndex[act.Server]]
	if !e.alive {
		return
	}
	if err := e.model.Load(s.now, act.Target.String()); err != nil {
		s.res.Violations++
		s.dispatch(i, scheduler.LoadEnded{Server: act.Server, Target: act.Target, Order: act.Order})
		return
	}
	s.res.Loads++
	e.loadOrders[act.Target.String()] = loadOrder{entry: i, load: act}
	s.scheduleEngine(e)
}

func (s *simulation) unload(i int, act scheduler.Unload) {
	e := s.engines[s.engineIndex[act.Server]]
	err := e.model.Unload(s.now, act.Target.String())
	s.evictedAt[act.Target.String()] = s.now
	s.dispatch(i, scheduler.UnloadEnded{Server: act.Server, Target: act.Target, Order: act.Order, OK: err == nil})
	s.scheduleEngine(e)
}

// crash makes an engine lose all its state and restart cold.
func (s *simulation) crash(i int) {
	e := s.engines[i]
	if !e.alive {
		return
	}
	e.alive = false
	e.model.Restart(s.now)
	e.loadOrders = make(map[string]loadOrder)
	s.after(crashDetectDelay, func() { s.dispatch(s.owner[e.name], scheduler.ServerEnded{Server: e.name, Crashed: true}) })
	s.after(rosterDelay, s.publishRoster)
	s.scheduleEngine(e)
}

func (s *simulation) handleReady(e *engine) {
	e.alive = true
	s.assignOwner(e)
	s.publishRoster()
}

// sampleBatches samples the batch utilization of each busy engine.
func (s *simulation) sampleBatches() {
	for _, e := range s.engines {
		if n := e.model.RunningRequests(); n > 0 {
			e.busySamples++
			e.fillSum += float64(n) / float64(e.batch)
		}
	}
}

// isLoaded reports whether the adapter is resident in the engine.
func (e *engine) isLoaded(t configurer.Target) bool { return e.model.IsResident(t.String()) }

// isNotResident reports whether an engine rejected a request because its adapter isn't resident.
func isNotResident(err error) bool {
	return err != nil && strings.Contains(err.Error(), "not resident")
}
