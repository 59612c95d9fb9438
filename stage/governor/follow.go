package governor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/tracker"
)

const (
	// sessionHeartbeatEvery is the interval between heartbeats on a session.
	sessionHeartbeatEvery = 300 * time.Millisecond
	// leaderTimeout is the longest silence of a leader; three heartbeats may be lost.
	leaderTimeout = time.Second
	// firstMessageTimeout bounds the wait for a replica's first message. A replica without power never responds, and up to
	// two of them are tried before the next leader.
	firstMessageTimeout = 400 * time.Millisecond
	retryPause          = 100 * time.Millisecond
	// maxQueuedReports is the capacity of a relay's queue to the leader, in messages.
	maxQueuedReports = 64
)

var errNotLeading = errors.New("this replica does not lead")

// processID and sessionCount number the sessions that this process opens. The ID is random, since clocks are set back.
var (
	processID    = rand.Uint64()
	sessionCount atomic.Uint64
)

// Dial opens a session with a replica and runs it until it fails: it sends hello, then the messages from up, and calls
// receive for each message it gets, with the latest time at which the leader is known to have served this session. It
// returns the leader's address if the replica redirected to it. A message of which parts were dropped, since they couldn't be
// encoded or decoded, goes on without them, and dropped is called with their fields.
func Dial(ctx context.Context, addr string, dialer encoder.DialFunc, hello Hello, up <-chan UpMessage, dropped func(fields []string), receive func(d DownMessage, confirmed time.Time)) (redirect string, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := encoder.NewClient(encoder.WithDialer(dialer))
	defer client.Close()
	// A send that waits for the peer doesn't watch the context.
	defer context.AfterFunc(ctx, client.Close)()
	stream := connect.NewClient[UpMessage, DownMessage](client, "http://"+addr+pathSession, encoder.ConnectOption(), connect.WithReadMaxBytes(maxMessage)).CallBidiStream(ctx)
	defer func() { _ = stream.CloseRequest() }()
	silence := time.AfterFunc(firstMessageTimeout, func() { cancel(errors.New("the leader is silent")) })
	defer silence.Stop()
	sent := newSendTimes(time.Now())
	if err := stream.Send(&UpMessage{Hello: number(hello)}); err != nil {
		return "", sessionError(ctx, errors.Wrap(err, "send hello"))
	}
	var sequence uint64
	received := make(chan error, 1)
	go func() {
		for {
			d, err := stream.Receive()
			if err != nil {
				received <- err
				return
			}
			silence.Reset(leaderTimeout)
			if d, err = decompress(d); err != nil {
				received <- err
				return
			}
			if d.Welcome == nil && d.Redirect != "" {
				redirect = d.Redirect
			}
			if d.Welcome == nil && d.Redirect == "" && isEmptyDown(d) {
				received <- errNotLeading
				return
			}
			if len(d.Dropped) > 0 {
				dropped(d.Dropped)
			}
			receive(*d, sent.confirm(d))
		}
	}()
	ticker := time.NewTicker(sessionHeartbeatEvery)
	defer ticker.Stop()
	for {
		var m UpMessage
		select {
		case err := <-received:
			return redirect, sessionError(ctx, err)
		case <-ticker.C:
			sequence++
			sent.add(sequence, time.Now())
			m = UpMessage{Heartbeat: sequence}
		case m = <-up:
		case <-ctx.Done():
			return redirect, sessionError(ctx, <-received)
		}
		if err := stream.Send(&m); err != nil {
			cause := context.Cause(ctx)
			cancel(err)
			if rerr := <-received; cause == nil {
				return redirect, errors.Join(err, rerr)
			}
			return redirect, cause
		}
		if len(m.Dropped) > 0 {
			dropped(m.Dropped)
		}
	}
}

func number(hello Hello) *Hello {
	hello.Process, hello.Session = processID, sessionCount.Add(1)
	return &hello
}

// sessionError returns the reason for which the session was cancelled, or else err.
func sessionError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// isEmptyDown reports whether a message has no content, as from a replica that knows no leader.
func isEmptyDown(d *DownMessage) bool {
	return d.Doc == nil && d.Heartbeat == 0 && d.Entries == 0 && d.Quotas == nil && d.Tunnels == nil && len(d.Replicas)+len(d.FullResidents)+len(d.Engines)+len(d.RemovedServers)+len(d.ResidentChanges)+len(d.Versions)+len(d.Leaving)+len(d.Loads)+len(d.Standings)+len(d.Speeds)+len(d.Cached)+len(d.Softwares)+len(d.Starts) == 0
}

// follow keeps a session with the leader while another replica leads: it shows the leader that this one is alive, and
// connects the relay.
func (h *hub) follow() {
	for h.ctx.Err() == nil {
		waiter.Wait(h.ctx, 2*retryPause)
		r := h.membership.log()
		if r == nil {
			continue
		}
		st := r.Status()
		if st.Leader == 0 || st.Leader == st.ID {
			continue
		}
		for _, m := range st.Members {
			if m.ID == st.Leader {
				h.runLeaderSession(m.Addr, Hello{Node: h.cfg.Node, Zone: h.cfg.Zone, Replica: st.ID, Level: h.membership.build.level})
			}
		}
	}
}

func (h *hub) runLeaderSession(addr string, hello Hello) {
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	up := make(chan UpMessage, maxQueuedReports)
	_, err := Dial(ctx, addr, h.membership.dialer, hello, up, h.logDropped, func(d DownMessage, confirmed time.Time) {
		h.membership.addPeers(d.Replicas)
		h.post(func(now time.Time) {
			h.leaderSeenAt = now
			h.applyLeaderMessage(now, confirmed, up, &d)
		})
	})
	h.post(func(now time.Time) {
		if h.leader == nil && h.relay.upstream != nil {
			h.log.Error("the relay's session with the leader ended", err)
			h.relay.clearUpstream(now)
		}
	})
}

// applyLeaderMessage applies a message of the leader to this replica's relay.
func (h *hub) applyLeaderMessage(now, confirmed time.Time, up chan<- UpMessage, d *DownMessage) {
	if h.leader != nil || h.shuttingDown {
		return
	}
	h.relay.confirm(confirmed)
	if d.Welcome != nil {
		h.relay.setUpstream(func(m UpMessage) bool {
			select {
			case up <- m:
				return true
			default:
				return false
			}
		})
		known := unlisted(h.relay.view.servers(), d)
		if len(known) > 0 {
			up <- UpMessage{Known: known}
		}
		h.relay.connectedAt = now
	}
	h.relay.apply(d)
	h.relay.answer(now, d.Starts)
	if d.Welcome != nil {
		h.relay.repeatResponses()
	}
}

// unlisted returns the known servers that a leader's first message doesn't list; none if the leader has settled.
func unlisted(known []tracker.Instance, d *DownMessage) []tracker.Instance {
	if d.Welcome.Settled {
		return nil
	}
	listed := make(map[string]bool, len(d.Engines))
	for _, in := range d.Engines {
		listed[in.Key.ID] = true
	}
	return slices.DeleteFunc(known, func(in tracker.Instance) bool { return listed[in.Key.ID] })
}
