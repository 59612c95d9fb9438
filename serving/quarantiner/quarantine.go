package quarantiner

import (
	"bytes"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingstage.org/coord/spreader"
)

const (
	// maxWaiting limits the requests queued for one digest's lock.
	maxWaiting = 1024

	keyPrefix = "q/"
	// Incidents recorded for standings that entries report from an earlier leader; quarantine needs two.
	earlierIncident = "earlier"
	secondIncident  = "earlier again"
)

// Crash identifies a crash by its reporter's number, so that a repeated report counts once.
type Crash struct {
	Reporter string
	Number   uint64
}

func (c Crash) incident() string { return c.Reporter + "/" + strconv.FormatUint(c.Number, 10) }

// Quarantine is the quarantine of a control leader: the standings that it spreads, and the locks that suspects run under.
type Quarantine struct {
	registry *Registry
	// lastSpread are the standings as of the last changes.
	lastSpread map[Digest]Standing
	dirty      bool
	// newSuspects are digests that were clear when a crash was recorded; they are spread even if their standing is unchanged.
	newSuspects map[Digest]bool
	// unpublished are the changed digests without a revision yet; listedAt is the revision that lists a digest's standing.
	unpublished map[Digest]bool
	listedAt    map[Digest]uint64
	locks       map[Digest]*lock
	// oldLocksUntil is the time until which locks of an earlier leader may be held.
	oldLocksUntil time.Time
}

// lock is held under its ticket's ID, since a holder may release an earlier lock late.
type lock struct {
	holder  string
	id      uint64
	waiting []Ticket
}

// Ticket is a request for a digest's lock.
type Ticket struct {
	Digest Digest
	Holder string
	ID     uint64
}

// NewQuarantine returns a quarantine over an empty registry; locks of an earlier leader may be held until oldLocksUntil.
func NewQuarantine(registry *Registry, oldLocksUntil time.Time) *Quarantine {
	return &Quarantine{
		registry:   registry,
		lastSpread: make(map[Digest]Standing), newSuspects: make(map[Digest]bool), unpublished: make(map[Digest]bool), listedAt: make(map[Digest]uint64),
		locks: make(map[Digest]*lock), oldLocksUntil: oldLocksUntil,
	}
}

// ReportCrash records a crash and the digests that were in flight.
func (q *Quarantine) ReportCrash(now time.Time, crash Crash, digests []Digest) {
	q.recordCrash(now, crash.incident(), digests)
}

func (q *Quarantine) recordCrash(now time.Time, incident string, digests []Digest) {
	for _, d := range digests {
		if q.registry.Standing(now, d) == Clear {
			q.newSuspects[d] = true
			delete(q.listedAt, d)
		}
	}
	q.registry.ReportCrash(now, incident, digests)
	q.dirty = true
}

// ReportCompletion clears a suspect that ran to its end; the run must have begun at a revision that lists it as suspect, so that
// neither a late message nor one to an earlier leader clears a newer suspect. A quarantined digest stays.
func (q *Quarantine) ReportCompletion(now time.Time, d Digest, startRevision uint64) bool {
	listedAt, ok := q.listedAt[d]
	if !ok || startRevision < listedAt || q.registry.Standing(now, d) != Suspect {
		return false
	}
	q.registry.Clear(d)
	q.dirty = true
	return true
}

// Published records the revision under which the last changes are spread.
func (q *Quarantine) Published(revision uint64) {
	for d := range q.unpublished {
		delete(q.listedAt, d)
		if q.lastSpread[d] != Clear {
			q.listedAt[d] = revision
		}
	}
	clear(q.unpublished)
}

// MergeStanding merges a standing that an entry received from an earlier leader; the more severe one stays.
func (q *Quarantine) MergeStanding(now time.Time, d Digest, s Standing) {
	have := q.registry.Standing(now, d)
	if s > Clear && have == Clear {
		q.recordCrash(now, earlierIncident, []Digest{d})
	}
	if s == Quarantined && have != Quarantined {
		q.recordCrash(now, secondIncident, []Digest{d})
	}
	q.dirty = true
}

// Settle ends the wait for locks of earlier leaders, once all their holders are accounted for.
func (q *Quarantine) Settle(now time.Time) {
	if now.Before(q.oldLocksUntil) {
		q.oldLocksUntil = now
	}
}

// Standing returns the standing of a digest.
func (q *Quarantine) Standing(now time.Time, d Digest) Standing { return q.registry.Standing(now, d) }

// Expire drops the digests whose standing has expired.
func (q *Quarantine) Expire(now time.Time) {
	n := q.registry.Len()
	q.registry.Expire(now)
	q.dirty = q.dirty || q.registry.Len() != n
}

