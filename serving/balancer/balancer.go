package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"redwingstage.org/serving/tracker"
)

const (
	// remotePenalty is the load, as a share of a server's slots, at which a server in another data centre is preferred.
	remotePenalty = 0.25
	// crowdedLoad is the load from which one more copy of an adapter is asked for.
	crowdedLoad = 0.5
	// readingPenalty is the load that as many tokens of prompts count for as a server may be reading at once.
	readingPenalty = 0.3
	// failurePenalty weighs a server's recent share of failures against load.
	failurePenalty = 3.0
	// failureDecay is the weight of the latest answer in the share of failures.
	failureDecay = 0.15
	// minEject and maxEject bound how long a server that can't be reached gets no requests.
	minEject = 500 * time.Millisecond
	maxEject = 4 * time.Second
	// limitFactor is how many requests all entries together may have at a server, in its slots: those beyond the slots wait
	// there, and servers queue a few times as many as they run.
	limitFactor = 2.5
	// rivals is how many entries look at a server at the same time, as far as there are so many: each of more entries looks
	// at a random part of the servers, so that they don't all choose the one that was told to have the least to do.
	rivals = 8
	// defaultSlots stands for servers that don't say how many requests they run at once.
	defaultSlots = 4
	// oldVersionGrace is how long an engine's older version of an adapter may be used after a newer one was named. Callers
	// may get the older one for 5 s, and a request may wait at its engine for as long as its caller waits, 4 s at most.
	oldVersionGrace = time.Second
)

// Result says what a request's end tells of its server.
type Result int

// The results.
const (
	// OK means that the server answered.
	OK Result = iota
	// Rejected means that the server did not run the request.
	Rejected
	// Failed means that the answer was broken, missing or a failure of the server.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Void tells nothing, as when the caller left.
	Void
)

// Ask describes what a request needs.
type Ask struct {
	Service string
	// Adapter is empty for plain services, and has no name for a base model.
	Adapter tracker.Adapter
	Zone    string
	// Except are servers that must not be chosen, by ID.
	Except map[string]bool
	// Ticket is the request's place in the queue, if it has one.
	Ticket *Ticket
	// Tokens is the length of the prompt, Gap the longest pause of the service's streams. Press says that the prompt goes to an
	// engine that is reading others if there is no other.
	Tokens int
	Gap    time.Duration
	Press  bool
}

// Choice is the server for one attempt.
type Choice struct {
	tracker.Instance
	// Version is the version of the adapter that the server holds, or 0.
	Version int
	// Crowded says that the server is loaded well.
	Crowded bool
	// Running is how many requests are at the server, as far as this entry knows, with this one.
	Running int
	// Reading is how many tokens of prompts the server was reading already, as far as prompts take turns.
	Reading int
	// unread are the tokens of the request's own prompt until the server has read them.
	unread *int
}

// Verdict says why there is no choice.
type Verdict int

// The verdicts.
const (
	// Chosen means that there is a choice.
	Chosen Verdict = iota
	// Absent means that no usable server holds the adapter.
	Absent
	// Full means that this entry has as many requests at all usable servers as it may have.
	Full
	// None means that no usable server answers for the service.
	None
	// Occupied means that all usable servers are reading other prompts.
	Occupied
)

type server struct {
	tracker.Instance
	residents map[tracker.Adapter]int
	running   int
	// reading is how many tokens of this entry's prompts the server is reading.
	reading  int
	told     Load
	others   Load
	othersAt time.Time
	failures float64
	ejected  time.Time
	eject    time.Duration
	uses     map[tracker.Adapter]*Use
}

// Use counts the requests of an adapter at a server since the last report, and those that run.
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

// Balancer may be used from several goroutines.
type Balancer struct {
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]map[string]*server
	left     map[tracker.Key]bool
	versions map[tracker.Adapter]version
	waiting  map[tracker.Adapter]chan struct{}
	queues   map[string]*queue
	paces    map[string]*pace
	// ended are servers that went or started anew after this entry had told of work there.
	ended   map[string]bool
	entries int
	// random returns a number from 0 below n.
	random func(n int) int
}

// New returns a Balancer that knows no server.
func New() *Balancer {
	return &Balancer{
		servers: make(map[string]*server), services: make(map[string]map[string]*server),
		left: make(map[tracker.Key]bool), versions: make(map[tracker.Adapter]version),
		waiting: make(map[tracker.Adapter]chan struct{}), queues: make(map[string]*queue), paces: make(map[string]*pace), ended: make(map[string]bool), entries: 1, random: rand.IntN,
	}
}

