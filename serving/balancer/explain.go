package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwingstage.org/serving/tracker"
)

// explainDraws is the number of draws from which chances are estimated where each entry considers a random part of the servers.
const explainDraws = 400

// Cause is why a server isn't considered for a request.
type Cause int

// The causes.
const (
	// NoCause means that the server may take the request.
	NoCause Cause = iota
	// CauseLeaving means that the server gets no new requests.
	CauseLeaving
	// CauseExcluded means that the request excludes the server.
	CauseExcluded
	// CauseNotLoaded means that the server doesn't hold the adapter, CauseOldVersion that it holds a version that is too old.
	CauseNotLoaded
	CauseOldVersion
	// CauseFull means that the server has as many requests as it may have, CausePaused that it wants none for some time, or that it is
	// brittle and has got this entry's part.
	CauseFull
	CausePaused
	// CauseNoRoom means that the request doesn't fit into the server's memory.
	CauseNoRoom
	// CausePrefillBusy means that the server prefills other prompts.
	CausePrefillBusy
)

// ServerView is how a request sees one server.
type ServerView struct {
	Key    tracker.Key
	Zone   string
	Status PickStatus
	Cause  Cause
	// Running is this entry's requests there, Total those of all entries as far as they are known, Expected those that are
	// expected now, and Limit the most that all entries may have there.
	Running  int
	Total    int
	Expected float64
	Limit    int
	Slots    int
	// FreshLoads reports that the loads of the other entries are known.
	FreshLoads bool
	// Unreachable reports that a connection failed lately, so that the server comes after all others.
	Unreachable bool
	// Load is the share of its slots or memory that is taken, Memory the tokens that requests hold or claim.
	Load   float64
	Memory int
	// Step and Prefill are the server's speeds in relation to its service's median, 1 if they aren't known.
	Step, Prefill float64
	// Cached is the number of tokens of the prompt that the server is believed to have cached.
	Cached int
	// Version is the version of the adapter that the server holds; Holds reports that it holds one.
	Version int
	Holds   bool
	// Score is lower for the better server, Chance the probability with which Pick would choose the server; both are 0 for
	// servers that aren't considered.
	Score, Chance float64
}

// Explanation is what Pick would do with a request, and why.
type Explanation struct {
	// Status is what Pick would return; if WaitChance is above 0, it returns NoRoom with that probability instead.
	Status     PickStatus
	WaitChance float64
	// Behind reports that other requests that wait for the service come first.
	Behind bool
	// AdmittedShare is the share of the service's requests of this priority that may look for a server.
	AdmittedShare float64
	Entries       int
	// Estimated reports that the chances come from draws.
	Estimated bool
	// AdapterKnown reports that some server of the service holds the adapter or that a version of it was announced.
	AdapterKnown bool
	Servers      []ServerView
}

// Explain returns what Admit and Pick would do with a request at a time. It changes nothing and draws from no shared source
// of random numbers.
func (b *Balancer) Explain(now time.Time, req Request) Explanation {
	x, c := b.explain(now, req)
	if c != nil {
		c.estimate(x.Servers)
	}
	return x
}

// explain returns the explanation, and the candidates if their chances must be estimated.
func (b *Balancer) explain(now time.Time, req Request) (Explanation, *candidates) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prefixes[req.Service] == nil {
		// The index is made by the first request that needs it.
		req.Prompt.Prefixes = nil
	}
	usable, status := b.usableServers(now, req)
	x := Explanation{Status: status, AdmittedShare: 1, Entries: b.entries, AdapterKnown: len(b.versions[req.Adapter]) > 0}
	if a := b.admissions[req.Service]; a != nil && req.Adapter.Model == "" && b.isCrowded() {
		x.AdmittedShare = a.shareOf(req.Priority)
	}
	for _, s := range b.services[req.Service] {
		v := b.view(now, s, req)
		x.AdapterKnown = x.AdapterKnown || v.Holds
		x.Servers = append(x.Servers, v)
	}
	slices.SortFunc(x.Servers, func(v, w ServerView) int { return strings.Compare(v.Key.ID, w.Key.ID) })
	switch q, r := b.queues[req.Service], b.rooms[req.Service]; {
	case q != nil && q.isBehind(req.Adapter, req.Ticket):
		x.Status, x.Behind = LimitReached, true
		return x, nil
	case r != nil && b.mustWaitForRoom(now, &req):
		x.Status, x.Behind = NoRoom, true
		return x, nil
	case len(usable) == 0:
		return x, nil
	}
	x.Status = Picked
	return x, b.addChances(now, req, usable, &x)
}

// view returns how a request sees a server; the caller holds the lock.
func (b *Balancer) view(now time.Time, s *server, req Request) ServerView {
	v := ServerView{
		Key: s.Key, Zone: s.Zone, Status: b.status(now, s, req), Running: s.running, Total: b.totalRunning(now, s),
		Expected: b.expectedRunning(now, s), Limit: int(math.Ceil(maxRequestsPerSlot * float64(s.slots()))), Slots: s.slots(),
		FreshLoads: b.hasFreshLoads(now, s), Unreachable: now.Before(s.ejectedUntil), Load: b.loadOf(now, s, &req),
		Memory: b.heldMemory(now, s), Step: 1, Prefill: s.prefillRateOf(), Cached: b.held(now, s, req),
	}
	if s.speed.step > 0 {
		v.Step = s.speed.step
	}
	if req.Adapter.Model != "" {
		v.Version, v.Holds = s.residents[req.Adapter]
	}
	if v.Status == Picked {
		v.Score = b.score(now, s, req)
	}
	v.Cause = b.cause(now, s, req, v)
	return v
}

