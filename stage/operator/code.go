package operator

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
)

// Code is the exit code of a command.
type Code int

// Exit codes, stable for scripts.
const (
	// OK means that the command succeeded.
	OK Code = iota
	// Refused means that nothing changed: findings, a conflict, no such object, no permission, a file that can't be read.
	Refused
	// Usage means that the command line is wrong.
	Usage
	// Unreachable means that no control replica accepted the call, or that the named entry doesn't answer; nothing changed.
	Unreachable
	// Uncertain means that a change may have been accepted; retry it with the same change id.
	Uncertain
	// NotInForce means that an accepted change was not in force everywhere in time.
	NotInForce
)

// Error codes of the operators' API that determine the exit code.
const (
	codeNoLeader   = "no_leader"
	codeUncertain  = "uncertain"
	codeNotInForce = "not_in_force"
)

// apiError is an error response of the operators' API.
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
	Winner   *auditRecord  `json:"winner,omitempty"`
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

// unreachableError means that no replica accepted the call.
type unreachableError struct{ lastErr error }

// Error implements error.
func (e *unreachableError) Error() string {
	return "no control replica can take the call: " + e.lastErr.Error()
}

// Unwrap returns the failure at the last replica.
func (e *unreachableError) Unwrap() error { return e.lastErr }

// uncertainError means that a sent change's result is unknown.
type uncertainError struct {
	changeID         string
	expectedRevision *uint64
	lastErr          error
}

// Error implements error.
func (e *uncertainError) Error() string {
	resend := "--change " + e.changeID
	if e.expectedRevision != nil {
		resend += fmt.Sprintf(" --expect %d", *e.expectedRevision)
	}
	return fmt.Sprintf("the change may or may not have been accepted: %v\nsend it again with %s", e.lastErr, resend)
}

// Unwrap returns the failure at the last replica.
func (e *uncertainError) Unwrap() error { return e.lastErr }

// usageError reports a wrong command line.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// codeOf returns the exit code for a command's error.
func codeOf(err error) Code {
	var usage *usageError
	var unreachable *unreachableError
	var uncertain *uncertainError
	var entry *entryError
	var api *apiError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &usage):
		return Usage
	case errors.As(err, &uncertain):
		return Uncertain
	case errors.As(err, &unreachable), errors.As(err, &entry):
		return Unreachable
	case errors.As(err, &api) && api.detail.Code == codeNotInForce:
		return NotInForce
	}
	return Refused
}

// errorJSON returns an error's --json output.
func errorJSON(err error) any {
	var api *apiError
	if errors.As(err, &api) {
		return errorBody{Error: api.detail}
	}
	var findingsErr *checker.FindingsError
	if errors.As(err, &findingsErr) {
		return findingsBody{Error: findingsDetail{Code: "invalid", Findings: findingsErr.Findings()}}
	}
	code := map[Code]string{Usage: "usage", Unreachable: "unreachable", Uncertain: codeUncertain}[codeOf(err)]
	if code == "" {
		code = "failed"
	}
	return errorBody{Error: errorDetail{Code: code, Message: err.Error()}}
}

type findingsBody struct {
	Error findingsDetail `json:"error"`
}

type findingsDetail struct {
	Code     string            `json:"code"`
	Findings []checker.Finding `json:"findings"`
}
