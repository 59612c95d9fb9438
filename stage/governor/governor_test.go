package governor

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/journaler"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
	"redwingstage.org/standin/launcher"
)

// group is a deployment's control replicas on loopback.
type group struct {
	c      *qt.C
	folder string
	addrs  []string
	// tolerated is Config.Tolerated.
	tolerated int
	running   map[int]*Governor
	// disks are the replicas' file system, nil for the operating system's.
	disks journaler.FileSystem
	// builds are the replicas' builds, this one if there is none.
	builds map[int]*build
	// log has the replicas' log lines; a failed test prints it.
	log *LogBuffer
}

// newGroup starts n replicas; the first three are the group's initial members and the others join.
func newGroup(c *qt.C, n int) *group {
	return newGroupOn(c, n, nil)
}

// newGroupOn is newGroup on the given disks, nil for real ones.
func newGroupOn(c *qt.C, n int, disks journaler.FileSystem) *group {
	g := &group{c: c, folder: c.TempDir(), tolerated: max((n-1)/2, 1), disks: disks, running: make(map[int]*Governor), builds: make(map[int]*build), log: &LogBuffer{}}
	for range n {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		g.addrs = append(g.addrs, addr)
	}
	for i := range n {
		g.start(i, true)
	}
	c.Cleanup(func() {
		for i := range g.running {
			g.loseMachine(i)
		}
		if c.Failed() {
			c.Log(g.log.String())
		}
	})
	return g
}

func (g *group) start(i int, first bool) {
	gov, err := New(Config{
		Node: "core-" + strconv.Itoa(i), Zone: "z", Addr: g.addrs[i], DataFolder: filepath.Join(g.folder, strconv.Itoa(i)),
		Seeds: g.addrs[:3], NewDeployment: first, Tolerated: g.tolerated,
	}, Deps{
		Decode: func(d Doc) (*matcher.Table, error) { return matcher.New(d.Version, nil, nil, matcher.Limits{}) },
		Engines: &stubEngines{
			report: func() (EngineReport, error) { return EngineReport{}, nil },
			order:  func(EngineOrder) (OrderResult, error) { return Rejected, nil },
		},
		Log: logger.New(g.log, "info"), FileSystem: g.disks, build: g.builds[i],
	})
	g.c.Assert(err, qt.IsNil)
	g.running[i] = gov
}

func (g *group) stop(i int) {
	g.c.Check(g.running[i].Close(), qt.IsNil)
	delete(g.running, i)
}

// wipe deletes a replica's data folder.
func (g *group) wipe(i int) {
	g.c.Assert(os.RemoveAll(filepath.Join(g.folder, strconv.Itoa(i))), qt.IsNil)
}

