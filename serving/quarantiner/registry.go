package quarantiner

import (
	"bytes"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingstage.org/coord/spreader"
)

const (
	// suspectTTL is how long a digest stays suspect after its last crash.
	suspectTTL = 10 * time.Minute
	// convictTTL is how long a digest is refused after its last crash.
	convictTTL = time.Hour
	// maxKnown bounds the digests that are kept; those that expire first make room.
	maxKnown = 8192
	// maxWaiting bounds those that wait for one digest's lock.
	maxWaiting = 1024

	keyPrefix = "q/"
)

// Crash identifies one crash as its reporter numbered it, so that a report that is sent again counts once.
type Crash struct {
	Reporter string
	Number   uint64
}

// Registry decides for one control leader which digests are suspect or convicted, and lets one run of a suspect at a time.
type Registry struct {
	known map[Digest]*record
	locks map[Digest]*lock
	// heldUntil is the time until which locks of the last leader may be held.
	heldUntil time.Time
	dirty     map[Digest]bool
	// mild switches conviction off, to show that its tests can fail.
	mild bool
}

type record struct {
	standing Standing
	crash    Crash
	until    time.Time
}

type lock struct {
	holder  string
	waiting []Ticket
}

// Ticket is a request for a digest's lock.
type Ticket struct {
	Digest Digest
	Holder string
	ID     uint64
}

// New returns an empty registry; locks of an earlier leader may be held until the given time.
func New(heldUntil time.Time) *Registry {
	return &Registry{
		known: make(map[Digest]*record), locks: make(map[Digest]*lock), heldUntil: heldUntil, dirty: make(map[Digest]bool),
	}
}

// Accuse takes note of a crash and the digests that were in flight.
func (r *Registry) Accuse(now time.Time, crash Crash, digests []Digest) {
	for _, d := range digests {
		rec, ok := r.known[d]
		switch {
		case !ok:
			r.put(d, &record{standing: Suspect, crash: crash, until: now.Add(suspectTTL)})
		case rec.crash == crash:
		case r.mild:
		default:
			rec.standing, rec.crash, rec.until = Convicted, crash, now.Add(convictTTL)
			r.dirty[d] = true
		}
	}
}

// Report takes up what an entry knows from an earlier leader; the graver standing stays.
func (r *Registry) Report(now time.Time, d Digest, s Standing) {
	rec, ok := r.known[d]
	if s != Suspect && s != Convicted || ok && rec.standing >= s {
		return
	}
	ttl := suspectTTL
	if s == Convicted {
		ttl = convictTTL
	}
	r.put(d, &record{standing: s, until: now.Add(ttl)})
}

func (r *Registry) put(d Digest, rec *record) {
	if len(r.known) >= maxKnown {
		r.dropOldest()
	}
	r.known[d] = rec
	r.dirty[d] = true
}

func (r *Registry) dropOldest() {
	var oldest Digest
	var first *record
	for d, rec := range r.known {
		if first == nil || rec.until.Before(first.until) || rec.until.Equal(first.until) && bytes.Compare(d[:], oldest[:]) < 0 {
			oldest, first = d, rec
		}
	}
	delete(r.known, oldest)
	r.dirty[oldest] = true
}

// Standing returns what is known of a digest.
func (r *Registry) Standing(d Digest) Standing {
	if rec, ok := r.known[d]; ok {
		return rec.standing
	}
	return Clear
}

// Expire forgets the digests whose time has passed.
func (r *Registry) Expire(now time.Time) {
	for d, rec := range r.known {
		if !now.Before(rec.until) {
			delete(r.known, d)
			r.dirty[d] = true
		}
	}
}

// Lock asks for a digest's lock; false means that too many wait.
func (r *Registry) Lock(t Ticket) bool {
	l, ok := r.locks[t.Digest]
	if !ok {
		l = &lock{}
		r.locks[t.Digest] = l
	}
	if len(l.waiting) >= maxWaiting {
		return false
	}
	l.waiting = append(l.waiting, t)
	return true
}

// Claim takes up a lock that an entry holds since an earlier leader.
func (r *Registry) Claim(now time.Time, d Digest, holder string) {
	if !now.Before(r.heldUntil) {
		return
	}
	l, ok := r.locks[d]
	if !ok {
		l = &lock{}
		r.locks[d] = l
	}
	if l.holder == "" {
		l.holder = holder
	}
}

// Unlock gives a lock back.
func (r *Registry) Unlock(d Digest, holder string) {
	if l, ok := r.locks[d]; ok && l.holder == holder {
		l.holder = ""
	}
}

// Withdraw takes a request for a lock back.
func (r *Registry) Withdraw(holder string, id uint64) {
	for _, l := range r.locks {
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder && t.ID == id })
	}
}

// Drop frees the locks of a holder whose lease ran out, and its requests.
func (r *Registry) Drop(holder string) {
	for _, l := range r.locks {
		if l.holder == holder {
			l.holder = ""
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool { return t.Holder == holder })
	}
}

// Grant gives free locks to those that have waited longest.
func (r *Registry) Grant(now time.Time) []Ticket {
	if now.Before(r.heldUntil) {
		return nil
	}
	var out []Ticket
	for _, d := range sorted(r.locks) {
		l := r.locks[d]
		switch {
		case l.holder != "":
		case len(l.waiting) == 0:
			delete(r.locks, d)
		default:
			out = append(out, l.waiting[0])
			l.holder = l.waiting[0].Holder
			l.waiting = l.waiting[1:]
		}
	}
	return out
}

// Changes returns what changed since the last call, for spreading.
func (r *Registry) Changes() []spreader.Item {
	items := make([]spreader.Item, 0, len(r.dirty))
	for _, d := range sorted(r.dirty) {
		it := spreader.Item{Key: keyPrefix + hex.EncodeToString(d[:])}
		if rec, ok := r.known[d]; ok {
			it.Value = []byte{byte(rec.standing)}
		}
		items = append(items, it)
	}
	clear(r.dirty)
	return items
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

// All returns everything that is known, for spreading.
func (r *Registry) All() []spreader.Item {
	for d := range r.known {
		r.dirty[d] = true
	}
	return r.Changes()
}
