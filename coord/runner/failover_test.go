package runner

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkFailover measures the virtual time from the loss of a leader until another replica holds a lease.
func BenchmarkFailover(b *testing.B) {
	for name, lose := range map[string]func(s *sim, n *simNode){
		"killed":   func(_ *sim, n *simNode) { n.kill() },
		"isolated": func(s *sim, n *simNode) { s.cutFor(n, true, true, recoveryEnd) },
	} {
		b.Run(name, func(b *testing.B) {
			var latencies []time.Duration
			for seed := uint64(0); b.Loop(); seed++ {
				s := newSim(seed, 3, mutation{})
				s.lossRate = 0
				s.run(outage, func() bool { return false })
				leader, x, y := s.roles()
				lose(s, leader)
				start := s.now
				s.run(recoveryEnd, func() bool { return x.r.Status().IsLeader(x.time()) || y.r.Status().IsLeader(y.time()) })
				latencies = append(latencies, s.now-start)
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-ms")
			b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "max-ms")
		})
	}
}
