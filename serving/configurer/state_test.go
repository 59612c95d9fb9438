package configurer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"redwingstage.org/coord/spreader"
)

func testDoc() Doc {
	return Doc{
		Classes:  []ClassSpec{{Name: "chat", Urgent: true, First: "2s", Total: "60s"}, {Name: "night", Long: true}},
		Services: []ServiceSpec{{Name: "base", Kind: KindModel, Classes: []string{"chat", "night"}}, {Name: "stock", Kind: KindPlain, Classes: []string{"chat"}}},
		Adapters: []AdapterSpec{{Name: "ipoh", Service: "base", Class: "chat", Current: 1, Versions: []VersionSpec{{1, "s/1", "d1"}}}},
	}
}

func newTestState(c *qt.C) *State {
	s := NewState()
	reply, diffs := s.Apply(Change{ID: "first", Put: testDoc()})
	c.Assert(reply.Outcome, qt.Equals, OutcomeAccepted, qt.Commentf("%v", reply.Findings))
	c.Assert(diffs, qt.HasLen, 5)
	return s
}

func TestFindings(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		name string
		put  Doc
		del  []Ref
		want []Finding
	}{
		{name: "invalid fields", put: Doc{
			Classes:  []ClassSpec{{Name: "Bad", First: "2 s"}, {Name: "x", First: "3s", Total: "1s"}},
			Services: []ServiceSpec{{Name: "s", Kind: "odd"}},
			Adapters: []AdapterSpec{{Name: "a", Current: -1, Versions: []VersionSpec{{Number: 0}}}},
		}, want: []Finding{
			{"doc.classes[0].name", "must be of a-z, 0-9, '.', '_' and '-', and begin and end with a letter or digit"},
			{"doc.classes[0].first", `"2 s" is not a duration such as "800ms"`},
			{"doc.classes[1].first", "is longer than total"},
			{"doc.services[0].kind", `"odd" is neither "model" nor "plain"`},
			{"doc.services[0].classes", "is empty; the first is the default class"},
			{"doc.adapters[0].service", "is missing"},
			{"doc.adapters[0].current", "is negative"},
			{"doc.adapters[0].versions[0].number", "0 is not a number from 1"},
			{"doc.adapters[0].versions[0].source", "is missing"},
			{"doc.adapters[0].versions[0].digest", "is missing"},
		}},
		{name: "missing references", put: Doc{
			Services: []ServiceSpec{{Name: "new", Kind: KindModel, Classes: []string{"none"}}, {Name: "ipoh", Kind: KindPlain, Classes: []string{"chat"}}},
			Adapters: []AdapterSpec{{Name: "a", Service: "stock", Current: 2, Versions: []VersionSpec{{1, "s", "d"}}}, {Name: "b", Service: "base", Class: "none"}},
		}, want: []Finding{
			{"doc.services[0].classes[0]", `no class named "none"`},
			{"doc.services[1].name", `"ipoh" is the name of an adapter`},
			{"doc.adapters[0].service", `"stock" is not a model service`},
			{"doc.adapters[0].current", "no version 2"},
			{"doc.adapters[1].class", `service "base" does not allow class "none"`},
		}},
		{
			name: "objects in use", put: Doc{Services: []ServiceSpec{{Name: "base", Kind: KindModel, Classes: []string{"night"}}}},
			del: []Ref{{ObjectClass, "chat"}, {ObjectVersion, "ipoh@1"}, {ObjectAdapter, "gone"}, {ObjectService, "base"}}, want: []Finding{
				{"delete[1]", `version "ipoh@1" is the current one`},
				{"delete[2]", `no adapter named "gone"`},
				{"delete[3]", `service "base" stands in doc and in delete or twice in delete`},
				{"delete[0]", `class "chat" is used by service "stock"`},
				{"delete[3]", `service "base" is used by adapter "ipoh"`},
			},
		},
		{name: "users of a class", del: []Ref{{ObjectClass, "chat"}}, want: []Finding{
			{"delete[0]", `class "chat" is used by service "base"`}, {"delete[0]", `class "chat" is used by service "stock"`},
		}},
		{name: "user of a service", del: []Ref{{ObjectService, "base"}}, want: []Finding{{"delete[0]", `service "base" is used by adapter "ipoh"`}}},
		{name: "an adapter and its version", del: []Ref{{ObjectAdapter, "ipoh"}, {ObjectVersion, "ipoh@1"}}, want: []Finding{{"delete[1]", `no version named "ipoh@1"`}}},
	}
	for _, tt := range tests {
		c.Run(tt.name, func(c *qt.C) {
			s := newTestState(c)
			reply, diffs := s.Apply(Change{ID: "bad", ExpectedRevision: 1, Put: tt.put, Delete: tt.del})
			c.Check(reply.Outcome, qt.Equals, OutcomeInvalid)
			c.Check(reply.Findings, qt.DeepEquals, tt.want)
			c.Check(diffs, qt.IsNil)
			c.Check(s.Catalog().Revision(), qt.Equals, uint64(1))
		})
	}
}

