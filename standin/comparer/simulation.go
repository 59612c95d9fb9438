package comparer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/standin/modeler"
)

// attempt is one attempt of a request at one server.
type attempt struct {
	id        retrier.Attempt
	req       *request
	server    string
	sentAt    time.Time
	ended     bool
	failed    bool
	refused   bool
	remaining []router.Candidate
	cancelled bool
	isHedge   bool
}

// entry is one entry process, reduced to the project's decision code.
type entry struct {
	sched *scheduler.Scheduler
	pick  picker
	retry *retrier.Retrier
}

// simulation is one simulation run of entries and modelled engines in virtual time.
type simulation struct {
	deployment    Deployment
	sc            Scenario
	policy        Policy
	now           time.Time
	events        eventHeap
	seq           uint64
	rng           *rand.Rand
	entries       []*entry
	engines       []*engine
	engineIndex   map[string]int
	owner         map[string]int
	slow          map[string]bool
	epoch         map[string]uint64
	leader        *permitLeader
	reqs          []*request
	attemptsByID  map[retrier.Attempt]*attempt
	attemptsByKey map[string]*attempt
	openAttempts  map[*attempt]bool
	lastAttemptID uint64
	res           *Result
	// evictedAt is the time of an adapter's last unload; the others are for the breakdown of stalls and slots.
	evictedAt    map[string]time.Time
	slotSamples  int
	detectDelays []float64
	undetected   int
}

// Intervals and delays of the simulation.
const (
	tickInterval        = 20 * time.Millisecond
	controlLatency      = 1200 * time.Microsecond
	unloadTime          = 2 * time.Millisecond
	batchSampleInterval = 50 * time.Millisecond
	slotSampleInterval  = time.Second
	rosterDelay         = time.Second
	crashDetectDelay    = 5 * time.Millisecond
	// noMaxReportAge disables the limit on the age of load reports, since the simulated engines aren't polled.
	noMaxReportAge time.Duration = math.MaxInt64
)

func newSimulation(t Deployment, sc Scenario, p Policy, seed uint64) *simulation {
	s := &simulation{
		deployment: t, sc: sc, policy: p, now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 11)),
		engineIndex: make(map[string]int), owner: make(map[string]int), slow: make(map[string]bool), epoch: make(map[string]uint64),
		attemptsByID:  make(map[retrier.Attempt]*attempt),
		attemptsByKey: make(map[string]*attempt),
		openAttempts:  make(map[*attempt]bool),
		reqs:          newRequests(t, sc, seed), res: &Result{}, evictedAt: make(map[string]time.Time),
	}
	s.leader = newPermitLeader(t, s.now)
	for i := range t.Entries {
		s.entries = append(s.entries, &entry{
			sched: scheduler.New(scheduler.Config{Off: p.Scheduler, MaxReportAge: noMaxReportAge}, seed*100+uint64(i)),
			pick:  newPicker(p, seed*1000+uint64(i)),
			retry: retrier.New(retrier.Config{}, seed*10+uint64(i)),
		})
	}
	store := modeler.NewStore(modeler.StoreConfig{Rate: t.StoreRate, FullSpeedLoads: t.StoreParallel, FullSpeedInFlight: t.StoreInFlight, LoadTime: t.LoadTime})
	for i := range t.Engines {
		e := newEngine(i, t, store, seed)
		s.engines = append(s.engines, e)
		s.engineIndex[e.name], s.owner[e.name] = i, i%t.Entries
		s.assignOwner(e)
	}
	s.publishRoster()
	s.schedule()
	return s
}

// schedule adds the events of the requests, the periodic work and the faults.
func (s *simulation) schedule() {
	for _, r := range s.reqs {
		s.at(s.now.Add(r.at), func() { s.arrive(r) })
	}
	for i := range s.entries {
		s.every(tickInterval, time.Duration(i)*time.Millisecond, func() { s.dispatch(i, scheduler.Tick{}) })
	}
	s.every(grantInterval, 0, s.grant)
	s.every(batchSampleInterval, s.sc.Warmup, s.sampleBatches)
	s.every(slotSampleInterval, s.sc.Warmup, s.sampleSlots)
	if s.sc.Stragglers > 0 {
		for i := range s.sc.Stragglers {
			s.scheduleStraggler(i, time.Duration(i)*1700*time.Millisecond)
		}
	}
	if s.sc.CrashInterval > 0 {
		s.every(s.sc.CrashInterval, s.sc.Warmup, func() { s.crash(s.rng.IntN(len(s.engines))) })
	}
}

