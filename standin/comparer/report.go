package comparer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Row is a policy's results on a scenario, as means over the seeds.
type Row struct {
	Deployment string `json:"team"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Result     Result `json:"result"`
	// Bound, FutureBound and PastBound are the ideal cache's with KnowsPopularity, KnowsFuture and KnowsPast.
	Bound       Bound `json:"bound"`
	FutureBound Bound `json:"bound_with_future"`
	PastBound   Bound `json:"ideal_with_past"`
}

// Target is a ratio of two results of one comparison, checked against a limit.
type Target struct {
	Deployment string  `json:"team"`
	Name       string  `json:"name"`
	Scenario   string  `json:"scenario"`
	Value      float64 `json:"value"`
	Limit      float64 `json:"limit"`
	Met        bool    `json:"met"`
}

// Report is the results of a comparison.
type Report struct {
	Seeds   int      `json:"seeds"`
	Rows    []Row    `json:"rows"`
	Targets []Target `json:"targets"`
}

// Limits of the targets, each a ratio of two results of one comparison.
const (
	maxStallRatio         = 1.2
	minPeakRatio          = 0.95
	maxLongJobsP99Ratio   = 1.3
	maxStragglersP99Ratio = 1.5
)

// Compare runs each policy on each scenario with seeds 1 to seeds; up to parallel of these pairs run concurrently.
func Compare(deployments []Deployment, scenarios []Scenario, policies []Policy, seeds, parallel int) *Report {
	rep := &Report{Seeds: seeds}
	for _, t := range deployments {
		for _, sc := range scenarios {
			known, future, past := meanBounds(t, sc, seeds)
			for _, p := range policies {
				rep.Rows = append(rep.Rows, Row{Deployment: t.Name, Scenario: sc.Name, Policy: p.Name, Bound: known, FutureBound: future, PastBound: past})
			}
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(parallel, 1))
	i := 0
	for _, t := range deployments {
		for _, sc := range scenarios {
			for _, p := range policies {
				row := &rep.Rows[i]
				i++
				wg.Add(1)
				slots <- struct{}{}
				go func() {
					defer func() {
						<-slots
						wg.Done()
					}()
					list := make([]*Result, seeds)
					for s := range list {
						list[s] = Run(t, sc, p, uint64(s+1))
					}
					row.Result = Mean(list)
				}()
			}
		}
	}
	wg.Wait()
	for _, t := range deployments {
		rep.checkTargets(t.Name, scenarios, policies[0].Name)
	}
	return rep
}

// meanBounds returns the ideal cache's bounds, as means over the seeds.
func meanBounds(t Deployment, sc Scenario, seeds int) (known, future, past Bound) {
	for s := range seeds {
		reqs := newRequests(t, sc, uint64(s+1))
		known.add(IdealBound(t, sc, reqs, KnowsPopularity), seeds)
		future.add(IdealBound(t, sc, reqs, KnowsFuture), seeds)
		past.add(IdealBound(t, sc, reqs, KnowsPast), seeds)
	}
	return known, future, past
}

func (b *Bound) add(o Bound, n int) {
	b.StallShare += o.StallShare / float64(n)
	b.StallSeconds += o.StallSeconds / float64(n)
	b.InTimeAtPeak += o.InTimeAtPeak / float64(n)
}

// Row returns the row of a policy on a scenario.
func (rep *Report) Row(deployment, scenario, policy string) (Row, bool) {
	i := slices.IndexFunc(rep.Rows, func(r Row) bool { return r.Deployment == deployment && r.Scenario == scenario && r.Policy == policy })
	if i < 0 {
		return Row{}, false
	}
	return rep.Rows[i], true
}

// checkTargets checks the policy's results against the targets.
func (rep *Report) checkTargets(deployment string, scenarios []Scenario, policy string) {
	steady, ok := rep.Row(deployment, scenarios[0].Name, policy)
	if !ok {
		return
	}
	add := func(name string, sc Scenario, value, limit float64, met bool) {
		rep.Targets = append(rep.Targets, Target{Deployment: deployment, Name: name, Scenario: sc.Name, Value: value, Limit: limit, Met: met})
	}
	for _, sc := range scenarios {
		r, ok := rep.Row(deployment, sc.Name, policy)
		if !ok {
			continue
		}
		if sc.Name == scenarios[0].Name {
			v := r.Result.StallShare / r.Bound.StallShare
			add("stalled requests over an ideal cache that knows the popularity", sc, v, maxStallRatio, v <= maxStallRatio)
			v = r.Result.StallShare / r.PastBound.StallShare
			add("stalled requests over an ideal cache that learns it", sc, v, maxStallRatio, v <= maxStallRatio)
		}
		if sc.PeakFactor > 1 {
			v := r.Result.UrgentInTimeAtPeak / r.Bound.InTimeAtPeak
			add("urgent work in time over what the store allows", sc, v, minPeakRatio, v >= minPeakRatio)
		}
		v := r.Result.FirstP99 / steady.Result.FirstP99
		if sc.LongShare > 0 {
			add("p99 of short work over p99 without long jobs", sc, v, maxLongJobsP99Ratio, v <= maxLongJobsP99Ratio)
		}
		if sc.Stragglers > 0 {
			add("p99 over p99 without stragglers", sc, v, maxStragglersP99Ratio, v <= maxStragglersP99Ratio)
		}
	}
}

// WriteJSON writes the report as indented JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(rep)
}

// WriteTable writes the rows, with excess also the causes of stalls and late first tokens, then the targets.
func (rep *Report) WriteTable(w io.Writer, excess bool) error {
	var b bytes.Buffer
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	group := ""
	for _, r := range rep.Rows {
		if name := r.Deployment + ", " + r.Scenario; name != group {
			group = name
			line("\n%s (stalls of an ideal cache: %.4f with the popularity known, %.4f with the past, %.4f with the future)",
				name, r.Bound.StallShare, r.PastBound.StallShare, r.FutureBound.StallShare)
			line("policy\tstalled\tstall s/1000\tfirst p99 s\tnot stalled p99 s\tanswer p99 s\tin time\tat crest\tfill\tlong done\tnot run\tloads\thedges\twrong")
		}
		m := r.Result
		line("%s\t%.4f\t%.1f\t%.2f\t%.2f\t%.2f\t%.4f\t%.4f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f", r.Policy, m.StallShare, m.StallSeconds,
			m.FirstP99, m.FirstP99NotStalled, m.TotalP99, m.UrgentInTime, m.UrgentInTimeAtPeak, m.BatchFill, m.LongDone, m.NotRun, m.Loads, m.Hedges, m.Violations)
	}
	if excess {
		for _, r := range rep.Rows {
			r.writeExcess(line)
		}
	}
	line("\ntarget\tscenario\tmeasured\tlimit\tmet")
	for _, t := range rep.Targets {
		line("%s, %s\t%s\t%.3f\t%.2f\t%t", t.Deployment, t.Name, t.Scenario, t.Value, t.Limit, t.Met)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := b.WriteTo(tw); err != nil {
		return err
	}
	return tw.Flush()
}
