package matcher

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Repeat says how often one request may run.
type Repeat int

// The rules for repeating a request.
const (
	// Once allows one run at most.
	Once Repeat = iota
	// Again allows more than one run.
	Again
)

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Stream says that the answer is a series of events.
	Stream bool
	// Resumable says that a stream may go on at another backend server.
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is on time; for streams, its first event.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Rank orders routes by urgency; 0 goes first.
	Rank int
	// Attempts bounds the backend servers that one request may be sent to.
	Attempts int
	// Shares are the services that answer, by weight.
	Shares []Share
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  float64
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Repeat == Again || r.Stream && r.Resumable }

// Pick returns the service for a point from 0 up to but not including 1.
func (r *Route) Pick(point float64) string {
	var sum float64
	for _, s := range r.Shares {
		sum += max(s.Weight, 0)
	}
	for _, s := range r.Shares {
		if point -= max(s.Weight, 0) / sum; point < 0 {
			return s.Service
		}
	}
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}

// Model is a base model that engines of a service may hold.
type Model struct {
	Name     string
	Adapters int
	// LoadTime is how long engines take to load the model's weights.
	LoadTime time.Duration
}

// Service is a set of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections that one backend server accepts from all callers.
	MaxConns int
	// Slots is how many requests an engine runs at once; 0 for plain services, which do not say.
	Slots int
	// AdapterSlots is how many adapters an engine holds.
	AdapterSlots int
	// LoadsPerSecond is how often a load of a base model may begin, over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// Header is how long a request's header may take, Idle how long a connection may be unused.
	Header time.Duration
	Idle   time.Duration
}

// Table is one version of the routes and services; it is never changed.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route
}

// New returns the table of a configuration, or an error that lists all findings with their places.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{version: version, limits: limits, services: make(map[string]*Service), hosts: make(map[string][]*Route)}
	var found []string
	for i := range services {
		s := &services[i]
		if s.Name == "" || t.services[s.Name] != nil {
			found = append(found, fmt.Sprintf("services[%d].name: missing or used twice", i))
			continue
		}
		t.services[s.Name] = s
	}
	for i := range routes {
		for _, reason := range t.add(&routes[i]) {
			found = append(found, fmt.Sprintf("routes[%d].%s", i, reason))
		}
	}
	if len(found) > 0 {
		return nil, errors.New(strings.Join(found, "; "))
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	return t, nil
}

// add checks a route and takes it up.
func (t *Table) add(r *Route) []string {
	var found []string
	if r.Host == "" {
		found = append(found, "host: missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found = append(found, "prefix: must begin and end with a slash")
	}
	if r.Timeout <= 0 {
		found = append(found, "timeout: must be above 0")
	}
	var sum float64
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			found = append(found, fmt.Sprintf("service: %q is unknown", s.Service))
		}
		if s.Weight < 0 {
			found = append(found, "weight: must not be below 0")
		}
		sum += s.Weight
	}
	if sum <= 0 {
		found = append(found, "weights: add up to 0")
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.hosts[host] {
		if other.Prefix == r.Prefix {
			found = append(found, fmt.Sprintf("prefix: route %q has the same host and prefix", other.Name))
		}
	}
	t.hosts[host] = append(t.hosts[host], r)
	return found
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what bounds clients.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a request, which has the longest prefix of its path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
