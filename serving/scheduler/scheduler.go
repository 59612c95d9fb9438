package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwingstage.org/coord/detector"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/placer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/retrier"
)

// Scheduler schedules the backend servers that one entry owns; it isn't safe for concurrent use.
type Scheduler struct {
	cfg        Config
	rng        *rand.Rand
	servers    map[string]*server
	jobs       map[retrier.Attempt]*job
	ended      endedRing
	quarantine *quarantiner.Registry
	copies     copies
	classes    map[string]*classStats
	stragglers *detector.Detector
	seq        uint64
	actions    []Action
	disabled   disabledMechanisms
}

// disabledMechanisms switches mechanisms off, so that tests can show that the checker detects it.
type disabledMechanisms struct {
	pins, residency, leaving, reportAge, lease, orderNumbers, suspectIsolation, incarnations, inheritedPins, handOverWait, claims bool
}

// classStats holds a class's averages per job.
type classStats struct {
	tokens  float64
	seconds float64
	n       int
}

// New returns a scheduler that owns no server yet.
func New(cfg Config, seed uint64) *Scheduler {
	return &Scheduler{
		cfg:        cfg.withDefaults(),
		rng:        rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers:    make(map[string]*server),
		jobs:       make(map[retrier.Attempt]*job),
		ended:      newEndedRing(),
		quarantine: quarantiner.New(quarantiner.Config{}),
		copies:     newCopies(),
		classes:    make(map[string]*classStats),
		stragglers: detector.New(detector.Config{}),
	}
}

// Handle applies an event and returns the actions to take, in order; the slice is valid until the next call.
func (s *Scheduler) Handle(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	switch ev := ev.(type) {
	case Owned:
		s.addOrUpdateServer(now, ev)
	case Released:
		s.releaseServer(now, ev.Server)
	case LeaseLost:
		s.leaseLost(now)
	case ServerEnded:
		s.serverEnded(now, ev.Server, ev.Crashed, ev.NotWritten)
	case Arrived:
		s.addJob(now, ev.Job)
	case Cancelled:
		s.cancelAttempt(now, ev.Attempt)
	case Progress:
		s.recordProgress(now, ev)
	case Ended:
		s.attemptEnded(now, ev)
	case StandingChanged:
		s.standingChanged(now, ev)
	case Tick:
		s.tick(now)
	default:
		s.handleServerEvent(now, ev)
	}
	return s.actions
}

// handleServerEvent handles the events on adapters of one server; those of an unknown server only return their permit.
func (s *Scheduler) handleServerEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case InheritedPinEnded:
		s.updateServer(now, ev.Server, func(sv *server) { sv.slots.UnpinInherited(ev.Target) })
	case Granted:
		if sv := s.servers[ev.Server]; sv == nil || !s.storePermit(now, sv, ev) {
			s.emit(ReturnPermit{Permit: ev.Permit})
		}
		s.updateServer(now, ev.Server, func(*server) {})
	case Denied:
		s.updateServer(now, ev.Server, func(sv *server) { s.delayPermitRetry(now, sv, ev.Target) })
	case LoadEnded:
		s.updateServer(now, ev.Server, func(sv *server) { s.loadEnded(now, sv, ev) })
	case UnloadEnded:
		s.updateServer(now, ev.Server, func(sv *server) {
			sv.slots.EndUnload(now, ev.Target, ev.Order, ev.OK)
			s.dropIfIdle(ev.Server, sv)
		})
	case Reported:
		s.updateServer(now, ev.Server, func(sv *server) {
			sv.recordReport(ev.RequestedAt)
			sv.slots.AddReported(now, ev.Residents)
		})
	}
}

// updateServer calls f for a known server and sends the jobs that became ready.
func (s *Scheduler) updateServer(now time.Time, name string, f func(*server)) {
	if sv := s.servers[name]; sv != nil {
		f(sv)
		s.dispatch(now, sv)
	}
}

// tick checks timeouts.
func (s *Scheduler) tick(now time.Time) {
	for _, name := range s.serverNames() {
		sv := s.servers[name]
		s.checkInFlight(now, sv)
		s.checkLoads(now, sv)
		s.checkQueued(now, sv)
		s.dispatch(now, sv)
	}
	s.quarantine.Expire(now)
}

