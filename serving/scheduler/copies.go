package scheduler

import "redwingstage.org/serving/quarantiner"

// maxInFlightPerDigest bounds one digest's attempts in flight at this entry's servers: the second is for a
// hedge, which the claim at the request's home entry distinguishes from a copy.
const maxInFlightPerDigest = 2

// maxKnownSafe bounds the digests in each of the two generations of successful ones.
const maxKnownSafe = 1 << 15

// copies counts the attempts in flight by digest. Until a digest has succeeded once, a server runs one attempt of it at a
// time, since a copy sent right after the first would reach the process that restarts after a crash.
type copies struct {
	inFlight   map[quarantiner.Digest]int
	inFlightAt map[serverDigest]int
	knownSafe  [2]map[quarantiner.Digest]bool
}

type serverDigest struct {
	server string
	digest quarantiner.Digest
}

func newCopies() copies {
	c := copies{inFlight: make(map[quarantiner.Digest]int), inFlightAt: make(map[serverDigest]int)}
	c.knownSafe[0], c.knownSafe[1] = make(map[quarantiner.Digest]bool), make(map[quarantiner.Digest]bool)
	return c
}

func (c *copies) add(server string, d quarantiner.Digest) {
	if d == (quarantiner.Digest{}) {
		return
	}
	c.inFlight[d]++
	c.inFlightAt[serverDigest{server, d}]++
}

func (c *copies) remove(server string, d quarantiner.Digest) {
	if d == (quarantiner.Digest{}) {
		return
	}
	if c.inFlight[d]--; c.inFlight[d] == 0 {
		delete(c.inFlight, d)
	}
	key := serverDigest{server, d}
	if c.inFlightAt[key]--; c.inFlightAt[key] == 0 {
		delete(c.inFlightAt, key)
	}
}

// maySend reports whether one more attempt of a digest that isn't suspect may be sent. A non-idempotent one doesn't wait
// for a copy: its record lets each key run once and answers the copies.
func (c *copies) maySend(j *job) bool {
	if c.isKnownSafe(j.Digest) {
		return true
	}
	return c.inFlight[j.Digest] < maxInFlightPerDigest && (!j.Idempotent || c.inFlightAt[serverDigest{j.Server, j.Digest}] == 0)
}

// markSafe records that a digest succeeded, so that identical requests needn't run one at a time.
func (c *copies) markSafe(d quarantiner.Digest) {
	if len(c.knownSafe[0]) >= maxKnownSafe {
		c.knownSafe[1], c.knownSafe[0] = c.knownSafe[0], make(map[quarantiner.Digest]bool)
	}
	c.knownSafe[0][d] = true
}

func (c *copies) isKnownSafe(d quarantiner.Digest) bool {
	return c.knownSafe[0][d] || c.knownSafe[1][d]
}

// clearSafe removes the record of a digest's success.
func (c *copies) clearSafe(d quarantiner.Digest) {
	delete(c.knownSafe[0], d)
	delete(c.knownSafe[1], d)
}
