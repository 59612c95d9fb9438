package allocator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
)

const (
	// DefaultTransit is how many adapters may be on their way to one engine at once.
	DefaultTransit = 4
	// DefaultHalfLife is the time in which a use counts half for the choice of victims.
	DefaultHalfLife = 8 * time.Second
	// wantTTL is how long a request for an adapter counts; its sender repeats it while somebody waits.
	wantTTL = time.Second
	// ReportLag is how long an engine's report may lag behind what orders did to it.
	ReportLag = 700 * time.Millisecond
	// minCopyRate is the decayed count of uses from which one more copy saves more than it costs: with the default half-life
	// about one use a second.
	minCopyRate = 12
	// fetchTime is what a load from the store takes until one was seen.
	fetchTime = 250 * time.Millisecond
	// versionWait is how long entries use older versions after a newer one was named.
	versionWait = time.Second
	// holderWait is how long an adapter waits for an engine that held it lately: less than another one would take to fetch
	// it from the store.
	holderWait = 100 * time.Millisecond
	// copyFactor is how much more an adapter must be used than the victim for one more copy, so that copies don't alternate.
	copyFactor = 2
	// settleTime protects a loaded adapter until processes have reported its first uses; they report every 100 ms, and
	// requests that waited for it are sent at once.
	settleTime = 250 * time.Millisecond
)

// Config holds the bounds of an Allocator.
type Config struct {
	// Transit bounds the loads under way at one engine.
	Transit int
	// HalfLife is the time in which a use counts half.
	HalfLife time.Duration
}

// Order tells an engine to load an adapter, after evicting others.
type Order struct {
	Engine  string
	Adapter tracker.Adapter
	Version int
	// Evict makes way for the adapter first, if it has a name.
	Evict tracker.Adapter
	// Recent says that the engine held the adapter lately, so that it loads faster.
	Recent bool
	// Time is how long the load of a base model takes, 0 for adapters.
	Time time.Duration
	// Took is how long the load took, once it has ended.
	Took time.Duration
	// Cause says why the adapter is loaded, Waited since when it was wanted.
	Cause  Cause
	Waited time.Duration
	want   wantKey
	due    time.Time
}

// Cause says why an adapter is loaded.
type Cause string

// The causes.
const (
	// First means that no engine held the adapter lately.
	First Cause = "first"
	// Back means that the engine held it lately.
	Back Cause = "back"
	// Away means that engines held it lately that can't take it now.
	Away Cause = "away"
	// Copied means that one more engine gets the adapter.
	Copied Cause = "copy"
	// Newer means that the engine holds an older version.
	Newer Cause = "newer"
)

// Want asks for an adapter on behalf of a data centre.
type Want struct {
	Service string
	Adapter tracker.Adapter
	Zone    string
	// Copy asks for one more copy of an adapter that is loaded already, closer to or beside those in use.
	Copy bool
	// Due is when the answer to the request that waits should begin.
	Due time.Time
	// Except are engines that hold the adapter and did not answer.
	Except []string
}

type state int

const (
	loading state = iota
	resident
	evicting
	// doubtful is an adapter that the engine may hold or be loading; it takes a place until the engine says more.
	doubtful
	// retiring is an adapter of an older version that gets no new requests.
	retiring
)

// slot is an adapter at an engine.
type slot struct {
	version int
	state   state
	since   time.Time
	inUse   map[string]int
	// fetched says that the adapter comes from the store, not from the engine's own disk.
	fetched bool
}

type engine struct {
	tracker.Instance
	room  Room
	slots map[tracker.Adapter]*slot
	// shelf is what the engine loads from its own disk, the adapter that it loaded last at the end.
	shelf *simplelru.LRU[tracker.Adapter, struct{}]
	// models are the base models that it holds, with their versions; fetching is the one that it is loading.
	models   map[string]int
	fetching string
	busy     int
	// running is how many requests run there.
	running int
	// synced says that the table accounts for everything that the engine holds, so that orders can't exceed its room.
	synced bool
}

// Outcome says how an order ended.
type Outcome int

// The outcomes of orders.
const (
	// Done means that the engine confirmed it.
	Done Outcome = iota
	// Undone means that the engine did not and will not carry it out.
	Undone
	// Doubtful means that it may be carried out.
	Doubtful
)

// rate is a decayed count of uses.
type rate struct {
	value float64
	at    time.Time
}

type wantKey struct {
	service string
	adapter tracker.Adapter
	zone    string
	copied  bool
}

// Room is what the engines of a service may hold.
type Room struct {
	// Adapters is the number of adapters at one engine.
	Adapters int
	// Models are the service's base models; an engine that holds none is ordered to load one.
	Models []matcher.Model
	// LoadsPerSecond bounds how often a load of a base model may begin, over all engines.
	LoadsPerSecond float64
}

