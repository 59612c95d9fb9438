package governor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

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
	_, err := Dial(context.Background(), srv.Listener.Addr().String(), Hello{Node: "n"}, make(chan UpMessage), func(d DownMessage) {
		welcomed += d.Entries
	})
	c.Check(err, qt.ErrorMatches, "the leader is silent")
	c.Check(welcomed, qt.Equals, 1)
}
