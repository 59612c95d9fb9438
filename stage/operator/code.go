package operator

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
)

// Code is the exit code of a command.
type Code int

// The exit codes that scripts can rely on.
const (
	// OK means that the command did what it was asked to.
	OK Code = iota
	// Refused means that nothing changed: findings, a conflict, no such object, no permission, a file that can't be read.
	Refused
	// Usage means that the command line is wrong.
	Usage
	// Unreachable means that no control replica could take the call; nothing changed.
	Unreachable
	// Uncertain means that a change may or may not have been accepted; send it again with the same change id.
	Uncertain
	// NotInForce means that a change was accepted but is not in force everywhere in time.
	NotInForce
)

// Codes in the errors of the operators' API that decide on the exit code.
const (
	codeNoLeader   = "no_leader"
	codeUncertain  = "uncertain"
	codeNotInForce = "not_in_force"
)

// apiError is an error that the operators' API answered.
type apiError struct {
	status int
	detail errorDetail
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code     string        `json:"code"`
	Message  string        `json:"message"`
	Findings []wireFinding `json:"findings,omitempty"`
	Revision uint64        `json:"revision,omitempty"`
	Winner   *record       `json:"winner,omitempty"`
}

type wireFinding struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Error implements error.
func (e *apiError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.detail.Code, e.detail.Message)
	for _, f := range e.detail.Findings {
		fmt.Fprintf(&b, "\n%s: %s", f.Path, f.Reason)
	}
	if w := e.detail.Winner; w != nil {
		fmt.Fprintf(&b, "\nrevision %d came first: %s by %s at %s, change %s", w.Revision, w.Action, w.Operator, w.At, w.Change)
	} else if e.detail.Revision != 0 {
		fmt.Fprintf(&b, "\nthe revision is %d", e.detail.Revision)
	}
	return b.String()
}

// unreachableError says that no control replica could be asked.
type unreachableError struct{ last error }

// Error implements error.
func (e *unreachableError) Error() string {
	return "no control replica can take the call: " + e.last.Error()
}

// Unwrap returns the failure at the last replica.
func (e *unreachableError) Unwrap() error { return e.last }

// uncertainError says that a change was sent and no answer came.
type uncertainError struct {
	change string
	expect *uint64
	last   error
}

// Error implements error.
func (e *uncertainError) Error() string {
	resend := "--change " + e.change
	if e.expect != nil {
		resend += fmt.Sprintf(" --expect %d", *e.expect)
	}
	return fmt.Sprintf("the change may or may not have been accepted: %v\nsend it again with %s", e.last, resend)
}

// Unwrap returns the failure at the last replica.
func (e *uncertainError) Unwrap() error { return e.last }

// usageError says that the command line is wrong.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// codeOf returns the exit code for the error of a command.
func codeOf(err error) Code {
	var usage *usageError
	var unreachable *unreachableError
	var uncertain *uncertainError
	var api *apiError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &usage):
		return Usage
	case errors.As(err, &uncertain):
		return Uncertain
	case errors.As(err, &unreachable):
		return Unreachable
	case errors.As(err, &api) && api.detail.Code == codeNotInForce:
		return NotInForce
	}
	return Refused
}

// errorJSON is what --json prints for an error.
func errorJSON(err error) any {
	var api *apiError
	if errors.As(err, &api) {
		return errorBody{Error: api.detail}
	}
	var found *checker.FindingsError
	if errors.As(err, &found) {
		return foundBody{Error: foundDetail{Code: "invalid", Findings: found.Findings()}}
	}
	code := map[Code]string{Usage: "usage", Unreachable: "unreachable", Uncertain: codeUncertain}[codeOf(err)]
	if code == "" {
		code = "failed"
	}
	return errorBody{Error: errorDetail{Code: code, Message: err.Error()}}
}

type foundBody struct {
	Error foundDetail `json:"error"`
}

type foundDetail struct {
	Code     string            `json:"code"`
	Findings []checker.Finding `json:"findings"`
}
