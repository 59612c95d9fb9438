package recorder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/lister"
)

const seedsPerCell = 200

// The steps of an attempt; a fault is injected right before its step.
const (
	stepBegin  = "begin"  // the Begin command is committed
	stepBegun  = "begun"  // the reply to Begin arrives at the sender
	stepSend   = "send"   // the sender sends the call
	stepRun    = "run"    // the service runs the call
	stepAnswer = "answer" // the answer arrives at the sender
	stepEnd    = "end"    // the End command is committed
)

var (
	steps  = []string{stepBegin, stepBegun, stepSend, stepRun, stepAnswer, stepEnd}
	faults = []string{"none", "killed", "frozen", "lost", "late", "doubled", "restarted", "killed twice", "frozen then killed"}
)

func matrix() []lister.Cell {
	var list []lister.Cell
	for _, rule := range []int{4, 5} {
		for _, s := range steps {
			for _, f := range faults {
				list = append(list, lister.Cell{Rule: rule, Step: s, Fault: f, Test: "TestFaults/" + s + "/" + f, Package: "redwingstage.org/serving/recorder", Seeds: seedsPerCell})
			}
		}
	}
	return list
}

func TestFaultsAreListed(t *testing.T) { lister.Check(t, matrix()) }

func TestFaults(t *testing.T) {
	for _, s := range steps {
		for _, f := range faults {
			t.Run(s+"/"+f, func(t *testing.T) {
				for seed := range uint64(seedsPerCell) {
					if err := newTrial(seed, s, f).run(); err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
				}
			})
		}
	}
}

// TestCheckDetectsViolations disables one mechanism at a time; check must find a violation.
func TestCheckDetectsViolations(t *testing.T) {
	tests := []struct {
		name       string
		breakTrial func(*trial)
		want       string
	}{
		{name: "send without a record", breakTrial: func(tr *trial) { tr.skipBegin = true }, want: `key k\d ran \d times`},
		{name: "lost sender treated as not run", breakTrial: func(tr *trial) { tr.lostAsNotRun = true }, want: `key k\d ran \d times`},
		{name: "unresponsive service treated as not run", breakTrial: func(tr *trial) { tr.unresponsiveAsNotRun = true }, want: `attempt \S+ was reported as not run and ran`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got error
			for seed := uint64(0); seed < 2*seedsPerCell && got == nil; seed++ {
				for _, f := range faults {
					tr := newTrial(seed, steps[seed%uint64(len(steps))], f)
					tt.breakTrial(tr)
					if got = tr.run(); got != nil {
						t.Logf("seed %d, %s: %v", seed, f, got)
						break
					}
				}
			}
			qt.Assert(t, got, qt.ErrorMatches, tt.want+".*")
		})
	}
}

// attempt is the progress of one attempt at its sender.
type attempt struct {
	id      string
	key     Key
	entry   string
	step    int
	frozen  bool
	killed  bool
	outcome Outcome
	// delayedBegins counts Begin commands that are still in flight.
	delayedBegins int
}

// trial runs senders against a table and injects a fault at one step.
type trial struct {
	rng   *rand.Rand
	step  string
	fault string
	table *Table
	now   time.Time

	attempts []*attempt
	// ran are the attempts that ran at the service, by key.
	ran map[Key][]string
	// reportedNotRun are the attempts that were reported to their caller as not run.
	reportedNotRun map[string]Key
	done           map[Key]bool
	injected       int

	skipBegin            bool
	lostAsNotRun         bool
	unresponsiveAsNotRun bool
}

func newTrial(seed uint64, step, fault string) *trial {
	return &trial{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		step:           step,
		fault:          fault,
		table:          New(WithMaxRun(time.Hour)),
		now:            startTime,
		ran:            make(map[Key][]string),
		reportedNotRun: make(map[string]Key),
		done:           make(map[Key]bool),
	}
}

// run sends four attempts for each of three keys through different entries, interleaved by the seed.
func (tr *trial) run() error {
	for i := range 12 {
		key := Key{Caller: "c", Service: "s", Key: fmt.Sprintf("k%d", i%3)}
		tr.attempts = append(tr.attempts, &attempt{id: fmt.Sprintf("a%d", i), key: key, entry: fmt.Sprintf("e%d", i)})
	}
	for range 400 {
		tr.now = tr.now.Add(time.Duration(tr.rng.IntN(50)) * time.Millisecond)
		a := tr.attempts[tr.rng.IntN(len(tr.attempts))]
		if a.delayedBegins > 0 && tr.rng.IntN(4) == 0 {
			a.delayedBegins--
			tr.begin(a)
		}
		if a.frozen && tr.rng.IntN(6) == 0 {
			a.frozen = false
		}
		if a.killed || a.frozen || a.step >= len(steps) {
			continue
		}
		if err := tr.advance(a); err != nil {
			return err
		}
	}
	return tr.check()
}

