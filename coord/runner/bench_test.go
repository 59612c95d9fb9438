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
			lead := newGroup(b, 3).leader()
			cmd := binary.BigEndian.AppendUint64(nil, 1)
			var took []time.Duration
			var mu sync.Mutex
			var wg sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			for range proposers {
				wg.Go(func() {
					var own []time.Duration
					for left.Add(-1) >= 0 {
						began := time.Now()
						if _, err := lead.Propose(context.Background(), cmd); err != nil {
							b.Error(err)
							return
						}
						own = append(own, time.Since(began))
					}
					mu.Lock()
					defer mu.Unlock()
					took = append(took, own...)
				})
			}
			wg.Wait()
			b.StopTimer()
			slices.Sort(took)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
		})
	}
}

// BenchmarkRestart measures New after a number of commands.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			g := newGroup(b, 1, runner.WithSnapshotEvery(2000, 1<<20))
			lead := g.leader()
			const parallel = 500
			var wg sync.WaitGroup
			for range parallel {
				wg.Go(func() {
					for range changes / parallel {
						if _, err := lead.Propose(context.Background(), make([]byte, 100)); err != nil {
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

// countedListener counts the bytes read and written on its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdle measures the idle traffic above TCP at the leader, which is an end of every connection with traffic.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			const span = 10 * time.Second
			g := &group{
				tb: b, lis: map[uint64]net.Listener{}, nodes: map[uint64]*node{}, folder: b.TempDir(),
				cfg: runner.Config{Cluster: "test"},
			}
			b.Cleanup(g.stopAll)
			var bytes atomic.Int64
			for id := uint64(1); id <= uint64(size); id++ {
				g.members = append(g.members, g.listen(id))
				g.lis[id] = countedListener{g.lis[id], &bytes}
			}
			for _, mb := range g.members {
				g.start(mb.ID, g.members)
			}
			qt.Assert(b, g.add(1), qt.Equals, uint64(1))
			for b.Loop() {
				bytes.Store(0)
				time.Sleep(span)
			}
			b.ReportMetric(float64(bytes.Load())/span.Seconds(), "bytes/s")
		})
	}
}