// scheduleStraggler slows one random engine after another, for 2 to 6 s each.
func (s *simulation) scheduleStraggler(i int, after time.Duration) {
	s.after(after, func() {
		e := s.engines[s.rng.IntN(len(s.engines))]
		if s.slow[e.name] {
			s.scheduleStraggler(i, 10*time.Millisecond)
			return
		}
		slowFor := 2*time.Second + time.Duration(s.rng.Int64N(int64(4*time.Second)))
		s.slow[e.name] = true
		e.model.SetSpeed(1 / s.sc.Slowdown)
		s.markSlowedRequests(e.name)
		s.measureDetection(e.name, s.now)
		s.after(slowFor, func() {
			s.slow[e.name] = false
			e.model.SetSpeed(1)
			s.scheduleStraggler(i, 0)
		})
	})
}

func (s *simulation) run() *Result {
	end := time.Unix(0, 0).Add(s.sc.Length + 30*time.Second)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		ev, _ := heap.Pop(&s.events).(*event)
		s.now = ev.at
		ev.run()
	}
	s.computeResult()
	return s.res
}

func (s *simulation) assignOwner(e *engine) {
	s.epoch[e.name]++
	s.dispatch(s.owner[e.name], scheduler.Owned{RequestedAt: s.now, Server: s.announcement(e), Epoch: s.epoch[e.name]})
}

func (s *simulation) announcement(e *engine) registrar.Server {
	return registrar.Server{
		Name: e.name, Kind: configurer.KindModel, Service: "base", Incarnation: strconv.Itoa(e.model.Incarnation()), Slots: e.slots, Batch: e.batch,
	}
}

// publishRoster updates the roster of every entry.
func (s *simulation) publishRoster() {
	var servers []registrar.Server
	owners := make(map[string]registrar.Owner)
	for _, e := range s.engines {
		if e.alive {
			servers = append(servers, s.announcement(e))
			owners[e.name] = registrar.Owner{Entry: entryName(s.owner[e.name]), Epoch: s.epoch[e.name]}
		}
	}
	roster := registrar.NewRoster(1, servers, make([]registrar.Entry, len(s.entries)), owners)
	for _, en := range s.entries {
		en.pick.Rebuild(roster, "base")
	}
}

// dispatch passes an event to an entry's scheduler and performs the resulting actions.
func (s *simulation) dispatch(i int, ev scheduler.Event) {
	en := s.entries[i]
	actions := append([]scheduler.Action(nil), en.sched.Handle(s.now, ev)...)
	for _, act := range actions {
		s.perform(i, act)
	}
}

func (s *simulation) perform(i int, act scheduler.Action) {
	switch act := act.(type) {
	case scheduler.Send:
		a := s.attemptsByID[act.Job.Attempt]
		a.sentAt = s.now
		s.after(s.deployment.HopLatency, func() { s.submit(i, a) })
	case scheduler.Refuse:
		a := s.attemptsByID[act.Attempt]
		a.refused = true
		s.after(s.deployment.HopLatency, func() { s.handleRefusal(a, act.Reason, act.RetryAfter, s.load(a.server)) })
	case scheduler.RequestPermit:
		s.after(controlLatency, func() {
			s.leader.request(s.now, i, act)
			s.grant()
		})
	case scheduler.ReturnPermit:
		s.after(controlLatency, func() {
			s.leader.permits.Return(s.now, entryName(i), act.Permit.ID, act.Used)
			s.grant()
		})
	case scheduler.WithdrawPermit:
		s.after(controlLatency, func() { s.leader.withdraw(permitKey{act.Server, act.Target}) })
	case scheduler.Load:
		s.after(s.deployment.HopLatency, func() { s.startLoad(i, act) })
	case scheduler.Unload:
		s.after(s.deployment.HopLatency+unloadTime, func() { s.unload(i, act) })
	case scheduler.Cancel:
		a := s.attemptsByID[act.Attempt]
		s.after(s.deployment.HopLatency, func() { s.stopAttempt(i, a) })
	case scheduler.Fail:
		a := s.attemptsByID[act.Attempt]
		a.failed = true
		s.after(s.deployment.HopLatency, func() {
			s.handleFailure(a, retrier.Result{Outcome: retrier.Unknown, Refused: false}, router.Unreachable)
		})
	}
}

// grant sends the entries the permits that the store's limits allow.
func (s *simulation) grant() {
	s.leader.grant(s.now, func(entry int, ev scheduler.Granted) {
		s.after(controlLatency, func() { s.dispatch(entry, ev) })
	})
}

// entryName returns an entry's name as the owner of servers and the holder of permits.
func entryName(entry int) string { return strconv.Itoa(entry) }

// load returns the owner's count of its server's jobs as a share of the batch.
func (s *simulation) load(server string) float64 {
	return s.entries[s.owner[server]].sched.Load(server)
}

func digestOf(n int) quarantiner.Digest {
	return quarantiner.Digest{byte(n), byte(n >> 8), byte(n >> 16), 1}
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []*event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if ev, ok := x.(*event); ok {
		*h = append(*h, ev)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (s *simulation) at(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, &event{at: t, seq: s.seq, run: run})
}

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

func (s *simulation) every(d, first time.Duration, run func()) {
	s.after(first, func() {
		run()
		s.every(d, d, run)
	})
}
