package governor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/logger"
	"redwingstage.org/standin/launcher"
)

func TestLeaderWatch(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	w := leaderWatch{lostAt: start}
	for _, row := range []struct {
		after       time.Duration
		known       bool
		warn, ended bool
	}{
		{time.Second, false, false, false},
		{1500 * time.Millisecond, true, false, false},
		{3400 * time.Millisecond, false, false, false},
		{3500 * time.Millisecond, false, true, false},
		{3750 * time.Millisecond, false, false, false},
		{8400 * time.Millisecond, false, false, false},
		{8500 * time.Millisecond, false, true, false},
		{9 * time.Second, true, false, true},
		{10 * time.Second, true, false, false},
		{12 * time.Second, false, true, false},
	} {
		_, warn, ended := w.check(start.Add(row.after), row.known)
		c.Check(warn, qt.Equals, row.warn, qt.Commentf("after %v", row.after))
		c.Check(ended, qt.Equals, row.ended, qt.Commentf("after %v", row.after))
	}
}

func TestLeaderWithoutLeaseIsNoLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	c.Check(knowsLeader(runner.Status{}, now), qt.IsFalse)
	c.Check(knowsLeader(runner.Status{ID: 1}, now), qt.IsFalse)
	c.Check(knowsLeader(runner.Status{ID: 1, Leader: 2}, now), qt.IsTrue)
	c.Check(knowsLeader(runner.Status{ID: 1, Leader: 1}, now), qt.IsFalse)
	c.Check(knowsLeader(runner.Status{ID: 1, Leader: 1, LeaseEnd: now.Add(1)}, now), qt.IsTrue)
}

func TestSlowWriteIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	var w writeWatch
	c.Check(w.isSlow(now, time.Time{}), qt.IsFalse)
	c.Check(w.isSlow(now.Add(electionTimeout), now), qt.IsFalse)
	c.Check(w.isSlow(now.Add(electionTimeout+1), now), qt.IsTrue)
	c.Check(w.isSlow(now.Add(time.Hour), now), qt.IsFalse)
	c.Check(w.isSlow(now.Add(time.Hour), now.Add(time.Second)), qt.IsTrue)
}

// Replicas of a group that had lost its quorum logged nothing until it was back.
func TestReplicaWithoutLeaderSaysSo(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	leader, _ := g.leader()
	others := []int{(leader + 1) % 3, (leader + 2) % 3}
	for _, i := range others {
		g.loseMachine(i)
	}
	c.Check(g.log.Await(testRecoverTime, "control: steps down", "no contact with a quorum"), qt.IsTrue)
	c.Check(g.log.Await(testRecoverTime, "control: asks for pre-votes"), qt.IsTrue)
	c.Check(g.log.Await(testRecoverTime, "control: no leader is known", `"role":"`, `"voters":"1 2 3"`, "ms ago"), qt.IsTrue)
	g.start(others[0], false)
	c.Check(g.log.Await(testRecoverTime, "control: a leader is known again", `"ms":`), qt.IsTrue)
	c.Check(g.log.Await(testRecoverTime, "control: leader of the log"), qt.IsTrue)
}

// A founder that waited for the others logged nothing, and has no members to name yet.
func TestFounderWithoutTheOthersSaysSo(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.loseMachine(1)
	g.loseMachine(2)
	c.Check(g.log.Await(testRecoverTime, "control: no leader is known", `"heard":"2 `), qt.IsTrue)
}

// A replica that nobody gave a place in the group logged nothing while it asked.
func TestReplicaThatFindsNoGroupSaysSo(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var addrs []string
	for range 2 {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		addrs = append(addrs, addr)
	}
	log := &LogBuffer{}
	gov, err := New(Config{Node: "core", Addr: addrs[0], DataFolder: c.TempDir(), Seeds: addrs}, Deps{
		Decode:  func(d Doc) (*matcher.Table, error) { return matcher.New(d.Version, nil, nil, matcher.Limits{}) },
		Engines: &stubEngines{}, Log: logger.New(log, "info"),
	})
	c.Assert(err, qt.IsNil)
	c.Check(log.Await(testRecoverTime, "control: join failed", `"addr":"`+addrs[1], "refused"), qt.IsTrue)
	c.Check(log.Await(testRecoverTime, "control: no leader is known", `"role":"no log"`, `"joins":"`+addrs[1]+": "), qt.IsTrue)
	c.Check(gov.Close(), qt.IsNil)
}

func TestJoinFailuresAreLoggedOnceInAWhile(t *testing.T) {
	c := qt.New(t)
	log := &LogBuffer{}
	ms := newMembership(Config{}, Deps{}, logger.New(log, "info").Component("control"))
	now := time.Unix(100, 0)
	ms.recordJoin(now, "a", joinReply{}, ErrNoLeader)
	ms.recordJoin(now.Add(leaderlessEvery-1), "a", joinReply{Redirect: "b"}, nil)
	ms.recordJoin(now.Add(leaderlessEvery-1), "b", joinReply{}, nil)
	ms.recordJoin(now.Add(leaderlessEvery), "a", joinReply{}, ErrNoLeader)
	c.Check(log.String(), qt.Matches, `.*"addr":"a","outcome":"no leader is known now","message":"control: join failed".*\n`+
		`.*"addr":"b","outcome":"refused",.*\n.*"addr":"a".*\n`)
	l := ms.leaderless(now, runner.Status{}, time.Second)
	c.Check(l.Joins, qt.Equals, "a: no leader is known now; b: refused")
	ms.clearJoins()
	c.Check(ms.leaderless(now, runner.Status{}, time.Second).Joins, qt.Equals, "")
}
