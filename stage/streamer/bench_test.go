package streamer

import (
	"context"
	"testing"
	"time"
)

// BenchmarkNext passes single events to a reader that waits for each, as with tokens that arrive one at a time.
func BenchmarkNext(b *testing.B) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	benchmarks := []struct {
		name string
		next func(s *Stream, spare []byte) (Part, error)
	}{
		{"no timeout", func(s *Stream, spare []byte) (Part, error) { return s.Next(context.Background(), spare) }},
		{"heartbeats", func(s *Stream, spare []byte) (Part, error) {
			timer.Reset(time.Hour)
			return s.NextBefore(context.Background(), spare, timer.C)
		}},
		{"context per event", func(s *Stream, spare []byte) (Part, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			return s.Next(ctx, spare)
		}},
	}
	event := make([]byte, 200)
	for _, bm := range benchmarks {
		b.Run(bm.name, func(b *testing.B) {
			b.ReportAllocs()
			s, consumed := New(1<<20), make(chan struct{})
			go func() {
				for range b.N {
					_ = s.Data(event)
					<-consumed
				}
			}()
			var spare []byte
			for range b.N {
				p, err := bm.next(s, spare)
				if err != nil || len(p.Data) != len(event) {
					b.Fatal(err, len(p.Data))
				}
				spare = p.Data
				consumed <- struct{}{}
			}
		})
	}
}
