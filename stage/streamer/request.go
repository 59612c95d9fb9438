package streamer

import (
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/retrier"
)

// Request is one caller's request; nothing in it refers to an HTTP library's memory.
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

	Digest    quarantiner.Digest
	Prefix    uint64
	MaxTokens int
	Arrived   time.Time
	FirstBy   time.Time
	Deadline  time.Time

	// Homes are the entries where copies of the request meet, the first that answers counts.
	Homes []Home
	// Hedge says that the request runs at another server as well.
	Hedge bool
}

// Home is an entry that keeps the places where copies of a request run.
type Home struct {
	Entry string
	Addr  string
}

// IsBooking reports whether the request may run at most once.
func (r *Request) IsBooking() bool { return !r.Idempotent }

// Head opens an answer.
type Head struct {
	Status int
	Type   string
	Feedback
}

// Feedback is what a server's owner tells the callers' entries of the server, for their routing.
type Feedback struct {
	// Known says that the owner told anything.
	Known bool
	// Load is the server's sent and queued jobs as a share of its batch.
	Load float64
	// Slow says that the server is a straggler by its owner's observations.
	Slow bool
}

// Reason says in one word why an answer ended as it did.
type Reason string

// The reasons beside those of the scheduler.
const (
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonRefused means that the backend server refused before running.
	ReasonRefused Reason = "refused"
	// ReasonBroken means that the answer ended before its end marker.
	ReasonBroken Reason = "broken"
	// ReasonCrossed means that an answer of another attempt, model or incarnation came.
	ReasonCrossed Reason = "crossed"
	// ReasonOversized means that the answer passed the size limit.
	ReasonOversized Reason = "oversized"
	// ReasonSilent means that the connection went silent.
	ReasonSilent Reason = "silent"
	// ReasonCrashed means that the backend server's process died.
	ReasonCrashed Reason = "crashed"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonSlow means that the caller read too slowly.
	ReasonSlow Reason = "slow"
	// ReasonDeadline means that the time for the answer passed.
	ReasonDeadline Reason = "deadline"
	// ReasonRecord means that the booking could not be recorded.
	ReasonRecord Reason = "record"
	// ReasonConflict means that the key was used with another content.
	ReasonConflict Reason = "conflict"
	// ReasonRunning means that another attempt of the booking still runs.
	ReasonRunning Reason = "running"
	// ReasonLost means that the booking's record says that it may have run.
	ReasonLost Reason = "lost"
	// ReasonStanding means that the request's standing changed while it was queued.
	ReasonStanding Reason = "standing"
	// ReasonElsewhere means that a copy of the request runs elsewhere, and that this one wasn't sent.
	ReasonElsewhere Reason = "elsewhere"
	// ReasonQuarantine means that the request crashed backend servers before.
	ReasonQuarantine Reason = "quarantine"
	// ReasonPeer means that the hop to the owner failed.
	ReasonPeer Reason = "peer"
	// ReasonFailed means that the backend server answered with a failure.
	ReasonFailed Reason = "failed"
	// ReasonNoServer means that no backend server answers for the service.
	ReasonNoServer Reason = "no-server"
	// ReasonClosing means that this entry shuts down.
	ReasonClosing Reason = "closing"
)

// End closes an answer.
type End struct {
	Outcome    retrier.Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	// Meet is the server where copies of the request run, with ReasonElsewhere.
	Meet string
	Feedback
}

// Sink takes an answer; Data must copy what it keeps and returns an error once nobody reads any more.
type Sink interface {
	Head(h Head)
	Data(b []byte) error
	// Opened reports whether a head was taken, after which no other attempt may answer.
	Opened() bool
}
