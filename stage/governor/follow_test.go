package governor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
)

// A suspended leader keeps its connections open and sends nothing.
func TestDialTimesOutOnSilentLeader(t *testing.T) {
	c := qt.New(t)
	suspended := make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(pathSession, connect.NewBidiStreamHandler(pathSession,
		func(_ context.Context, s *connect.BidiStream[UpMessage, DownMessage]) error {
			if err := s.Send(&DownMessage{Welcome: &Welcome{LeaderEpoch: 1}, Entries: 1}); err != nil {
				return err
			}
			<-suspended
			return nil
		}, encoder.ConnectOption()))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = encoder.NewServer(mux)
	srv.Start()
	defer srv.Close()
	defer close(suspended)
	welcomed := 0
	_, err := Dial(context.Background(), srv.Listener.Addr().String(), nil, Hello{Node: "n"}, make(chan UpMessage), func([]string) {}, func(d DownMessage, _ time.Time) {
		welcomed += d.Entries
	})
	c.Check(err, qt.ErrorMatches, "the leader is silent")
	c.Check(welcomed, qt.Equals, 1)
}

// A relay whose messages no longer reached the leader got the leader's updates for some time, and looked connected by them.
func TestUpdatesDoNotConfirmLeader(t *testing.T) {
	c := qt.New(t)
	mux := http.NewServeMux()
	mux.Handle(pathSession, connect.NewBidiStreamHandler(pathSession,
		func(ctx context.Context, s *connect.BidiStream[UpMessage, DownMessage]) error {
			if err := s.Send(&DownMessage{Welcome: &Welcome{LeaderEpoch: 1}, Entries: 1}); err != nil {
				return err
			}
			for n := 2; ctx.Err() == nil; n++ {
				time.Sleep(50 * time.Millisecond)
				if err := s.Send(&DownMessage{Entries: n}); err != nil {
					return err
				}
			}
			return nil
		}, encoder.ConnectOption()))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = encoder.NewServer(mux)
	srv.Start()
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	var last time.Time
	_, _ = Dial(ctx, srv.Listener.Addr().String(), nil, Hello{Node: "n"}, make(chan UpMessage), func([]string) {}, func(_ DownMessage, confirmed time.Time) {
		last = confirmed
		if time.Since(start) > 2*sessionHeartbeatEvery {
			cancel()
		}
	})
	c.Check(last.Sub(start) < sessionHeartbeatEvery, qt.IsTrue, qt.Commentf("confirmed after %v", last.Sub(start)))
}

// A response confirms the time at which its heartbeat was sent, less the age that it names; later messages without one,
// and responses to earlier heartbeats, confirm nothing newer.
func TestResponsesConfirmSendTimes(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	s := newSendTimes(start)
	c.Check(s.confirm(&DownMessage{Entries: 1}).IsZero(), qt.IsTrue)
	c.Check(s.confirm(&DownMessage{Welcome: &Welcome{}}), qt.Equals, start)
	s.add(1, start.Add(time.Second))
	s.add(2, start.Add(2*time.Second))
	want := start.Add(1500 * time.Millisecond)
	c.Check(s.confirm(&DownMessage{Heartbeat: 2, LeaderAge: 500 * time.Millisecond}), qt.Equals, want)
	c.Check(s.confirm(&DownMessage{Heartbeat: 1}), qt.Equals, want)
	c.Check(s.confirm(&DownMessage{Heartbeat: 2, LeaderAge: time.Second}), qt.Equals, want)
	c.Check(s.confirm(&DownMessage{Heartbeat: 2}), qt.Equals, start.Add(2*time.Second))
	c.Check(s.at, qt.HasLen, 1)
}
