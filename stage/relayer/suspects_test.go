package relayer

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

// Many callers send the same lookup: one that was in flight at crashes is cleared by the answer to any other one, at any
// entry.
func TestAnswerClearsEqualRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	lookup := func() *call { return &call{service: "s", req: &request{method: "GET", uri: "/stock/crate"}} }
	s := newSuspects("n")
	s.apply(now, false, []governor.DigestStanding{{Digest: lookup().digests()[0], Standing: quarantiner.Suspect}})
	c.Check(s.recordSound(now, lookup()), qt.DeepEquals, lookup().digests())
	other := lookup()
	other.req.uri = "/stock/rope"
	c.Check(s.recordSound(now, other), qt.HasLen, 0)
}

// An error that a server gave without running the request cleared a suspect that crashes servers.
func TestErrorsDontClearSuspects(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	req := func() *call { return &call{service: "s", req: &request{method: "GET", uri: "/stock/crate"}} }
	e.suspects.apply(time.Now(), false, []governor.DigestStanding{{Digest: req().digests()[0], Standing: quarantiner.Suspect}})
	for status, clears := range map[int]bool{200: true, 204: true, 404: true, 422: true, 408: false, 429: false, 500: false, 502: false, 503: false, 504: false} {
		e.recordEvidence(&attempt{call: req()}, attemptResult{outcome: outcomeAnswered, status: status})
		c.Check(len(e.control.queue) > 0, qt.Equals, clears, qt.Commentf("status %d", status))
		for len(e.control.queue) > 0 {
			<-e.control.queue
		}
	}
}

// Of the servers of a rack that ended together, those beyond the number of probes at once weren't reported.
func TestAllServersThatEndTogetherAreReported(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	e := startEntry(c)
	const servers = 3 * maxCrashProbes
	for n := range servers {
		a := &attempt{call: &call{service: "s", req: &request{method: "GET", uri: "/stock/crate"}}}
		a.choice.Key, a.choice.Addr = tracker.Key{ID: "x", StartedMS: int64(n)}, addr
		e.recordEvidence(a, attemptResult{outcome: outcomeUnknown, isBroken: true})
	}
	reported := make(map[tracker.Key]bool)
	for end := time.Now().Add(5 * time.Second); len(reported) < servers && time.Now().Before(end); {
		select {
		case up := <-e.control.queue:
			for _, crash := range up.Crashes {
				reported[crash.Server] = true
			}
		case <-time.After(10 * time.Millisecond):
		}
	}
	c.Check(reported, qt.HasLen, servers)
}

// A request on trial whose caller left, or whose time was over, before its server ended was due for the next trial at once.
func TestTrialFailsAfterItsRequestEnded(t *testing.T) {
	for _, o := range []outcome{outcomeCallerLeft, outcomeUnknown} {
		t.Run(outcomeNames[o], func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			a := &attempt{call: &call{service: "s", req: &request{method: "GET", uri: "/stock/crate"}, onTrial: true}}
			a.choice.Key, a.choice.Addr = tracker.Key{ID: "x", StartedMS: 1}, ln.Addr().String()
			e := startEntry(c)
			e.recordEvidence(a, attemptResult{outcome: o})
			time.AfterFunc(50*time.Millisecond, func() { _ = ln.Close() })
			select {
			case up := <-e.control.queue:
				c.Check(up.Trials, qt.HasLen, 0)
				c.Assert(up.Crashes, qt.HasLen, 1)
				c.Check(up.Crashes[0].Tried, qt.DeepEquals, a.call.digests())
			case <-time.After(5 * time.Second):
				c.Fatal("nothing was reported")
			}
		})
	}
}

// Only a server that no longer accepts connections has crashed; one that ends a connection hasn't. A server that closed its
// connections some time before its listener wasn't taken for ended.
func TestEndedConnectionIsNoCrash(t *testing.T) {
	for name, tt := range map[string]struct {
		ends  bool
		after time.Duration
	}{"ends": {true, 0}, "ends slowly": {true, 100 * time.Millisecond}, "goes on": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					_, err = bufio.NewReader(conn).ReadString('\n')
					switch {
					case err == nil && tt.ends && tt.after == 0:
						_ = ln.Close()
					case err == nil && tt.ends:
						time.AfterFunc(tt.after, func() { _ = ln.Close() })
					}
					_ = conn.Close()
				}
			}()
			e := startEntry(c)
			e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1, Engines: []tracker.Instance{{
				Key: tracker.Key{ID: "x"}, Service: "s", Addr: ln.Addr().String(), Slots: 4,
			}}})
			conn, err := net.Dial("tcp", e.listener.Addr().String())
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, "GET /once/ HTTP/1.1\r\nHost: "+testHost+"\r\n"+testAttempt+": a\r\nConnection: close\r\n\r\n")
			c.Assert(err, qt.IsNil)
			_, _ = io.ReadAll(conn)
			_ = conn.Close()
			wait := 100 * time.Millisecond
			for _, w := range crashProbeWaits {
				wait += w
			}
			time.Sleep(wait)
			crashes := 0
			for len(e.control.queue) > 0 {
				crashes += len((<-e.control.queue).Crashes)
			}
			want := 0
			if tt.ends {
				want = 1
			}
			c.Check(crashes, qt.Equals, want)
		})
	}
}
