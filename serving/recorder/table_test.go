package recorder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	epoch  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	crates = Key{Caller: "gym", Service: "orders", Key: "k1"}
	answer = Answer{Status: 201, Type: "application/json", Body: []byte(`{"order":1}`)}
)

func begin(attempt string) Begin {
	return Begin{Key: crates, Digest: [16]byte{1}, Attempt: attempt, Entry: "e1", Incarnation: 1}
}

func end(attempt string, how Ending) End {
	e := End{Key: crates, Attempt: attempt, Ending: how}
	if how == EndingDone {
		e.Answer = answer
	}
	return e
}

func TestBegin(t *testing.T) {
	other := begin("b")
	other.Digest = [16]byte{2}
	tests := []struct {
		name string
		// give are the events before the asked Begin: Begin, End, a lost process or time that passes.
		give []any
		ask  Begin
		want Verdict
	}{
		{name: "first", ask: begin("a"), want: VerdictRun},
		{name: "reply to the same attempt was lost", give: []any{begin("a")}, ask: begin("a"), want: VerdictRun},
		{name: "another attempt runs", give: []any{begin("a")}, ask: begin("b"), want: VerdictWait},
		{name: "done", give: []any{begin("a"), end("a", EndingDone)}, ask: begin("b"), want: VerdictDone},
		{name: "may have run", give: []any{begin("a"), end("a", EndingUnknown)}, ask: begin("b"), want: VerdictUnknown},
		{name: "did not run", give: []any{begin("a"), end("a", EndingNotRun)}, ask: begin("b"), want: VerdictRun},
		{name: "other content", give: []any{begin("a")}, ask: other, want: VerdictConflict},
		{name: "other content after done", give: []any{begin("a"), end("a", EndingDone)}, ask: other, want: VerdictConflict},
		{name: "process lost", give: []any{begin("a"), "lost"}, ask: begin("b"), want: VerdictUnknown},
		{name: "lost process ends it after all", give: []any{begin("a"), "lost", end("a", EndingDone)}, ask: begin("b"), want: VerdictDone},
		{name: "given up before its Begin arrived", give: []any{end("a", EndingNotRun)}, ask: begin("a"), want: VerdictUnknown},
		{name: "another after one given up unseen", give: []any{end("a", EndingNotRun)}, ask: begin("b"), want: VerdictRun},
		{name: "end of another attempt", give: []any{begin("a"), end("b", EndingNotRun)}, ask: begin("c"), want: VerdictWait},
		{name: "done can't be undone", give: []any{begin("a"), end("a", EndingDone), end("a", EndingNotRun)}, ask: begin("b"), want: VerdictDone},
		{name: "runs for too long", give: []any{begin("a"), time.Minute}, ask: begin("b"), want: VerdictUnknown},
		{name: "kept no longer", give: []any{begin("a"), end("a", EndingDone), time.Hour}, ask: begin("b"), want: VerdictRun},
		{name: "clock goes back", give: []any{begin("a"), end("a", EndingDone), -time.Hour}, ask: begin("b"), want: VerdictDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tab := New(WithMaxRun(time.Minute), WithKeep(time.Hour))
			now := epoch
			for _, g := range tt.give {
				switch g := g.(type) {
				case Begin:
					tab.Begin(now, g)
				case End:
					tab.End(now, g)
				case time.Duration:
					now = now.Add(g)
				case string:
					tab.Lost(now, "e1", 1)
				}
				tab = restored(c, tab)
			}
			got := tab.Begin(now, tt.ask)
			c.Assert(got.Verdict, qt.Equals, tt.want)
			if tt.want == VerdictDone {
				c.Assert(got.Answer, qt.DeepEquals, answer)
			}
		})
	}
}

// restored returns a table that went through a snapshot, which must change nothing.
func restored(c *qt.C, tab *Table) *Table {
	c.Helper()
	b, err := tab.Snapshot()
	c.Assert(err, qt.IsNil)
	next := New(WithMaxRun(tab.maxRun), WithKeep(tab.keep), WithRecords(tab.records), WithMemory(tab.memory, tab.maxStore))
	c.Assert(next.Restore(b), qt.IsNil)
	again, err := next.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, b)
	c.Assert(next.Bytes(), qt.Equals, tab.Bytes())
	return next
}

func TestMemoryDropsOldestAnswerAndKeepsRecord(t *testing.T) {
	c := qt.New(t)
	tab := New(WithMemory(2*answer.size(), answer.size()))
	for i := range 3 {
		b := begin("a")
		b.Key.Key = fmt.Sprint(i)
		tab.Begin(epoch, b)
		c.Assert(tab.End(epoch, End{Key: b.Key, Attempt: "a", Ending: EndingDone, Answer: answer}), qt.IsTrue)
		tab = restored(c, tab)
	}
	c.Assert(tab.Bytes(), qt.Equals, 2*answer.size())
	first := begin("b")
	first.Key.Key = "0"
	c.Assert(tab.Begin(epoch, first), qt.DeepEquals, Begun{Verdict: VerdictDone})
	first.Key.Key = "2"
	c.Assert(tab.Begin(epoch, first).Answer, qt.DeepEquals, answer)
}

func TestFullRefusesNewKeysOnly(t *testing.T) {
	c := qt.New(t)
	tab := New(WithRecords(1))
	c.Assert(tab.Begin(epoch, begin("a")).Verdict, qt.Equals, VerdictRun)
	other := begin("a")
	other.Key.Key = "k2"
	c.Assert(tab.Begin(epoch, other).Verdict, qt.Equals, VerdictFull)
	c.Assert(tab.Begin(epoch, begin("b")).Verdict, qt.Equals, VerdictWait)
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
			tab.Begin(epoch, begin("a"))
			c.Assert(tab.Restore(tt.give), qt.ErrorMatches, tt.want)
			c.Assert(tab.Begin(epoch, begin("b")).Verdict, qt.Equals, VerdictWait)
		})
	}
}
