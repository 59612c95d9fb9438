package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// popularity is what is known of an adapter that was asked for lately.
type popularity struct {
	open    int
	mean    float64
	at      time.Time
	sets    map[string]membership
	growing time.Time
}

// membership is a server's place in the set that serves an adapter.
type membership struct {
	warm bool
	used time.Time
}

// popularWindow is the time constant of an adapter's mean number of open requests.
const popularWindow = time.Second

// touch returns the state of an adapter; the least asked-for is dropped when there are too many.
func (r *Router) touch(now time.Time, key uint64) *popularity {
	p := r.popular[key]
	if p != nil {
		return p
	}
	if len(r.popular) >= r.cfg.MaxPopular {
		r.shrink(now)
	}
	p = &popularity{at: now}
	r.popular[key] = p
	return p
}

// shrink drops half of the states, those without open requests and with the lowest means, by one pass over a bounded map.
func (r *Router) shrink(now time.Time) {
	sum := 0.0
	for _, p := range r.popular {
		p.update(now)
		sum += p.mean
	}
	limit := sum / float64(len(r.popular))
	for key, p := range r.popular {
		if p.open == 0 && p.mean <= limit {
			delete(r.popular, key)
		}
	}
	if len(r.popular) >= r.cfg.MaxPopular {
		clear(r.popular)
	}
}

func (p *popularity) begin(now time.Time) {
	p.update(now)
	p.open++
}

func (p *popularity) end(now time.Time) {
	p.update(now)
	p.open = max(p.open-1, 0)
}

// update brings the mean number of open requests up to now.
func (p *popularity) update(now time.Time) {
	keep := math.Exp(-max(now.Sub(p.at), 0).Seconds() / popularWindow.Seconds())
	p.mean = p.mean*keep + float64(p.open)*(1-keep)
	p.at = now
}

func (p *popularity) learn(now time.Time, fb Feedback) {
	switch fb.Result {
	case Served, Lagging:
		if p.sets == nil {
			p.sets = make(map[string]membership, 1)
		}
		p.sets[fb.Server] = membership{warm: true, used: now}
	case LoadFailed, Passed, Unreachable:
		delete(p.sets, fb.Server)
	case Refused:
	}
}

// arrange puts the servers of an adapter's set first, by load, and lets the next one join in under pressure.
func (r *Router) arrange(now time.Time, p *popularity, list []*node, prefix uint64) {
	p.update(now)
	warm := r.warmFirst(now, p, list)
	if warm == 0 {
		return
	}
	r.sortByLoad(now, list[:warm])
	if r.cfg.Off&PartPrefix == 0 && prefix != 0 {
		r.preferPrefix(now, list[:warm], prefix)
	}
	if warm == len(list) || r.loadOf(now, list[0]) < r.cfg.Bound || r.share(p, list[0]) < r.cfg.Popular*float64(warm) {
		return
	}
	next := r.nextToJoin(now, list, warm)
	if next < 0 || r.cfg.Off&PartWarm == 0 && now.Sub(p.growing) < growEvery {
		return
	}
	p.growing = now
	joining := list[next]
	copy(list[1:next+1], list[:next])
	list[0] = joining
}

// growEvery is the least time between two servers that join an adapter's set, so that one request waits for each load.
const growEvery = 600 * time.Millisecond

// warmFirst moves the servers that served the adapter lately to the front, the others keep the ring's order.
func (r *Router) warmFirst(now time.Time, p *popularity, list []*node) int {
	warm := 0
	for i, n := range list {
		m, ok := p.sets[n.server.Name]
		if !ok {
			continue
		}
		if now.Sub(m.used) > r.cfg.Idle {
			delete(p.sets, n.server.Name)
			continue
		}
		copy(list[warm+1:i+1], list[warm:i])
		list[warm] = n
		warm++
	}
	return warm
}

// nextToJoin returns the first server outside the set that has room.
func (r *Router) nextToJoin(now time.Time, list []*node, warm int) int {
	for i := warm; i < len(list); i++ {
		if r.loadOf(now, list[i]) < r.cfg.Bound {
			return i
		}
	}
	return -1
}

// share estimates how many batches the adapter's open requests at all entries fill.
func (r *Router) share(p *popularity, n *node) float64 {
	return p.mean * float64(r.entries) / float64(max(n.server.Batch, 1))
}

// prefixSlack is the load that a server with the prefix in its cache may have above the least loaded one.
const prefixSlack = 0.15

// preferPrefix moves the server to the front that the prefix hashes to, if its load allows.
func (r *Router) preferPrefix(now time.Time, warm []*node, prefix uint64) {
	best, bestHash := 0, uint64(0)
	for i, n := range warm {
		if h := xxhash.Sum64String(n.server.Name) ^ prefix*0x9e3779b97f4a7c15; mix(h) > bestHash {
			best, bestHash = i, mix(h)
		}
	}
	load := r.loadOf(now, warm[best])
	if load >= r.cfg.Bound || load > r.loadOf(now, warm[0])+prefixSlack {
		return
	}
	n := warm[best]
	copy(warm[1:best+1], warm[:best])
	warm[0] = n
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
