package runner_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

// counter is a StateMachine that adds numbers.
type counter struct {
	mu    sync.Mutex
	value uint64
	count uint64
	// unknown is a number that the counter can't add, if it isn't 0.
	unknown uint64
}

func (c *counter) Apply(_ uint64, cmd []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := binary.BigEndian.Uint64(cmd)
	if c.unknown != 0 && k == c.unknown {
		return nil, errors.Errorf("%d is not known", k)
	}
	c.value += k
	c.count++
	return binary.BigEndian.AppendUint64(nil, c.value), nil
}

func (c *counter) read() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.value), c.count), nil
}

func (c *counter) Restore(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) != 16 {
		return errors.Errorf("snapshot of %d bytes", len(b))
	}
	c.value, c.count = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	return nil
}

// node is a replica that serves on loopback.
type node struct {
	*runner.Runner
	counter *counter
	carrier *carrier.Carrier
	server  *http.Server
	served  chan struct{}
}

type group struct {
	tb        testing.TB
	members   []runner.Member
	listeners map[uint64]net.Listener
	nodes     map[uint64]*node
	folder    string
	cfg       runner.Config
	opts      []runner.Option
	// total is the last confirmed sum.
	total uint64
}

func newGroup(tb testing.TB, n int, opts ...runner.Option) *group {
	g := &group{
		tb: tb, listeners: map[uint64]net.Listener{}, nodes: map[uint64]*node{}, folder: tb.TempDir(), opts: opts,
		cfg: runner.Config{Cluster: "test", HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond},
	}
	for id := uint64(1); id <= uint64(n); id++ {
		g.members = append(g.members, g.listen(id))
	}
	for _, mb := range g.members {
		g.start(mb.ID, g.members)
	}
	tb.Cleanup(g.stopAll)
	return g
}

func (g *group) listen(id uint64) runner.Member {
	// The IP address is unique to this process, so no other process binds the port while a replica restarts.
	pid := os.Getpid()
	addr := fmt.Sprintf("127.%d.%d.%d:0", 65+pid>>16&63, pid>>8&255, pid&255)
	if old := g.listeners[id]; old != nil {
		addr = old.Addr().String()
	}
	lis, err := net.Listen("tcp", addr)
	qt.Assert(g.tb, err, qt.IsNil)
	g.listeners[id] = lis
	return runner.Member{ID: id, Addr: lis.Addr().String()}
}

func (g *group) start(id uint64, founders []runner.Member) *node {
	return g.startWith(id, founders, &counter{})
}

func (g *group) startWith(id uint64, founders []runner.Member, machine *counter) *node {
	n := &node{counter: machine, carrier: carrier.New(id, g.cfg.Cluster), served: make(chan struct{})}
	cfg := g.cfg
	cfg.ID, cfg.InitialMembers, cfg.DataFolder = id, founders, g.dataFolder(id)
	var err error
	n.Runner, err = runner.New(cfg, n.counter, n.carrier, g.opts...)
	qt.Assert(g.tb, err, qt.IsNil)
	mux := http.NewServeMux()
	mux.Handle(carrier.Path, n.carrier.Handler())
	n.server = encoder.NewServer(mux)
	lis := g.listeners[id]
	go func() {
		defer close(n.served)
		_ = n.server.Serve(lis)
	}()
	g.nodes[id] = n
	return n
}

func (g *group) stop(id uint64) {
	n := g.nodes[id]
	delete(g.nodes, id)
	qt.Check(g.tb, n.Close(), qt.IsNil)
	qt.Check(g.tb, n.carrier.Close(), qt.IsNil)
	qt.Check(g.tb, n.server.Close(), qt.IsNil)
	<-n.served
}

func (g *group) stopAll() {
	for id := range g.nodes {
		g.stop(id)
	}
}

func (g *group) dataFolder(id uint64) string {
	return filepath.Join(g.folder, strconv.FormatUint(id, 10))
}

