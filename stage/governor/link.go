package governor

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingstage.org/coord/encoder"
)

const pathLink = "/redwingstage.governor/Link"

// LeaderLink describes a replica's connection to the leader.
type LeaderLink struct {
	// Age is how long ago the leader is known to have served the replica.
	Age time.Duration `cbor:"1,keyasint,omitempty"`
	// ConnectedFor is how long the replica has been connected to this leader.
	ConnectedFor time.Duration `cbor:"2,keyasint,omitempty"`
}

type linkRequest struct{}

// ProbeLink requests the LeaderLink of the replica at addr; it returns an error if the replica has no leader or doesn't
// respond before ctx is done.
func ProbeLink(ctx context.Context, addr string, dialer encoder.DialFunc) (LeaderLink, error) {
	client := encoder.NewClient(encoder.WithDialer(dialer))
	defer client.Close()
	call := connect.NewClient[linkRequest, LeaderLink](client, "http://"+addr+pathLink, encoder.ConnectOption())
	res, err := call.CallUnary(ctx, connect.NewRequest(&linkRequest{}))
	if err != nil {
		return LeaderLink{}, err
	}
	return *res.Msg, nil
}

func (g *Governor) leaderLink() (LeaderLink, error) {
	links := make(chan LeaderLink, 1)
	if !g.hub.post(func(now time.Time) {
		var l LeaderLink
		if r := g.hub.relay; r.isConnected(now) && !g.hub.shuttingDown {
			l = LeaderLink{Age: r.leaderAge(now), ConnectedFor: now.Sub(r.connectedAt)}
		}
		links <- l
	}) {
		return LeaderLink{}, ErrNoLeader
	}
	select {
	case l := <-links:
		if l == (LeaderLink{}) {
			return l, ErrNoLeader
		}
		return l, nil
	case <-g.ctx.Done():
		return LeaderLink{}, ErrNoLeader
	}
}

const (
	// DefaultApplyTime is the default of Config.ApplyTime.
	DefaultApplyTime = 2 * time.Second
	// minStaleAfter is above the age that the leader's confirmation has between two heartbeats of both sessions.
	minStaleAfter = 900 * time.Millisecond
)

// StaleAfter returns the age of the leader's confirmation from which an entry takes itself for one that may lack versions, given the time
// in which they must be in force. The rest of that time is for probes and the next session.
func StaleAfter(apply time.Duration) time.Duration { return max(apply/2, minStaleAfter) }

// sendTimes are the send times of a session's heartbeats that haven't been responded to; 0 stands for the hello.
type sendTimes struct {
	mu        sync.Mutex
	at        map[uint64]time.Time
	confirmed time.Time
}

func newSendTimes(hello time.Time) *sendTimes {
	return &sendTimes{at: map[uint64]time.Time{0: hello}}
}

func (s *sendTimes) add(heartbeat uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[heartbeat] = at
}

// confirm returns the latest time at which the leader is known to have served this session, given the next message: the
// send time of the newest heartbeat that was responded to, less the age that the response names.
func (s *sendTimes) confirm(d *DownMessage) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[d.Heartbeat]
	if !ok || d.Heartbeat == 0 && d.Welcome == nil {
		return s.confirmed
	}
	for heartbeat := range s.at {
		if heartbeat < d.Heartbeat {
			delete(s.at, heartbeat)
		}
	}
	if at = at.Add(-d.LeaderAge); at.After(s.confirmed) {
		s.confirmed = at
	}
	return s.confirmed
}
