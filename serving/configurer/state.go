package configurer

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
)

// Bounds of the change ids whose first answers are remembered, and of what these answers hold in all.
const (
	keepAnswers = 4096
	keepWeight  = 65536
)

// State is the replicated configuration: the catalog and the answers to the latest changes.
//
// It depends on nothing but the changes applied, so that equal logs give equal states.
type State struct {
	catalog *Catalog
	answers map[string]answer
	order   []string
	weight  int
	// unchecked switches compare-and-set off, to show that its tests can fail.
	unchecked bool
}

// answer is the first reply to a change id.
type answer struct {
	ID    string `cbor:"1,keyasint"`
	Hash  []byte `cbor:"2,keyasint"`
	Reply Reply  `cbor:"3,keyasint"`
}

type snapshot struct {
	Revision uint64          `cbor:"1,keyasint"`
	Items    []spreader.Item `cbor:"2,keyasint"`
	Answers  []answer        `cbor:"3,keyasint"`
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return &State{catalog: &Catalog{}, answers: make(map[string]answer)}
}

// Catalog returns the configuration at its present revision.
func (s *State) Catalog() *Catalog { return s.catalog }

// Check returns the reply that a change would get, and changes nothing.
func (s *State) Check(c Change) Reply {
	reply, _, _ := s.try(c)
	return reply
}

// Apply decides on a change and returns what it changed, object by object.
func (s *State) Apply(c Change) (Reply, []Diff) {
	hash, err := hashChange(c)
	if err != nil || c.ID == "" || len(c.ID) > maxName {
		f := Finding{Path: "change", Reason: fmt.Sprintf("must have 1 to %d characters", maxName)}
		return Reply{Verdict: VerdictInvalid, Revision: s.catalog.revision, Findings: []Finding{f}}, nil
	}
	if first, ok := s.answers[c.ID]; ok {
		if !bytes.Equal(first.Hash, hash) {
			return Reply{Verdict: VerdictReused, Revision: s.catalog.revision}, nil
		}
		reply := first.Reply
		reply.Repeated = true
		return reply, nil
	}
	reply, next, diffs := s.try(c)
	if reply.Verdict == VerdictAccepted {
		s.catalog = next
	}
	s.remember(answer{ID: c.ID, Hash: hash, Reply: reply})
	return reply, diffs
}