// Allocator keeps the engines' adapters; one goroutine calls it.
type Allocator struct {
	cfg     Config
	fetched time.Time
	// fastest is the shortest time that a fetch took, perEngine the bound that follows from the others.
	fastest   time.Duration
	perEngine float64
	// window are the fetches that are judged next.
	window struct {
		n       int
		fastest time.Duration
	}
	// shelved is how many adapters an engine loads from its own disk, for each that it can hold at once.
	shelved  float64
	engines  map[string]*engine
	rates    map[tracker.Adapter]*rate
	versions map[tracker.Adapter]int
	wants    map[wantKey]wanting
	// past are the loads of starts of engines that an earlier Allocator knew, news those since TakeHeld.
	past map[tracker.Key][]tracker.Adapter
	news map[tracker.Key][]tracker.Adapter
	// touched are the engines whose residents may have changed.
	touched map[string]bool
	// surveyed is when it was looked for adapters that need more copies.
	surveyed time.Time
	// copies is how many engines hold or load each adapter, running how many requests run at all of them.
	copies  map[tracker.Adapter]int
	running int
}

// wanting says since when an adapter is wanted, when it was asked for last, and when the latest of those who wait should
// have it.
type wanting struct {
	since, last, due time.Time
	// except are engines that did not answer those who wait.
	except []string
}

