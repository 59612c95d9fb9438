package recorder

// Key names a booking; it is scoped to the caller and the service.
type Key struct {
	Caller  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Key     string `cbor:"3,keyasint"`
}

// Answer is a backend server's whole answer to a booking.
type Answer struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Verdict says what the asker of Begin must do.
type Verdict int

// The verdicts of Begin.
const (
	// VerdictRun means that this attempt, and no other ever, may run the booking.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that another attempt runs it.
	VerdictWait
	// VerdictDone means that it ran; the stored answer comes along, and its status is 0 when it is no longer stored.
	VerdictDone
	// VerdictUnknown means that it may have run and its answer is lost.
	VerdictUnknown
	// VerdictConflict means that the key was used with another content.
	VerdictConflict
	// VerdictFull means that the record's memory is spent; the booking did not run.
	VerdictFull
)

// Begin asks to run a booking; it commits before the first byte is sent.
type Begin struct {
	Key     Key      `cbor:"1,keyasint"`
	Digest  [16]byte `cbor:"2,keyasint"`
	Attempt string   `cbor:"3,keyasint"`
	// Entry and Incarnation name the process that will send it.
	Entry       string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// Begun is the reply to Begin.
type Begun struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  Answer  `cbor:"2,keyasint"`
}

// End closes an attempt that Begin allowed to run.
type End struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	Ending  Ending `cbor:"3,keyasint"`
	Answer  Answer `cbor:"4,keyasint"`
}

// Ending says how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	// EndingDone means that the whole answer came.
	EndingDone Ending = iota + 1
	// EndingNotRun means that there is evidence that it never ran and never will, so the key may run again.
	EndingNotRun
	// EndingUnknown means that it may have run.
	EndingUnknown
)
