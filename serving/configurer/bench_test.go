package configurer

import (
	"fmt"
	"runtime"
	"testing"

	"redwingstage.org/coord/spreader"
)

// newStateWithAdapters returns a state with n adapters.
func newStateWithAdapters(b *testing.B, n int) *State {
	b.Helper()
	s := NewState()
	base := Doc{
		Classes:  []ClassSpec{{Name: "chat"}},
		Services: []ServiceSpec{{Name: "base", Kind: KindModel, Classes: []string{"chat"}}},
	}
	if r, _ := s.Apply(Change{ID: "base", Put: base}); r.Outcome != OutcomeAccepted {
		b.Fatal(r.Findings)
	}
	for start := 0; start < n; start += maxChangeObjects {
		var d Doc
		for i := start; i < min(start+maxChangeObjects, n); i++ {
			d.Adapters = append(d.Adapters, AdapterSpec{
				Name: fmt.Sprintf("member-%06d", i), Service: "base", Current: 1,
				Versions: []VersionSpec{{1, fmt.Sprintf("store/members/%06d/1", i), "sha256:0123456789abcdef0123456789abcdef"}},
			})
		}
		if r, _ := s.Apply(Change{ID: fmt.Sprint(start), ExpectedRevision: s.catalog.revision, Put: d}); r.Outcome != OutcomeAccepted {
			b.Fatal(r.Findings)
		}
	}
	return s
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{3000, 120000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStateWithAdapters(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprintf("member-%06d", i*7919%n)
				d := Doc{Adapters: []AdapterSpec{{Name: name, Service: "base", Current: 1 + i%2, Versions: []VersionSpec{{2, "store/x/2", "sha256:00"}}}}}
				if r, _ := s.Apply(Change{ID: fmt.Sprintf("c%d", i), ExpectedRevision: s.catalog.revision, Put: d}); r.Outcome != OutcomeAccepted {
					b.Fatal(r.Findings)
				}
			}
		})
	}
}

func BenchmarkDelta(b *testing.B) {
	s := newStateWithAdapters(b, 120000)
	items, err := s.catalog.Items()
	if err != nil {
		b.Fatal(err)
	}
	one := []spreader.Item{items[len(items)/2]}
	c := s.catalog
	b.ReportAllocs()
	for b.Loop() {
		if c, err = c.With(c.revision+1, one); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPage(b *testing.B) {
	c := newStateWithAdapters(b, 120000).catalog
	b.ReportAllocs()
	for b.Loop() {
		if len(c.Page("member-060000", 100)) != 100 {
			b.Fatal("short page")
		}
	}
}

func BenchmarkResolve(b *testing.B) {
	c := newStateWithAdapters(b, 120000).catalog
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Resolve("member-061234@1"); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the memory of 120,000 adapters at an entry, in a replica's spreader and encoded.
func BenchmarkMemory(b *testing.B) {
	items, err := newStateWithAdapters(b, 120000).catalog.Items()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := heapBytes()
		c, err := (&Catalog{}).With(1, items)
		if err != nil {
			b.Fatal(err)
		}
		catalog := heapBytes()
		s := spreader.New()
		if err := s.Replace(1, items); err != nil {
			b.Fatal(err)
		}
		after := heapBytes()
		var wire int
		for _, d := range s.Since(0) {
			for _, it := range d.Items {
				wire += len(it.Key) + len(it.Value)
			}
		}
		b.ReportMetric(float64(catalog-before)/(1<<20), "catalog-MB")
		b.ReportMetric(float64(after-catalog)/(1<<20), "spread-MB")
		b.ReportMetric(float64(wire)/(1<<20), "wire-MB")
		runtime.KeepAlive(c)
		runtime.KeepAlive(s)
	}
}
