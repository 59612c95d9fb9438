package scheduler

import (
	"fmt"
	"testing"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
)

// BenchmarkHandle measures a whole request (arrival, send, three reports of progress, end) at an entry that owns its share of the engines.
func BenchmarkHandle(b *testing.B) {
	for _, size := range []struct{ engines, entries int }{{15, 8}, {600, 320}, {600, 8}} {
		for _, adapters := range []int{3000, 120_000} {
			b.Run(fmt.Sprintf("engines=%d/entries=%d/adapters=%d", size.engines, size.entries, adapters), func(b *testing.B) {
				s, owned := New(Config{MaxReportAge: 1 << 62}, 1), max(size.engines/size.entries, 1)
				for i := range owned {
					sv := registrar.Server{Name: fmt.Sprint("e", i), Kind: configurer.KindModel, Service: "base", Slots: 8, Batch: 16}
					s.Handle(start, Owned{Server: sv, Epoch: 1, RequestedAt: start, Residents: []configurer.Target{target(0), target(1), target(2)}})
				}
				jobs := make([]Job, adapters)
				for i := range jobs {
					jobs[i] = Job{Server: fmt.Sprint("e", i%owned), Target: target(i % 3), Class: "chat", Urgent: true}
				}
				now, open := start, make([]retrier.Attempt, 8)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					a := retrier.NewAttempt("n", 1, uint64(i+1))
					j := jobs[i%adapters]
					j.Attempt, j.Arrived = a, now
					s.Handle(now, Arrived{Job: j})
					for n := range 3 {
						s.Handle(now, Progress{Attempt: a, Tokens: n + 1})
					}
					s.Handle(now, Ended{Attempt: open[i%len(open)], OK: true, Tokens: 8})
					open[i%len(open)] = a
				}
			})
		}
	}
}

// BenchmarkTick measures Tick at an entry with a full batch and a queue for each engine.
func BenchmarkTick(b *testing.B) {
	for _, owned := range []int{2, 75} {
		b.Run(fmt.Sprint("owned=", owned), func(b *testing.B) {
			s := New(Config{FirstTokenTimeout: 1 << 50}, 1)
			for i := range owned {
				sv := registrar.Server{Name: fmt.Sprint("e", i), Kind: configurer.KindModel, Service: "base", Slots: 8, Batch: 16}
				s.Handle(start, Owned{Server: sv, Epoch: 1, RequestedAt: start, Residents: []configurer.Target{target(0)}})
				for n := range 32 {
					a := retrier.NewAttempt("n", uint64(i), uint64(n+1))
					s.Handle(start, Arrived{Job: Job{Attempt: a, Server: sv.Name, Target: target(0), Urgent: true, IsLastCandidate: true}})
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Handle(start.Add(time.Duration(i%1000)*time.Microsecond), Tick{})
			}
		})
	}
}
