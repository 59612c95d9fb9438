package marker

// Headers of the callers' API.
const (
	// Outcome is the outcome of a request: "done", "not-run" or "unknown".
	Outcome = "Redwing-Outcome"
	// IdempotencyKey makes a non-idempotent call safe to retry.
	IdempotencyKey = "Idempotency-Key"
	// Class is one of the classes that the service allows.
	Class = "Redwing-Class"
	// Deadline is the time by which a request must end, in RFC 3339.
	Deadline = "Redwing-Deadline"
	// RequestID identifies a request in the logs of all processes.
	RequestID = "X-Request-Id"
)

// Headers of the backend servers' protocol.
const (
	// Attempt identifies one attempt of a request; a backend server echoes it.
	Attempt = "Redwing-Attempt"
	// Model is the "adapter@version" that an engine answered with.
	Model = "Redwing-Model"
	// Incarnation identifies one run of a backend server's process.
	Incarnation = "Redwing-Incarnation"
	// FencingEpoch is the ownership epoch under which an order is sent.
	FencingEpoch = "Redwing-Fence"
	// ResumeOffset is the number of events that the receiver of a resumed stream already has.
	ResumeOffset = "Redwing-Offset"
	// ResumedAttempt is the attempt whose stream is to be resumed.
	ResumedAttempt = "Redwing-Resume"
)
