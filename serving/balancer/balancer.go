package balancer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"redwingstage.org/serving/prefixer"
	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/tracker"
)

const (
	// remotePenalty is the load, as a share of a server's slots, at which a server in another data centre is preferred.
	remotePenalty = 0.25
	// highLoad is the load, as a share of a server's slots, above which one more copy of an adapter is requested.
	highLoad = 0.5
	// prefillPenalty is the load that a full prefill limit counts for.
	prefillPenalty = 0.3
	// failurePenalty weighs a server's recent failure rate against load.
	failurePenalty = 3.0
	// failureDecay is the weight of the latest answer in the failure rate.
	failureDecay = 0.15
	// minEjection and maxEjection limit how long an unreachable server gets no requests.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxRequestsPerSlot limits the requests of all entries at a server: those beyond its slots wait there, and servers
	// queue a few times as many as they run.
	maxRequestsPerSlot = 2.5
	// entriesPerServer is how many entries, if there are as many, consider the same server: with more entries each
	// considers a random part of the servers, so that they don't all choose the one with the least reported load.
	entriesPerServer = 8
	// defaultSlots is assumed for servers that don't report how many requests they run at once.
	defaultSlots = 4
	// oldVersionGrace is how long an engine's older version of an adapter may be used after a newer one was announced.
	// Callers may get the older one for 5 s, and a request may wait at its engine for as long as its caller waits, 4 s
	// at most.
	oldVersionGrace = time.Second
)

// Result is how an attempt at a server ended.
type Result int

// The results.
const (
	// OK means that the server answered.
	OK Result = iota
	// Rejected means that the server did not run the request.
	Rejected
	// Failed means that the answer was malformed, missing or a server error.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// NoEvidence means that the attempt is no evidence about the server, as when the caller disconnected.
	NoEvidence
)

// Request describes the server that a request needs.
type Request struct {
	Service string
	// Adapter is empty for plain services, and has no name for a base model.
	Adapter tracker.Adapter
	Zone    string
	// Except holds the IDs of servers that must not be chosen.
	Except map[string]bool
	// Ticket is the request's place in the queue, nil if it has none.
	Ticket *Ticket
	// Tokens is the length of the prompt, MaxPause the longest pause of the service's streams. With IgnorePrefillLimit
	// the prompt may go to an engine that is still prefilling others if no other engine is available.
	Tokens             int
	MaxPause           time.Duration
	IgnorePrefillLimit bool
	// Memory is the room that the request needs at an engine, in tokens of its prompt and its expected answer; 0 if unknown.
	Memory int
	// Priority is the request's priority; 0 is the most urgent. Deadline is when its caller leaves.
	Priority int
	Deadline time.Time
	// Prompt is the request's prompt, as far as engines may have cached its beginning.
	Prompt Prompt
	// Arrived is when the request came. Capacity is the memory of an engine in tokens, 0 if unknown; Room is the request's
	// wait for room there, nil if it doesn't wait.
	Arrived  time.Time
	Capacity int
	Room     *RoomTicket
	// Software is the only software version of a server that may take the request if OnlySoftware is set.
	Software     string
	OnlySoftware bool
}

// mayTake reports whether the server's software version is one that may take the request.
func (r *Request) mayTake(s *server) bool { return !r.OnlySoftware || s.Software == r.Software }

// Choice is the server for one attempt.
type Choice struct {
	tracker.Instance
	// Version is the version of the adapter that the server holds, or 0.
	Version int
	// HighLoad reports that the server's load is above highLoad.
	HighLoad bool
	// Running is the number of requests at the server known to this entry, including this one.
	Running int
	// PrefillTokens is the number of prompt tokens of long prompts that the server was already prefilling.
	PrefillTokens int
	pickedAt      time.Time
	// Cached is the number of tokens of the prompt that the server is believed to have cached.
	Cached int
	// pendingPrefill is the request's own prompt tokens until the server has prefilled them.
	pendingPrefill *int
	// memory is the room that the request takes there.
	memory int
}

