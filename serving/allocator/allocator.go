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
	// DefaultMaxLoadsPerEngine is the default of Config.MaxLoadsPerEngine.
	DefaultMaxLoadsPerEngine = 4
	// DefaultHalfLife is the default of Config.HalfLife.
	DefaultHalfLife = 8 * time.Second
	// wantTTL is how long a Want is valid; its sender repeats it while requests wait.
	wantTTL = time.Second
	// ReportLag is the longest time by which an engine's report may lag behind the effect of orders.
	ReportLag = 700 * time.Millisecond
	// minCopyUses is the decayed count of uses above which one more copy saves more than it costs: about one use a
	// second at the default half-life.
	minCopyUses = 12
	// initialFetchTime is the assumed time of a load from the store until one has been measured.
	initialFetchTime = 250 * time.Millisecond
	// versionWait is the deadline for loading a newer version: entries use older versions for that long after it was
	// announced.
	versionWait = time.Second
	// holderWait is how long an adapter waits for an engine that held it recently: less than a fetch from the store
	// takes another engine.
	holderWait = 100 * time.Millisecond
	// minCopyUseRatio is how many times more the new copy of an adapter must be used than the victim, so that two
	// adapters don't evict each other in turn.
	minCopyUseRatio = 2
	// useReportDelay protects a loaded or draining adapter from eviction until entries have reported its uses; they
	// report every 100 ms, and requests that waited for it are sent at once.
	useReportDelay = 250 * time.Millisecond
)

// Config holds the limits of an Allocator.
type Config struct {
	// MaxLoadsPerEngine limits the loads in flight at one engine.
	MaxLoadsPerEngine int
	// HalfLife is the half-life of the decayed counts of uses that choose the victims of evictions.
	HalfLife time.Duration
}

// Order tells an engine to load an adapter, after evicting another one if needed.
type Order struct {
	Engine  string
	Adapter tracker.Adapter
	Version int
	// Evict is the adapter to evict first; none if its name is empty.
	Evict tracker.Adapter
	// ExpectedOnDisk reports that the engine held the adapter recently and loads it faster, from its own disk.
	ExpectedOnDisk bool
	// ExpectedLoadTime is the expected load time of a base model, 0 for adapters.
	ExpectedLoadTime time.Duration
	// LoadTime is the measured load time, set once the load has ended.
	LoadTime time.Duration
	// Cause is why the adapter is loaded, Waited how long it had been wanted.
	Cause    Cause
	Waited   time.Duration
	want     wantKey
	deadline time.Time
}

// Cause is why an adapter is loaded.
type Cause string

// The causes of a load.
const (
	// CauseFirst means that no engine held the adapter recently.
	CauseFirst Cause = "first"
	// CauseReloaded means that the engine held it recently.
	CauseReloaded Cause = "back"
	// CauseHolderUnavailable means that engines held it recently but can't load it now.
	CauseHolderUnavailable Cause = "away"
	// CauseCopy means that one more engine gets the adapter.
	CauseCopy Cause = "copy"
	// CauseNewVersion means that the engine holds an older version.
	CauseNewVersion Cause = "newer"
)

// Want requests an adapter on behalf of a data centre.
type Want struct {
	Service string
	Adapter tracker.Adapter
	Zone    string
	// Copy requests one more copy of an adapter that is loaded already, in this data centre or to share the load.
	Copy bool
	// Deadline is the deadline for the start of the waiting request's answer.
	Deadline time.Time
	// ExcludedEngines lists engines that hold the adapter and did not answer.
	ExcludedEngines []string
	// Software is the only software version of engines that the waiting request can use, "" for any.
	Software string
}

type state int

const (
	loading state = iota
	resident
	evicting
	// unconfirmed is an adapter that the engine may hold or be loading; it occupies a slot until the engine reports.
	unconfirmed
	// draining is an adapter of an older version that gets no new requests.
	draining
)