func (s *State) remember(a answer) {
	s.answers[a.ID] = a
	s.order = append(s.order, a.ID)
	s.weight += a.size()
	for len(s.order) > keepAnswers || (s.weight > keepWeight && len(s.order) > 1) {
		s.weight -= s.answers[s.order[0]].size()
		delete(s.answers, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
}

// size counts what the answer holds.
func (a answer) size() int { return 1 + len(a.Reply.Changed) + len(a.Reply.Findings) }

// try works out the reply to a change and the catalog that it would lead to.
func (s *State) try(c Change) (Reply, *Catalog, []Diff) {
	old := s.catalog
	if c.Expect != old.revision && !s.unchecked {
		return Reply{Verdict: VerdictConflict, Revision: old.revision}, nil, nil
	}
	var check checker
	check.shape(c)
	if len(check.findings) > 0 {
		return Reply{Verdict: VerdictInvalid, Revision: old.revision, Findings: check.findings}, nil, nil
	}
	specs, winner := s.merge(c, &check)
	if winner.Name != "" && !s.unchecked {
		return Reply{Verdict: VerdictConflict, Revision: old.revision, Winner: winner, Findings: check.findings}, nil, nil
	}
	diffs, err := diff(old, specs)
	if err != nil {
		check.add("doc", "%v", err)
	}
	next, err := old.With(nextRevision(old, diffs), itemsOf(diffs))
	if err != nil {
		check.add("doc", "%v", err)
		return Reply{Verdict: VerdictInvalid, Revision: old.revision, Findings: check.findings}, nil, nil
	}
	check.refs(c, next)
	check.users(c, old, next)
	if len(check.findings) > 0 {
		return Reply{Verdict: VerdictInvalid, Revision: old.revision, Findings: check.findings}, nil, nil
	}
	reply := Reply{Verdict: VerdictAccepted, Revision: next.revision}
	for _, d := range diffs {
		reply.Changed = append(reply.Changed, d.Ref)
	}
	return reply, next, diffs
}

// nextRevision leaves the revision alone when nothing changes.
func nextRevision(old *Catalog, diffs []Diff) uint64 {
	if len(diffs) == 0 {
		return old.revision
	}
	return old.revision + 1
}

func itemsOf(diffs []Diff) []spreader.Item {
	items := make([]spreader.Item, 0, len(diffs))
	for _, d := range diffs {
		items = append(items, d.Item())
	}
	return items
}

// wanted is what a change wants an object to be; a nil spec removes it.
type wanted struct {
	ref  Ref
	spec any
}

// merge works out what every touched object would become; it also returns a version that exists with other content.
func (s *State) merge(c Change, check *checker) ([]wanted, Ref) {
	var out []wanted
	var winner Ref
	for _, spec := range c.Put.Classes {
		out = append(out, wanted{Ref{ObjectClass, spec.Name}, normalClass(spec)})
	}
	for _, spec := range c.Put.Services {
		out = append(out, wanted{Ref{ObjectService, spec.Name}, spec})
	}
	adapters := newAdapterEdits(s.catalog)
	for i, spec := range c.Put.Adapters {
		if before, ok := s.catalog.Adapter(spec.Name); ok {
			var clash int
			spec.Versions, clash = addVersions(before.Spec().Versions, spec.Versions)
			if clash > 0 {
				winner = Ref{ObjectVersion, Target{Adapter: spec.Name, Version: clash}.String()}
				check.add(fmt.Sprintf("doc.adapters[%d].versions", i), "version %d exists with another content", clash)
			}
		}
		sortVersions(spec.Versions)
		adapters.put(spec)
	}
	out = append(out, s.deletions(c, adapters, check)...)
	for _, name := range adapters.order {
		out = append(out, wanted{Ref{ObjectAdapter, name}, adapters.specs[name]})
	}
	return out, winner
}

// adapterEdits holds what adapters become while a change is worked out.
type adapterEdits struct {
	catalog *Catalog
	specs   map[string]AdapterSpec
	order   []string
}

func newAdapterEdits(c *Catalog) *adapterEdits {
	return &adapterEdits{catalog: c, specs: make(map[string]AdapterSpec)}
}

func (e *adapterEdits) put(spec AdapterSpec) {
	if _, ok := e.specs[spec.Name]; !ok {
		e.order = append(e.order, spec.Name)
	}
	e.specs[spec.Name] = spec
}

func (e *adapterEdits) get(name string) AdapterSpec {
	if spec, ok := e.specs[name]; ok {
		return spec
	}
	a, _ := e.catalog.Adapter(name)
	return a.Spec()
}

// deletions returns the objects that the change deletes; versions are taken out of their adapters.
func (s *State) deletions(c Change, adapters *adapterEdits, check *checker) []wanted {
	var out []wanted
	touched := putRefs(c.Put)
	for _, ref := range c.Delete {
		if ref.Kind == ObjectAdapter {
			adapters.catalog = adapters.catalog.withoutAdapter(ref.Name)
		}
	}
	for i, ref := range c.Delete {
		path := fmt.Sprintf("delete[%d]", i)
		switch {
		case touched[ref]:
			check.add(path, "%s %q stands in doc and in delete or twice in delete", ref.Kind, ref.Name)
		case ref.Kind == ObjectVersion:
			deleteVersion(path, ref, adapters, check)
		case current(s.catalog, ref) == nil:
			check.add(path, "no %s named %q", ref.Kind, ref.Name)
		default:
			out = append(out, wanted{ref: ref})
		}
		touched[ref] = true
	}
	return out
}

func putRefs(doc Doc) map[Ref]bool {
	refs := make(map[Ref]bool)
	for _, spec := range doc.Classes {
		refs[Ref{ObjectClass, spec.Name}] = true
	}
	for _, spec := range doc.Services {
		refs[Ref{ObjectService, spec.Name}] = true
	}
	for _, spec := range doc.Adapters {
		refs[Ref{ObjectAdapter, spec.Name}] = true
	}
	return refs
}

func deleteVersion(path string, ref Ref, adapters *adapterEdits, check *checker) {
	name, number, err := ParseVersion(ref.Name)
	if err != nil {
		check.add(path+".name", "%v", err)
		return
	}
	spec := adapters.get(name)
	at := slices.IndexFunc(spec.Versions, func(v VersionSpec) bool { return v.Number == number })
	if at < 0 {
		check.add(path, "no version named %q", ref.Name)
		return
	}
	if spec.Current == number {
		check.add(path, "version %q is the current one", ref.Name)
	}
	spec.Versions = slices.Delete(slices.Clone(spec.Versions), at, at+1)
	adapters.put(spec)
}

// addVersions adds versions to those that exist and returns the number of one that differs, or 0.
func addVersions(have, add []VersionSpec) ([]VersionSpec, int) {
	out, clash := slices.Clone(have), 0
	for _, v := range add {
		i := slices.IndexFunc(have, func(w VersionSpec) bool { return w.Number == v.Number })
		switch {
		case i < 0:
			out = append(out, v)
		case have[i] != v:
			clash = v.Number
		}
	}
	return out, clash
}

func sortVersions(list []VersionSpec) {
	slices.SortFunc(list, func(a, b VersionSpec) int { return a.Number - b.Number })
}

// normalClass writes durations in one way, so that equal classes encode alike.
func normalClass(spec ClassSpec) ClassSpec {
	if c, err := newClass(spec); err == nil {
		return c.Spec()
	}
	return spec
}

// diff returns the objects that would really change, in the order of the change; of several for one object the last.
func diff(old *Catalog, specs []wanted) ([]Diff, error) {
	var out []Diff
	place := make(map[Ref]int)
	for _, w := range specs {
		d := Diff{Ref: w.ref}
		var err error
		if before := current(old, w.ref); before != nil {
			if d.Before, err = encoder.Marshal(before); err != nil {
				return nil, errors.Wrapf(err, "%s %q", w.ref.Kind, w.ref.Name)
			}
		}
		if w.spec != nil {
			if d.After, err = encoder.Marshal(w.spec); err != nil {
				return nil, errors.Wrapf(err, "%s %q", w.ref.Kind, w.ref.Name)
			}
		}
		if i, ok := place[w.ref]; ok {
			out[i] = d
			continue
		}
		if !bytes.Equal(d.Before, d.After) {
			place[w.ref] = len(out)
			out = append(out, d)
		}
	}
	return out, nil
}

// current returns the specification of an object as it stands, or nil.
func current(c *Catalog, ref Ref) any {
	switch ref.Kind {
	case ObjectClass:
		if v, ok := c.Class(ref.Name); ok {
			return v.Spec()
		}
	case ObjectService:
		if v, ok := c.Service(ref.Name); ok {
			return v.Spec()
		}
	case ObjectAdapter:
		if v, ok := c.Adapter(ref.Name); ok {
			return v.Spec()
		}
	}
	return nil
}
