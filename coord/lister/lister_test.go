package lister

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failureRecorder is a testing.TB that only records its failure.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (f *failureRecorder) Helper()               {}
func (f *failureRecorder) Fatal(...any)          { f.failed = true }
func (f *failureRecorder) Fatalf(string, ...any) { f.failed = true }

func TestCheck(t *testing.T) {
	cell := Cell{Rule: 8, Step: "sync", Fault: "kill", Test: TestName("sync", "kill"), Package: "p", Seeds: 3}
	other := cell
	other.Seeds = 4
	tests := []struct {
		name   string
		list   string
		cells  []Cell
		failed bool
	}{
		{name: "equal", list: `[{"rule":8,"step":"sync","fault":"kill","test":"TestFaults/sync/kill","package":"p","seeds":3}]`, cells: []Cell{cell}},
		{name: "other seeds", list: `[{"rule":8,"step":"sync","fault":"kill","test":"TestFaults/sync/kill","package":"p","seeds":3}]`, cells: []Cell{other}, failed: true},
		{name: "cell missing", list: `[]`, cells: []Cell{cell}, failed: true},
		{name: "unknown field", list: `[{"rul":8}]`, cells: []Cell{{}}, failed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			qt.Assert(t, os.WriteFile(filepath.Join(".", FileName), []byte(tt.list), 0o600), qt.IsNil)
			f := &failureRecorder{TB: t}
			Check(f, tt.cells)
			qt.Assert(t, f.failed, qt.Equals, tt.failed)
		})
	}
}