// New returns an Allocator without engines.
func New(cfg Config) *Allocator {
	if cfg.Transit <= 0 {
		cfg.Transit = DefaultTransit
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	return &Allocator{
		cfg: cfg, perEngine: fetchesPerEngine, shelved: firstShelved,
		engines: make(map[string]*engine), rates: make(map[tracker.Adapter]*rate),
		versions: make(map[tracker.Adapter]int), wants: make(map[wantKey]wanting),
		past: make(map[tracker.Key][]tracker.Adapter), news: make(map[tracker.Key][]tracker.Adapter),
		touched: make(map[string]bool), copies: make(map[tracker.Adapter]int),
	}
}

// SetEngine takes up an engine with what it may hold; no adapter is ordered there before Sync.
func (a *Allocator) SetEngine(in tracker.Instance, room Room) {
	e, ok := a.engines[in.Key.ID]
	if !ok || e.Key != in.Key {
		e = &engine{
			slots: make(map[tracker.Adapter]*slot), shelf: newShelf(a.shelfSize(room)), models: make(map[string]int),
		}
		for _, ad := range a.past[in.Key] {
			e.shelf.Add(ad, struct{}{})
		}
		a.engines[in.Key.ID] = e
		a.touched[in.Key.ID] = true
	}
	e.Instance, e.room = in, room
	e.shelf.Resize(a.shelfSize(room))
}

// Sync takes up what an engine itself reports to hold, and to be loading; what changed of late counts more than a report.
func (a *Allocator) Sync(now time.Time, id string, residents, pending []tracker.Resident) {
	e := a.engines[id]
	if e == nil {
		return
	}
	a.touched[id] = true
	e.synced = true
	clear(e.models)
	listed := make(map[tracker.Adapter]state, len(residents)+len(pending))
	for _, r := range pending {
		listed[r.Adapter] = doubtful
		a.take(now, e, r, doubtful)
	}
	for _, r := range residents {
		if r.Adapter.Name == "" {
			e.models[r.Adapter.Model] = r.Version
			continue
		}
		listed[r.Adapter] = resident
		a.take(now, e, r, resident)
	}
	for ad, s := range e.slots {
		if _, ok := listed[ad]; !ok && (s.state == resident || s.state == doubtful || s.state == retiring) && now.Sub(s.since) > ReportLag {
			delete(e.slots, ad)
		}
	}
}

// take enters what an engine reports, unless an order that is under way will tell more.
func (a *Allocator) take(now time.Time, e *engine, r tracker.Resident, as state) {
	s := e.slots[r.Adapter]
	switch {
	case s == nil:
		e.slots[r.Adapter] = &slot{version: r.Version, state: as, since: now}
	case s.state == doubtful, s.state == resident:
		s.state, s.version = as, r.Version
	}
	if as == resident && !e.shelf.Contains(r.Adapter) {
		a.hold(e, r.Adapter)
	}
}

// Unsync says that what an engine holds isn't sure any more.
func (a *Allocator) Unsync(id string) {
	if e := a.engines[id]; e != nil {
		e.synced = false
	}
}

// Unsynced returns the engines that must be asked what they hold, by ID.
func (a *Allocator) Unsynced() []string {
	var out []string
	for id, e := range a.engines {
		if !e.synced && !e.Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RemoveEngine forgets an engine.
func (a *Allocator) RemoveEngine(id string) { delete(a.engines, id) }

// Touched returns the engines whose residents may have changed since the last call.
func (a *Allocator) Touched() []string {
	if len(a.touched) == 0 {
		return nil
	}
	out := slices.Sorted(maps.Keys(a.touched))
	clear(a.touched)
	return out
}

// Residents returns the base models and adapters that may be used at an engine.
func (a *Allocator) Residents(id string) []tracker.Resident {
	e, ok := a.engines[id]
	if !ok {
		return nil
	}
	var out []tracker.Resident
	for m, v := range e.models {
		out = append(out, tracker.Resident{Adapter: tracker.Adapter{Model: m}, Version: v})
	}
	for ad, s := range e.slots {
		if s.state == resident {
			out = append(out, tracker.Resident{Adapter: ad, Version: s.version})
		}
	}
	slices.SortFunc(out, func(x, y tracker.Resident) int {
		if x.Adapter.Name < y.Adapter.Name {
			return -1
		}
		return 1
	})
	return out
}

// Want takes a request for an adapter; it counts as a use, since those that wait will use it.
func (a *Allocator) Want(now time.Time, w Want) {
	k := wantKey{w.Service, w.Adapter, w.Zone, w.Copy}
	a.want(now, k, w.Due)
	if len(w.Except) > 0 {
		v := a.wants[k]
		v.except = w.Except
		a.wants[k] = v
	}
	if !w.Copy {
		a.used(now, w.Adapter, 1)
	}
}

func (a *Allocator) want(now time.Time, k wantKey, due time.Time) {
	v, ok := a.wants[k]
	if !ok {
		v.since = now
	}
	v.last = now
	if due.After(v.due) {
		v.due = due
	}
	a.wants[k] = v
}

// used counts uses of an adapter.
func (a *Allocator) used(now time.Time, ad tracker.Adapter, n int) {
	r := a.rates[ad]
	if r == nil {
		r = &rate{at: now}
		a.rates[ad] = r
	}
	r.value = r.decayed(now, a.cfg.HalfLife) + float64(n)
	r.at = now
}

// Use takes how often an adapter was used since a process's last report, and how many of its requests run now.
func (a *Allocator) Use(now time.Time, process, engineID string, ad tracker.Adapter, starts, running int) {
	if starts > 0 {
		a.used(now, ad, starts)
	}
	e := a.engines[engineID]
	if e == nil || e.slots[ad] == nil {
		return
	}
	s := e.slots[ad]
	if running <= 0 {
		delete(s.inUse, process)
		return
	}
	if s.inUse == nil {
		s.inUse = make(map[string]int)
	}
	s.inUse[process] = running
}

// Forget drops what a process reported as running, since it is gone.
func (a *Allocator) Forget(process string) {
	for _, e := range a.engines {
		for _, s := range e.slots {
			delete(s.inUse, process)
		}
	}
}

func (r *rate) decayed(now time.Time, halfLife time.Duration) float64 {
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(halfLife))
}

func (a *Allocator) rate(now time.Time, ad tracker.Adapter) float64 {
	if r := a.rates[ad]; r != nil {
		return r.decayed(now, a.cfg.HalfLife)
	}
	return 0
}

// Missing takes note that an engine denied holding an adapter. It may hold another version of it, or may have loaded it
// since, so that its place isn't free before the engine has been asked.
func (a *Allocator) Missing(engineID string, ad tracker.Adapter) {
	e := a.engines[engineID]
	if e == nil || e.slots[ad] == nil || e.slots[ad].state != resident && e.slots[ad].state != retiring {
		return
	}
	a.touched[engineID] = true
	e.slots[ad].state = doubtful
	e.synced = false
}

// Loaded ends a load; what is wanted still is placed again.
func (a *Allocator) Loaded(now time.Time, o Order, out Outcome) {
	e := a.engines[o.Engine]
	if e == nil {
		return
	}
	a.touched[o.Engine] = true
	if o.Adapter.Name == "" {
		e.fetching = ""
		if out == Done {
			e.models[o.Adapter.Model] = o.Version
		}
		return
	}
	e.busy = max(e.busy-1, 0)
	s := e.slots[o.Adapter]
	if s == nil || s.state != loading {
		return
	}
	switch out {
	case Done:
		a.learn(e, s.fetched, o.Took)
		s.state, s.since, s.version = resident, now, o.Version
		a.hold(e, o.Adapter)
	case Undone:
		if o.Cause == Newer {
			// The engine still holds the older version.
			s.state, s.since = retiring, now
			return
		}
		delete(e.slots, o.Adapter)
		a.want(now, o.want, o.due)
	case Doubtful:
		s.state, s.since = doubtful, now
		a.want(now, o.want, o.due)
	}
}

// Evicted ends an eviction; after one that wasn't carried out the adapter stays.
func (a *Allocator) Evicted(now time.Time, o Order, out Outcome) {
	e := a.engines[o.Engine]
	if e == nil || e.slots[o.Evict] == nil || e.slots[o.Evict].state != evicting {
		return
	}
	a.touched[o.Engine] = true
	s := e.slots[o.Evict]
	s.since = now
	switch out {
	case Done:
		delete(e.slots, o.Evict)
	case Undone:
		s.state = resident
	case Doubtful:
		s.state = doubtful
	}
}
