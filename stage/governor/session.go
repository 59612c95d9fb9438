package governor

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/stage/logger"
)

const (
	// sessionTimeout is the longest silence of a session; the other side sends at least every sessionHeartbeatEvery.
	sessionTimeout = 3 * time.Second
	// maxQueuedMessages and maxQueuedBytes bound a session's send queue; beyond, it is closed.
	maxQueuedMessages = 256
	maxQueuedBytes    = 4 << 20
	maxMessage        = 8 << 20
	// maxCall bounds a call outside of sessions in bytes.
	maxCall = 64 << 10
	// minCompressedSize is the size in bytes from which a message is compressed, once for all sessions.
	minCompressedSize = 2 << 10
	pathSession       = "/redwingstage.governor/Session"
)

// session is an entry's stream at a relay, or a relay's at the leader. The control goroutine owns it, except queue.
type session struct {
	hello *Hello
	// queue is nil for the leader's own relay.
	queue chan encoder.Raw
	// queuedBytes is the number of bytes in queue.
	queuedBytes  atomic.Int64
	lastReceived time.Time
	// heartbeat is the other side's last heartbeat; responseDue is set until the response is queued.
	heartbeat   uint64
	responseDue bool
	// version is the document in force at the other side; entries is a relay's number of sessions with entries.
	version uint64
	entries int
	// id identifies an entry's session to the leader; live is the number of a relay's entries that were heard of lately.
	id   uint64
	live int
	// tunnels are a relay's entries that carry connections for others.
	tunnels []Peer
	closed  bool
}

// sessionEnd is why a session ended.
type sessionEnd string

const (
	endClosed    sessionEnd = "closed_by_peer"
	endBroken    sessionEnd = "connection_lost"
	endSilent    sessionEnd = "silent"
	endQueueFull sessionEnd = "queue_full"
	endReplaced  sessionEnd = "replaced"
	endNoLeader  sessionEnd = "no_leader"
	endStepDown  sessionEnd = "step_down"
	endShutdown  sessionEnd = "shutdown"
	// endRefused is the end of a session whose hello came when there was no leader here.
	endRefused sessionEnd = "refused"
)

// kind names the other side in metrics.
func (s *session) kind() string {
	switch {
	case s.hello == nil:
		return "none"
	case s.isRelay():
		return "relay"
	}
	return "entry"
}

func (s *session) isRelay() bool { return s.hello != nil && s.hello.Replica != 0 }

// enqueue queues a message; false means that the queue is full and the session must be closed.
func (s *session) enqueue(data encoder.Raw) bool {
	if s.queue == nil || s.closed {
		return true
	}
	if s.queuedBytes.Load()+int64(len(data)) > maxQueuedBytes {
		return false
	}
	select {
	case s.queue <- data:
		s.queuedBytes.Add(int64(len(data)))
		return true
	default:
		return false
	}
}

// close closes the queue; it may be called more than once.
func (s *session) close() {
	if s.closed {
		return
	}
	s.closed = true
	if s.queue != nil {
		close(s.queue)
	}
}

// encodeValid removes from a message what other processes couldn't decode, and encodes it; ok is false if nothing is left.
// A message without content would end the session.
func encodeValid(l *logger.Component, d *DownMessage) (data encoder.Raw, ok bool) {
	data, err := encode(d)
	if err != nil {
		l.Error("encode a message", err)
		return nil, false
	}
	if len(d.Dropped) == 0 {
		return data, true
	}
	l.Warn("dropped unreadable elements", strings.Join(d.Dropped, ", "))
	return data, d.Welcome != nil || !isEmptyDown(d)
}

// encode returns a message in wire form, compressed if large.
func encode(d *DownMessage) (encoder.Raw, error) {
	data, err := (encoder.Codec{}).Marshal(d)
	if err != nil || len(data) < minCompressedSize {
		return data, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return encoder.Marshal(&DownMessage{Compressed: b.Bytes()})
}

// decompress returns the message that d carries in compressed form, or d itself.
func decompress(d *DownMessage) (*DownMessage, error) {
	if len(d.Compressed) == 0 {
		return d, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Compressed)), maxMessage+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack a message")
	}
	if len(data) > maxMessage {
		return nil, errors.Errorf("a message has more than %d bytes", maxMessage)
	}
	var out DownMessage
	if err := (encoder.Codec{}).Unmarshal(data, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

func (g *Governor) registerHandlers(mux *http.ServeMux) {
	mux.Handle(metricsPath, g.hub.metrics.handler())
	mux.Handle(pathSession, connect.NewBidiStreamHandler(pathSession, g.serveSession, encoder.ConnectOption(), connect.WithReadMaxBytes(maxMessage)))
	opts := []connect.HandlerOption{encoder.ConnectOption(), connect.WithReadMaxBytes(maxCall)}
	mux.Handle(pathLink, connect.NewUnaryHandler(pathLink, func(context.Context, *connect.Request[linkRequest]) (*connect.Response[LeaderLink], error) {
		link, err := g.leaderLink()
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&link), nil
	}, opts...))
	mux.Handle(pathJoin, connect.NewUnaryHandler(pathJoin, func(ctx context.Context, r *connect.Request[joinRequest]) (*connect.Response[joinReply], error) {
		reply, err := g.hub.joiner.assignID(ctx, *r.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&reply), nil
	}, opts...))
}

// serveSession serves a session until either side ends it.
func (g *Governor) serveSession(ctx context.Context, stream *connect.BidiStream[UpMessage, encoder.Raw]) error {
	s := &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: time.Now()}
	end := func(why sessionEnd) { g.hub.post(func(time.Time) { g.hub.closeSession(s, why) }) }
	receive := func() {
		for {
			up, err := stream.Receive()
			switch {
			case errors.Is(err, io.EOF):
				end(endClosed)
				return
			case err != nil:
				end(endBroken)
				return
			}
			if !g.hub.post(func(now time.Time) { g.hub.receive(now, s, *up) }) {
				return
			}
		}
	}
	opened := make(chan bool, 1)
	g.hub.post(func(time.Time) {
		ok := g.hub.openSession(s)
		if ok {
			// Close waits for the control goroutine, and may no longer wait for one that begins beside it.
			g.wg.Go(receive)
		}
		opened <- ok
	})
	select {
	case ok := <-opened:
		if !ok {
			return g.redirect(stream)
		}
	case <-g.ctx.Done():
		return nil
	}
	defer end(endBroken)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.ctx.Done():
			return nil
		case data, ok := <-s.queue:
			if !ok {
				return nil
			}
			s.queuedBytes.Add(-int64(len(data)))
			if err := stream.Send(&data); err != nil {
				return err
			}
		}
	}
}

// redirect sends the leader's address, or "".
func (g *Governor) redirect(stream *connect.BidiStream[UpMessage, encoder.Raw]) error {
	data, err := encode(&DownMessage{Redirect: g.leaderAddr()})
	if err != nil {
		return err
	}
	return stream.Send(&data)
}

// leaderAddr returns the address of another replica that leads, or "".
func (g *Governor) leaderAddr() string {
	r := g.membership.log()
	if r == nil {
		return ""
	}
	st := r.Status()
	for _, m := range st.Members {
		if m.ID == st.Leader && m.ID != st.ID {
			return m.Addr
		}
	}
	return ""
}
