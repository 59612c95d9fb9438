package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
)

// fakeEngine runs whatever it is sent; the checker compares its state with the rules.
type fakeEngine struct {
	name             string
	incarnation      int
	down             bool
	pausedUntil      time.Time
	reportsLostUntil time.Time // until then its reports and announcements are lost
	leavingSince     time.Time
	resident         map[configurer.Target]bool
	running          map[retrier.Attempt]configurer.Target
	owner            int
	epoch            uint64
}

// call is one request of a caller, which its entry retries as the outcome allows.
type call struct {
	n      int
	entry  int
	target configurer.Target
	digest quarantiner.Digest
	// copyServer is the server where a copy runs.
	copyServer string
	poison     bool
	answered   bool
	refusal    Reason
	tries      int
}

// simulation runs schedulers and routers with fake engines and checks the rules at the engines.
type simulation struct {
	now             time.Time
	rng             *rand.Rand
	queue           []timedFunc
	seq             int
	scheds          []*Scheduler
	routers         []*router.Router
	engines         []*fakeEngine
	quarantine      *quarantiner.Registry
	calls           []*call
	openAttempts    map[retrier.Attempt]*call
	serverOf        map[retrier.Attempt]string
	endCount        map[retrier.Attempt]int
	writtenAttempts map[retrier.Attempt]bool
	permits         map[uint64]bool
	lastID          uint64
	ticks           int
	crashes         map[quarantiner.Digest]int
	// claims stands in for the claims of all home entries; claimed holds the processes claimed by attempts.
	claims     *quarantiner.Claims
	claimed    map[retrier.Attempt]quarantiner.ServerProcess
	violations []string
	// The settings of the faults.
	delayEvents, duplicateEvents bool
	forbidFailures               bool // no sent request may fail
	permitsToDeny                int
	permitsToLose                int
	loadsToFail                  int
	loadsToSlow                  int
	stepFaults                   map[string]func(*fakeEngine)
	leaseLost                    [2]bool
	loadTime, runTime            time.Duration
}

type timedFunc struct {
	at  time.Time
	seq int
	run func()
}

const (
	simEntries     = 2
	simEngines     = 3
	simCalls       = 90
	simMaxDuration = 60 * time.Second
	simMinDuration = 9 * time.Second
	tickInterval   = 40 * time.Millisecond
	ticksPerReport = 5
)

func newSimulation(seed uint64, disabled disabledMechanisms) *simulation {
	return newSimulationOf(seed, disabled, simEntries, simEngines)
}

func newSimulationOf(seed uint64, disabled disabledMechanisms, entries, engines int) *simulation {
	sim := &simulation{
		now: start, rng: rand.New(rand.NewPCG(seed, 3)), quarantine: quarantiner.New(quarantiner.Config{}),
		openAttempts: map[retrier.Attempt]*call{}, serverOf: map[retrier.Attempt]string{}, endCount: map[retrier.Attempt]int{},
		writtenAttempts: map[retrier.Attempt]bool{}, permits: map[uint64]bool{}, crashes: map[quarantiner.Digest]int{},
		claims: quarantiner.NewClaims(), claimed: map[retrier.Attempt]quarantiner.ServerProcess{},
		stepFaults: map[string]func(*fakeEngine){},
		loadTime:   100 * time.Millisecond, runTime: 300 * time.Millisecond,
	}
	for i := range entries {
		s := New(Config{TokenGapTimeout: time.Second, FirstTokenTimeout: 2 * time.Second, OrderTimeout: 4 * time.Second}, seed+uint64(i))
		s.disabled = disabled
		sim.scheds = append(sim.scheds, s)
		sim.routers = append(sim.routers, router.New(router.Config{Cooldown: 300 * time.Millisecond}, seed+uint64(i)))
	}
	for i := range engines {
		e := &fakeEngine{name: fmt.Sprint("e", i+1), incarnation: 1, owner: i % entries, epoch: 1}
		e.reset()
		sim.engines = append(sim.engines, e)
		sim.handle(e.owner, Owned{Server: sim.announcement(e), Epoch: 1, RequestedAt: sim.now})
	}
	sim.updateRosters()
	for i := range simCalls {
		c := &call{
			n: i, entry: sim.rng.IntN(entries), digest: quarantiner.Digest{byte(i), 1},
			target: configurer.Target{Service: "base", Adapter: fmt.Sprint("a", sim.rng.IntN(5)), Version: 1 + sim.rng.IntN(2)},
		}
		sim.calls = append(sim.calls, c)
		sim.after(time.Duration(sim.rng.IntN(4000))*time.Millisecond, func() { sim.route(c) })
	}
	sim.tick()
	return sim
}

func (e *fakeEngine) reset() {
	e.resident, e.running = map[configurer.Target]bool{}, map[retrier.Attempt]configurer.Target{}
}

func (e *fakeEngine) residents() []configurer.Target {
	var out []configurer.Target
	for t := range e.resident {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b configurer.Target) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return out
}

func (sim *simulation) announcement(e *fakeEngine) registrar.Server {
	return registrar.Server{
		Name: e.name, Kind: configurer.KindModel, Service: "base", Incarnation: fmt.Sprint(e.incarnation), Slots: 2, Batch: 4, Leaving: !e.leavingSince.IsZero(),
	}
}