// leader waits for a leader and returns it.
func (g *group) leader() (int, *Governor) {
	for {
		for i, gov := range g.running {
			if gov.checkLeading() == nil {
				return i, gov
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// retry repeats a call to the leader until it succeeds.
func (g *group) retry(call func(gov *Governor) error) {
	for {
		if _, gov := g.leader(); call(gov) == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (g *group) put(version uint64) {
	g.retry(func(gov *Governor) error {
		return gov.PutDoc(context.Background(), Doc{Version: version, Body: []byte(strconv.FormatUint(version, 10))})
	})
}

// version returns the version of the document in force.
func (g *group) version() uint64 {
	var doc Doc
	g.retry(func(gov *Governor) error {
		var err error
		doc, err = gov.Doc(context.Background())
		return err
	})
	return doc.Version
}

// awaitVoters waits until the group has n voters, all of which run here.
func (g *group) awaitVoters(n int) {
	for {
		_, gov := g.leader()
		voters := make(map[string]bool)
		if r := gov.membership.log(); r != nil {
			for _, m := range r.Status().Members {
				if !m.Learner {
					voters[m.Addr] = true
				}
			}
		}
		live := 0
		for i := range g.running {
			if voters[g.addrs[i]] {
				live++
			}
		}
		if live == n && len(voters) == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestGroupOfFiveSurvivesLossOfTwoDisks(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 5)
	g.awaitVoters(5)
	g.put(3)
	lost, _ := g.leader()
	other := (lost + 1) % 5
	for _, i := range []int{lost, other} {
		g.stop(i)
		g.wipe(i)
	}
	g.put(5)
	c.Check(g.version(), qt.Equals, uint64(5))
	for _, i := range []int{lost, other} {
		g.start(i, false)
	}
	g.awaitVoters(5)
	c.Check(g.version(), qt.Equals, uint64(5))
	g.put(4)
	c.Check(g.version(), qt.Equals, uint64(5), qt.Commentf("the highest version stays"))
}

func TestStateSurvivesRestartOfAllReplicas(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 5)
	g.awaitVoters(5)
	g.put(7)
	key := tracker.Key{ID: "e", StartedMS: 5}
	g.retry(func(gov *Governor) error { return gov.MarkLeaving(context.Background(), key) })
	g.retry(func(gov *Governor) error {
		return gov.PutVersion(context.Background(), tracker.Resident{Adapter: tracker.Adapter{Model: "m", Name: "a"}, Version: 2})
	})
	for i := range 5 {
		g.stop(i)
	}
	for i := range 5 {
		g.start(i, false)
	}
	c.Check(g.version(), qt.Equals, uint64(7))
	state := &replicatedState{}
	for state.LeaderEpoch < 2 {
		// The leader after the restart begins a second leader epoch.
		_, gov := g.leader()
		state = gov.membership.state()
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(state.Leaving, qt.DeepEquals, []tracker.Key{key})
	c.Check(state.Versions, qt.HasLen, 1)
}

func TestEntryReceivesDocumentsFromLeader(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	versions := make(chan uint64, 64)
	entry := func(addr string) {
		hello := Hello{Node: "entry", Zone: "z"}
		for ctx.Err() == nil {
			redirect, _ := Dial(ctx, addr, nil, hello, make(chan UpMessage), func([]string) {}, func(d DownMessage, _ time.Time) {
				if d.Doc != nil && d.Doc.Version > 0 {
					versions <- d.Doc.Version
				}
			})
			if redirect != "" {
				addr = redirect
			}
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		entry(g.addrs[0])
	}()
	g.put(1)
	for v := range versions {
		if v == 1 {
			break
		}
	}
	g.put(2)
	for v := range versions {
		if v == 2 {
			break
		}
	}
	cancel()
	<-done
}

// After all replicas restart, the leader knows the servers, and which ones are leaving, before any announcement.
func TestServersSurviveRestartOfAllReplicas(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	state := &replicatedState{}
	for n := uint64(1); len(state.Servers) < 2; n++ {
		// Announcements are repeated, since a new leader may miss one.
		for _, id := range []string{"x", "y"} {
			in := tracker.Instance{Key: tracker.Key{ID: id, StartedMS: 1}, Service: "s", Addr: id, Sequence: n}
			g.retry(func(gov *Governor) error { return gov.Announce(context.Background(), in) })
		}
		_, gov := g.leader()
		state = gov.membership.state()
		time.Sleep(5 * time.Millisecond)
	}
	g.retry(func(gov *Governor) error {
		return gov.MarkLeaving(context.Background(), tracker.Key{ID: "y", StartedMS: 1})
	})
	for i := range 3 {
		g.stop(i)
	}
	for i := range 3 {
		g.start(i, false)
	}
	i, _ := g.leader()
	got := make(chan DownMessage, 64)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialEnded := make(chan struct{})
	go func() {
		defer close(dialEnded)
		for ctx.Err() == nil {
			_, _ = Dial(ctx, g.addrs[i], nil, Hello{Node: "entry"}, make(chan UpMessage), func([]string) {}, func(d DownMessage, _ time.Time) {
				if d.Welcome != nil {
					got <- d
				}
			})
		}
	}()
	d := <-got
	cancel()
	<-dialEnded
	c.Assert(d.Engines, qt.HasLen, 2)
	for _, in := range d.Engines {
		c.Check(in.Leaving, qt.Equals, in.Key.ID == "y")
	}
}
