package relayer

import (
	"net/http"

	"redwingstage.org/serving/tracker"
)

// Dialect names the headers that callers and backend servers use, in canonical form.
type Dialect struct {
	// Attempt identifies one attempt of a caller; backend servers echo it.
	Attempt string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Seal marks a backend server's answer.
	Seal string
	// NotRun marks an answer to a request that the server did not run.
	NotRun string
	// Expect names the server that may answer, ExpectVersion the version of the weights or the adapter.
	Expect        string
	ExpectVersion string
	// Priority orders requests at an engine from 0, which goes first, to 9.
	Priority string
	// Model names model and adapter, Resume the last event that the caller has.
	Model  string
	Resume string
	// Usage tells how many tokens the prompt has, and how many the answer may have.
	Usage string
	// Kept are headers that callers may not have removed by naming them as concerning one connection only.
	Kept []string
	// Reserved are headers that only the system may set.
	Reserved []string
	// ParseModel splits the value of the header Model.
	ParseModel func(value string) tracker.Adapter
	// ParseUsage reads the tokens of the prompt from the header Usage; 0 if it tells none.
	ParseUsage func(value string) int
	// ReadyPath is where the balancer asks whether this entry takes connections.
	ReadyPath string
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// names is a Dialect as the relayer looks it up.
type names struct {
	Dialect
	kept    map[string]bool
	dropped map[string]bool
}

func newNames(d Dialect) *names {
	n := &names{Dialect: d, kept: make(map[string]bool), dropped: make(map[string]bool)}
	for _, h := range append([]string{d.Attempt, d.Model, d.Resume, d.Usage, "Host"}, d.Kept...) {
		n.kept[http.CanonicalHeaderKey(h)] = true
	}
	for _, h := range append([]string{d.Deadline, d.Expect, d.ExpectVersion, d.Priority}, d.Reserved...) {
		n.dropped[http.CanonicalHeaderKey(h)] = true
	}
	return n
}
