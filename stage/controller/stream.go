package controller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// Paths of the streams and calls between entries and control replicas.
const (
	pathEntry   = "/redwingstage.control/Entry"
	pathLink    = "/redwingstage.control/Link"
	pathOperate = "/redwingstage.control/Operate"
)

// maxMessage bounds a message on these paths, in bytes.
const maxMessage = 8 << 20

var errNoLeader = errors.New("no confirmed leader is in reach")

// mount registers the handlers of entries and other replicas.
func (c *Controller) mount(mux *http.ServeMux) {
	opts := []connect.HandlerOption{encoder.Option(), connect.WithReadMaxBytes(maxMessage)}
	mux.Handle(pathEntry, connect.NewBidiStreamHandler(pathEntry, c.serveEntry, opts...))
	mux.Handle(pathLink, connect.NewBidiStreamHandler(pathLink, c.serveLink, opts...))
	mux.Handle(pathOperate, connect.NewUnaryHandler(pathOperate, c.serveOperate, opts...))
}

// serveEntry serves an entry's stream until either side closes it.
func (c *Controller) serveEntry(ctx context.Context, stream *connect.BidiStream[up, down]) error {
	opened := make(chan *session, 1)
	if !c.hub.post(c.ctx, func(now time.Time) { opened <- c.hub.open(now) }) {
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
	c.spawn(func() {
		defer c.hub.post(c.ctx, func(time.Time) { c.hub.drop(s) })
		for {
			f, err := stream.Receive()
			if err != nil {
				return
			}
			if !c.hub.post(c.ctx, func(now time.Time) { c.hub.fromEntry(now, s, *f) }) {
				return
			}
		}
	})
	return write(ctx, c.ctx, s.out, func(frames []down) error {
		for _, f := range merge(frames) {
			if err := stream.Send(&f); err != nil {
				return err
			}
		}
		return nil
	})
}

// write sends a queue's items until it is closed.
func write[T any](ctx, ended context.Context, q *queue[T], send func([]T) error) error {
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

// merge adds messages without welcome and delta to their predecessor, unless that has a delta.
func merge(frames []down) []down {
	var out []down
	for _, f := range frames {
		n := len(out) - 1
		if n < 0 || f.Welcome != nil || f.Catalog != nil || f.Live != nil || out[n].Catalog != nil || out[n].Live != nil {
			out = append(out, f)
			continue
		}
		out[n].Beat = max(out[n].Beat, f.Beat)
		out[n].Answers = append(out[n].Answers, f.Answers...)
		out[n].Need = append(out[n].Need, f.Need...)
	}
	return out
}

// open opens an entry's session if the leader is here or reachable.
func (h *hub) open(now time.Time) *session {
	if h.retiring {
		return nil
	}
	if !h.inCharge(now) && (h.uplink == nil || !h.uplink.opened) && !h.ungated {
		return nil
	}
	s := &session{id: h.nextID(), out: newQueue[down](), heard: now}
	h.sessions[s.id] = s
	return s
}

// fromEntry handles a message of an entry's session.
func (h *hub) fromEntry(now time.Time, s *session, f up) {
	if s.finished {
		return
	}
	s.heard = now
	if f.Hello != nil {
		s.catalog, s.live, s.welcome = f.Hello.Catalog, f.Hello.Live, nil
	}
	h.receive(now, peerKey{session: s.id}, f)
}

// serveLink serves a follower's stream while this replica leads.
func (c *Controller) serveLink(ctx context.Context, stream *connect.BidiStream[linkUps, linkDowns]) error {
	opened := make(chan *linkPeer, 1)
	if !c.hub.post(c.ctx, func(now time.Time) { opened <- c.hub.openLink(now) }) {
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
	c.spawn(func() {
		defer c.hub.post(c.ctx, func(time.Time) { c.hub.dropLink(l) })
		for {
			msg, err := stream.Receive()
			if err != nil {
				return
			}
			if !c.hub.post(c.ctx, func(now time.Time) { c.hub.fromLink(now, l, msg.Items) }) {
				return
			}
		}
	})
	return write(ctx, c.ctx, l.out, func(items []linkDown) error {
		return stream.Send(&linkDowns{Items: items})
	})
}

func (h *hub) openLink(now time.Time) *linkPeer {
	if !h.inCharge(now) || h.retiring {
		return nil
	}
	l := &linkPeer{id: h.nextID(), out: newQueue[linkDown](), heard: now}
	h.links[l.id] = l
	l.out.push(linkDown{Opened: true})
	return l
}

// fromLink handles messages of a follower's sessions.
func (h *hub) fromLink(now time.Time, l *linkPeer, items []linkUp) {
	if h.links[l.id] != l {
		return
	}
	l.heard = now
	for _, it := range items {
		key := peerKey{link: l.id, session: it.Session}
		switch {
		case it.Close && h.desk != nil:
			h.desk.closed(key)
		case it.Frame != nil:
			h.receive(now, key, *it.Frame)
		}
	}
}
