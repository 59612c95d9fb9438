package quarantiner

// Digest identifies a request by its caller and content, so that a request sent again has the same one.
type Digest [16]byte

// Standing is the quarantine state of a request's digest.
type Standing int

// The standings, from the least to the most severe.
const (
	// Clear means that no crash is known.
	Clear Standing = iota
	// Suspect means that the request was in flight at one crash; it runs apart from other suspects and one at a time.
	Suspect
	// Quarantined means that the request was in flight at two crashes; it is refused.
	Quarantined
)
