package carrier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/replicator"
)

func serve(t *testing.T, h http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := encoder.NewServer(h)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(lis) }()
	t.Cleanup(func() { _ = s.Close(); <-done })
	return lis.Addr().String()
}

func TestSend(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("streams", func(t *testing.T) { // The subtest's cleanup ends before the leak check.
		got := make(chan replicator.Message, 10)
		b := New(2, "c")
		b.SetReceiver(func(m replicator.Message) error { got <- m; return replicator.CheckMessage(m) })
		addr := serve(t, b.Handler())
		errs := make(chan error, 10)
		a := New(1, "c", WithErrorHandler(func(_ uint64, err error) { errs <- err }))
		a.SetPeers(map[uint64]string{2: addr})
		m := replicator.Message{
			Type: replicator.TypeAppend, From: 1, To: 2, Term: 3, Nonce: 9, Index: 4, LogTerm: 2, Commit: 4, SendStamp: 77,
			Entries: []replicator.Entry{{Index: 5, Term: 3, Kind: replicator.KindCommand, Data: []byte("x")}},
		}
		a.Send(m)
		qt.Assert(t, <-got, qt.DeepEquals, m)
		// A malformed message ends the stream with its reason, and the next one is sent on a new stream.
		m.Entries[0].Term = 9
		a.Send(m)
		<-got
		b.SetReceiver(func(replicator.Message) error { return nil })
		for len(errs) == 0 {
			a.Send(replicator.Message{Type: replicator.TypeVote, From: 1, To: 2, Term: 3})
			time.Sleep(time.Millisecond)
		}
		qt.Assert(t, <-errs, qt.ErrorMatches, "(?s).*message from replica 1: entry 5 has term 9 outside of 2 to 3.*")
		qt.Assert(t, a.Close(), qt.IsNil)
		qt.Assert(t, b.Close(), qt.IsNil)
	})
}

func TestRejectedStreams(t *testing.T) {
	c := New(2, "c")
	c.SetReceiver(func(replicator.Message) error { return nil })
	addr := serve(t, c.Handler())
	tests := []struct {
		cluster  string
		from, to uint64
		want     string
	}{
		{"d", 1, 2, `permission_denied: the stream is for cluster "d", this is "c"`},
		{"c", 1, 3, `permission_denied: the stream is for replica "3", this is 2`},
		{"c", 2, 2, `permission_denied: the stream is from replica "2"`},
		{"c", 0, 2, `permission_denied: the stream is from replica "0"`},
	}
	for _, tt := range tests {
		h := encoder.NewClient()
		s := connect.NewClient[frame, ack](h, "http://"+addr+procedure, encoder.ConnectOption()).CallClientStream(context.Background())
		setHeaders(s.RequestHeader(), tt.cluster, tt.from, tt.to)
		_ = s.Send(&frame{Type: 1})
		_, err := s.CloseAndReceive()
		qt.Check(t, err, qt.ErrorMatches, tt.want)
		h.Close()
	}
	qt.Assert(t, c.Close(), qt.IsNil)
	r := httptest.NewRequest(http.MethodPost, procedure, nil)
	setHeaders(r.Header, "c", 1, 2)
	w := httptest.NewRecorder()
	c.Handler().ServeHTTP(w, r)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
}

// acceptAll accepts connections and never answers on them; the channel is closed with lis.
func acceptAll(lis net.Listener) <-chan net.Conn {
	conns := make(chan net.Conn, 100)
	go func() {
		defer close(conns)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	return conns
}

// TestUnresponsiveConnection sends on connections that are accepted but never answered, as when a middlebox lost state.
func TestUnresponsiveConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	conns := acceptAll(lis)
	a := New(1, "c", WithResponseTimeout(20*time.Millisecond))
	a.SetPeers(map[uint64]string{2: lis.Addr().String()})
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				a.Send(replicator.Message{Type: replicator.TypeAppend, From: 1, To: 2, Term: 1})
			}
		}
	}()
	// The second connection shows that the first one was abandoned.
	for range 2 {
		conn := <-conns
		defer conn.Close()
	}
	close(stop)
	<-stopped
	qt.Assert(t, a.Close(), qt.IsNil)
	qt.Assert(t, lis.Close(), qt.IsNil)
}

