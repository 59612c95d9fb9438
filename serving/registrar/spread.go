package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/configurer"
)

// wireServer, wireEntry and wireOwner are the encoded values of roster items.
type wireServer struct {
	Kind        configurer.Kind `cbor:"1,keyasint"`
	Addr        string          `cbor:"2,keyasint"`
	Zone        string          `cbor:"3,keyasint,omitempty"`
	Service     string          `cbor:"4,keyasint"`
	Incarnation string          `cbor:"5,keyasint"`
	Slots       int             `cbor:"6,keyasint,omitempty"`
	Batch       int             `cbor:"7,keyasint,omitempty"`
	Fenced      bool            `cbor:"8,keyasint,omitempty"`
	Leaving     bool            `cbor:"9,keyasint,omitempty"`
}

type wireEntry struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint,omitempty"`
}

type wireOwner struct {
	Entry  string       `cbor:"1,keyasint"`
	Addr   string       `cbor:"2,keyasint"`
	Epoch  uint64       `cbor:"3,keyasint"`
	Clean  bool         `cbor:"4,keyasint,omitempty"`
	After  int64        `cbor:"5,keyasint,omitempty"`
	Pinned []wireTarget `cbor:"6,keyasint,omitempty"`
}

type wireTarget struct {
	Service string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Version int    `cbor:"3,keyasint,omitempty"`
}

// Changes returns the roster items that changed since the last call, for spreading.
func (r *Registry) Changes() ([]spreader.Item, error) {
	items := make([]spreader.Item, 0, len(r.dirty))
	for _, key := range slices.Sorted(maps.Keys(r.dirty)) {
		kind, name, _ := strings.Cut(key, "/")
		value, err := r.value(kind, name)
		if err != nil {
			return nil, errors.Wrapf(err, "roster item %q", key)
		}
		items = append(items, spreader.Item{Key: key, Value: value})
	}
	clear(r.dirty)
	return items, nil
}

// value encodes a roster item; it is nil for a removed one.
func (r *Registry) value(kind, name string) ([]byte, error) {
	switch kind {
	case "s":
		if s, ok := r.Server(name); ok {
			return encoder.Marshal(wireServer{
				s.Kind, s.Addr, s.Zone, s.Service, s.Incarnation, s.Slots, s.Batch, s.Fenced, s.Leaving,
			})
		}
	case "e":
		if e, ok := r.Entry(name); ok {
			return encoder.Marshal(wireEntry{e.Incarnation, e.Addr, e.Zone})
		}
	case "o":
		if o, ok := r.Owner(name); ok {
			w := wireOwner{Entry: o.Entry, Addr: o.Addr, Epoch: o.Epoch, Clean: o.Clean, After: int64(o.OrderAfter)}
			for _, t := range o.Pinned {
				w.Pinned = append(w.Pinned, wireTarget(t))
			}
			return encoder.Marshal(w)
		}
	}
	return nil, nil
}

// Server returns a listed backend server; a drained one is marked as leaving.
func (r *Registry) Server(name string) (Server, bool) {
	s, ok := r.servers[name]
	if !ok {
		return Server{}, false
	}
	out := s.server
	out.Leaving = out.Leaving || r.drains["server/"+name]
	return out, true
}

// Entry returns the newest live process of an entry.
func (r *Registry) Entry(name string) (Entry, bool) {
	var best Entry
	found := false
	for _, m := range r.members {
		if m.entry.Name == name && (!found || m.entry.Incarnation > best.Incarnation) {
			best, found = m.entry, true
		}
	}
	return best, found
}

// Owner returns the owner of a server, none while the server moves.
func (r *Registry) Owner(server string) (Owner, bool) {
	g, ok := r.granter.Holder(server)
	if _, moving := r.moves[server]; !ok || moving {
		return Owner{}, false
	}
	m, o := r.members[g.Holder], r.ownerships[server]
	if m == nil || o == nil {
		return Owner{}, false
	}
	return Owner{
		Entry: m.entry.Name, Addr: m.entry.Addr, Epoch: g.Epoch, Clean: o.clean, OrderAfter: o.orderAfter, Pinned: o.pinned,
	}, true
}

// EntryState is the state of an entry that operators see.
type EntryState struct {
	Entry    Entry
	Holder   string
	Servers  int
	Draining bool
}

