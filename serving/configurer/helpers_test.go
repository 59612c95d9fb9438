package configurer

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func encoded(t *rapid.T, v any) []byte {
	data, err := encoder.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// lastPerKey keeps the last item of each key; a change has at most one.
func lastPerKey(items []spreader.Item) []spreader.Item {
	last := make(map[string]int)
	for i, it := range items {
		last[it.Key] = i
	}
	var out []spreader.Item
	for i, it := range items {
		if last[it.Key] == i {
			out = append(out, it)
		}
	}
	return out
}

func syncFollower(t *rapid.T, s *spreader.State, a *spreader.DeltaAssembler, c *Catalog) *Catalog {
	for _, part := range s.Since(a.Revision()) {
		d, ok, err := a.AddPart(part)
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			continue
		}
		if d.Full {
			c = &Catalog{}
		}
		if c, err = c.With(d.To, d.Items); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// FuzzRestore checks that Restore applies a whole snapshot or leaves the state unchanged.
func FuzzRestore(f *testing.F) {
	s := NewState()
	s.Apply(Change{ID: "first", Put: testDoc()})
	data, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		if err := s.Restore(data); err != nil {
			if s.Catalog().Revision() != 0 || s.Catalog().Len() != 0 {
				t.Fatal("a failed Restore changed the state")
			}
			return
		}
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(again); err != nil {
			t.Fatalf("restore own snapshot: %v", err)
		}
	})
}
