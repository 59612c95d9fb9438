package configurer

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Catalog is the whole configuration at one revision; it is immutable, so requests read it without locks.
type Catalog struct {
	revision uint64
	classes  index[Class]
	services index[Service]
	adapters index[Adapter]
}

// NewCatalog returns a document's catalog; an invalid duration is an error.
func NewCatalog(revision uint64, doc Doc) (*Catalog, error) {
	classes := make([]Class, 0, len(doc.Classes))
	for _, s := range doc.Classes {
		class, err := newClass(s)
		if err != nil {
			return nil, errors.Wrapf(err, "class %q", s.Name)
		}
		classes = append(classes, class)
	}
	services := make([]Service, 0, len(doc.Services))
	for _, s := range doc.Services {
		services = append(services, newService(s))
	}
	adapters := make([]Adapter, 0, len(doc.Adapters))
	for _, s := range doc.Adapters {
		adapters = append(adapters, newAdapter(s))
	}
	return &Catalog{
		revision: revision,
		classes:  index[Class]{}.merge(classes),
		services: index[Service]{}.merge(services),
		adapters: index[Adapter]{}.merge(adapters),
	}, nil
}

// Revision returns the revision of the last accepted change.
func (c *Catalog) Revision() uint64 { return c.revision }

// Class returns the class with the name.
func (c *Catalog) Class(name string) (Class, bool) {
	return c.classes.get(name)
}

// Service returns the service with the name.
func (c *Catalog) Service(name string) (Service, bool) {
	return c.services.get(name)
}

// Adapter returns the adapter with the name.
func (c *Catalog) Adapter(name string) (Adapter, bool) {
	return c.adapters.get(name)
}

// Page returns up to limit adapters with names after the given one, sorted by name.
func (c *Catalog) Page(after string, limit int) []Adapter { return c.adapters.page(after, limit) }

// Classes returns all classes, sorted by name.
func (c *Catalog) Classes() []Class { return c.classes.page("", c.classes.size) }

// Services returns all services, sorted by name.
func (c *Catalog) Services() []Service { return c.services.page("", c.services.size) }

// withoutAdapter returns a copy at the same revision without an adapter, to evaluate a change.
func (c *Catalog) withoutAdapter(name string) *Catalog {
	next := *c
	next.adapters = c.adapters.without(name)
	return &next
}

// Len returns the number of adapters.
func (c *Catalog) Len() int { return c.adapters.size }

// UnknownModelError reports that no model service, adapter or version has the requested name.
type UnknownModelError struct{ Model string }

// Error implements error.
func (e *UnknownModelError) Error() string {
	return "no model or adapter version named " + strconv.Quote(e.Model)
}

// Resolve returns the target of a model, "adapter", "adapter@version" or a model service, or an UnknownModelError.
func (c *Catalog) Resolve(model string) (Target, error) {
	name, version, pinned := strings.Cut(model, "@")
	if s, ok := c.services.get(name); ok && !pinned && s.kind == KindModel {
		return Target{Service: name}, nil
	}
	a, ok := c.adapters.get(name)
	if !ok {
		return Target{}, &UnknownModelError{Model: model}
	}
	number := a.current
	if pinned {
		n, err := strconv.Atoi(version)
		if err != nil {
			return Target{}, &UnknownModelError{Model: model}
		}
		number = n
	}
	if _, ok := a.Version(number); !ok {
		return Target{}, &UnknownModelError{Model: model}
	}
	return Target{Service: a.service, Adapter: name, Version: number}, nil
}

// ClassOf returns the named class for a request to the target; "" is the default class.
func (c *Catalog) ClassOf(t Target, name string) (Class, error) {
	s, ok := c.services.get(t.Service)
	if !ok {
		return Class{}, errors.Errorf("no service named %q", t.Service)
	}
	if name == "" {
		name = s.Class()
		if a, ok := c.adapters.get(t.Adapter); ok && a.class != "" {
			name = a.class
		}
	} else if !s.AllowsClass(name) {
		return Class{}, errors.Errorf("service %q does not allow class %q", t.Service, name)
	}
	class, ok := c.classes.get(name)
	if !ok {
		return Class{}, errors.Errorf("no class named %q", name)
	}
	return class, nil
}

// String returns the target as engines list it: "adapter@version" or the service.
func (t Target) String() string {
	if t.Adapter == "" {
		return t.Service
	}
	return t.Adapter + "@" + strconv.Itoa(t.Version)
}

func newClass(s ClassSpec) (Class, error) {
	first, err := parseBudget(s.First)
	if err != nil {
		return Class{}, errors.Wrap(err, "first")
	}
	total, err := parseBudget(s.Total)
	if err != nil {
		return Class{}, errors.Wrap(err, "total")
	}
	return Class{name: s.Name, urgent: s.Urgent, long: s.Long, firstToken: first, total: total}, nil
}

// parseBudget parses a duration; "" is 0, which means no limit.
func parseBudget(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

func formatBudget(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func newService(s ServiceSpec) Service {
	calls := make([]Call, 0, len(s.Calls))
	for _, c := range s.Calls {
		calls = append(calls, Call{method: c.Method, pattern: c.Path, idempotent: c.Idempotent})
	}
	return Service{name: s.Name, kind: s.Kind, classes: s.Classes, calls: calls}
}

func newAdapter(s AdapterSpec) Adapter {
	versions := make([]Version, 0, len(s.Versions))
	for _, v := range s.Versions {
		versions = append(versions, Version{number: v.Number, source: v.Source, digest: v.Digest})
	}
	return Adapter{name: s.Name, service: s.Service, class: s.Class, current: s.Current, versions: versions}
}
