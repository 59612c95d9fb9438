package generator

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles of the report.
const (
	p50 = 50
	p95 = 95
	p99 = 99
)

// Report is the measurements of a load run, as seen by callers.
type Report struct {
	cfg     Config
	elapsed time.Duration
	rows    map[string]*Row
}

// Row is the measurements of one kind of request through the system, or of direct requests.
type Row struct {
	name       string
	count      int
	tokens     int
	good       int
	stalls     int
	outcomes   map[string]int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// rowNames lists the rows in the order of the report.
var rowNames = []string{"short", "long", "booking", "stock", "direct"}

func newReport(cfg Config) *Report {
	return &Report{cfg: cfg, rows: make(map[string]*Row)}
}

func (r *Report) row(name string) *Row {
	row, ok := r.rows[name]
	if !ok {
		newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
		row = &Row{name: name, outcomes: make(map[string]int), firstToken: newHistogram(), gap: newHistogram(), total: newHistogram()}
		r.rows[name] = row
	}
	return row
}

func (r *Report) add(res result) {
	name := string(res.kind)
	if res.direct {
		name = "direct"
	}
	row := r.row(name)
	row.count++
	row.outcomes[res.outcome]++
	if res.outcome != outcomeDone {
		return
	}
	row.tokens += res.tokens
	record(row.firstToken, res.firstToken)
	record(row.total, res.total)
	stalled := res.firstToken > r.cfg.FirstTokenBudget
	for _, gap := range res.gaps {
		record(row.gap, gap)
		stalled = stalled || gap > r.cfg.StallGap
	}
	if stalled {
		row.stalls++
		return
	}
	row.good++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // the value lies within the range
}

// Elapsed returns the time from the first arrival to the last answer.
func (r *Report) Elapsed() time.Duration { return r.elapsed }

// Rows returns the non-empty rows.
func (r *Report) Rows() []*Row {
	var list []*Row
	for _, name := range rowNames {
		if row, ok := r.rows[name]; ok {
			list = append(list, row)
		}
	}
	return list
}

// Name returns "short", "long", "booking", "stock", or "direct" for requests that bypass the system.
func (r *Row) Name() string { return r.name }

// Count returns the number of requests.
func (r *Row) Count() int { return r.count }

// Tokens returns the number of tokens in complete answers.
func (r *Row) Tokens() int { return r.tokens }

// GoodCount returns the number of complete answers within the budget and without a stall.
func (r *Row) GoodCount() int { return r.good }

// Stalls returns the number of complete answers whose first token exceeded the budget or that stalled between tokens.
func (r *Row) Stalls() int { return r.stalls }

// Outcomes returns the number of requests by outcome.
func (r *Row) Outcomes() map[string]int { return r.outcomes }

// FirstToken returns a percentile of the time to the first token, or to the answer of a booking or stock check.
func (r *Row) FirstToken(percentile float64) time.Duration { return valueAt(r.firstToken, percentile) }

// TokenGap returns a percentile of the time between tokens.
func (r *Row) TokenGap(percentile float64) time.Duration { return valueAt(r.gap, percentile) }

// Total returns a percentile of the time to the end of the answer.
func (r *Row) Total(percentile float64) time.Duration { return valueAt(r.total, percentile) }

func valueAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

// Comparison compares short requests through the system with direct requests of the same run.
type Comparison struct {
	// First50 and First99 are ratios of the time to the first token, system over direct.
	First50 float64 `json:"first50"`
	First99 float64 `json:"first99"`
	// Added50 and Added99 are the differences, in microseconds.
	Added50 int64 `json:"added50"`
	Added99 int64 `json:"added99"`
}

// Compare returns the comparison; false means that the run lacks good answers through the system or direct ones.
func (r *Report) Compare() (Comparison, bool) {
	system, ok := r.rows["short"]
	direct, hasDirect := r.rows["direct"]
	if !ok || !hasDirect || direct.good == 0 || system.good == 0 {
		return Comparison{}, false
	}
	ratio := func(p float64) float64 { return float64(system.FirstToken(p)) / float64(direct.FirstToken(p)) }
	added := func(p float64) int64 { return (system.FirstToken(p) - direct.FirstToken(p)).Microseconds() }
	return Comparison{First50: ratio(p50), First99: ratio(p99), Added50: added(p50), Added99: added(p99)}, true
}

// TokensPerSecond returns the tokens received through the system per second.
func (r *Report) TokensPerSecond() float64 {
	n := 0
	for _, row := range r.rows {
		if row.name != "direct" {
			n += row.tokens
		}
	}
	return float64(n) / r.elapsed.Seconds()
}

type wireReport struct {
	Seconds    float64     `json:"seconds"`
	TokenRate  float64     `json:"tokenrate"`
	Rows       []wireRow   `json:"rows"`
	Comparison *Comparison `json:"comparison,omitempty"`
}

// wireRow has durations in milliseconds.
type wireRow struct {
	Name     string         `json:"name"`
	Count    int            `json:"count"`
	Good     int            `json:"good"`
	Stalls   int            `json:"stalls"`
	Tokens   int            `json:"tokens"`
	First50  float64        `json:"first50"`
	First95  float64        `json:"first95"`
	First99  float64        `json:"first99"`
	Gap95    float64        `json:"gap95"`
	Gap99    float64        `json:"gap99"`
	Total50  float64        `json:"total50"`
	Total99  float64        `json:"total99"`
	Outcomes map[string]int `json:"outcomes"`
}

// MarshalJSON implements json.Marshaler; the rows' durations are in milliseconds.
func (r *Report) MarshalJSON() ([]byte, error) {
	w := wireReport{Seconds: r.elapsed.Seconds(), TokenRate: r.TokensPerSecond()}
	for _, row := range r.Rows() {
		w.Rows = append(w.Rows, wireRow{
			Name: row.name, Count: row.count, Good: row.good, Stalls: row.stalls, Tokens: row.tokens,
			First50: millis(row.FirstToken(p50)), First95: millis(row.FirstToken(p95)), First99: millis(row.FirstToken(p99)),
			Gap95: millis(row.TokenGap(p95)), Gap99: millis(row.TokenGap(p99)),
			Total50: millis(row.Total(p50)), Total99: millis(row.Total(p99)), Outcomes: row.outcomes,
		})
	}
	if c, ok := r.Compare(); ok {
		w.Comparison = &c
	}
	return json.Marshal(w)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
