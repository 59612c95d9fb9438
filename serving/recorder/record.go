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

// Verdict is the decision on a Begin.
type Verdict int

// The decisions on a Begin.
const (
	// VerdictRun means that this attempt, and no other, may run the call.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that another attempt is running.
	VerdictWait
	// VerdictDone means that the call ran; the reply has its answer, with status 0 if not stored.
	VerdictDone
	// VerdictUnknown means that the call may have run and its answer is lost.
	VerdictUnknown
	// VerdictConflict means that the key was used for other content.
	VerdictConflict
	// VerdictFull means that the table has its maximum of records; the call did not run.
	VerdictFull
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

// Begun is the reply to Begin.
type Begun struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  Answer  `cbor:"2,keyasint"`
}

// End reports how an attempt ended.
type End struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	Ending  Ending `cbor:"3,keyasint"`
	Answer  Answer `cbor:"4,keyasint"`
}

// Ending is the outcome of an attempt.
type Ending int

// The outcomes of an attempt.
const (
	// EndingDone means that the complete answer was received.
	EndingDone Ending = iota + 1
	// EndingNotRun means that the attempt provably did not and will not run, so the key may run again.
	EndingNotRun
	// EndingUnknown means that the attempt may have run.
	EndingUnknown
)
