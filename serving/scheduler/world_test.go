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
	name     string
	inc      int
	down     bool
	frozen   time.Time
	mute     time.Time // until then its reports and announcements are lost
	leaving  time.Time
	resident map[configurer.Target]bool
	running  map[retrier.Attempt]configurer.Target
	owner    int
	epoch    uint64
}

// call is one request of a caller, which its entry retries as the outcome allows.
type call struct {
	n      int
	entry  int
	target configurer.Target
	digest quarantiner.Digest
	// meet is the server where a copy runs.
	meet     string
	poison   bool
	answered bool
	refused  Reason
	tries    int
}

// world simulates schedulers and routers with fake engines and checks the rules at the engines.
type world struct {
	now     time.Time
	rng     *rand.Rand
	queue   []timed
	seq     int
	scheds  []*Scheduler
	routers []*router.Router
	engines []*fakeEngine
	reg     *quarantiner.Registry
	calls   []*call
	open    map[retrier.Attempt]*call
	at      map[retrier.Attempt]string
	closed  map[retrier.Attempt]int
	written map[retrier.Attempt]bool
	permits map[uint64]bool
	ids     uint64
	ticks   int
	crashes map[quarantiner.Digest]int
	// claims stands in for the claims of all home entries; claimed is what attempts hold.
	claims  *quarantiner.Claims
	claimed map[retrier.Attempt]quarantiner.Place
	broken  []string
	// The settings of the faults.
	late, doubled     bool
	whole             bool // no sent request may fail
	denyPermits       int
	losePermits       int
	failLoads         int
	slowLoads         int
	onStep            map[string]func(*fakeEngine)
	leaseLost         [2]bool
	loadTime, runTime time.Duration
}

type timed struct {
	at  time.Time
	seq int
	do  func()
}

const (
	worldEntries = 2
	worldEngines = 3
	worldCalls   = 90
	worldEnd     = 60 * time.Second
	worldQuiet   = 9 * time.Second
	worldTick    = 40 * time.Millisecond
	reportTicks  = 5
)

func newWorld(seed uint64, off breaks) *world {
	return newWorldOf(seed, off, worldEntries, worldEngines)
}

func newWorldOf(seed uint64, off breaks, entries, engines int) *world {
	w := &world{
		now: start, rng: rand.New(rand.NewPCG(seed, 3)), reg: quarantiner.New(quarantiner.Config{}),
		open: map[retrier.Attempt]*call{}, at: map[retrier.Attempt]string{}, closed: map[retrier.Attempt]int{},
		written: map[retrier.Attempt]bool{}, permits: map[uint64]bool{}, crashes: map[quarantiner.Digest]int{},
		claims: quarantiner.NewClaims(), claimed: map[retrier.Attempt]quarantiner.Place{},
		onStep:   map[string]func(*fakeEngine){},
		loadTime: 100 * time.Millisecond, runTime: 300 * time.Millisecond,
	}
	for i := range entries {
		s := New(Config{SilentAfter: time.Second, SilentFirst: 2 * time.Second, LoadLost: 4 * time.Second}, seed+uint64(i))
		s.off = off
		w.scheds = append(w.scheds, s)
		w.routers = append(w.routers, router.New(router.Config{Quiet: 300 * time.Millisecond}, seed+uint64(i)))
	}
	for i := range engines {
		e := &fakeEngine{name: fmt.Sprint("e", i+1), inc: 1, owner: i % entries, epoch: 1}
		e.clear()
		w.engines = append(w.engines, e)
		w.handle(e.owner, Owned{Server: w.announce(e), Epoch: 1, Asked: w.now})
	}
	w.spread()
	for i := range worldCalls {
		c := &call{
			n: i, entry: w.rng.IntN(entries), digest: quarantiner.Digest{byte(i), 1},
			target: configurer.Target{Service: "base", Adapter: fmt.Sprint("a", w.rng.IntN(5)), Version: 1 + w.rng.IntN(2)},
		}
		w.calls = append(w.calls, c)
		w.after(time.Duration(w.rng.IntN(4000))*time.Millisecond, func() { w.route(c) })
	}
	w.tick()
	return w
}

