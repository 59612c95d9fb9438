package recorder

// Key is a call's idempotency key, scoped to the caller and the service.
type Key struct {
	Caller  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Key     string `cbor:"3,keyasint"`
}

// Answer is a backend server's complete response to a call.
type Answer struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Decision is the decision on a Begin.
type Decision int

// The decisions on a Begin.
const (
	// DecisionRun means that this attempt, and no other, may run the call.
	DecisionRun Decision = iota + 1
	// DecisionWait means that another attempt is running.
	DecisionWait
	// DecisionDone means that the call ran; the reply has its answer, with status 0 if not stored.
	DecisionDone
	// DecisionUnknown means that the call may have run and its answer is lost.
	DecisionUnknown
	// DecisionConflict means that the key was used for other content.
	DecisionConflict
	// DecisionFull means that the table has its maximum of records; the call did not run.
	DecisionFull
)

// Begin is a request to run a call; it is committed before the first byte is sent.
type Begin struct {
	Key     Key      `cbor:"1,keyasint"`
	Digest  [16]byte `cbor:"2,keyasint"`
	Attempt string   `cbor:"3,keyasint"`
	// Entry and Incarnation identify the process that will send the call.
	Entry       string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// BeginReply is the reply to Begin.
type BeginReply struct {
	Decision Decision `cbor:"1,keyasint"`
	Answer   Answer   `cbor:"2,keyasint"`
}

// End reports how an attempt ended.
type End struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	Answer  Answer  `cbor:"4,keyasint"`
}

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeDone means that the complete answer was received.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that the attempt provably did not and will not run, so the key may run again.
	OutcomeNotRun
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
)
