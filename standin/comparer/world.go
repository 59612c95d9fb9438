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
	id      retrier.Attempt
	req     *request
	server  string
	sentAt  time.Time
	ended   bool
	lost    bool
	refused bool
	rest    []router.Candidate
	cancel  bool
	isHedge bool
}

// entry is one entry process, reduced to the project's decision code.
type entry struct {
	sched *scheduler.Scheduler
	pick  picker
	retry *retrier.Retrier
}

// world is one simulation run of entries and modelled engines in virtual time.
type world struct {
	team    Team
	sc      Scenario
	policy  Policy
	now     time.Time
	events  eventHeap
	seq     uint64
	rng     *rand.Rand
	entries []*entry
	engines []*engine
	byName  map[string]int
	owner   map[string]int
	slow    map[string]bool
	epoch   map[string]uint64
	leader  *leader
	reqs    []*request
	byID    map[retrier.Attempt]*attempt
	byKey   map[string]*attempt
	open    map[*attempt]bool
	ids     uint64
	res     *Result
	// evicted is the time of an adapter's last unload; samples, notices and missed are for the breakdown of stalls and slots.
	evicted map[string]time.Time
	samples int
	notices []float64
	missed  int
}

// Intervals and delays of the simulation.
const (
	tickEvery        = 20 * time.Millisecond
	controlHop       = 1200 * time.Microsecond
	unloadTime       = 2 * time.Millisecond
	sampleEvery      = 50 * time.Millisecond
	sampleSlotsEvery = time.Second
	rosterDelay      = time.Second
	crashNoticed     = 5 * time.Millisecond
	// unbounded disables the limit on the age of load reports, since the simulated engines aren't polled.
	unbounded time.Duration = math.MaxInt64
)

func newWorld(t Team, sc Scenario, p Policy, seed uint64) *world {
	w := &world{
		team: t, sc: sc, policy: p, now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 11)),
		byName: make(map[string]int), owner: make(map[string]int), slow: make(map[string]bool), epoch: make(map[string]uint64),
		byID:  make(map[retrier.Attempt]*attempt),
		byKey: make(map[string]*attempt),
		open:  make(map[*attempt]bool),
		reqs:  generate(t, sc, seed), res: &Result{}, evicted: make(map[string]time.Time),
	}
	w.leader = newLeader(t, w.now)
	for i := range t.Entries {
		w.entries = append(w.entries, &entry{
			sched: scheduler.New(scheduler.Config{Off: p.Scheduler, MaxReportAge: unbounded}, seed*100+uint64(i)),
			pick:  newPicker(p, seed*1000+uint64(i)),
			retry: retrier.New(retrier.Config{}, seed*10+uint64(i)),
		})
	}
	store := modeler.NewStore(modeler.StoreConfig{Rate: t.StoreRate, Parallel: t.Parallel, InFlight: t.Knee, Load: t.LoadTime})
	for i := range t.Engines {
		e := newEngine(i, t, store, seed)
		w.engines = append(w.engines, e)
		w.byName[e.name], w.owner[e.name] = i, i%t.Entries
		w.own(e)
	}
	w.spread()
	w.schedule()
	return w
}

// schedule adds the events of the requests, the periodic work and the faults.
func (w *world) schedule() {
	for _, r := range w.reqs {
		w.at(w.now.Add(r.at), func() { w.arrive(r) })
	}
	for i := range w.entries {
		w.every(tickEvery, time.Duration(i)*time.Millisecond, func() { w.handle(i, scheduler.Tick{}) })
	}
	w.every(leaderTick, 0, w.grant)
	w.every(sampleEvery, w.sc.Warmup, w.sample)
	w.every(sampleSlotsEvery, w.sc.Warmup, w.sampleSlots)
	if w.sc.Stragglers > 0 {
		for i := range w.sc.Stragglers {
			w.straggle(i, time.Duration(i)*1700*time.Millisecond)
		}
	}
	if w.sc.CrashEvery > 0 {
		w.every(w.sc.CrashEvery, w.sc.Warmup, func() { w.crash(w.rng.IntN(len(w.engines))) })
	}
}

// straggle slows one random engine after another, for 2 to 6 s each.
func (w *world) straggle(i int, after time.Duration) {
	w.after(after, func() {
		e := w.engines[w.rng.IntN(len(w.engines))]
		if w.slow[e.name] {
			w.straggle(i, 10*time.Millisecond)
			return
		}
		long := 2*time.Second + time.Duration(w.rng.Int64N(int64(4*time.Second)))
		w.slow[e.name] = true
		e.model.SetSpeed(1 / w.sc.Factor)
		w.caught(e.name)
		w.watchNotice(e.name, w.now)
		w.after(long, func() {
			w.slow[e.name] = false
			e.model.SetSpeed(1)
			w.straggle(i, 0)
		})
	})
}

