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

// maxTimeMillis is the latest time of a command, in milliseconds since 1970: the end of 9999, for the audit trail.
const maxTimeMillis = 253_402_300_799_000

// machine is the replicated state machine; the log applies to it, others read it under mu.
type machine struct {
	mu          sync.Mutex
	index       uint64
	now         time.Time
	leaderEpoch uint64
	config      *configurer.State
	trail       *auditor.Trail
	bookings    *recorder.Table
	drains      map[string]bool
	// bookers are the entry processes that began bookings and aren't known to be lost.
	bookers map[entryProcess]bool
	// leaseholders are the entry processes that may hold a lease.
	leaseholders map[entryProcess]bool
	// catalogDeltas holds the catalog's deltas by revision for the streams to entries.
	catalogDeltas *spreader.State
	// changed signals that catalogDeltas or drains changed.
	changed chan struct{}
}

type machineSnapshot struct {
	Index        uint64         `cbor:"1,keyasint"`
	NowMillis    int64          `cbor:"2,keyasint"`
	LeaderEpoch  uint64         `cbor:"3,keyasint"`
	Config       []byte         `cbor:"4,keyasint"`
	Trail        []byte         `cbor:"5,keyasint"`
	Bookings     []byte         `cbor:"6,keyasint"`
	Drains       []string       `cbor:"7,keyasint"`
	Bookers      []entryProcess `cbor:"8,keyasint"`
	Leaseholders []entryProcess `cbor:"9,keyasint"`
}

func newMachine() *machine {
	return &machine{
		config:        configurer.NewState(),
		trail:         auditor.New(),
		bookings:      recorder.New(),
		drains:        make(map[string]bool),
		bookers:       make(map[entryProcess]bool),
		leaseholders:  make(map[entryProcess]bool),
		catalogDeltas: spreader.New(),
		changed:       make(chan struct{}, 1),
	}
}

// Apply implements runner.StateMachine.
func (m *machine) Apply(index uint64, cmd []byte) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	out, err := encoder.Marshal(m.execute(cmd))
	if err != nil {
		// A result holds only plain types, so no command leads here.
		return nil, nil
	}
	return out, nil
}

func (m *machine) execute(data []byte) result {
	var cmd command
	if err := encoder.Unmarshal(data, &cmd); err != nil {
		return result{Err: err.Error()}
	}
	if cmd.NowMillis < 0 || cmd.NowMillis > maxTimeMillis {
		return result{Err: "the command's time is out of range"}
	}
	if at := time.UnixMilli(cmd.NowMillis).UTC(); at.After(m.now) {
		m.now = at
	}
	switch {
	case cmd.NewLeaderEpoch:
		m.leaderEpoch++
		m.bookings.Expire(m.now)
		return result{LeaderEpoch: m.leaderEpoch}
	case cmd.Change != nil:
		return m.applyChange(*cmd.Change)
	case cmd.Bookings != nil:
		return m.applyBookings(cmd.Bookings)
	case cmd.Lost != nil:
		for _, l := range cmd.Lost {
			m.bookings.ProcessLost(m.now, l.Entry, l.Incarnation)
			delete(m.bookers, l)
			delete(m.leaseholders, l)
		}
		return result{}
	case cmd.Joined != nil:
		for _, p := range cmd.Joined {
			m.leaseholders[p] = true
		}
		return result{}
	case cmd.Drain != nil:
		return m.applyDrain(*cmd.Drain)
	case cmd.Replica != nil:
		m.addAuditRecord(cmd.Replica.Origin, cmd.Replica.Action, []configurer.Diff{{
			Ref: configurer.Ref{Kind: "replica", Name: strconv.FormatUint(cmd.Replica.ID, 10)},
		}})
		return result{}
	default:
		return result{Err: "empty command"}
	}
}

func (m *machine) applyChange(c changeCommand) result {
	reply, diffs := m.config.Apply(c.Change)
	out := result{Reply: &reply}
	if len(diffs) > 0 && reply.Outcome == configurer.OutcomeAccepted {
		items := make([]spreader.Item, 0, len(diffs))
		for _, d := range diffs {
			items = append(items, d.Item())
		}
		if err := m.catalogDeltas.Change(reply.Revision, items); err != nil {
			// Unreachable: each change raises the catalog's revision by one.
			out.Err = err.Error()
		}
		m.addAuditRecord(c.Origin, c.Action, diffs)
		m.signalChanged()
	}
	if reply.Outcome == configurer.OutcomeConflict {
		out.Winner = m.winningRecord(c.Change.ExpectedRevision, reply)
	}
	return out
}

