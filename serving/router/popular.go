package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// popularity is the routing state of a recently requested adapter.
type popularity struct {
	openRequests     int
	meanOpenRequests float64
	updated          time.Time
	servers          map[string]membership
	lastJoin         time.Time
}

// membership is a server's state in the set that serves an adapter.
type membership struct {
	warm     bool
	lastUsed time.Time
}

// meanTimeConstant is the time constant of an adapter's mean number of open requests.
const meanTimeConstant = time.Second

// stateOf returns an adapter's state, a new one if there is none; it evicts states at MaxPopular.
func (r *Router) stateOf(now time.Time, key uint64) *popularity {
	p := r.popular[key]
	if p != nil {
		return p
	}
	if len(r.popular) >= r.cfg.MaxPopular {
		r.evict(now)
	}
	p = &popularity{updated: now}
	r.popular[key] = p
	return p
}

// evict drops the states without open requests whose mean is at most the average, in one pass; all if none was dropped.
func (r *Router) evict(now time.Time) {
	sum := 0.0
	for _, p := range r.popular {
		p.update(now)
		sum += p.meanOpenRequests
	}
	limit := sum / float64(len(r.popular))
	for key, p := range r.popular {
		if p.openRequests == 0 && p.meanOpenRequests <= limit {
			delete(r.popular, key)
		}
	}
	if len(r.popular) >= r.cfg.MaxPopular {
		clear(r.popular)
	}
}

func (p *popularity) begin(now time.Time) {
	p.update(now)
	p.openRequests++
}

func (p *popularity) end(now time.Time) {
	p.update(now)
	p.openRequests = max(p.openRequests-1, 0)
}

// update advances the mean number of open requests to now.
func (p *popularity) update(now time.Time) {
	keep := math.Exp(-max(now.Sub(p.updated), 0).Seconds() / meanTimeConstant.Seconds())
	p.meanOpenRequests = p.meanOpenRequests*keep + float64(p.openRequests)*(1-keep)
	p.updated = now
}

func (p *popularity) applyFeedback(now time.Time, fb Feedback) {
	switch fb.Result {
	case Served, Straggler:
		if p.servers == nil {
			p.servers = make(map[string]membership, 1)
		}
		p.servers[fb.Server] = membership{warm: true, lastUsed: now}
	case LoadFailed, Declined, Unreachable:
		delete(p.servers, fb.Server)
	case Refused:
	}
}

// orderServers puts the servers of an adapter's set first, by load; if they are loaded, another server joins the set.
func (r *Router) orderServers(now time.Time, p *popularity, list []*node, prefix uint64) {
	p.update(now)
	warm := r.warmFirst(now, p, list)
	if warm == 0 {
		return
	}
	r.sortByLoad(now, list[:warm])
	if r.cfg.Off&PartPrefix == 0 && prefix != 0 {
		r.preferPrefix(now, list[:warm], prefix)
	}
	if warm == len(list) || r.loadOf(now, list[0]) < r.cfg.SpreadLoad || r.openBatches(p, list[0]) < r.cfg.SpreadShare*float64(warm) {
		return
	}
	next := r.nextToJoin(now, list, warm)
	if next < 0 || r.cfg.Off&PartWarm == 0 && now.Sub(p.lastJoin) < minJoinInterval {
		return
	}
	p.lastJoin = now
	joining := list[next]
	copy(list[1:next+1], list[:next])
	list[0] = joining
}

// minJoinInterval is the least time between two servers joining an adapter's set, so that one request waits for each load.
const minJoinInterval = 600 * time.Millisecond

// warmFirst moves the servers that served the adapter recently to the front; the others keep the ring's order.
func (r *Router) warmFirst(now time.Time, p *popularity, list []*node) int {
	warm := 0
	for i, n := range list {
		m, ok := p.servers[n.server.Name]
		if !ok {
			continue
		}
		if now.Sub(m.lastUsed) > r.cfg.MaxIdle {
			delete(p.servers, n.server.Name)
			continue
		}
		copy(list[warm+1:i+1], list[warm:i])
		list[warm] = n
		warm++
	}
	return warm
}

// nextToJoin returns the index of the first server outside the set with a load below SpreadLoad, or -1.
func (r *Router) nextToJoin(now time.Time, list []*node, warm int) int {
	for i := warm; i < len(list); i++ {
		if r.loadOf(now, list[i]) < r.cfg.SpreadLoad {
			return i
		}
	}
	return -1
}

// openBatches estimates how many batches the adapter's open requests at all entries fill.
func (r *Router) openBatches(p *popularity, n *node) float64 {
	return p.meanOpenRequests * float64(r.entries) / float64(max(n.server.Batch, 1))
}

// prefixSlack is how much more load than the least loaded server a server with the prefix in its cache may have.
const prefixSlack = 0.15

// preferPrefix moves the server selected by the prefix's hash to the front, if its load allows.
func (r *Router) preferPrefix(now time.Time, warm []*node, prefix uint64) {
	best, bestHash := 0, uint64(0)
	for i, n := range warm {
		if h := xxhash.Sum64String(n.server.Name) ^ prefix*0x9e3779b97f4a7c15; mix(h) > bestHash {
			best, bestHash = i, mix(h)
		}
	}
	load := r.loadOf(now, warm[best])
	if load >= r.cfg.SpreadLoad || load > r.loadOf(now, warm[0])+prefixSlack {
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
