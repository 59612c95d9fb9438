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
	packageFailed = `{"Action":"fail","Package":"q"}` + "\n"
	buildFailed   = `{"Action":"build-fail","ImportPath":"q"}` + "\n"
)

func TestEvaluate(t *testing.T) {
	tests := []struct {
		name    string
		give    string
		known   string
		success bool
		failed  []string
	}{
		{name: "pass", give: passA, success: true},
		{name: "no test ran", give: "", success: false},
		{name: "failure", give: passA + failB, failed: []string{"p.TestB/case", "p.TestB"}},
		{name: "known failure", give: passA + failB, known: "test: p.TestB/case\nseen: x\n", success: true},
		{name: "other known failure", give: passA + failB, known: "test: p.TestC\n", failed: []string{"p.TestB/case", "p.TestB"}},
		{name: "package fails outside a test", give: passA + packageFailed, known: "test: p.TestB\n", failed: []string{"q"}},
		{name: "build fails", give: passA + buildFailed},
		{name: "not JSON", give: passA + "go: no such module\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			known, err := ReadKnown(strings.NewReader(tt.known))
			c.Assert(err, qt.IsNil)
			v, err := Evaluate(strings.NewReader(tt.give), known)
			c.Assert(err, qt.IsNil)
			c.Assert(v.IsSuccess(), qt.Equals, tt.success)
			c.Assert(v.Failed(), qt.DeepEquals, tt.failed)
		})
	}
}

// With an empty module cache, the lines about downloads counted as failures, and nothing named them.
func TestDownloadsAreNoFailures(t *testing.T) {
	c := qt.New(t)
	give := "go: downloading example.org/m v1.2.3\n" + passA + "go: downloading example.org/n v0.1.0\n"
	v, err := Evaluate(strings.NewReader(give), nil)
	c.Assert(err, qt.IsNil)
	c.Check(v.IsSuccess(), qt.IsTrue)
	var b strings.Builder
	c.Assert(v.Print(&b), qt.IsNil)
	c.Check(b.String(), qt.Equals, "1 passed, 0 failed, 0 skipped\n")

	v, err = Evaluate(strings.NewReader(give+"go: example.org/m: no such host\n"), nil)
	c.Assert(err, qt.IsNil)
	c.Check(v.IsSuccess(), qt.IsFalse)
	b.Reset()
	c.Assert(v.Print(&b), qt.IsNil)
	c.Check(b.String(), qt.Equals, "--- go test: go: example.org/m: no such host\n1 passed, 1 failed, 0 skipped\n")
}
