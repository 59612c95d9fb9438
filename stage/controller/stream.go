package controller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// Paths that entries and control replicas call.
const (
	pathEntry   = "/redwingstage.control/Entry"
	pathLink    = "/redwingstage.control/Link"
	pathOperate = "/redwingstage.control/Operate"
)

// maxMessageBytes bounds a message on these paths, in bytes.
const maxMessageBytes = 8 << 20

var errNoLeader = errors.New("no confirmed leader is in reach")

// registerHandlers registers the handlers of entries and other replicas.
func (c *Controller) registerHandlers(mux *http.ServeMux) {
	opts := []connect.HandlerOption{encoder.ConnectOption(), connect.WithReadMaxBytes(maxMessageBytes)}
	mux.Handle(pathEntry, connect.NewBidiStreamHandler(pathEntry, c.serveEntry, opts...))
	mux.Handle(pathLink, connect.NewBidiStreamHandler(pathLink, c.serveLink, opts...))
	mux.Handle(pathOperate, connect.NewUnaryHandler(pathOperate, c.serveOperate, opts...))
}

// serveEntry serves an entry's stream until either side closes it.
func (c *Controller) serveEntry(ctx context.Context, stream *connect.BidiStream[entryMessage, leaderMessage]) error {
	opened := make(chan *session, 1)
	if !c.hub.post(c.ctx, func(now time.Time) {
		s := c.hub.openSession(now)
		if s != nil {
			// Close waits for the control goroutine, and may no longer wait for one that begins beside it.
			c.spawn(func() { c.receiveFromEntry(s, stream) })
		}
		opened <- s
	}) {
		return connect.NewError(connect.CodeUnavailable, errNoLeader)
	}
	var s *session
	select {
	case s = <-opened:
	case <-c.ctx.Done():
	}
	if s == nil {
		return connect.NewError(connect.CodeUnavailable, errNoLeader)
	}
	return writeQueue(ctx, c.ctx, s.out, func(frames []leaderMessage) error {
		for _, f := range mergeMessages(frames) {
			if err := stream.Send(&f); err != nil {
				return err
			}
		}
		return nil
	})
}

// receiveFromEntry receives a session's messages until its stream ends.
func (c *Controller) receiveFromEntry(s *session, stream *connect.BidiStream[entryMessage, leaderMessage]) {
	defer c.hub.post(c.ctx, func(time.Time) { c.hub.closeSession(s) })
	for {
		f, err := stream.Receive()
		if err != nil || !c.hub.post(c.ctx, func(now time.Time) { c.hub.receiveFromEntry(now, s, *f) }) {
			return
		}
	}
}

// writeQueue sends a queue's items until it is closed.
func writeQueue[T any](ctx, ended context.Context, q *queue[T], send func([]T) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended.Done():
			return nil
		case <-q.ready:
		}
		items, more := q.take()
		if err := send(items); err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

// mergeMessages merges consecutive messages, except before a welcome and around a delta.
func mergeMessages(frames []leaderMessage) []leaderMessage {
	var out []leaderMessage
	for _, f := range frames {
		n := len(out) - 1
		if n < 0 || f.Welcome != nil || f.Catalog != nil || f.Live != nil || out[n].Catalog != nil || out[n].Live != nil {
			out = append(out, f)
			continue
		}
		out[n].Heartbeat = max(out[n].Heartbeat, f.Heartbeat)
		out[n].Answers = append(out[n].Answers, f.Answers...)
		out[n].NeedServers = append(out[n].NeedServers, f.NeedServers...)
	}
	return out
}

// openSession opens an entry's session if the leader is here or reachable.
func (h *hub) openSession(now time.Time) *session {
	if h.shuttingDown {
		return nil
	}
	if !h.isLeading(now) && (h.uplink == nil || !h.uplink.opened) && !h.skipWelcome {
		return nil
	}
	s := &session{id: h.nextID(), out: newQueue[leaderMessage](), lastReceived: now}
	h.sessions[s.id] = s
	return s
}

// receiveFromEntry handles a message of an entry's session.
func (h *hub) receiveFromEntry(now time.Time, s *session, f entryMessage) {
	if s.closed {
		return
	}
	s.lastReceived = now
	if f.Hello != nil {
		s.sentCatalog, s.sentLive, s.welcome = f.Hello.Catalog, f.Hello.Live, nil
	}
	h.receive(now, peerKey{session: s.id}, f)
}

// serveLink serves a follower's stream while this replica leads.
func (c *Controller) serveLink(ctx context.Context, stream *connect.BidiStream[linkUpBatch, linkDownBatch]) error {
	opened := make(chan *linkPeer, 1)
	if !c.hub.post(c.ctx, func(now time.Time) {
		l := c.hub.openLink(now)
		if l != nil {
			c.spawn(func() { c.receiveFromLink(l, stream) })
		}
		opened <- l
	}) {
		return connect.NewError(connect.CodeUnavailable, errNoLeader)
	}
	var l *linkPeer
	select {
	case l = <-opened:
	case <-c.ctx.Done():
	}
	if l == nil {
		return connect.NewError(connect.CodeUnavailable, errNoLeader)
	}
	return writeQueue(ctx, c.ctx, l.out, func(items []linkDown) error {
		return stream.Send(&linkDownBatch{Items: items})
	})
}

// receiveFromLink receives a follower's messages until its stream ends.
func (c *Controller) receiveFromLink(l *linkPeer, stream *connect.BidiStream[linkUpBatch, linkDownBatch]) {
	defer c.hub.post(c.ctx, func(time.Time) { c.hub.closeLink(l) })
	for {
		msg, err := stream.Receive()
		if err != nil || !c.hub.post(c.ctx, func(now time.Time) { c.hub.receiveFromLink(now, l, msg.Items) }) {
			return
		}
	}
}

func (h *hub) openLink(now time.Time) *linkPeer {
	if !h.isLeading(now) || h.shuttingDown {
		return nil
	}
	l := &linkPeer{id: h.nextID(), out: newQueue[linkDown](), lastReceived: now}
	h.links[l.id] = l
	l.out.push(linkDown{Opened: true})
	return l
}

// receiveFromLink handles messages of a follower's sessions.
func (h *hub) receiveFromLink(now time.Time, l *linkPeer, items []linkUp) {
	if h.links[l.id] != l {
		return
	}
	l.lastReceived = now
	for _, it := range items {
		key := peerKey{link: l.id, session: it.Session}
		switch {
		case it.Close && h.leader != nil:
			h.leader.removeSession(key)
		case it.Frame != nil:
			h.receive(now, key, *it.Frame)
		}
	}
}
