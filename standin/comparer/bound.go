package comparer

import (
	"container/heap"
	"time"

	"redwingstage.org/serving/configurer"
)

// Bound is the stalls of an ideal cache for a run's requests under the store's limits.
type Bound struct {
	// StallShare is the share of requests whose adapter isn't loaded, and StallSeconds their waiting time per 1,000 requests.
	StallShare   float64 `json:"share"`
	StallSeconds float64 `json:"seconds_per_1000"`
	// InTimeAtPeak is the share of urgent requests during peaks whose wait leaves time for the first token.
	InTimeAtPeak float64 `json:"in_time_at_crest"`
}

// Knowledge is the information about requests that an ideal cache has.
type Knowledge int

// The kinds of knowledge.
const (
	// KnowsPopularity means that the adapters' shares of the run's requests are known in advance.
	KnowsPopularity Knowledge = iota
	// KnowsFuture means that every request is known in advance.
	KnowsFuture
	// KnowsPast means that only the requests so far are known, as to any real policy.
	KnowsPast
)

// IdealBound returns the stalls of an ideal cache with all slots of the fleet, one copy of each adapter, in use only as long
// as an idle engine would serve the request, and loads at the store's rate. It ignores copies, queues and the division of
// slots among engines, so that with the future known (Belady's rule) no policy can do better.
func IdealBound(t Deployment, sc Scenario, reqs []*request, k Knowledge) Bound {
	stalled, n, stallSeconds, peak, peakInTime := 0, 0, 0.0, 0, 0
	for i, wait := range idealWaits(t, sc, reqs, k) {
		r := reqs[i]
		if r.at < sc.Warmup {
			continue
		}
		n++
		if r.inPeak && !r.long {
			peak++
			peakInTime += boolToInt(wait+stepBase <= firstTokenBudget)
		}
		if wait > 0 {
			stalled++
			stallSeconds += wait.Seconds()
		}
	}
	return Bound{StallShare: float64(stalled) / float64(max(n, 1)), StallSeconds: stallSeconds / float64(max(n, 1)) * 1000, InTimeAtPeak: share(peakInTime, peak)}
}

// idealWaits returns how long each request waits for its adapter in the ideal cache.
func idealWaits(t Deployment, sc Scenario, reqs []*request, k Knowledge) []time.Duration {
	c := &idealCache{
		store:      tokenBucket{rate: t.StoreRate, parallel: t.StoreParallel, tokens: burstLoads},
		loadTime:   t.LoadTime,
		slots:      t.Engines * t.Slots,
		readyAt:    make(map[configurer.Target]time.Duration),
		inUseUntil: make(map[configurer.Target]time.Duration),
		upcoming:   make(map[configurer.Target][]time.Duration),
		knowledge:  k,
	}
	c.popularity = make(map[configurer.Target]float64)
	for _, r := range reqs {
		c.upcoming[r.target] = append(c.upcoming[r.target], r.at)
		if k != KnowsPast && (sc.PopularityShift == 0 || (r.at >= sc.PopularityShift) == (sc.PopularityShift <= sc.Warmup)) {
			c.popularity[r.target]++
		}
	}
	out := make([]time.Duration, len(reqs))
	for i, r := range reqs {
		out[i] = c.waitFor(r)
	}
	return out
}

// idealCache is a cache that evicts the least popular adapter, or with the future known the one that is needed last.
type idealCache struct {
	store      tokenBucket
	loadTime   time.Duration
	slots      int
	readyAt    map[configurer.Target]time.Duration
	inUseUntil map[configurer.Target]time.Duration
	upcoming   map[configurer.Target][]time.Duration
	popularity map[configurer.Target]float64
	loadEnds   timeHeap
	knowledge  Knowledge
}

// waitFor returns how long a request waits for its adapter.
func (c *idealCache) waitFor(r *request) time.Duration {
	if c.knowledge == KnowsPast {
		c.popularity[r.target]++
	}
	u := c.upcoming[r.target]
	for len(u) > 0 && u[0] <= r.at {
		u = u[1:]
	}
	c.upcoming[r.target] = u
	defer func() {
		c.inUseUntil[r.target] = max(c.inUseUntil[r.target], r.at+serviceTime(r), c.readyAt[r.target]+serviceTime(r))
	}()
	at, ok := c.readyAt[r.target]
	if !ok {
		if len(c.readyAt) >= c.slots {
			c.evict(r.at)
		}
		at = c.load(r.at)
		c.readyAt[r.target] = at
	}
	return max(at-r.at, 0)
}

// load returns the end time of a load requested now, under the store's rate and parallelism limits.
func (c *idealCache) load(now time.Duration) time.Duration {
	begin := now
	s := &c.store
	s.refill(time.Unix(0, 0).Add(begin))
	if s.tokens < 1 {
		begin += time.Duration((1 - s.tokens) / s.rate * float64(time.Second))
	}
	s.tokens--
	for len(c.loadEnds) > 0 && (c.loadEnds[0] <= begin || len(c.loadEnds) >= s.parallel) {
		begin = max(begin, c.loadEnds[0])
		heap.Pop(&c.loadEnds)
	}
	end := begin + c.loadTime
	heap.Push(&c.loadEnds, end)
	return end
}

// evict drops the loaded and unused adapter with the highest eviction score.
func (c *idealCache) evict(now time.Duration) {
	var victim configurer.Target
	highest := -1.0
	for t, ready := range c.readyAt {
		if ready > now || c.inUseUntil[t] > now {
			continue
		}
		score := 1 / (1 + c.popularity[t])
		if c.knowledge == KnowsFuture {
			score = 1e18
			if u := c.upcoming[t]; len(u) > 0 {
				score = float64(u[0])
			}
		}
		if score > highest || score == highest && t.Adapter < victim.Adapter {
			victim, highest = t, score
		}
	}
	delete(c.readyAt, victim)
}

// serviceTime returns how long an otherwise idle engine takes for a request; its adapter isn't evicted meanwhile.
func serviceTime(r *request) time.Duration {
	return time.Duration(r.output)*(stepBase+stepPerToken) + time.Duration(r.prompt)*prefillToken*(prefixDen-prefixNum)/prefixDen
}

type timeHeap []time.Duration

// Len implements heap.Interface.
func (e timeHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e timeHeap) Less(i, j int) bool { return e[i] < e[j] }

// Swap implements heap.Interface.
func (e timeHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *timeHeap) Push(x any) {
	if d, ok := x.(time.Duration); ok {
		*e = append(*e, d)
	}
}

// Pop implements heap.Interface.
func (e *timeHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