// PickStatus is the outcome of Pick.
type PickStatus int

// The outcomes of Pick.
const (
	// Picked means that a server was chosen.
	Picked PickStatus = iota
	// NotLoaded means that no usable server holds the adapter.
	NotLoaded
	// LimitReached means that the request limit of all usable servers is reached, or that earlier requests are queued.
	LimitReached
	// NoServer means that the service has no usable server.
	NoServer
	// PrefillBusy means that all usable servers are prefilling other prompts.
	PrefillBusy
	// NoRoom means that the memory of all usable servers is taken, or that earlier requests wait for it.
	NoRoom
)

type server struct {
	tracker.Instance
	residents map[tracker.Adapter]int
	running   int
	// prefill is the number of this entry's long-prompt tokens that the server is prefilling.
	prefill            int
	reportedLoad       Load
	otherEntriesLoad   Load
	otherEntriesLoadAt time.Time
	failureRate        float64
	ejectedUntil       time.Time
	ejectionTime       time.Duration
	// pausedUntil is the time until which the server wants no requests of this entry.
	pausedUntil time.Time
	uses        map[tracker.Adapter]*Use
	// others forecasts the requests of other entries, sumRefusals is the last reported sum of recent refusals.
	others      forecast
	sumRefusals int
	// refusedShare is the share of this entry's requests that the server refused, as of shareAt; refusals counts the recent
	// ones, the last at refusedAt.
	refusedShare float64
	shareAt      time.Time
	refusedAt    time.Time
	refusals     recentCount
	// pace is this entry's part of the requests to a brittle server, paceShare the share of brittleLoad that all entries send.
	pace      paceState
	paceShare float64
	speed     speed
	// memory is the tokens that this entry's requests hold there, claimed those that its waiting requests claim.
	memory, claimed int
}

// Use counts the requests for an adapter at a server started since the last report, and those running.
type Use struct {
	Engine  string
	Adapter tracker.Adapter
	Starts  int
	Running int
	dirty   bool
}

type version struct {
	number int
	since  time.Time
}

// Balancer chooses servers; it is safe for concurrent use.
type Balancer struct {
	mu          sync.Mutex
	servers     map[string]*server
	services    map[string]map[string]*server
	leavingKeys map[tracker.Key]bool
	// versions are the announced versions of adapters, in order; of those from before oldVersionGrace only the last one.
	versions     map[tracker.Adapter][]version
	waiters      map[tracker.Adapter]chan struct{}
	queues       map[string]*queue
	prefillRates map[string]*prefillRate
	// stays and admissions are kept by service.
	stays      map[string]*stays
	admissions map[string]*admission
	// prefixes are the cached beginnings of prompts, by service.
	prefixes map[string]*prefixer.Index
	// mustReport are the servers with reported work that were removed or restarted, or whose reports may be lost.
	mustReport map[string]bool
	entries    int
	// latest is the latest time that the balancer was told, sumsAt when it was last told sums of loads.
	latest  time.Time
	sumsAt  time.Time
	samples *profiler.Collector
	rooms   map[string]*roomState
	// brittle are the services whose servers fall over after refusals.
	brittle map[string]brittleness
	// randIntN returns a random number in [0, n).
	randIntN func(n int) int
}

// New returns a Balancer without servers.
func New() *Balancer {
	return &Balancer{
		servers: make(map[string]*server), services: make(map[string]map[string]*server),
		leavingKeys: make(map[tracker.Key]bool), versions: make(map[tracker.Adapter][]version),
		waiters: make(map[tracker.Adapter]chan struct{}), queues: make(map[string]*queue), prefillRates: make(map[string]*prefillRate), mustReport: make(map[string]bool),
		stays: make(map[string]*stays), admissions: make(map[string]*admission), prefixes: make(map[string]*prefixer.Index), samples: profiler.NewCollector(), rooms: make(map[string]*roomState), brittle: make(map[string]brittleness), entries: 1, randIntN: rand.IntN,
	}
}

