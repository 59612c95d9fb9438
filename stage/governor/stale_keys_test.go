package governor_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/relayer"
	"redwingstage.org/standin/launcher"
)

// keyApplyTime leaves a loaded machine time between an entry's first doubt, at half of it, and the bound.
const keyApplyTime = 6 * time.Second

// decodeKeys decodes a document that is a list of one account's keys, for a route without servers.
func decodeKeys(d governor.Doc) (*matcher.Table, error) {
	a := matcher.Account{Name: "a", Priority: matcher.NoPriority}
	for _, k := range strings.Fields(string(d.Body)) {
		a.Keys = append(a.Keys, matcher.HashKey(k))
	}
	r := matcher.Route{Host: "h", Prefix: "/a/", Timeout: time.Second, Attempts: 1, Shares: []matcher.Share{{Service: "s", Weight: 1}}}
	return matcher.New(d.Version, []matcher.Route{r}, []matcher.Service{{Name: "s"}}, matcher.Limits{}, a)
}

// startKeyEntry starts an entry at a relay and returns its address.
func startKeyEntry(c *qt.C, zone string, controls []string) string {
	front, err := launcher.FreeAddr(context.Background())
	c.Assert(err, qt.IsNil)
	e, err := relayer.New(relayer.Config{
		Node: "entry", Zone: zone, CallersAddr: front, ReadyAddr: "127.0.0.1:0", Controls: controls, RetryWindow: time.Second, ApplyTime: keyApplyTime,
	}, relayer.Deps{Headers: relayer.Headers{
		ReadyPath: "/ready", AttemptID: "X-Attempt", Key: "X-Key", Account: "X-Account",
		ParseKey:   func(v string) (string, bool) { return v, true },
		ParseModel: func(string) tracker.Adapter { return tracker.Adapter{} },
		ParseUsage: func(string) (int, int) { return 0, 0 },
	}, Decode: decodeKeys, Log: logger.New(io.Discard, "error")})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = e.Close(ctx)
	})
	return front
}

// askWithKey returns what an entry answers to a request with a key: "known", "unknown" for 401, or "unsure".
func askWithKey(c *qt.C, front, key string) string {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+front+"/a/", http.NoBody)
	c.Assert(err, qt.IsNil)
	req.Host = "h"
	req.Header.Set("X-Attempt", "id")
	req.Header.Set("X-Key", key)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	switch {
	case res.StatusCode == http.StatusUnauthorized:
		return "unknown"
	case strings.Contains(string(body), "no server answers"):
		return "known"
	}
	c.Assert(res.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	return "unsure"
}

// The cause of lost-quorum.md, for keys: an entry beside a relay that has lost the leader must neither deny a key that was added
// nor use one that was taken away for longer than a document may take to be in force.
func TestKeysAtEntryBesideRelayThatLostLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	replicas, addrs := startReplicas(c)
	leader, cut := replicas[0], replicas[1]
	put := func(version uint64, keys string) {
		for leader.PutDoc(context.Background(), governor.Doc{Version: version, Body: []byte(keys)}) != nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	put(1, "stays goes")
	for !cut.Relays() {
		time.Sleep(5 * time.Millisecond)
	}
	front := startKeyEntry(c, addrs[1], addrs[1:2])
	for askWithKey(c, front, "goes") != "known" {
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(askWithKey(c, front, "comes"), qt.Equals, "unknown")
	cut.LoseLeader(leader)
	put(2, "stays comes")
	bound := time.Now().Add(keyApplyTime)
	for askWithKey(c, front, "comes") != "known" {
		c.Assert(time.Now().Before(bound), qt.IsTrue, qt.Commentf("a key that was added isn't known in time"))
	}
	c.Check(askWithKey(c, front, "goes"), qt.Equals, "unknown")
	c.Check(askWithKey(c, front, "stays"), qt.Equals, "known")
}
