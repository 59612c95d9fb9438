package router

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkRoute(b *testing.B) {
	for _, engines := range []int{15, 600} {
		for _, adapters := range []int{3000, 120_000} {
			b.Run(fmt.Sprintf("engines=%d/adapters=%d", engines, adapters), func(b *testing.B) {
				r := New(Config{}, 1)
				r.Rebuild(roster(engines, nil), "base")
				buf := make([]Candidate, 0, maxCandidates)
				// Popularity falls with the number: most decisions are for few adapters.
				now, names := start, make([]int, 1<<16)
				for i := range names {
					names[i] = (i * i) % (1 + i%adapters)
				}
				targets := make([]string, adapters)
				for i := range targets {
					targets[i] = fmt.Sprint("a", i)
				}
				t := adapter(0)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(200 * time.Microsecond)
					t.Adapter = targets[names[i%len(names)]]
					buf = r.Route(now, t, 0, buf[:0])
					r.Begin(now, buf[0].Server, t)
					r.End(now, Feedback{Server: buf[0].Server, Target: t, Load: 0.3})
				}
			})
		}
	}
}
