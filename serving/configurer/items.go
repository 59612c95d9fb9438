package configurer

import (
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
)

// batch collects decoded objects, so that each index is updated in one pass.
type batch struct {
	removedClasses, removedServices, removedAdapters []string
	putClasses                                       []Class
	putServices                                      []Service
	putAdapters                                      []Adapter
}

// With returns the catalog at a later revision, with the items put or, if their value is nil, removed.
func (c *Catalog) With(revision uint64, items []spreader.Item) (*Catalog, error) {
	var b batch
	for _, it := range items {
		if err := b.add(it); err != nil {
			return nil, errors.Wrapf(err, "item %q", it.Key)
		}
	}
	return &Catalog{
		revision: revision,
		classes:  c.classes.update(b.putClasses, b.removedClasses),
		services: c.services.update(b.putServices, b.removedServices),
		adapters: c.adapters.update(b.putAdapters, b.removedAdapters),
	}, nil
}

func (b *batch) add(it spreader.Item) error {
	kind, name, ok := strings.Cut(it.Key, "/")
	if !ok {
		return errors.New("key without a kind")
	}
	if it.Value == nil {
		return b.remove(ObjectKind(kind), name)
	}
	v, err := Decode(ObjectKind(kind), it.Value)
	if err != nil {
		return err
	}
	switch v := v.(type) {
	case ClassSpec:
		class, err := newClass(v)
		if err != nil {
			return err
		}
		b.putClasses = append(b.putClasses, class)
	case ServiceSpec:
		b.putServices = append(b.putServices, newService(v))
	case AdapterSpec:
		b.putAdapters = append(b.putAdapters, newAdapter(v))
	}
	return nil
}

func (b *batch) remove(kind ObjectKind, name string) error {
	switch kind {
	case ObjectClass:
		b.removedClasses = append(b.removedClasses, name)
	case ObjectService:
		b.removedServices = append(b.removedServices, name)
	case ObjectAdapter:
		b.removedAdapters = append(b.removedAdapters, name)
	default:
		return errors.Errorf("no object of kind %q", kind)
	}
	return nil
}

// Items returns all objects of the catalog as encoded items.
func (c *Catalog) Items() ([]spreader.Item, error) {
	items := make([]spreader.Item, 0, c.classes.size+c.services.size+c.adapters.size)
	var encodeErr error
	add := func(kind ObjectKind, name string, spec any) {
		data, err := encoder.Marshal(spec)
		if err != nil {
			encodeErr = err
		}
		items = append(items, spreader.Item{Key: Ref{Kind: kind, Name: name}.Key(), Value: data})
	}
	c.classes.each(func(v Class) { add(ObjectClass, v.name, v.Spec()) })
	c.services.each(func(v Service) { add(ObjectService, v.name, v.Spec()) })
	c.adapters.each(func(v Adapter) { add(ObjectAdapter, v.name, v.Spec()) })
	return items, encodeErr
}

// Item returns the item of a changed object; a nil value removes it.
func (d Diff) Item() spreader.Item { return spreader.Item{Key: d.Ref.Key(), Value: d.After} }

// Spec returns the class as operators write it.
func (c Class) Spec() ClassSpec {
	return ClassSpec{Name: c.name, Urgent: c.urgent, Long: c.long, First: formatBudget(c.firstToken), Total: formatBudget(c.total)}
}

// Spec returns the service as operators write it.
func (s Service) Spec() ServiceSpec {
	spec := ServiceSpec{Name: s.name, Kind: s.kind, Classes: s.classes}
	for _, c := range s.calls {
		spec.Calls = append(spec.Calls, CallSpec{Method: c.method, Path: c.pattern, Idempotent: c.idempotent})
	}
	return spec
}

// Spec returns the adapter as operators write it.
func (a Adapter) Spec() AdapterSpec {
	spec := AdapterSpec{Name: a.name, Service: a.service, Class: a.class, Current: a.current}
	for _, v := range a.versions {
		spec.Versions = append(spec.Versions, VersionSpec{Number: v.number, Source: v.source, Digest: v.digest})
	}
	return spec
}
