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
	// Incidents recorded for standings that entries report from an earlier leader; a conviction needs two.
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

// NewQuarantine returns a board over an empty registry; locks of an earlier leader may be held until oldLocksUntil.
func NewQuarantine(registry *Registry, oldLocksUntil time.Time) *Quarantine {
	return &Quarantine{
		registry:   registry,
		lastSpread: make(map[Digest]Standing), newSuspects: make(map[Digest]bool), unpublished: make(map[Digest]bool), listedAt: make(map[Digest]uint64),
		locks: make(map[Digest]*lock), oldLocksUntil: oldLocksUntil,
	}
}

// ReportCrash records a crash and the digests that were in flight.
func (b *Quarantine) ReportCrash(now time.Time, crash Crash, digests []Digest) {
	b.recordCrash(now, crash.incident(), digests)
}

func (b *Quarantine) recordCrash(now time.Time, incident string, digests []Digest) {
	for _, d := range digests {
		if b.registry.Standing(now, d) == Clear {
			b.newSuspects[d] = true
			delete(b.listedAt, d)
		}
	}
	b.registry.ReportCrash(now, incident, digests)
	b.dirty = true
}

// ReportCompletion clears a suspect that ran to its end; the run must have begun at a revision that lists it as suspect, so that
// neither a late message nor one to an earlier leader clears a newer suspect. A convicted digest stays.
func (b *Quarantine) ReportCompletion(now time.Time, d Digest, startRevision uint64) bool {
	listedAt, ok := b.listedAt[d]
	if !ok || startRevision < listedAt || b.registry.Standing(now, d) != Suspect {
		return false
	}
	b.registry.Clear(d)
	b.dirty = true
	return true
}

// Published records the revision under which the last changes are spread.
func (b *Quarantine) Published(revision uint64) {
	for d := range b.unpublished {
		delete(b.listedAt, d)
		if b.lastSpread[d] != Clear {
			b.listedAt[d] = revision
		}
	}
	clear(b.unpublished)
}

// MergeStanding merges a standing that an entry knows from an earlier leader; the more severe one stays.
func (b *Quarantine) MergeStanding(now time.Time, d Digest, s Standing) {
	have := b.registry.Standing(now, d)
	if s > Clear && have == Clear {
		b.recordCrash(now, earlierIncident, []Digest{d})
	}
	if s == Quarantined && have != Quarantined {
		b.recordCrash(now, secondIncident, []Digest{d})
	}
	b.dirty = true
}

// Settle ends the wait for locks of earlier leaders, once all their holders are accounted for.
func (b *Quarantine) Settle(now time.Time) {
	if now.Before(b.oldLocksUntil) {
		b.oldLocksUntil = now
	}
}

// Standing returns the standing of a digest.
func (b *Quarantine) Standing(now time.Time, d Digest) Standing { return b.registry.Standing(now, d) }

// Expire drops the digests whose standing has expired.
func (b *Quarantine) Expire(now time.Time) {
	n := b.registry.Len()
	b.registry.Expire(now)
	b.dirty = b.dirty || b.registry.Len() != n
}

// Changes returns the standings that changed since the last call, for spreading.
func (b *Quarantine) Changes(now time.Time) []spreader.Item {
	if !b.dirty {
		return nil
	}
	b.dirty = false
	present := make(map[Digest]Standing)
	b.registry.Each(now, func(d Digest, s Standing, _ time.Time) { present[d] = s })
	changed := maps.Clone(b.newSuspects)
	clear(b.newSuspects)
	for d, s := range present {
		if b.lastSpread[d] != s {
			changed[d] = true
		}
	}
	for d := range b.lastSpread {
		if present[d] == Clear {
			changed[d] = true
		}
	}
	b.lastSpread = present
	maps.Copy(b.unpublished, changed)
	for d := range changed {
		delete(b.listedAt, d)
	}
	return b.items(changed)
}

// All returns all standings, for spreading.
func (b *Quarantine) All(now time.Time) []spreader.Item {
	b.lastSpread, b.dirty = nil, true
	return b.Changes(now)
}

func (b *Quarantine) items(digests map[Digest]bool) []spreader.Item {
	items := make([]spreader.Item, 0, len(digests))
	for _, d := range sorted(digests) {
		it := spreader.Item{Key: keyPrefix + hex.EncodeToString(d[:])}
		if s := b.lastSpread[d]; s != Clear {
			it.Value = []byte{byte(s)}
		}
		items = append(items, it)
	}
	return items
}

// Lock queues a request for a digest's lock; false means that the queue is full.
func (b *Quarantine) Lock(t Ticket) bool {
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

// Claim restores a lock that an entry holds since an earlier leader.
func (b *Quarantine) Claim(now time.Time, t Ticket) {
	if !now.Before(b.oldLocksUntil) {
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

// Unlock releases a lock if the ticket holds it.
func (b *Quarantine) Unlock(t Ticket) {
	if l, ok := b.locks[t.Digest]; ok && l.holder == t.Holder && l.id == t.ID {
		l.holder = ""
	}
}

// Withdraw removes a queued request for a lock.
func (b *Quarantine) Withdraw(holder string, id uint64) {
	for _, l := range b.locks {
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder && t.ID == id })
	}
}

// ReleaseHolder releases the locks of a holder whose lease expired, and removes its requests.
func (b *Quarantine) ReleaseHolder(holder string) {
	for _, l := range b.locks {
		if l.holder == holder {
			l.holder = ""
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder })
	}
}

// Grant grants each free lock to the request that has waited longest.
func (b *Quarantine) Grant(now time.Time) []Ticket {
	if now.Before(b.oldLocksUntil) {
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

// Standings is an immutable snapshot of the digests that aren't clear, at one revision.
type Standings struct {
	known map[Digest]Standing
}

// Of returns the standing of a digest.
func (s *Standings) Of(d Digest) Standing { return s.known[d] }

// Known returns a copy of all standings that aren't clear.
func (s *Standings) Known() map[Digest]Standing { return maps.Clone(s.known) }

// With returns the standings after a delta; items of other kinds are ignored.
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
		if len(it.Value) == 1 && it.Value[0] <= byte(Quarantined) && it.Value[0] > 0 {
			next.known[d] = Standing(it.Value[0])
		}
	}
	return next
}
