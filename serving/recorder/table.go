package recorder

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits bound the table; New takes the defaults where options don't say otherwise.
const (
	defaultKeep     = 24 * time.Hour
	defaultMaxRun   = 10 * time.Minute
	defaultRecords  = 200_000
	defaultMemory   = 64 << 20 // bytes of stored answers
	defaultMaxStore = 64 << 10 // bytes of one stored answer
	maxGivenUp      = 8        // attempts remembered for each record
)

// state is where a booking stands.
type state int

const (
	stateRunning state = iota + 1
	stateDone
	stateNotRun
	stateUnknown
)

// process names one run of an entry.
type process struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// record is one booking; Known is false when only the end of an attempt was seen, so that the digest is open.
type record struct {
	Key     Key       `cbor:"1,keyasint"`
	Known   bool      `cbor:"2,keyasint"`
	Digest  [16]byte  `cbor:"3,keyasint"`
	Attempt string    `cbor:"4,keyasint"`
	Process process   `cbor:"5,keyasint"`
	State   state     `cbor:"6,keyasint"`
	Answer  Answer    `cbor:"7,keyasint"`
	Changed time.Time `cbor:"8,keyasint"`
	// GivenUp are the last attempts that ended without a run; a late copy of their Begin finds nobody to send it.
	GivenUp []string `cbor:"9,keyasint,omitempty"`
	// turn counts the record's changes of state, so that an old place in a queue is told from the newest.
	turn uint64
}

// place is a record's position in a queue ordered by time; it is stale when the record has moved on.
type place struct {
	rec  *record
	turn uint64
}

// Table holds the records; it is a deterministic state machine, so that all replicas hold the same.
type Table struct {
	keep     time.Duration
	maxRun   time.Duration
	records  int
	memory   int
	maxStore int

	clock   time.Time
	byKey   map[Key]*record
	running map[process]map[Key]*record
	// closed, started and stored are ordered by time, oldest first.
	closed  []place
	started []place
	stored  []place
	bytes   int
	turns   uint64
}

// Option changes a limit of a Table; all replicas need the same.
type Option func(*Table)

// WithKeep sets how long a closed record and its answer are kept, which is how long a key protects.
func WithKeep(d time.Duration) Option { return func(t *Table) { t.keep = d } }

// WithMaxRun sets after what time a running attempt counts as lost.
func WithMaxRun(d time.Duration) Option { return func(t *Table) { t.maxRun = d } }

// WithRecords sets the largest number of records.
func WithRecords(n int) Option { return func(t *Table) { t.records = n } }

// WithMemory sets the largest sum of stored answers and the largest single one, in bytes.
func WithMemory(sum, single int) Option {
	return func(t *Table) { t.memory, t.maxStore = sum, single }
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		keep:     defaultKeep,
		maxRun:   defaultMaxRun,
		records:  defaultRecords,
		memory:   defaultMemory,
		maxStore: defaultMaxStore,
	}
	t.reset()
	for _, o := range opts {
		o(t)
	}
	return t
}

func (t *Table) reset() {
	t.byKey = make(map[Key]*record)
	t.running = make(map[process]map[Key]*record)
	t.closed, t.started, t.stored = nil, nil, nil
	t.bytes, t.turns, t.clock = 0, 0, time.Time{}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.byKey) }

// Running returns the number of records whose attempt runs.
func (t *Table) Running() int {
	n := 0
	for _, m := range t.running {
		n += len(m)
	}
	return n
}

// Bytes returns the size of all stored answers.
func (t *Table) Bytes() int { return t.bytes }

// Begin records that an attempt is about to be sent, unless the key's record forbids it.
func (t *Table) Begin(now time.Time, b Begin) Begun {
	t.Expire(now)
	rec := t.byKey[b.Key]
	if rec == nil {
		if len(t.byKey) >= t.records {
			return Begun{Verdict: VerdictFull}
		}
		rec = &record{Key: b.Key}
		t.byKey[b.Key] = rec
	}
	if rec.Known && rec.Digest != b.Digest {
		return Begun{Verdict: VerdictConflict}
	}
	if v := rec.verdict(b.Attempt); v != VerdictRun {
		return Begun{Verdict: v, Answer: rec.Answer}
	}
	if rec.State == stateRunning {
		// The same attempt asks again, because the first reply was lost.
		return Begun{Verdict: VerdictRun}
	}
	rec.Known = true
	rec.Digest = b.Digest
	rec.Attempt = b.Attempt
	rec.Process = process{Entry: b.Entry, Incarnation: b.Incarnation}
	t.move(rec, stateRunning)
	return Begun{Verdict: VerdictRun}
}

// verdict says what an attempt may do, given where the booking stands.
func (r *record) verdict(attempt string) Verdict {
	switch r.State {
	case stateRunning:
		if r.Attempt == attempt {
			return VerdictRun
		}
		return VerdictWait
	case stateDone:
		return VerdictDone
	case stateUnknown:
		return VerdictUnknown
	case stateNotRun:
		if r.Attempt == attempt || slices.Contains(r.GivenUp, attempt) {
			// The attempt was given up before this late copy of its Begin; nobody will send it.
			return VerdictUnknown
		}
	}
	return VerdictRun
}