func (s *Scheduler) standingChanged(now time.Time, ev StandingChanged) {
	if ev.Standing == quarantiner.Clear {
		s.quarantine.Clear(ev.Digest)
	} else {
		s.copies.clearSafe(ev.Digest)
	}
	for _, name := range s.serverNames() {
		sv := s.servers[name]
		sv.queue.Each(func(it queuedJob) {
			if it.Value.Digest == ev.Digest {
				it.Value.Standing = ev.Standing
			}
		})
		if ev.Standing != quarantiner.Clear {
			s.cancelSuspect(now, sv, ev.Digest)
		}
		s.checkQueued(now, sv)
		s.dispatch(now, sv)
	}
}

// cancelSuspect cancels a new suspect's idempotent attempts that gave no token yet, so that they are retried in isolation; a started
// answer isn't cut, since the claims bound the servers at which it can run.
func (s *Scheduler) cancelSuspect(now time.Time, sv *server, d quarantiner.Digest) {
	for _, a := range sortedAttempts(sv.inFlight) {
		j := sv.inFlight[a]
		if j.Digest != d || j.isolated || j.failed || j.cancelled || !j.Idempotent || !j.firstTokenAt.IsZero() {
			continue
		}
		j.failed = true
		s.emit(Fail{Attempt: a, BecameSuspect: true})
		s.cancel(now, j)
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) serverNames() []string {
	names := make([]string, 0, len(s.servers))
	for name := range s.servers {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// jitter returns a time between d/2 and 3d/2.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)+1))
}

func (s *Scheduler) class(name string) *classStats {
	c := s.classes[name]
	if c == nil {
		c = &classStats{}
		s.classes[name] = c
	}
	return c
}

// Stats counts a scheduler's servers, jobs and adapters.
type Stats struct {
	Servers        int
	UrgentQueued   int
	WaitingQueued  int
	InFlight       int
	Batch          int
	Resident       int
	Loading        int
	Pins           int
	PermitsPending int
	Stragglers     int
}

// Stats returns the counts over all owned servers.
func (s *Scheduler) Stats(now time.Time) Stats {
	var st Stats
	for name := range s.servers {
		one := s.ServerStats(now, name)
		st.Servers++
		st.UrgentQueued += one.UrgentQueued
		st.WaitingQueued += one.WaitingQueued
		st.InFlight += one.InFlight
		st.Batch += one.Batch
		st.Resident += one.Resident
		st.Loading += one.Loading
		st.Pins += one.Pins
		st.PermitsPending += one.PermitsPending
		st.Stragglers += one.Stragglers
	}
	return st
}

// ServerStats returns the counts of one server.
func (s *Scheduler) ServerStats(now time.Time, name string) Stats {
	sv := s.servers[name]
	if sv == nil {
		return Stats{}
	}
	st := Stats{
		Servers: 1, InFlight: len(sv.inFlight), Batch: sv.batchSize(),
		Resident: sv.residents(), Loading: len(sv.loadingPermits), Pins: sv.slots.Pins(),
	}
	st.UrgentQueued, st.WaitingQueued = sv.queue.LaneLengths()
	for _, pl := range sv.pendingLoads {
		if pl.permitRequested {
			st.PermitsPending++
		}
	}
	if s.stragglers.IsStraggler(now, name) {
		st.Stragglers = 1
	}
	return st
}

// Load returns a server's sent and urgent queued jobs as a share of its batch, for the feedback to routers.
func (s *Scheduler) Load(server string) float64 {
	sv := s.servers[server]
	if sv == nil {
		return 0
	}
	urgent, _ := sv.queue.LaneLengths()
	return float64(len(sv.inFlight)+urgent) / float64(sv.batchSize())
}

// IsSlow reports whether a server is a straggler by this entry's own observations.
func (s *Scheduler) IsSlow(now time.Time, server string) bool {
	return s.stragglers.IsStraggler(now, server)
}

// Pinned returns the adapters of a server that attempts or inherited pins use.
func (s *Scheduler) Pinned(server string) []configurer.Target {
	if sv := s.servers[server]; sv != nil {
		return sv.slots.Pinned()
	}
	return nil
}

// HasNoUnloadsInFlight reports whether no unload order is in flight at a server, so that another entry may own it.
func (s *Scheduler) HasNoUnloadsInFlight(server string) bool {
	sv := s.servers[server]
	return sv == nil || sv.slots.Count(placer.Unloading) == 0
}

// InFlight returns the number of attempts sent to a server that haven't ended.
func (s *Scheduler) InFlight(server string) int {
	if sv := s.servers[server]; sv != nil {
		return len(sv.inFlight)
	}
	return 0
}

// Owns reports whether new work for a server is accepted.
func (s *Scheduler) Owns(server string) bool {
	sv := s.servers[server]
	return sv != nil && sv.acceptsJobs
}