// cause returns why a server isn't considered.
func (b *Balancer) cause(now time.Time, s *server, req Request, v ServerView) Cause {
	switch {
	case v.Status == NoServer && s.Leaving:
		return CauseLeaving
	case v.Status == NoServer:
		return CauseExcluded
	case v.Status == NotLoaded && v.Holds:
		return CauseOldVersion
	case v.Status == NotLoaded:
		return CauseNotLoaded
	case v.Status == LimitReached && b.isFull(now, s, req):
		return CauseFull
	case v.Status == LimitReached:
		return CausePaused
	case v.Status == NoRoom:
		return CauseNoRoom
	case v.Status == PrefillBusy:
		return CausePrefillBusy
	}
	return NoCause
}

// addChances sets the chances of the usable servers, or returns them as candidates if the chances must be estimated.
func (b *Balancer) addChances(now time.Time, req Request, usable []*server, x *Explanation) *candidates {
	set := func(id string, chance float64) {
		for i := range x.Servers {
			if x.Servers[i].Key.ID == id {
				x.Servers[i].Chance = chance
			}
		}
	}
	if req.reckonsRoom() {
		d := b.roomToDraw(now, &req, usable)
		if d.byRoom {
			drawn := 1.0
			if d.scarce() {
				drawn = float64(d.total) / float64(d.coming)
			}
			x.WaitChance = 1 - drawn
			for i, s := range usable {
				set(s.Key.ID, drawn*float64(d.free[i])/float64(d.total))
			}
			return nil
		}
		usable = d.list
	}
	if !b.isCrowded() {
		set(b.best(now, req, usable).Key.ID, 1)
		return nil
	}
	c := b.candidates(now, req, usable)
	if c.parts[0] == len(c.local) && c.parts[1] == len(c.remote) {
		c.addShares(slices.Concat(c.local, c.remote))
		c.setChances(x.Servers, 1)
		return nil
	}
	x.Estimated = true
	return c
}

// candidate is a usable server in the choice by chance.
type candidate struct {
	id       string
	score    float64
	slots    int
	expected float64
	isLocal  bool
	// holds reports that it has cached a long beginning of the prompt, so that it is always considered.
	holds bool
}

// candidates are the usable servers in this entry's data centre and the others.
type candidates struct {
	local, remote []candidate
	// parts are how many of them are considered.
	parts     [2]int
	steepness float64
	chosen    map[string]float64
}

func (b *Balancer) candidates(now time.Time, req Request, usable []*server) *candidates {
	c := &candidates{steepness: b.steepness(req.Service), chosen: make(map[string]float64)}
	for _, s := range usable {
		one := candidate{
			id: s.Key.ID, score: b.score(now, s, req), slots: s.slots(),
			expected: b.expectedRunning(now, s), isLocal: s.Zone == req.Zone, holds: b.held(now, s, req) >= minSharedTokens,
		}
		if one.isLocal {
			c.local = append(c.local, one)
		} else {
			c.remote = append(c.remote, one)
		}
	}
	c.parts = [2]int{b.partSize(len(c.local)), b.partSize(len(c.remote))}
	return c
}

// addShares adds for each of the considered servers the probability that it is chosen among them.
func (c *candidates) addShares(considered []candidate) {
	running, slots, lowest := 0.0, 0, math.Inf(1)
	for _, s := range considered {
		lowest = min(lowest, s.score)
		if s.isLocal {
			running += s.expected
			slots += s.slots
		}
	}
	remote, total := remoteShareOf(running, slots, c.steepness), 0.0
	weights := make([]float64, len(considered))
	for i, s := range considered {
		weights[i] = selectionWeight(s.slots, c.steepness, s.score-lowest)
		if !s.isLocal {
			weights[i] *= remote
		}
		total += weights[i]
	}
	for i, s := range considered {
		c.chosen[s.id] += weights[i] / total
	}
}

func (c *candidates) setChances(views []ServerView, draws float64) {
	for i := range views {
		views[i].Chance = c.chosen[views[i].Key.ID] / draws
	}
}

// estimate sets the chances from draws of the servers to consider, the same ones each time.
func (c *candidates) estimate(views []ServerView) {
	r := rand.New(rand.NewPCG(1, 1))
	for range explainDraws {
		var considered []candidate
		for i, list := range [][]candidate{c.local, c.remote} {
			r.Shuffle(len(list), func(x, y int) { list[x], list[y] = list[y], list[x] })
			considered = append(considered, list[:c.parts[i]]...)
		}
		for i, list := range [][]candidate{c.local, c.remote} {
			for _, s := range list[c.parts[i]:] {
				if s.holds {
					considered = append(considered, s)
				}
			}
		}
		c.addShares(considered)
	}
	c.setChances(views, explainDraws)
}