// winningRecord returns the audit record of the accepted change with which another one conflicts.
func (m *machine) winningRecord(expect uint64, reply configurer.Reply) *auditor.Record {
	rec, ok := m.trail.ByRevision(expect + 1)
	if reply.ConflictingVersion.Name != "" {
		if adapter, version, err := configurer.ParseVersion(reply.ConflictingVersion.Name); err == nil {
			rec, ok = m.trail.ByVersion(adapter, version)
		}
	}
	if !ok {
		return nil
	}
	return &rec
}

func (m *machine) addAuditRecord(o origin, action auditor.Action, items []configurer.Diff) {
	m.trail.Add(auditor.Record{
		Revision: m.config.Catalog().Revision(), At: m.now.Truncate(time.Second),
		Operator: o.Operator, ClientAddr: o.From, Change: o.Change, Action: action, Items: items,
	})
}

func (m *machine) applyBookings(list []bookingCommand) result {
	m.bookings.Expire(m.now)
	out := result{Begun: make([]recorder.BeginReply, len(list))}
	for i, b := range list {
		switch {
		case b.Begin != nil:
			out.Begun[i] = m.beginBooking(*b.Begin)
		case b.End != nil:
			m.bookings.End(m.now, *b.End)
		}
	}
	return out
}

// beginBooking records a booking, unless its process was recorded as lost: a later Begin would keep its key running until the
// maximum duration of a booking. DecisionUnknown is correct whatever happened under the key before.
func (m *machine) beginBooking(b recorder.Begin) recorder.BeginReply {
	p := entryProcess{b.Entry, b.Incarnation}
	if !m.leaseholders[p] {
		return recorder.BeginReply{Decision: recorder.DecisionUnknown}
	}
	begun := m.bookings.Begin(m.now, b)
	if begun.Decision == recorder.DecisionRun {
		m.bookers[p] = true
	}
	return begun
}

func (m *machine) applyDrain(d drainCommand) result {
	key := d.Kind + "/" + d.Name
	if m.drains[key] != d.Undrain {
		return result{}
	}
	action := auditor.ActionDrain
	if d.Undrain {
		delete(m.drains, key)
		action = auditor.ActionUndrain
	} else {
		m.drains[key] = true
	}
	ref := configurer.Ref{Kind: configurer.ObjectKind(d.Kind), Name: d.Name}
	m.addAuditRecord(d.Origin, action, []configurer.Diff{{Ref: ref}})
	m.signalChanged()
	return result{}
}

func (m *machine) signalChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Snapshot implements runner.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snap := machineSnapshot{Index: m.index, NowMillis: m.now.UnixMilli(), LeaderEpoch: m.leaderEpoch}
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
	snap.Bookers, snap.Leaseholders = sortedProcesses(m.bookers), sortedProcesses(m.leaseholders)
	return encoder.Marshal(snap)
}

func sortedProcesses(set map[entryProcess]bool) []entryProcess {
	return slices.SortedFunc(maps.Keys(set), func(a, b entryProcess) int {
		if c := strings.Compare(a.Entry, b.Entry); c != 0 {
			return c
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

// Restore implements runner.StateMachine; an invalid snapshot leaves the state unchanged.
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
	if err := next.catalogDeltas.Replace(next.config.Catalog().Revision(), items); err != nil {
		return err
	}
	for _, key := range snap.Drains {
		next.drains[key] = true
	}
	for _, s := range snap.Bookers {
		next.bookers[s] = true
	}
	for _, s := range snap.Leaseholders {
		next.leaseholders[s] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.now, m.leaderEpoch = snap.Index, time.UnixMilli(snap.NowMillis).UTC(), snap.LeaderEpoch
	m.config, m.trail, m.bookings, m.catalogDeltas = next.config, next.trail, next.bookings, next.catalogDeltas
	m.drains, m.bookers, m.leaseholders = next.drains, next.bookers, next.leaseholders
	m.signalChanged()
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

// catalogDeltasSince returns the deltas from a catalog revision to the latest.
func (m *machine) catalogDeltasSince(revision uint64) []spreader.Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalogDeltas.Since(revision)
}

func (m *machine) drainedKeys() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.drains)
}

// absentProcesses returns the processes that began bookings or may hold a lease and for which live returns false.
func (m *machine) absentProcesses(live func(entry string, incarnation uint64) bool) []entryProcess {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []entryProcess
	for _, set := range []map[entryProcess]bool{m.bookers, m.leaseholders} {
		for _, s := range sortedProcesses(set) {
			if !live(s.Entry, s.Incarnation) && !slices.Contains(out, s) {
				out = append(out, s)
			}
		}
	}
	return out
}

// leasedProcesses returns the processes that may hold a lease.
func (m *machine) leasedProcesses() []entryProcess {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedProcesses(m.leaseholders)
}

func (m *machine) findAuditRecords(q auditor.Query, limit int) ([]auditor.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trail.Find(q, limit)
}

func (m *machine) isDrained(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drains[key]
}
