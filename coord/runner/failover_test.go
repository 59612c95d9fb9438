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
		"isolated": func(s *sim, n *simNode) { s.cutFor(n, true, true, healEnd) },
	} {
		b.Run(name, func(b *testing.B) {
			var took []time.Duration
			for seed := uint64(0); b.Loop(); seed++ {
				s := newSim(seed, 3, weakness{})
				s.loss = 0
				s.run(outage, func() bool { return false })
				lead, x, y := s.roles()
				lose(s, lead)
				began := s.now
				s.run(healEnd, func() bool { return x.r.Status().IsLeader(x.time()) || y.r.Status().IsLeader(y.time()) })
				took = append(took, s.now-began)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
			b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
		})
	}
}
