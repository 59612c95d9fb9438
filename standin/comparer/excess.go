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
	// CauseFirst means that the adapter was never loaded before.
	CauseFirst
	// CauseJoined means that the server was already loading the adapter.
	CauseJoined
	// CauseSpread means that the entry knew a server with the adapter and chose another.
	CauseSpread
	// CauseUnknown means that another server had the adapter or was loading it, unknown to the entry.
	CauseUnknown
	// CauseRecent and CauseOld mean that the adapter was evicted less than recentEviction ago, or earlier.
	CauseRecent
	CauseOld
	// CauseCaught means that the engine became slow while the request ran, CauseUnnoticed that the request was sent to a slow
	// engine that its owner hadn't detected as a straggler, CauseNoticed that the owner had, and CauseAlone that in addition
	// no engine at normal speed had the adapter.
	CauseCaught
	CauseUnnoticed
	CauseNoticed
	CauseAlone

	causes = int(CauseAlone) + 1
)

// recentEviction is the age below which an eviction counts as recent.
const recentEviction = 20 * time.Second

// String returns the cause's name in the tables.
func (c Cause) String() string {
	return [causes]string{
		"loaded", "never loaded before", "being loaded there", "loaded elsewhere, chosen to spread", "loaded elsewhere, not known",
		"evicted in the last 20 s", "evicted earlier", "running when it slowed", "sent before noticed", "sent though noticed",
		"sent though noticed, loaded only there",
	}[c]
}

// Excess is a run's stalls and late first tokens by cause, in requests, and the use of its slots.
type Excess struct {
	// Stalled counts stalled requests by cause; Beyond and BeyondPast count those of them that wouldn't stall in an ideal cache
	// that knows the popularity, or that learns it.
	Stalled    [causes]float64 `json:"stalled"`
	Beyond     [causes]float64 `json:"beyond_ideal"`
	BeyondPast [causes]float64 `json:"beyond_ideal_with_past"`
	// Saved counts requests that stall only in the ideal cache that knows the popularity.
	Saved float64 `json:"saved"`
	// Late counts the slowest 1 % of urgent requests by cause.
	Late [causes]float64 `json:"late"`
	// Distinct, Copies, Loading and Free are the fleet's slots by use, as means over time; Distinct counts each adapter once.
	Distinct float64 `json:"slots_distinct"`
	Copies   float64 `json:"slots_copies"`
	Loading  float64 `json:"slots_loading"`
	Free     float64 `json:"slots_free"`
	// Notice is the median time until the owner detects a slow engine as a straggler, in seconds; Missed is the share of
	// slow periods that ended undetected.
	Notice float64 `json:"notice_s"`
	Missed float64 `json:"notice_missed"`
}

// judgeStall records why a request's adapter isn't loaded at a server.
func (w *world) judgeStall(r *request, e *engine, first router.Candidate, rest []router.Candidate) {
	r.stalled = true
	name := r.target.String()
	isWarm := func(c router.Candidate) bool { return c.Warm && w.engines[w.byName[c.Server]].holds(r.target) }
	had := func(o *engine) bool { _, ok := o.orders[name]; return o != e && o.alive && (ok || o.holds(r.target)) }
	_, loading := e.orders[name]
	gone, evicted := w.evicted[name]
	switch {
	case loading:
		r.cause = CauseJoined
	case !first.Warm && slices.ContainsFunc(rest, isWarm):
		r.cause = CauseSpread
	case slices.ContainsFunc(w.engines, had):
		r.cause = CauseUnknown
	case !evicted:
		r.cause = CauseFirst
	case w.now.Sub(gone) < recentEviction:
		r.cause = CauseRecent
	default:
		r.cause = CauseOld
	}
}

// judgeLate records the cause of lateness of an attempt at a slow engine.
func (w *world) judgeLate(owner int, a *attempt) {
	switch {
	case !w.slow[a.server]:
	case w.entries[owner].sched.IsSlow(w.now, a.server):
		a.req.late = CauseAlone
		if slices.ContainsFunc(w.engines, func(o *engine) bool { return o.alive && !w.slow[o.name] && o.holds(a.req.target) }) {
			a.req.late = CauseNoticed
		}
	default:
		a.req.late = CauseUnnoticed
	}
}

