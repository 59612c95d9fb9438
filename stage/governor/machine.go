package governor

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
)

// maxLeaving is how many leaving incarnations of backend servers are kept; each ends within seconds.
const maxLeaving = 1024

// maxQuarantined is how many quarantined digests are kept.
const maxQuarantined = 512

// maxHeldPerEngine is how many adapters are kept of an engine, about fifty times what it holds at once, and maxServers
// how many engines and servers: twice the largest deployment.
const (
	maxHeldPerEngine = 1024
	maxServers       = 1200
)

// maxInitialID is the highest ID reserved for initial members; replicas that join get higher ones.
const maxInitialID = 100

// command is one entry of the log. Exactly one field is set, except that Held, Servers and RemovedServers come together.
type command struct {
	// Doc replaces the operator's document if its version is higher.
	Doc *Doc `cbor:"1,keyasint,omitempty"`
	// Version is a new version of an adapter.
	Version *tracker.Resident `cbor:"2,keyasint,omitempty"`
	// Leaving marks an incarnation of a backend server as leaving.
	Leaving *tracker.Key `cbor:"3,keyasint,omitempty"`
	// BeginLeaderEpoch begins a new leader epoch.
	BeginLeaderEpoch bool `cbor:"4,keyasint,omitempty"`
	// AllocateID allocates an ID for a replica that joins.
	AllocateID bool `cbor:"5,keyasint,omitempty"`
	// Held lists the adapters that incarnations of engines loaded since the last record.
	Held []allocator.Holding `cbor:"6,keyasint,omitempty"`
	// Servers are new or changed incarnations of backend servers; RemovedServers are the IDs of servers no longer listed.
	Servers        []tracker.Instance `cbor:"7,keyasint,omitempty"`
	RemovedServers []string           `cbor:"8,keyasint,omitempty"`
	// Quarantined is a digest whose requests are refused from now on; Released ends that.
	Quarantined *quarantiner.Digest `cbor:"9,keyasint,omitempty"`
	Released    *quarantiner.Digest `cbor:"10,keyasint,omitempty"`
	// FailedTrials, beside Quarantined, are the crashes under the digest's trials; LastFailedMS is the Unix time of the last
	// one in milliseconds, by the clock of the leader that proposes the command.
	FailedTrials []string `cbor:"11,keyasint,omitempty"`
	LastFailedMS int64    `cbor:"12,keyasint,omitempty"`
	// Software is a software version of which a server may begin streams from now on; Retired is one whose streams have all ended.
	Software *resumer.Version `cbor:"13,keyasint,omitempty"`
	Retired  *resumer.Version `cbor:"14,keyasint,omitempty"`
	// Level is the group's level from now on: all members know what builds of that level propose.
	Level uint64 `cbor:"15,keyasint,omitempty"`
}

// result is the result of a command.
type result struct {
	// Number is a leader epoch or a replica's ID.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// IsUnreadable is set if the command couldn't be decoded and changed nothing.
	IsUnreadable bool `cbor:"2,keyasint,omitempty"`
}

// Doc is the operator's document as it was sent.
type Doc struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// replicatedState is the replicated state; it is immutable once published.
type replicatedState struct {
	Doc         Doc                `cbor:"1,keyasint"`
	Versions    []tracker.Resident `cbor:"2,keyasint,omitempty"`
	Leaving     []tracker.Key      `cbor:"3,keyasint,omitempty"`
	LeaderEpoch uint64             `cbor:"4,keyasint"`
	LastID      uint64             `cbor:"5,keyasint"`
	// Applied counts the applied commands, so that readers can detect changes.
	Applied uint64 `cbor:"6,keyasint"`
	// Held are the adapters that incarnations of engines loaded, in the order of their last loads.
	Held []allocator.Holding `cbor:"7,keyasint,omitempty"`
	// Servers are the backend servers listed last, so that they are usable as soon as there is a leader again.
	Servers []tracker.Instance `cbor:"8,keyasint,omitempty"`
	// Quarantined are the digests of parts and requests that are refused.
	Quarantined []quarantiner.Digest `cbor:"9,keyasint,omitempty"`
	// FailedTrials are the quarantined digests with failed trials; releases before it had trials don't write it.
	FailedTrials []failedTrials `cbor:"10,keyasint,omitempty"`
	// Softwares are the software versions of which a server may have begun a stream that goes on, sorted.
	Softwares []resumer.Version `cbor:"11,keyasint,omitempty"`
	// Level is the highest level of which commands may be proposed.
	Level uint64 `cbor:"12,keyasint,omitempty"`
}

// failedTrials are the crashes under the trials of a quarantined digest.
type failedTrials struct {
	Digest  quarantiner.Digest `cbor:"1,keyasint"`
	Crashes []string           `cbor:"2,keyasint"`
	// LastMS is the Unix time of the last crash in milliseconds.
	LastMS int64 `cbor:"3,keyasint"`
}