func (e *fakeEngine) clear() {
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

func (w *world) announce(e *fakeEngine) registrar.Server {
	return registrar.Server{
		Name: e.name, Kind: configurer.KindModel, Service: "base", Incarnation: fmt.Sprint(e.inc), Slots: 2, Batch: 4, Leaving: !e.leaving.IsZero(),
	}
}

func (w *world) spread() {
	var list []registrar.Server
	owners := map[string]registrar.Owner{}
	for _, e := range w.engines {
		if !e.down {
			list = append(list, w.announce(e))
			owners[e.name] = registrar.Owner{Entry: fmt.Sprint(e.owner), Epoch: e.epoch}
		}
	}
	for _, r := range w.routers {
		r.Rebuild(registrar.NewRoster(1, list, make([]registrar.Entry, len(w.scheds)), owners), "base")
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	t := timed{at: w.now.Add(d), seq: w.seq, do: do}
	i, _ := slices.BinarySearchFunc(w.queue, t, func(a, b timed) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.seq - b.seq
	})
	w.queue = slices.Insert(w.queue, i, t)
}

func (w *world) tick() {
	for i := range w.scheds {
		w.handle(i, Tick{})
	}
	w.ticks++
	for _, e := range w.engines {
		if w.ticks%reportTicks != 0 {
			break
		}
		// The engine's report shows what is loaded there, as long as it answers.
		if s := w.scheds[e.owner]; !e.down && w.now.After(e.frozen) && w.now.After(e.mute) && s.Owns(e.name) {
			w.handle(e.owner, Reported{Server: e.name, Asked: w.now, Residents: e.residents()})
		}
	}
	w.after(worldTick, w.tick)
}

func (w *world) run() {
	for len(w.queue) > 0 && w.queue[0].at.Sub(start) < worldEnd && !w.isQuiet() {
		t := w.queue[0]
		w.queue = w.queue[1:]
		w.now = t.at
		t.do()
	}
	w.judge()
}

// isQuiet reports whether all calls have ended and no delayed event can arrive.
func (w *world) isQuiet() bool {
	if w.now.Sub(start) < worldQuiet || len(w.open) > 0 || len(w.permits) > 0 {
		return false
	}
	return !slices.ContainsFunc(w.calls, func(c *call) bool { return !c.answered && c.refused != ReasonQuarantine })
}

func (w *world) violate(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now.Sub(start))+fmt.Sprintf(format, args...))
}

// judge checks the final state.
func (w *world) judge() {
	for _, c := range w.calls {
		if !c.poison && !c.answered {
			w.violate("call %d was not answered (refused %q, %d tries)", c.n, c.refused, c.tries)
		}
		if c.poison && c.refused != ReasonQuarantine {
			w.violate("poison request was not quarantined, last refusal %q", c.refused)
		}
	}
	for a, n := range w.closed {
		if n != 1 {
			w.violate("attempt %v ended %d times", a, n)
		}
	}
	for a := range w.open {
		w.violate("attempt %v never ended", a)
	}
	for d, n := range w.crashes {
		if n > 2 {
			w.violate("request %v crashed %d engines", d, n)
		}
	}
	if len(w.permits) > 0 {
		w.violate("%d permits were not returned", len(w.permits))
	}
}

func (w *world) route(c *call) {
	if c.answered || w.now.Sub(start) > worldEnd-5*time.Second || c.refused == ReasonQuarantine {
		return
	}
	list := w.routers[c.entry].Route(w.now, c.target, 0, nil)
	if i := slices.IndexFunc(list, func(o router.Candidate) bool { return o.Server == c.meet }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	c.meet = ""
	if len(list) == 0 {
		w.after(100*time.Millisecond, func() { w.route(c) })
		return
	}
	w.offer(c, list)
}

func (w *world) offer(c *call, list []router.Candidate) {
	w.ids++
	a := retrier.NewAttempt("n", uint64(c.n), w.ids)
	cand := list[0]
	var owner int
	_, _ = fmt.Sscan(cand.Owner, &owner)
	w.open[a], w.at[a] = c, cand.Server
	w.routers[c.entry].Begin(w.now, cand.Server, c.target)
	job := Job{
		Attempt: a, Server: cand.Server, Target: c.target, Class: "chat", Urgent: c.n%3 > 0, Idempotent: true, Digest: c.digest,
		Standing: w.reg.Standing(w.now, c.digest), Arrived: w.now, Last: len(list) == 1,
	}
	w.after(time.Millisecond, func() { w.handle(owner, Arrived{Job: job}) })
	if w.doubled {
		w.after(time.Duration(w.rng.IntN(900))*time.Millisecond, func() { w.handle(owner, Arrived{Job: job}) })
	}
}

// end ends an attempt and schedules the call's next route.
func (w *world) end(a retrier.Attempt, reason Reason, answered bool, fb router.Result) {
	w.closed[a]++
	c := w.open[a]
	if c == nil {
		return
	}
	delete(w.open, a)
	w.routers[c.entry].Done(w.now, router.Feedback{Server: w.at[a], Target: c.target, Result: fb, Load: -1})
	c.answered = c.answered || answered
	c.refused = reason
	c.tries++
	w.after(time.Duration(20+w.rng.IntN(60))*time.Millisecond, func() { w.route(c) })
}

// deliver sends an entry an event from outside, which the fault may delay or duplicate.
func (w *world) deliver(i int, d time.Duration, ev Event) {
	if w.late {
		d += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	w.after(d, func() { w.handle(i, ev) })
	if w.doubled {
		w.after(d+time.Duration(w.rng.IntN(1200))*time.Millisecond, func() { w.handle(i, ev) })
	}
}
