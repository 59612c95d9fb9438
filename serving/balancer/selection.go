package balancer

import (
	"math"
	"time"
)

const (
	// selectivity is how much a difference of score counts in the random choice among servers: a server whose score is
	// higher by d is chosen e^(-selectivity d) times as often. Where sums are fresh in relation to a request's stay,
	// freshSelectivity is added, as the square of what is left of a sum's difference from the average.
	selectivity      = 3.0
	freshSelectivity = 40.0
	// minQueueWeight is the least weight of queued requests against running ones. A queue grows with all that is sent too
	// much, so that choices by sums that are older than a request's stay let queues grow and run empty by turns.
	minQueueWeight = 0.1
	// maxRemoteShare is how often a server in another data centre is chosen at most for each choice of an equal local one. It
	// is less where remotePenalty makes more of a difference, and rises to 1 while the load of the local servers rises from
	// localBusy to localFull.
	maxRemoteShare = 0.2
	localBusy      = 0.8
	localFull      = 1.2
	// refusalPenalty weighs the share of requests that a server refused against load.
	refusalPenalty = 1.0
	// fullPenalty is the load that a server counts for which refused this entry's request within a request's stay.
	fullPenalty = 1.0
	// refusalWeight is the weight of the latest answer in the share of refused requests, refusalMemory the time constant
	// with which a share is forgotten.
	refusalWeight = 0.2
	refusalMemory = 2 * time.Second
)

func (s *server) slots() int {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return s.Slots
}

// expectedRunning returns the requests that are expected at a server now; without sums, this entry's own.
func (b *Balancer) expectedRunning(now time.Time, s *server) float64 {
	if !b.hasFreshLoads(now, s) {
		return float64(s.running)
	}
	return float64(s.running) + b.othersRunning(now, s)
}

// expectedLoad returns the load that is expected at a server as a share of its slots; requests beyond its slots count less
// if the sums are old in relation to a request's stay.
func (b *Balancer) expectedLoad(now time.Time, s *server) float64 {
	load := b.expectedRunning(now, s) / float64(s.slots())
	if load <= 1 {
		return load
	}
	return 1 + (load-1)*max(minQueueWeight, sumWeight(0, b.stay(s.Service)))
}

// recordRefusal records whether a server refused a request.
func (s *server) recordRefusal(now time.Time, r Result) {
	v := s.refusalRate(now)
	switch r {
	case Rejected:
		s.refusedShare = v + refusalWeight*(1-v)
		s.refusedAt = now
		s.refusals.add(now)
	case OK, Failed:
		s.refusedShare = v * (1 - refusalWeight)
	}
	s.shareAt = now
}

func (s *server) refusalRate(now time.Time) float64 {
	if s.shareAt.IsZero() {
		return 0
	}
	return s.refusedShare * math.Exp(-float64(max(now.Sub(s.shareAt), 0))/float64(refusalMemory))
}

// refusalScore returns the load that a server's refusals count for.
func (b *Balancer) refusalScore(now time.Time, s *server) float64 {
	score := refusalPenalty * s.refusalRate(now)
	if !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < b.stay(s.Service) {
		score += fullPenalty
	}
	return score
}

// choose returns a server at random, those with a lower score more often, or nil. If all entries chose the one with the
// lowest score, the same server would get all their requests until the next sums.
func (b *Balancer) choose(now time.Time, req Request, list []*server) *server {
	if len(list) == 0 {
		return nil
	}
	scores := make([]float64, len(list))
	lowest := math.Inf(1)
	for i, s := range list {
		scores[i] = b.score(now, s, req)
		lowest = min(lowest, scores[i])
	}
	steepness := b.steepness(req.Service)
	remote, total := b.remoteShare(now, req, list, steepness), 0.0
	for i, v := range scores {
		scores[i] = selectionWeight(list[i].slots(), steepness, v-lowest)
		if list[i].Zone != req.Zone {
			scores[i] *= remote
		}
		total += scores[i]
	}
	point := b.random() * total
	for i, v := range scores {
		if point -= v; point < 0 {
			return list[i]
		}
	}
	return list[len(list)-1]
}

// steepness returns how much a difference of score counts in the random choice among a service's servers.
func (b *Balancer) steepness(service string) float64 {
	fresh := sumWeight(0, b.stay(service))
	return selectivity + freshSelectivity*fresh*fresh
}

// selectionWeight returns how often a server is chosen whose score is that much above the lowest one.
func selectionWeight(slots int, steepness, above float64) float64 {
	return float64(slots) * math.Exp(-steepness*above)
}

// remoteShare returns how often a server in another data centre is chosen for each choice of an equal local one.
func (b *Balancer) remoteShare(now time.Time, req Request, list []*server, steepness float64) float64 {
	running, slots := 0.0, 0
	for _, s := range list {
		if s.Zone == req.Zone {
			running += b.expectedRunning(now, s)
			slots += s.slots()
		}
	}
	return remoteShareOf(running, slots, steepness)
}

func remoteShareOf(running float64, slots int, steepness float64) float64 {
	full := min(max((running/float64(max(slots, 1))-localBusy)/(localFull-localBusy), 0), 1)
	share := min(maxRemoteShare, math.Exp(-steepness*remotePenalty))
	return share + (1-share)*full
}

// sample returns the servers that this entry considers: random parts of those in its data centre and of the others, so
// large that entriesPerServer entries consider each server.
func (b *Balancer) sample(list []*server, zone string) []*server {
	if b.entries <= entriesPerServer {
		return list
	}
	local, remote := partition(list, func(s *server) bool { return s.Zone == zone })
	return append(b.randomPart(local), b.randomPart(remote)...)
}

func partition(list []*server, match func(*server) bool) (matching, others []*server) {
	for _, s := range list {
		if match(s) {
			matching = append(matching, s)
		} else {
			others = append(others, s)
		}
	}
	return matching, others
}

// randomPart returns a random part of the servers, two at least; it reorders list.
func (b *Balancer) randomPart(list []*server) []*server {
	n := b.partSize(len(list))
	for i := range n {
		j := i + b.randIntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// partSize returns how many of n servers this entry considers, with many entries.
func (b *Balancer) partSize(n int) int {
	return min(max(2, (n*entriesPerServer+b.entries-1)/b.entries), n)
}

// selectServer returns the server for a request, or nil.
func (b *Balancer) selectServer(now time.Time, req Request, usable []*server) *server {
	if b.isCrowded() {
		return b.choose(now, req, b.withHolders(now, req, b.sample(usable, req.Zone), usable))
	}
	return b.best(now, req, b.sample(usable, req.Zone))
}

// best returns the server with the lowest score, or nil.
func (b *Balancer) best(now time.Time, req Request, list []*server) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range list {
		score := b.score(now, s, req)
		if score < bestScore || score == bestScore && s.Key.ID < best.Key.ID {
			best, bestScore = s, score
		}
	}
	return best
}
