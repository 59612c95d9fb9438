package registrar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"redwingstage.org/coord/leaser"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/configurer"
)

// Size of the target deployment.
const (
	benchServers = 600
	benchEntries = 320
	benchZones   = 5
)

func benchRegistry(b *testing.B) (*Registry, time.Time) {
	b.Helper()
	now := start
	r := New(leaser.New(1, now, true, leaser.WithTTL(time.Hour)), WithServerTTL(time.Hour))
	for i := range benchEntries {
		r.Join(now, Entry{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1, Addr: fmt.Sprint(i), Zone: fmt.Sprint(i % benchZones)})
	}
	for i := range benchServers {
		err := r.Announce(now, Server{
			Name: fmt.Sprintf("engine-%d", i), Kind: configurer.KindModel, Addr: "10.1.0.1:1", Zone: fmt.Sprint(i % benchZones), Service: "base", Incarnation: "i",
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	return r, now
}

// BenchmarkAssign assigns 600 servers to 320 entries at once, as after a change of leader.
func BenchmarkAssign(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		r, now := benchRegistry(b)
		b.StartTimer()
		r.Tick(now)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchServers, "ns/server")
}

// BenchmarkTick measures a tick without changes.
func BenchmarkTick(b *testing.B) {
	r, now := benchRegistry(b)
	r.Tick(now)
	b.ReportAllocs()
	for b.Loop() {
		r.Tick(now)
	}
}

// BenchmarkRoster applies the change of one owner to an entry's roster.
func BenchmarkRoster(b *testing.B) {
	r, now := benchRegistry(b)
	r.Tick(now)
	items, err := r.Changes()
	if err != nil {
		b.Fatal(err)
	}
	roster, err := NewRoster(0, nil, nil, nil).With(1, true, items)
	if err != nil {
		b.Fatal(err)
	}
	at := slices.IndexFunc(items, func(it spreader.Item) bool { _, ok := OwnerKey(it); return ok })
	b.ReportAllocs()
	for b.Loop() {
		if roster, err = roster.With(roster.Revision()+1, false, items[at:at+1]); err != nil {
			b.Fatal(err)
		}
	}
}
