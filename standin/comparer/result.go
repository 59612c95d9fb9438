package comparer

import (
	"slices"
	"time"
)

// Result is the measurements of one run, or the mean of several runs.
type Result struct {
	Requests                     float64 `json:"requests"`
	StallShare                   float64 `json:"stall_share"`
	StallSeconds                 float64 `json:"stall_seconds_per_1000"`
	FirstP50                     float64 `json:"first_p50_s"`
	FirstP99                     float64 `json:"first_p99_s"`
	FirstP99NotStalled           float64 `json:"first_p99_without_stalled_s"`
	TotalP99                     float64 `json:"total_p99_s"`
	UrgentInTime                 float64 `json:"urgent_in_time"`
	UrgentInTimeAtPeak           float64 `json:"urgent_in_time_at_crest"`
	UrgentInTimeAtPeakNotStalled float64 `json:"urgent_in_time_at_crest_of_not_stalled"`
	LongDone                     float64 `json:"long_done"`
	BatchFill                    float64 `json:"batch_fill"`
	NotRun                       float64 `json:"not_run"`
	Unknown                      float64 `json:"unknown"`
	Loads                        float64 `json:"loads"`
	Hedges                       float64 `json:"hedges"`
	Violations                   float64 `json:"violations"`
	Lost                         float64 `json:"lost"`
	Excess                       Excess  `json:"excess"`
}

// computeResult computes the run's result from its requests.
func (s *simulation) computeResult() {
	var first, firstNotStalled, total []float64
	urgent, inTime, peak, peakInTime, long, longDone, stalled := 0, 0, 0, 0, 0, 0, 0
	peakNotStalled, peakNotStalledInTime := 0, 0
	stallSeconds := 0.0
	for _, r := range s.reqs {
		if r.at < s.sc.Warmup {
			continue
		}
		s.res.Requests++
		begin := time.Unix(0, 0).Add(r.at)
		if r.stalled {
			stalled++
			stallSeconds += s.stallTime(r, begin).Seconds()
		}
		s.countState(r)
		if r.long {
			long++
			if r.state == stateAnswered {
				longDone++
			}
			continue
		}
		urgent++
		firstTokenTime := 2 * firstTokenBudget
		if !r.firstToken.IsZero() {
			firstTokenTime = r.firstToken.Sub(begin)
		}
		first = append(first, firstTokenTime.Seconds())
		if !r.stalled {
			firstNotStalled = append(firstNotStalled, firstTokenTime.Seconds())
		}
		if r.state == stateAnswered {
			total = append(total, r.endedAt.Sub(begin).Seconds()/float64(r.output)*chatTokens)
		}
		ok := r.state == stateAnswered && firstTokenTime <= firstTokenBudget
		inTime += boolToInt(ok)
		if r.inPeak {
			peak++
			peakInTime += boolToInt(ok)
			peakNotStalled += boolToInt(!r.stalled)
			peakNotStalledInTime += boolToInt(ok && !r.stalled)
		}
	}
	n := max(s.res.Requests, 1)
	s.res.StallShare = float64(stalled) / n
	s.res.StallSeconds = stallSeconds / n * 1000
	s.res.FirstP50, s.res.FirstP99 = quantile(first, 0.5), quantile(first, 0.99)
	s.res.FirstP99NotStalled, s.res.TotalP99 = quantile(firstNotStalled, 0.99), quantile(total, 0.99)
	s.res.UrgentInTime = share(inTime, urgent)
	s.res.UrgentInTimeAtPeak, s.res.UrgentInTimeAtPeakNotStalled = share(peakInTime, peak), share(peakNotStalledInTime, peakNotStalled)
	s.res.LongDone = share(longDone, long)
	busy, filled := 0, 0.0
	for _, e := range s.engines {
		busy += e.busySamples
		filled += e.fillSum
		s.res.Violations += float64(e.model.EvictedRequests())
	}
	s.res.BatchFill = filled / float64(max(busy, 1))
	s.computeExcess()
}

// stallTime returns how long a request waited for a load.
func (s *simulation) stallTime(r *request, begin time.Time) time.Duration {
	end := r.stallEnd
	if end.IsZero() || !r.firstToken.IsZero() && r.firstToken.Before(end) {
		end = r.firstToken
	}
	if end.IsZero() {
		end = r.endedAt
	}
	if end.IsZero() {
		end = s.now
	}
	return max(end.Sub(begin), 0)
}

func (s *simulation) countState(r *request) {
	switch r.state {
	case stateNotRun:
		s.res.NotRun++
	case stateUnknown:
		s.res.Unknown++
	case statePending:
		s.res.Lost++
	case stateAnswered:
	}
}

func boolToInt(ok bool) int {
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
func Run(t Deployment, sc Scenario, p Policy, seed uint64) *Result {
	return newSimulation(t, sc, p, seed).run()
}

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
		&r.Requests, &r.StallShare, &r.StallSeconds, &r.FirstP50, &r.FirstP99, &r.FirstP99NotStalled, &r.TotalP99, &r.UrgentInTime,
		&r.UrgentInTimeAtPeak, &r.UrgentInTimeAtPeakNotStalled, &r.LongDone, &r.BatchFill, &r.NotRun, &r.Unknown, &r.Loads, &r.Hedges, &r.Violations, &r.Lost,
	}, r.Excess.fields()...)
}
