package comparer

import (
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
)

// Policy is a way to route and schedule that is compared.
type Policy struct {
	Name string
	// Rule picks the candidates.
	Rule Rule
	// Scheduler and Router name the parts that are switched off.
	Scheduler scheduler.Part
	Router    router.Part
	// NoHedge switches hedges off.
	NoHedge bool
}

// Rule is a way to pick candidates.
type Rule int

// The rules; all but the first are baselines.
const (
	// RuleRouter is the router of this project.
	RuleRouter Rule = iota
	// RuleRoundRobin goes through the servers in turn.
	RuleRoundRobin
	// RuleLeast takes the server with the fewest requests of this entry in flight.
	RuleLeast
)

// allParts switches every part of the scheduler's policy off.
const allParts = scheduler.PartClasses | scheduler.PartPass | scheduler.PartLongShare | scheduler.PartRates |
	scheduler.PartStragglers | scheduler.PartWorth

// Policies returns the project's policy, the baselines and the policy without each of its parts.
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

// picker is what an entry asks for candidates.
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

// plainPicker is the baselines' way: in turn, or by requests in flight, whatever the adapter.
type plainPicker struct {
	least bool
	list  []router.Candidate
	open  map[string]int
	turn  int
}

// Rebuild takes a new roster over.
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

// Route returns the servers from the one whose turn it is, or the least used first.
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

// Begin counts a request.
func (p *plainPicker) Begin(_ time.Time, server string, _ configurer.Target) { p.open[server]++ }

// Note learns nothing.
func (p *plainPicker) Note(time.Time, router.Feedback) {}

// Done counts a request's end.
func (p *plainPicker) Done(_ time.Time, fb router.Feedback) { p.open[fb.Server]-- }
