package relayer

import (
	"net/http"

	"redwingstage.org/serving/prefixer"
	"redwingstage.org/serving/tracker"
)

// Headers names the headers that callers and backend servers use, in canonical form.
type Headers struct {
	// AttemptID identifies one request of a caller; backend servers echo it.
	AttemptID string
	// Deadline is the remaining time in milliseconds.
	Deadline string
	// Seal marks a response as a backend server's own.
	Seal string
	// NotRun marks a response to a request that the server did not run.
	NotRun string
	// Expect names the only server that may respond, ExpectVersion the version of the weights or the adapter.
	Expect        string
	ExpectVersion string
	// Leaving marks the answers of a server that gets no further requests.
	Leaving string
	// Brittle is how many requests a server may refuse in a second before it falls over; answers of others lack it.
	Brittle string
	// Priority is the request's priority at an engine, from 0 (highest) to 9.
	Priority string
	// Model names model and adapter, Resume the id of the last event that the caller received.
	Model  string
	Resume string
	// Resumes names the attempt that brought the first event of a stream that a caller takes up.
	Resumes string
	// Usage is the number of tokens of the prompt, and the most that the response may have.
	Usage string
	// Parts names the parts of the prompt.
	Parts string
	// AlwaysForwarded are headers that are forwarded even if the caller's Connection header names them.
	AlwaysForwarded []string
	// Reserved are headers that only the system may set; a caller's are removed.
	Reserved []string
	// ParseModel parses the value of the header Model.
	ParseModel func(value string) tracker.Adapter
	// ParseUsage parses from the header Usage the tokens of the prompt and the most of the response; 0 for what it lacks.
	ParseUsage func(value string) (prompt, output int)
	// LengthHint is the caller's estimate of the tokens of the response; empty if callers give none.
	LengthHint string
	// Key carries the key of a client account, Account the account's name towards backend servers; empty if there are none.
	Key     string
	Account string
	// ParseKey parses the key from the header Key; false means that the value has another form.
	ParseKey func(value string) (key string, ok bool)
	// Challenge is the value of WWW-Authenticate in a 401, the scheme of Key; empty for none.
	Challenge string
	// ParseParts parses from the header Parts the IDs of the parts that the request shares with others; nil means none.
	ParseParts func(value string) []string
	// ParsePrompt parses from the header Parts all parts of the prompt with their tokens; nil means that they are unknown.
	ParsePrompt func(value string) []prefixer.Part
	// Instance names the server in answers to probes.
	Instance string
	// ReportPath is the path at which engines report on themselves without taking a slot; empty if they don't.
	ReportPath string
	// ParseStart parses from such a report, or from the body of a health check, the Unix time of the server's start in milliseconds; false
	// means that it has none.
	ParseStart func(body []byte) (ms int64, ok bool)
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath string
}

// hopByHop are the headers that are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// headerNames is Headers with lookup tables of the headers to keep and to drop.
type headerNames struct {
	Headers
	kept    map[string]bool
	dropped map[string]bool
	// canonicalKey and canonicalAccount are Key and Account in canonical form.
	canonicalKey, canonicalAccount string
}

func newHeaderNames(names Headers) *headerNames {
	n := &headerNames{
		Headers: names, kept: make(map[string]bool), dropped: make(map[string]bool),
		canonicalKey: http.CanonicalHeaderKey(names.Key), canonicalAccount: http.CanonicalHeaderKey(names.Account),
	}
	for _, h := range append([]string{names.AttemptID, names.Model, names.Resume, names.Resumes, names.Usage, names.Parts, "Host"}, names.AlwaysForwarded...) {
		n.kept[http.CanonicalHeaderKey(h)] = true
	}
	for _, h := range append([]string{names.Deadline, names.Expect, names.ExpectVersion, names.Priority}, names.Reserved...) {
		n.dropped[http.CanonicalHeaderKey(h)] = true
	}
	return n
}