// slot is the state of an adapter at an engine.
type slot struct {
	version int
	state   state
	since   time.Time
	inUse   map[string]int
	// running is the sum of inUse.
	running int
	// fromStore reports that the adapter is fetched from the store, not loaded from the engine's own disk.
	fromStore bool
}

type engine struct {
	tracker.Instance
	capacity Capacity
	slots    map[tracker.Adapter]*slot
	// onDisk holds the adapters that the engine is assumed to have on its own disk, the last loaded one at the end.
	onDisk *simplelru.LRU[tracker.Adapter, struct{}]
	// models maps the base models that it holds to their versions; loadingModel is the one being loaded.
	models        map[string]int
	loadingModel  string
	loadsInFlight int
	// running is the number of requests that run there, room what it has room for; survey updates both.
	running int
	room    room
	// speed is its speed in relation to its service's median, 0 if unknown.
	speed float64
	// synced reports that slots covers everything that the engine holds, so that orders can't exceed its capacity.
	synced bool
	// syncedAt is when the last report was applied.
	syncedAt time.Time
	// mayHoldOneMore is set if the last report may count one load that it doesn't list.
	mayHoldOneMore bool
}

// Outcome is how an order ended.
type Outcome int

// The outcomes of orders.
const (
	// Done means that the engine confirmed it.
	Done Outcome = iota
	// NotExecuted means that the engine did not and will not carry it out.
	NotExecuted
	// Unconfirmed means that the engine may or may not have carried it out.
	Unconfirmed
)

// useCount is a decayed count of uses.
type useCount struct {
	value float64
	at    time.Time
}

type wantKey struct {
	service string
	adapter tracker.Adapter
	zone    string
	isCopy  bool
	// software is the only software version of engines that the waiting request can use, "" for any.
	software string
}

// fits reports whether an engine may serve the request that waits.
func (k wantKey) fits(e *engine) bool {
	return e.Service == k.service && (k.software == "" || e.Software == k.software)
}

// Capacity is what the engines of a service may hold.
type Capacity struct {
	// Adapters is the number of adapters at one engine.
	Adapters int
	// Models are the service's base models; an engine that holds none is ordered to load one.
	Models []matcher.Model
	// LoadsPerSecond limits the rate at which loads of base models start, over all engines.
	LoadsPerSecond float64
}

// Allocator assigns adapters to engines; it is not safe for concurrent use.
type Allocator struct {
	cfg           Config
	lastModelLoad time.Time
	// fastestFetch is the shortest fetch time measured, fetchLimitPerEngine the limit on fetches in flight per
	// engine, adapted to the measured times.
	fastestFetch        time.Duration
	fetchLimitPerEngine float64
	// window holds the fetches measured since the limit was adapted last.
	window struct {
		n       int
		fastest time.Duration
	}
	// diskFactor is how many adapters an engine loads from its own disk, per adapter that it can hold at once.
	diskFactor float64
	engines    map[string]*engine
	useCounts  map[tracker.Adapter]*useCount
	versions   map[tracker.Adapter]int
	wants      map[wantKey]wantState
	// restoredHoldings are the loads that an earlier Allocator recorded, by start of an engine, newHoldings those since
	// TakeNewHoldings.
	restoredHoldings map[tracker.Key][]tracker.Adapter
	newHoldings      map[tracker.Key][]tracker.Adapter
	// changedEngines are the engines whose residents may have changed.
	changedEngines map[string]bool
	// copiesCheckedAt is when requestCopies ran last.
	copiesCheckedAt time.Time
	// holders are the engines with a slot for each adapter, diskHolders those that are assumed to have it on disk.
	holders, diskHolders index
	// open are the engines with room, running the number of requests at all engines, fetching that of fetches in flight; survey
	// updates them.
	open     []*engine
	running  int
	fetching int
}

// index holds the engines of each adapter.
type index map[tracker.Adapter][]*engine

