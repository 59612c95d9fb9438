package scheduler

import "redwingstage.org/serving/quarantiner"

// maxCopies is the number of servers here at which one digest may be in flight: a second one only as a hedge, which the
// claim at the request's home tells from a copy.
const maxCopies = 2

// maxProven bounds the digests of each of the two generations that are remembered as harmless.
const maxProven = 1 << 15

// copies counts the attempts in flight by digest. Before a digest has run to its end once, one attempt at a time is at a
// server, since a copy that is sent right after the first would reach the process that follows a crash.
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

// mayJoin reports whether one more attempt of a digest without a suspicion may run at the server. One that may not run twice
// isn't held up behind a copy: its record lets each key run once, and answers the copies.
func (c *copies) mayJoin(j *job) bool {
	if c.isProven(j.Digest) {
		return true
	}
	return c.total[j.Digest] < maxCopies && (!j.Idempotent || c.at[copyAt{j.Server, j.Digest}] == 0)
}

// prove remembers a digest that ran to its end, so that what many callers ask alike isn't held up.
func (c *copies) prove(d quarantiner.Digest) {
	if len(c.proven[0]) >= maxProven {
		c.proven[1], c.proven[0] = c.proven[0], make(map[quarantiner.Digest]bool)
	}
	c.proven[0][d] = true
}

func (c *copies) isProven(d quarantiner.Digest) bool { return c.proven[0][d] || c.proven[1][d] }

// doubt forgets that a digest ran to its end.
func (c *copies) doubt(d quarantiner.Digest) {
	delete(c.proven[0], d)
	delete(c.proven[1], d)
}
