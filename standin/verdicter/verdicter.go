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

// maxLineBytes is the maximum length of a line of test output, in bytes.
const maxLineBytes = 16 << 20

// knownTestPrefix is the prefix of a line that names a known failure.
const knownTestPrefix = "test:"

// Result is the result of one test run.
type Result struct {
	passed        int
	skipped       int
	failed        []string
	known         []string
	output        map[string][]string
	otherFailures []string
}

// Passed returns the number of tests that passed.
func (v *Result) Passed() int { return v.passed }

// Failed returns the failed tests that aren't known failures, and packages that failed outside a test, in order.
func (v *Result) Failed() []string { return v.failed }

// Known returns the failed tests that are known failures.
func (v *Result) Known() []string { return v.known }

// IsSuccess reports whether any test passed and nothing but known failures failed.
func (v *Result) IsSuccess() bool {
	return v.passed > 0 && len(v.failed) == 0 && len(v.otherFailures) == 0
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
		if name, ok := strings.CutPrefix(sc.Text(), knownTestPrefix); ok {
			known = append(known, strings.TrimSpace(name))
		}
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrap(err, "read known failures")
	}
	return known, nil
}

// Evaluate evaluates the output of "go test -json".
func Evaluate(r io.Reader, known []string) (*Result, error) {
	v := &Result{output: make(map[string][]string)}
	failedIn := make(map[string]bool)
	var failedPackages []string
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		var e testEvent
		if json.Unmarshal(sc.Bytes(), &e) != nil {
			if line := sc.Text(); !isProgress(line) {
				v.otherFailures = append(v.otherFailures, line)
			}
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

// isProgress reports whether a line of the go command says what it fetches, as with an empty module cache.
func isProgress(line string) bool {
	for _, action := range []string{"downloading", "extracting", "finding"} {
		if strings.HasPrefix(line, "go: "+action+" ") {
			return true
		}
	}
	return false
}

func (v *Result) add(e testEvent, known []string, failedIn map[string]bool) {
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
		v.otherFailures = append(v.otherFailures, "build failed: "+e.ImportPath+"\n"+strings.Join(v.output[e.ImportPath], ""))
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
		if isKnownFailure(known, name) {
			v.known = append(v.known, name)
			return
		}
		v.failed = append(v.failed, name)
	}
}

// isKnownFailure also matches the subtests of a known failure and its parents, which fail with it.
func isKnownFailure(known []string, name string) bool {
	return slices.ContainsFunc(known, func(k string) bool {
		return k == name || strings.HasPrefix(name, k+"/") || strings.HasPrefix(k, name+"/")
	})
}

// Print writes the output of failed tests, the known failures and a summary line with the counts.
func (v *Result) Print(w io.Writer) error {
	var b strings.Builder
	for _, line := range v.otherFailures {
		fmt.Fprintf(&b, "--- go test: %s\n", line)
	}
	for _, name := range v.failed {
		fmt.Fprintf(&b, "--- %s\n%s", name, strings.Join(v.output[name], ""))
	}
	for _, name := range v.known {
		fmt.Fprintf(&b, "known red: %s\n", name)
	}
	fmt.Fprintf(&b, "%d passed, %d failed, %d skipped\n", v.passed, len(v.failed)+len(v.otherFailures)+len(v.known), v.skipped)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errors.Wrap(err, "print test result")
	}
	return nil
}
