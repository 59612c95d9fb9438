package governor

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/standin/launcher"
)

// Handlers read hub.joiner without a lock, so that it must not be replaced when a leadership begins.
func TestNewLeadershipResetsJoiner(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	j := h.joiner
	j.assigned["a"], j.adding = 5, true
	h.startLeading(time.Now(), 1, 2)
	c.Check(h.joiner == j, qt.IsTrue)
	c.Check(j.assigned, qt.HasLen, 0)
	c.Check(j.adding, qt.IsFalse)
}

// The end of an addition from an earlier leadership must not clear adding for a later one.
func TestEarlierAdditionDoesNotEndLaterOne(t *testing.T) {
	c := qt.New(t)
	h := newLeadingHub(c, &stubEngines{}, 1)
	j := h.joiner
	ended := make(chan struct{})
	j.startAdding(func(context.Context) { <-ended })
	j.reset()
	j.adding = true
	close(ended)
	(<-h.events)(time.Now())
	c.Check(j.adding, qt.IsTrue)
}

// A replica whose addition took too long asked again and got another ID, for which it emptied its folder and began anew.
func TestFailedAdditionKeepsID(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	_, gov := g.leader()
	addr, err := launcher.FreeAddr(context.Background())
	c.Assert(err, qt.IsNil)
	first, err := gov.hub.joiner.assignID(context.Background(), joinRequest{Addr: addr})
	c.Assert(err, qt.IsNil)
	time.Sleep(addTimeout + 300*time.Millisecond)
	again, err := gov.hub.joiner.assignID(context.Background(), joinRequest{Addr: addr, ID: first.ID})
	c.Assert(err, qt.IsNil)
	c.Check(again.ID, qt.Equals, first.ID)
}

// A founder that its group had removed emptied its folder and took itself for a founder again, as long as its process ran.
// The group refused its new folder, and it never took part again.
func TestRemovedFounderJoinsAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	g.put(1)
	leader, gov := g.leader()
	removed := (leader + 1) % 3
	id := uint64(removed + 1)
	ctx, cancel := context.WithTimeout(context.Background(), testRecoverTime)
	defer cancel()
	c.Assert(gov.membership.log().RemoveMember(ctx, id), qt.IsNil)
	for end := time.Now().Add(testRecoverTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, gov := g.leader()
		r := gov.membership.log()
		if r == nil {
			continue
		}
		for _, m := range r.Status().Members {
			if m.Addr == g.addrs[removed] && m.ID != id && !m.Learner {
				return
			}
		}
	}
	c.Error("the replica isn't a voter again")
}

// An identity that couldn't be read for a moment, such as without a free descriptor, counted as missing, and the replica
// emptied its folder.
func TestUnreadableIdentityKeepsTheLog(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	g.put(1)
	leader, _ := g.leader()
	i := (leader + 1) % 3
	g.stop(i)
	path := filepath.Join(g.folder, strconv.Itoa(i), identityFile)
	c.Assert(os.Rename(path, path+".kept"), qt.IsNil)
	c.Assert(os.Mkdir(path, 0o755), qt.IsNil)
	g.start(i, true)
	c.Assert(g.log.Await(testApplyTime, "read the identity"), qt.IsTrue)
	c.Assert(os.Remove(path), qt.IsNil)
	c.Assert(os.Rename(path+".kept", path), qt.IsNil)
	for end := time.Now().Add(testRecoverTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := g.running[i].membership.log(); r != nil && r.Status().Leader != 0 {
			c.Check(r.Status().ID, qt.Equals, uint64(i+1))
			return
		}
	}
	c.Error("the replica has no leader")
}

// A replica that looked for its group ignored the addresses that its settings had got meanwhile, until it was started again.
func TestReplicaAsksAddedPeers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	addrs := g.addrs
	for range 2 {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		g.addrs = append(g.addrs, addr)
	}
	gone, joining := g.addrs[3], g.addrs[4]
	// The replica knows only an address that nobody listens on.
	g.addrs = []string{gone, gone, gone, gone, joining}
	g.start(4, false)
	g.addrs = append(addrs, gone, joining)
	g.running[4].AddPeers(addrs[1:2])
	for {
		if r := g.running[4].membership.log(); r != nil && r.Status().Leader != 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