// Set takes up servers; what they hold counts only if whole is set, and if it is known: engines hold a base model at least.
func (b *Balancer) Set(list []tracker.Instance, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, in := range list {
		s := b.servers[in.Key.ID]
		switch {
		case s != nil && s.Key.Born > in.Key.Born:
			continue
		case s == nil || s.Key != in.Key:
			b.remove(in.Key.ID)
			s = &server{residents: make(map[tracker.Adapter]int), uses: make(map[tracker.Adapter]*Use)}
			b.servers[in.Key.ID] = s
		case s.Service != in.Service:
			delete(b.services[s.Service], in.Key.ID)
		}
		in.Leaving = in.Leaving || b.left[in.Key]
		s.Instance = in
		if b.services[in.Service] == nil {
			b.services[in.Service] = make(map[string]*server)
		}
		b.services[in.Service][in.Key.ID] = s
		if whole && len(in.Residents) > 0 {
			clear(s.residents)
			for _, r := range in.Residents {
				s.residents[r.Adapter] = r.Version
				b.wake(r.Adapter)
			}
		}
	}
}

// Remove forgets servers.
func (b *Balancer) Remove(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		b.remove(id)
	}
}

func (b *Balancer) remove(id string) {
	if s := b.servers[id]; s != nil {
		if s.told.Running+s.told.Reading > 0 {
			b.ended[id] = true
		}
		delete(b.services[s.Service], id)
		delete(b.servers, id)
	}
}

// Leave has a start of a server get no new requests for good; a key without a birth means the start that is known.
func (b *Balancer) Leave(keys []tracker.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range keys {
		s := b.servers[k.ID]
		if s != nil && k.Born == 0 && !b.left[k] {
			b.left[s.Key] = true
		}
		b.left[k] = true
		if s != nil && b.left[s.Key] {
			s.Leaving = true
		}
	}
}

// Hold takes up that a server holds an adapter's version from now on.
func (b *Balancer) Hold(id string, ad tracker.Adapter, version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.residents[ad] = version
		b.wake(ad)
	}
}

// Drop takes up that a server holds an adapter no more.
func (b *Balancer) Drop(id string, ad tracker.Adapter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		delete(s.residents, ad)
	}
}

// SetVersions takes up which versions of adapters are in force.
func (b *Balancer) SetVersions(now time.Time, list []tracker.Resident) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		if r.Version > b.versions[r.Adapter].number {
			b.versions[r.Adapter] = version{number: r.Version, since: now}
		}
	}
}

// SetEntries says how many entries share the servers.
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

// Known returns all servers that are not leaving.
func (b *Balancer) Known() []tracker.Instance {
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

// queue returns the queue of a service; the caller holds the lock.
func (b *Balancer) queue(service string) *queue {
	q := b.queues[service]
	if q == nil {
		q = newQueue()
		b.queues[service] = q
	}
	return q
}

// Enqueue takes a place behind the requests that wait for the service already, if its turn is likely to come within
// patience; otherwise it returns the expected wait.
func (b *Balancer) Enqueue(now time.Time, service string, ad tracker.Adapter, patience time.Duration) (*Ticket, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue(service).enter(now, ad, patience)
}

// Dequeue takes a place in the queue back.
func (b *Balancer) Dequeue(service string, t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(service).leave(t)
}

// wake wakes those who wait for an adapter; the caller holds the lock.
func (b *Balancer) wake(ad tracker.Adapter) {
	if ch := b.waiting[ad]; ch != nil {
		close(ch)
		delete(b.waiting, ad)
	}
}

// Await returns a channel that is closed when a server takes the adapter up.
func (b *Balancer) Await(ad tracker.Adapter) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := b.waiting[ad]
	if ch == nil {
		ch = make(chan struct{})
		b.waiting[ad] = ch
	}
	return ch
}

// Pick returns the server for a request and counts it as running there; End must follow.
func (b *Balancer) Pick(now time.Time, a Ask) (Choice, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.queues[a.Service]; q != nil && q.isBehind(a.Adapter, a.Ticket) {
		return Choice{}, Full
	}
	usable, verdict := b.usableServers(now, a)
	best := b.best(now, a, b.sample(usable, a.Zone))
	if best == nil {
		return Choice{}, verdict
	}
	c := Choice{Instance: best.Instance, Reading: b.reading(now, best)}
	best.running++
	if b.takesTurns(a) {
		best.reading += a.Tokens
		c.unread = &a.Tokens
	}
	c.Running, c.Crowded = b.running(now, best), b.load(now, best) > crowdedLoad
	if a.Adapter.Model != "" {
		c.Version = best.residents[a.Adapter]
	}
	if a.Adapter.Name != "" {
		u := best.use(a.Adapter)
		u.Starts++
		u.Running++
		u.dirty = true
	}
	return c, Chosen
}

