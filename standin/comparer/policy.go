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

// Rule is a way to pick candidates.
type Rule int

// The rules; all but the first are baselines.
const (
	// RuleRouter is the router of this project.
	RuleRouter Rule = iota
	// RuleRoundRobin picks the servers in turn.
	RuleRoundRobin
	// RuleLeast picks the server with the fewest requests of this entry in flight.
	RuleLeast
)

// allParts is every part of the scheduler's policy that can be disabled.
const allParts = scheduler.PartClasses | scheduler.PartPass | scheduler.PartLongShare | scheduler.PartRates |
	scheduler.PartStragglers | scheduler.PartWorth

// Policies returns the project's policy, the baselines, and the project's policy with each of its parts disabled.
func Policies() []Policy {
	return []Policy{
		{Name: "redwingstage"},
		{Name: "round robin", Rule: RuleRoundRobin, Scheduler: allParts, NoHedge: true},
		{Name: "least in flight", Rule: RuleLeast, Scheduler: allParts, NoHedge: true},
		{Name: "no class separation", Scheduler: scheduler.PartClasses | scheduler.PartLongShare},
		{Name: "LRU victims", Scheduler: scheduler.PartRates},
		{Name: "without passing on", Scheduler: scheduler.PartPass},
		{Name: "without worth", Scheduler: scheduler.PartWorth},
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
	Note(now time.Time, fb router.Feedback)
	Done(now time.Time, fb router.Feedback)
}

func newPicker(p Policy, seed uint64) picker {
	if p.Rule == RuleRouter {
		return router.New(router.Config{Off: p.Router}, seed)
	}
	return &plainPicker{least: p.Rule == RuleLeast, open: make(map[string]int), turn: int(seed % 97)}
}

// plainPicker picks in turn or by requests in flight and ignores the adapter, for the baselines.
type plainPicker struct {
	least bool
	list  []router.Candidate
	open  map[string]int
	turn  int
}

// Rebuild replaces the candidates with the servers of a new roster.
func (p *plainPicker) Rebuild(roster *registrar.Roster, services ...string) {
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
func (p *plainPicker) Route(_ time.Time, _ configurer.Target, _ uint64, buf []router.Candidate) []router.Candidate {
	p.turn++
	for i := range p.list {
		buf = append(buf, p.list[(p.turn+i)%len(p.list)])
	}
	if p.least {
		slices.SortStableFunc(buf, func(a, b router.Candidate) int { return p.open[a.Server] - p.open[b.Server] })
	}
	return buf[:min(len(buf), router.DefaultCandidates)]
}

// Begin counts a request in flight.
func (p *plainPicker) Begin(_ time.Time, server string, _ configurer.Target) { p.open[server]++ }

// Note ignores the feedback.
func (p *plainPicker) Note(time.Time, router.Feedback) {}

// Done removes a request from those in flight.
func (p *plainPicker) Done(_ time.Time, fb router.Feedback) { p.open[fb.Server]-- }