// giveUp remembers that nobody will send an attempt any more.
func (r *record) giveUp(attempt string) {
	if slices.Contains(r.GivenUp, attempt) {
		return
	}
	if len(r.GivenUp) == maxGivenUp {
		r.GivenUp = slices.Delete(r.GivenUp, 0, 1)
	}
	r.GivenUp = append(r.GivenUp, attempt)
}

// End closes an attempt; it returns false when the record belongs to another attempt or is closed already.
func (t *Table) End(now time.Time, e End) bool {
	t.Expire(now)
	rec := t.byKey[e.Key]
	if rec == nil {
		return t.endUnseen(e)
	}
	if e.Ending == EndingNotRun && rec.State != stateDone {
		rec.giveUp(e.Attempt)
	}
	if rec.Attempt != e.Attempt {
		return false
	}
	if rec.State != stateRunning && rec.State != stateUnknown {
		return false
	}
	switch e.Ending {
	case EndingDone:
		t.store(rec, e.Answer)
		t.move(rec, stateDone)
	case EndingNotRun:
		t.move(rec, stateNotRun)
	case EndingUnknown:
		t.move(rec, stateUnknown)
	default:
		return false
	}
	return true
}

// endUnseen remembers an attempt that was given up before its Begin arrived.
func (t *Table) endUnseen(e End) bool {
	if e.Ending != EndingNotRun || len(t.byKey) >= t.records {
		return false
	}
	rec := &record{Key: e.Key, Attempt: e.Attempt}
	t.byKey[e.Key] = rec
	t.move(rec, stateNotRun)
	return true
}

// Lost records that an entry's process is gone: what it ran may or may not have run.
func (t *Table) Lost(now time.Time, entry string, incarnation uint64) {
	t.Expire(now)
	lost := slices.SortedFunc(maps.Values(t.running[process{Entry: entry, Incarnation: incarnation}]), byTurn)
	for _, rec := range lost {
		t.move(rec, stateUnknown)
	}
}

// Expire forgets records that closed long ago and gives up attempts that have run for too long.
func (t *Table) Expire(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
	for len(t.started) > 0 && t.due(t.started[0], t.maxRun) {
		p := t.started[0]
		t.started = t.started[1:]
		if p.isCurrent() {
			t.move(p.rec, stateUnknown)
		}
	}
	for len(t.closed) > 0 && t.due(t.closed[0], t.keep) {
		p := t.closed[0]
		t.closed = t.closed[1:]
		if p.isCurrent() {
			t.drop(p.rec)
			delete(t.byKey, p.rec.Key)
		}
	}
}

func (p place) isCurrent() bool { return p.rec.turn == p.turn }

// due reports whether a place can be taken from its queue: it is stale, or its time is over.
func (t *Table) due(p place, d time.Duration) bool {
	return !p.isCurrent() || t.clock.Sub(p.rec.Changed) >= d
}

// move changes a record's state and its place in the queues.
func (t *Table) move(rec *record, to state) {
	if rec.State == stateRunning {
		delete(t.running[rec.Process], rec.Key)
		if len(t.running[rec.Process]) == 0 {
			delete(t.running, rec.Process)
		}
	}
	t.turns++
	rec.turn = t.turns
	rec.State = to
	rec.Changed = t.clock
	if to != stateRunning {
		t.closed = append(t.closed, place{rec, rec.turn})
		return
	}
	if t.running[rec.Process] == nil {
		t.running[rec.Process] = make(map[Key]*record)
	}
	t.running[rec.Process][rec.Key] = rec
	t.started = append(t.started, place{rec, rec.turn})
}

// store keeps an answer; when memory is short the oldest answers are dropped, but never a record.
func (t *Table) store(rec *record, a Answer) {
	if a.size() > t.maxStore {
		return
	}
	rec.Answer = a
	t.bytes += a.size()
	// The record moves to done right after this, which gives it the next turn.
	t.stored = append(t.stored, place{rec, t.turns + 1})
	for t.bytes > t.memory {
		p := t.stored[0]
		t.stored = t.stored[1:]
		if p.rec == rec || p.isCurrent() {
			t.drop(p.rec)
		}
	}
}

func (t *Table) drop(rec *record) {
	t.bytes -= rec.Answer.size()
	rec.Answer = Answer{}
}

// byTurn orders records by their last change, which is the same order on all replicas.
func byTurn(a, b *record) int { return cmp.Compare(a.turn, b.turn) }

// Fits reports whether an answer is small enough to be stored; a larger one needn't be sent to the record.
func (a Answer) Fits() bool { return a.size() <= defaultMaxStore }

func (a Answer) size() int { return len(a.Type) + len(a.Body) }
