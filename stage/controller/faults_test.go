package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/lister"
)

// seedsPerCell is the number of seeds of each cell.
const seedsPerCell = 3

// maxDetectSeeds bounds the seeds until the checker detects a disabled mechanism.
const maxDetectSeeds = 200

const (
	warmUpDuration   = 3 * time.Second
	stepTimeout      = 12 * time.Second
	faultDuration    = 9 * time.Second
	recoveryDuration = 13 * time.Second
)

// matrixStep is what is in progress when the fault is injected.
type matrixStep struct {
	name string
	rule int
	// prepare starts the step, ready reports whether it is in progress.
	prepare func(w *simWorld)
	ready   func(w *simWorld) bool
}

func callIsPending(kind callKind) func(w *simWorld) bool {
	return func(w *simWorld) bool {
		for _, e := range w.entries {
			for _, c := range e.agent.calls {
				if e.alive() && c.frame.Kind == kind {
					return true
				}
			}
		}
		return false
	}
}

func steps() []matrixStep {
	always := func(*simWorld) bool { return true }
	return []matrixStep{
		{name: "change", rule: 8, ready: func(w *simWorld) bool { return w.workload.operators[0].inForce != nil }},
		{name: "race", rule: 8, ready: func(w *simWorld) bool {
			a, b := w.workload.operators[0].change, w.workload.operators[1].change
			return a != nil && b != nil && a.ExpectedRevision == b.ExpectedRevision
		}},
		{name: "lease", rule: 2, ready: always},
		{name: "takeover", rule: 2, prepare: func(w *simWorld) { w.entries[0].kill() }, ready: always},
		{name: "hand-over", rule: 7, ready: callIsPending(callReleaseServer), prepare: func(w *simWorld) {
			e := w.entries[1]
			for server, o := range w.checker.view(e.agent).owned {
				if cur, ok := e.agent.roster.Owner(server); ok && cur.Epoch == o.epoch {
					w.checker.recordRelease(e, server)
					e.agent.call(w.now, callFrame{Kind: callReleaseServer, Server: server}, nil)
				}
			}
			if len(e.agent.calls) == 0 {
				e.agent.call(w.now, callFrame{Kind: callReleaseServer, Server: "engine-0"}, nil)
			}
		}},
		{name: "permit", rule: 2, ready: func(w *simWorld) bool {
			n := 0
			for _, e := range w.entries {
				n += len(e.agent.permits)
			}
			return n > 1
		}},
		{name: "permit return", rule: 2, ready: callIsPending(callReturnPermit)},
		{name: "crash report", rule: 4, ready: callIsPending(callReportCrash)},
		{name: "lock", rule: 4, ready: func(w *simWorld) bool {
			for _, e := range w.entries {
				if len(e.agent.locks) > 0 {
					return true
				}
			}
			return false
		}},
		{name: "booking", rule: 5, ready: callIsPending(callBeginBooking)},
		{name: "entry start", rule: 8, prepare: func(w *simWorld) { w.entries[2].kill(); w.entries[2].start() }, ready: always},
		{name: "leader change", rule: 8, prepare: func(w *simWorld) {
			if w.quorum.leader >= 0 {
				w.replicas[w.quorum.leader].kill()
			}
		}, ready: func(w *simWorld) bool { return w.quorum.leader >= 0 }},
	}
}

// matrixFault is a fault that inject starts and heal ends.
type matrixFault struct {
	name   string
	inject func(w *simWorld)
}

func (w *simWorld) leaderReplica() *simReplica { return w.replicas[max(w.quorum.leader, 0)] }

// randomEntry picks a random entry.
func (w *simWorld) randomEntry() *simEntry { return w.entries[w.rng.IntN(simEntries)] }

func (w *simWorld) partitionEntry(e *simEntry, outbound, inbound bool) {
	for i := range w.replicas {
		if outbound {
			w.cut[direction("e", e.id, "r", i)] = true
		}
		if inbound {
			w.cut[direction("r", i, "e", e.id)] = true
		}
	}
}

