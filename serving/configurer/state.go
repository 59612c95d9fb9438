package configurer

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
)

// Bounds of the stored replies and of their entries in all, see storedReply.entries.
const (
	maxReplies      = 4096
	maxReplyEntries = 65536
)

// State is the replicated configuration: the catalog and the replies to the latest changes.
//
// It depends only on the applied changes, so equal logs give equal states.
type State struct {
	catalog      *Catalog
	replies      map[string]storedReply
	changeIDs    []string // oldest first
	replyEntries int
	// skipConflictChecks disables compare-and-set, to show that its tests can fail.
	skipConflictChecks bool
}

// storedReply is the first reply to a change id.
type storedReply struct {
	ID    string `cbor:"1,keyasint"`
	Hash  []byte `cbor:"2,keyasint"`
	Reply Reply  `cbor:"3,keyasint"`
}

type snapshot struct {
	Revision uint64          `cbor:"1,keyasint"`
	Items    []spreader.Item `cbor:"2,keyasint"`
	Replies  []storedReply   `cbor:"3,keyasint"`
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return &State{catalog: &Catalog{}, replies: make(map[string]storedReply)}
}

// Catalog returns the configuration at its current revision.
func (s *State) Catalog() *Catalog { return s.catalog }

// Check returns the reply that a change would get, without applying it.
func (s *State) Check(c Change) Reply {
	reply, _, _ := s.evaluate(c)
	return reply
}

// Apply applies a change if it is accepted and returns the diff of each changed object.
func (s *State) Apply(c Change) (Reply, []Diff) {
	hash, err := hashChange(c)
	if err != nil || c.ID == "" || len(c.ID) > maxNameBytes {
		f := Finding{Path: "change", Reason: fmt.Sprintf("must have 1 to %d characters", maxNameBytes)}
		return Reply{Outcome: OutcomeInvalid, Revision: s.catalog.revision, Findings: []Finding{f}}, nil
	}
	if stored, ok := s.replies[c.ID]; ok {
		if !bytes.Equal(stored.Hash, hash) {
			return Reply{Outcome: OutcomeReused, Revision: s.catalog.revision}, nil
		}
		reply := stored.Reply
		reply.Repeated = true
		return reply, nil
	}
	reply, next, diffs := s.evaluate(c)
	if reply.Outcome == OutcomeAccepted {
		s.catalog = next
	}
	s.storeReply(storedReply{ID: c.ID, Hash: hash, Reply: reply})
	return reply, diffs
}

func (s *State) storeReply(r storedReply) {
	s.replies[r.ID] = r
	s.changeIDs = append(s.changeIDs, r.ID)
	s.replyEntries += r.entries()
	for len(s.changeIDs) > maxReplies || (s.replyEntries > maxReplyEntries && len(s.changeIDs) > 1) {
		s.replyEntries -= s.replies[s.changeIDs[0]].entries()
		delete(s.replies, s.changeIDs[0])
		s.changeIDs = slices.Delete(s.changeIDs, 0, 1)
	}
}

// entries counts the reply, its changed objects and its findings.
func (r storedReply) entries() int { return 1 + len(r.Reply.Changed) + len(r.Reply.Findings) }

// evaluate returns the reply to a change, the resulting catalog and the diffs.
func (s *State) evaluate(c Change) (Reply, *Catalog, []Diff) {
	old := s.catalog
	if c.ExpectedRevision != old.revision && !s.skipConflictChecks {
		return Reply{Outcome: OutcomeConflict, Revision: old.revision}, nil, nil
	}
	var check checker
	check.checkFields(c)
	if len(check.findings) > 0 {
		return Reply{Outcome: OutcomeInvalid, Revision: old.revision, Findings: check.findings}, nil, nil
	}
	edits, conflicting := s.objectEdits(c, &check)
	if conflicting.Name != "" && !s.skipConflictChecks {
		return Reply{Outcome: OutcomeConflict, Revision: old.revision, ConflictingVersion: conflicting, Findings: check.findings}, nil, nil
	}
	diffs, err := diff(old, edits)
	if err != nil {
		check.addFinding("doc", "%v", err)
	}
	next, err := old.With(nextRevision(old, diffs), diffItems(diffs))
	if err != nil {
		check.addFinding("doc", "%v", err)
		return Reply{Outcome: OutcomeInvalid, Revision: old.revision, Findings: check.findings}, nil, nil
	}
	check.checkReferences(c, next)
	check.checkDependents(c, old, next)
	if len(check.findings) > 0 {
		return Reply{Outcome: OutcomeInvalid, Revision: old.revision, Findings: check.findings}, nil, nil
	}
	reply := Reply{Outcome: OutcomeAccepted, Revision: next.revision}
	for _, d := range diffs {
		reply.Changed = append(reply.Changed, d.Ref)
	}
	return reply, next, diffs
}

// nextRevision returns the same revision if nothing changes.
func nextRevision(old *Catalog, diffs []Diff) uint64 {
	if len(diffs) == 0 {
		return old.revision
	}
	return old.revision + 1
}

func diffItems(diffs []Diff) []spreader.Item {
	items := make([]spreader.Item, 0, len(diffs))
	for _, d := range diffs {
		items = append(items, d.Item())
	}
	return items
}

// objectEdit is an object's new specification; a nil spec deletes it.
type objectEdit struct {
	ref  Ref
	spec any
}