// machine is the replicated state machine; only the log's goroutine writes it, others read the published state.
type machine struct {
	// level is the highest level that it knows.
	level    uint64
	state    atomic.Pointer[replicatedState]
	onChange func()
	// onUnreadable is called for a command that can't be decoded.
	onUnreadable func(index uint64, err error)
}

func newMachine(onChange func(), onUnreadable func(index uint64, err error)) *machine {
	m := &machine{level: commandLevel, onChange: onChange, onUnreadable: onUnreadable}
	m.state.Store(&replicatedState{LastID: maxInitialID})
	return m
}

// current returns the state after the last applied command.
func (m *machine) current() *replicatedState { return m.state.Load() }

// Apply implements runner.StateMachine. It returns an encoder.UnknownFieldError or a laterLevelError for a command of a later build.
func (m *machine) Apply(index uint64, data []byte) ([]byte, error) {
	var cmd command
	err := encoder.UnmarshalKnown(data, &cmd)
	var unknown *encoder.UnknownFieldError
	switch {
	case errors.As(err, &unknown):
		return nil, err
	case err != nil:
		// It changes nothing, at any replica: it is of an earlier release, which didn't check it.
		m.onUnreadable(index, err)
		return encodeResult(result{IsUnreadable: true}), nil
	case cmd.Level > m.level:
		return nil, &laterLevelError{level: cmd.Level, known: m.level}
	}
	return encodeResult(m.execute(cmd)), nil
}

// execute publishes the state after the command. A command without a field changes nothing: a record is one if other processes
// couldn't read any of it.
func (m *machine) execute(cmd command) result {
	next := *m.current()
	next.Applied++
	var res result
	switch {
	case cmd.Doc != nil:
		if cmd.Doc.Version > next.Doc.Version {
			next.Doc = *cmd.Doc
		}
	case cmd.Version != nil:
		next.Versions = withVersion(next.Versions, *cmd.Version)
	case cmd.Leaving != nil:
		next.Leaving = withLeaving(next.Leaving, *cmd.Leaving)
	case cmd.BeginLeaderEpoch:
		next.LeaderEpoch++
		res.Number = next.LeaderEpoch
	case cmd.AllocateID:
		next.LastID++
		res.Number = next.LastID
	case cmd.Quarantined != nil:
		next.Quarantined = withQuarantined(next.Quarantined, *cmd.Quarantined)
		next.FailedTrials = withFailedTrials(next.FailedTrials, next.Quarantined, failedTrials{*cmd.Quarantined, cmd.FailedTrials, cmd.LastFailedMS})
	case cmd.Released != nil:
		next.Quarantined = slices.DeleteFunc(slices.Clone(next.Quarantined), func(d quarantiner.Digest) bool { return d == *cmd.Released })
		next.FailedTrials = withFailedTrials(next.FailedTrials, next.Quarantined, failedTrials{Digest: *cmd.Released})
	case cmd.Software != nil:
		next.Softwares = withSoftware(next.Softwares, *cmd.Software)
	case cmd.Retired != nil:
		next.Softwares = slices.DeleteFunc(slices.Clone(next.Softwares), func(v resumer.Version) bool { return v == *cmd.Retired })
	case cmd.Level > 0:
		next.Level = max(next.Level, cmd.Level)
	default:
		next.Held = withHeld(next.Held, cmd.Held)
		next.Servers = withServers(next.Servers, cmd.Servers, cmd.RemovedServers)
	}
	m.state.Store(&next)
	m.onChange()
	return res
}

func encodeResult(res result) []byte {
	out, err := encoder.Marshal(res)
	if err != nil {
		// A result holds no text, so that it can always be encoded.
		return nil
	}
	return out
}

// withVersion returns a copy of the list with v's adapter at the higher of both versions.
func withVersion(list []tracker.Resident, v tracker.Resident) []tracker.Resident {
	out := make([]tracker.Resident, 0, len(list)+1)
	for _, r := range list {
		if r.Adapter == v.Adapter {
			v.Version = max(v.Version, r.Version)
			continue
		}
		out = append(out, r)
	}
	return append(out, v)
}

// withLeaving returns a list that has the key and drops the oldest beyond the bound.
func withLeaving(list []tracker.Key, k tracker.Key) []tracker.Key {
	for _, old := range list {
		if old == k {
			return list
		}
	}
	out := append(append(make([]tracker.Key, 0, len(list)+1), list...), k)
	return out[max(len(out)-maxLeaving, 0):]
}