// Set adds or updates servers; their residents are applied only if complete is set and the list isn't empty, which
// means unknown: engines hold a base model at least.
func (b *Balancer) Set(list []tracker.Instance, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, in := range list {
		s := b.servers[in.Key.ID]
		switch {
		case s != nil && s.Key.StartedMS > in.Key.StartedMS:
			continue
		case s == nil || s.Key != in.Key:
			b.remove(in.Key.ID)
			s = &server{residents: make(map[tracker.Adapter]int), uses: make(map[tracker.Adapter]*Use), paceShare: 1}
			b.servers[in.Key.ID] = s
		case s.Service != in.Service:
			delete(b.services[s.Service], in.Key.ID)
		}
		in.Leaving = in.Leaving || b.leavingKeys[in.Key]
		s.Instance = in
		if b.services[in.Service] == nil {
			b.services[in.Service] = make(map[string]*server)
		}
		b.services[in.Service][in.Key.ID] = s
		if complete && len(in.Residents) > 0 {
			old := maps.Clone(s.residents)
			clear(s.residents)
			for _, r := range in.Residents {
				if old[r.Adapter] != r.Version {
					b.forgetAdapterPrompts(s, r.Adapter)
				}
				s.residents[r.Adapter] = r.Version
				b.notifyWaiters(r.Adapter)
			}
		}
	}
}

// Softwares returns the software versions of a service's servers, and whether one of each accepts requests.
func (b *Balancer) Softwares(service string) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]bool)
	for _, s := range b.services[service] {
		out[s.Software] = out[s.Software] || !s.Leaving
	}
	return out
}

// Remove removes servers.
func (b *Balancer) Remove(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		b.remove(id)
	}
}

func (b *Balancer) remove(id string) {
	if s := b.servers[id]; s != nil {
		if s.hasReported() {
			b.mustReport[id] = true
		}
		b.forgetPrompts(s)
		delete(b.services[s.Service], id)
		delete(b.servers, id)
	}
}

// MarkLeaving permanently stops new requests to a start of a server; a key with StartedMS 0 means the current start.
func (b *Balancer) MarkLeaving(keys []tracker.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range keys {
		s := b.servers[k.ID]
		if s != nil && k.StartedMS == 0 && !b.leavingKeys[k] {
			b.leavingKeys[s.Key] = true
		}
		b.leavingKeys[k] = true
		if s != nil && b.leavingKeys[s.Key] {
			s.Leaving = true
		}
	}
}

// Pause stops new requests to a start of a server until a time.
func (b *Balancer) Pause(k tracker.Key, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[k.ID]
	if s != nil && s.Key == k && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// AddResident records that a server now holds a version of an adapter.
func (b *Balancer) AddResident(id string, ad tracker.Adapter, version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		if old, ok := s.residents[ad]; !ok || old != version {
			b.forgetAdapterPrompts(s, ad)
		}
		s.residents[ad] = version
		b.notifyWaiters(ad)
	}
}

// RemoveResident records that a server no longer holds an adapter.
func (b *Balancer) RemoveResident(id string, ad tracker.Adapter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		b.forgetAdapterPrompts(s, ad)
		delete(s.residents, ad)
	}
}

// SetVersions records the versions in force of adapters.
func (b *Balancer) SetVersions(now time.Time, list []tracker.Resident) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		list := b.versions[r.Adapter]
		if n := len(list); n > 0 && r.Version <= list[n-1].number {
			continue
		}
		list = append(list, version{number: r.Version, since: now})
		for len(list) > 1 && now.Sub(list[1].since) >= oldVersionGrace {
			list = list[1:]
		}
		b.versions[r.Adapter] = list
	}
}

// SetEntries sets how many entries share the servers.
func (b *Balancer) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
}

// Entries returns how many entries share the servers.
func (b *Balancer) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries
}

