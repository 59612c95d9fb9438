package comparer

import (
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
)

// Policy is a configuration of routing and scheduling.
type Policy struct {
	Name string
	// Rule picks the candidates.
	Rule Rule
	// Scheduler and Router are the parts that are disabled.
	Scheduler scheduler.Part
	Router    router.Part
	// NoHedge disables hedging.
	NoHedge bool
}

// Rule is a method of picking candidates.
type Rule int

// The rules; all but the first are baselines.
const (
	// RuleRouter is the router of this project.
	RuleRouter Rule = iota
	// RuleRoundRobin picks the servers in turn.
	RuleRoundRobin
	// RuleLeastInFlight picks the server with the fewest requests of this entry in flight.
	RuleLeastInFlight
)

// allSchedulerParts is every part of the scheduler's policy that can be disabled.
const allSchedulerParts = scheduler.PartClasses | scheduler.PartRefuseLate | scheduler.PartLongShare | scheduler.PartEvictByRate |
	scheduler.PartStragglers | scheduler.PartRefuseRareLoads

// Policies returns the project's policy, the baselines, and the project's policy with each of its parts disabled.
func Policies() []Policy {
	return []Policy{
		{Name: "redwingstage"},
		{Name: "round robin", Rule: RuleRoundRobin, Scheduler: allSchedulerParts, NoHedge: true},
		{Name: "least in flight", Rule: RuleLeastInFlight, Scheduler: allSchedulerParts, NoHedge: true},
		{Name: "no class separation", Scheduler: scheduler.PartClasses | scheduler.PartLongShare},
		{Name: "LRU victims", Scheduler: scheduler.PartEvictByRate},
		{Name: "without passing on", Scheduler: scheduler.PartRefuseLate},
		{Name: "without worth", Scheduler: scheduler.PartRefuseRareLoads},
		{Name: "without long share", Scheduler: scheduler.PartLongShare},
		{Name: "without straggler marks", Scheduler: scheduler.PartStragglers, NoHedge: true},
		{Name: "without hedges", NoHedge: true},
		{Name: "without spreading", Router: router.PartSpread},
		{Name: "without warm joining", Router: router.PartWarm},
		{Name: "without feedback", Router: router.PartFeedback},
		{Name: "without prefix affinity", Router: router.PartPrefix},
	}
}

// picker selects the candidates for an entry's requests.
type picker interface {
	Rebuild(roster *registrar.Roster, services ...string)
	Route(now time.Time, t configurer.Target, prefix uint64, buf []router.Candidate) []router.Candidate
	Begin(now time.Time, server string, t configurer.Target)
	RecordFeedback(now time.Time, fb router.Feedback)
	End(now time.Time, fb router.Feedback)
}

func newPicker(p Policy, seed uint64) picker {
	if p.Rule == RuleRouter {
		return router.New(router.Config{Off: p.Router}, seed)
	}
	return &baselinePicker{byInFlight: p.Rule == RuleLeastInFlight, inFlight: make(map[string]int), nextIndex: int(seed % 97)}
}

// baselinePicker picks in turn or by requests in flight and ignores the adapter, for the baselines.
type baselinePicker struct {
	byInFlight bool
	list       []router.Candidate
	inFlight   map[string]int
	nextIndex  int
}

// Rebuild replaces the candidates with the servers of a new roster.
func (p *baselinePicker) Rebuild(roster *registrar.Roster, services ...string) {
	p.list = nil
	for _, service := range services {
		for _, sv := range roster.Servers(service) {
			if o, ok := roster.Owner(sv.Name); ok && !sv.Leaving {
				p.list = append(p.list, router.Candidate{Server: sv.Name, Owner: o.Entry})
			}
		}
	}
}

// Route returns candidates in round-robin order, or those with the fewest requests in flight first.
func (p *baselinePicker) Route(_ time.Time, _ configurer.Target, _ uint64, buf []router.Candidate) []router.Candidate {
	p.nextIndex++
	for i := range p.list {
		buf = append(buf, p.list[(p.nextIndex+i)%len(p.list)])
	}
	if p.byInFlight {
		slices.SortStableFunc(buf, func(a, b router.Candidate) int { return p.inFlight[a.Server] - p.inFlight[b.Server] })
	}
	return buf[:min(len(buf), router.DefaultCandidates)]
}

// Begin counts a request in flight.
func (p *baselinePicker) Begin(_ time.Time, server string, _ configurer.Target) { p.inFlight[server]++ }

// RecordFeedback ignores the feedback.
func (p *baselinePicker) RecordFeedback(time.Time, router.Feedback) {}

// End removes a request from those in flight.
func (p *baselinePicker) End(_ time.Time, fb router.Feedback) { p.inFlight[fb.Server]-- }
