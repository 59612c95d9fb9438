package recorder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two attempts are abandoned before their delayed Begins arrive: neither may hold the key.
func TestDelayedBeginsOfAbandonedAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	key := Key{Caller: "c", Service: "s", Key: "k"}
	table := New()
	table.End(now, End{Key: key, Attempt: "a1", Outcome: OutcomeNotRun})
	table.End(now, End{Key: key, Attempt: "a2", Outcome: OutcomeNotRun})
	for _, a := range []string{"a2", "a1", "a2"} {
		qt.Assert(t, table.Begin(now, Begin{Key: key, Attempt: a}).Decision, qt.Equals, DecisionUnknown)
	}
	qt.Assert(t, table.Running(), qt.Equals, 0)
	qt.Assert(t, table.Begin(now, Begin{Key: key, Attempt: "a3"}).Decision, qt.Equals, DecisionRun)
	qt.Assert(t, table.End(now, End{Key: key, Attempt: "a1", Outcome: OutcomeNotRun}), qt.IsFalse)
	qt.Assert(t, table.Begin(now, Begin{Key: key, Attempt: "a4"}).Decision, qt.Equals, DecisionWait)
}
