package orderer

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

// TestLedgerSurvivesRestart opens the ledger of an earlier process that may have been killed during a write.
func TestLedgerSurvivesRestart(t *testing.T) {
	const twoLines = `{"key":"a","item":"crate","quantity":2}` + "\n" + `{"key":"b","item":"crate","quantity":1}` + "\n"
	tests := []struct {
		name, content string
		runs          map[string]int
		unsold        int
		wantErr       string
	}{
		{name: "new", runs: map[string]int{}, unsold: initialStock},
		{name: "complete", content: twoLines, runs: map[string]int{"a": 1, "b": 1}, unsold: initialStock - 3},
		{name: "ran twice", content: twoLines + twoLines, runs: map[string]int{"a": 2, "b": 2}, unsold: initialStock - 6},
		{name: "torn", content: twoLines + `{"key":"c","it`, runs: map[string]int{"a": 1, "b": 1}, unsold: initialStock - 3},
		{name: "only torn", content: `{"key"`, runs: map[string]int{}, unsold: initialStock},
		{name: "corrupt", content: "x\n" + twoLines, wantErr: ".*ledger: line 1: .*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			dir := filepath.Join(t.TempDir(), "data")
			c.Assert(os.Mkdir(dir, folderPerm), quicktest.IsNil)
			if tt.content != "" {
				c.Assert(os.WriteFile(filepath.Join(dir, ledgerFile), []byte(tt.content), filePerm), quicktest.IsNil)
			}
			l, err := openLedger(dir)
			if tt.wantErr != "" {
				c.Assert(err, quicktest.ErrorMatches, tt.wantErr)
				return
			}
			c.Assert(err, quicktest.IsNil)
			c.Assert(l.runsByKey(), quicktest.DeepEquals, tt.runs)
			c.Assert(l.unsold("crate"), quicktest.Equals, tt.unsold)
			// A run added after a torn line is read back.
			_, _, err = l.add(bookingRun{Key: "z", Item: "crate", Quantity: 1})
			c.Assert(err, quicktest.IsNil)
			c.Assert(l.close(), quicktest.IsNil)
			l, err = openLedger(dir)
			c.Assert(err, quicktest.IsNil)
			tt.runs["z"] = 1
			c.Assert(l.runsByKey(), quicktest.DeepEquals, tt.runs)
			c.Assert(l.close(), quicktest.IsNil)
		})
	}
}

// TestFailedLedgerWriteFailsBooking guards against acknowledging a booking whose ledger write failed.
func TestFailedLedgerWriteFailsBooking(t *testing.T) {
	c := quicktest.New(t)
	s, err := New(Config{Name: "orders-1", Addr: "127.0.0.1:0", Service: "orders", Folder: t.TempDir()})
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.ledger.close(), quicktest.IsNil)
	status, _, _, err := call(c, s, "POST", "/bookings", booking)
	c.Assert(err, quicktest.IsNil)
	c.Assert(status, quicktest.Equals, 500)
	c.Assert(s.Ledger(), quicktest.HasLen, 0)
	c.Assert(s.Close(), quicktest.ErrorMatches, ".*file already closed")
}
