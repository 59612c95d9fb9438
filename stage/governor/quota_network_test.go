package governor_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/relayer"
	"redwingstage.org/standin/launcher"
)

var (
	networkQuota  = matcher.Quota{Rate: 20, Burst: 20}
	networkBounds = limiter.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 20}
)

// decodeLimited returns a table with an account that is limited in requests.
func decodeLimited(d governor.Doc) (*matcher.Table, error) {
	route := matcher.Route{
		Name: "r", Host: "h.example", Prefix: "/", Timeout: 5 * time.Second, LatencyTarget: 200 * time.Millisecond, Attempts: 1,
		Shares: []matcher.Share{{Service: "s", Weight: 1}},
	}
	account := matcher.Account{Name: "a", Keys: []matcher.KeyHash{matcher.HashKey("k")}, Priority: matcher.NoPriority, Quota: networkQuota}
	return matcher.New(d.Version, []matcher.Route{route}, []matcher.Service{{Name: "s"}}, matcher.Limits{}, account)
}

// startLimitedReplicas starts three replicas and returns them once all of them relay, the leader first.
func startLimitedReplicas(c *qt.C) (replicas []*governor.Governor, addrs []string) {
	for range 3 {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		addrs = append(addrs, addr)
	}
	for i, addr := range addrs {
		g, err := governor.New(governor.Config{
			Node: fmt.Sprint("core-", i), Zone: "z", Addr: addr, DataFolder: filepath.Join(c.TempDir(), "data"), Seeds: addrs, NewDeployment: true,
			Tolerated: 1, Quota: networkBounds,
		}, governor.Deps{Decode: decodeLimited, Engines: noEngines{}, Log: logger.New(io.Discard, "error")})
		c.Assert(err, qt.IsNil)
		replicas = append(replicas, g)
	}
	for {
		for i, g := range replicas {
			if g.Leads() && replicas[0].Relays() && replicas[1].Relays() && replicas[2].Relays() {
				replicas[0], replicas[i] = replicas[i], replicas[0]
				return replicas, addrs
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startLimitedEntry starts an entry and returns the address of its callers' listener.
func startLimitedEntry(c *qt.C, node string, controls []string) string {
	addr, err := launcher.FreeAddr(context.Background())
	c.Assert(err, qt.IsNil)
	e, err := relayer.New(relayer.Config{
		Node: node, Zone: "z", CallersAddr: addr, ReadyAddr: "127.0.0.1:0", Controls: controls, RetryWindow: time.Second, Quota: networkBounds,
	}, relayer.Deps{Headers: relayer.Headers{
		AttemptID: "X-Attempt", Deadline: "X-Deadline", Expect: "X-Expect", ExpectVersion: "X-Version", Priority: "X-Priority",
		Model: "X-Model", Resume: "X-Resume", Leaving: "X-Leaving", Seal: "X-Seal", NotRun: "X-Not-Run", Key: "X-Key", Account: "X-Account", ReadyPath: "/ready",
		ParseKey:   func(v string) (string, bool) { return v, v != "" },
		ParseModel: func(string) tracker.Adapter { return tracker.Adapter{} },
		ParseUsage: func(string) (int, int) { return 0, 0 },
	}, Decode: decodeLimited, Log: logger.New(io.Discard, "error")})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := e.Close(ctx); err != nil {
			c.Check(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
		}
	})
	return addr
}

// ask sends a request and returns its status, 0 if there is no answer.
func ask(addr string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/x", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt", "id-1")
	r.Header.Set("X-Key", "k")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// An account sends more than its limit at two entries, and the leader ends amid it: the entries together admit what the limit
// gives, before and after the change of leader, and never more.
func TestQuotaOverChangeOfLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	replicas, addrs := startLimitedReplicas(c)
	c.Cleanup(func() {
		for _, g := range replicas[1:] {
			c.Check(g.Close(), qt.IsNil)
		}
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
		w.Header().Set("X-Seal", "seal")
	}))
	c.Cleanup(server.Close)
	c.Assert(replicas[0].PutDoc(context.Background(), governor.Doc{Version: 1}), qt.IsNil)
	c.Assert(replicas[0].Announce(context.Background(), tracker.Instance{
		Key: tracker.Key{ID: "s0", StartedMS: 1}, Service: "s", Zone: "z", Addr: server.Listener.Addr().String(), Sequence: 1, Slots: 64,
	}), qt.IsNil)
	entries := []string{startLimitedEntry(c, "n0", addrs), startLimitedEntry(c, "n1", addrs)}

	start := time.Now()
	var admitted, refused atomic.Int64
	sendUntil := func(target int64) {
		var callers conc.WaitGroup
		for i := range 8 {
			callers.Go(func() {
				for admitted.Load() < target {
					switch ask(entries[i%len(entries)]) {
					case http.StatusOK:
						admitted.Add(1)
					case http.StatusTooManyRequests:
						refused.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		callers.Wait()
	}
	sendUntil(60)
	c.Assert(replicas[0].Close(), qt.IsNil)
	sendUntil(140)
	took := time.Since(start)
	most := networkBounds.Limit(networkQuota) + networkQuota.Rate*(took-networkBounds.Window).Seconds()
	t.Logf("%d admitted and %d refused in %v, at most %.0f are allowed", admitted.Load(), refused.Load(), took, most)
	c.Check(float64(admitted.Load()) <= most, qt.IsTrue)
	c.Check(refused.Load() > 0, qt.IsTrue)
}
