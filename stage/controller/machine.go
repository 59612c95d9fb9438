package controller

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/auditor"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/recorder"
)

// maxClock is the latest time of a command, in milliseconds since 1970: the end of 9999, which the audit trail can format.
const maxClock = 253_402_300_799_000

// machine is the replicated state machine; the log applies commands to it, others read it under mu.
type machine struct {
	mu       sync.Mutex
	index    uint64
	now      time.Time
	era      uint64
	config   *configurer.State
	trail    *auditor.Trail
	bookings *recorder.Table
	drains   map[string]bool
	// senders are the entry processes that began bookings and aren't known to be lost.
	senders map[process]bool
	// sessions are the entry processes that may hold a lease.
	sessions map[process]bool
	// spread holds the catalog's deltas by revision for the streams to entries.
	spread *spreader.State
	// changed signals that spread or drains changed.
	changed chan struct{}
}

type machineSnapshot struct {
	Index    uint64    `cbor:"1,keyasint"`
	Now      int64     `cbor:"2,keyasint"`
	Era      uint64    `cbor:"3,keyasint"`
	Config   []byte    `cbor:"4,keyasint"`
	Trail    []byte    `cbor:"5,keyasint"`
	Bookings []byte    `cbor:"6,keyasint"`
	Drains   []string  `cbor:"7,keyasint"`
	Senders  []process `cbor:"8,keyasint"`
	Sessions []process `cbor:"9,keyasint"`
}

func newMachine() *machine {
	return &machine{
		config:   configurer.NewState(),
		trail:    auditor.New(),
		bookings: recorder.New(),
		drains:   make(map[string]bool),
		senders:  make(map[process]bool),
		sessions: make(map[process]bool),
		spread:   spreader.New(),
		changed:  make(chan struct{}, 1),
	}
}

// Apply implements runner.Machine.
func (m *machine) Apply(index uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	out, err := encoder.Marshal(m.execute(cmd))
	if err != nil {
		// A result holds only plain types, so no command leads here.
		return nil
	}
	return out
}

func (m *machine) execute(data []byte) result {
	var cmd command
	if err := encoder.Unmarshal(data, &cmd); err != nil {
		return result{Bad: err.Error()}
	}
	if cmd.Now < 0 || cmd.Now > maxClock {
		return result{Bad: "the command's time is out of range"}
	}
	if at := time.UnixMilli(cmd.Now).UTC(); at.After(m.now) {
		m.now = at
	}
	switch {
	case cmd.Lead:
		m.era++
		m.bookings.Expire(m.now)
		return result{Era: m.era}
	case cmd.Change != nil:
		return m.change(*cmd.Change)
	case cmd.Bookings != nil:
		return m.book(cmd.Bookings)
	case cmd.Lost != nil:
		for _, l := range cmd.Lost {
			m.bookings.Lost(m.now, l.Entry, l.Incarnation)
			delete(m.senders, l)
			delete(m.sessions, l)
		}
		return result{}
	case cmd.Joined != nil:
		for _, p := range cmd.Joined {
			m.sessions[p] = true
		}
		return result{}
	case cmd.Drain != nil:
		return m.drain(*cmd.Drain)
	case cmd.Replica != nil:
		m.record(cmd.Replica.Origin, cmd.Replica.Action, []configurer.Diff{{
			Ref: configurer.Ref{Kind: "replica", Name: strconv.FormatUint(cmd.Replica.ID, 10)},
		}})
		return result{}
	default:
		return result{Bad: "empty command"}
	}
}

func (m *machine) change(c changeCommand) result {
	reply, diffs := m.config.Apply(c.Change)
	out := result{Reply: &reply}
	if len(diffs) > 0 && reply.Verdict == configurer.VerdictAccepted {
		items := make([]spreader.Item, 0, len(diffs))
		for _, d := range diffs {
			items = append(items, d.Item())
		}
		if err := m.spread.Change(reply.Revision, items); err != nil {
			// Unreachable: each change raises the catalog's revision by one.
			out.Bad = err.Error()
		}
		m.record(c.Origin, c.Action, diffs)
		m.wake()
	}
	if reply.Verdict == configurer.VerdictConflict {
		out.Winner = m.winner(c.Change.Expect, reply)
	}
	return out
}

// winner returns the audit record of the change that a conflicting one lost against.
func (m *machine) winner(expect uint64, reply configurer.Reply) *auditor.Record {
	rec, ok := m.trail.At(expect + 1)
	if reply.Winner.Name != "" {
		if adapter, version, err := configurer.ParseVersion(reply.Winner.Name); err == nil {
			rec, ok = m.trail.Made(adapter, version)
		}
	}
	if !ok {
		return nil
	}
	return &rec
}

func (m *machine) record(o origin, action auditor.Action, items []configurer.Diff) {
	m.trail.Add(auditor.Record{
		Revision: m.config.Catalog().Revision(), At: m.now.Truncate(time.Second),
		Operator: o.Operator, From: o.From, Change: o.Change, Action: action, Items: items,
	})
}

