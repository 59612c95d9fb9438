package generator

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Percentiles that are reported.
const (
	median = 50
	tail95 = 95
	tail99 = 99
)

// Report is what callers saw of a load.
type Report struct {
	cfg     Config
	elapsed time.Duration
	rows    map[string]*Row
}

// Row is what was measured of one kind of request over one way.
type Row struct {
	name     string
	count    int
	tokens   int
	good     int
	stalls   int
	outcomes map[string]int
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

// names of the rows in their order; those of a direct call come last.
var rowNames = []string{"short", "long", "booking", "stock", "direct"}

func newReport(cfg Config) *Report {
	return &Report{cfg: cfg, rows: make(map[string]*Row)}
}

func (r *Report) row(name string) *Row {
	row, ok := r.rows[name]
	if !ok {
		h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }
		row = &Row{name: name, outcomes: make(map[string]int), first: h(), gap: h(), total: h()}
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
	record(row.first, res.first)
	record(row.total, res.total)
	stalled := res.first > r.cfg.Budget
	for _, gap := range res.gaps {
		record(row.gap, gap)
		stalled = stalled || gap > r.cfg.Stall
	}
	if stalled {
		row.stalls++
		return
	}
	row.good++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest)) // the value lies within the range
}

// Elapsed returns the time from the first arrival to the last answer.
func (r *Report) Elapsed() time.Duration { return r.elapsed }

// Rows returns the rows that have requests.
func (r *Report) Rows() []*Row {
	var list []*Row
	for _, name := range rowNames {
		if row, ok := r.rows[name]; ok {
			list = append(list, row)
		}
	}
	return list
}

// Name returns "short", "long", "booking", "stock", or "direct" for short calls past the system.
func (r *Row) Name() string { return r.name }

// Count returns the number of requests.
func (r *Row) Count() int { return r.count }

// Tokens returns the number of tokens in whole answers.
func (r *Row) Tokens() int { return r.tokens }

// Good returns the number of whole answers within the budget and without a stall.
func (r *Row) Good() int { return r.good }

// Stalls returns the number of whole answers with a late first token or a long gap.
func (r *Row) Stalls() int { return r.stalls }

// Outcomes returns how many requests had which outcome.
func (r *Row) Outcomes() map[string]int { return r.outcomes }

// First returns a percentile of the time to the first token, or to the answer of a plain call.
func (r *Row) First(percentile float64) time.Duration { return at(r.first, percentile) }

// Gap returns a percentile of the time between tokens.
func (r *Row) Gap(percentile float64) time.Duration { return at(r.gap, percentile) }

// Total returns a percentile of the time to the end of the answer.
func (r *Row) Total(percentile float64) time.Duration { return at(r.total, percentile) }

func at(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

// Comparison sets calls through the system against direct calls of the same run.
type Comparison struct {
	// First50 and First99 are ratios of the time to the first token.
	First50 float64 `json:"first50"`
	First99 float64 `json:"first99"`
	// Added50 and Added99 are the differences in microseconds.
	Added50 int64 `json:"added50"`
	Added99 int64 `json:"added99"`
}

// Compare returns the comparison; false means that the run has no calls of both ways.
func (r *Report) Compare() (Comparison, bool) {
	through, ok := r.rows["short"]
	direct, both := r.rows["direct"]
	if !ok || !both || direct.good == 0 || through.good == 0 {
		return Comparison{}, false
	}
	ratio := func(p float64) float64 { return float64(through.First(p)) / float64(direct.First(p)) }
	added := func(p float64) int64 { return (through.First(p) - direct.First(p)).Microseconds() }
	return Comparison{First50: ratio(median), First99: ratio(tail99), Added50: added(median), Added99: added(tail99)}, true
}

// TokensPerSecond returns the tokens that came through the system in a second.
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

// wireRow has times in milliseconds.
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

// MarshalJSON implements json.Marshaler; times are in milliseconds.
func (r *Report) MarshalJSON() ([]byte, error) {
	w := wireReport{Seconds: r.elapsed.Seconds(), TokenRate: r.TokensPerSecond()}
	for _, row := range r.Rows() {
		w.Rows = append(w.Rows, wireRow{
			Name: row.name, Count: row.count, Good: row.good, Stalls: row.stalls, Tokens: row.tokens,
			First50: millis(row.First(median)), First95: millis(row.First(tail95)), First99: millis(row.First(tail99)),
			Gap95: millis(row.Gap(tail95)), Gap99: millis(row.Gap(tail99)),
			Total50: millis(row.Total(median)), Total99: millis(row.Total(tail99)), Outcomes: row.outcomes,
		})
	}
	if c, ok := r.Compare(); ok {
		w.Comparison = &c
	}
	return json.Marshal(w)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