func (w *world) run() *Result {
	end := time.Unix(0, 0).Add(w.sc.Length + 30*time.Second)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		ev, _ := heap.Pop(&w.events).(*event)
		w.now = ev.at
		ev.do()
	}
	w.collect()
	return w.res
}

func (w *world) own(e *engine) {
	w.epoch[e.name]++
	w.handle(w.owner[e.name], scheduler.Owned{Asked: w.now, Server: w.announce(e), Epoch: w.epoch[e.name]})
}

func (w *world) announce(e *engine) registrar.Server {
	return registrar.Server{
		Name: e.name, Kind: configurer.KindModel, Service: "base", Incarnation: strconv.Itoa(e.model.Incarnation()), Slots: e.slots, Batch: e.batch,
	}
}

// spread updates the roster of every entry.
func (w *world) spread() {
	var servers []registrar.Server
	owners := make(map[string]registrar.Owner)
	for _, e := range w.engines {
		if e.alive {
			servers = append(servers, w.announce(e))
			owners[e.name] = registrar.Owner{Entry: holder(w.owner[e.name]), Epoch: w.epoch[e.name]}
		}
	}
	roster := registrar.NewRoster(1, servers, make([]registrar.Entry, len(w.entries)), owners)
	for _, en := range w.entries {
		en.pick.Rebuild(roster, "base")
	}
}

// handle passes an event to an entry's scheduler and performs the resulting actions.
func (w *world) handle(i int, ev scheduler.Event) {
	en := w.entries[i]
	actions := append([]scheduler.Action(nil), en.sched.Handle(w.now, ev)...)
	for _, act := range actions {
		w.perform(i, act)
	}
}

func (w *world) perform(i int, act scheduler.Action) {
	switch act := act.(type) {
	case scheduler.Send:
		a := w.byID[act.Job.Attempt]
		a.sentAt = w.now
		w.after(w.team.Hop, func() { w.submit(i, a) })
	case scheduler.Refuse:
		a := w.byID[act.Attempt]
		a.refused = true
		w.after(w.team.Hop, func() { w.refused(a, act.Reason, act.RetryAfter, w.load(a.server)) })
	case scheduler.AskPermit:
		w.after(controlHop, func() {
			w.leader.ask(w.now, i, act)
			w.grant()
		})
	case scheduler.ReturnPermit:
		w.after(controlHop, func() {
			w.leader.permits.Return(w.now, holder(i), act.Permit.ID, act.Used)
			w.grant()
		})
	case scheduler.WithdrawPermit:
		w.after(controlHop, func() { w.leader.withdraw(wish{act.Server, act.Target}) })
	case scheduler.Load:
		w.after(w.team.Hop, func() { w.startLoad(i, act) })
	case scheduler.Unload:
		w.after(w.team.Hop+unloadTime, func() { w.unload(i, act) })
	case scheduler.Cancel:
		a := w.byID[act.Attempt]
		w.after(w.team.Hop, func() { w.cancelled(i, a) })
	case scheduler.Fail:
		a := w.byID[act.Attempt]
		a.lost = true
		w.after(w.team.Hop, func() {
			w.attemptEnded(a, retrier.Result{Outcome: retrier.Unknown, Refused: false}, router.Unreachable)
		})
	}
}

// grant sends the entries the permits that the store's limits allow.
func (w *world) grant() {
	w.leader.grant(w.now, func(entry int, ev scheduler.Granted) {
		w.after(controlHop, func() { w.handle(entry, ev) })
	})
}

// holder returns an entry's name as the owner of servers and the holder of permits.
func holder(entry int) string { return strconv.Itoa(entry) }

// load returns the owner's count of its server's jobs as a share of the batch.
func (w *world) load(server string) float64 { return w.entries[w.owner[server]].sched.Load(server) }

func digestOf(n int) quarantiner.Digest {
	return quarantiner.Digest{byte(n), byte(n >> 8), byte(n >> 16), 1}
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
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

func (w *world) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.events, &event{at: t, seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) every(d, first time.Duration, do func()) {
	w.after(first, func() {
		do()
		w.every(d, d, do)
	})
}
