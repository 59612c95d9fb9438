package dispatcher

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/lister"
)

func faultCells() []lister.Cell {
	var list []lister.Cell
	add := func(step, fault string, rules ...int) {
		for _, r := range rules {
			list = append(list, lister.Cell{Rule: r, Step: step, Fault: fault, Test: "TestFaults/" + step + "/" + fault, Package: "redwingstage.org/stage/dispatcher", Seeds: 1})
		}
	}
	for _, f := range allBookingFaults() {
		rules := []int{4, 5}
		if !strings.Contains(f.name, " then ") {
			rules = []int{3, 4, 5}
		}
		add("booking "+f.step, f.name, rules...)
	}
	add("booking owner", "closed", 7)
	list = append(list, lister.Cell{Rule: 7, Step: "stream owner", Fault: "closed", Test: "TestGracefulClose", Package: "redwingstage.org/stage/dispatcher", Seeds: 1})
	list = append(list, lister.Cell{Rule: 3, Step: "stream caller", Fault: "many at once and some gone", Test: "TestCrossTalk", Package: "redwingstage.org/stage/dispatcher", Seeds: 1})
	list = append(list, lister.Cell{Rule: 3, Step: "stream entries", Fault: "request crashes engines, through all at once", Test: "TestPoisonAtAllEntries", Package: "redwingstage.org/stage/dispatcher", Seeds: 1})
	for _, f := range allStreamFaults() {
		add("stream "+f.step, f.name, 1, 3)
	}
	return list
}

func TestFaultsAreListed(t *testing.T) { lister.Check(t, faultCells()) }

func TestFaults(t *testing.T) {
	for _, f := range allBookingFaults() {
		t.Run("booking "+f.step+"/"+f.name, func(t *testing.T) {
			t.Parallel()
			tr := newBookingTrial(t)
			f.addTo(tr)
			qt.Check(t, tr.run(), qt.HasLen, 0, qt.Commentf("%+v", tr.results))
		})
	}
	for _, f := range allStreamFaults() {
		t.Run("stream "+f.step+"/"+f.name, func(t *testing.T) {
			t.Parallel()
			tr := newStreamTrial(t, shortSilence)
			f.addTo(tr)
			qt.Check(t, tr.run(), qt.HasLen, 0)
		})
	}
}