func faults() []matrixFault {
	list := []matrixFault{
		{"entry killed", func(w *simWorld) { w.randomEntry().kill() }},
		{"entry restarted", func(w *simWorld) { e := w.randomEntry(); e.kill(); e.start() }},
		{"entry paused", func(w *simWorld) { w.randomEntry().pausedUntil = w.now.Add(7 * time.Second) }},
		{"entry partitioned", func(w *simWorld) { w.partitionEntry(w.randomEntry(), true, true) }},
		{"entry partitioned outbound", func(w *simWorld) { w.partitionEntry(w.randomEntry(), true, false) }},
		{"entry partitioned inbound", func(w *simWorld) { w.partitionEntry(w.randomEntry(), false, true) }},
		{"leader killed", func(w *simWorld) { w.leaderReplica().kill() }},
		{"leader paused", func(w *simWorld) { w.leaderReplica().pausedUntil = w.now.Add(4 * time.Second) }},
		{"leader isolated", func(w *simWorld) { w.leaderReplica().isolated = true }},
		{"follower isolated, entry starts", func(w *simWorld) {
			w.replicas[(max(w.quorum.leader, 0)+1)%simReplicas].isolated = true
			e := w.randomEntry()
			w.checker.scheduled = append(w.checker.scheduled, timed[func()]{w.now.Add(4 * time.Second), func() {
				e.kill()
				e.start()
			}})
		}},
		{"answers lost", func(w *simWorld) {
			w.quorum.lostResults = 0.7
			for _, e := range w.entries {
				e.disconnect()
			}
		}},
		{"messages delayed", func(w *simWorld) { w.delay = 900 * time.Millisecond }},
	}
	return append(list, matrixFault{"leader killed, then an entry", func(w *simWorld) {
		w.leaderReplica().kill()
		w.checker.scheduled = append(w.checker.scheduled, timed[func()]{w.now.Add(time.Second), func() { w.randomEntry().kill() }})
	}}, matrixFault{"leader paused, entry partitioned", func(w *simWorld) {
		w.leaderReplica().pausedUntil = w.now.Add(6 * time.Second)
		w.partitionEntry(w.randomEntry(), true, true)
	}})
}

// heal ends all faults.
func (w *simWorld) heal() {
	clear(w.cut)
	w.delay, w.quorum.lostResults = 30*time.Millisecond, 0.05
	for _, r := range w.replicas {
		r.isolated = false
		r.pausedUntil = w.now
		if r.dead {
			r.start()
		}
	}
	for _, e := range w.entries {
		e.pausedUntil = w.now
		if e.dead {
			e.start()
		}
	}
}

func (w *simWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.checker.err == nil; {
		w.step()
	}
}

// runCell runs one cell with one seed.
func runCell(step matrixStep, fault matrixFault, seed uint64, configure func(*simWorld)) *simWorld {
	w := newSimWorld(seed)
	if configure != nil {
		configure(w)
	}
	w.run(warmUpDuration + time.Duration(seed%7)*300*time.Millisecond)
	if step.prepare != nil {
		step.prepare(w)
		w.run(time.Duration(w.rng.Int64N(int64(200 * time.Millisecond))))
	}
	for end := w.now.Add(stepTimeout); !step.ready(w) && w.now.Before(end) && w.checker.err == nil; {
		w.step()
	}
	w.tracef("%s: %s", step.name, fault.name)
	fault.inject(w)
	w.run(faultDuration)
	w.heal()
	w.run(recoveryDuration)
	w.workload.changesStopped = true
	w.run(time.Second)
	if w.checker.err == nil {
		w.checker.checkRecovered()
	}
	return w
}

