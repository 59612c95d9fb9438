package streamer

import (
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/retrier"
)

// Request is one caller's request; it holds no references to an HTTP library's buffers.
type Request struct {
	ID     string
	Caller string
	Target configurer.Target
	Kind   configurer.Kind

	Class      string
	Urgent     bool
	Long       bool
	Idempotent bool
	Stream     bool

	Method string
	// URI is the path and query for the backend server.
	URI    string
	Type   string
	Accept string
	Body   []byte
	// Key is the idempotency key of a non-idempotent call.
	Key string

	Digest             quarantiner.Digest
	Prefix             uint64
	MaxTokens          int
	Arrived            time.Time
	FirstTokenDeadline time.Time
	Deadline           time.Time

	// Homes are the entries that detect copies of the request; the first that answers is used.
	Homes []Home
	// Hedge reports that the request also runs at another server.
	Hedge bool
}

// Home is an entry that keeps the servers at which copies of a request run.
type Home struct {
	Entry string
	Addr  string
}

// IsBooking reports whether the request may run at most once, being non-idempotent.
func (r *Request) IsBooking() bool { return !r.Idempotent }

// Head starts an answer.
type Head struct {
	Status int
	Type   string
	Feedback
}

// Feedback is a server's state as its owner reports it to other entries for routing.
type Feedback struct {
	// Known reports whether the owner sent feedback.
	Known bool
	// Load is the ratio of the server's sent and queued jobs to its batch size.
	Load float64
	// Slow reports that the owner considers the server a straggler.
	Slow bool
}

// Reason is the one-word cause of an end.
type Reason string

// Reasons in addition to those of the scheduler.
const (
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonRefused means that the backend server refused before running.
	ReasonRefused Reason = "refused"
	// ReasonBroken means that the answer ended before its end marker.
	ReasonBroken Reason = "broken"
	// ReasonMismatched means that the answer belongs to another attempt, model or incarnation.
	ReasonMismatched Reason = "crossed"
	// ReasonOversized means that the answer exceeded the size limit.
	ReasonOversized Reason = "oversized"
	// ReasonSilent means that no bytes arrived on the connection in time.
	ReasonSilent Reason = "silent"
	// ReasonCrashed means that the backend server's process died.
	ReasonCrashed Reason = "crashed"
	// ReasonCancelled means that the caller or the context cancelled.
	ReasonCancelled Reason = "cancelled"
	// ReasonSlow means that the caller read too slowly.
	ReasonSlow Reason = "slow"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonRecord means that the booking could not be recorded.
	ReasonRecord Reason = "record"
	// ReasonConflict means that the key was used for another request.
	ReasonConflict Reason = "conflict"
	// ReasonRunning means that another attempt of the booking is running.
	ReasonRunning Reason = "running"
	// ReasonMayHaveRun means that an earlier attempt of the booking may have run.
	ReasonMayHaveRun Reason = "lost"
	// ReasonQuarantineChanged means that the request's quarantine state changed while it was queued.
	ReasonQuarantineChanged Reason = "standing"
	// ReasonRunningElsewhere means that a copy runs at another server, so this one was not sent.
	ReasonRunningElsewhere Reason = "elsewhere"
	// ReasonQuarantine means that the request has crashed backend servers.
	ReasonQuarantine Reason = "quarantine"
	// ReasonForwardFailed means that forwarding to the owner failed.
	ReasonForwardFailed Reason = "peer"
	// ReasonFailed means that the backend server answered with an error.
	ReasonFailed Reason = "failed"
	// ReasonNoServer means that no backend server is available for the service.
	ReasonNoServer Reason = "no-server"
	// ReasonClosing means that this entry is shutting down.
	ReasonClosing Reason = "closing"
)

// End ends an answer.
type End struct {
	Outcome    retrier.Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	// CopyServer is the server at which copies run, with ReasonRunningElsewhere.
	CopyServer string
	Feedback
}

// Sink receives an answer; Data must copy what it keeps and returns an error once the reader has left.
type Sink interface {
	Head(h Head)
	Data(b []byte) error
	// Opened reports whether Head was called, after which no other attempt may answer.
	Opened() bool
}
