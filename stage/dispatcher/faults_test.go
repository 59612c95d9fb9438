package dispatcher

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// update has the test write the list instead of comparing it.
var update = flag.Bool("update", false, "write faults.json")

// cell is one cell of the matrix that faults.json lists.
type cell struct {
	Rule    int    `json:"rule"`
	Step    string `json:"step"`
	Fault   string `json:"fault"`
	Test    string `json:"test"`
	Package string `json:"package"`
	Seeds   int    `json:"seeds"`
}

func matrix() []cell {
	var list []cell
	add := func(step, fault string, rules ...int) {
		for _, r := range rules {
			list = append(list, cell{r, step, fault, "TestFaults/" + step + "/" + fault, "redwingstage.org/stage/dispatcher", 1})
		}
	}
	for _, f := range bookingRows() {
		rules := []int{4, 5}
		if !strings.Contains(f.name, " then ") {
			rules = []int{3, 4, 5}
		}
		add("booking "+f.step, f.name, rules...)
	}
	add("booking owner", "closed", 7)
	list = append(list, cell{7, "stream owner", "closed", "TestGracefulClose", "redwingstage.org/stage/dispatcher", 1})
	list = append(list, cell{3, "stream caller", "many at once and some gone", "TestCrossTalk", "redwingstage.org/stage/dispatcher", 1})
	for _, f := range streamRows() {
		add("stream "+f.step, f.name, 1, 3)
	}
	return list
}

func TestFaultsAreListed(t *testing.T) {
	if *update {
		b, err := json.MarshalIndent(matrix(), "", " ")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile("faults.json", append(b, '\n'), 0o644), qt.IsNil)
	}
	b, err := os.ReadFile("faults.json")
	qt.Assert(t, err, qt.IsNil)
	var got []cell
	qt.Assert(t, json.Unmarshal(b, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, matrix())
}

func TestFaults(t *testing.T) {
	for _, f := range bookingRows() {
		t.Run("booking "+f.step+"/"+f.name, func(t *testing.T) {
			t.Parallel()
			tr := newTrial(t)
			f.arm(tr)
			qt.Check(t, tr.run(), qt.HasLen, 0, qt.Commentf("%+v", tr.results))
		})
	}
	for _, f := range streamRows() {
		t.Run("stream "+f.step+"/"+f.name, func(t *testing.T) {
			t.Parallel()
			tr := newStreamTrial(t)
			f.arm(tr)
			qt.Check(t, tr.run(), qt.HasLen, 0)
		})
	}
}
