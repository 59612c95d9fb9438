package controller

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"redwingstage.org/serving/recorder"
)

// BenchmarkBookings measures the latency that the log adds to a booking, with three replicas on disk, beside a bare sync
// of the same disk in the same run.
func BenchmarkBookings(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			t := newTracer(false)
			n := newTracedCluster(b, t)
			defer n.close()
			var controls []string
			for _, cfg := range n.cfgs {
				controls = append(controls, cfg.Addr)
			}
			for i := range 8 {
				n.entry(fmt.Sprintf("entry-%d", i), i, controls)
			}
			n.awaitLeases(8)
			syncs := n.syncTimes(b)
			var mu sync.Mutex
			var begins, both []time.Duration
			var wg sync.WaitGroup
			t.reset()
			b.ResetTimer()
			began := time.Now()
			for caller := range callers {
				wg.Go(func() {
					for i := caller; i < b.N; i += callers {
						first, all := n.book(i, caller)
						mu.Lock()
						begins, both = append(begins, first), append(both, all)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			t.report(b, b.N)
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "bookings/s")
			reportPercentiles(b, "sync", syncs)
			reportPercentiles(b, "begin", begins)
			reportPercentiles(b, "beginend", both)
		})
	}
}

// awaitLeases waits until all entries hold a lease.
func (n *benchCluster) awaitLeases(entries int) {
	for range 2000 {
		live := 0
		for _, cl := range n.clients {
			if time.Now().Before(cl.LeaseEnd()) {
				live++
			}
		}
		if live == entries {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.c.Fatal("entries got no lease")
}

func (n *benchCluster) book(i, caller int) (begin, both time.Duration) {
	cl := n.clients[caller%len(n.clients)]
	start := time.Now()
	n.begin(cl, i)
	begin = time.Since(start)
	n.end(cl, i)
	return begin, time.Since(start)
}

func benchKey(i int) recorder.Key {
	return recorder.Key{Caller: "c", Service: "orders", Key: fmt.Sprint("k", i)}
}

func (n *benchCluster) begin(cl *Client, i int) {
	begun, err := cl.BeginBooking(context.Background(), recorder.Begin{Key: benchKey(i), Attempt: fmt.Sprint("a", i)})
	if err != nil || begun.Decision != recorder.DecisionRun {
		// Another decision means that state of an earlier run with the same keys is still there.
		n.c.Errorf("begin: decision %d, error %v", begun.Decision, err)
	}
}

func (n *benchCluster) end(cl *Client, i int) {
	err := cl.EndBooking(context.Background(), recorder.End{
		Key: benchKey(i), Attempt: fmt.Sprint("a", i), Outcome: recorder.OutcomeDone,
		Answer: recorder.Answer{Status: 201, Type: "application/json", Body: []byte(`{"order":"12345678","crates":2}`)},
	})
	if err != nil {
		n.c.Errorf("end: %v", err)
	}
}

// syncTimes measures bare syncs of a small append.
func (n *benchCluster) syncTimes(b *testing.B) []time.Duration {
	f, err := os.Create(filepath.Join(b.TempDir(), "sync"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var times []time.Duration
	for range 300 {
		start := time.Now()
		if _, err := f.Write(make([]byte, 256)); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	return times
}

func reportPercentiles(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, name+"-p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, name+"-p99-ms")
}