func TestFaults(t *testing.T) {
	for _, s := range steps() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for _, f := range faults() {
				t.Run(f.name, func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(seedsPerCell) {
						w := runCell(s, f, seed+1, nil)
						if w.checker.err != nil {
							t.Fatalf("seed %d: %v\n%s", seed+1, w.checker.err, strings.Join(w.trace, "\n"))
						}
					}
				})
			}
		})
	}
}

// TestSameSeedSameRun runs one cell twice and compares the final states.
func TestSameSeedSameRun(t *testing.T) {
	var ends []string
	for range 2 {
		w := runCell(steps()[11], faults()[12], 5, nil)
		qt.Assert(t, w.checker.err, qt.IsNil)
		end := fmt.Sprint(len(w.quorum.cmds), w.quorum.term, w.checker.fences, len(w.checker.replies))
		for _, e := range w.entries {
			end += fmt.Sprint(" ", e.agent.liveAssembler.Revision(), e.agent.lastCallID, e.agent.lease.End().UnixNano())
		}
		ends = append(ends, end)
	}
	qt.Assert(t, ends[0], qt.Equals, ends[1])
}

func TestFaultsAreListed(t *testing.T) {
	var want []lister.Cell
	for _, s := range steps() {
		for _, f := range faults() {
			name := strings.ReplaceAll(fmt.Sprintf("TestFaults/%s/%s", s.name, f.name), " ", "_")
			want = append(want, lister.Cell{Rule: s.rule, Step: s.name, Fault: f.name, Test: name, Package: "redwingstage.org/stage/controller", Seeds: seedsPerCell})
		}
	}
	lister.Check(t, append(want, shutdownCells()...))
}

// TestCheckerDetects disables one mechanism at a time and expects the checker to detect its absence.
func TestCheckerDetects(t *testing.T) {
	fresh := func(w *simWorld) { w.configureHubs(func(h *hub) { h.assumeFresh = true }) }
	tests := []struct {
		name    string
		step    string
		fault   string
		disable func(w *simWorld)
		want    string
	}{
		{"a new leader grants servers at once", "lease", "leader paused, entry partitioned", fresh, "both command"},
		{"a new leader grants permits at once", "permit", "leader killed", fresh, "the store allows"},
		{"a new leader grants locks at once", "lock", "leader isolated", fresh, "lock"},
		{"a leader without a lease continues", "lease", "leader isolated", func(w *simWorld) {
			w.configureHubs(func(h *hub) { h.ignoreLease = true })
		}, "both command"},
		{"state before the leader's welcome", "change", "follower isolated, entry starts", func(w *simWorld) {
			w.configureHubs(func(h *hub) { h.skipWelcome = true })
		}, "started with catalog"},
		{"a wait without confirmations", "change", "entry partitioned inbound", func(w *simWorld) {
			w.configureHubs(func(h *hub) { h.skipAcks = true })
		}, "declared in force"},
		{"a suspicion without confirmations", "crash report", "entry partitioned inbound", func(w *simWorld) {
			w.configureHubs(func(h *hub) { h.skipAcks = true })
		}, "does not have suspect"},
		{"each permit counts as unused", "permit return", "leader killed", func(w *simWorld) {
			w.configureHubs(func(h *hub) { h.countPermitsAsUnused = true })
		}, "store's rate"},
		{"an entry counts its lease from the answer", "lease", "entry partitioned outbound", func(w *simWorld) { w.lateLease = true }, "both command"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := steps()[slices.IndexFunc(steps(), func(s matrixStep) bool { return s.name == tt.step })]
			f := faults()[slices.IndexFunc(faults(), func(f matrixFault) bool { return f.name == tt.fault })]
			for seed := range uint64(maxDetectSeeds) {
				w := runCell(s, f, seed+1, func(w *simWorld) {
					tt.disable(w)
					w.checker.onlyContaining = tt.want
				})
				if w.checker.err != nil {
					t.Logf("seed %d: %v", seed+1, w.checker.err)
					return
				}
			}
			t.Fatalf("%d seeds without failure %q", maxDetectSeeds, tt.want)
		})
	}
}
