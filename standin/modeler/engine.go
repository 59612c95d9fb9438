package modeler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Engine simulates a model engine in virtual time; it is not safe for concurrent use.
type Engine struct {
	cfg          Config
	rng          *rand.Rand
	speed        float64
	incarnation  int
	coldUntil    time.Time
	shouldCrash  func(Request) bool
	loadFailures map[string]int

	residents       map[string]bool
	loads           []load
	waiting         []*job
	running         []*job
	jobs            map[string]*job
	resumable       []finishedStream
	cache           *prefixCache
	stepEnd         time.Time // zero while no step runs
	pendingStall    time.Duration
	events          []Event
	evictedRequests int
}

// load is an adapter load in flight.
type load struct {
	model string
	end   time.Time
}

// job is a request with its progress.
type job struct {
	req         Request
	prefillLeft int // prompt tokens left
	stepPrefill int // prompt tokens in the current step
	generated   int // output tokens so far
}

// finishedStream is a stream that is still resumable.
type finishedStream struct {
	id     string
	tokens int
	until  time.Time
}

// New returns an idle, started engine; the seed determines jitter and failed loads.
func New(cfg Config, seed uint64) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed)), speed: 1, loadFailures: make(map[string]int)}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.incarnation++
	e.residents = make(map[string]bool)
	e.jobs = make(map[string]*job)
	e.loads, e.waiting, e.running, e.resumable = nil, nil, nil, nil
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.stepEnd = time.Time{}
	e.pendingStall = 0
}

// Submit queues a request or returns a *RefusedError.
func (e *Engine) Submit(now time.Time, r Request) error {
	if now.Before(e.coldUntil) {
		return &RefusedError{Reason: Starting}
	}
	if !e.IsResident(r.Model) {
		return &RefusedError{Reason: NotResident, Name: r.Model}
	}
	if _, ok := e.jobs[r.ID]; ok {
		return &RefusedError{Reason: DuplicateRequest, Name: r.ID}
	}
	if r.PrefixTokens <= 0 || r.PrefixTokens > r.PromptTokens {
		r.PrefixTokens = r.PromptTokens
	}
	r.OutputTokens = max(r.OutputTokens, 1)
	j := &job{req: r, prefillLeft: max(r.PromptTokens, 1)}
	e.jobs[r.ID] = j
	i, _ := slices.BinarySearchFunc(e.waiting, r.Priority+1, func(w *job, p int) int { return w.req.Priority - p })
	e.waiting = slices.Insert(e.waiting, i, j)
	if e.stepEnd.IsZero() {
		e.beginStep(now)
	}
	return nil
}

// Cancel ends a request at once and reports whether it was queued or running.
func (e *Engine) Cancel(_ time.Time, id string) bool {
	j, ok := e.jobs[id]
	if ok {
		e.remove(j)
	}
	return ok
}

// Load starts an adapter load, which ends with a Loaded or LoadFailed event, or returns a *RefusedError.
func (e *Engine) Load(now time.Time, model string) error {
	if now.Before(e.coldUntil) {
		return &RefusedError{Reason: Starting}
	}
	if slices.ContainsFunc(e.loads, func(l load) bool { return l.model == model }) {
		return nil
	}
	if e.IsResident(model) {
		e.loads = append(e.loads, load{model: model, end: now})
		return nil
	}
	if len(e.residents)+e.nonResidentLoads() >= e.cfg.Slots {
		return &RefusedError{Reason: NoFreeSlot, Name: model}
	}
	e.loads = append(e.loads, load{model: model, end: e.cfg.Store.BeginLoad(now)})
	return nil
}

// nonResidentLoads counts the loads in flight of non-resident adapters.
func (e *Engine) nonResidentLoads() int {
	n := 0
	for _, l := range e.loads {
		if !e.IsResident(l.model) {
			n++
		}
	}
	return n
}

// Unload removes an adapter and fails its requests, unless Config.RefusesUnloadInUse makes it return a *RefusedError.
func (e *Engine) Unload(now time.Time, model string) error {
	if !e.residents[model] {
		return &RefusedError{Reason: NotResident, Name: model}
	}
	var affected []*job
	for _, j := range e.jobs {
		if j.req.Model == model {
			affected = append(affected, j)
		}
	}
	if len(affected) > 0 && e.cfg.RefusesUnloadInUse {
		return &RefusedError{Reason: AdapterInUse, Name: model}
	}
	delete(e.residents, model)
	slices.SortFunc(affected, func(a, b *job) int { return strings.Compare(a.req.ID, b.req.ID) })
	for _, j := range affected {
		e.evictedRequests++
		e.remove(j)
		e.emit(Event{At: now, Kind: Failed, ID: j.req.ID, Model: model})
	}
	return nil
}

// EvictedRequests returns how many queued or running requests failed because of an unload.
func (e *Engine) EvictedRequests() int { return e.evictedRequests }

// SetSpeed scales the speed of later steps; below 1 the engine is a straggler, factors up to 0 are ignored.
func (e *Engine) SetSpeed(factor float64) {
	if factor > 0 {
		e.speed = factor
	}
}

// CrashOn makes the engine crash at the end of the first step of a request that match accepts.
func (e *Engine) CrashOn(match func(Request) bool) { e.shouldCrash = match }

// FailLoads makes the next n loads of the model fail; "" means any model.
func (e *Engine) FailLoads(model string, n int) { e.loadFailures[model] = n }

// Restart drops all requests and adapters and begins a cold start.
func (e *Engine) Restart(now time.Time) {
	e.reset()
	e.coldUntil = now.Add(e.cfg.ColdStartTime)
}

// Incarnation returns the number of the engine's starts.
func (e *Engine) Incarnation() int { return e.incarnation }

// IsCold reports whether a cold start is in progress.
func (e *Engine) IsCold(now time.Time) bool { return now.Before(e.coldUntil) }

// IsResident reports whether requests for the model can run.
func (e *Engine) IsResident(model string) bool { return model == e.cfg.Base || e.residents[model] }

// Residents returns the resident adapters, sorted by name.
func (e *Engine) Residents() []string {
	list := make([]string, 0, len(e.residents))
	for m := range e.residents {
		list = append(list, m)
	}
	slices.Sort(list)
	return list
}

// ModelsInUse returns the models of queued and running requests, sorted by name.
func (e *Engine) ModelsInUse() []string {
	var list []string
	for _, j := range e.jobs {
		list = append(list, j.req.Model)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// RunningRequests returns the number of requests in the batch.
func (e *Engine) RunningRequests() int { return len(e.running) }

// WaitingRequests returns the number of queued requests.
func (e *Engine) WaitingRequests() int { return len(e.waiting) }

// Progress returns how many tokens of a request are resumable, until Config.ResumeWindow after its end.
func (e *Engine) Progress(now time.Time, id string) (tokens int, ok bool) {
	if j, ok := e.jobs[id]; ok {
		return j.generated, true
	}
	for _, f := range e.resumable {
		if f.id == id && now.Before(f.until) {
			return f.tokens, true
		}
	}
	return 0, false
}

func (e *Engine) emit(ev Event) { e.events = append(e.events, ev) }

func (e *Engine) remove(j *job) {
	delete(e.jobs, j.req.ID)
	same := func(o *job) bool { return o == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// Slots returns the largest number of resident adapters.
func (e *Engine) Slots() int { return e.cfg.Slots }

// Batch returns the largest number of concurrent requests.
func (e *Engine) Batch() int { return e.cfg.Batch }
