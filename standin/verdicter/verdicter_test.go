package verdicter

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	passA = `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
	failB = `{"Action":"fail","Package":"p","Test":"TestB/case"}` + "\n" +
		`{"Action":"fail","Package":"p","Test":"TestB"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	panicked = `{"Action":"fail","Package":"q"}` + "\n"
	broken   = `{"Action":"build-fail","ImportPath":"q"}` + "\n"
)

func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		give   string
		known  string
		green  bool
		failed []string
	}{
		{name: "pass", give: passA, green: true},
		{name: "no test ran", give: "", green: false},
		{name: "failure", give: passA + failB, failed: []string{"p.TestB/case", "p.TestB"}},
		{name: "known failure", give: passA + failB, known: "test: p.TestB/case\nseen: x\n", green: true},
		{name: "other known failure", give: passA + failB, known: "test: p.TestC\n", failed: []string{"p.TestB/case", "p.TestB"}},
		{name: "package fails outside a test", give: passA + panicked, known: "test: p.TestB\n", failed: []string{"q"}},
		{name: "build fails", give: passA + broken},
		{name: "not JSON", give: passA + "go: no such module\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			known, err := ReadKnown(strings.NewReader(tt.known))
			c.Assert(err, qt.IsNil)
			v, err := Judge(strings.NewReader(tt.give), known)
			c.Assert(err, qt.IsNil)
			c.Assert(v.IsGreen(), qt.Equals, tt.green)
			c.Assert(v.Failed(), qt.DeepEquals, tt.failed)
		})
	}
}
