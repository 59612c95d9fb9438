package recorder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	testKey   = Key{Caller: "gym", Service: "orders", Key: "k1"}
	answer    = Answer{Status: 201, Type: "application/json", Body: []byte(`{"order":1}`)}
)

func begin(attempt string) Begin {
	return Begin{Key: testKey, Digest: [16]byte{1}, Attempt: attempt, Entry: "e1", Incarnation: 1}
}

func end(attempt string, outcome Outcome) End {
	e := End{Key: testKey, Attempt: attempt, Outcome: outcome}
	if outcome == OutcomeDone {
		e.Answer = answer
	}
	return e
}

func TestBegin(t *testing.T) {
	other := begin("b")
	other.Digest = [16]byte{2}
	tests := []struct {
		name string
		// events precede the tested Begin: a Begin, an End, "lost" for a lost process, or elapsed time.
		events []any
		begin  Begin
		want   Decision
	}{
		{name: "first", begin: begin("a"), want: DecisionRun},
		{name: "same attempt again after a lost reply", events: []any{begin("a")}, begin: begin("a"), want: DecisionRun},
		{name: "another attempt is running", events: []any{begin("a")}, begin: begin("b"), want: DecisionWait},
		{name: "done", events: []any{begin("a"), end("a", OutcomeDone)}, begin: begin("b"), want: DecisionDone},
		{name: "may have run", events: []any{begin("a"), end("a", OutcomeUnknown)}, begin: begin("b"), want: DecisionUnknown},
		{name: "did not run", events: []any{begin("a"), end("a", OutcomeNotRun)}, begin: begin("b"), want: DecisionRun},
		{name: "other content", events: []any{begin("a")}, begin: other, want: DecisionConflict},
		{name: "other content after done", events: []any{begin("a"), end("a", OutcomeDone)}, begin: other, want: DecisionConflict},
		{name: "process lost", events: []any{begin("a"), "lost"}, begin: begin("b"), want: DecisionUnknown},
		{name: "lost process reports done later", events: []any{begin("a"), "lost", end("a", OutcomeDone)}, begin: begin("b"), want: DecisionDone},
		{name: "abandoned before its Begin arrived", events: []any{end("a", OutcomeNotRun)}, begin: begin("a"), want: DecisionUnknown},
		{name: "another attempt after one abandoned before its Begin", events: []any{end("a", OutcomeNotRun)}, begin: begin("b"), want: DecisionRun},
		{name: "end of another attempt", events: []any{begin("a"), end("b", OutcomeNotRun)}, begin: begin("c"), want: DecisionWait},
		{name: "not run after done", events: []any{begin("a"), end("a", OutcomeDone), end("a", OutcomeNotRun)}, begin: begin("b"), want: DecisionDone},
		{name: "runs for too long", events: []any{begin("a"), time.Minute}, begin: begin("b"), want: DecisionUnknown},
		{name: "retention time passed", events: []any{begin("a"), end("a", OutcomeDone), time.Hour}, begin: begin("b"), want: DecisionRun},
		{name: "clock goes back", events: []any{begin("a"), end("a", OutcomeDone), -time.Hour}, begin: begin("b"), want: DecisionDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tab := New(WithMaxRun(time.Minute), WithRetention(time.Hour))
			now := startTime
			for _, e := range tt.events {
				switch e := e.(type) {
				case Begin:
					tab.Begin(now, e)
				case End:
					tab.End(now, e)
				case time.Duration:
					now = now.Add(e)
				case string:
					tab.ProcessLost(now, "e1", 1)
				}
				tab = restored(c, tab)
			}
			got := tab.Begin(now, tt.begin)
			c.Assert(got.Decision, qt.Equals, tt.want)
			if tt.want == DecisionDone {
				c.Assert(got.Answer, qt.DeepEquals, answer)
			}
		})
	}
}

// restored returns a copy of the table restored from its snapshot, which must be equal.
func restored(c *qt.C, tab *Table) *Table {
	c.Helper()
	b, err := tab.Snapshot()
	c.Assert(err, qt.IsNil)
	next := New(WithMaxRun(tab.maxRun), WithRetention(tab.retention), WithMaxRecords(tab.maxRecords), WithAnswerLimits(tab.maxStoredBytes, tab.maxAnswerBytes))
	c.Assert(next.Restore(b), qt.IsNil)
	again, err := next.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, b)
	c.Assert(next.Bytes(), qt.Equals, tab.Bytes())
	return next
}

func TestAnswerLimitDropsOldestAnswerAndKeepsRecord(t *testing.T) {
	c := qt.New(t)
	tab := New(WithAnswerLimits(2*answer.size(), answer.size()))
	for i := range 3 {
		b := begin("a")
		b.Key.Key = fmt.Sprint(i)
		tab.Begin(startTime, b)
		c.Assert(tab.End(startTime, End{Key: b.Key, Attempt: "a", Outcome: OutcomeDone, Answer: answer}), qt.IsTrue)
		tab = restored(c, tab)
	}
	c.Assert(tab.Bytes(), qt.Equals, 2*answer.size())
	first := begin("b")
	first.Key.Key = "0"
	c.Assert(tab.Begin(startTime, first), qt.DeepEquals, BeginReply{Decision: DecisionDone})
	first.Key.Key = "2"
	c.Assert(tab.Begin(startTime, first).Answer, qt.DeepEquals, answer)
}

func TestFullTableRejectsNewKeysOnly(t *testing.T) {
	c := qt.New(t)
	tab := New(WithMaxRecords(1))
	c.Assert(tab.Begin(startTime, begin("a")).Decision, qt.Equals, DecisionRun)
	other := begin("a")
	other.Key.Key = "k2"
	c.Assert(tab.Begin(startTime, other).Decision, qt.Equals, DecisionFull)
	c.Assert(tab.Begin(startTime, begin("b")).Decision, qt.Equals, DecisionWait)
}

func TestRestoreErrors(t *testing.T) {
	tests := []struct {
		name string
		give []byte
		want string
	}{
		{name: "garbage", give: []byte("garbage"), want: "snapshot of bookings: decode: .*"},
		{name: "no state", give: []byte{0xa1, 0x02, 0x81, 0xa0}, want: "snapshot of bookings: record 0 has no valid state"},
		{name: "null record", give: []byte{0xa1, 0x02, 0x81, 0xf6}, want: "snapshot of bookings: record 0 has no valid state"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tab := New()
			tab.Begin(startTime, begin("a"))
			c.Assert(tab.Restore(tt.give), qt.ErrorMatches, tt.want)
			c.Assert(tab.Begin(startTime, begin("b")).Decision, qt.Equals, DecisionWait)
		})
	}
}
