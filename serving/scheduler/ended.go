package scheduler

import "redwingstage.org/serving/retrier"

// maxEnded is the number of ended attempts kept, so that a repeated arrival isn't run again.
const maxEnded = 4096

type endedRing struct {
	set  map[retrier.Attempt]struct{}
	ring []retrier.Attempt
	next int
}

func newEndedRing() endedRing {
	return endedRing{set: make(map[retrier.Attempt]struct{}, maxEnded)}
}

func (r *endedRing) add(a retrier.Attempt) {
	if len(r.ring) < maxEnded {
		r.ring = append(r.ring, a)
	} else {
		delete(r.set, r.ring[r.next])
		r.ring[r.next] = a
		r.next = (r.next + 1) % maxEnded
	}
	r.set[a] = struct{}{}
}

func (r *endedRing) has(a retrier.Attempt) bool {
	_, ok := r.set[a]
	return ok
}
