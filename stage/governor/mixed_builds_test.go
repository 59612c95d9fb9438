package governor

import (
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
)

var mixedSeeds = flag.Int("mixed-seeds", 500, "runs of TestMixedBuildsKeepOneState")

// laterLevel is the level of a later build's commands.
const laterLevel = commandLevel + 1

// laterMachine is the machine of a later build.
type laterMachine struct {
	*machine
	extras []string
}

func newLaterMachine() *laterMachine {
	m := newMachine(func() {}, func(uint64, error) {})
	m.level = laterLevel
	return &laterMachine{machine: m}
}

func (m *laterMachine) Apply(_ uint64, data []byte) ([]byte, error) {
	var cmd laterCommand
	if err := encoder.UnmarshalKnown(data, &cmd); err != nil {
		return nil, err
	}
	if cmd.Level > m.level {
		return nil, &laterLevelError{level: cmd.Level, known: m.level}
	}
	if cmd.Extra != "" {
		m.extras = append(slices.Clone(m.extras), cmd.Extra)
	}
	return encodeResult(m.execute(cmd.command)), nil
}

func (m *laterMachine) Snapshot() ([]byte, error) {
	return encoder.Marshal(laterState{replicatedState: *m.current(), Extras: m.extras})
}

func (m *laterMachine) Restore(data []byte) error {
	var s laterState
	if err := encoder.UnmarshalKnown(data, &s); err != nil {
		return err
	}
	m.extras = s.Extras
	m.state.Store(&s.replicatedState)
	return nil
}

// mixedReplica is a replica of this build or of the later one.
type mixedReplica struct {
	id      uint64
	level   uint64
	machine runner.StateMachine
	// later is the machine of a later build, nil for this one; core is what both have.
	later   *laterMachine
	core    *machine
	applied int
	// snapshot is the state after snapshotAt commands.
	snapshot   []byte
	snapshotAt int
	err        error
}

// start starts the replica at its snapshot as a build of the given level.
func (r *mixedReplica) start(level uint64) {
	r.level, r.applied, r.err = level, r.snapshotAt, nil
	r.core, r.later = newMachine(func() {}, func(uint64, error) {}), nil
	r.machine = r.core
	if level == laterLevel {
		r.later = newLaterMachine()
		r.core, r.machine = r.later.machine, r.later
	}
	if r.snapshotAt > 0 {
		r.err = r.machine.Restore(r.snapshot)
	}
}

// mixedGroup is a group whose replicas are upgraded in place, or also go back to this build.
type mixedGroup struct {
	c        *qt.C
	rng      *rand.Rand
	log      [][]byte
	replicas []*mixedReplica
	leader   *mixedReplica
	goesBack bool
	// states are those after each number of commands.
	states  map[int]string
	extras  []string
	version uint64
	history []string
}

func (g *mixedGroup) note(format string, args ...any) {
	g.history = append(g.history, fmt.Sprintf(format, args...))
}

// apply applies up to n commands.
func (g *mixedGroup) apply(r *mixedReplica, n int) {
	for ; n > 0 && r.err == nil && r.applied < len(g.log); n-- {
		if _, r.err = r.machine.Apply(uint64(r.applied+1), g.log[r.applied]); r.err != nil {
			g.note("%d stops: %v", r.id, r.err)
			g.c.Assert(isOfLaterBuild(r.err), qt.IsTrue)
			g.c.Assert(g.goesBack, qt.IsTrue, qt.Commentf("a member doesn't know what was proposed: %v", g.history))
			return
		}
		r.applied++
		g.check(r)
	}
}

// check compares the replica's state with those of the others after the same commands.
func (g *mixedGroup) check(r *mixedReplica) {
	data, err := r.machine.Snapshot()
	g.c.Assert(err, qt.IsNil)
	state := hex.EncodeToString(data)
	if old, ok := g.states[r.applied]; ok {
		g.c.Assert(state, qt.Equals, old, qt.Commentf("replica %d of level %d after %d commands: %v", r.id, r.level, r.applied, g.history))
	}
	g.states[r.applied] = state
}

// propose proposes a command of the leader's build, if the group may know it.
func (g *mixedGroup) propose() {
	l := g.leader
	g.apply(l, len(g.log))
	if l.err != nil {
		return
	}
	v := resumer.Version{Service: "s", Software: fmt.Sprint(g.rng.IntN(4))}
	cmd := laterCommand{}
	switch g.rng.IntN(5) {
	case 0:
		g.version++
		cmd.Doc = &Doc{Version: g.version}
	case 1:
		cmd.Software = &v
	case 2:
		cmd.Retired = &v
	case 3:
		cmd.Leaving = &tracker.Key{ID: fmt.Sprint("i", len(g.log))}
	default:
		if l.level < laterLevel {
			return
		}
		if !g.isAllowed(l) {
			return
		}
		cmd.Extra = fmt.Sprint("x", len(g.extras))
		g.extras = append(g.extras, cmd.Extra)
	}
	g.append(cmd)
}

