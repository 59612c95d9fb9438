package scheduler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"redwingstage.org/coord/lister"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
)

// seedsPerCell is the number of seeds for each step and fault.
const seedsPerCell = 6

// stepCase triggers a step; rule is the numbered requirement that a fault there is most likely to break.
type stepCase struct {
	name    string
	rule    int
	trigger func(*simulation)
}

var stepCases = []stepCase{
	{"request", 1, func(*simulation) {}},
	{"load", 1, func(*simulation) {}},
	{"eviction", 2, func(*simulation) {}},
	{"hand-over", 2, func(sim *simulation) { sim.after(1500*time.Millisecond, func() { sim.handOver(sim.engines[0]) }) }},
	{"takeover", 2, func(sim *simulation) { sim.after(1500*time.Millisecond, func() { sim.expireLease(0) }) }},
	{"leave", 6, func(sim *simulation) { sim.after(1500*time.Millisecond, func() { sim.leave(sim.engines[0]) }) }},
}

// faultCase injects a fault at a step.
type faultCase struct {
	name  string
	apply func(*simulation, *fakeEngine)
}

var faultCases = []faultCase{
	{"none", func(sim *simulation, _ *fakeEngine) { sim.forbidFailures = true }},
	{"killed", func(sim *simulation, e *fakeEngine) { sim.kill(e) }},
	{"paused and resumed", func(sim *simulation, e *fakeEngine) { e.pausedUntil = sim.now.Add(2500 * time.Millisecond) }},
	{"reports and announcements lost", func(sim *simulation, e *fakeEngine) { e.reportsLostUntil = sim.now.Add(4500 * time.Millisecond) }},
	{"restarted", func(sim *simulation, e *fakeEngine) { sim.restart(e) }},
	{"load failed", func(sim *simulation, _ *fakeEngine) { sim.loadsToFail = 3 }},
	{"load slow", func(sim *simulation, _ *fakeEngine) { sim.loadsToSlow = 3 }},
	{"permit denied", func(sim *simulation, _ *fakeEngine) { sim.permitsToDeny = 5 }},
	{"permit lost", func(sim *simulation, _ *fakeEngine) { sim.permitsToLose = 3 }},
	{"lease lost", func(sim *simulation, e *fakeEngine) { sim.expireLease(e.owner) }},
	{"events delayed", func(sim *simulation, _ *fakeEngine) { sim.delayEvents = true }},
	{"events duplicated", func(sim *simulation, _ *fakeEngine) { sim.duplicateEvents = true }},
	{"request crashes engines", func(sim *simulation, _ *fakeEngine) { sim.addPoisonRequest() }},
	{"copies crash engines", func(sim *simulation, _ *fakeEngine) {
		for i := range 4 {
			sim.addPoisonRequest()
			sim.calls[len(sim.calls)-1].entry = i % simEntries
		}
	}},
	{"second fault after a kill", func(sim *simulation, e *fakeEngine) {
		sim.kill(e)
		sim.after(20*time.Millisecond, func() { sim.kill(sim.engines[int(e.name[1]-'0')%simEngines]) })
	}},
	{"restarted twice", func(sim *simulation, e *fakeEngine) {
		sim.restart(e)
		sim.after(150*time.Millisecond, func() { sim.restart(e) })
	}},
}

// addPoisonRequest adds a request that crashes each engine that runs it and is retried.
func (sim *simulation) addPoisonRequest() {
	c := &call{n: len(sim.calls), entry: sim.rng.IntN(simEntries), digest: quarantiner.Digest{255, 255}, poison: true, target: target(1)}
	sim.calls = append(sim.calls, c)
	sim.after(time.Duration(sim.rng.IntN(100))*time.Millisecond, func() { sim.route(c) })
}

// runCell runs a fault at a step with one seed and returns the violations.
func runCell(st stepCase, apply func(*simulation, *fakeEngine), seed uint64, disabled disabledMechanisms) []string {
	sim := newSimulation(seed, disabled)
	n := 1 + sim.rng.IntN(6)
	if st.name != "request" && st.name != "load" && st.name != "eviction" {
		n = 1
	}
	sim.stepFaults[st.name] = func(e *fakeEngine) {
		if n--; n == 0 {
			sim.after(0, func() { apply(sim, e) })
		}
	}
	st.trigger(sim)
	sim.run()
	if n > 0 {
		sim.violate("the step was not reached")
	}
	return sim.violations
}

