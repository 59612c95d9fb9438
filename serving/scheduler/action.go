package scheduler

import (
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
)

// Reason is why a job was refused.
type Reason string

// The reasons of a refusal; a refused job was never written to a backend server.
const (
	// ReasonFull means that the queue is full.
	ReasonFull Reason = "full"
	// ReasonLate means that the server can't meet the job's time limits.
	ReasonLate Reason = "late"
	// ReasonLeaving means that the server is leaving, handed over or lost.
	ReasonLeaving Reason = "leaving"
	// ReasonLoad means that the adapter could not be loaded.
	ReasonLoad Reason = "load"
	// ReasonSlots means that all slots hold adapters that are used more.
	ReasonSlots Reason = "slots"
	// ReasonQuarantine means that the request crashed backend servers before.
	ReasonQuarantine Reason = "quarantine"
	// ReasonNotOwner means that this entry doesn't own the server.
	ReasonNotOwner Reason = "not-owner"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled Reason = "cancelled"
)

// Action is something that the entry must do now.
type Action interface{ action() }

// Send sends a job to its server.
type Send struct {
	Job   Job
	Epoch uint64
	// KnownSafe means that the same request succeeded recently, so that copies of it need no claim.
	KnownSafe bool
}

// Refuse ends a job that was never written to a server; the router may try the next candidate.
type Refuse struct {
	Attempt retrier.Attempt
	Reason  Reason
	// RetryAfter is a hint for the caller when no candidate is left.
	RetryAfter time.Duration
}

// RequestPermit requests a load permit from the control leader.
type RequestPermit struct {
	Server string
	Target configurer.Target
	Urgent bool
	// Rate is the adapter's decayed rate of use, by which the leader may prefer loads in demand.
	Rate float64
}

// WithdrawPermit withdraws a pending request for a permit.
type WithdrawPermit struct {
	Server string
	Target configurer.Target
}

// ReturnPermit returns a permit; an unused one counts against no limit of the store.
type ReturnPermit struct {
	Permit registrar.Permit
	Used   bool
}

// Load orders a server to load an adapter's version.
type Load struct {
	Server string
	Target configurer.Target
	Epoch  uint64
	// Order is returned in LoadEnded.
	Order uint64
}

// Unload orders a server to unload an adapter's version that no attempt uses.
type Unload struct {
	Server string
	Target configurer.Target
	Epoch  uint64
	// Order is returned in UnloadEnded.
	Order uint64
}

// Cancel cancels an attempt at its server; Ended follows.
type Cancel struct {
	Attempt retrier.Attempt
	Server  string
}

// Fail ends an attempt that was sent and can't be finished here.
type Fail struct {
	Attempt retrier.Attempt
	// Crashed means that the server's process crashed.
	Crashed bool
	// BecameSuspect means that the request became suspect; the server is healthy.
	BecameSuspect bool
}

// ReportCrash reports the attempts in flight at a crash, so that all entries treat their digests as suspects.
type ReportCrash struct {
	Server   string
	Attempts []retrier.Attempt
}

// ReportCompletion reports that a suspect succeeded, so that all entries can clear it.
type ReportCompletion struct{ Attempt retrier.Attempt }

// DeadlineAtRisk reports that waiting work is at risk of missing its deadline.
type DeadlineAtRisk struct {
	Attempt  retrier.Attempt
	Class    string
	Deadline time.Time
}

func (Send) action()             {}
func (Refuse) action()           {}
func (RequestPermit) action()    {}
func (ReturnPermit) action()     {}
func (WithdrawPermit) action()   {}
func (Load) action()             {}
func (Unload) action()           {}
func (Cancel) action()           {}
func (Fail) action()             {}
func (ReportCrash) action()      {}
func (ReportCompletion) action() {}
func (DeadlineAtRisk) action()   {}
