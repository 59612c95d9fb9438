package matcher

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// RunLimit is how often one request may run.
type RunLimit int

// The limits on runs of one request.
const (
	// AtMostOnce allows at most one run.
	AtMostOnce RunLimit = iota
	// Repeatable allows more than one run.
	Repeatable
)

// Route maps the requests for a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat RunLimit
	// Stream reports that the answer is a stream of events.
	Stream bool
	// Resumable reports that a stream may be resumed at another backend server.
	Resumable bool
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// LatencyTarget is the latency target of an answer; for streams, of the first event.
	LatencyTarget time.Duration
	// MaxPause is the target for the longest pause between two events of a stream.
	MaxPause time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Attempts limits the backend servers that one request may be sent to.
	Attempts int
	// Shares are the services that answer, by weight.
	Shares []Share
	// Public reports that requests need no key.
	Public bool
}

// Share is the weight of one service in a route.
type Share struct {
	Service string
	Weight  float64
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Repeat == Repeatable || r.Stream && r.Resumable }

// Serves reports whether the service is one of those that answer.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Pick returns the service for a point in [0, 1), or an empty string if no weight is above 0.
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
	// MaxConns limits the connections that one backend server accepts from all callers.
	MaxConns int
	// Slots is the number of requests that an engine runs at once; 0 for plain services, which don't report it.
	Slots int
	// AdapterSlots is the number of adapters that an engine holds.
	AdapterSlots int
	// LoadsPerSecond limits the rate at which loads of base models start, over all engines.
	LoadsPerSecond float64
	Models         []Model
	// MemoryTokens is the memory of an engine in tokens, 0 if unknown.
	MemoryTokens int
	// EventTokens is the number of tokens in an event of a stream, 0 if unknown.
	EventTokens int
}

// Limits holds the size and time limits of clients' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// Header is the time limit for reading a request's header, Idle for an unused connection.
	Header time.Duration
	Idle   time.Duration
}

// Table is one immutable version of the routes, services and client accounts.
type Table struct {
	version       uint64
	limits        Limits
	services      map[string]*Service
	hosts         map[string][]*Route
	accounts      []*Account
	accountsByKey map[KeyHash]*Account
}

// New returns the table of a configuration, or an error that lists every invalid field with its path.
func New(version uint64, routes []Route, services []Service, limits Limits, accounts ...Account) (*Table, error) {
	t := &Table{
		version: version, limits: limits, services: make(map[string]*Service), hosts: make(map[string][]*Route),
		accountsByKey: make(map[KeyHash]*Account),
	}
	problems := t.addAccounts(accounts)
	for i := range services {
		s := &services[i]
		if s.Name == "" || t.services[s.Name] != nil {
			problems = append(problems, fmt.Sprintf("services[%d].name: missing or used twice", i))
			continue
		}
		t.services[s.Name] = s
	}
	for i := range routes {
		for _, reason := range t.addRoute(&routes[i]) {
			problems = append(problems, fmt.Sprintf("routes[%d].%s", i, reason))
		}
	}
	if len(problems) > 0 {
		return nil, errors.New(strings.Join(problems, "; "))
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	return t, nil
}

// addRoute adds a route and returns its invalid fields.
func (t *Table) addRoute(r *Route) []string {
	var problems []string
	if r.Host == "" {
		problems = append(problems, "host: missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		problems = append(problems, "prefix: must begin and end with a slash")
	}
	if r.Timeout <= 0 {
		problems = append(problems, "timeout: must be above 0")
	}
	var sum float64
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			problems = append(problems, fmt.Sprintf("service: %q is unknown", s.Service))
		}
		if s.Weight < 0 {
			problems = append(problems, "weight: must not be below 0")
		}
		sum += s.Weight
	}
	if sum <= 0 {
		problems = append(problems, "weights: add up to 0")
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.hosts[host] {
		if other.Prefix == r.Prefix {
			problems = append(problems, fmt.Sprintf("prefix: route %q has the same host and prefix", other.Name))
		}
	}
	t.hosts[host] = append(t.hosts[host], r)
	return problems
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// LongestTimeout returns the longest time that a route gives a request.
func (t *Table) LongestTimeout() time.Duration {
	var longest time.Duration
	for _, routes := range t.hosts {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Resumes reports whether a route allows streams of a service to be resumed.
func (t *Table) Resumes(service string) bool {
	for _, routes := range t.hosts {
		if slices.ContainsFunc(routes, func(r *Route) bool { return r.Resumable && r.Serves(service) }) {
			return true
		}
	}
	return false
}

// Limits returns the limits of clients' requests.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the name and whether it exists.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route with the longest prefix of the path and whether there is one; host must be in lower case.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