// usableServers returns the servers that may take a request, by ID, or why there is none.
func (b *Balancer) usableServers(now time.Time, a Ask) ([]*server, Verdict) {
	verdict := None
	var out []*server
	for _, s := range b.services[a.Service] {
		if v := b.judge(now, s, a); v == Chosen {
			out = append(out, s)
		} else if precedence[v] > precedence[verdict] {
			verdict = v
		}
	}
	slices.SortFunc(out, func(x, y *server) int { return strings.Compare(x.Key.ID, y.Key.ID) })
	return out, verdict
}

// sample returns the part of the servers that this entry looks at: of those in its data centre and of the others, so many
// that each is looked at by some rivals.
func (b *Balancer) sample(list []*server, zone string) []*server {
	if b.entries <= rivals {
		return list
	}
	near, far := partition(list, func(s *server) bool { return s.Zone == zone })
	return append(b.some(near), b.some(far)...)
}

func partition(list []*server, is func(*server) bool) (yes, no []*server) {
	for _, s := range list {
		if is(s) {
			yes = append(yes, s)
		} else {
			no = append(no, s)
		}
	}
	return yes, no
}

// some returns a random part of the servers, two at least.
func (b *Balancer) some(list []*server) []*server {
	n := max(2, (len(list)*rivals+b.entries-1)/b.entries)
	for i := range min(n, len(list)) {
		j := i + b.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// best returns the server with the lowest score, or nil.
func (b *Balancer) best(now time.Time, a Ask, list []*server) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range list {
		score := b.score(now, s, a)
		if score < bestScore || score == bestScore && s.Key.ID < best.Key.ID {
			best, bestScore = s, score
		}
	}
	return best
}

// precedence orders the verdicts on servers; of several, the highest is that on the request.
var precedence = map[Verdict]int{None: 0, Absent: 1, Occupied: 2, Full: 3}

// judge reports whether a server may take the request, or why not.
func (b *Balancer) judge(now time.Time, s *server, a Ask) Verdict {
	switch {
	case s.Leaving || a.Except[s.Key.ID]:
		return None
	case a.Adapter.Model != "" && !b.usable(now, s, a.Adapter):
		return Absent
	case b.isFull(now, s):
		return Full
	case b.mustWait(now, s, a):
		return Occupied
	}
	return Chosen
}

func (s *server) use(ad tracker.Adapter) *Use {
	u := s.uses[ad]
	if u == nil {
		u = &Use{Engine: s.Key.ID, Adapter: ad}
		s.uses[ad] = u
	}
	return u
}

// usable reports whether a server holds a version of the adapter that callers may get.
func (b *Balancer) usable(now time.Time, s *server, ad tracker.Adapter) bool {
	have, ok := s.residents[ad]
	if !ok {
		return false
	}
	if ad.Name == "" {
		return true
	}
	v := b.versions[ad]
	return have >= v.number || now.Sub(v.since) < oldVersionGrace
}

// load returns a server's load as a share of its slots.
func (b *Balancer) load(now time.Time, s *server) float64 {
	slots := s.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(b.running(now, s)) / float64(slots)
}

// isFull reports whether a server has as many requests as all entries together may have there: enough to keep it busy, too
// few to overrun its queue. Without word of the others, each entry may have its part.
func (b *Balancer) isFull(now time.Time, s *server) bool {
	slots := s.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	most := math.Ceil(limitFactor * float64(slots))
	if b.isTold(now, s) {
		return float64(b.running(now, s)) >= most
	}
	return s.running >= max(int(math.Ceil(most/float64(b.entries))), 1)
}

// score is lower for the better server; one that can't be reached comes after all others.
func (b *Balancer) score(now time.Time, s *server, a Ask) float64 {
	score := b.load(now, s) + failurePenalty*s.failures + b.readingScore(now, s, a)
	if s.Zone != a.Zone {
		score += remotePenalty
	}
	if now.Before(s.ejected) {
		score += 1000
	}
	return score
}

// End tells how the attempt at a choice ended.
func (b *Balancer) End(now time.Time, c Choice, ad tracker.Adapter, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(c.Service).ended(now, r)
	s := b.servers[c.Key.ID]
	if s == nil || s.Key != c.Key {
		return
	}
	s.running = max(s.running-1, 0)
	s.read(c)
	if ad.Name != "" {
		u := s.use(ad)
		u.Running = max(u.Running-1, 0)
		u.dirty = true
	}
	switch r {
	case Void:
	case OK, Rejected:
		s.failures *= 1 - failureDecay
		s.eject, s.ejected = 0, time.Time{}
	case Failed:
		s.failures += failureDecay * (1 - s.failures)
	case Unreachable:
		s.failures += failureDecay * (1 - s.failures)
		s.eject = min(max(2*s.eject, minEject), maxEject)
		s.ejected = now.Add(s.eject)
	}
}

// Uses returns what changed in the use of adapters since the last call.
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
