package retrier

import "fmt"

// Outcome is whether a request ran, as far as is known.
type Outcome int

// The outcomes, from the weakest claim to the strongest.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that there is evidence that the request did not run and never will.
	NotRun
	// Done means that the request ran once and its whole answer was received.
	Done
)

// String returns the outcome's name in headers and error bodies.
func (o Outcome) String() string {
	switch o {
	case Unknown:
		return "unknown"
	case NotRun:
		return "not-run"
	case Done:
		return "done"
	}
	return fmt.Sprintf("outcome(%d)", int(o))
}

// Attempt identifies one attempt of a request uniquely across all processes and their restarts.
type Attempt struct {
	entry       string
	incarnation uint64
	n           uint64
}

// NewAttempt returns the identity of attempt number n of an entry process's incarnation.
func NewAttempt(entry string, incarnation, n uint64) Attempt {
	return Attempt{entry: entry, incarnation: incarnation, n: n}
}

// String returns the identity as sent in headers.
func (a Attempt) String() string {
	return fmt.Sprintf("%s.%x.%x", a.entry, a.incarnation, a.n)
}
