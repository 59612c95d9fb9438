package runner_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
)

// BenchmarkPropose measures the time to commit and apply a command with real syncs over loopback.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			leader := newGroup(b, 3).leader()
			cmd := binary.BigEndian.AppendUint64(nil, 1)
			var latencies []time.Duration
			var mu sync.Mutex
			var wg sync.WaitGroup
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			b.ResetTimer()
			for range proposers {
				wg.Go(func() {
					var local []time.Duration
					for remaining.Add(-1) >= 0 {
						start := time.Now()
						if _, err := leader.Propose(context.Background(), cmd); err != nil {
							b.Error(err)
							return
						}
						local = append(local, time.Since(start))
					}
					mu.Lock()
					defer mu.Unlock()
					latencies = append(latencies, local...)
				})
			}
			wg.Wait()
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
		})
	}
}

// BenchmarkRestart measures New after a number of commands.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			g := newGroup(b, 1, runner.WithSnapshotEvery(2000, 1<<20))
			leader := g.leader()
			const parallel = 500
			var wg sync.WaitGroup
			for range parallel {
				wg.Go(func() {
					for range changes / parallel {
						if _, err := leader.Propose(context.Background(), make([]byte, 100)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			for b.Loop() {
				b.StopTimer()
				g.stop(1)
				g.listen(1)
				b.StartTimer()
				g.start(1, g.members)
			}
		})
	}
}

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdle measures the idle traffic above TCP at the leader, which is an end of every connection with traffic.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			const duration = 10 * time.Second
			g := &group{
				tb: b, listeners: map[uint64]net.Listener{}, nodes: map[uint64]*node{}, folder: b.TempDir(),
				cfg: runner.Config{Cluster: "test"},
			}
			b.Cleanup(g.stopAll)
			var bytes atomic.Int64
			for id := uint64(1); id <= uint64(size); id++ {
				g.members = append(g.members, g.listen(id))
				g.listeners[id] = countingListener{g.listeners[id], &bytes}
			}
			for _, mb := range g.members {
				g.start(mb.ID, g.members)
			}
			qt.Assert(b, g.add(1), qt.Equals, uint64(1))
			for b.Loop() {
				bytes.Store(0)
				time.Sleep(duration)
			}
			b.ReportMetric(float64(bytes.Load())/duration.Seconds(), "bytes/s")
		})
	}
}