func (x index) add(ad tracker.Adapter, e *engine) { x[ad] = append(x[ad], e) }

func (x index) remove(ad tracker.Adapter, e *engine) {
	list := slices.DeleteFunc(x[ad], func(o *engine) bool { return o == e })
	if x[ad] = list; len(list) == 0 {
		delete(x, ad)
	}
}

// wantState holds when an adapter was first and last requested, and the latest deadline of the waiting requests.
type wantState struct {
	since, last, deadline time.Time
	// excluded are engines that did not answer the waiting requests.
	excluded []string
}

// New returns an Allocator without engines.
func New(cfg Config) *Allocator {
	if cfg.MaxLoadsPerEngine <= 0 {
		cfg.MaxLoadsPerEngine = DefaultMaxLoadsPerEngine
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	return &Allocator{
		cfg: cfg, fetchLimitPerEngine: initialFetchesPerEngine, diskFactor: initialDiskFactor,
		engines: make(map[string]*engine), useCounts: make(map[tracker.Adapter]*useCount),
		versions: make(map[tracker.Adapter]int), wants: make(map[wantKey]wantState),
		restoredHoldings: make(map[tracker.Key][]tracker.Adapter), newHoldings: make(map[tracker.Key][]tracker.Adapter),
		changedEngines: make(map[string]bool), holders: make(index), diskHolders: make(index),
	}
}

// SetEngine adds or updates an engine and its capacity; no adapter is ordered there before Sync.
func (a *Allocator) SetEngine(in tracker.Instance, capacity Capacity) {
	e, ok := a.engines[in.Key.ID]
	if !ok || e.Key != in.Key {
		a.RemoveEngine(in.Key.ID)
		e = &engine{slots: make(map[tracker.Adapter]*slot), models: make(map[string]int)}
		e.onDisk = a.newDiskCache(e, a.diskSize(capacity))
		for _, ad := range a.restoredHoldings[in.Key] {
			a.addToDisk(e, ad)
		}
		a.engines[in.Key.ID] = e
		a.changedEngines[in.Key.ID] = true
	}
	e.Instance, e.capacity = in, capacity
	e.onDisk.Resize(a.diskSize(capacity))
}

// Sync applies an engine's report of what it holds and what it is loading; confirmed changes within the last ReportLag
// override it. The engine gets orders if the report is complete: it shows the effect of all orders that it counts. Then
// a load whose outcome is unknown has no place there unless it is listed: orders expect the report's count, so that
// either the load or a later order is executed.
func (a *Allocator) Sync(now time.Time, id string, residents, pending []tracker.Resident, isComplete bool) {
	e := a.engines[id]
	if e == nil {
		return
	}
	a.changedEngines[id] = true
	e.synced, e.syncedAt, e.mayHoldOneMore = isComplete, now, false
	clear(e.models)
	listed := make(map[tracker.Adapter]state, len(residents)+len(pending))
	for _, r := range pending {
		listed[r.Adapter] = unconfirmed
		a.applyReport(now, e, r, unconfirmed)
	}
	for _, r := range residents {
		if r.Adapter.Name == "" {
			e.models[r.Adapter.Model] = r.Version
			continue
		}
		listed[r.Adapter] = resident
		a.applyReport(now, e, r, resident)
	}
	for ad, s := range e.slots {
		if _, ok := listed[ad]; ok {
			continue
		}
		isOld := now.Sub(s.since) > ReportLag
		if (s.state == resident || s.state == draining) && isOld || s.state == unconfirmed && (isComplete || isOld) {
			a.removeSlot(e, ad)
		}
	}
}

// applyReport records an adapter that an engine reports, unless an order in flight will update it.
func (a *Allocator) applyReport(now time.Time, e *engine, r tracker.Resident, reported state) {
	s := e.slots[r.Adapter]
	switch {
	case s == nil:
		a.addSlot(e, r.Adapter, &slot{version: r.Version, state: reported, since: now})
	case s.state == unconfirmed, s.state == resident:
		s.state, s.version = reported, r.Version
	}
	if reported == resident && !e.onDisk.Contains(r.Adapter) {
		a.recordLoad(e, r.Adapter)
	}
}

// Unsync marks what an engine holds as unknown.
func (a *Allocator) Unsync(id string) {
	if e := a.engines[id]; e != nil {
		e.synced = false
	}
}

// Unsynced returns the IDs of the engines whose residents must be queried, sorted.
func (a *Allocator) Unsynced(now time.Time) []string {
	var out []string
	for id, e := range a.engines {
		if !e.Leaving && (!e.synced || e.isUnsettled() && now.Sub(e.syncedAt) > ReportLag) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// occupied returns the number of slots in use; each one being evicted is counted with the load that takes its place.
func (e *engine) occupied() int {
	n := 0
	for _, s := range e.slots {
		if s.state != evicting {
			n++
		}
	}
	if e.mayHoldOneMore && n < e.capacity.Adapters {
		n++
	}
	return n
}

// ExpectOneMore keeps one slot free at an engine until its next report: the last one may count a load that an earlier
// leader ordered, before it lists the adapter.
func (a *Allocator) ExpectOneMore(id string) {
	if e := a.engines[id]; e != nil {
		e.mayHoldOneMore = true
	}
}

// isUnsettled reports whether only a newer report tells what the engine holds: it was loading an adapter that nobody here
// ordered, the last report may be incomplete, or the engine seems to hold more than it can, some of which must be gone.
func (e *engine) isUnsettled() bool {
	if e.mayHoldOneMore || e.capacity.Adapters > 0 && e.occupied() > e.capacity.Adapters {
		return true
	}
	for _, s := range e.slots {
		if s.state == unconfirmed {
			return true
		}
	}
	return false
}

// RemoveEngine removes an engine.
func (a *Allocator) RemoveEngine(id string) {
	e := a.engines[id]
	if e == nil {
		return
	}
	for ad := range e.slots {
		a.holders.remove(ad, e)
	}
	e.onDisk.Purge()
	delete(a.engines, id)
}

func (a *Allocator) addSlot(e *engine, ad tracker.Adapter, s *slot) {
	e.slots[ad] = s
	a.holders.add(ad, e)
}

func (a *Allocator) removeSlot(e *engine, ad tracker.Adapter) {
	delete(e.slots, ad)
	a.holders.remove(ad, e)
}

// TakeChanged returns the IDs of engines whose residents may have changed since the last call, sorted.
func (a *Allocator) TakeChanged() []string {
	if len(a.changedEngines) == 0 {
		return nil
	}
	out := slices.Sorted(maps.Keys(a.changedEngines))
	clear(a.changedEngines)
	return out
}

// Residents returns the base models and adapters at an engine that requests may use, sorted by adapter name.
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

// Want records a request for an adapter; it counts as a use, since the waiting requests will use it.
func (a *Allocator) Want(now time.Time, w Want) {
	k := wantKey{w.Service, w.Adapter, w.Zone, w.Copy, w.Software}
	a.recordWant(now, k, w.Deadline)
	if len(w.ExcludedEngines) > 0 {
		v := a.wants[k]
		v.excluded = w.ExcludedEngines
		a.wants[k] = v
	}
	if !w.Copy {
		a.addUses(now, w.Adapter, 1)
	}
}

func (a *Allocator) recordWant(now time.Time, k wantKey, deadline time.Time) {
	v, ok := a.wants[k]
	if !ok {
		v.since = now
	}
	v.last = now
	if deadline.After(v.deadline) {
		v.deadline = deadline
	}
	a.wants[k] = v
}

// addUses adds to an adapter's decayed count of uses.
func (a *Allocator) addUses(now time.Time, ad tracker.Adapter, n int) {
	u := a.useCounts[ad]
	if u == nil {
		u = &useCount{at: now}
		a.useCounts[ad] = u
	}
	u.value = u.decayed(now, a.cfg.HalfLife) + float64(n)
	u.at = now
}

// RecordUse records how often an adapter was used since a process's last report, and how many of its requests are running.
func (a *Allocator) RecordUse(now time.Time, process, engineID string, ad tracker.Adapter, starts, running int) {
	if starts > 0 {
		a.addUses(now, ad, starts)
	}
	e := a.engines[engineID]
	if e == nil || e.slots[ad] == nil {
		return
	}
	e.slots[ad].setRunning(process, running)
}

// setRunning sets how many of a process's requests use the adapter.
func (s *slot) setRunning(process string, n int) {
	s.running += max(n, 0) - s.inUse[process]
	if n <= 0 {
		delete(s.inUse, process)
		return
	}
	if s.inUse == nil {
		s.inUse = make(map[string]int)
	}
	s.inUse[process] = n
}

// RemoveReporter drops the running requests reported by a process that ended.
func (a *Allocator) RemoveReporter(process string) {
	for _, e := range a.engines {
		for _, s := range e.slots {
			s.setRunning(process, 0)
		}
	}
}

func (u *useCount) decayed(now time.Time, halfLife time.Duration) float64 {
	return u.value * math.Exp2(-float64(now.Sub(u.at))/float64(halfLife))
}

func (a *Allocator) uses(now time.Time, ad tracker.Adapter) float64 {
	if u := a.useCounts[ad]; u != nil {
		return u.decayed(now, a.cfg.HalfLife)
	}
	return 0
}

// RecordMissing records an engine's report that it lacks an adapter. The engine may hold another version or have loaded
// it since, so the slot isn't free before the engine's next report.
func (a *Allocator) RecordMissing(engineID string, ad tracker.Adapter) {
	e := a.engines[engineID]
	if e == nil || e.slots[ad] == nil || e.slots[ad].state != resident && e.slots[ad].state != draining {
		return
	}
	a.changedEngines[engineID] = true
	e.slots[ad].state = unconfirmed
	e.synced = false
}

// EndLoad records the end of a load; a load that failed or may have failed is wanted again.
func (a *Allocator) EndLoad(now time.Time, o Order, out Outcome) {
	e := a.engines[o.Engine]
	if e == nil {
		return
	}
	a.changedEngines[o.Engine] = true
	if o.Adapter.Name == "" {
		e.loadingModel = ""
		if out == Done {
			e.models[o.Adapter.Model] = o.Version
		}
		return
	}
	e.loadsInFlight = max(e.loadsInFlight-1, 0)
	s := e.slots[o.Adapter]
	if s == nil || s.state != loading {
		return
	}
	switch out {
	case Done:
		a.recordLoadTime(e, s.fromStore, o.LoadTime)
		s.state, s.since, s.version = resident, now, o.Version
		a.recordLoad(e, o.Adapter)
	case NotExecuted:
		if o.Cause == CauseNewVersion {
			// The engine still holds the older version.
			s.state, s.since = draining, now
			return
		}
		a.removeSlot(e, o.Adapter)
		a.recordWant(now, o.want, o.deadline)
	case Unconfirmed:
		s.state, s.since = unconfirmed, now
		a.recordWant(now, o.want, o.deadline)
	}
}

// EndEviction records the end of an eviction; an adapter that was not evicted stays.
func (a *Allocator) EndEviction(now time.Time, o Order, out Outcome) {
	e := a.engines[o.Engine]
	if e == nil || e.slots[o.Evict] == nil || e.slots[o.Evict].state != evicting {
		return
	}
	a.changedEngines[o.Engine] = true
	s := e.slots[o.Evict]
	s.since = now
	switch out {
	case Done:
		a.removeSlot(e, o.Evict)
	case NotExecuted:
		s.state = resident
	case Unconfirmed:
		s.state = unconfirmed
	}
}
