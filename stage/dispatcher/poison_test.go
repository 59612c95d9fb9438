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
	// poisonCopies is the number of copies sent to each entry at once; poisonSpread is one more engine than they may crash.
	poisonCopies = 3
	poisonSpread = 3
	// poisonWait is how long an engine runs the poison before it crashes, so that copies could reach other engines; a test
	// that needs them to be reached waits for that, poisonSpreadWait at most.
	poisonWait       = 500 * time.Millisecond
	poisonSpreadWait = time.Minute
	// poisonInnocents is the number of callers at each entry whose harmless requests share batches with the poison.
	poisonInnocents = 4
	// poisonResends bounds how often a caller resends a request.
	poisonResends = 20
)

// poisonTrial sends a request that crashes engines through all entries at once, and resends it after each failure.
type poisonTrial struct {
	t       testing.TB
	world   *world
	entries []*Dispatcher
	engines []*backend
	wait    time.Duration
	crashes atomic.Int64
	answers atomic.Int64
	resent  atomic.Int64
	mu      sync.Mutex
	broken  []string
	// at holds the processes that the poison reached; spread is closed once there are poisonSpread of them.
	at     map[string]bool
	spread chan struct{}
}

func (tr *poisonTrial) violate(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.broken = append(tr.broken, fmt.Sprintf(format, args...))
}

func newPoisonTrial(t testing.TB, wait time.Duration) *poisonTrial {
	tr := &poisonTrial{t: t, wait: wait, world: newWorld(t), at: make(map[string]bool), spread: make(chan struct{})}
	for i := range poisonEntries {
		name := fmt.Sprint("n", i+1)
		d := tr.world.startEntry(t, name)
		b := startBackend(t, fmt.Sprint("e", i+1), configurer.KindModel)
		b.pace = time.Millisecond
		b.fault = func(_ int, c *call) bool {
			if c.text() != "poison" || len(c.req.Header.Peek(marker.Resume)) > 0 {
				return false
			}
			tr.crash(c)
			return true
		}
		tr.entries, tr.engines = append(tr.entries, d), append(tr.engines, b)
		tr.world.assign(b.server(), name, d.Peers())
	}
	for n := 0; !tr.allServe(); n++ {
		tr.ask(tr.entries[n%poisonEntries], fmt.Sprint("warm ", n))
	}
	return tr
}

// crash ends the engine's process when the poison has reached poisonSpread processes or after tr.wait; a request that was
// cancelled by then crashes nothing.
func (tr *poisonTrial) crash(c *call) {
	b := c.backend
	before := b.server().Incarnation
	tr.mu.Lock()
	tr.at[b.name+before] = true
	if len(tr.at) == poisonSpread {
		close(tr.spread)
	}
	tr.mu.Unlock()
	select {
	case <-tr.spread:
	case <-time.After(tr.wait):
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	b.mu.Lock()
	cancelled := b.cancelled[c.attempt]
	b.mu.Unlock()
	if b.server().Incarnation == before && !cancelled {
		tr.crashes.Add(1)
		b.restart()
		tr.world.announce(b.server())
	}
}

// announce updates a server's incarnation under the same owner.
func (w *world) announce(s registrar.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.servers {
		if w.servers[i].Name == s.Name {
			w.servers[i] = s
		}
	}
	w.revision++
	w.publish()
}

func (tr *poisonTrial) allServe() bool {
	for _, b := range tr.engines {
		if b.ran(func(entry) bool { return true }) == 0 {
			return false
		}
	}
	return true
}

func (tr *poisonTrial) ask(d *Dispatcher, text string) answer {
	return post(tr.t, d, "/v1/chat/completions", chat("base", text, true))
}

// run sends the poison and harmless requests, and returns the violations.
func (tr *poisonTrial) run() []string {
	stop := make(chan struct{})
	var innocents, callers sync.WaitGroup
	for _, d := range tr.entries {
		for i := range poisonInnocents {
			innocents.Go(func() { tr.innocent(d, i, stop) })
		}
		for range poisonCopies {
			callers.Go(func() { tr.poison(d) })
		}
	}
	callers.Wait()
	close(stop)
	innocents.Wait()
	for _, d := range tr.entries {
		a := tr.ask(d, "poison")
		if a.status != http.StatusUnprocessableEntity || a.outcome != "not-run" || codeOf(a) != "quarantine" {
			tr.violate("%s answers the poison afterwards by %d %s %s", d.Callers(), a.status, a.outcome, a.body)
		}
	}
	if n := tr.crashes.Load(); n > 2 {
		tr.violate("the request crashed engines %d times", n)
	}
	return tr.broken
}

// poison sends the poison until it is refused.
func (tr *poisonTrial) poison(d *Dispatcher) {
	for range poisonResends {
		a := tr.ask(d, "poison")
		if a.outcome == "done" {
			tr.violate("the poison was answered: %s", a.body)
		}
		if codeOf(a) == "quarantine" {
			return
		}
	}
	tr.violate("the poison was not refused after %d sends", poisonResends)
}

// innocent sends harmless requests into the same batches; each gets a complete answer, after resends if necessary.
func (tr *poisonTrial) innocent(d *Dispatcher, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		text := fmt.Sprintf("%s-%d-%d", d.Callers(), caller, n)
		if !tr.answered(d, text) {
			return
		}
	}
}

func (tr *poisonTrial) answered(d *Dispatcher, text string) bool {
	want := ""
	for i := range 7 {
		want += fmt.Sprintf("%s/%d ", text, i)
	}
	var a answer
	for range poisonResends {
		a = tr.ask(d, text)
		if a.outcome == "done" {
			if texts(a.body) != want+"end" {
				tr.violate("%s: done, but incomplete: %s", text, a.body)
			}
			tr.answers.Add(1)
			return true
		}
		tr.resent.Add(1)
	}
	tr.violate("%s was not answered: %d %s", text, a.status, a.body)
	return false
}

func codeOf(a answer) string {
	var b struct{ Error struct{ Code string } }
	_ = json.Unmarshal([]byte(a.body), &b)
	return b.Error.Code
}

// A request sent through all entries at once, and resent after each failure, crashes at most two engines.
func TestPoisonAtAllEntries(t *testing.T) {
	t.Parallel()
	tr := newPoisonTrial(t, poisonWait)
	qt.Check(t, tr.run(), qt.HasLen, 0)
	t.Logf("%d crashes, %d harmless requests answered, %d resent by their callers, %d suspicions cleared",
		tr.crashes.Load(), tr.answers.Load(), tr.resent.Load(), tr.world.absolved)
}

// Without claims, copies reach several engines before the first crash is known.
func TestPoisonWithoutClaims(t *testing.T) {
	t.Parallel()
	tr := newPoisonTrial(t, poisonSpreadWait)
	for _, d := range tr.entries {
		switchOff(d.owner, "skipClaims")
	}
	found := tr.run()
	t.Logf("%q", found)
	qt.Assert(t, found, qt.Any(qt.Matches), "the request crashed engines [3-9] times")
}
