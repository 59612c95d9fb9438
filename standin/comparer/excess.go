package comparer

import (
	"cmp"
	"slices"
	"time"

	"redwingstage.org/serving/router"
)

// Cause is the reason why a request's adapter wasn't loaded or its first token was late.
type Cause int

// The causes, determined when the request reaches the owner of the first server it is offered to that lacks its adapter.
const (
	// CauseNone means that the adapter was loaded and the server wasn't slow.
	CauseNone Cause = iota
	// CauseNeverLoaded means that the adapter was never loaded before.
	CauseNeverLoaded
	// CauseLoading means that the server was already loading the adapter.
	CauseLoading
	// CauseSpread means that the entry knew a server with the adapter and chose another.
	CauseSpread
	// CauseUnknownCopy means that another server had the adapter or was loading it, unknown to the entry.
	CauseUnknownCopy
	// CauseEvictedRecently and CauseEvictedEarlier mean that the adapter was evicted less than recentEviction ago, or earlier.
	CauseEvictedRecently
	CauseEvictedEarlier
	// CauseSlowedWhileRunning means that the engine became slow while the request ran.
	CauseSlowedWhileRunning
	// CauseUndetectedStraggler means that the request was sent to a slow engine that its owner hadn't detected.
	CauseUndetectedStraggler
	// CauseDetectedStraggler means that the request was sent to a slow engine that its owner had detected.
	CauseDetectedStraggler
	// CauseLoadedOnlyOnStraggler means CauseDetectedStraggler while no engine at normal speed had the adapter.
	CauseLoadedOnlyOnStraggler

	causeCount = int(CauseLoadedOnlyOnStraggler) + 1
)

// recentEviction is the age below which an eviction counts as recent.
const recentEviction = 20 * time.Second

// String returns the cause's name in the tables.
func (c Cause) String() string {
	return [causeCount]string{
		"loaded", "never loaded before", "being loaded there", "loaded elsewhere, chosen to spread", "loaded elsewhere, not known",
		"evicted in the last 20 s", "evicted earlier", "running when it slowed", "sent before noticed", "sent though noticed",
		"sent though noticed, loaded only there",
	}[c]
}

// Excess is a run's stalls and late first tokens by cause, in requests, and the use of its slots.
type Excess struct {
	// Stalled counts stalled requests by cause; StalledBeyondIdeal and StalledBeyondIdealPast count those that
	// wouldn't stall in an ideal cache that knows the popularity, or that learns it.
	Stalled                [causeCount]float64 `json:"stalled"`
	StalledBeyondIdeal     [causeCount]float64 `json:"beyond_ideal"`
	StalledBeyondIdealPast [causeCount]float64 `json:"beyond_ideal_with_past"`
	// StalledOnlyInIdeal counts requests that stall only in the ideal cache that knows the popularity.
	StalledOnlyInIdeal float64 `json:"saved"`
	// Late counts the slowest 1 % of urgent requests by cause.
	Late [causeCount]float64 `json:"late"`
	// Distinct, Copies, Loading and Free are the fleet's slots by use, as means over time; Distinct counts each adapter once.
	Distinct float64 `json:"slots_distinct"`
	Copies   float64 `json:"slots_copies"`
	Loading  float64 `json:"slots_loading"`
	Free     float64 `json:"slots_free"`
	// DetectSeconds is the median time until the owner detects a slow engine as a straggler; UndetectedShare is the share of
	// slow periods that ended undetected.
	DetectSeconds   float64 `json:"notice_s"`
	UndetectedShare float64 `json:"notice_missed"`
}

// recordStallCause records why a request's adapter isn't loaded at a server.
func (s *simulation) recordStallCause(r *request, e *engine, first router.Candidate, rest []router.Candidate) {
	r.stalled = true
	name := r.target.String()
	isLoadedWarm := func(c router.Candidate) bool { return c.Warm && s.engines[s.engineIndex[c.Server]].isLoaded(r.target) }
	hasElsewhere := func(o *engine) bool {
		_, ok := o.loadOrders[name]
		return o != e && o.alive && (ok || o.isLoaded(r.target))
	}
	_, loading := e.loadOrders[name]
	evictedAt, evicted := s.evictedAt[name]
	switch {
	case loading:
		r.stallCause = CauseLoading
	case !first.Warm && slices.ContainsFunc(rest, isLoadedWarm):
		r.stallCause = CauseSpread
	case slices.ContainsFunc(s.engines, hasElsewhere):
		r.stallCause = CauseUnknownCopy
	case !evicted:
		r.stallCause = CauseNeverLoaded
	case s.now.Sub(evictedAt) < recentEviction:
		r.stallCause = CauseEvictedRecently
	default:
		r.stallCause = CauseEvictedEarlier
	}
}

