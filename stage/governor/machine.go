package governor

import (
	"slices"
	"sync/atomic"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/tracker"
)

// maxLeft is how many leaving incarnations of backend servers are kept; each is gone within seconds.
const maxLeft = 1024

// maxHeld bounds the adapters kept for an engine, about fifty times as many as it holds at once; maxHolders bounds the
// engines for which they are kept, and the servers kept: twice the largest deployment.
const (
	maxHeld    = 1024
	maxHolders = 1200
)

// firstID is the highest ID reserved for initial members; replicas that join get higher ones.
const firstID = 100

// command is one entry of the log. Exactly one field is set, except that Held, Servers and Gone come together.
type command struct {
	// Doc replaces the operator's document if its version is higher.
	Doc *Doc `cbor:"1,keyasint,omitempty"`
	// Version is a new version of an adapter.
	Version *tracker.Resident `cbor:"2,keyasint,omitempty"`
	// Left marks an incarnation of a backend server as leaving.
	Left *tracker.Key `cbor:"3,keyasint,omitempty"`
	// Era begins a new leader's epoch.
	Era bool `cbor:"4,keyasint,omitempty"`
	// Allot allocates an ID for a replica that joins.
	Allot bool `cbor:"5,keyasint,omitempty"`
	// Held lists the adapters that incarnations of engines loaded since the last record.
	Held []allocator.Holding `cbor:"6,keyasint,omitempty"`
	// Servers are new or changed incarnations of backend servers; Gone are the IDs of servers that are no longer listed.
	Servers []tracker.Instance `cbor:"7,keyasint,omitempty"`
	Gone    []string           `cbor:"8,keyasint,omitempty"`
}

// result is the result of a command.
type result struct {
	// Number is an epoch or a replica's ID.
	Number uint64 `cbor:"1,keyasint,omitempty"`
}

// Doc is the operator's document as it was sent.
type Doc struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// durable is the replicated state; it is immutable once published.
type durable struct {
	Doc      Doc                `cbor:"1,keyasint"`
	Versions []tracker.Resident `cbor:"2,keyasint,omitempty"`
	Left     []tracker.Key      `cbor:"3,keyasint,omitempty"`
	Era      uint64             `cbor:"4,keyasint"`
	LastID   uint64             `cbor:"5,keyasint"`
	// Applied counts the applied commands, so that readers can detect changes.
	Applied uint64 `cbor:"6,keyasint"`
	// Held are the adapters that incarnations of engines loaded, in the order of their last loads.
	Held []allocator.Holding `cbor:"7,keyasint,omitempty"`
	// Servers are the backend servers listed last, so that they are usable as soon as there is a leader again.
	Servers []tracker.Instance `cbor:"8,keyasint,omitempty"`
}

// machine is the replicated state machine; only the log's goroutine writes it, others read the published state.
type machine struct {
	state   atomic.Pointer[durable]
	changed func()
}

func newMachine(changed func()) *machine {
	m := &machine{changed: changed}
	m.state.Store(&durable{LastID: firstID})
	return m
}

// now returns the state after the last applied command.
func (m *machine) now() *durable { return m.state.Load() }

// Apply implements runner.Machine.
func (m *machine) Apply(_ uint64, data []byte) []byte {
	var cmd command
	if err := encoder.Unmarshal(data, &cmd); err != nil {
		// A command of a later release that can't be decoded changes nothing.
		return nil
	}
	next := *m.now()
	next.Applied++
	var res result
	switch {
	case cmd.Doc != nil:
		if cmd.Doc.Version > next.Doc.Version {
			next.Doc = *cmd.Doc
		}
	case cmd.Version != nil:
		next.Versions = withVersion(next.Versions, *cmd.Version)
	case cmd.Left != nil:
		next.Left = withLeft(next.Left, *cmd.Left)
	case cmd.Era:
		next.Era++
		res.Number = next.Era
	case cmd.Allot:
		next.LastID++
		res.Number = next.LastID
	default:
		next.Held = withHeld(next.Held, cmd.Held)
		next.Servers = withServers(next.Servers, cmd.Servers, cmd.Gone)
	}
	m.state.Store(&next)
	m.changed()
	out, err := encoder.Marshal(res)
	if err != nil {
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

// withLeft returns a list that has the key and drops the oldest beyond the bound.
func withLeft(list []tracker.Key, k tracker.Key) []tracker.Key {
	for _, old := range list {
		if old == k {
			return list
		}
	}
	out := append(append(make([]tracker.Key, 0, len(list)+1), list...), k)
	return out[max(len(out)-maxLeft, 0):]
}

// withHeld returns the list merged with more. It drops earlier incarnations of an engine and the oldest beyond the bounds.
func withHeld(list, more []allocator.Holding) []allocator.Holding {
	out := slices.Clone(list)
	for _, h := range more {
		out = slices.DeleteFunc(out, func(old allocator.Holding) bool {
			return old.Engine.ID == h.Engine.ID && old.Engine.Born < h.Engine.Born
		})
		i := slices.IndexFunc(out, func(old allocator.Holding) bool { return old.Engine == h.Engine })
		if i < 0 {
			out = append(out, allocator.Holding{Engine: h.Engine})
			i = len(out) - 1
		}
		// An adapter that is loaded again moves to the end.
		kept := slices.DeleteFunc(slices.Clone(out[i].Adapters), func(ad tracker.Adapter) bool { return slices.Contains(h.Adapters, ad) })
		all := slices.Concat(kept, h.Adapters)
		out[i].Adapters = all[max(len(all)-maxHeld, 0):]
	}
	return out[max(len(out)-maxHolders, 0):]
}

// withServers returns the list with servers added, updated and removed; an earlier incarnation never replaces a later one.
func withServers(list, came []tracker.Instance, gone []string) []tracker.Instance {
	if len(came)+len(gone) == 0 {
		return list
	}
	out := slices.DeleteFunc(slices.Clone(list), func(in tracker.Instance) bool { return slices.Contains(gone, in.Key.ID) })
	for _, in := range came {
		i := slices.IndexFunc(out, func(old tracker.Instance) bool { return old.Key.ID == in.Key.ID })
		switch {
		case i < 0:
			out = append(out, in)
		case out[i].Key.Born <= in.Key.Born:
			out[i] = in
		}
	}
	return out[max(len(out)-maxHolders, 0):]
}

// Snapshot implements runner.Machine.
func (m *machine) Snapshot() ([]byte, error) { return encoder.Marshal(m.now()) }

// Restore implements runner.Machine.
func (m *machine) Restore(data []byte) error {
	var next durable
	if err := encoder.Unmarshal(data, &next); err != nil {
		return err
	}
	m.state.Store(&next)
	m.changed()
	return nil
}

// newVersions returns the elements of now that aren't in old.
func newVersions(old, now []tracker.Resident) []tracker.Resident {
	if isSame(old, now) {
		return nil
	}
	known := make(map[tracker.Resident]bool, len(old))
	for _, v := range old {
		known[v] = true
	}
	return slices.DeleteFunc(slices.Clone(now), func(v tracker.Resident) bool { return known[v] })
}

// newLeaves returns the elements of now that aren't in old.
func newLeaves(old, now []tracker.Key) []tracker.Key {
	if isSame(old, now) {
		return nil
	}
	known := make(map[tracker.Key]bool, len(old))
	for _, k := range old {
		known[k] = true
	}
	return slices.DeleteFunc(slices.Clone(now), func(k tracker.Key) bool { return known[k] })
}

// isSame reports whether two published lists share their array; published lists are immutable.
func isSame[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