// caught marks the requests that await their first token on an engine that becomes slow.
func (w *world) caught(server string) {
	for a := range w.open {
		if a.server == server && !a.sentAt.IsZero() && a.req.first.IsZero() {
			a.req.late = CauseCaught
		}
	}
}

// watchNotice measures how long the owner takes to detect a slow engine.
func (w *world) watchNotice(server string, since time.Time) {
	w.after(tickEvery/4, func() {
		switch {
		case !w.slow[server]:
			w.missed++
		case w.entries[w.owner[server]].sched.IsSlow(w.now, server):
			w.notices = append(w.notices, w.now.Sub(since).Seconds())
		default:
			w.watchNotice(server, since)
		}
	})
}

// sampleSlots samples the use of the fleet's slots.
func (w *world) sampleSlots() {
	held := make(map[string]int)
	x := &w.res.Excess
	for _, e := range w.engines {
		list := e.model.Residents()
		for _, name := range list {
			held[name]++
		}
		x.Loading += float64(len(e.orders))
		x.Free += float64(e.slots - len(list) - len(e.orders))
	}
	for _, n := range held {
		x.Distinct++
		x.Copies += float64(n - 1)
	}
	w.samples++
}

// collectExcess computes the breakdown from the run's requests.
func (w *world) collectExcess() {
	x := &w.res.Excess
	known, past := waits(w.team, w.sc, w.reqs, Popularity), waits(w.team, w.sc, w.reqs, Past)
	var urgent []*request
	for i, r := range w.reqs {
		if r.at < w.sc.Warmup {
			continue
		}
		if !r.long {
			urgent = append(urgent, r)
		}
		if !r.stalled {
			x.Saved += float64(count(known[i] > 0))
			continue
		}
		x.Stalled[r.cause]++
		x.Beyond[r.cause] += float64(count(known[i] == 0))
		x.BeyondPast[r.cause] += float64(count(past[i] == 0))
	}
	slices.SortStableFunc(urgent, func(a, b *request) int { return cmp.Compare(b.took(), a.took()) })
	for _, r := range urgent[:len(urgent)/100] {
		x.Late[cmp.Or(r.late, r.cause)]++
	}
	for _, f := range []*float64{&x.Distinct, &x.Copies, &x.Loading, &x.Free} {
		*f /= float64(max(w.samples, 1))
	}
	x.Missed = share(w.missed, w.missed+len(w.notices))
	x.Notice = quantile(w.notices, 0.5)
}

// took returns the time to the first token, or twice the budget without one.
func (r *request) took() time.Duration {
	if r.first.IsZero() {
		return 2 * firstBudget
	}
	return r.first.Sub(time.Unix(0, 0).Add(r.at))
}

func (x *Excess) fields() []*float64 {
	list := []*float64{&x.Saved, &x.Distinct, &x.Copies, &x.Loading, &x.Free, &x.Notice, &x.Missed}
	for i := range causes {
		list = append(list, &x.Stalled[i], &x.Beyond[i], &x.BeyondPast[i], &x.Late[i])
	}
	return list
}

// writeExcess writes a row's breakdown.
func (r Row) writeExcess(line func(string, ...any)) {
	x := r.Result.Excess
	per := 100 / max(r.Result.Requests, 1)
	line("\n%s, %s, %s: of 100 requests\tstalled\tan ideal cache wouldn't\tone that learns wouldn't\tof the slowest hundredth", r.Team, r.Scenario, r.Policy)
	for c := range causes {
		late := 0.0
		for _, n := range x.Late {
			late += n
		}
		line("%s\t%.2f\t%.2f\t%.2f\t%.0f %%", Cause(c), x.Stalled[c]*per, x.Beyond[c]*per, x.BeyondPast[c]*per, 100*x.Late[c]/max(late, 1))
	}
	line("stalled at the ideal cache only\t\t%.2f", -x.Saved*per)
	line("slots: %.1f adapters, %.1f copies, %.1f loading, %.1f free; a slow engine is noticed after %.0f ms, %.0f %% are not",
		x.Distinct, x.Copies, x.Loading, x.Free, x.Notice*1000, x.Missed*100)
}
