package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"redwingstage.org/serving/configurer"
)

// IsolationLimit is how long after its lease expired an owner keeps sending requests to resident adapters.
const IsolationLimit = 10 * time.Second

// Server is a backend server as it announced itself.
type Server struct {
	Name        string
	Kind        configurer.Kind
	Addr        string
	Zone        string
	Service     string
	Incarnation string
	Slots       int
	Batch       int
	Fenced      bool
	Leaving     bool
}

// Entry is a live entry process.
type Entry struct {
	Name        string
	Incarnation uint64
	Addr        string
	Zone        string
}

// Owner is the one entry that may send requests and orders to a backend server.
type Owner struct {
	Entry string
	Addr  string
	Epoch uint64
	// Clean means that the previous owner released the server or sent no order, so that the first order need not wait.
	Clean bool
	// OrderAfter is the wait from the grant to the first order, in which a previous owner's lease expires.
	OrderAfter time.Duration
	// Pinned are the adapters that still serve requests of the previous owner, as it reports them.
	Pinned []configurer.Target
}

// Roster is an immutable snapshot of the live entries, backend servers and owners at one revision.
type Roster struct {
	revision uint64
	servers  map[string]Server
	services map[string][]Server
	owners   map[string]Owner
	entries  []Entry
}

// NewRoster builds a roster; owners are by server name.
func NewRoster(revision uint64, servers []Server, entries []Entry, owners map[string]Owner) *Roster {
	r := &Roster{
		revision: revision,
		servers:  make(map[string]Server, len(servers)),
		services: make(map[string][]Server),
		owners:   owners,
		entries:  entries,
	}
	for _, s := range servers {
		r.servers[s.Name] = s
		r.services[s.Service] = append(r.services[s.Service], s)
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	}
	return r
}

// Revision returns the roster's revision; within a control leader's term it only grows.
func (r *Roster) Revision() uint64 { return r.revision }

// Server returns the backend server with the name.
func (r *Roster) Server(name string) (Server, bool) {
	s, ok := r.servers[name]
	return s, ok
}

// Servers returns the backend servers of a service by name, including leaving ones; the caller must not modify the slice.
func (r *Roster) Servers(service string) []Server { return r.services[service] }

// Owner returns the owner of a backend server.
func (r *Roster) Owner(server string) (Owner, bool) {
	o, ok := r.owners[server]
	return o, ok
}

// Owners calls f for every backend server that has an owner, in name order.
func (r *Roster) Owners(f func(server string, o Owner)) {
	for _, name := range slices.Sorted(maps.Keys(r.owners)) {
		f(name, r.owners[name])
	}
}

// Entries returns the live entries; the caller must not modify the slice.
func (r *Roster) Entries() []Entry { return r.entries }

// Permit allows one adapter load from the weight store.
type Permit struct {
	ID      uint64
	Expires time.Time
}
