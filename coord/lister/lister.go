package lister

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// FileName is the file name of the list in the folder of each package with a fault matrix.
const FileName = "faults.json"

// updateEnv is the environment variable that makes Check write the list.
const updateEnv = "UPDATE_FAULTS"

// listFileMode is the file mode of a list.
const listFileMode = 0o644

// Cell is one cell of a fault matrix: a fault at a step, checked against a rule by a test over a number of seeds.
type Cell struct {
	Rule    int    `json:"rule"`
	Step    string `json:"step"`
	Fault   string `json:"fault"`
	Test    string `json:"test"`
	Package string `json:"package"`
	Seeds   int    `json:"seeds"`
}

// TestName returns the name of the subtest of TestFaults that runs a cell.
func TestName(step, fault string) string {
	return "TestFaults/" + strings.ReplaceAll(step+"/"+fault, " ", "_")
}

// Parse reads a list; unknown fields are errors.
func Parse(b []byte) ([]Cell, error) {
	var list []Cell
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&list); err != nil {
		return nil, errors.Wrap(err, FileName)
	}
	return list, nil
}

// Check fails the test unless the list in its folder equals cells; with UPDATE_FAULTS set it writes the list first.
func Check(t testing.TB, cells []Cell) {
	t.Helper()
	want := sortCells(cells)
	if os.Getenv(updateEnv) != "" {
		if err := writeList(want); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(FileName)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(sortCells(got), want) {
		t.Fatalf("%s has %d cells that differ from the test's %d; write it with %s=1", FileName, len(got), len(want), updateEnv)
	}
}

func sortCells(cells []Cell) []Cell {
	return slices.SortedFunc(slices.Values(cells), func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Fault, b.Fault),
			cmp.Compare(a.Test, b.Test), cmp.Compare(a.Package, b.Package), cmp.Compare(a.Seeds, b.Seeds))
	})
}

func writeList(cells []Cell) error {
	b, err := json.MarshalIndent(cells, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode list")
	}
	if err := os.WriteFile(FileName, append(b, '\n'), listFileMode); err != nil {
		return errors.Wrap(err, "write list")
	}
	return nil
}
