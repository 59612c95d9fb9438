package governor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
)

// A refused call had the same text whether no log was open, no leader was known or the leader's lease had expired.
func TestRefusalNamesItsReason(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	members := []runner.Member{{ID: 1, Addr: "10.0.0.1:7"}, {ID: 2, Addr: "10.0.0.2:7"}, {ID: 3, Addr: "no address"}}
	for _, row := range []struct {
		leader uint64
		lease  time.Duration
		reason string
	}{
		{0, 0, reasonNoLeader},
		{1, 0, reasonLeaseExpired},
		{1, -time.Millisecond, reasonLeaseExpired},
		{3, 0, reasonNoLeader},
		{4, 0, reasonNoLeader},
	} {
		err := checkStatus(runner.Status{ID: 1, Leader: row.leader, LeaseEnd: now.Add(row.lease), Members: members}, now)
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", row))
		c.Check(refused.Reason, qt.Equals, row.reason)
		c.Check(errors.Is(err, ErrNoLeader), qt.IsTrue)
	}
	c.Check(checkStatus(runner.Status{ID: 1, Leader: 1, LeaseEnd: now.Add(1)}, now), qt.IsNil)
	var other *NotLeaderError
	c.Assert(errors.As(checkStatus(runner.Status{ID: 1, Leader: 2, Members: members}, now), &other), qt.IsTrue)
	c.Check(other.Host, qt.Equals, "10.0.0.2")
}

func TestFailedCallsToTheLogNameTheirReason(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		err    error
		reason string
	}{
		{errors.Wrap(&runner.NotLeaderError{}, "confirm the lead"), reasonLeaderChanged},
		{errors.Wrap(context.DeadlineExceeded, "confirm the lead"), reasonUnconfirmed},
		{&runner.UncertainError{Err: context.DeadlineExceeded}, reasonUncommitted},
		{&runner.UncertainError{}, reasonOutcomeUnknown},
		{&runner.UncertainError{Err: runner.ErrClosed}, reasonOutcomeUnknown},
		{runner.ErrClosed, reasonNoLog},
		{&RefusedError{Reason: reasonNoLog, Err: ErrNoLeader}, reasonNoLog},
	} {
		err := refuse(row.err, reasonUnconfirmed)
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", row.err))
		c.Check(refused.Reason, qt.Equals, row.reason)
		c.Check(errors.Is(err, row.err), qt.IsTrue)
		c.Check(err.Error(), qt.Equals, row.err.Error())
	}
	other := errors.New("invalid")
	c.Check(refuse(other, reasonUnconfirmed), qt.Equals, other)
}

// Reads at a leader that loses its quorum must all be refused with a known reason.
func TestReadsWithoutQuorumNameTheirReason(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	g.put(1)
	leader, gov := g.leader()
	for i := range 3 {
		if i != leader {
			g.loseMachine(i)
		}
	}
	known := map[string]bool{reasonUnconfirmed: true, reasonLeaderChanged: true, reasonLeaseExpired: true, reasonNoLeader: true}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := gov.Doc(ctx)
		cancel()
		if err == nil {
			continue
		}
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(known[refused.Reason], qt.IsTrue, qt.Commentf("%s", refused.Reason))
		if refused.Reason == reasonNoLeader {
			return
		}
	}
}
