package verdicter

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// maxLine is the maximum length of a line of test output, in bytes.
const maxLine = 16 << 20

// testPrefix is the prefix of a line that names a known failure.
const testPrefix = "test:"

// Verdict is the result of one test run.
type Verdict struct {
	passed  int
	skipped int
	failed  []string
	known   []string
	output  map[string][]string
	broken  []string
}

// Passed returns the number of tests that passed.
func (v *Verdict) Passed() int { return v.passed }

// Failed returns the failed tests that aren't known failures, and packages that failed outside a test, in order.
func (v *Verdict) Failed() []string { return v.failed }

// Known returns the failed tests that are known failures.
func (v *Verdict) Known() []string { return v.known }

// IsGreen reports whether any test passed and nothing but known failures failed.
func (v *Verdict) IsGreen() bool {
	return v.passed > 0 && len(v.failed) == 0 && len(v.broken) == 0
}

type testEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// ReadKnown reads the list of known failures, one "test: package.Test" line each; it ignores other lines.
func ReadKnown(r io.Reader) ([]string, error) {
	var known []string
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		if name, ok := strings.CutPrefix(sc.Text(), testPrefix); ok {
			known = append(known, strings.TrimSpace(name))
		}
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrap(err, "read known failures")
	}
	return known, nil
}

// Judge evaluates the output of "go test -json".
func Judge(r io.Reader, known []string) (*Verdict, error) {
	v := &Verdict{output: make(map[string][]string)}
	failedIn := make(map[string]bool)
	var failedPackages []string
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		var e testEvent
		if json.Unmarshal(sc.Bytes(), &e) != nil {
			v.broken = append(v.broken, sc.Text())
			continue
		}
		if e.Test == "" && e.Action == "fail" {
			failedPackages = append(failedPackages, e.Package)
		}
		v.add(e, known, failedIn)
	}
	for _, p := range failedPackages {
		if !failedIn[p] {
			v.failed = append(v.failed, p)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrap(err, "read test output")
	}
	return v, nil
}

func (v *Verdict) add(e testEvent, known []string, failedIn map[string]bool) {
	name := e.Package
	if e.Test != "" {
		name += "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		if name == "" {
			name = e.ImportPath
		}
		v.output[name] = append(v.output[name], e.Output)
	case "build-fail":
		v.broken = append(v.broken, "build failed: "+e.ImportPath+"\n"+strings.Join(v.output[e.ImportPath], ""))
	case "skip":
		if e.Test != "" {
			v.skipped++
		}
	case "pass":
		if e.Test != "" {
			v.passed++
			delete(v.output, name)
		}
	case "fail":
		if e.Test == "" {
			return
		}
		failedIn[e.Package] = true
		if isKnown(known, name) {
			v.known = append(v.known, name)
			return
		}
		v.failed = append(v.failed, name)
	}
}

// isKnown also matches the subtests of a known failure and its parents, which fail with it.
func isKnown(known []string, name string) bool {
	return slices.ContainsFunc(known, func(k string) bool {
		return k == name || strings.HasPrefix(name, k+"/") || strings.HasPrefix(k, name+"/")
	})
}

// Print writes the output of failed tests, the known failures and a summary line with the counts.
func (v *Verdict) Print(w io.Writer) error {
	var b strings.Builder
	for _, line := range v.broken {
		fmt.Fprintln(&b, line)
	}
	for _, name := range v.failed {
		fmt.Fprintf(&b, "--- %s\n%s", name, strings.Join(v.output[name], ""))
	}
	for _, name := range v.known {
		fmt.Fprintf(&b, "known red: %s\n", name)
	}
	fmt.Fprintf(&b, "%d passed, %d failed, %d skipped\n", v.passed, len(v.failed)+len(v.broken)+len(v.known), v.skipped)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errors.Wrap(err, "print test result")
	}
	return nil
}
