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
	// maxWaiting bounds those that wait for one digest's lock.
	maxWaiting = 1024

	keyPrefix = "q/"
	// Incidents under which standings of an earlier leader are taken up.
	earlierIncident = "earlier"
	secondIncident  = "earlier again"
)

// Crash identifies one crash as its reporter numbered it, so that a report that is sent again counts once.
type Crash struct {
	Reporter string
	Number   uint64
}

func (c Crash) incident() string { return c.Reporter + "/" + strconv.FormatUint(c.Number, 10) }

// Board is the quarantine of a control leader: the standings that it spreads, and one run of a suspect at a time.
type Board struct {
	registry *Registry
	// listed are the standings as they were last spread.
	listed map[Digest]Standing
	stale  bool
	// fresh are the digests accused anew since the last changes, which are spread even if their standing is the same.
	fresh map[Digest]bool
	// changed are the digests of changes that aren't published yet; since is the revision that lists a digest's suspicion.
	changed map[Digest]bool
	since   map[Digest]uint64
	locks   map[Digest]*lock
	// heldUntil is the time until which locks of the last leader may be held.
	heldUntil time.Time
}

// lock is held under the number of the ticket, since a holder may give back an earlier one late.
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

// NewBoard returns a board over an empty registry; locks of an earlier leader may be held until the given time.
func NewBoard(registry *Registry, heldUntil time.Time) *Board {
	return &Board{
		registry: registry,
		listed:   make(map[Digest]Standing), fresh: make(map[Digest]bool), changed: make(map[Digest]bool), since: make(map[Digest]uint64),
		locks: make(map[Digest]*lock), heldUntil: heldUntil,
	}
}

// Accuse takes note of a crash and the digests that were in flight.
func (b *Board) Accuse(now time.Time, crash Crash, digests []Digest) {
	b.accuse(now, crash.incident(), digests)
}

func (b *Board) accuse(now time.Time, incident string, digests []Digest) {
	for _, d := range digests {
		if b.registry.Standing(now, d) == Clear {
			b.fresh[d] = true
			delete(b.since, d)
		}
	}
	b.registry.Accuse(now, incident, digests)
	b.stale = true
}

// Absolve clears a suspect that ran to its end; the run must have begun under a revision that lists the suspicion, so that
// neither a late message nor one to an earlier leader clears a newer suspicion. A conviction stays.
func (b *Board) Absolve(now time.Time, d Digest, seen uint64) bool {
	since, ok := b.since[d]
	if !ok || seen < since || b.registry.Standing(now, d) != Suspect {
		return false
	}
	b.registry.Clear(d)
	b.stale = true
	return true
}

// Published notes the revision under which the last changes are spread.
func (b *Board) Published(revision uint64) {
	for d := range b.changed {
		delete(b.since, d)
		if b.listed[d] != Clear {
			b.since[d] = revision
		}
	}
	clear(b.changed)
}

// Report takes up what an entry knows from an earlier leader; the graver standing stays.
func (b *Board) Report(now time.Time, d Digest, s Standing) {
	have := b.registry.Standing(now, d)
	if s > Clear && have == Clear {
		b.accuse(now, earlierIncident, []Digest{d})
	}
	if s == Convicted && have != Convicted {
		b.accuse(now, secondIncident, []Digest{d})
	}
	b.stale = true
}

// Settle ends the wait for locks of earlier leaders, since all their holders are known to be accounted for.
func (b *Board) Settle(now time.Time) {
	if now.Before(b.heldUntil) {
		b.heldUntil = now
	}
}

// Standing returns what is known of a digest.
func (b *Board) Standing(now time.Time, d Digest) Standing { return b.registry.Standing(now, d) }

// Expire forgets the digests whose time has passed.
func (b *Board) Expire(now time.Time) {
	n := b.registry.Len()
	b.registry.Expire(now)
	b.stale = b.stale || b.registry.Len() != n
}