// Servers returns all servers, without their residents.
func (b *Balancer) Servers() []tracker.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]tracker.Instance, 0, len(b.servers))
	for _, s := range b.servers {
		in := s.Instance
		in.Residents = nil
		out = append(out, in)
	}
	return out
}

// IsKnown reports whether an incarnation of a server is known.
func (b *Balancer) IsKnown(k tracker.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[k.ID]
	return s != nil && s.Key == k
}

// IsLeaving reports whether a start of a server leaves or has left.
func (b *Balancer) IsLeaving(k tracker.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[k.ID]
	return s == nil || s.Key != k || s.Leaving
}

// Pick returns the server for a request and counts the request as running there until End, which must follow.
func (b *Balancer) Pick(now time.Time, req Request) (Choice, PickStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(now)
	if q := b.queues[req.Service]; q != nil && q.isBehind(req.Adapter, req.Ticket) {
		return Choice{}, LimitReached
	}
	if b.mustWaitForRoom(now, &req) {
		return Choice{}, NoRoom
	}
	usable, status := b.usableServers(now, req)
	usable, ok := b.spreadByRoom(now, &req, usable)
	if !ok {
		status = NoRoom
	}
	best := b.selectServer(now, req, usable)
	if best == nil {
		b.claimRoom(now, &req)
		return Choice{}, status
	}
	b.spendPace(now, best)
	c := Choice{Instance: best.Instance, pickedAt: now, PrefillTokens: b.totalPrefill(now, best)}
	best.running++
	b.takeRoom(now, best, &req, &c)
	c.Cached = b.held(now, best, req)
	if tokens := max(req.Tokens-c.Cached, 0); b.isLongPrompt(req, tokens) {
		best.prefill += tokens
		c.pendingPrefill = &tokens
	}
	c.Running, c.HighLoad = b.totalRunning(now, best), b.loadOf(now, best, &req) > highLoad
	if req.Adapter.Model != "" {
		c.Version = best.residents[req.Adapter]
	}
	if req.Adapter.Name != "" {
		u := best.use(req.Adapter)
		u.Starts++
		u.Running++
		u.dirty = true
	}
	return c, Picked
}

// usableServers returns the servers that may take a request, by ID, or why there is none.
func (b *Balancer) usableServers(now time.Time, req Request) ([]*server, PickStatus) {
	status := NoServer
	var out []*server
	for _, s := range b.services[req.Service] {
		if v := b.status(now, s, req); v == Picked {
			out = append(out, s)
		} else if statusPrecedence[v] > statusPrecedence[status] {
			status = v
		}
	}
	slices.SortFunc(out, func(x, y *server) int { return strings.Compare(x.Key.ID, y.Key.ID) })
	return out, status
}

// statusPrecedence orders the statuses of servers; Pick returns the highest one.
var statusPrecedence = map[PickStatus]int{NoServer: 0, NotLoaded: 1, PrefillBusy: 2, LimitReached: 3, NoRoom: 4}

// status returns Picked if a server may take the request, otherwise why not.
func (b *Balancer) status(now time.Time, s *server, req Request) PickStatus {
	switch {
	case s.Leaving || req.Except[s.Key.ID] || !req.mayTake(s):
		return NoServer
	case req.Adapter.Model != "" && !b.hasUsableVersion(now, s, req.Adapter):
		return NotLoaded
	case b.isFull(now, s, req), now.Before(s.pausedUntil), b.isPaced(now, s):
		return LimitReached
	case b.lacksRoom(now, s, req):
		return NoRoom
	case b.mustWaitForPrefill(now, s, req):
		return PrefillBusy
	}
	return Picked
}

func (s *server) use(ad tracker.Adapter) *Use {
	u := s.uses[ad]
	if u == nil {
		u = &Use{Engine: s.Key.ID, Adapter: ad}
		s.uses[ad] = u
	}
	return u
}

