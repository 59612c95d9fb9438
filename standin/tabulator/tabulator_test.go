package tabulator

import (
	"os"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/lister"
)

func TestReadErrors(t *testing.T) {
	tests := []struct {
		name string
		give string
		want string
	}{
		{name: "syntax", give: "[", want: "a/faults.json: faults.json: unexpected EOF"},
		{name: "unknown field", give: `[{"rul":1}]`, want: `a/faults.json: faults.json: json: unknown field "rul"`},
		{name: "no rule", give: `[{"rule":9}]`, want: "a/faults.json: cell 0: no rule 9"},
		{name: "no step", give: `[{"rule":1}]`, want: "a/faults.json: cell 0: step, fault and test must be named"},
		{name: "foreign package", give: `[{"rule":1,"step":"s","fault":"f","test":"T","package":"x"}]`, want: `.*package "x" is not of this project`},
		{name: "no seeds", give: `[{"rule":1,"step":"s","fault":"f","test":"T","package":"redwingstage.org/x"}]`, want: ".*no seeds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Read(fstest.MapFS{"a/faults.json": {Data: []byte(tt.give)}})
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestPageListsUncoveredPairsAndRules(t *testing.T) {
	cell := lister.Cell{Rule: 5, Step: "send", Fault: "kill", Test: "TestFaults/send/kill", Package: "redwingstage.org/a", Seeds: 3}
	other := cell
	other.Step, other.Fault = "sync", "cut"
	page := string(Page([]lister.Cell{cell, other}))
	for _, want := range []string{
		"| send | kill | 3 | `go test ./a -run '^TestFaults$/^send$/^kill$'` |",
		"- rule 5, a, send: cut\n",
		"- rule 5, a, sync: kill\n",
		"Not proved: no cell checks this rule.",
	} {
		qt.Check(t, page, qt.Contains, want)
	}
}

// TestPageIsCurrent fails when a list changed and the page wasn't regenerated.
func TestPageIsCurrent(t *testing.T) {
	c := qt.New(t)
	cells, err := Read(os.DirFS("../.."))
	c.Assert(err, qt.IsNil)
	page, err := os.ReadFile("../../docs/FAULTS.md")
	c.Assert(err, qt.IsNil)
	if string(page) != string(Page(cells)) {
		t.Fatal("docs/FAULTS.md differs from the matrix; run: go run ./standin/cmd/faults")
	}
}
