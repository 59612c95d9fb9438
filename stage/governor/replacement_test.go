package governor

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/standin/launcher"
)

const (
	// testSyncTime is the time after which a new replica counts as the successor of one that is gone.
	testSyncTime = 4 * time.Second
	// testRecoverTime bounds the time until the group serves again after all its replicas have restarted.
	testRecoverTime = 12 * time.Second
)

// add starts a new replica with an empty data folder and returns its number.
func (g *group) add() int {
	addr, err := launcher.FreeAddr(context.Background())
	g.c.Assert(err, qt.IsNil)
	g.addrs = append(g.addrs, addr)
	g.start(len(g.addrs)-1, false)
	return len(g.addrs) - 1
}

// loseMachine ends a replica as a loss of power does: it gives up neither its leadership nor its vote.
func (g *group) loseMachine(i int) {
	gov := g.running[i]
	gov.cancel()
	g.c.Check(gov.server.Close(), qt.IsNil)
	gov.wg.Wait()
	delete(g.running, i)
}

// loseDisks takes the power of all replicas. All but the one that is gone come back, n of them, the successor not among them,
// with empty disks.
func (g *group) loseDisks(n, gone, successor int) {
	for i := range g.addrs {
		if g.running[i] != nil {
			g.loseMachine(i)
		}
	}
	for i := range g.addrs {
		if i == gone {
			continue
		}
		if n > 0 && i != successor {
			g.wipe(i)
			n--
		}
		g.start(i, false)
	}
}

// versionWithin returns the version of the document in force, or 0 if no replica serves it within d.
func (g *group) versionWithin(d time.Duration) uint64 {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, gov := range g.running {
			if doc, err := gov.Doc(context.Background()); err == nil {
				return doc.Version
			}
		}
	}
	return 0
}

// A replica that was gone for good kept its vote beside its successor's, so that the group had no quorum after the loss of
// as many disks as it tolerates.
func TestReplacedReplicaDoesNotCountForQuorum(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newGroup(c, size)
			g.awaitVoters(size)
			g.put(1)
			leader, _ := g.leader()
			g.loseMachine((leader + 1) % size)
			successor := g.add()
			time.Sleep(testSyncTime)
			g.put(2)
			g.loseDisks((size-1)/2, (leader+1)%size, successor)
			c.Check(g.versionWithin(testRecoverTime), qt.Equals, uint64(2))
		})
	}
}

// A replica that was replaced as planned kept its vote beside its successor's when it stopped: the group of one voter more
// had no quorum after the loss of as many disks as it tolerates.
func TestReplicaThatStopsAsPlannedDoesNotCountForQuorum(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5, 7} {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprint(size, leads), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				g := newGroup(c, size)
				g.awaitVoters(size)
				g.put(1)
				successor := g.add()
				time.Sleep(testSyncTime)
				replaced, _ := g.leader()
				if !leads {
					replaced = (replaced + 1) % size
				}
				g.stop(replaced)
				g.put(2)
				g.loseDisks((size-1)/2, replaced, successor)
				c.Check(g.versionWithin(testRecoverTime), qt.Equals, uint64(2))
			})
		}
	}
}
