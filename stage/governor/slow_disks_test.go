package governor

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/journaler"
)

// slowDiskTime ends a test that fails; a group on such disks needs some ten syncs.
const slowDiskTime = time.Minute

// slowDisks is a file system whose syncs take a while.
type slowDisks struct {
	journaler.OSFileSystem
	sync atomic.Int64
}

type slowFile struct {
	journaler.File
	disks *slowDisks
}

func (d *slowDisks) Create(path string) (journaler.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return slowFile{f, d}, err
}

func (d *slowDisks) Open(path string) (journaler.File, error) {
	f, err := d.OSFileSystem.Open(path)
	return slowFile{f, d}, err
}

func (f slowFile) Sync() error {
	time.Sleep(time.Duration(f.disks.sync.Load()))
	return f.File.Sync()
}

// awaitOnSlowDisks waits until f returns true.
func awaitOnSlowDisks(c *qt.C, what string, f func() bool) {
	for end := time.Now().Add(slowDiskTime); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("%s: not within %v", what, slowDiskTime)
		}
	}
}

// A replica that lost its disk got no ID from a group whose commits took longer than it waits, and one more was allocated for
// each time that it asked.
func TestReplicaJoinsGroupOnSlowDisks(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	disks := &slowDisks{}
	g := newGroupOn(c, 3, disks)
	g.awaitVoters(3)
	g.put(1)
	lead, _ := g.leader()
	lost := (lead + 1) % 3
	g.stop(lost)
	g.wipe(lost)
	disks.sync.Store(int64(joinTimeout + 100*time.Millisecond))
	defer disks.sync.Store(0)
	g.start(lost, false)
	awaitOnSlowDisks(c, "the join", func() bool {
		r := g.running[lost].membership.log()
		return r != nil && r.Status().Leader != 0
	})
	allocated := uint64(0)
	for _, gov := range g.running {
		allocated = max(allocated, gov.membership.state().LastID)
	}
	c.Check(allocated-maxInitialID < 4, qt.IsTrue, qt.Commentf("%d IDs are allocated", allocated-maxInitialID))
}

// A leader whose epoch wasn't committed within the time for a command held its lease, and served no session and no engine.
func TestLeaderOnSlowDisksBeginsItsEpoch(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	disks := &slowDisks{}
	g := newGroupOn(c, 3, disks)
	g.awaitVoters(3)
	g.put(1)
	for i := range 3 {
		g.stop(i)
	}
	disks.sync.Store(int64(proposeTimeout + 200*time.Millisecond))
	defer disks.sync.Store(0)
	const leads = `control: leads"`
	before := strings.Count(g.log.String(), leads)
	for i := range 3 {
		g.start(i, false)
	}
	awaitOnSlowDisks(c, "the leader's epoch", func() bool { return strings.Count(g.log.String(), leads) > before })
}