func (m *machine) book(list []bookingCommand) result {
	m.bookings.Expire(m.now)
	out := result{Begun: make([]recorder.Begun, len(list))}
	for i, b := range list {
		switch {
		case b.Begin != nil:
			out.Begun[i] = m.begin(*b.Begin)
		case b.End != nil:
			m.bookings.End(m.now, *b.End)
		}
	}
	return out
}

// begin records a booking, unless its process was recorded as lost: a Begin that arrives later would keep its key running
// until the maximum duration of a booking. The verdict "unknown" is correct whatever happened under the key before.
func (m *machine) begin(b recorder.Begin) recorder.Begun {
	p := process{b.Entry, b.Incarnation}
	if !m.sessions[p] {
		return recorder.Begun{Verdict: recorder.VerdictUnknown}
	}
	begun := m.bookings.Begin(m.now, b)
	if begun.Verdict == recorder.VerdictRun {
		m.senders[p] = true
	}
	return begun
}

func (m *machine) drain(d drainCommand) result {
	key := d.Kind + "/" + d.Name
	if m.drains[key] != d.Off {
		return result{}
	}
	action := auditor.ActionDrain
	if d.Off {
		delete(m.drains, key)
		action = auditor.ActionUndrain
	} else {
		m.drains[key] = true
	}
	ref := configurer.Ref{Kind: configurer.Object(d.Kind), Name: d.Name}
	m.record(d.Origin, action, []configurer.Diff{{Ref: ref}})
	m.wake()
	return result{}
}

func (m *machine) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Snapshot implements runner.Machine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snap := machineSnapshot{Index: m.index, Now: m.now.UnixMilli(), Era: m.era}
	var err error
	if snap.Config, err = m.config.Snapshot(); err != nil {
		return nil, err
	}
	if snap.Trail, err = m.trail.Snapshot(); err != nil {
		return nil, err
	}
	if snap.Bookings, err = m.bookings.Snapshot(); err != nil {
		return nil, err
	}
	snap.Drains = slices.Sorted(maps.Keys(m.drains))
	snap.Senders, snap.Sessions = sortedProcesses(m.senders), sortedProcesses(m.sessions)
	return encoder.Marshal(snap)
}

func sortedProcesses(set map[process]bool) []process {
	return slices.SortedFunc(maps.Keys(set), func(a, b process) int {
		if c := strings.Compare(a.Entry, b.Entry); c != 0 {
			return c
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

// Restore implements runner.Machine; an invalid snapshot leaves the state unchanged.
func (m *machine) Restore(data []byte) error {
	var snap machineSnapshot
	if err := encoder.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "control snapshot")
	}
	next := newMachine()
	if err := next.config.Restore(snap.Config); err != nil {
		return err
	}
	if err := next.trail.Restore(snap.Trail); err != nil {
		return err
	}
	if err := next.bookings.Restore(snap.Bookings); err != nil {
		return err
	}
	items, err := next.config.Catalog().Items()
	if err != nil {
		return err
	}
	if err := next.spread.Replace(next.config.Catalog().Revision(), items); err != nil {
		return err
	}
	for _, key := range snap.Drains {
		next.drains[key] = true
	}
	for _, s := range snap.Senders {
		next.senders[s] = true
	}
	for _, s := range snap.Sessions {
		next.sessions[s] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.now, m.era = snap.Index, time.UnixMilli(snap.Now).UTC(), snap.Era
	m.config, m.trail, m.bookings, m.spread = next.config, next.trail, next.bookings, next.spread
	m.drains, m.senders, m.sessions = next.drains, next.senders, next.sessions
	m.wake()
	return nil
}

// catalog returns the configuration after the last applied command.
func (m *machine) catalog() *configurer.Catalog {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Catalog()
}

// catalogRevision returns the revision of the configuration.
func (m *machine) catalogRevision() uint64 { return m.catalog().Revision() }

// since returns the deltas from a catalog revision to the latest.
func (m *machine) since(revision uint64) []spreader.Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spread.Since(revision)
}

func (m *machine) drained() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.drains)
}

// absent returns the processes that began bookings or may hold a lease and for which live returns false.
func (m *machine) absent(live func(entry string, incarnation uint64) bool) []process {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []process
	for _, set := range []map[process]bool{m.senders, m.sessions} {
		for _, s := range sortedProcesses(set) {
			if !live(s.Entry, s.Incarnation) && !slices.Contains(out, s) {
				out = append(out, s)
			}
		}
	}
	return out
}

// leased returns the processes that may hold a lease.
func (m *machine) leased() []process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedProcesses(m.sessions)
}

func (m *machine) audit(q auditor.Query, limit int) ([]auditor.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trail.Find(q, limit)
}

func (m *machine) isDrained(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drains[key]
}