func (sim *simulation) updateRosters() {
	var list []registrar.Server
	owners := map[string]registrar.Owner{}
	for _, e := range sim.engines {
		if !e.down {
			list = append(list, sim.announcement(e))
			owners[e.name] = registrar.Owner{Entry: fmt.Sprint(e.owner), Epoch: e.epoch}
		}
	}
	for _, r := range sim.routers {
		r.Rebuild(registrar.NewRoster(1, list, make([]registrar.Entry, len(sim.scheds)), owners), "base")
	}
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	t := timedFunc{at: sim.now.Add(d), seq: sim.seq, run: f}
	i, _ := slices.BinarySearchFunc(sim.queue, t, func(a, b timedFunc) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.seq - b.seq
	})
	sim.queue = slices.Insert(sim.queue, i, t)
}

func (sim *simulation) tick() {
	for i := range sim.scheds {
		sim.handle(i, Tick{})
	}
	sim.ticks++
	for _, e := range sim.engines {
		if sim.ticks%ticksPerReport != 0 {
			break
		}
		// The engine's report lists the loaded adapters, as long as it answers.
		if s := sim.scheds[e.owner]; !e.down && sim.now.After(e.pausedUntil) && sim.now.After(e.reportsLostUntil) && s.Owns(e.name) {
			sim.handle(e.owner, Reported{Server: e.name, RequestedAt: sim.now, Residents: e.residents()})
		}
	}
	sim.after(tickInterval, sim.tick)
}

func (sim *simulation) run() {
	for len(sim.queue) > 0 && sim.queue[0].at.Sub(start) < simMaxDuration && !sim.isFinished() {
		t := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = t.at
		t.run()
	}
	sim.checkFinalState()
}

// isFinished reports whether all calls have ended and no delayed event can arrive.
func (sim *simulation) isFinished() bool {
	if sim.now.Sub(start) < simMinDuration || len(sim.openAttempts) > 0 || len(sim.permits) > 0 {
		return false
	}
	return !slices.ContainsFunc(sim.calls, func(c *call) bool { return !c.answered && c.refusal != ReasonQuarantine })
}

func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(start))+fmt.Sprintf(format, args...))
}

// checkFinalState checks the conditions that must hold at the end.
func (sim *simulation) checkFinalState() {
	for _, c := range sim.calls {
		if !c.poison && !c.answered {
			sim.violate("call %d was not answered (refused %q, %d tries)", c.n, c.refusal, c.tries)
		}
		if c.poison && c.refusal != ReasonQuarantine {
			sim.violate("poison request was not quarantined, last refusal %q", c.refusal)
		}
	}
	for a, n := range sim.endCount {
		if n != 1 {
			sim.violate("attempt %v ended %d times", a, n)
		}
	}
	for a := range sim.openAttempts {
		sim.violate("attempt %v never ended", a)
	}
	for d, n := range sim.crashes {
		if n > 2 {
			sim.violate("request %v crashed %d engines", d, n)
		}
	}
	if len(sim.permits) > 0 {
		sim.violate("%d permits were not returned", len(sim.permits))
	}
}

func (sim *simulation) route(c *call) {
	if c.answered || sim.now.Sub(start) > simMaxDuration-5*time.Second || c.refusal == ReasonQuarantine {
		return
	}
	list := sim.routers[c.entry].Route(sim.now, c.target, 0, nil)
	if i := slices.IndexFunc(list, func(o router.Candidate) bool { return o.Server == c.copyServer }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	c.copyServer = ""
	if len(list) == 0 {
		sim.after(100*time.Millisecond, func() { sim.route(c) })
		return
	}
	sim.sendToOwner(c, list)
}

func (sim *simulation) sendToOwner(c *call, list []router.Candidate) {
	sim.lastID++
	a := retrier.NewAttempt("n", uint64(c.n), sim.lastID)
	cand := list[0]
	var owner int
	_, _ = fmt.Sscan(cand.Owner, &owner)
	sim.openAttempts[a], sim.serverOf[a] = c, cand.Server
	sim.routers[c.entry].Begin(sim.now, cand.Server, c.target)
	job := Job{
		Attempt: a, Server: cand.Server, Target: c.target, Class: "chat", Urgent: c.n%3 > 0, Idempotent: true, Digest: c.digest,
		Standing: sim.quarantine.Standing(sim.now, c.digest), Arrived: sim.now, IsLastCandidate: len(list) == 1,
	}
	sim.after(time.Millisecond, func() { sim.handle(owner, Arrived{Job: job}) })
	if sim.duplicateEvents {
		sim.after(time.Duration(sim.rng.IntN(900))*time.Millisecond, func() { sim.handle(owner, Arrived{Job: job}) })
	}
}

// end ends an attempt and schedules the call's next route.
func (sim *simulation) end(a retrier.Attempt, reason Reason, answered bool, result router.Result) {
	sim.endCount[a]++
	c := sim.openAttempts[a]
	if c == nil {
		return
	}
	delete(sim.openAttempts, a)
	sim.routers[c.entry].End(sim.now, router.Feedback{Server: sim.serverOf[a], Target: c.target, Result: result, Load: -1})
	c.answered = c.answered || answered
	c.refusal = reason
	c.tries++
	sim.after(time.Duration(20+sim.rng.IntN(60))*time.Millisecond, func() { sim.route(c) })
}

// deliver sends an entry an event from outside, which the fault may delay or duplicate.
func (sim *simulation) deliver(i int, d time.Duration, ev Event) {
	if sim.delayEvents {
		d += time.Duration(sim.rng.IntN(400)) * time.Millisecond
	}
	sim.after(d, func() { sim.handle(i, ev) })
	if sim.duplicateEvents {
		sim.after(d+time.Duration(sim.rng.IntN(1200))*time.Millisecond, func() { sim.handle(i, ev) })
	}
}
