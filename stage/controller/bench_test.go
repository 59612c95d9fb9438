package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
)

// benchCluster is a group of three replicas on disk, and entries behind a proxy that counts bytes.
type benchCluster struct {
	c       *qt.C
	ctls    []*Controller
	cfgs    []Config
	clients []*Client
	bytes   atomic.Int64
	closers []func()
}

// newReplicas starts three replicas, each with the option that more returns for its settings.
func newReplicas(b *testing.B, more func(Config) Option) *benchCluster {
	n := &benchCluster{c: qt.New(b)}
	var members []runner.Member
	for i := range 3 {
		cfg := Config{
			ID: uint64(i + 1), Cluster: "bench", Addr: freeAddr(n.c), OperatorsAddr: freeAddr(n.c), DataFolder: b.TempDir(),
			Tokens: []Token{{Name: "aisyah", Token: testToken}},
		}
		n.cfgs = append(n.cfgs, cfg)
		members = append(members, runner.Member{ID: cfg.ID, Addr: cfg.Addr})
	}
	for _, cfg := range n.cfgs {
		cfg.Members = members
		opts := []Option{WithLogger(noLogger())}
		if more != nil {
			opts = append(opts, more(cfg))
		}
		ctl, err := New(cfg, opts...)
		n.c.Assert(err, qt.IsNil)
		n.ctls = append(n.ctls, ctl)
	}
	return n
}

// entry starts an entry's client.
func (n *benchCluster) entry(name string, i int, controls []string) *Client {
	cl, err := NewClient(ClientConfig{
		Name: name, Incarnation: uint64(i + 1), Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
		Zone: fmt.Sprint(i % 5), ControlAddrs: controls,
	}, WithClientLogger(noLogger()))
	n.c.Assert(err, qt.IsNil)
	n.clients = append(n.clients, cl)
	return cl
}

func newBenchCluster(b *testing.B, entries, servers int) *benchCluster {
	n := newReplicas(b, nil)
	var controls []string
	for _, cfg := range n.cfgs {
		controls = append(controls, n.proxy(cfg.Addr))
	}
	for i := range entries {
		n.entry(fmt.Sprintf("entry-%d", i), i, controls)
	}
	n.every(time.Second, func() {
		for i := range servers {
			n.clients[i%entries].Announce(registrar.Server{
				Name: fmt.Sprintf("engine-%d", i), Kind: configurer.KindModel, Addr: "10.1.0.1:1", Zone: fmt.Sprint(i % 5), Service: "base", Incarnation: "i",
			})
		}
	})
	return n
}

// every runs f every d until close.
func (n *benchCluster) every(d time.Duration, f func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	n.closers = append(n.closers, func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			f()
			select {
			case <-stop:
				return
			case <-time.After(d):
			}
		}
	}()
}

// proxy forwards connections to addr and counts the bytes of both directions.
func (n *benchCluster) proxy(addr string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	n.c.Assert(err, qt.IsNil)
	n.closers = append(n.closers, func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", addr)
			if err != nil {
				_ = in.Close()
				continue
			}
			for _, p := range [][2]net.Conn{{in, out}, {out, in}} {
				go func() {
					_, _ = io.Copy(p[1], io.TeeReader(p[0], byteCounter{&n.bytes}))
					_ = p[0].Close()
					_ = p[1].Close()
				}()
			}
		}
	}()
	return l.Addr().String()
}

type byteCounter struct{ n *atomic.Int64 }

func (c byteCounter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

func (n *benchCluster) close() {
	for _, f := range n.closers {
		f()
	}
	var wg sync.WaitGroup
	for _, cl := range n.clients {
		wg.Go(func() { _ = cl.Close() })
	}
	wg.Wait()
	for _, ctl := range n.ctls {
		_ = ctl.Close()
	}
}

func (n *benchCluster) awaitRosters() {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, cl := range n.clients {
		awaitUpdate(ctx, n.c, cl, func() bool { return cl.Roster().Revision() > 0 })
	}
}

// apply applies one change with wait through the given replica and returns how long it took.
func (n *benchCluster) apply(replica *Controller, expect uint64) time.Duration {
	doc := sampleDoc()
	doc.Adapters[0].Versions[0] = configurer.VersionSpec{Number: int(expect) + 1, Source: "store/ipoh", Digest: "d"}
	doc.Adapters[0].Current = int(expect) + 1
	body, err := json.Marshal(applyBody{Change: fmt.Sprint("c", expect), Expect: &expect, Doc: doc, Wait: true, Timeout: "60s"})
	n.c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPost, "http://"+replica.cfg.OperatorsAddr+"/v1/apply", bytes.NewReader(body))
	n.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+testToken)
	began := time.Now()
	res, err := http.DefaultClient.Do(req)
	n.c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	n.c.Assert(res.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	return time.Since(began)
}

// BenchmarkInForce measures the time from an operator's request until a change is in force at every entry, with one of
// three control replicas stopped; first-ms is that of the first change after the stop.
func BenchmarkInForce(b *testing.B) {
	for _, entries := range []int{8, 320} {
		for _, down := range []string{"follower", "leader"} {
			b.Run(fmt.Sprintf("%d/%s", entries, down), func(b *testing.B) {
				n := newBenchCluster(b, entries, min(600, 2*entries))
				defer n.close()
				n.awaitRosters()
				st := n.ctls[0].log.Status()
				stopped := int(st.Leader - 1)
				if down == "follower" {
					stopped = (stopped + 1) % 3
				}
				n.apply(n.ctls[0], 0)
				_ = n.ctls[stopped].Close()
				replica := n.ctls[(stopped+1)%3]
				n.ctls = slices.Delete(slices.Clone(n.ctls), stopped, stopped+1)
				first := n.apply(replica, 1)
				var times []time.Duration
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					times = append(times, n.apply(replica, uint64(i+2)))
				}
				b.StopTimer()
				slices.Sort(times)
				b.ReportMetric(first.Seconds()*1000, "first-ms")
				b.ReportMetric(times[len(times)/2].Seconds()*1000, "p50-ms")
				b.ReportMetric(times[len(times)-1].Seconds()*1000, "max-ms")
			})
		}
	}
}

// BenchmarkBytes measures an entry's traffic while idle and the additional bytes of each change.
func BenchmarkBytes(b *testing.B) {
	const entries, idle, changes = 8, 20 * time.Second, 50
	n := newBenchCluster(b, entries, 2*entries)
	defer n.close()
	n.awaitRosters()
	n.apply(n.ctls[0], 0)
	time.Sleep(3 * time.Second)
	for b.Loop() {
		before := n.bytes.Load()
		time.Sleep(idle)
		idleRate := float64(n.bytes.Load()-before) / idle.Seconds() / entries
		before = n.bytes.Load()
		began := time.Now()
		revision := n.ctls[0].machine.catalogRevision()
		for i := range changes {
			n.apply(n.ctls[0], revision+uint64(i))
		}
		perChange := (float64(n.bytes.Load()-before)/entries - idleRate*time.Since(began).Seconds()) / changes
		b.ReportMetric(idleRate, "idle-B/s/node")
		b.ReportMetric(perChange, "B/change/node")
		b.ReportMetric(idleRate+perChange*1300/86400, "B/s/node@1300/day")
	}
}