func (g *mixedGroup) append(cmd laterCommand) {
	g.log = append(g.log, mustMarshal(g.c, cmd))
	g.note("%d proposes %d: %x", g.leader.id, len(g.log), g.log[len(g.log)-1])
	g.apply(g.leader, 1)
}

// isAllowed asks the product's own checks whether the leader may propose a command of the later build.
func (g *mixedGroup) isAllowed(l *mixedReplica) bool {
	ms := newMembership(Config{}, Deps{build: &build{level: l.level, levelOf: func(*command) uint64 { return laterLevel }}}, nil)
	ms.machine = l.core
	if ms.checkLevel(&command{}) == nil {
		return true
	}
	h := &hub{membership: ms, relaySessions: make(map[*session]bool)}
	var members []runner.Member
	for _, r := range g.replicas {
		members = append(members, runner.Member{ID: r.id})
		h.relaySessions[&session{hello: &Hello{Replica: r.id, Level: r.level}}] = true
	}
	if len(h.lackingLevel(members, ms.neededLevel.Load())) == 0 {
		g.append(laterCommand{command: command{Level: laterLevel}})
	}
	return false
}

// step does one drawn thing.
func (g *mixedGroup) step() {
	r := g.replicas[g.rng.IntN(len(g.replicas))]
	switch g.rng.IntN(12) {
	case 0:
		if r.err == nil && r.applied > r.snapshotAt {
			var err error
			r.snapshot, err = r.machine.Snapshot()
			g.c.Assert(err, qt.IsNil)
			r.snapshotAt = r.applied
		}
	case 1:
		g.note("%d restarts", r.id)
		r.start(r.level)
	case 2:
		g.note("%d is upgraded", r.id)
		r.start(laterLevel)
	case 3:
		if g.goesBack {
			g.note("%d goes back", r.id)
			r.start(commandLevel)
		}
	case 4:
		if r.err == nil {
			g.leader = r
		}
	case 5:
		g.install(r)
	case 6, 7, 8:
		g.apply(r, 1+g.rng.IntN(4))
	default:
		g.propose()
	}
}

// install gives a replica the leader's state.
func (g *mixedGroup) install(r *mixedReplica) {
	l := g.leader
	if l.err != nil || r.err != nil || l.applied <= r.applied {
		return
	}
	var err error
	r.snapshot, err = l.machine.Snapshot()
	g.c.Assert(err, qt.IsNil)
	r.snapshotAt = l.applied
	if r.err = r.machine.Restore(r.snapshot); r.err != nil {
		g.note("%d refuses the snapshot: %v", r.id, r.err)
		g.c.Assert(isOfLaterBuild(r.err), qt.IsTrue)
		g.c.Assert(g.goesBack, qt.IsTrue, qt.Commentf("%v", g.history))
		return
	}
	r.applied = l.applied
	g.check(r)
}

// A replica of an earlier build dropped what a later one proposed, and its state and snapshots differed from then on. Whatever is
// acknowledged by a group of two builds is in all its states once all replicas are upgraded.
func TestMixedBuildsKeepOneState(t *testing.T) {
	stops, extras := 0, 0
	for seed := range uint64(*mixedSeeds) {
		c := qt.New(t)
		g := &mixedGroup{c: c, rng: rand.New(rand.NewPCG(seed, 58)), states: make(map[int]string), goesBack: seed%2 == 1}
		for id := range uint64(3 + 2*g.rng.IntN(2)) {
			r := &mixedReplica{id: id + 1}
			r.start(commandLevel)
			g.replicas = append(g.replicas, r)
		}
		g.leader = g.replicas[0]
		for range 200 {
			g.step()
		}
		for _, r := range g.replicas {
			if r.err != nil {
				stops++
			}
			r.start(laterLevel)
			g.apply(r, len(g.log))
			c.Assert(r.err, qt.IsNil)
			c.Assert(r.later.extras, qt.DeepEquals, g.extras, qt.Commentf("seed %d: %v", seed, g.history))
			c.Assert(r.core.current().Doc.Version, qt.Equals, g.version)
		}
		extras += len(g.extras)
	}
	qt.Check(t, stops > 0 && extras > 0, qt.IsTrue, qt.Commentf("%d replicas stopped, %d later commands", stops, extras))
	t.Logf("%d replicas stopped at the end, %d later commands", stops, extras)
	var unknown *encoder.UnknownFieldError
	_, err := newMachine(func() {}, func(uint64, error) {}).Apply(1, mustMarshal(qt.New(t), laterCommand{Extra: "x"}))
	qt.Check(t, errors.As(err, &unknown), qt.IsTrue)
}
