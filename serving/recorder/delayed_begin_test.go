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
	table.End(now, End{Key: key, Attempt: "a1", Ending: EndingNotRun})
	table.End(now, End{Key: key, Attempt: "a2", Ending: EndingNotRun})
	for _, a := range []string{"a2", "a1", "a2"} {
		qt.Assert(t, table.Begin(now, Begin{Key: key, Attempt: a}).Verdict, qt.Equals, VerdictUnknown)
	}
	qt.Assert(t, table.Running(), qt.Equals, 0)
	qt.Assert(t, table.Begin(now, Begin{Key: key, Attempt: "a3"}).Verdict, qt.Equals, VerdictRun)
	qt.Assert(t, table.End(now, End{Key: key, Attempt: "a1", Ending: EndingNotRun}), qt.IsFalse)
	qt.Assert(t, table.Begin(now, Begin{Key: key, Attempt: "a4"}).Verdict, qt.Equals, VerdictWait)
}