// objectEdits returns a change's edits of objects, and a version that exists with other content.
func (s *State) objectEdits(c Change, check *checker) ([]objectEdit, Ref) {
	var out []objectEdit
	var conflicting Ref
	for _, spec := range c.Put.Classes {
		out = append(out, objectEdit{Ref{ObjectClass, spec.Name}, normalizeClass(spec)})
	}
	for _, spec := range c.Put.Services {
		out = append(out, objectEdit{Ref{ObjectService, spec.Name}, spec})
	}
	adapters := newAdapterEdits(s.catalog)
	for i, spec := range c.Put.Adapters {
		if before, ok := s.catalog.Adapter(spec.Name); ok {
			var differing int
			spec.Versions, differing = addVersions(before.Spec().Versions, spec.Versions)
			if differing > 0 {
				conflicting = Ref{ObjectVersion, Target{Adapter: spec.Name, Version: differing}.String()}
				check.addFinding(fmt.Sprintf("doc.adapters[%d].versions", i), "version %d exists with another content", differing)
			}
		}
		sortVersions(spec.Versions)
		adapters.put(spec)
	}
	out = append(out, s.deletions(c, adapters, check)...)
	for _, name := range adapters.names {
		out = append(out, objectEdit{Ref{ObjectAdapter, name}, adapters.specs[name]})
	}
	return out, conflicting
}

// adapterEdits holds the edited adapters while a change is evaluated.
type adapterEdits struct {
	catalog *Catalog
	specs   map[string]AdapterSpec
	names   []string
}

func newAdapterEdits(c *Catalog) *adapterEdits {
	return &adapterEdits{catalog: c, specs: make(map[string]AdapterSpec)}
}

func (e *adapterEdits) put(spec AdapterSpec) {
	if _, ok := e.specs[spec.Name]; !ok {
		e.names = append(e.names, spec.Name)
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

// deletions returns the objects that the change deletes; versions are removed from their adapters.
func (s *State) deletions(c Change, adapters *adapterEdits, check *checker) []objectEdit {
	var out []objectEdit
	edited := putRefs(c.Put)
	for _, ref := range c.Delete {
		if ref.Kind == ObjectAdapter {
			adapters.catalog = adapters.catalog.withoutAdapter(ref.Name)
		}
	}
	for i, ref := range c.Delete {
		path := fmt.Sprintf("delete[%d]", i)
		switch {
		case edited[ref]:
			check.addFinding(path, "%s %q stands in doc and in delete or twice in delete", ref.Kind, ref.Name)
		case ref.Kind == ObjectVersion:
			deleteVersion(path, ref, adapters, check)
		case currentSpec(s.catalog, ref) == nil:
			check.addFinding(path, "no %s named %q", ref.Kind, ref.Name)
		default:
			out = append(out, objectEdit{ref: ref})
		}
		edited[ref] = true
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
		check.addFinding(path+".name", "%v", err)
		return
	}
	spec := adapters.get(name)
	i := slices.IndexFunc(spec.Versions, func(v VersionSpec) bool { return v.Number == number })
	if i < 0 {
		check.addFinding(path, "no version named %q", ref.Name)
		return
	}
	if spec.Current == number {
		check.addFinding(path, "version %q is the current one", ref.Name)
	}
	spec.Versions = slices.Delete(slices.Clone(spec.Versions), i, i+1)
	adapters.put(spec)
}

// addVersions adds new versions and returns the number of an existing one that differs, or 0.
func addVersions(existing, added []VersionSpec) ([]VersionSpec, int) {
	out, differing := slices.Clone(existing), 0
	for _, v := range added {
		i := slices.IndexFunc(existing, func(w VersionSpec) bool { return w.Number == v.Number })
		switch {
		case i < 0:
			out = append(out, v)
		case existing[i] != v:
			differing = v.Number
		}
	}
	return out, differing
}

func sortVersions(list []VersionSpec) {
	slices.SortFunc(list, func(a, b VersionSpec) int { return a.Number - b.Number })
}

// normalizeClass formats durations in one way, so that equal classes encode alike.
func normalizeClass(spec ClassSpec) ClassSpec {
	if c, err := newClass(spec); err == nil {
		return c.Spec()
	}
	return spec
}

// diff returns the objects that differ, in the change's order; of several edits of an object the last wins.
func diff(old *Catalog, edits []objectEdit) ([]Diff, error) {
	var out []Diff
	position := make(map[Ref]int)
	for _, e := range edits {
		d := Diff{Ref: e.ref}
		var err error
		if before := currentSpec(old, e.ref); before != nil {
			if d.Before, err = encoder.Marshal(before); err != nil {
				return nil, errors.Wrapf(err, "%s %q", e.ref.Kind, e.ref.Name)
			}
		}
		if e.spec != nil {
			if d.After, err = encoder.Marshal(e.spec); err != nil {
				return nil, errors.Wrapf(err, "%s %q", e.ref.Kind, e.ref.Name)
			}
		}
		if i, ok := position[e.ref]; ok {
			out[i] = d
			continue
		}
		if !bytes.Equal(d.Before, d.After) {
			position[e.ref] = len(out)
			out = append(out, d)
		}
	}
	return out, nil
}

// currentSpec returns the specification of an object in the catalog, or nil.
func currentSpec(c *Catalog, ref Ref) any {
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
