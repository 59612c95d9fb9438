package recorder

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the table; options override the defaults.
const (
	defaultRetention      = 24 * time.Hour
	defaultMaxRun         = 10 * time.Minute
	defaultMaxRecords     = 200_000
	defaultMaxStoredBytes = 64 << 20 // bytes of stored answers
	defaultMaxAnswerBytes = 64 << 10 // bytes of one stored answer
	maxAbandoned          = 8        // abandoned attempts stored per record
)

// state is the state of a call.
type state int

const (
	stateRunning state = iota + 1
	stateDone
	stateNotRun
	stateUnknown
)

// process identifies one run of an entry.
type process struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// record is one call; HasDigest is false if an End created it, so that no digest is known.
type record struct {
	Key       Key       `cbor:"1,keyasint"`
	HasDigest bool      `cbor:"2,keyasint"`
	Digest    [16]byte  `cbor:"3,keyasint"`
	Attempt   string    `cbor:"4,keyasint"`
	Process   process   `cbor:"5,keyasint"`
	State     state     `cbor:"6,keyasint"`
	Answer    Answer    `cbor:"7,keyasint"`
	Changed   time.Time `cbor:"8,keyasint"`
	// Abandoned are the latest attempts that ended without running; a delayed Begin must not run one.
	Abandoned []string `cbor:"9,keyasint,omitempty"`
	// seq numbers the record's last change of state; queue items with an older one are stale.
	seq uint64
}

// queueItem is a record in a queue ordered by time; it is stale once the record's seq has changed.
type queueItem struct {
	rec *record
	seq uint64
}

// Table holds the records; it is a deterministic state machine, equal on all replicas.
type Table struct {
	retention      time.Duration
	maxRun         time.Duration
	maxRecords     int
	maxStoredBytes int
	maxAnswerBytes int

	clock   time.Time
	byKey   map[Key]*record
	running map[process]map[Key]*record
	// closed, started and stored are ordered by time, oldest first.
	closed      []queueItem
	started     []queueItem
	stored      []queueItem
	storedBytes int
	lastSeq     uint64
}

// Option sets a limit of a Table; all replicas need the same.
type Option func(*Table)

// WithRetention sets how long a closed record and its answer are kept, and so how long a key protects.
func WithRetention(d time.Duration) Option { return func(t *Table) { t.retention = d } }

// WithMaxRun sets how long an attempt may run before its outcome counts as unknown.
func WithMaxRun(d time.Duration) Option { return func(t *Table) { t.maxRun = d } }

// WithMaxRecords sets the maximum number of records.
func WithMaxRecords(n int) Option { return func(t *Table) { t.maxRecords = n } }

// WithAnswerLimits sets the maximum size of all stored answers and of a single one, in bytes.
func WithAnswerLimits(total, single int) Option {
	return func(t *Table) { t.maxStoredBytes, t.maxAnswerBytes = total, single }
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		retention:      defaultRetention,
		maxRun:         defaultMaxRun,
		maxRecords:     defaultMaxRecords,
		maxStoredBytes: defaultMaxStoredBytes,
		maxAnswerBytes: defaultMaxAnswerBytes,
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
	t.storedBytes, t.lastSeq, t.clock = 0, 0, time.Time{}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.byKey) }

// Running returns the number of records with a running attempt.
func (t *Table) Running() int {
	n := 0
	for _, m := range t.running {
		n += len(m)
	}
	return n
}

// Bytes returns the size of all stored answers.
func (t *Table) Bytes() int { return t.storedBytes }

// Begin records that an attempt is about to be sent, unless the key's record forbids it.
func (t *Table) Begin(now time.Time, b Begin) BeginReply {
	t.Expire(now)
	rec := t.byKey[b.Key]
	if rec == nil {
		if len(t.byKey) >= t.maxRecords {
			return BeginReply{Decision: DecisionFull}
		}
		rec = &record{Key: b.Key}
		t.byKey[b.Key] = rec
	}
	if rec.HasDigest && rec.Digest != b.Digest {
		return BeginReply{Decision: DecisionConflict}
	}
	if decision := rec.decide(b.Attempt); decision != DecisionRun {
		return BeginReply{Decision: decision, Answer: rec.Answer}
	}
	if rec.State == stateRunning {
		// The same attempt is resent because the first reply was lost.
		return BeginReply{Decision: DecisionRun}
	}
	rec.HasDigest = true
	rec.Digest = b.Digest
	rec.Attempt = b.Attempt
	rec.Process = process{Entry: b.Entry, Incarnation: b.Incarnation}
	t.setState(rec, stateRunning)
	return BeginReply{Decision: DecisionRun}
}

// decide returns the decision on an attempt's Begin in the record's state.
func (r *record) decide(attempt string) Decision {
	switch r.State {
	case stateRunning:
		if r.Attempt == attempt {
			return DecisionRun
		}
		return DecisionWait
	case stateDone:
		return DecisionDone
	case stateUnknown:
		return DecisionUnknown
	case stateNotRun:
		if r.Attempt == attempt || slices.Contains(r.Abandoned, attempt) {
			// The attempt was abandoned before this delayed Begin; it is never sent.
			return DecisionUnknown
		}
	}
	return DecisionRun
}