// withQuarantined returns a list that has the digest and drops the oldest beyond the bound.
func withQuarantined(list []quarantiner.Digest, d quarantiner.Digest) []quarantiner.Digest {
	if slices.Contains(list, d) {
		return list
	}
	out := append(slices.Clone(list), d)
	return out[max(len(out)-maxQuarantined, 0):]
}

// withFailedTrials returns a copy of the list with a digest's failed trials, and with digests that are still quarantined only.
func withFailedTrials(list []failedTrials, quarantined []quarantiner.Digest, f failedTrials) []failedTrials {
	out := slices.DeleteFunc(slices.Clone(list), func(old failedTrials) bool {
		return old.Digest == f.Digest || !slices.Contains(quarantined, old.Digest)
	})
	if len(f.Crashes) > 0 {
		out = append(out, f)
	}
	return out
}

// failedTrials returns the crashes under the trials of a quarantined digest.
func (s *replicatedState) failedTrials(d quarantiner.Digest) quarantiner.FailedTrials {
	for _, f := range s.FailedTrials {
		if f.Digest == d {
			return quarantiner.FailedTrials{Crashes: f.Crashes, LastAt: time.UnixMilli(f.LastMS)}
		}
	}
	return quarantiner.FailedTrials{}
}

// withSoftware returns a sorted list that has the version.
func withSoftware(list []resumer.Version, v resumer.Version) []resumer.Version {
	i, ok := slices.BinarySearchFunc(list, v, resumer.Version.Compare)
	if ok {
		return list
	}
	return slices.Insert(slices.Clone(list), i, v)
}

// withHeld merges more into a copy of the list, without earlier incarnations of an engine and the oldest beyond the bounds.
func withHeld(list, more []allocator.Holding) []allocator.Holding {
	out := slices.Clone(list)
	for _, h := range more {
		out = slices.DeleteFunc(out, func(old allocator.Holding) bool {
			return old.Engine.ID == h.Engine.ID && old.Engine.StartedMS < h.Engine.StartedMS
		})
		i := slices.IndexFunc(out, func(old allocator.Holding) bool { return old.Engine == h.Engine })
		if i < 0 {
			out = append(out, allocator.Holding{Engine: h.Engine})
			i = len(out) - 1
		}
		// An adapter that is loaded again moves to the end.
		others := slices.DeleteFunc(slices.Clone(out[i].Adapters), func(ad tracker.Adapter) bool { return slices.Contains(h.Adapters, ad) })
		all := slices.Concat(others, h.Adapters)
		out[i].Adapters = all[max(len(all)-maxHeldPerEngine, 0):]
	}
	return out[max(len(out)-maxServers, 0):]
}

// withServers returns the list after the changes; an earlier incarnation never replaces a later one.
func withServers(list, updated []tracker.Instance, removed []string) []tracker.Instance {
	if len(updated)+len(removed) == 0 {
		return list
	}
	out := slices.DeleteFunc(slices.Clone(list), func(in tracker.Instance) bool { return slices.Contains(removed, in.Key.ID) })
	for _, in := range updated {
		i := slices.IndexFunc(out, func(old tracker.Instance) bool { return old.Key.ID == in.Key.ID })
		switch {
		case i < 0:
			out = append(out, in)
		case out[i].Key.StartedMS <= in.Key.StartedMS:
			out[i] = in
		}
	}
	return out[max(len(out)-maxServers, 0):]
}

// Snapshot implements runner.StateMachine.
func (m *machine) Snapshot() ([]byte, error) { return encoder.Marshal(m.current()) }

// Restore implements runner.StateMachine. It returns an encoder.UnknownFieldError or a laterLevelError for a snapshot of a later build.
func (m *machine) Restore(data []byte) error {
	var next replicatedState
	if err := encoder.UnmarshalKnown(data, &next); err != nil {
		return err
	}
	if next.Level > m.level {
		return &laterLevelError{level: next.Level, known: m.level}
	}
	m.state.Store(&next)
	m.onChange()
	return nil
}

// newVersions returns the elements of current that aren't in old.
func newVersions(old, current []tracker.Resident) []tracker.Resident {
	if isSameList(old, current) {
		return nil
	}
	known := make(map[tracker.Resident]bool, len(old))
	for _, v := range old {
		known[v] = true
	}
	return slices.DeleteFunc(slices.Clone(current), func(v tracker.Resident) bool { return known[v] })
}

// newLeaving returns the elements of current that aren't in old.
func newLeaving(old, current []tracker.Key) []tracker.Key {
	if isSameList(old, current) {
		return nil
	}
	known := make(map[tracker.Key]bool, len(old))
	for _, k := range old {
		known[k] = true
	}
	return slices.DeleteFunc(slices.Clone(current), func(k tracker.Key) bool { return known[k] })
}

// isSameList reports whether two published lists share their array; published lists are immutable.
func isSameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
