package scheduler

import (
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
)

// Job is one attempt of a request at the server that a router picked.
type Job struct {
	Attempt      retrier.Attempt
	Server       string
	Target       configurer.Target
	Class        string
	Urgent       bool
	Long         bool
	Idempotent   bool
	Digest       quarantiner.Digest
	Standing     quarantiner.Standing
	Prefix       uint64
	MaxTokens    int
	Arrived      time.Time
	FirstTokenBy time.Time
	Deadline     time.Time
	// IsLastCandidate means that no other candidate is left, so the job waits here rather than be refused.
	IsLastCandidate bool
}

// Event is something that happened to the servers or jobs of this entry.
type Event interface{ event() }

// Owned reports that this entry owns a server from now on, or that its announcement changed.
type Owned struct {
	Server registrar.Server
	Epoch  uint64
	// RequestedAt is when the server's state was requested.
	RequestedAt time.Time
	// Residents are the adapters that the server itself reports as loaded.
	Residents []configurer.Target
	// Pinned are the adapters that may still serve requests of the last owner.
	Pinned []configurer.Target
	// OrdersFrom is the time before which no load or unload may be ordered.
	OrdersFrom time.Time
}

// Released reports that a server is handed over: queued jobs are refused, sent ones run on.
type Released struct{ Server string }

// LeaseLost reports that this entry's lease ended: no order until Owned comes again.
type LeaseLost struct{}

// InheritedPinEnded reports that the last owner's requests on an inherited adapter have ended.
type InheritedPinEnded struct {
	Server string
	Target configurer.Target
}

// ServerEnded reports that a server restarted or crashed; every attempt on it that hasn't ended has failed.
type ServerEnded struct {
	Server string
	// Crashed means that the process crashed with requests in flight, not that it was unreachable.
	Crashed bool
	// NotWritten are attempts that weren't written to the server yet and so can't have crashed it.
	NotWritten []retrier.Attempt
}

// Arrived adds a new job.
type Arrived struct{ Job Job }

// Cancelled reports that the caller no longer wants an answer.
type Cancelled struct{ Attempt retrier.Attempt }

// Granted delivers a requested load permit.
type Granted struct {
	Server string
	Target configurer.Target
	Permit registrar.Permit
}

// Denied reports that no permit is available now; it is requested again later.
type Denied struct {
	Server string
	Target configurer.Target
}

// LoadEnded reports how a load order ended; OK means that the server confirmed the adapter and version in this incarnation.
type LoadEnded struct {
	Server string
	Target configurer.Target
	// Order is the number of the order that ended; zero matches any order for the target.
	Order uint64
	OK    bool
}

// UnloadEnded reports how an unload order ended.
type UnloadEnded struct {
	Server string
	Target configurer.Target
	// Order is the number of the order that ended; zero matches any order for the target.
	Order uint64
	OK    bool
}

// Progress reports that tokens of an attempt arrived; it is reported at the first token and then at intervals.
type Progress struct {
	Attempt retrier.Attempt
	Tokens  int
}

// Ended reports that the last byte of an attempt arrived, that its cancel was confirmed, or that it failed.
type Ended struct {
	Attempt retrier.Attempt
	OK      bool
	// AdapterMissing means that the server refused the attempt because the adapter isn't resident.
	AdapterMissing bool
	Tokens         int
}

// StandingChanged reports the control leader's standing of a request's digest.
type StandingChanged struct {
	Digest   quarantiner.Digest
	Standing quarantiner.Standing
}

// Reported delivers a server's load report, which may be out of date.
type Reported struct {
	Server string
	// RequestedAt is when the report was requested, before the server answered.
	RequestedAt time.Time
	Running     int
	Waiting     int
	// Residents are the adapters that the server reports as loaded, if requested.
	Residents []configurer.Target
}

// Tick checks all timeouts.
type Tick struct{}

func (Owned) event()             {}
func (Released) event()          {}
func (LeaseLost) event()         {}
func (InheritedPinEnded) event() {}
func (ServerEnded) event()       {}
func (Arrived) event()           {}
func (Cancelled) event()         {}
func (Granted) event()           {}
func (Denied) event()            {}
func (LoadEnded) event()         {}
func (UnloadEnded) event()       {}
func (Progress) event()          {}
func (Ended) event()             {}
func (StandingChanged) event()   {}
func (Reported) event()          {}
func (Tick) event()              {}