func TestChanges(t *testing.T) {
	c := qt.New(t)
	s := newTestState(c)
	version := func(n int, digest string) Doc {
		return Doc{Adapters: []AdapterSpec{{Name: "ipoh", Service: "base", Class: "chat", Current: n, Versions: []VersionSpec{{n, "s", digest}}}}}
	}
	secondVersion := Change{ID: "aisyah-1", ExpectedRevision: 1, Put: version(2, "d2")}
	first, _ := s.Apply(secondVersion)
	c.Assert(first.Outcome, qt.Equals, OutcomeAccepted)
	late, _ := s.Apply(Change{ID: "bento-1", ExpectedRevision: 1, Put: version(2, "other")})
	c.Assert(late.Outcome, qt.Equals, OutcomeConflict)
	differing, _ := s.Apply(Change{ID: "bento-2", ExpectedRevision: 2, Put: version(2, "other")})
	c.Assert(differing.Outcome, qt.Equals, OutcomeConflict)
	c.Assert(differing.ConflictingVersion, qt.Equals, Ref{ObjectVersion, "ipoh@2"})
	reused, _ := s.Apply(Change{ID: "aisyah-1", ExpectedRevision: 2, Put: version(3, "d3")})
	c.Assert(reused.Outcome, qt.Equals, OutcomeReused)

	// A resent change gets its first reply, also after a restore and later changes.
	c.Assert(s.mustApply(c, Change{ID: "x", ExpectedRevision: 2, Put: version(3, "d3")}).Revision, qt.Equals, uint64(3))
	data, err := s.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := NewState()
	c.Assert(restored.Restore(data), qt.IsNil)
	again, diffs := restored.Apply(secondVersion)
	first.Repeated = true
	c.Assert(again, qt.DeepEquals, first)
	c.Assert(diffs, qt.IsNil)
	c.Assert(restored.Catalog().Revision(), qt.Equals, uint64(3))
	a, _ := restored.Catalog().Adapter("ipoh")
	c.Assert(a.Spec().Versions, qt.DeepEquals, []VersionSpec{{1, "s/1", "d1"}, {2, "s", "d2"}, {3, "s", "d3"}})

	same, _ := restored.Apply(Change{ID: "y", ExpectedRevision: 3, Put: version(3, "d3")})
	c.Assert(same.Outcome, qt.Equals, OutcomeAccepted)
	c.Assert(same.Revision, qt.Equals, uint64(3))
	deleted, _ := restored.Apply(Change{ID: "z", ExpectedRevision: 3, Delete: []Ref{{ObjectVersion, "ipoh@1"}, {ObjectVersion, "ipoh@2"}}})
	c.Assert(deleted.Outcome, qt.Equals, OutcomeAccepted)
	_, err = restored.Catalog().Resolve("ipoh@1")
	c.Assert(err, qt.ErrorMatches, `no model or adapter version named "ipoh@1"`)
}

// mustApply applies a change that must be accepted.
func (s *State) mustApply(c *qt.C, ch Change) Reply {
	reply, _ := s.Apply(ch)
	c.Assert(reply.Outcome, qt.Equals, OutcomeAccepted, qt.Commentf("%v", reply.Findings))
	return reply
}

// TestOneChangePerRevision has operators resend at equal revisions, and shows that the check can fail.
func TestOneChangePerRevision(t *testing.T) {
	race := func(seed int, skipConflictChecks bool) error {
		s := NewState()
		s.skipConflictChecks = skipConflictChecks
		accepted := make(map[uint64]string)
		expectedRevisions := []uint64{0, 0}
		for i := range 40 {
			operator := (i*7 + seed) % 2
			ch := Change{ID: fmt.Sprintf("%d-%d", operator, i/3), ExpectedRevision: expectedRevisions[operator], Put: Doc{Classes: []ClassSpec{{Name: fmt.Sprintf("c%d-%d", operator, i/3)}}}}
			reply, _ := s.Apply(ch)
			if reply.Outcome == OutcomeAccepted && !reply.Repeated {
				if other, ok := accepted[ch.ExpectedRevision]; ok {
					return fmt.Errorf("%s and %s both accepted at revision %d", other, ch.ID, ch.ExpectedRevision)
				}
				accepted[ch.ExpectedRevision] = ch.ID
			}
			if i%3 == 2 {
				expectedRevisions[operator] = reply.Revision
			}
		}
		return nil
	}
	for seed := range 20 {
		qt.Assert(t, race(seed, false), qt.IsNil)
	}
	qt.Assert(t, race(1, true), qt.ErrorMatches, ".* both accepted at revision 0")
}

// TestCatalogAgainstMap compares the chunked index and deltas with a plain map under random changes.
func TestCatalogAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := make(map[string]int)
		c, source, follower := &Catalog{}, spreader.New(spreader.WithKeptChanges(64)), &Catalog{}
		var assembler spreader.DeltaAssembler
		for rev := uint64(1); rev < 30; rev++ {
			var items []spreader.Item
			for range rapid.IntRange(1, 60).Draw(t, "items") {
				name := fmt.Sprintf("a%d", rapid.IntRange(0, 700).Draw(t, "name"))
				d := Diff{Ref: Ref{ObjectAdapter, name}}
				if rapid.Bool().Draw(t, "put") {
					want[name] = int(rev)
					d.After = encoded(t, AdapterSpec{Name: name, Current: int(rev)})
				} else {
					delete(want, name)
				}
				items = append(items[:len(items):len(items)], d.Item())
			}
			items = lastPerKey(items)
			var err error
			if c, err = c.With(rev, items); err != nil {
				t.Fatal(err)
			}
			if err := source.Change(rev, items); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "sync") {
				follower = syncFollower(t, source, &assembler, follower)
			}
		}
		follower = syncFollower(t, source, &assembler, follower)
		for _, got := range []*Catalog{c, follower} {
			if got.Len() != len(want) {
				t.Fatalf("%d adapters, not %d", got.Len(), len(want))
			}
			after, n := "", 0
			for page := got.Page(after, 7); len(page) > 0; page = got.Page(after, 7) {
				for _, a := range page {
					if a.Name() <= after || want[a.Name()] != a.Current() {
						t.Fatalf("%s at %d after %s, not %d", a.Name(), a.Current(), after, want[a.Name()])
					}
					after = a.Name()
					n++
				}
			}
			if n != len(want) {
				t.Fatalf("pages have %d, not %d", n, len(want))
			}
		}
	})
}
