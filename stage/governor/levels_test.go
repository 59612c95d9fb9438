package governor

import (
	"context"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
)

// laterCommand is a command of a later build, which has one more kind and one more field in a server.
type laterCommand struct {
	command
	Extra   string        `cbor:"100,keyasint,omitempty"`
	Servers []laterServer `cbor:"7,keyasint,omitempty"`
}

type laterServer struct {
	tracker.Instance
	Extra string `cbor:"100,keyasint,omitempty"`
}

// laterState is a snapshot of a later build.
type laterState struct {
	replicatedState
	Extras []string `cbor:"100,keyasint,omitempty"`
}

func mustMarshal(c *qt.C, v any) []byte {
	data, err := encoder.Marshal(v)
	c.Assert(err, qt.IsNil)
	return data
}

// A replica took a later build's command for an empty one, and its snapshot lacked for good what the command had changed: also
// after its machine had been upgraded, and for the whole group once it led.
func TestReplicaStopsAtUnknownCommand(t *testing.T) {
	t.Parallel()
	for name, cmd := range map[string]laterCommand{
		"100":   {Extra: "x"},
		"7.100": {Servers: []laterServer{{Instance: tracker.Instance{Key: tracker.Key{ID: "i"}}, Extra: "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newGroup(c, 3)
			g.awaitVoters(3)
			g.put(1)
			_, gov := g.leader()
			log, machine := gov.membership.log(), gov.membership.machine
			applied := machine.current().Applied
			_, err := log.Propose(context.Background(), mustMarshal(c, cmd))
			c.Check(err, qt.IsNotNil)
			c.Assert(g.log.Await(testRecoverTime, "the log stays closed until a later build is started", "apply command of index", "field "+name+" "), qt.IsTrue)
			c.Check(machine.current().Applied <= applied+1, qt.IsTrue, qt.Commentf("a leader epoch may have begun, nothing after it"))
			for end := time.Now().Add(5 * reopenPause); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				c.Assert(gov.membership.log(), qt.IsNil)
				c.Assert(gov.checkLeading(), qt.IsNotNil)
			}
		})
	}
}

// A snapshot of a later build lost what this build doesn't know of it.
func TestUnknownPartOfSnapshotIsRefused(t *testing.T) {
	c := qt.New(t)
	m := newMachine(func() {}, func(uint64, error) {})
	applyCommand(c, m, command{Doc: &Doc{Version: 3}})
	err := m.Restore(mustMarshal(c, laterState{replicatedState: replicatedState{Doc: Doc{Version: 4}}, Extras: []string{"x"}}))
	c.Check(err, qt.ErrorMatches, "field 100 is not known to this release")
	c.Check(m.current().Doc.Version, qt.Equals, uint64(3))
	c.Check(m.Restore(mustMarshal(c, laterState{replicatedState: replicatedState{Doc: Doc{Version: 4}}})), qt.IsNil)
	c.Check(m.current().Doc.Version, qt.Equals, uint64(4))
}

// Builds that are out propose an empty command where all servers of a record were unreadable.
func TestEmptyCommandChangesNothing(t *testing.T) {
	c := qt.New(t)
	m := newMachine(func() {}, func(uint64, error) {})
	applyCommand(c, m, command{Software: &resumer.Version{Service: "s", Software: "v"}})
	before := *m.current()
	applyCommand(c, m, command{})
	before.Applied++
	c.Check(*m.current(), qt.DeepEquals, before)
}

// A leader proposed commands that members of an earlier build dropped.
func TestCommandWaitsForReplicasOfEarlierBuilds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	levelOf := func(cmd *command) uint64 {
		if cmd.Version != nil {
			return 1
		}
		return cmd.level()
	}
	restart := func(i int, level uint64) {
		g.stop(i)
		g.builds[i] = &build{level: level, levelOf: levelOf}
		g.start(i, false)
		g.awaitVoters(3)
	}
	for i, level := range []uint64{1, 1, 0} {
		restart(i, level)
	}
	ctx := context.Background()
	putVersion := func() error {
		_, gov := g.leader()
		return gov.PutVersion(ctx, testAdapter("a"))
	}
	var refused *RefusedError
	for end := time.Now().Add(testRecoverTime); !errors.As(putVersion(), &refused) || refused.Reason != reasonHeldBack; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the command isn't held back"))
	}
	c.Check(g.log.Await(testApplyTime, "commands of level 1 wait for replicas of earlier builds"), qt.IsTrue)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.Assert(putVersion(), qt.IsNotNil)
	}
	g.put(1)
	c.Check(g.version(), qt.Equals, uint64(1), qt.Commentf("other commands go on"))

	restart(2, 1)
	g.retry(func(*Governor) error { return putVersion() })
	_, gov := g.leader()
	c.Check(gov.membership.state().Level, qt.Equals, uint64(1))
	c.Check(gov.membership.state().Versions, qt.HasLen, 1)
	_, err := gov.hub.joiner.assignID(ctx, joinRequest{Addr: "127.0.0.1:1"})
	c.Check(err, qt.ErrorMatches, "the group has level 1, this build knows 0")
}

// shape lists the numbers and types of a struct's fields, down to those that have none.
func shape(t reflect.Type, path string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8 {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{path + " " + t.Kind().String()}
	}
	var out []string
	for _, f := range reflect.VisibleFields(t) {
		number, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
		out = append(out, shape(f.Type, strings.TrimPrefix(path+"."+number, "."))...)
	}
	return out
}

// The builds before lose a new field of a command or of the state without a word: it needs the next level, and a line here.
func TestLogHasShapeOfItsLevel(t *testing.T) {
	c := qt.New(t)
	c.Check(commandLevel, qt.Equals, 1)
	c.Check(shape(reflect.TypeFor[command](), ""), qt.DeepEquals, strings.Split(commandShape, "\n"))
	c.Check(shape(reflect.TypeFor[replicatedState](), ""), qt.DeepEquals, strings.Split(stateShape, "\n"))
}

const commandShape = `1.1 uint64
1.2 slice
2.1.1 string
2.1.2 string
2.2 int
3.1 string
3.2 int64
4 bool
5 bool
6.1.1 string
6.1.2 int64
6.2.1 string
6.2.2 string
7.1.1 string
7.1.2 int64
7.2 string
7.3 string
7.4 string
7.5 uint64
7.6 int
7.7 bool
7.8.1.1 string
7.8.1.2 string
7.8.2 int
7.9 string
8 string
9 array
10 array
11 string
12 int64
13.1 string
13.2 string
14.1 string
14.2 string
15 uint64`

const stateShape = `1.1 uint64
1.2 slice
2.1.1 string
2.1.2 string
2.2 int
3.1 string
3.2 int64
4 uint64
5 uint64
6 uint64
7.1.1 string
7.1.2 int64
7.2.1 string
7.2.2 string
8.1.1 string
8.1.2 int64
8.2 string
8.3 string
8.4 string
8.5 uint64
8.6 int
8.7 bool
8.8.1.1 string
8.8.1.2 string
8.8.2 int
8.9 string
9 array
10.1 array
10.2 string
10.3 int64
11.1 string
11.2 string
12 uint64`
