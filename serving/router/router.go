package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
)

// Part is a part of the routing policy that can be switched off for comparisons.
type Part uint

// The parts of the policy.
const (
	// PartSpread lets popular adapters be served by more than one server.
	PartSpread Part = 1 << iota
	// PartWarm sends one request to a server that joins a set, and more only after it answered.
	PartWarm
	// PartFeedback uses reported loads, penalties and cooldowns.
	PartFeedback
	// PartPrefix prefers the server that saw a prompt's prefix before.
	PartPrefix
)

// Config holds the bounds of a router.
type Config struct {
	// Zone is the entry's data centre; servers in it are preferred where load allows.
	Zone string
	// Candidates is the largest number of servers that a request is offered to.
	Candidates int
	// SpreadLoad is the load, as a share of a batch, from which a popular adapter spreads to another server.
	SpreadLoad float64
	// SpreadShare is the share of a batch that an adapter's open requests fill before it may spread.
	SpreadShare float64
	// DecayTime is the time constant with which reported loads and penalties decay.
	DecayTime time.Duration
	// MaxIdle is the time without use after which a server leaves an adapter's set.
	MaxIdle time.Duration
	// Cooldown is how long an unreachable server gets no requests.
	Cooldown time.Duration
	// MaxPopular limits the number of adapters with state.
	MaxPopular int
	// Off names the parts of the policy that are switched off.
	Off Part
}

// Default bounds of a router.
const (
	DefaultCandidates  = 4
	DefaultSpreadLoad  = 0.75
	DefaultSpreadShare = 0.2
	DefaultDecayTime   = time.Second
	DefaultMaxIdle     = 20 * time.Second
	DefaultCooldown    = 2 * time.Second
	DefaultMaxPopular  = 512
)

// Candidate is a server to offer a request to, and the entry that owns it.
type Candidate struct {
	Server string
	Owner  string
	Addr   string
	// Warm means that the server served the adapter recently, so that a hedge there needs no load.
	Warm bool
}

// Result classifies how an offer ended.
type Result int

// The results of an offer.
const (
	// Served means that the server answered.
	Served Result = iota
	// Refused means that the owner refused the request as late or because it was full.
	Refused
	// Declined means that the owner prefers another candidate to load the adapter.
	Declined
	// LoadFailed means that the adapter could not be loaded there.
	LoadFailed
	// Straggler means that the answer showed the server to be a straggler.
	Straggler
	// Unreachable means that the owner or the server did not answer.
	Unreachable
)

// Feedback reports the result of an offer.
type Feedback struct {
	Server string
	Target configurer.Target
	Result Result
	// Load is the owner's count of sent and queued jobs as a share of the batch; negative when it isn't known.
	Load float64
}

// node is a server's routing state.
type node struct {
	server        registrar.Server
	owner         registrar.Owner
	load          float64
	loadAt        time.Time
	penalty       float64
	penaltyAt     time.Time
	cooldownUntil time.Time
	inFlight      int
}

// Router routes the requests of one entry; it isn't safe for concurrent use.
type Router struct {
	cfg     Config
	rng     *rand.Rand
	nodes   map[string]*node
	rings   map[string]*ring
	entries int
	popular map[uint64]*popularity
}

// New returns a router without servers; zero bounds take their defaults.
func New(cfg Config, seed uint64) *Router {
	setDefault(&cfg.Candidates, DefaultCandidates)
	setDefault(&cfg.SpreadLoad, DefaultSpreadLoad)
	setDefault(&cfg.SpreadShare, DefaultSpreadShare)
	setDefault(&cfg.DecayTime, DefaultDecayTime)
	setDefault(&cfg.MaxIdle, DefaultMaxIdle)
	setDefault(&cfg.Cooldown, DefaultCooldown)
	setDefault(&cfg.MaxPopular, DefaultMaxPopular)
	return &Router{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03)),
		nodes:   make(map[string]*node),
		rings:   make(map[string]*ring),
		popular: make(map[uint64]*popularity),
	}
}

