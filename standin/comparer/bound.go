package comparer

import (
	"container/heap"
	"time"

	"redwingstage.org/serving/configurer"
)

// Bound is the stalls of an ideal cache for a run's requests under the store's limits.
type Bound struct {
	// Share is the share of requests whose adapter isn't loaded, and Seconds their waiting time per 1,000 requests.
	Share   float64 `json:"share"`
	Seconds float64 `json:"seconds_per_1000"`
	// InTime is the share of urgent requests during peaks whose wait leaves time for the first token.
	InTime float64 `json:"in_time_at_crest"`
}

// Knowledge is the information about requests that an ideal cache has.
type Knowledge int

// The kinds of knowledge.
const (
	// Popularity means that the adapters' shares of the run's requests are known in advance.
	Popularity Knowledge = iota
	// Future means that every request is known in advance.
	Future
	// Past means that only the requests so far are known, as to any real policy.
	Past
)

// Unavoidable returns the stalls of an ideal cache with all slots of the fleet, one copy of each adapter, in use only as long
// as an idle engine would serve the request, and loads at the store's rate. It ignores copies, queues and the division of
// slots among engines, so that with the future known (Belady's rule) no policy can do better.
func Unavoidable(t Team, sc Scenario, reqs []*request, k Knowledge) Bound {
	stalled, n, seconds, crest, inTime := 0, 0, 0.0, 0, 0
	for i, wait := range waits(t, sc, reqs, k) {
		r := reqs[i]
		if r.at < sc.Warmup {
			continue
		}
		n++
		if r.crest && !r.long {
			crest++
			inTime += count(wait+stepBase <= firstBudget)
		}
		if wait > 0 {
			stalled++
			seconds += wait.Seconds()
		}
	}
	return Bound{Share: float64(stalled) / float64(max(n, 1)), Seconds: seconds / float64(max(n, 1)) * 1000, InTime: share(inTime, crest)}
}

// waits returns how long each request waits for its adapter in the ideal cache.
func waits(t Team, sc Scenario, reqs []*request, k Knowledge) []time.Duration {
	c := &idealCache{
		store: bucket{rate: t.StoreRate, parallel: t.Parallel, tokens: burst},
		took:  t.LoadTime,
		limit: t.Engines * t.Slots,
		ready: make(map[configurer.Target]time.Duration),
		inUse: make(map[configurer.Target]time.Duration),
		uses:  make(map[configurer.Target][]time.Duration),
		know:  k,
	}
	c.count = make(map[configurer.Target]float64)
	for _, r := range reqs {
		c.uses[r.target] = append(c.uses[r.target], r.at)
		if k != Past && (sc.Shift == 0 || (r.at >= sc.Shift) == (sc.Shift <= sc.Warmup)) {
			c.count[r.target]++
		}
	}
	out := make([]time.Duration, len(reqs))
	for i, r := range reqs {
		out[i] = c.use(r)
	}
	return out
}

// idealCache is a cache that evicts the least popular adapter, or with the future known the one that is needed last.
type idealCache struct {
	store bucket
	took  time.Duration
	limit int
	ready map[configurer.Target]time.Duration
	inUse map[configurer.Target]time.Duration
	uses  map[configurer.Target][]time.Duration
	count map[configurer.Target]float64
	ends  endTimes
	know  Knowledge
}

// use returns how long a request waits for its adapter.
func (c *idealCache) use(r *request) time.Duration {
	if c.know == Past {
		c.count[r.target]++
	}
	u := c.uses[r.target]
	for len(u) > 0 && u[0] <= r.at {
		u = u[1:]
	}
	c.uses[r.target] = u
	defer func() {
		c.inUse[r.target] = max(c.inUse[r.target], r.at+serviceTime(r), c.ready[r.target]+serviceTime(r))
	}()
	at, ok := c.ready[r.target]
	if !ok {
		if len(c.ready) >= c.limit {
			c.evict(r.at)
		}
		at = c.load(r.at)
		c.ready[r.target] = at
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
	for len(c.ends) > 0 && (c.ends[0] <= begin || len(c.ends) >= s.parallel) {
		begin = max(begin, c.ends[0])
		heap.Pop(&c.ends)
	}
	end := begin + c.took
	heap.Push(&c.ends, end)
	return end
}

// evict drops the loaded and unused adapter with the highest eviction score.
func (c *idealCache) evict(now time.Duration) {
	var victim configurer.Target
	worst := -1.0
	for t, ready := range c.ready {
		if ready > now || c.inUse[t] > now {
			continue
		}
		cost := 1 / (1 + c.count[t])
		if c.know == Future {
			cost = 1e18
			if u := c.uses[t]; len(u) > 0 {
				cost = float64(u[0])
			}
		}
		if cost > worst || cost == worst && t.Adapter < victim.Adapter {
			victim, worst = t, cost
		}
	}
	delete(c.ready, victim)
}

// serviceTime returns how long an otherwise idle engine takes for a request; its adapter isn't evicted meanwhile.
func serviceTime(r *request) time.Duration {
	return time.Duration(r.output)*(stepBase+stepPerToken) + time.Duration(r.prompt)*prefillToken*(prefixDen-prefixNum)/prefixDen
}

type endTimes []time.Duration

// Len implements heap.Interface.
func (e endTimes) Len() int { return len(e) }

// Less implements heap.Interface.
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }

// Swap implements heap.Interface.
func (e endTimes) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endTimes) Push(x any) {
	if d, ok := x.(time.Duration); ok {
		*e = append(*e, d)
	}
}

// Pop implements heap.Interface.
func (e *endTimes) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
