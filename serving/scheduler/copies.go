package scheduler

import "redwingstage.org/serving/quarantiner"

// maxCopies bounds one digest's attempts in flight at this entry's servers: the second is for a hedge, which the claim at
// the request's home entry tells from a copy.
const maxCopies = 2

// maxProven bounds the digests in each of the two generations of successful ones.
const maxProven = 1 << 15

// copies counts the attempts in flight by digest. Until a digest has succeeded once, a server runs one attempt of it at a
// time, since a copy sent right after the first would reach the process that restarts after a crash.
type copies struct {
	total  map[quarantiner.Digest]int
	at     map[copyAt]int
	proven [2]map[quarantiner.Digest]bool
}

type copyAt struct {
	server string
	digest quarantiner.Digest
}

func newCopies() copies {
	c := copies{total: make(map[quarantiner.Digest]int), at: make(map[copyAt]int)}
	c.proven[0], c.proven[1] = make(map[quarantiner.Digest]bool), make(map[quarantiner.Digest]bool)
	return c
}

func (c *copies) add(server string, d quarantiner.Digest) {
	if d == (quarantiner.Digest{}) {
		return
	}
	c.total[d]++
	c.at[copyAt{server, d}]++
}

func (c *copies) remove(server string, d quarantiner.Digest) {
	if d == (quarantiner.Digest{}) {
		return
	}
	if c.total[d]--; c.total[d] == 0 {
		delete(c.total, d)
	}
	key := copyAt{server, d}
	if c.at[key]--; c.at[key] == 0 {
		delete(c.at, key)
	}
}

// mayJoin reports whether one more attempt of a digest that isn't suspect may be sent. A non-idempotent one doesn't wait
// for a copy: its record lets each key run once and answers the copies.
func (c *copies) mayJoin(j *job) bool {
	if c.isProven(j.Digest) {
		return true
	}
	return c.total[j.Digest] < maxCopies && (!j.Idempotent || c.at[copyAt{j.Server, j.Digest}] == 0)
}

// prove records that a digest succeeded, so that identical requests needn't run one at a time.
func (c *copies) prove(d quarantiner.Digest) {
	if len(c.proven[0]) >= maxProven {
		c.proven[1], c.proven[0] = c.proven[0], make(map[quarantiner.Digest]bool)
	}
	c.proven[0][d] = true
}

func (c *copies) isProven(d quarantiner.Digest) bool { return c.proven[0][d] || c.proven[1][d] }

// doubt forgets that a digest succeeded.
func (c *copies) doubt(d quarantiner.Digest) {
	delete(c.proven[0], d)
	delete(c.proven[1], d)
}
