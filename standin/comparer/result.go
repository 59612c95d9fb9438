package comparer

import (
	"slices"
	"time"
)

// Result is the measurements of one run, or the mean of several runs.
type Result struct {
	Requests     float64 `json:"requests"`
	StallShare   float64 `json:"stall_share"`
	StallSeconds float64 `json:"stall_seconds_per_1000"`
	FirstP50     float64 `json:"first_p50_s"`
	FirstP99     float64 `json:"first_p99_s"`
	WarmP99      float64 `json:"first_p99_without_stalled_s"`
	TotalP99     float64 `json:"total_p99_s"`
	Goodput      float64 `json:"urgent_in_time"`
	CrestGoodput float64 `json:"urgent_in_time_at_crest"`
	CrestUnstall float64 `json:"urgent_in_time_at_crest_of_not_stalled"`
	LongDone     float64 `json:"long_done"`
	Fill         float64 `json:"batch_fill"`
	NotRun       float64 `json:"not_run"`
	Unknown      float64 `json:"unknown"`
	Loads        float64 `json:"loads"`
	Hedges       float64 `json:"hedges"`
	Violations   float64 `json:"violations"`
	Lost         float64 `json:"lost"`
	Excess       Excess  `json:"excess"`
}

// collect computes the run's result from its requests.
func (w *world) collect() {
	var first, warm, total []float64
	urgent, inTime, crest, crestInTime, long, longDone, stalled := 0, 0, 0, 0, 0, 0, 0
	still, stillInTime := 0, 0
	seconds := 0.0
	for _, r := range w.reqs {
		if r.at < w.sc.Warmup {
			continue
		}
		w.res.Requests++
		begin := time.Unix(0, 0).Add(r.at)
		if r.stalled {
			stalled++
			seconds += w.stallOf(r, begin).Seconds()
		}
		w.countState(r)
		if r.long {
			long++
			if r.state == answered {
				longDone++
			}
			continue
		}
		urgent++
		took := 2 * firstBudget
		if !r.first.IsZero() {
			took = r.first.Sub(begin)
		}
		first = append(first, took.Seconds())
		if !r.stalled {
			warm = append(warm, took.Seconds())
		}
		if r.state == answered {
			total = append(total, r.done.Sub(begin).Seconds()/float64(r.output)*chatTokens)
		}
		ok := r.state == answered && took <= firstBudget
		inTime += count(ok)
		if r.crest {
			crest++
			crestInTime += count(ok)
			still += count(!r.stalled)
			stillInTime += count(ok && !r.stalled)
		}
	}
	n := max(w.res.Requests, 1)
	w.res.StallShare = float64(stalled) / n
	w.res.StallSeconds = seconds / n * 1000
	w.res.FirstP50, w.res.FirstP99 = quantile(first, 0.5), quantile(first, 0.99)
	w.res.WarmP99, w.res.TotalP99 = quantile(warm, 0.99), quantile(total, 0.99)
	w.res.Goodput = share(inTime, urgent)
	w.res.CrestGoodput, w.res.CrestUnstall = share(crestInTime, crest), share(stillInTime, still)
	w.res.LongDone = share(longDone, long)
	busy, filled := 0, 0.0
	for _, e := range w.engines {
		busy += e.busy
		filled += e.filled
		w.res.Violations += float64(e.model.Evicted())
	}
	w.res.Fill = filled / float64(max(busy, 1))
	w.collectExcess()
}

// stallOf returns how long a request waited for a load.
func (w *world) stallOf(r *request, begin time.Time) time.Duration {
	end := r.stallEnd
	if end.IsZero() || !r.first.IsZero() && r.first.Before(end) {
		end = r.first
	}
	if end.IsZero() {
		end = r.done
	}
	if end.IsZero() {
		end = w.now
	}
	return max(end.Sub(begin), 0)
}

func (w *world) countState(r *request) {
	switch r.state {
	case notRun:
		w.res.NotRun++
	case unknown:
		w.res.Unknown++
	case open:
		w.res.Lost++
	case answered:
	}
}

func count(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// Run simulates a policy on a scenario.
func Run(t Team, sc Scenario, p Policy, seed uint64) *Result { return newWorld(t, sc, p, seed).run() }

// Mean returns the mean of each measurement.
func Mean(list []*Result) Result {
	var m Result
	sum := m.fields()
	for _, r := range list {
		for i, f := range r.fields() {
			*sum[i] += *f / float64(len(list))
		}
	}
	return m
}

func (r *Result) fields() []*float64 {
	return append([]*float64{
		&r.Requests, &r.StallShare, &r.StallSeconds, &r.FirstP50, &r.FirstP99, &r.WarmP99, &r.TotalP99, &r.Goodput,
		&r.CrestGoodput, &r.CrestUnstall, &r.LongDone, &r.Fill, &r.NotRun, &r.Unknown, &r.Loads, &r.Hedges, &r.Violations, &r.Lost,
	}, r.Excess.fields()...)
}