// abandon stores that an attempt is never sent.
func (r *record) abandon(attempt string) {
	if slices.Contains(r.Abandoned, attempt) {
		return
	}
	if len(r.Abandoned) == maxAbandoned {
		r.Abandoned = slices.Delete(r.Abandoned, 0, 1)
	}
	r.Abandoned = append(r.Abandoned, attempt)
}

// End closes an attempt; it returns false if the record is of another attempt or already closed.
func (t *Table) End(now time.Time, e End) bool {
	t.Expire(now)
	rec := t.byKey[e.Key]
	if rec == nil {
		return t.endBeforeBegin(e)
	}
	if e.Outcome == OutcomeNotRun && rec.State != stateDone {
		rec.abandon(e.Attempt)
	}
	if rec.Attempt != e.Attempt {
		return false
	}
	if rec.State != stateRunning && rec.State != stateUnknown {
		return false
	}
	switch e.Outcome {
	case OutcomeDone:
		t.storeAnswer(rec, e.Answer)
		t.setState(rec, stateDone)
	case OutcomeNotRun:
		t.setState(rec, stateNotRun)
	case OutcomeUnknown:
		t.setState(rec, stateUnknown)
	default:
		return false
	}
	return true
}

// endBeforeBegin stores an attempt that was abandoned before its Begin arrived.
func (t *Table) endBeforeBegin(e End) bool {
	if e.Outcome != OutcomeNotRun || len(t.byKey) >= t.maxRecords {
		return false
	}
	rec := &record{Key: e.Key, Attempt: e.Attempt}
	t.byKey[e.Key] = rec
	t.setState(rec, stateNotRun)
	return true
}

// ProcessLost marks the running attempts of a lost entry process as unknown: they may or may not have run.
func (t *Table) ProcessLost(now time.Time, entry string, incarnation uint64) {
	t.Expire(now)
	lost := slices.SortedFunc(maps.Values(t.running[process{Entry: entry, Incarnation: incarnation}]), bySeq)
	for _, rec := range lost {
		t.setState(rec, stateUnknown)
	}
}

// Expire removes closed records after their retention and marks attempts over the maximum run time as unknown.
func (t *Table) Expire(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
	for len(t.started) > 0 && t.canDequeue(t.started[0], t.maxRun) {
		it := t.started[0]
		t.started = t.started[1:]
		if it.isCurrent() {
			t.setState(it.rec, stateUnknown)
		}
	}
	for len(t.closed) > 0 && t.canDequeue(t.closed[0], t.retention) {
		it := t.closed[0]
		t.closed = t.closed[1:]
		if it.isCurrent() {
			t.dropAnswer(it.rec)
			delete(t.byKey, it.rec.Key)
		}
	}
}

func (it queueItem) isCurrent() bool { return it.rec.seq == it.seq }

// canDequeue reports whether an item can leave its queue: it is stale or at least d old.
func (t *Table) canDequeue(it queueItem, d time.Duration) bool {
	return !it.isCurrent() || t.clock.Sub(it.rec.Changed) >= d
}

// setState changes a record's state and appends it to the matching queue.
func (t *Table) setState(rec *record, to state) {
	if rec.State == stateRunning {
		delete(t.running[rec.Process], rec.Key)
		if len(t.running[rec.Process]) == 0 {
			delete(t.running, rec.Process)
		}
	}
	t.lastSeq++
	rec.seq = t.lastSeq
	rec.State = to
	rec.Changed = t.clock
	if to != stateRunning {
		t.closed = append(t.closed, queueItem{rec, rec.seq})
		return
	}
	if t.running[rec.Process] == nil {
		t.running[rec.Process] = make(map[Key]*record)
	}
	t.running[rec.Process][rec.Key] = rec
	t.started = append(t.started, queueItem{rec, rec.seq})
}

// storeAnswer stores an answer; over the limit the oldest answers are dropped, but never a record.
func (t *Table) storeAnswer(rec *record, a Answer) {
	if a.size() > t.maxAnswerBytes {
		return
	}
	rec.Answer = a
	t.storedBytes += a.size()
	// The caller sets the record to done right after this, with the next seq.
	t.stored = append(t.stored, queueItem{rec, t.lastSeq + 1})
	for t.storedBytes > t.maxStoredBytes {
		it := t.stored[0]
		t.stored = t.stored[1:]
		if it.rec == rec || it.isCurrent() {
			t.dropAnswer(it.rec)
		}
	}
}

func (t *Table) dropAnswer(rec *record) {
	t.storedBytes -= rec.Answer.size()
	rec.Answer = Answer{}
}

// bySeq orders records by their last change of state, equal on all replicas.
func bySeq(a, b *record) int { return cmp.Compare(a.seq, b.seq) }

// IsStorable reports whether an answer is within the default storage limit; a larger one needn't be sent.
func (a Answer) IsStorable() bool { return a.size() <= defaultMaxAnswerBytes }

func (a Answer) size() int { return len(a.Type) + len(a.Body) }