// Changes returns the standings that changed since the last call, for spreading.
func (q *Quarantine) Changes(now time.Time) []spreader.Item {
	if !q.dirty {
		return nil
	}
	q.dirty = false
	present := make(map[Digest]Standing)
	q.registry.Each(now, func(d Digest, s Standing, _ time.Time) { present[d] = s })
	changed := maps.Clone(q.newSuspects)
	clear(q.newSuspects)
	for d, s := range present {
		if q.lastSpread[d] != s {
			changed[d] = true
		}
	}
	for d := range q.lastSpread {
		if present[d] == Clear {
			changed[d] = true
		}
	}
	q.lastSpread = present
	maps.Copy(q.unpublished, changed)
	for d := range changed {
		delete(q.listedAt, d)
	}
	return q.items(changed)
}

// All returns all standings, for spreading.
func (q *Quarantine) All(now time.Time) []spreader.Item {
	q.lastSpread, q.dirty = nil, true
	return q.Changes(now)
}

func (q *Quarantine) items(digests map[Digest]bool) []spreader.Item {
	items := make([]spreader.Item, 0, len(digests))
	for _, d := range sorted(digests) {
		it := spreader.Item{Key: keyPrefix + hex.EncodeToString(d[:])}
		if s := q.lastSpread[d]; s != Clear {
			it.Value = []byte{byte(s)}
		}
		items = append(items, it)
	}
	return items
}

// Lock queues a request for a digest's lock; false means that the queue is full.
func (q *Quarantine) Lock(t Ticket) bool {
	l, ok := q.locks[t.Digest]
	if !ok {
		l = &lock{}
		q.locks[t.Digest] = l
	}
	if len(l.waiting) >= maxWaiting {
		return false
	}
	l.waiting = append(l.waiting, t)
	return true
}

// Claim restores a lock that an entry holds since an earlier leader.
func (q *Quarantine) Claim(now time.Time, t Ticket) {
	if !now.Before(q.oldLocksUntil) {
		return
	}
	l, ok := q.locks[t.Digest]
	if !ok {
		l = &lock{}
		q.locks[t.Digest] = l
	}
	if l.holder == "" {
		l.holder, l.id = t.Holder, t.ID
	}
}

// Unlock releases a lock if the ticket holds it.
func (q *Quarantine) Unlock(t Ticket) {
	if l, ok := q.locks[t.Digest]; ok && l.holder == t.Holder && l.id == t.ID {
		l.holder = ""
	}
}

// Withdraw removes a queued request for a lock.
func (q *Quarantine) Withdraw(holder string, id uint64) {
	for _, l := range q.locks {
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder && t.ID == id })
	}
}

// ReleaseHolder releases the locks of a holder whose lease expired, and removes its requests.
func (q *Quarantine) ReleaseHolder(holder string) {
	for _, l := range q.locks {
		if l.holder == holder {
			l.holder = ""
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder })
	}
}

// Grant grants each free lock to the request that has waited longest.
func (q *Quarantine) Grant(now time.Time) []Ticket {
	if now.Before(q.oldLocksUntil) {
		return nil
	}
	var out []Ticket
	for _, d := range sorted(q.locks) {
		l := q.locks[d]
		switch {
		case l.holder != "":
		case len(l.waiting) == 0:
			delete(q.locks, d)
		default:
			out = append(out, l.waiting[0])
			l.holder, l.id = l.waiting[0].Holder, l.waiting[0].ID
			l.waiting = l.waiting[1:]
		}
	}
	return out
}

func sorted[T any](m map[Digest]T) []Digest {
	return slices.SortedFunc(maps.Keys(m), func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
}

// Standings is an immutable snapshot of the digests that aren't clear, at one revision.
type Standings struct {
	byDigest map[Digest]Standing
}

// Of returns the standing of a digest.
func (s *Standings) Of(d Digest) Standing { return s.byDigest[d] }

// NotClear returns a copy of all standings that aren't clear.
func (s *Standings) NotClear() map[Digest]Standing { return maps.Clone(s.byDigest) }

// With returns the standings after a delta; items of other kinds are ignored.
func (s *Standings) With(full bool, items []spreader.Item) *Standings {
	next := &Standings{byDigest: make(map[Digest]Standing)}
	if !full {
		maps.Copy(next.byDigest, s.byDigest)
	}
	for _, it := range items {
		text, ok := strings.CutPrefix(it.Key, keyPrefix)
		b, err := hex.DecodeString(text)
		if !ok || err != nil || len(b) != len(Digest{}) {
			continue
		}
		d := Digest(b)
		delete(next.byDigest, d)
		if len(it.Value) == 1 && it.Value[0] <= byte(Quarantined) && it.Value[0] > 0 {
			next.byDigest[d] = Standing(it.Value[0])
		}
	}
	return next
}