// Rebuild replaces the roster; the state of servers that stay in the same incarnation is kept.
func (r *Router) Rebuild(roster *registrar.Roster, services ...string) {
	old := r.nodes
	r.nodes = make(map[string]*node)
	r.rings = make(map[string]*ring, len(services))
	r.entries = max(len(roster.Entries()), 1)
	for _, service := range services {
		var live []*node
		for _, sv := range roster.Servers(service) {
			owner, ok := roster.Owner(sv.Name)
			if sv.Leaving || !ok {
				continue
			}
			n := old[sv.Name]
			if n == nil || n.server.Incarnation != sv.Incarnation {
				n = &node{}
			}
			n.server, n.owner = sv, owner
			r.nodes[sv.Name] = n
			live = append(live, n)
		}
		r.rings[service] = newRing(live)
	}
}

// Route appends the candidates for a target to buf, best first; prefix is a hash of the prompt's start, or zero.
func (r *Router) Route(now time.Time, t configurer.Target, prefix uint64, buf []Candidate) []Candidate {
	rg := r.rings[t.Service]
	if rg == nil || len(rg.nodes) == 0 {
		return buf
	}
	key := hashTarget(t)
	var order [maxCandidates]*node
	var list []*node
	var members map[string]membership
	if t.Adapter == "" {
		list = r.routeWithoutAdapter(now, rg, order[:0])
	} else {
		list = r.routeAdapter(now, rg, key, prefix, order[:0])
		members = r.stateOf(now, key).servers
	}
	for _, n := range list {
		_, warm := members[n.server.Name]
		warm = warm || t.Adapter == ""
		buf = append(buf, Candidate{
			Server: n.server.Name, Owner: n.owner.Entry, Addr: n.owner.Addr, Warm: warm,
		})
	}
	return buf
}

// Homes appends up to three owners at which copies of a request make their claims, each the fallback for those before it.
// They depend on the roster, the adapter and, without an adapter, on the digest only, so that all entries choose the same;
// the first home of a cold adapter is its first candidate's owner, so that the claim costs no further hop.
func (r *Router) Homes(t configurer.Target, digest []byte, buf []Candidate) []Candidate {
	rg := r.rings[t.Service]
	if rg == nil {
		return buf
	}
	key := hashTarget(t)
	if t.Adapter == "" {
		key = xxhash.Sum64(digest)
	}
	isNew := func(n *node) bool {
		return !slices.ContainsFunc(buf, func(c Candidate) bool { return c.Owner == n.owner.Entry })
	}
	for range maxHomes {
		for _, n := range rg.walk(key, 1, isNew, nil) {
			buf = append(buf, Candidate{Server: n.server.Name, Owner: n.owner.Entry, Addr: n.owner.Addr})
		}
	}
	return buf
}

// maxHomes is the largest number of homes of a request.
const maxHomes = 3

// maxCandidates limits the servers that one decision considers.
const maxCandidates = 16

// routeWithoutAdapter returns consecutive servers from a random one on, by load.
func (r *Router) routeWithoutAdapter(now time.Time, rg *ring, out []*node) []*node {
	count := min(r.cfg.Candidates, len(rg.nodes), maxCandidates)
	start := r.rng.IntN(len(rg.nodes))
	for i := 0; i < len(rg.nodes) && len(out) < count; i++ {
		n := rg.nodes[(start+i)%len(rg.nodes)]
		if now.Before(n.cooldownUntil) {
			continue
		}
		out = append(out, n)
	}
	r.sortByLoad(now, out)
	return out
}

