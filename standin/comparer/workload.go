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

// Team is the size and the store limits of a deployment.
type Team struct {
	Name      string
	Entries   int
	Engines   int
	Slots     int
	Batch     int
	Adapters  int
	StoreRate float64
	Parallel  int
	LoadTime  time.Duration
	Knee      int
	Hop       time.Duration
}

// Teams returns the deployments.
func Teams() []Team {
	return []Team{
		{
			Name: "tebing", Entries: 8, Engines: 12, Slots: 8, Batch: 16, Adapters: 3000,
			StoreRate: 3.5, Parallel: 3, LoadTime: 250 * time.Millisecond, Knee: 24, Hop: 1500 * time.Microsecond,
		},
		{
			Name: "co-op", Entries: 8, Engines: 12, Slots: 8, Batch: 16, Adapters: 3000,
			StoreRate: 3, Parallel: 2, LoadTime: 250 * time.Millisecond, Knee: 16, Hop: time.Millisecond,
		},
	}
}

// Scenario is the load and the faults of a run.
type Scenario struct {
	Name string
	// Rate is the mean requests per second; Zipf is the exponent of the adapters' popularity.
	Rate float64
	Zipf float64
	// Crest multiplies Rate during the last CrestLong of each CrestEvery; the rate changes at once.
	Crest      float64
	CrestEvery time.Duration
	CrestLong  time.Duration
	// LongShare is the share of requests that run many times longer than the rest.
	LongShare float64
	// Stragglers is the number of engines that are slow at any time; their speed is divided by Factor.
	Stragglers int
	Factor     float64
	// Shift is the time at which the popularity changes at once; zero means never.
	Shift time.Duration
	// CrashEvery is the interval between engine crashes, after which the engine restarts cold; zero means none.
	CrashEvery time.Duration
	Warmup     time.Duration
	Length     time.Duration
	// Prompt is the mean prompt tokens, Prefixes the number of prefixes per adapter; zero means the default.
	Prompt   int
	Prefixes int
}

// Sizes and limits of the modelled work.
const (
	chatTokens   = 80
	longTokens   = 1600
	promptTokens = 400
	prefixes     = 40
	maxPrefixes  = 1 << 20
	// firstBudget is the latency limit for the first token of urgent work.
	firstBudget = 2 * time.Second
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
	crest    bool
	rank     int
	stalled  bool
	stallEnd time.Time
	// cause is the cause of the stall, late that of lateness at a slow engine.
	cause Cause
	late  Cause

	tries   int
	mayRun  bool
	first   time.Time
	done    time.Time
	state   state
	current []*attempt
	hedged  bool
}

type state int

const (
	open state = iota
	answered
	notRun
	unknown
)

// generate returns the requests of a run; the same seed gives every policy the same requests.
func generate(t Team, sc Scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 7))
	cum := zipf(t.Adapters, sc.Zipf)
	names := rng.Perm(t.Adapters)
	shifted := rng.Perm(t.Adapters)
	var out []*request
	level := sc.baseRate()
	peak := max(level, sc.Rate*sc.Crest)
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= sc.Length {
			return out
		}
		rate, crest := sc.rateAt(at, level)
		if rng.Float64()*peak > rate {
			continue
		}
		r := &request{n: len(out), at: at, entry: rng.IntN(t.Entries), crest: crest}
		r.rank, _ = slices.BinarySearch(cum, rng.Float64())
		r.rank = min(r.rank, t.Adapters-1)
		name := names[r.rank]
		if sc.Shift > 0 && at >= sc.Shift {
			name = shifted[r.rank]
		}
		r.target = configurer.Target{Service: "base", Adapter: "a" + strconv.Itoa(name), Version: 1}
		r.prefix = uint64(name)*maxPrefixes + uint64(rng.IntN(cmp.Or(sc.Prefixes, prefixes))) + 1
		prompt := cmp.Or(sc.Prompt, promptTokens)
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
	if sc.Crest <= 1 || sc.CrestEvery == 0 {
		return sc.Rate
	}
	share := sc.CrestLong.Seconds() / sc.CrestEvery.Seconds()
	// The peak rate is a multiple of the mean, so that the base rate is below the mean.
	return sc.Rate * (1 - sc.Crest*share) / (1 - share)
}

// rateAt returns the rate at a time and whether the time is in a peak.
func (sc Scenario) rateAt(at time.Duration, level float64) (float64, bool) {
	if sc.Crest <= 1 || sc.CrestEvery == 0 {
		return level, false
	}
	if at%sc.CrestEvery >= sc.CrestEvery-sc.CrestLong {
		return sc.Rate * sc.Crest, true
	}
	return level, false
}

// zipf returns the cumulative popularity of n adapters.
func zipf(n int, exponent float64) []float64 {
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