// hasUsableVersion reports whether a server holds a version of the adapter that callers may get.
func (b *Balancer) hasUsableVersion(now time.Time, s *server, ad tracker.Adapter) bool {
	have, ok := s.residents[ad]
	if !ok {
		return false
	}
	if ad.Name == "" {
		return true
	}
	for _, v := range b.versions[ad] {
		if v.number > have {
			return now.Sub(v.since) < oldVersionGrace
		}
	}
	return true
}

// load returns a server's load as a share of its slots.
func (b *Balancer) load(now time.Time, s *server) float64 {
	if b.isCrowded() {
		return b.expectedLoad(now, s)
	}
	return float64(b.totalRunning(now, s)) / float64(s.slots())
}

// isFull reports whether a server has as many requests as all entries together may have there: enough to keep it busy,
// too few to overflow its queue. Without fresh loads of the others, each entry may use an equal part of the limit. With
// many entries, sums of short requests say little of what is there now, and plain servers refuse what is too much.
func (b *Balancer) isFull(now time.Time, s *server, req Request) bool {
	limit := math.Ceil(maxRequestsPerSlot * float64(s.slots()))
	switch fresh := b.hasFreshLoads(now, s); {
	case b.isCrowded() && req.Adapter.Model == "" && (!fresh || !b.sumsAreCurrent(s.Service)):
		return false
	case fresh && b.isCrowded():
		return float64(s.running)+s.others.last >= limit
	case fresh:
		return float64(b.totalRunning(now, s)) >= limit
	}
	return s.running >= max(int(math.Ceil(limit/float64(b.entries))), 1)
}

// score is lower for the better server; an unreachable one comes after all others.
func (b *Balancer) score(now time.Time, s *server, req Request) float64 {
	score := s.loadBySpeed(b.loadOf(now, s, &req)) + failurePenalty*s.failureRate + b.prefillScore(now, s, req) + b.prefixScore(now, s, req)
	if b.isCrowded() {
		score += b.refusalScore(now, s)
	} else if s.Zone != req.Zone {
		score += remotePenalty
	}
	if now.Before(s.ejectedUntil) {
		score += 1000
	}
	return score
}

// End records how the attempt at a choice ended.
func (b *Balancer) End(now time.Time, c Choice, ad tracker.Adapter, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(now)
	b.queue(c.Service).recordResult(now, r)
	s := b.servers[c.Key.ID]
	if s == nil || s.Key != c.Key {
		return
	}
	s.running = max(s.running-1, 0)
	s.memory = max(s.memory-c.memory, 0)
	s.endPrefill(c)
	s.recordRefusal(now, r)
	b.slowPace(now, s, r)
	b.admission(c.Service).record(now, r)
	if r == OK {
		b.recordStay(c.Service, now.Sub(c.pickedAt))
	}
	if ad.Name != "" {
		u := s.use(ad)
		u.Running = max(u.Running-1, 0)
		u.dirty = true
	}
	switch r {
	case NoEvidence:
	case OK:
		s.failureRate *= 1 - failureDecay
		s.ejectionTime, s.ejectedUntil = 0, time.Time{}
	case Rejected:
		// The server is reachable; whether it would answer well remains open.
		s.ejectionTime, s.ejectedUntil = 0, time.Time{}
	case Failed:
		s.failureRate += failureDecay * (1 - s.failureRate)
	case Unreachable:
		s.failureRate += failureDecay * (1 - s.failureRate)
		s.ejectionTime = min(max(2*s.ejectionTime, minEjection), maxEjection)
		s.ejectedUntil = now.Add(s.ejectionTime)
	}
}

// Uses returns the uses of adapters that changed since the last call.
func (b *Balancer) Uses() []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Use
	for _, s := range b.servers {
		for ad, u := range s.uses {
			if !u.dirty {
				continue
			}
			out = append(out, *u)
			u.Starts, u.dirty = 0, false
			if u.Running == 0 {
				delete(s.uses, ad)
			}
		}
	}
	return out
}
