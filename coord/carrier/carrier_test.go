package carrier

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/replicator"
)

// node is a carrier that listens and hands on what it receives.
type node struct {
	*Carrier
	addr string
	got  chan replicator.Message
}

func newNode(c *qt.C, id uint64) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{addr: l.Addr().String(), got: make(chan replicator.Message, 10)}
	n.Carrier = New(id, "test", WithAddr(n.addr))
	n.Attach(func(m replicator.Message) error {
		n.got <- m
		return nil
	})
	mux := http.NewServeMux()
	mux.Handle(Path, n.Handler())
	srv := encoder.NewServer(mux)
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(l) }()
	c.Cleanup(func() {
		c.Check(n.Close(), qt.IsNil)
		_ = srv.Close()
		<-served
	})
	return n
}

// TestJoiningReplicaAnswers sends to a replica that knows no peer; its answer must come back.
func TestJoiningReplicaAnswers(t *testing.T) {
	c := qt.New(t)
	leader, joining := newNode(c, 1), newNode(c, 2)
	joining.SetPeers(nil)
	leader.SetPeers(map[uint64]string{2: joining.addr})
	leader.Send(replicator.Message{Type: replicator.TypeHello, From: 1, To: 2, Term: 7})
	c.Assert((<-joining.got).Term, qt.Equals, uint64(7))
	joining.SetPeers(nil) // a step without members doesn't forget who asked
	joining.Send(replicator.Message{Type: replicator.TypeHello, From: 2, To: 1, Term: 8})
	c.Assert((<-leader.got).Term, qt.Equals, uint64(8))
}

// TestMembersReplaceWhatWasLearned names the members to a replica, which then answers nobody else.
func TestMembersReplaceWhatWasLearned(t *testing.T) {
	c := qt.New(t)
	stranger, member, joining := newNode(c, 1), newNode(c, 3), newNode(c, 2)
	stranger.SetPeers(map[uint64]string{2: joining.addr})
	stranger.Send(replicator.Message{Type: replicator.TypeHello, From: 1, To: 2, Term: 7})
	<-joining.got
	joining.SetPeers(map[uint64]string{3: member.addr})
	joining.Send(replicator.Message{Type: replicator.TypeHello, From: 2, To: 1, Term: 8})
	joining.Send(replicator.Message{Type: replicator.TypeHello, From: 2, To: 3, Term: 9})
	c.Assert((<-member.got).Term, qt.Equals, uint64(9))
	joining.mu.Lock()
	defer joining.mu.Unlock()
	c.Assert(joining.peers[1], qt.IsNil)
	c.Assert(joining.peers, qt.HasLen, 1)
}
