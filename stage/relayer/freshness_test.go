package relayer

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
)

// An entry that hadn't heard of the leader for seconds refused new routes and keys as unknown from the moment at which it gave
// its session up until that had ended.
func TestNothingIsDeniedWhileStaleSessionEnds(t *testing.T) {
	for name, giveUp := range map[string]func(*controlClient){
		"goes to another replica": func(cc *controlClient) { cc.leave("relay", "other") },
		"returns to its data centre": func(cc *controlClient) {
			cc.returnToLocalZone(time.Now())
		},
		"was refused a session": func(cc *controlClient) {
			cc.mu.Lock()
			defer cc.mu.Unlock()
			cc.addr, cc.cancel = "", nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := startEntry(c)
			cc := e.control
			setConfirmation(e, time.Time{})
			cc.receive("relay", governor.DownMessage{
				Welcome: &governor.Welcome{LeaderEpoch: 1}, Replicas: []governor.Peer{{Addr: "relay", Zone: "far"}, {Addr: "other", Zone: "z"}},
			}, time.Now().Add(-time.Minute))
			cc.mu.Lock()
			cc.addr, cc.cancel = "relay", func() {}
			cc.mu.Unlock()
			req := &request{host: testHost, path: "/new/"}
			d := e.decideNow(req)
			c.Assert(d.refusal.status, qt.Equals, http.StatusServiceUnavailable)
			giveUp(cc)
			d = e.decideNow(req)
			c.Check(d.refusal.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("leader's age %v", d.leaderAge))
		})
	}
}

// An entry that couldn't read a document went on to refuse by the one before as if that were the newest.
func TestUnreadableDocumentConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	readable := false
	e.deps.Decode = func(d governor.Doc) (*matcher.Table, error) {
		if !readable {
			return nil, http.ErrBodyNotAllowed
		}
		return matcher.New(d.Version, nil, nil, matcher.Limits{})
	}
	confirm := func(d governor.DownMessage) { e.control.receive("relay", d, time.Now().Add(time.Hour)) }
	status := func() int {
		d := e.decideNow(&request{host: testHost, path: "/new/"})
		return d.refusal.status
	}
	confirm(governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}})
	c.Check(status(), qt.Equals, http.StatusNotFound)
	e.control.mu.Lock()
	e.control.addr, e.control.cancel = "relay", func() {}
	e.control.mu.Unlock()
	setConfirmation(e, time.Now().Add(-time.Minute))
	confirm(governor.DownMessage{Doc: &governor.Doc{Version: 9}})
	confirm(governor.DownMessage{Heartbeat: 2})
	c.Check(status(), qt.Equals, http.StatusServiceUnavailable)
	_, leaves := e.control.staleReplica(time.Now())
	c.Check(leaves, qt.IsFalse, qt.Commentf("another replica has no other document"))
	readable = true
	confirm(governor.DownMessage{Doc: &governor.Doc{Version: 10}})
	c.Check(status(), qt.Equals, http.StatusNotFound)
}
