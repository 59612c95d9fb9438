package comparer

import "time"

// Defaults of the scenarios; meanRate is in requests per second.
const (
	meanRate          = 22
	zipfExponent      = 1.5
	warmup            = 80 * time.Second
	runLength         = 240 * time.Second
	peakPeriod        = 60 * time.Second
	peakLength        = 10 * time.Second
	stragglerSlowdown = 5
)

// Scenarios returns the scenarios; the first is the steady one, which is the reference for the targets of the others.
func Scenarios() []Scenario {
	base := Scenario{Name: "steady", Rate: meanRate, Zipf: zipfExponent, Warmup: warmup, Length: runLength}
	with := func(name string, change func(*Scenario)) Scenario {
		sc := base
		sc.Name = name
		change(&sc)
		return sc
	}
	withPeaks := func(sc *Scenario) { sc.PeakFactor, sc.PeakPeriod, sc.PeakLength = 3, peakPeriod, peakLength }
	return []Scenario{
		base,
		with("crest", withPeaks),
		with("crest above capacity", func(sc *Scenario) { withPeaks(sc); sc.Rate = 30 }),
		with("long jobs", func(sc *Scenario) { sc.LongShare = 0.08 }),
		with("1 straggler", func(sc *Scenario) { sc.Stragglers, sc.Slowdown = 1, stragglerSlowdown }),
		with("2 stragglers", func(sc *Scenario) { sc.Stragglers, sc.Slowdown = 2, stragglerSlowdown }),
		with("3 stragglers", func(sc *Scenario) { sc.Stragglers, sc.Slowdown = 3, stragglerSlowdown }),
		with("popularity shift", func(sc *Scenario) { sc.PopularityShift = warmup }),
		with("crashes", func(sc *Scenario) { sc.CrashInterval = 25 * time.Second }),
		with("long prompts", func(sc *Scenario) { sc.PromptTokens, sc.PrefixesPerAdapter = 1500, 400 }),
	}
}
