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
	Team     string `json:"team"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Result   Result `json:"result"`
	// Bound knows the popularity in advance, Future every request, and Past only earlier requests.
	Bound  Bound `json:"bound"`
	Future Bound `json:"bound_with_future"`
	Past   Bound `json:"ideal_with_past"`
}

// Target is a ratio of two results of one comparison, checked against a limit.
type Target struct {
	Team     string  `json:"team"`
	Name     string  `json:"name"`
	Scenario string  `json:"scenario"`
	Value    float64 `json:"value"`
	Limit    float64 `json:"limit"`
	Met      bool    `json:"met"`
}

// Report is the results of a comparison.
type Report struct {
	Seeds   int      `json:"seeds"`
	Rows    []Row    `json:"rows"`
	Targets []Target `json:"targets"`
}

// Limits of the targets, each a ratio of two results of one comparison.
const (
	maxStalls     = 1.2
	minCrest      = 0.95
	maxBehindLong = 1.3
	maxStragglers = 1.5
)

// Compare runs each policy on each scenario with seeds 1 to seeds; up to parallel of these pairs run concurrently.
func Compare(teams []Team, scenarios []Scenario, policies []Policy, seeds, parallel int) *Report {
	rep := &Report{Seeds: seeds}
	for _, t := range teams {
		for _, sc := range scenarios {
			known, future, past := bounds(t, sc, seeds)
			for _, p := range policies {
				rep.Rows = append(rep.Rows, Row{Team: t.Name, Scenario: sc.Name, Policy: p.Name, Bound: known, Future: future, Past: past})
			}
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(parallel, 1))
	i := 0
	for _, t := range teams {
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
	for _, t := range teams {
		rep.judge(t.Name, scenarios, policies[0].Name)
	}
	return rep
}

// bounds returns the ideal cache's bounds, as means over the seeds.
func bounds(t Team, sc Scenario, seeds int) (known, future, past Bound) {
	for s := range seeds {
		reqs := generate(t, sc, uint64(s+1))
		known.add(Unavoidable(t, sc, reqs, Popularity), seeds)
		future.add(Unavoidable(t, sc, reqs, Future), seeds)
		past.add(Unavoidable(t, sc, reqs, Past), seeds)
	}
	return known, future, past
}

func (b *Bound) add(o Bound, n int) {
	b.Share += o.Share / float64(n)
	b.Seconds += o.Seconds / float64(n)
	b.InTime += o.InTime / float64(n)
}

// Row returns the row of a policy on a scenario.
func (rep *Report) Row(team, scenario, policy string) (Row, bool) {
	i := slices.IndexFunc(rep.Rows, func(r Row) bool { return r.Team == team && r.Scenario == scenario && r.Policy == policy })
	if i < 0 {
		return Row{}, false
	}
	return rep.Rows[i], true
}

// judge checks the policy's results against the targets.
func (rep *Report) judge(team string, scenarios []Scenario, policy string) {
	steady, ok := rep.Row(team, scenarios[0].Name, policy)
	if !ok {
		return
	}
	add := func(name string, sc Scenario, value, limit float64, met bool) {
		rep.Targets = append(rep.Targets, Target{Team: team, Name: name, Scenario: sc.Name, Value: value, Limit: limit, Met: met})
	}
	for _, sc := range scenarios {
		r, ok := rep.Row(team, sc.Name, policy)
		if !ok {
			continue
		}
		if sc.Name == scenarios[0].Name {
			v := r.Result.StallShare / r.Bound.Share
			add("stalled requests over an ideal cache that knows the popularity", sc, v, maxStalls, v <= maxStalls)
			v = r.Result.StallShare / r.Past.Share
			add("stalled requests over an ideal cache that learns it", sc, v, maxStalls, v <= maxStalls)
		}
		if sc.Crest > 1 {
			v := r.Result.CrestGoodput / r.Bound.InTime
			add("urgent work in time over what the store allows", sc, v, minCrest, v >= minCrest)
		}
		v := r.Result.FirstP99 / steady.Result.FirstP99
		if sc.LongShare > 0 {
			add("p99 of short work over p99 without long jobs", sc, v, maxBehindLong, v <= maxBehindLong)
		}
		if sc.Stragglers > 0 {
			add("p99 over p99 without stragglers", sc, v, maxStragglers, v <= maxStragglers)
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
		if name := r.Team + ", " + r.Scenario; name != group {
			group = name
			line("\n%s (stalls of an ideal cache: %.4f with the popularity known, %.4f with the past, %.4f with the future)",
				name, r.Bound.Share, r.Past.Share, r.Future.Share)
			line("policy\tstalled\tstall s/1000\tfirst p99 s\tnot stalled p99 s\tanswer p99 s\tin time\tat crest\tfill\tlong done\tnot run\tloads\thedges\twrong")
		}
		m := r.Result
		line("%s\t%.4f\t%.1f\t%.2f\t%.2f\t%.2f\t%.4f\t%.4f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f", r.Policy, m.StallShare, m.StallSeconds,
			m.FirstP99, m.WarmP99, m.TotalP99, m.Goodput, m.CrestGoodput, m.Fill, m.LongDone, m.NotRun, m.Loads, m.Hedges, m.Violations)
	}
	if excess {
		for _, r := range rep.Rows {
			r.writeExcess(line)
		}
	}
	line("\ntarget\tscenario\tmeasured\tlimit\tmet")
	for _, t := range rep.Targets {
		line("%s, %s\t%s\t%.3f\t%.2f\t%t", t.Team, t.Name, t.Scenario, t.Value, t.Limit, t.Met)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := b.WriteTo(tw); err != nil {
		return err
	}
	return tw.Flush()
}
