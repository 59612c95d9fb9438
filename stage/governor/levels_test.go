package governor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
			c.Assert(g.log.Await(testApplyTime, "the log stays closed until a later build is started", "apply command of index", "field "+name+" "), qt.IsTrue)
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