func FuzzFrame(f *testing.F) {
	for _, m := range []replicator.Message{
		{Type: replicator.TypeVote, From: 1, To: 2, Term: 1},
		{Type: replicator.TypeAppend, From: 1, To: 2, Term: 2, Entries: []replicator.Entry{{Index: 1, Term: 1}}},
		{Type: replicator.TypeSnapshot, From: 1, To: 2, Term: 2, Data: []byte("ab"), Snapshot: &replicator.Snapshot{
			Index: 1, Term: 1, Size: 2, Membership: replicator.Membership{Members: []replicator.Member{{ID: 1}}, MaxID: 1},
		}},
	} {
		fr, err := toFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		b, err := encoder.Marshal(fr)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var fr frame
		if encoder.Unmarshal(b, &fr) != nil {
			return
		}
		m, err := fr.message(1, 2)
		if err != nil || replicator.CheckMessage(m) != nil {
			return
		}
		again, err := toFrame(m)
		qt.Assert(t, err, qt.IsNil)
		n, err := again.message(1, 2)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.DeepEquals, m)
	})
}

// A candidate that had answered a peer some time ago lost its next two messages to that peer, a request for a pre-vote and
// the vote after it: the connection was replaced under them, as if the peer owed a response. A group whose survivors were
// just a quorum elected no leader for seconds.
func TestMessagesAfterSilenceAreDelivered(t *testing.T) {
	got := make(chan replicator.Type, 10)
	b := New(2, "c")
	b.SetReceiver(func(m replicator.Message) error { got <- m.Type; return nil })
	addr := serve(t, b.Handler())
	const timeout = 50 * time.Millisecond
	a := New(1, "c", WithResponseTimeout(timeout))
	a.SetPeers(map[uint64]string{2: addr})
	send := func(ty replicator.Type) { a.Send(replicator.Message{Type: ty, From: 1, To: 2, Term: 3, Nonce: 9}) }
	for range 10 {
		send(replicator.TypePreVoteResponse)
		qt.Assert(t, <-got, qt.Equals, replicator.TypePreVoteResponse)
		time.Sleep(2 * timeout)
		for _, ty := range []replicator.Type{replicator.TypePreVote, replicator.TypeVote} {
			send(ty)
			select {
			case received := <-got:
				qt.Check(t, received, qt.Equals, ty)
			case <-time.After(time.Second):
				t.Fatalf("message of type %d was lost", ty)
			}
		}
		time.Sleep(2 * timeout)
	}
	qt.Assert(t, a.Close(), qt.IsNil)
	qt.Assert(t, b.Close(), qt.IsNil)
}

// A replica without a leader couldn't tell which voters it still heard from.
func TestLastReceived(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("peers", func(t *testing.T) { // The subtest's cleanup ends before the leak check.
		start := time.Now()
		got := make(chan replicator.Message, 1)
		b := New(2, "c")
		b.SetReceiver(func(m replicator.Message) error { got <- m; return nil })
		addr := serve(t, b.Handler())
		b.SetPeers(map[uint64]string{1: "127.0.0.1:1", 3: "127.0.0.1:1"})
		a := New(1, "c")
		a.SetPeers(map[uint64]string{2: addr})
		a.Send(replicator.Message{Type: replicator.TypeVote, From: 1, To: 2, Term: 3})
		<-got
		heard := b.LastReceived()
		qt.Check(t, heard, qt.HasLen, 2)
		qt.Check(t, heard[1].Before(start), qt.IsFalse)
		qt.Check(t, heard[3].IsZero(), qt.IsTrue)
		qt.Assert(t, a.Close(), qt.IsNil)
		qt.Assert(t, b.Close(), qt.IsNil)
	})
}
