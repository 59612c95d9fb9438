package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Digest identifies a request by its caller and content, so that a request sent again has the same one, or a part that
// requests share.
type Digest [16]byte

// DigestOf returns the digest of texts in their order.
func DigestOf(texts ...string) Digest {
	h := sha256.New()
	for _, t := range texts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(t)))
		_, _ = h.Write(n[:])
		_, _ = io.WriteString(h, t)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

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