// advance runs the next step of an attempt, or injects the fault before it.
func (tr *trial) advance(a *attempt) error {
	name := steps[a.step]
	if name == tr.step && tr.injectFault(a) {
		return nil
	}
	a.step++
	switch name {
	case stepBegin:
		if decision := tr.begin(a); decision != DecisionRun {
			a.step = len(steps)
			if decision == DecisionDone {
				tr.done[a.key] = true
			}
		}
	case stepRun:
		tr.ran[a.key] = append(tr.ran[a.key], a.id)
	case stepAnswer:
		a.outcome = OutcomeDone
	case stepEnd:
		if a.outcome == OutcomeDone {
			tr.done[a.key] = true
		}
		tr.table.End(tr.now, End{Key: a.key, Attempt: a.id, Outcome: a.outcome, Answer: answer})
	}
	return nil
}

func (tr *trial) begin(a *attempt) Decision {
	if tr.skipBegin {
		return DecisionRun
	}
	return tr.table.Begin(tr.now, Begin{Key: a.key, Attempt: a.id, Entry: a.entry, Incarnation: 1}).Decision
}

// injectFault applies the fault to the attempt; it returns false if the step still happens.
func (tr *trial) injectFault(a *attempt) bool {
	tr.injected++
	switch tr.fault {
	case "killed":
		tr.kill(a, tr.injected > 1)
	case "killed twice":
		tr.kill(a, tr.injected > 2)
	case "frozen", "frozen then killed":
		tr.endLease(a)
		a.frozen = tr.injected <= 4
		if tr.fault == "frozen then killed" && tr.injected > 2 {
			a.killed = true
		}
		return a.frozen || a.killed
	case "lost":
		return tr.loseMessage(a)
	case "late":
		return tr.rng.IntN(8) != 0
	case "doubled":
		a.delayedBegins++
		return false
	case "restarted":
		return tr.restart()
	default:
		return false
	}
	return a.killed
}

// kill stops the attempt's sender permanently, unless enough were killed.
func (tr *trial) kill(a *attempt, limitReached bool) {
	if limitReached {
		return
	}
	a.killed = true
	tr.endLease(a)
}

// endLease reports to the table that the sender's lease ended.
func (tr *trial) endLease(a *attempt) {
	if tr.lostAsNotRun {
		tr.table.End(tr.now, End{Key: a.key, Attempt: a.id, Outcome: OutcomeNotRun})
		return
	}
	tr.table.ProcessLost(tr.now, a.entry, 1)
}

// loseMessage drops the message of the step; its sender reports the outcome that it can prove.
func (tr *trial) loseMessage(a *attempt) bool {
	outcome := OutcomeUnknown
	switch steps[a.step] {
	case stepBegin:
		// The command may arrive later; the sender never sends the call.
		a.delayedBegins++
		outcome = OutcomeNotRun
	case stepBegun, stepSend:
		outcome = OutcomeNotRun
	case stepRun:
		if tr.unresponsiveAsNotRun {
			outcome = OutcomeNotRun
			tr.ran[a.key] = append(tr.ran[a.key], a.id)
		}
	case stepEnd:
		// The sender retries End until it is acknowledged.
		return tr.rng.IntN(2) == 0
	}
	if outcome == OutcomeNotRun {
		tr.reportedNotRun[a.id] = a.key
	}
	a.step = len(steps)
	tr.table.End(tr.now, End{Key: a.key, Attempt: a.id, Outcome: outcome})
	return true
}

// restart replaces the table by one that was restored from its snapshot.
func (tr *trial) restart() bool {
	b, err := tr.table.Snapshot()
	if err != nil {
		panic(err)
	}
	next := New(WithMaxRun(time.Hour))
	if err := next.Restore(b); err != nil {
		panic(err)
	}
	tr.table = next
	return false
}

func (tr *trial) check() error {
	for i := range 3 {
		key := tr.attempts[i].key
		ran := tr.ran[key]
		if len(ran) > 1 {
			return fmt.Errorf("key %s ran %d times: %v", key.Key, len(ran), ran)
		}
		if tr.done[key] && len(ran) != 1 {
			return fmt.Errorf("key %s was reported as done and ran %d times", key.Key, len(ran))
		}
	}
	for id, key := range tr.reportedNotRun {
		if slices.Contains(tr.ran[key], id) {
			return fmt.Errorf("attempt %s was reported as not run and ran", id)
		}
	}
	return nil
}
