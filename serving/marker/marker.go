package marker

// Headers of the callers' API.
const (
	// Outcome tells a caller "done", "not-run" or "unknown".
	Outcome = "Redwing-Outcome"
	// Key makes a non-idempotent call safe to send again.
	Key = "Idempotency-Key"
	// Class picks one of the classes that the service allows.
	Class = "Redwing-Class"
	// Deadline is the latest useful end of a request, as RFC 3339 time.
	Deadline = "Redwing-Deadline"
	// Request identifies a request in the logs of all processes.
	Request = "X-Request-Id"
)

// Headers of the backend servers' protocol.
const (
	// Attempt identifies one attempt of a request; a backend server echoes it.
	Attempt = "Redwing-Attempt"
	// Model is the "adapter@version" that an engine answered with.
	Model = "Redwing-Model"
	// Incarnation names one run of a backend server's process.
	Incarnation = "Redwing-Incarnation"
	// Fence is the ownership epoch under which an order is given.
	Fence = "Redwing-Fence"
	// Offset is the number of events that the receiver of a resumed stream already has.
	Offset = "Redwing-Offset"
	// Resume names the attempt whose stream is to be resumed.
	Resume = "Redwing-Resume"
)