// recordLateCause records the cause of lateness of an attempt at a slow engine.
func (s *simulation) recordLateCause(owner int, a *attempt) {
	switch {
	case !s.slow[a.server]:
	case s.entries[owner].sched.IsSlow(s.now, a.server):
		a.req.lateCause = CauseLoadedOnlyOnStraggler
		if slices.ContainsFunc(s.engines, func(o *engine) bool { return o.alive && !s.slow[o.name] && o.isLoaded(a.req.target) }) {
			a.req.lateCause = CauseDetectedStraggler
		}
	default:
		a.req.lateCause = CauseUndetectedStraggler
	}
}

// markSlowedRequests marks the requests that await their first token on an engine that becomes slow.
func (s *simulation) markSlowedRequests(server string) {
	for a := range s.openAttempts {
		if a.server == server && !a.sentAt.IsZero() && a.req.firstToken.IsZero() {
			a.req.lateCause = CauseSlowedWhileRunning
		}
	}
}

// measureDetection measures how long the owner takes to detect a slow engine.
func (s *simulation) measureDetection(server string, since time.Time) {
	s.after(tickInterval/4, func() {
		switch {
		case !s.slow[server]:
			s.undetected++
		case s.entries[s.owner[server]].sched.IsSlow(s.now, server):
			s.detectDelays = append(s.detectDelays, s.now.Sub(since).Seconds())
		default:
			s.measureDetection(server, since)
		}
	})
}

// sampleSlots samples the use of the fleet's slots.
func (s *simulation) sampleSlots() {
	held := make(map[string]int)
	x := &s.res.Excess
	for _, e := range s.engines {
		list := e.model.Residents()
		for _, name := range list {
			held[name]++
		}
		x.Loading += float64(len(e.loadOrders))
		x.Free += float64(e.slots - len(list) - len(e.loadOrders))
	}
	for _, n := range held {
		x.Distinct++
		x.Copies += float64(n - 1)
	}
	s.slotSamples++
}

// computeExcess computes the breakdown from the run's requests.
func (s *simulation) computeExcess() {
	x := &s.res.Excess
	known, past := idealWaits(s.deployment, s.sc, s.reqs, KnowsPopularity), idealWaits(s.deployment, s.sc, s.reqs, KnowsPast)
	var urgent []*request
	for i, r := range s.reqs {
		if r.at < s.sc.Warmup {
			continue
		}
		if !r.long {
			urgent = append(urgent, r)
		}
		if !r.stalled {
			x.StalledOnlyInIdeal += float64(boolToInt(known[i] > 0))
			continue
		}
		x.Stalled[r.stallCause]++
		x.StalledBeyondIdeal[r.stallCause] += float64(boolToInt(known[i] == 0))
		x.StalledBeyondIdealPast[r.stallCause] += float64(boolToInt(past[i] == 0))
	}
	slices.SortStableFunc(urgent, func(a, b *request) int { return cmp.Compare(b.timeToFirstToken(), a.timeToFirstToken()) })
	for _, r := range urgent[:len(urgent)/100] {
		x.Late[cmp.Or(r.lateCause, r.stallCause)]++
	}
	for _, f := range []*float64{&x.Distinct, &x.Copies, &x.Loading, &x.Free} {
		*f /= float64(max(s.slotSamples, 1))
	}
	x.UndetectedShare = share(s.undetected, s.undetected+len(s.detectDelays))
	x.DetectSeconds = quantile(s.detectDelays, 0.5)
}

// timeToFirstToken returns the time to the first token, or twice the budget without one.
func (r *request) timeToFirstToken() time.Duration {
	if r.firstToken.IsZero() {
		return 2 * firstTokenBudget
	}
	return r.firstToken.Sub(time.Unix(0, 0).Add(r.at))
}

func (x *Excess) fields() []*float64 {
	list := []*float64{&x.StalledOnlyInIdeal, &x.Distinct, &x.Copies, &x.Loading, &x.Free, &x.DetectSeconds, &x.UndetectedShare}
	for i := range causeCount {
		list = append(list, &x.Stalled[i], &x.StalledBeyondIdeal[i], &x.StalledBeyondIdealPast[i], &x.Late[i])
	}
	return list
}

// writeExcess writes a row's breakdown.
func (r Row) writeExcess(line func(string, ...any)) {
	x := r.Result.Excess
	per := 100 / max(r.Result.Requests, 1)
	line("\n%s, %s, %s: of 100 requests\tstalled\tan ideal cache wouldn't\tone that learns wouldn't\tof the slowest hundredth", r.Deployment, r.Scenario, r.Policy)
	for c := range causeCount {
		late := 0.0
		for _, n := range x.Late {
			late += n
		}
		line("%s\t%.2f\t%.2f\t%.2f\t%.0f %%", Cause(c), x.Stalled[c]*per, x.StalledBeyondIdeal[c]*per, x.StalledBeyondIdealPast[c]*per, 100*x.Late[c]/max(late, 1))
	}
	line("stalled at the ideal cache only\t\t%.2f", -x.StalledOnlyInIdeal*per)
	line("slots: %.1f adapters, %.1f copies, %.1f loading, %.1f free; a slow engine is noticed after %.0f ms, %.0f %% are not",
		x.Distinct, x.Copies, x.Loading, x.Free, x.DetectSeconds*1000, x.UndetectedShare*100)
}
