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

// faultSeeds is the number of seeds for each step and fault.
const faultSeeds = 6

// stepCase triggers a step; rule is the numbered requirement that a fault there is most likely to break.
type stepCase struct {
	name    string
	rule    int
	provoke func(*world)
}

var stepCases = []stepCase{
	{"request", 1, func(*world) {}},
	{"load", 1, func(*world) {}},
	{"eviction", 2, func(*world) {}},
	{"hand-over", 2, func(w *world) { w.after(1500*time.Millisecond, func() { w.handOver(w.engines[0]) }) }},
	{"takeover", 2, func(w *world) { w.after(1500*time.Millisecond, func() { w.loseLease(0) }) }},
	{"leave", 6, func(w *world) { w.after(1500*time.Millisecond, func() { w.leave(w.engines[0]) }) }},
}

// faultCase injects a fault at a step.
type faultCase struct {
	name  string
	apply func(*world, *fakeEngine)
}

var faultCases = []faultCase{
	{"none", func(w *world, _ *fakeEngine) { w.whole = true }},
	{"killed", func(w *world, e *fakeEngine) { w.kill(e) }},
	{"paused and resumed", func(w *world, e *fakeEngine) { e.frozen = w.now.Add(2500 * time.Millisecond) }},
	{"reports and announcements lost", func(w *world, e *fakeEngine) { e.mute = w.now.Add(4500 * time.Millisecond) }},
	{"restarted", func(w *world, e *fakeEngine) { w.restart(e) }},
	{"load failed", func(w *world, _ *fakeEngine) { w.failLoads = 3 }},
	{"load slow", func(w *world, _ *fakeEngine) { w.slowLoads = 3 }},
	{"permit denied", func(w *world, _ *fakeEngine) { w.denyPermits = 5 }},
	{"permit lost", func(w *world, _ *fakeEngine) { w.losePermits = 3 }},
	{"lease lost", func(w *world, e *fakeEngine) { w.loseLease(e.owner) }},
	{"events delayed", func(w *world, _ *fakeEngine) { w.late = true }},
	{"events duplicated", func(w *world, _ *fakeEngine) { w.doubled = true }},
	{"request crashes engines", func(w *world, _ *fakeEngine) { w.poison() }},
	{"copies crash engines", func(w *world, _ *fakeEngine) {
		for i := range 4 {
			w.poison()
			w.calls[len(w.calls)-1].entry = i % worldEntries
		}
	}},
	{"second fault after a kill", func(w *world, e *fakeEngine) {
		w.kill(e)
		w.after(20*time.Millisecond, func() { w.kill(w.engines[int(e.name[1]-'0')%worldEngines]) })
	}},
	{"restarted twice", func(w *world, e *fakeEngine) {
		w.restart(e)
		w.after(150*time.Millisecond, func() { w.restart(e) })
	}},
}

// poison adds a request that crashes each engine that runs it and is retried.
func (w *world) poison() {
	c := &call{n: len(w.calls), entry: w.rng.IntN(worldEntries), digest: quarantiner.Digest{255, 255}, poison: true, target: target(1)}
	w.calls = append(w.calls, c)
	w.after(time.Duration(w.rng.IntN(100))*time.Millisecond, func() { w.route(c) })
}

// runCell runs a fault at a step with one seed and returns the violations.
func runCell(st stepCase, apply func(*world, *fakeEngine), seed uint64, off breaks) []string {
	w := newWorld(seed, off)
	n := 1 + w.rng.IntN(6)
	if st.name != "request" && st.name != "load" && st.name != "eviction" {
		n = 1
	}
	w.onStep[st.name] = func(e *fakeEngine) {
		if n--; n == 0 {
			w.after(0, func() { apply(w, e) })
		}
	}
	st.provoke(w)
	w.run()
	if n > 0 {
		w.violate("the step was not reached")
	}
	return w.broken
}

func TestFaults(t *testing.T) {
	for _, st := range stepCases {
		for _, f := range faultCases {
			t.Run(st.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(faultSeeds) {
					if broken := runCell(st, f.apply, seed, breaks{}); len(broken) > 0 {
						t.Fatalf("seed %d:\n%s", seed, strings.Join(broken, "\n"))
					}
				}
			})
		}
	}
}

// TestPoisonSeeds sends one poison request twice through each of five entries at once, with retries.
func TestPoisonSeeds(t *testing.T) {
	crashed := func(seed uint64, off breaks) (int, []string) {
		const entries = 5
		w := newWorldOf(seed, off, entries, entries)
		for i := range 2 * entries {
			w.poison()
			w.calls[len(w.calls)-1].entry = i % entries
			w.calls[len(w.calls)-1].target = configurer.Target{Service: "base"}
		}
		w.run()
		return w.crashes[quarantiner.Digest{255, 255}], w.broken
	}
	without := 0
	for seed := range uint64(poisonSeeds) {
		if _, broken := crashed(seed, breaks{}); len(broken) > 0 {
			t.Errorf("seed %d:\n%s", seed, strings.Join(broken, "\n"))
		}
		if n, _ := crashed(seed, breaks{claims: true}); n > 2 {
			without++
		}
	}
	t.Logf("without claims, more than two crashes with %d of %d seeds", without, poisonSeeds)
	if without == 0 {
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
				Rule: rule, Step: st.name, Fault: f.name, Seeds: faultSeeds, Package: "redwingstage.org/serving/scheduler",
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
		off         breaks
		step, fault string
		seed        uint64
		want        string
	}{
		{"pins", breaks{pins: true}, "request", "none", 0, "rule 2"},
		{"residency", breaks{residency: true}, "request", "none", 0, "rule 1"},
		{"leaving", breaks{leaving: true}, "leave", "paused and resumed", 0, "rule 6"},
		{"age of the last report", breaks{reports: true}, "leave", "reports and announcements lost", 0, "rule 6"},
		{"lease", breaks{lease: true}, "load", "lease lost", 0, "rule 2"},
		{"order numbers", breaks{orders: true}, "request", "events duplicated", 1, "rule 1"},
		{"isolation of suspects", breaks{suspects: true}, "request", "request crashes engines", 0, "crashed"},
		{"claims", breaks{claims: true}, "eviction", "copies crash engines", 49, "crashed 3"},
		{"incarnations", breaks{reset: true}, "hand-over", "restarted", 0, "rule 1"},
		{"inherited pins", breaks{inherit: true}, "hand-over", "paused and resumed", 0, "rule 2"},
		{"unload orders at a hand-over", breaks{settle: true}, "hand-over", "none", 63, "rule 2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			st := stepCases[slices.IndexFunc(stepCases, func(st stepCase) bool { return st.name == tt.step })]
			f := faultCases[slices.IndexFunc(faultCases, func(f faultCase) bool { return f.name == tt.fault })]
			if broken := runCell(st, f.apply, tt.seed, breaks{}); len(broken) > 0 {
				t.Fatalf("with the mechanism: %s", strings.Join(broken, "\n"))
			}
			broken := runCell(st, f.apply, tt.seed, tt.off)
			i := slices.IndexFunc(broken, func(line string) bool { return strings.Contains(line, tt.want) })
			if i < 0 {
				t.Fatalf("without the mechanism the checker found only %q", broken)
			}
			t.Logf("without %s, %s/%s, seed %d: %s", tt.name, tt.step, tt.fault, tt.seed, broken[i])
		})
	}
}
