package comparer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"redwingstage.org/serving/configurer"
)

// Deployment holds a simulated deployment's sizes, store limits and latency.
type Deployment struct {
	Name          string
	Entries       int
	Engines       int
	Slots         int
	Batch         int
	Adapters      int
	StoreRate     float64
	StoreParallel int
	LoadTime      time.Duration
	StoreInFlight int
	HopLatency    time.Duration
}

// Deployments returns the deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "tebing", Entries: 8, Engines: 12, Slots: 8, Batch: 16, Adapters: 3000,
			StoreRate: 3.5, StoreParallel: 3, LoadTime: 250 * time.Millisecond, StoreInFlight: 24, HopLatency: 1500 * time.Microsecond,
		},
		{
			Name: "co-op", Entries: 8, Engines: 12, Slots: 8, Batch: 16, Adapters: 3000,
			StoreRate: 3, StoreParallel: 2, LoadTime: 250 * time.Millisecond, StoreInFlight: 16, HopLatency: time.Millisecond,
		},
	}
}

// Scenario is the load and the faults of a run.
type Scenario struct {
	Name string
	// Rate is the mean requests per second; Zipf is the exponent of the adapters' popularity.
	Rate float64
	Zipf float64
	// PeakFactor multiplies Rate during the last PeakLength of each PeakPeriod; the rate changes at once.
	PeakFactor float64
	PeakPeriod time.Duration
	PeakLength time.Duration
	// LongShare is the share of requests that run many times longer than the rest.
	LongShare float64
	// Stragglers is the number of engines that are slow at any time; their speed is divided by Slowdown.
	Stragglers int
	Slowdown   float64
	// PopularityShift is the time at which the popularity changes at once; zero means never.
	PopularityShift time.Duration
	// CrashInterval is the interval between engine crashes, after which the engine restarts cold; zero means none.
	CrashInterval time.Duration
	Warmup        time.Duration
	Length        time.Duration
	// PromptTokens is the mean prompt tokens, PrefixesPerAdapter the number of prefixes; zero means the default.
	PromptTokens       int
	PrefixesPerAdapter int
}

// Sizes and limits of the modelled work.
const (
	chatTokens         = 80
	longTokens         = 1600
	promptTokens       = 400
	prefixesPerAdapter = 40
	maxPrefixes        = 1 << 20
	// firstTokenBudget is the latency limit for the first token of urgent work.
	firstTokenBudget = 2 * time.Second
	// longDeadline is the latency limit for a long job's answer.
	longDeadline = 10 * time.Minute
)

// request is one caller's request.
type request struct {
	n        int
	at       time.Duration
	entry    int
	target   configurer.Target
	prefix   uint64
	prompt   int
	output   int
	long     bool
	inPeak   bool
	rank     int
	stalled  bool
	stallEnd time.Time
	// stallCause is the cause of the stall, lateCause that of lateness at a slow engine.
	stallCause Cause
	lateCause  Cause

	tries      int
	mayHaveRun bool
	firstToken time.Time
	endedAt    time.Time
	state      state
	attempts   []*attempt
	hedged     bool
}

type state int

const (
	statePending state = iota
	stateAnswered
	stateNotRun
	stateUnknown
)

// newRequests returns the requests of a run; the same seed gives every policy the same requests.
func newRequests(t Deployment, sc Scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 7))
	cum := zipfCumulative(t.Adapters, sc.Zipf)
	names := rng.Perm(t.Adapters)
	shifted := rng.Perm(t.Adapters)
	var out []*request
	base := sc.baseRate()
	peak := max(base, sc.Rate*sc.PeakFactor)
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= sc.Length {
			return out
		}
		rate, inPeak := sc.rateAt(at, base)
		if rng.Float64()*peak > rate {
			continue
		}
		r := &request{n: len(out), at: at, entry: rng.IntN(t.Entries), inPeak: inPeak}
		r.rank, _ = slices.BinarySearch(cum, rng.Float64())
		r.rank = min(r.rank, t.Adapters-1)
		name := names[r.rank]
		if sc.PopularityShift > 0 && at >= sc.PopularityShift {
			name = shifted[r.rank]
		}
		r.target = configurer.Target{Service: "base", Adapter: "a" + strconv.Itoa(name), Version: 1}
		r.prefix = uint64(name)*maxPrefixes + uint64(rng.IntN(cmp.Or(sc.PrefixesPerAdapter, prefixesPerAdapter))) + 1
		prompt := cmp.Or(sc.PromptTokens, promptTokens)
		r.prompt = prompt/2 + rng.IntN(prompt)
		r.long = rng.Float64() < sc.LongShare
		mean := float64(chatTokens)
		if r.long {
			mean = longTokens
		}
		r.output = int(mean * (0.5 + rng.Float64()))
		out = append(out, r)
	}
}

// baseRate returns the rate outside peaks that gives the scenario's mean.
func (sc Scenario) baseRate() float64 {
	if sc.PeakFactor <= 1 || sc.PeakPeriod == 0 {
		return sc.Rate
	}
	share := sc.PeakLength.Seconds() / sc.PeakPeriod.Seconds()
	// The peak rate is a multiple of the mean, so that the base rate is below the mean.
	return sc.Rate * (1 - sc.PeakFactor*share) / (1 - share)
}

// rateAt returns the rate at a time and whether the time is in a peak.
func (sc Scenario) rateAt(at time.Duration, base float64) (float64, bool) {
	if sc.PeakFactor <= 1 || sc.PeakPeriod == 0 {
		return base, false
	}
	if at%sc.PeakPeriod >= sc.PeakPeriod-sc.PeakLength {
		return sc.Rate * sc.PeakFactor, true
	}
	return base, false
}

// zipfCumulative returns the cumulative popularity of n adapters.
func zipfCumulative(n int, exponent float64) []float64 {
	cum := make([]float64, n)
	sum := 0.0
	for i := range cum {
		sum += math.Pow(float64(i+1), -exponent)
		cum[i] = sum
	}
	for i := range cum {
		cum[i] /= sum
	}
	return cum
}
