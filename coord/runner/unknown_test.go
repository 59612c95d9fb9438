package runner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
)

// A replica whose machine couldn't execute a command went on without it: its state, and the snapshots that it wrote of it, lacked
// the command for good.
func TestReplicaStopsBeforeCommandThatItCannotApply(t *testing.T) {
	c := qt.New(t)
	// A snapshot after each command would contain the missing one.
	g := newGroup(t, 3, runner.WithSnapshotEvery(1, 1<<20))
	c.Assert(g.add(1), qt.Equals, uint64(1))
	leader := g.leader().Status().ID
	id := leader%3 + 1
	g.stop(id)
	g.listen(id)
	old := g.startWith(id, g.members, &counter{unknown: 7})
	c.Assert(g.add(7), qt.Equals, uint64(8))
	c.Assert(g.add(2), qt.Equals, uint64(10))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	select {
	case <-old.Done():
	case <-ctx.Done():
		t.Fatalf("the replica went on, its sum is %d", old.counter.read())
	}
	c.Check(old.Err(), qt.ErrorMatches, "apply command of index [0-9]+: 7 is not known")
	c.Check(old.counter.read(), qt.Equals, uint64(1))
	c.Check(old.Status().Leader, qt.Equals, uint64(0))
	c.Check(old.ReadBarrier(ctx), qt.IsNotNil)
	c.Assert(g.add(3), qt.Equals, uint64(13), qt.Commentf("the others go on"))

	g.stop(id)
	g.listen(id)
	upgraded := g.start(id, g.members)
	for upgraded.counter.read() != 13 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	c.Check(upgraded.counter.read(), qt.Equals, uint64(13))
}
