package comparer

import "time"

// Defaults of the scenarios; meanRate is in requests per second.
const (
	meanRate   = 22
	exponent   = 1.5
	warmup     = 80 * time.Second
	length     = 240 * time.Second
	crestEvery = 60 * time.Second
	crestLong  = 10 * time.Second
	slowFactor = 5
)

// Scenarios returns the scenarios; the first is the steady one, which is the reference for the targets of the others.
func Scenarios() []Scenario {
	base := Scenario{Name: "steady", Rate: meanRate, Zipf: exponent, Warmup: warmup, Length: length}
	with := func(name string, change func(*Scenario)) Scenario {
		sc := base
		sc.Name = name
		change(&sc)
		return sc
	}
	crest := func(sc *Scenario) { sc.Crest, sc.CrestEvery, sc.CrestLong = 3, crestEvery, crestLong }
	return []Scenario{
		base,
		with("crest", crest),
		with("crest above capacity", func(sc *Scenario) { crest(sc); sc.Rate = 30 }),
		with("long jobs", func(sc *Scenario) { sc.LongShare = 0.08 }),
		with("1 straggler", func(sc *Scenario) { sc.Stragglers, sc.Factor = 1, slowFactor }),
		with("2 stragglers", func(sc *Scenario) { sc.Stragglers, sc.Factor = 2, slowFactor }),
		with("3 stragglers", func(sc *Scenario) { sc.Stragglers, sc.Factor = 3, slowFactor }),
		with("popularity shift", func(sc *Scenario) { sc.Shift = warmup }),
		with("crashes", func(sc *Scenario) { sc.CrashEvery = 25 * time.Second }),
		with("long prompts", func(sc *Scenario) { sc.Prompt, sc.Prefixes = 1500, 400 }),
	}
}
