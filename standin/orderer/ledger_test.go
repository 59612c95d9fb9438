package orderer

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

// TestLedgerOutlivesTheProcess opens the ledger of an earlier process that may have been killed during a write.
func TestLedgerOutlivesTheProcess(t *testing.T) {
	const two = `{"key":"a","item":"crate","quantity":2}` + "\n" + `{"key":"b","item":"crate","quantity":1}` + "\n"
	tests := []struct {
		name, content string
		runs          map[string]int
		left          int
		problem       string
	}{
		{name: "new", runs: map[string]int{}, left: stock},
		{name: "whole", content: two, runs: map[string]int{"a": 1, "b": 1}, left: stock - 3},
		{name: "ran twice", content: two + two, runs: map[string]int{"a": 2, "b": 2}, left: stock - 6},
		{name: "torn", content: two + `{"key":"c","it`, runs: map[string]int{"a": 1, "b": 1}, left: stock - 3},
		{name: "only torn", content: `{"key"`, runs: map[string]int{}, left: stock},
		{name: "damaged", content: "x\n" + two, problem: ".*ledger: line 1: .*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			dir := filepath.Join(t.TempDir(), "data")
			c.Assert(os.Mkdir(dir, folderMode), quicktest.IsNil)
			if tt.content != "" {
				c.Assert(os.WriteFile(filepath.Join(dir, ledgerFile), []byte(tt.content), fileMode), quicktest.IsNil)
			}
			l, err := openLedger(dir)
			if tt.problem != "" {
				c.Assert(err, quicktest.ErrorMatches, tt.problem)
				return
			}
			c.Assert(err, quicktest.IsNil)
			c.Assert(l.all(), quicktest.DeepEquals, tt.runs)
			c.Assert(l.left("crate"), quicktest.Equals, tt.left)
			// A run added after a torn line is read back.
			_, _, err = l.add(line{Key: "z", Item: "crate", Quantity: 1})
			c.Assert(err, quicktest.IsNil)
			c.Assert(l.close(), quicktest.IsNil)
			l, err = openLedger(dir)
			c.Assert(err, quicktest.IsNil)
			tt.runs["z"] = 1
			c.Assert(l.all(), quicktest.DeepEquals, tt.runs)
			c.Assert(l.close(), quicktest.IsNil)
		})
	}
}

// TestUnsyncedBookingIsNoSuccess guards against acknowledging a booking whose ledger write failed.
func TestUnsyncedBookingIsNoSuccess(t *testing.T) {
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