// leader waits until a replica can confirm its leadership.
func (g *group) leader() *node {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		for _, n := range g.nodes {
			if n.ReadBarrier(ctx) == nil {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
	g.tb.Fatal("no leader")
	return nil
}

// add adds k exactly once: after an UncertainError it reads from the next leader whether the command was applied.
func (g *group) add(k uint64) uint64 {
	before := g.total
	for g.total == before {
		res, err := g.leader().Propose(context.Background(), binary.BigEndian.AppendUint64(nil, k))
		var notLeader *runner.NotLeaderError
		var uncertain *runner.UncertainError
		switch {
		case errors.As(err, &notLeader):
		case errors.As(err, &uncertain):
			g.total = g.leader().counter.read()
		default:
			qt.Assert(g.tb, err, qt.IsNil)
			g.total = binary.BigEndian.Uint64(res.Data)
		}
	}
	return g.total
}

// retryOnLeader calls f with the leader, and again with the next leader after a NotLeaderError.
func (g *group) retryOnLeader(f func(leader *node) error) error {
	for {
		err := f(g.leader())
		var notLeader *runner.NotLeaderError
		if !errors.As(err, &notLeader) {
			return err
		}
	}
}

func TestGroups(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, size := range []int{1, 3} {
		g := newGroup(t, size)
		for i := uint64(1); i <= 20; i++ {
			qt.Assert(t, g.add(1), qt.Equals, i)
		}
		// A delayed leader may lose its lease and regain it.
		s := g.leader().Status()
		for end := time.Now().Add(time.Minute); !s.IsLeader(time.Now()) && time.Now().Before(end); s = g.leader().Status() {
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, s.IsLeader(time.Now()), qt.IsTrue)
		qt.Check(t, s.Members, qt.HasLen, size)
		id := s.ID
		g.stop(id)
		g.listen(id)
		n := g.start(id, g.members)
		qt.Assert(t, g.add(1), qt.Equals, uint64(21))
		_ = n
		g.stopAll()
	}
}

func TestMembers(t *testing.T) {
	defer goleak.VerifyNone(t)
	var promoted atomic.Bool
	g := newGroup(t, 3, runner.WithObserver(func(s runner.Status) {
		for _, mb := range s.Members {
			if mb.ID == 4 && !mb.Learner {
				promoted.Store(true)
			}
		}
	}))
	defer g.stopAll()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g.add(5)
	var leader *node
	qt.Assert(t, g.retryOnLeader(func(n *node) error {
		leader = n
		return n.Transfer(ctx)
	}), qt.IsNil)
	old := leader.Status().ID
	next := g.leader()
	qt.Assert(t, next.Status().ID, qt.Not(qt.Equals), old)
	// The new leader's first message may reach the old leader after the new one is confirmed.
	for leader.Status().Leader != next.Status().ID && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	_, err := leader.Propose(ctx, make([]byte, 8))
	qt.Check(t, err, qt.ErrorMatches, "not the leader; the leader is replica .*")
	_, err = next.Propose(ctx, make([]byte, runner.MaxCommandBytes+1))
	qt.Check(t, err, qt.ErrorMatches, "command of .*")

	// A replica that lost its disk is refused and has to be replaced under an unused ID.
	g.stop(old)
	qt.Assert(t, os.RemoveAll(g.dataFolder(old)), qt.IsNil)
	g.listen(old)
	wiped := g.start(old, g.members)
	<-wiped.Done()
	var lostDisk *replicator.LostDiskError
	qt.Check(t, errors.As(wiped.Err(), &lostDisk), qt.IsTrue)
	add := func(mb runner.Member) error {
		return g.retryOnLeader(func(n *node) error { return n.AddMember(ctx, mb) })
	}
	remove := func(id uint64) error { return g.retryOnLeader(func(n *node) error { return n.RemoveMember(ctx, id) }) }
	qt.Assert(t, remove(old), qt.IsNil)
	qt.Check(t, remove(9), qt.ErrorMatches, "change of replica 9: it never was a member")
	qt.Check(t, add(runner.Member{ID: old, Addr: "a"}), qt.ErrorMatches, ".*used before.*")
	mb := g.listen(4)
	g.start(4, nil)
	qt.Assert(t, add(mb), qt.IsNil)
	qt.Check(t, add(mb), qt.IsNil)
	qt.Check(t, g.add(2), qt.Equals, uint64(7))
	qt.Check(t, promoted.Load(), qt.IsTrue)
	qt.Check(t, g.leader().Status().Members, qt.HasLen, 3)
}