// Changes returns what changed since the last call, for spreading.
func (b *Board) Changes(now time.Time) []spreader.Item {
	if !b.stale {
		return nil
	}
	b.stale = false
	present := make(map[Digest]Standing)
	b.registry.Each(now, func(d Digest, s Standing, _ time.Time) { present[d] = s })
	changed := maps.Clone(b.fresh)
	clear(b.fresh)
	for d, s := range present {
		if b.listed[d] != s {
			changed[d] = true
		}
	}
	for d := range b.listed {
		if present[d] == Clear {
			changed[d] = true
		}
	}
	b.listed = present
	maps.Copy(b.changed, changed)
	for d := range changed {
		delete(b.since, d)
	}
	return b.items(changed)
}

// All returns everything that is known, for spreading.
func (b *Board) All(now time.Time) []spreader.Item {
	b.listed, b.stale = nil, true
	return b.Changes(now)
}

func (b *Board) items(digests map[Digest]bool) []spreader.Item {
	items := make([]spreader.Item, 0, len(digests))
	for _, d := range sorted(digests) {
		it := spreader.Item{Key: keyPrefix + hex.EncodeToString(d[:])}
		if s := b.listed[d]; s != Clear {
			it.Value = []byte{byte(s)}
		}
		items = append(items, it)
	}
	return items
}

// Lock asks for a digest's lock; false means that too many wait.
func (b *Board) Lock(t Ticket) bool {
	l, ok := b.locks[t.Digest]
	if !ok {
		l = &lock{}
		b.locks[t.Digest] = l
	}
	if len(l.waiting) >= maxWaiting {
		return false
	}
	l.waiting = append(l.waiting, t)
	return true
}

// Claim takes up a lock that an entry holds since an earlier leader.
func (b *Board) Claim(now time.Time, t Ticket) {
	if !now.Before(b.heldUntil) {
		return
	}
	l, ok := b.locks[t.Digest]
	if !ok {
		l = &lock{}
		b.locks[t.Digest] = l
	}
	if l.holder == "" {
		l.holder, l.id = t.Holder, t.ID
	}
}

// Unlock gives a lock back.
func (b *Board) Unlock(t Ticket) {
	if l, ok := b.locks[t.Digest]; ok && l.holder == t.Holder && l.id == t.ID {
		l.holder = ""
	}
}

// Withdraw takes a request for a lock back.
func (b *Board) Withdraw(holder string, id uint64) {
	for _, l := range b.locks {
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder && t.ID == id })
	}
}

// Drop frees the locks of a holder whose lease ran out, and its requests.
func (b *Board) Drop(holder string) {
	for _, l := range b.locks {
		if l.holder == holder {
			l.holder = ""
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder })
	}
}

// Grant gives free locks to those that have waited longest.
func (b *Board) Grant(now time.Time) []Ticket {
	if now.Before(b.heldUntil) {
		return nil
	}
	var out []Ticket
	for _, d := range sorted(b.locks) {
		l := b.locks[d]
		switch {
		case l.holder != "":
		case len(l.waiting) == 0:
			delete(b.locks, d)
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

// Standings are the digests that aren't clear, at one revision; they are never changed.
type Standings struct {
	known map[Digest]Standing
}

// Of returns the standing of a digest.
func (s *Standings) Of(d Digest) Standing { return s.known[d] }

// Known returns a copy of all that aren't clear.
func (s *Standings) Known() map[Digest]Standing { return maps.Clone(s.known) }

// With returns the standings after a delta; items of other kinds are passed over.
func (s *Standings) With(full bool, items []spreader.Item) *Standings {
	next := &Standings{known: make(map[Digest]Standing)}
	if !full {
		maps.Copy(next.known, s.known)
	}
	for _, it := range items {
		text, ok := strings.CutPrefix(it.Key, keyPrefix)
		b, err := hex.DecodeString(text)
		if !ok || err != nil || len(b) != len(Digest{}) {
			continue
		}
		d := Digest(b)
		delete(next.known, d)
		if len(it.Value) == 1 && it.Value[0] <= byte(Convicted) && it.Value[0] > 0 {
			next.known[d] = Standing(it.Value[0])
		}
	}
	return next
}