// Members returns the entries with a lease, by holder name.
func (r *Registry) Members() []EntryState {
	out := make([]EntryState, 0, len(r.members))
	for _, h := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[h]
		out = append(out, EntryState{
			Entry: m.entry, Holder: h, Servers: r.granter.KeyCount(h), Draining: m.leaving || r.drains["entry/"+m.entry.Name],
		})
	}
	return out
}

// All reports whether f returns true for every entry with a lease.
func (r *Registry) All(f func(holder string) bool) bool {
	for h := range r.members {
		if !f(h) {
			return false
		}
	}
	return true
}

// ServerNames returns the names of the listed backend servers in order.
func (r *Registry) ServerNames() []string { return slices.Sorted(maps.Keys(r.servers)) }

// With returns the roster at a later revision with the items put or removed; full starts from an empty roster.
func (r *Roster) With(revision uint64, full bool, items []spreader.Item) (*Roster, error) {
	hasPrefix := func(prefix string) bool {
		return slices.ContainsFunc(items, func(it spreader.Item) bool { return strings.HasPrefix(it.Key, prefix) })
	}
	next := *r
	next.revision = revision
	if full {
		next = Roster{}
	}
	// Maps and slices that no item changes are shared with the previous roster.
	serversChanged := full || hasPrefix("s/")
	if serversChanged {
		next.servers = cloneMap(next.servers)
	}
	if full || hasPrefix("o/") {
		next.owners = cloneMap(next.owners)
	}
	if hasPrefix("e/") {
		next.entries = slices.Clone(next.entries)
	}
	for _, it := range items {
		if err := next.put(it); err != nil {
			return nil, errors.Wrapf(err, "item %q", it.Key)
		}
	}
	if !serversChanged {
		return &next, nil
	}
	return NewRoster(revision, slices.Collect(maps.Values(next.servers)), next.entries, next.owners), nil
}

// cloneMap copies a map; the copy of a nil map is empty.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// OwnerKey returns the server whose owner an item sets or removes; false means an item of another kind.
func OwnerKey(it spreader.Item) (string, bool) { return strings.CutPrefix(it.Key, "o/") }

func (r *Roster) put(it spreader.Item) error {
	kind, name, _ := strings.Cut(it.Key, "/")
	switch kind {
	case "s":
		return r.putServer(name, it.Value)
	case "e":
		return r.putEntry(name, it.Value)
	case "o":
		return r.putOwner(name, it.Value)
	}
	return nil
}

func (r *Roster) putServer(name string, value []byte) error {
	delete(r.servers, name)
	if value == nil {
		return nil
	}
	var w wireServer
	if err := encoder.Unmarshal(value, &w); err != nil {
		return err
	}
	r.servers[name] = Server{
		name, w.Kind, w.Addr, w.Zone, w.Service, w.Incarnation, w.Slots, w.Batch, w.Fenced, w.Leaving,
	}
	return nil
}

func (r *Roster) putEntry(name string, value []byte) error {
	i, found := slices.BinarySearchFunc(r.entries, name, func(e Entry, name string) int {
		return strings.Compare(e.Name, name)
	})
	if found {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
	if value == nil {
		return nil
	}
	var w wireEntry
	if err := encoder.Unmarshal(value, &w); err != nil {
		return err
	}
	r.entries = slices.Insert(r.entries, i, Entry{Name: name, Incarnation: w.Incarnation, Addr: w.Addr, Zone: w.Zone})
	return nil
}

func (r *Roster) putOwner(server string, value []byte) error {
	delete(r.owners, server)
	if value == nil {
		return nil
	}
	var w wireOwner
	if err := encoder.Unmarshal(value, &w); err != nil {
		return err
	}
	o := Owner{Entry: w.Entry, Addr: w.Addr, Epoch: w.Epoch, Clean: w.Clean, OrderAfter: time.Duration(w.After)}
	for _, t := range w.Pinned {
		o.Pinned = append(o.Pinned, configurer.Target(t))
	}
	r.owners[server] = o
	return nil
}

// Counts returns the numbers of entries with a lease, of listed backend servers and of owned ones.
func (r *Registry) Counts() (entries, servers, owned int) {
	for name := range r.servers {
		if _, ok := r.granter.Holder(name); ok {
			owned++
		}
	}
	return len(r.members), len(r.servers), owned
}
