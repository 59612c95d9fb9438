package dispatcher

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/registrar"
)

const (
	poisonEntries = 5
	// poisonCopies is the number of copies sent to each entry at once; poisonSpreadProcesses is one more engine than they may crash.
	poisonCopies          = 3
	poisonSpreadProcesses = 3
	// poisonCrashDelay is how long an engine runs the poison before it crashes, so that copies could reach other engines; a test
	// that needs them to be reached waits for that, poisonMaxSpreadWait at most.
	poisonCrashDelay    = 500 * time.Millisecond
	poisonMaxSpreadWait = time.Minute
	// poisonHarmlessCallers is the number of callers at each entry whose harmless requests share batches with the poison.
	poisonHarmlessCallers = 4
	// poisonResends bounds how often a caller resends a request.
	poisonResends = 20
)

// poisonTrial sends a request that crashes engines through all entries at once, and resends it after each failure.
type poisonTrial struct {
	t          testing.TB
	control    *fakeControl
	entries    []*Dispatcher
	engines    []*backend
	crashDelay time.Duration
	crashes    atomic.Int64
	answers    atomic.Int64
	resent     atomic.Int64
	mu         sync.Mutex
	violations []string
	// reached holds the processes that the poison reached; spreadDone is closed once there are poisonSpreadProcesses.
	reached    map[string]bool
	spreadDone chan struct{}
}

func (tr *poisonTrial) addViolation(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
}

func newPoisonTrial(t testing.TB, crashDelay time.Duration) *poisonTrial {
	tr := &poisonTrial{t: t, crashDelay: crashDelay, control: newFakeControl(t), reached: make(map[string]bool), spreadDone: make(chan struct{})}
	for i := range poisonEntries {
		name := fmt.Sprint("n", i+1)
		d := tr.control.startEntry(t, name)
		b := startBackend(t, fmt.Sprint("e", i+1), configurer.KindModel)
		b.eventInterval = time.Millisecond
		b.fault = func(_ int, c *call) bool {
			if c.prompt() != "poison" || len(c.req.Header.Peek(marker.ResumedAttempt)) > 0 {
				return false
			}
			tr.crash(c)
			return true
		}
		tr.entries, tr.engines = append(tr.entries, d), append(tr.engines, b)
		tr.control.assign(b.server(), name, d.Peers())
	}
	for n := 0; !tr.allServe(); n++ {
		tr.sendChat(tr.entries[n%poisonEntries], fmt.Sprint("warm ", n))
	}
	return tr
}

// crash ends the engine's process when the poison has reached poisonSpreadProcesses or after crashDelay; a request that was
// cancelled by then crashes nothing.
func (tr *poisonTrial) crash(c *call) {
	b := c.backend
	before := b.server().Incarnation
	tr.mu.Lock()
	tr.reached[b.name+before] = true
	if len(tr.reached) == poisonSpreadProcesses {
		close(tr.spreadDone)
	}
	tr.mu.Unlock()
	select {
	case <-tr.spreadDone:
	case <-time.After(tr.crashDelay):
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	b.mu.Lock()
	cancelled := b.cancelled[c.attempt]
	b.mu.Unlock()
	if b.server().Incarnation == before && !cancelled {
		tr.crashes.Add(1)
		b.restart()
		tr.control.announce(b.server())
	}
}

// announce updates a server's incarnation under the same owner.
func (ctl *fakeControl) announce(s registrar.Server) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	for i := range ctl.servers {
		if ctl.servers[i].Name == s.Name {
			ctl.servers[i] = s
		}
	}
	ctl.revision++
	ctl.publish()
}

func (tr *poisonTrial) allServe() bool {
	for _, b := range tr.engines {
		if b.countRuns(func(ledgerEntry) bool { return true }) == 0 {
			return false
		}
	}
	return true
}

func (tr *poisonTrial) sendChat(d *Dispatcher, text string) answer {
	return post(tr.t, d, "/v1/chat/completions", chat("base", text, true))
}

// run sends the poison and harmless requests, and returns the violations.
func (tr *poisonTrial) run() []string {
	stop := make(chan struct{})
	var harmless, callers sync.WaitGroup
	for _, d := range tr.entries {
		for i := range poisonHarmlessCallers {
			harmless.Go(func() { tr.sendHarmless(d, i, stop) })
		}
		for range poisonCopies {
			callers.Go(func() { tr.sendPoison(d) })
		}
	}
	callers.Wait()
	close(stop)
	harmless.Wait()
	for _, d := range tr.entries {
		a := tr.sendChat(d, "poison")
		if a.status != http.StatusUnprocessableEntity || a.outcome != "not-run" || errorCode(a) != "quarantine" {
			tr.addViolation("%s answers the poison afterwards by %d %s %s", d.Callers(), a.status, a.outcome, a.body)
		}
	}
	if n := tr.crashes.Load(); n > 2 {
		tr.addViolation("the request crashed engines %d times", n)
	}
	return tr.violations
}

// sendPoison sends the poison until it is refused.
func (tr *poisonTrial) sendPoison(d *Dispatcher) {
	for range poisonResends {
		a := tr.sendChat(d, "poison")
		if a.outcome == "done" {
			tr.addViolation("the poison was answered: %s", a.body)
		}
		if errorCode(a) == "quarantine" {
			return
		}
	}
	tr.addViolation("the poison was not refused after %d sends", poisonResends)
}

// sendHarmless sends harmless requests into the same batches; each gets a complete answer, after resends if necessary.
func (tr *poisonTrial) sendHarmless(d *Dispatcher, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		text := fmt.Sprintf("%s-%d-%d", d.Callers(), caller, n)
		if !tr.isAnswered(d, text) {
			return
		}
	}
}

func (tr *poisonTrial) isAnswered(d *Dispatcher, text string) bool {
	want := ""
	for i := range 7 {
		want += fmt.Sprintf("%s/%d ", text, i)
	}
	var a answer
	for range poisonResends {
		a = tr.sendChat(d, text)
		if a.outcome == "done" {
			if joinContents(a.body) != want+"end" {
				tr.addViolation("%s: done, but incomplete: %s", text, a.body)
			}
			tr.answers.Add(1)
			return true
		}
		tr.resent.Add(1)
	}
	tr.addViolation("%s was not answered: %d %s", text, a.status, a.body)
	return false
}

func errorCode(a answer) string {
	var b struct{ Error struct{ Code string } }
	_ = json.Unmarshal([]byte(a.body), &b)
	return b.Error.Code
}

// A request sent through all entries at once, and resent after each failure, crashes at most two engines.
func TestPoisonAtAllEntries(t *testing.T) {
	t.Parallel()
	tr := newPoisonTrial(t, poisonCrashDelay)
	qt.Check(t, tr.run(), qt.HasLen, 0)
	t.Logf("%d crashes, %d harmless requests answered, %d resent by their callers, %d suspicions cleared",
		tr.crashes.Load(), tr.answers.Load(), tr.resent.Load(), tr.control.completions)
}

// Without claims, copies reach several engines before the first crash is known.
func TestPoisonWithoutClaims(t *testing.T) {
	t.Parallel()
	tr := newPoisonTrial(t, poisonMaxSpreadWait)
	for _, d := range tr.entries {
		setFlag(d.owner, "skipClaims")
	}
	violations := tr.run()
	t.Logf("%q", violations)
	qt.Assert(t, violations, qt.Any(qt.Matches), "the request crashed engines [3-9] times")
}