func TestFaults(t *testing.T) {
	for _, st := range stepCases {
		for _, f := range faultCases {
			t.Run(st.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seedsPerCell) {
					if violations := runCell(st, f.apply, seed, disabledMechanisms{}); len(violations) > 0 {
						t.Fatalf("seed %d:\n%s", seed, strings.Join(violations, "\n"))
					}
				}
			})
		}
	}
}

// TestPoisonSeeds sends one poison request twice through each of five entries at once, with retries.
func TestPoisonSeeds(t *testing.T) {
	crashed := func(seed uint64, disabled disabledMechanisms) (int, []string) {
		const entries = 5
		sim := newSimulationOf(seed, disabled, entries, entries)
		for i := range 2 * entries {
			sim.addPoisonRequest()
			sim.calls[len(sim.calls)-1].entry = i % entries
			sim.calls[len(sim.calls)-1].target = configurer.Target{Service: "base"}
		}
		sim.run()
		return sim.crashes[quarantiner.Digest{255, 255}], sim.violations
	}
	violating := 0
	for seed := range uint64(poisonSeeds) {
		if _, violations := crashed(seed, disabledMechanisms{}); len(violations) > 0 {
			t.Errorf("seed %d:\n%s", seed, strings.Join(violations, "\n"))
		}
		if n, _ := crashed(seed, disabledMechanisms{claims: true}); n > 2 {
			violating++
		}
	}
	t.Logf("without claims, more than two crashes with %d of %d seeds", violating, poisonSeeds)
	if violating == 0 {
		t.Error("the checker found no violation without claims")
	}
}

// poisonSeeds is the number of seeds of TestPoisonSeeds.
const poisonSeeds = 100

func TestFaultsList(t *testing.T) {
	var want []lister.Cell
	for _, st := range stepCases {
		for _, f := range faultCases {
			rule := st.rule
			if f.name == "none" {
				rule = 7
			}
			want = append(want, lister.Cell{
				Rule: rule, Step: st.name, Fault: f.name, Seeds: seedsPerCell, Package: "redwingstage.org/serving/scheduler",
				Test: "TestFaults/" + strings.ReplaceAll(st.name+"/"+f.name, " ", "_"),
			})
		}
	}
	lister.Check(t, want)
}

// TestCheckerCatches runs a step and fault that violate a rule without a mechanism, with it and without it.
func TestCheckerCatches(t *testing.T) {
	for _, tt := range []struct {
		name        string
		disabled    disabledMechanisms
		step, fault string
		seed        uint64
		want        string
	}{
		{"pins", disabledMechanisms{pins: true}, "request", "none", 0, "rule 2"},
		{"residency", disabledMechanisms{residency: true}, "request", "none", 0, "rule 1"},
		{"leaving", disabledMechanisms{leaving: true}, "leave", "paused and resumed", 0, "rule 6"},
		{"age of the last report", disabledMechanisms{reportAge: true}, "leave", "reports and announcements lost", 0, "rule 6"},
		{"lease", disabledMechanisms{lease: true}, "load", "lease lost", 0, "rule 2"},
		{"order numbers", disabledMechanisms{orderNumbers: true}, "request", "events duplicated", 1, "rule 1"},
		{"isolation of suspects", disabledMechanisms{suspectIsolation: true}, "request", "request crashes engines", 0, "crashed"},
		{"claims", disabledMechanisms{claims: true}, "eviction", "copies crash engines", 49, "crashed 3"},
		{"incarnations", disabledMechanisms{incarnations: true}, "hand-over", "restarted", 0, "rule 1"},
		{"inherited pins", disabledMechanisms{inheritedPins: true}, "hand-over", "paused and resumed", 0, "rule 2"},
		{"unload orders at a hand-over", disabledMechanisms{handOverWait: true}, "hand-over", "none", 63, "rule 2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			st := stepCases[slices.IndexFunc(stepCases, func(st stepCase) bool { return st.name == tt.step })]
			f := faultCases[slices.IndexFunc(faultCases, func(f faultCase) bool { return f.name == tt.fault })]
			if violations := runCell(st, f.apply, tt.seed, disabledMechanisms{}); len(violations) > 0 {
				t.Fatalf("with the mechanism: %s", strings.Join(violations, "\n"))
			}
			violations := runCell(st, f.apply, tt.seed, tt.disabled)
			i := slices.IndexFunc(violations, func(line string) bool { return strings.Contains(line, tt.want) })
			if i < 0 {
				t.Fatalf("without the mechanism the checker found only %q", violations)
			}
			t.Logf("without %s, %s/%s, seed %d: %s", tt.name, tt.step, tt.fault, tt.seed, violations[i])
		})
	}
}