// routeAdapter orders servers for an adapter: those in its set by load, then the next ones on the ring.
func (r *Router) routeAdapter(now time.Time, rg *ring, key, prefix uint64, out []*node) []*node {
	out = rg.walk(key, maxCandidates, func(n *node) bool { return !now.Before(n.cooldownUntil) }, out)
	if len(out) == 0 {
		return out
	}
	p := r.stateOf(now, key)
	if r.cfg.Off&PartSpread == 0 {
		r.orderServers(now, p, out, prefix)
	}
	return out[:min(r.cfg.Candidates, len(out))]
}

// Begin counts a request that is offered to a server.
func (r *Router) Begin(now time.Time, server string, t configurer.Target) {
	if n := r.nodes[server]; n != nil {
		n.inFlight++
	}
	if t.Adapter != "" {
		r.stateOf(now, hashTarget(t)).begin(now)
	}
}

// End records the result of an offer that Begin counted.
func (r *Router) End(now time.Time, fb Feedback) {
	n := r.nodes[fb.Server]
	if n != nil && n.inFlight > 0 {
		n.inFlight--
	}
	var p *popularity
	if fb.Target.Adapter != "" {
		p = r.stateOf(now, hashTarget(fb.Target))
		p.end(now)
	}
	if n == nil {
		return
	}
	r.applyFeedback(now, n, fb)
	if p != nil {
		p.applyFeedback(now, fb)
	}
}

// RecordFeedback records feedback on an offer before its end, such as at its first token.
func (r *Router) RecordFeedback(now time.Time, fb Feedback) {
	n := r.nodes[fb.Server]
	if n == nil {
		return
	}
	r.applyFeedback(now, n, fb)
	if fb.Target.Adapter != "" {
		r.stateOf(now, hashTarget(fb.Target)).applyFeedback(now, fb)
	}
}

func (r *Router) applyFeedback(now time.Time, n *node, fb Feedback) {
	if r.cfg.Off&PartFeedback != 0 {
		return
	}
	if fb.Load >= 0 {
		n.load, n.loadAt = fb.Load, now
	}
	switch fb.Result {
	case Refused:
		r.penalize(now, n, refusedPenalty)
	case Straggler:
		r.penalize(now, n, stragglerPenalty)
	case Unreachable:
		n.cooldownUntil = now.Add(r.cfg.Cooldown)
	case Served, Declined, LoadFailed:
	}
}

// Load that a refusal and a straggler's answer add to a server, as shares of a batch: enough to send an adapter's requests
// to its other servers first, and below DefaultSpreadLoad, so that a penalty alone has no adapter loaded elsewhere.
const (
	refusedPenalty   = 0.5
	stragglerPenalty = 0.5
)

func (r *Router) penalize(now time.Time, n *node, penalty float64) {
	n.penalty = max(r.decay(now, n.penaltyAt, n.penalty), penalty)
	n.penaltyAt = now
}

func (r *Router) decay(now, at time.Time, v float64) float64 {
	if v == 0 || at.IsZero() {
		return 0
	}
	return v * math.Exp(-max(now.Sub(at), 0).Seconds()/r.cfg.DecayTime.Seconds())
}

// zonePenalty is the load, as a share of a batch, added to servers in another data centre.
const zonePenalty = 0.03

// loadOf estimates a server's load as a share of its batch, from decaying reports and from this entry's own requests.
func (r *Router) loadOf(now time.Time, n *node) float64 {
	own := float64(n.inFlight) / float64(max(n.server.Batch, 1))
	load := max(own, r.decay(now, n.loadAt, n.load)) + r.decay(now, n.penaltyAt, n.penalty)
	if n.server.Zone != r.cfg.Zone {
		load += zonePenalty
	}
	return load
}

func (r *Router) sortByLoad(now time.Time, list []*node) {
	slices.SortStableFunc(list, func(a, b *node) int { return cmp.Compare(r.loadOf(now, a), r.loadOf(now, b)) })
}

// Load returns the estimated load of a server as a share of its batch.
func (r *Router) Load(now time.Time, server string) float64 {
	if n := r.nodes[server]; n != nil {
		return r.loadOf(now, n)
	}
	return 0
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
