package governor

import "redwingstage.org/serving/tracker"

// maxPendingPrefixes bounds the cached beginnings of prompts that wait to be sent; a lost one costs a prefill.
const maxPendingPrefixes = 1024

// CachedPrefix is the beginning of a prompt that an engine has read for an entry and may have cached.
type CachedPrefix struct {
	Engine  tracker.Key     `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	// Digest is that of the adapter and the parts of the beginning, Tokens their number of tokens.
	Digest uint64 `cbor:"3,keyasint"`
	Tokens int    `cbor:"4,keyasint"`
}

// appendPrefixes appends as many of the new beginnings as fit.
func appendPrefixes(list, added []CachedPrefix) []CachedPrefix {
	return append(list, added[:min(len(added), max(maxPendingPrefixes-len(list), 0))]...)
}
