package checker

import (
	"encoding/json"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	file   string
	path   string
	reason string
}

// NewFinding returns a finding at a JSON path of a file.
func NewFinding(file, path, reason string) Finding {
	return Finding{file: file, path: path, reason: reason}
}

// File returns the file's path.
func (f Finding) File() string { return f.file }

// Path returns the JSON path, such as "members[2].addr".
func (f Finding) Path() string { return f.path }

// Reason describes the error.
func (f Finding) Reason() string { return f.reason }

// String returns the finding on one line.
func (f Finding) String() string {
	if f.path == "" {
		return f.file + ": " + f.reason
	}
	return f.file + ": " + f.path + ": " + f.reason
}

// findingJSON is the JSON of a Finding.
type findingJSON struct {
	File   string `json:"file"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// MarshalJSON implements json.Marshaler.
func (f Finding) MarshalJSON() ([]byte, error) {
	return json.Marshal(findingJSON{File: f.file, Path: f.path, Reason: f.reason})
}

// FindingsError holds the findings in one or more files.
type FindingsError struct{ findings []Finding }

// NewError returns an error with the findings, nil without any.
func NewError(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	return &FindingsError{findings: findings}
}

// Findings returns the findings in the order of the files.
func (e *FindingsError) Findings() []Finding { return e.findings }

// Error implements error with a finding per line.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.findings))
	for _, f := range e.findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// report collects the findings of one file.
type report struct {
	file     string
	findings []Finding
}

func (r *report) add(path, reason string) {
	r.findings = append(r.findings, NewFinding(r.file, path, reason))
}
