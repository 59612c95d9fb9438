package configurer

import (
	"strings"
	"time"
)

// Kind is the kind of a service: a model or a plain HTTP service.
type Kind string

// The kinds of a service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Target is a request's destination: a service and, on a model, the adapter and version; version 0 is the base model.
type Target struct {
	Service string
	Adapter string
	Version int
}

// Class sets the urgency and the time budgets of requests.
type Class struct {
	name       string
	urgent     bool
	long       bool
	firstToken time.Duration
	total      time.Duration
}

// Name returns the class's name.
func (c Class) Name() string { return c.name }

// IsUrgent reports whether a request goes ahead of queued ones.
func (c Class) IsUrgent() bool { return c.urgent }

// IsLong reports whether a request runs many times longer than others.
func (c Class) IsLong() bool { return c.long }

// FirstToken returns the budget from arrival to the first token, or to a plain service's response; 0 is no limit.
func (c Class) FirstToken() time.Duration { return c.firstToken }

// Total returns the budget from arrival to the response's end; 0 is no limit.
func (c Class) Total() time.Duration { return c.total }

// Call declares calls of a plain service by method and path pattern.
type Call struct {
	method     string
	pattern    string
	idempotent bool
}

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Pattern returns the path pattern, in which "*" matches one segment and a last "**" any rest.
func (c Call) Pattern() string { return c.pattern }

// IsIdempotent reports whether the call may run more than once.
func (c Call) IsIdempotent() bool { return c.idempotent }

// Service is one model or plain service.
type Service struct {
	name    string
	kind    Kind
	classes []string
	calls   []Call
}

// Name returns the service's name, which is also the base model's name on a model service.
func (s Service) Name() string { return s.name }

// Kind returns the service's kind.
func (s Service) Kind() Kind { return s.kind }

// Class returns the name of the default class of requests.
func (s Service) Class() string {
	if len(s.classes) == 0 {
		return ""
	}
	return s.classes[0]
}

// AllowsClass reports whether a request may name the class.
func (s Service) AllowsClass(name string) bool {
	for _, c := range s.classes {
		if c == name {
			return true
		}
	}
	return false
}

// IsIdempotent reports whether a call may run more than once; undeclared calls may not.
func (s Service) IsIdempotent(method, path string) bool {
	for _, c := range s.calls {
		if c.method == method && matchPath(c.pattern, path) {
			return c.idempotent
		}
	}
	return false
}

// Version is one immutable version of an adapter's weights.
type Version struct {
	number int
	source string
	digest string
}

// Number returns the version's number, from 1.
func (v Version) Number() int { return v.number }

// Source returns where engines load the weights from.
func (v Version) Source() string { return v.source }

// Digest returns the hash of the weights as given by the operator.
func (v Version) Digest() string { return v.digest }

// Adapter is a LoRA adapter of one model service.
type Adapter struct {
	name     string
	service  string
	class    string
	current  int
	versions []Version
}

// Name returns the adapter's name.
func (a Adapter) Name() string { return a.name }

// Service returns the name of the model service.
func (a Adapter) Service() string { return a.service }

// Class returns the adapter's class, or "" for the service's.
func (a Adapter) Class() string { return a.class }

// Current returns the number of the version for requests that don't name one, or 0 if there is none.
func (a Adapter) Current() int { return a.current }

// Version returns the version with the number.
func (a Adapter) Version(number int) (Version, bool) {
	for _, v := range a.versions {
		if v.number == number {
			return v, true
		}
	}
	return Version{}, false
}

// matchPath reports whether path matches pattern segment by segment.
func matchPath(pattern, path string) bool {
	for {
		if pattern == "**" {
			return true
		}
		p, pRest, pMore := strings.Cut(pattern, "/")
		s, sRest, sMore := strings.Cut(path, "/")
		if p != s && (p != "*" || s == "") {
			return false
		}
		if !pMore || !sMore {
			return pMore == sMore
		}
		pattern, path = pRest, sRest
	}
}
