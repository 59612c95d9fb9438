package controller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
)

// linkHeartbeatInterval is the interval of heartbeats on a link.
const linkHeartbeatInterval = time.Second

// linkUp is a message from a follower's session to the leader; an empty one is a heartbeat.
type linkUp struct {
	Session uint64        `cbor:"1,keyasint,omitempty"`
	Frame   *entryMessage `cbor:"2,keyasint,omitempty"`
	Close   bool          `cbor:"3,keyasint,omitempty"`
}

// linkDown is a message from the leader to a follower's session, or a delta of the live state for the follower itself.
type linkDown struct {
	Session uint64          `cbor:"1,keyasint,omitempty"`
	Frame   *leaderMessage  `cbor:"2,keyasint,omitempty"`
	Close   bool            `cbor:"3,keyasint,omitempty"`
	Live    *spreader.Delta `cbor:"4,keyasint,omitempty"`
	// Opened is set once the leader has accepted the link.
	Opened bool `cbor:"5,keyasint,omitempty"`
}

// linkUpBatch and linkDownBatch let many entries share a message.
type linkUpBatch struct {
	Items []linkUp `cbor:"1,keyasint,omitempty"`
}

type linkDownBatch struct {
	Items []linkDown `cbor:"1,keyasint,omitempty"`
}

// uplink is this replica's stream to the leader.
type uplink struct {
	leader       uint64
	out          *queue[linkUp]
	opened       bool
	lastReceived time.Time
	lastSent     time.Time
	cancel       context.CancelFunc
}

// maintainUplink keeps a stream to the leader while another replica leads.
func (h *hub) maintainUplink(ctx context.Context, now time.Time) {
	for _, l := range h.links {
		if now.Sub(l.lastSent) >= linkHeartbeatInterval {
			l.lastSent = now
			l.out.push(linkDown{})
		}
	}
	st := h.log.Status()
	u := h.uplink
	if u != nil && (st.Leader != u.leader || now.Sub(u.lastReceived) > silenceTimeout) {
		h.closeUplink(u)
		u = nil
	}
	if u != nil {
		if now.Sub(u.lastSent) >= linkHeartbeatInterval {
			u.lastSent = now
			u.out.push(linkUp{})
		}
		return
	}
	if st.Leader == 0 || st.Leader == st.ID || h.leader != nil || h.leaderEpochPending {
		return
	}
	for _, m := range st.Members {
		if m.ID == st.Leader {
			h.openUplink(ctx, now, m.ID, m.Addr)
		}
	}
}

func (h *hub) openUplink(ctx context.Context, now time.Time, leader uint64, addr string) {
	lctx, cancel := context.WithCancel(ctx)
	u := &uplink{leader: leader, out: newQueue[linkUp](), lastReceived: now, lastSent: now, cancel: cancel}
	h.uplink = u
	h.dial(lctx, u, addr)
}

// dialLeader opens the stream of an uplink on its own connection, so that a silent one isn't reused.
func (h *hub) dialLeader(ctx context.Context, u *uplink, addr string) {
	conn := encoder.NewClient()
	client := connect.NewClient[linkUpBatch, linkDownBatch](conn, "http://"+addr+pathLink, encoder.ConnectOption(), connect.WithReadMaxBytes(maxMessageBytes))
	h.spawn(func() {
		defer conn.Close()
		defer context.AfterFunc(ctx, conn.Close)()
		stream := client.CallBidiStream(ctx)
		defer h.post(h.ctx, func(time.Time) { h.closeUplink(u) })
		h.spawn(func() {
			defer u.cancel()
			writeUplink(ctx, stream, u.out)
		})
		for {
			msg, err := stream.Receive()
			if err != nil {
				return
			}
			if !h.post(ctx, func(now time.Time) { h.receiveFromLeader(now, u, msg.Items) }) {
				return
			}
		}
	})
}

func writeUplink(ctx context.Context, stream *connect.BidiStreamForClient[linkUpBatch, linkDownBatch], q *queue[linkUp]) {
	// The transport checks the context only after the request has been closed.
	defer func() { _ = stream.CloseRequest() }()
	// The empty message opens the stream.
	if err := stream.Send(&linkUpBatch{}); err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.ready:
		}
		items, more := q.take()
		if !more {
			return
		}
		if err := stream.Send(&linkUpBatch{Items: items}); err != nil {
			return
		}
	}
}

// receiveFromLeader handles messages of the leader.
func (h *hub) receiveFromLeader(now time.Time, u *uplink, items []linkDown) {
	if h.uplink != u {
		return
	}
	u.lastReceived = now
	for _, it := range items {
		u.opened = u.opened || it.Opened
		if it.Live != nil {
			h.applyLive(u, *it.Live)
		}
		if s, ok := h.sessions[it.Session]; ok && (it.Frame != nil || it.Close) {
			f := leaderMessage{}
			if it.Frame != nil {
				f = *it.Frame
			}
			h.deliver(s, f, it.Close)
		}
	}
}

// applyLive applies a delta of the leader's live state.
func (h *hub) applyLive(u *uplink, d spreader.Delta) {
	delta, ok, err := h.liveAssembler.AddPart(d)
	if err == nil && ok {
		err = h.live.Apply(delta)
	}
	if err != nil {
		h.logger.Warn().Err(err).Msg("control: leader's live state can't be applied")
		h.closeUplink(u)
	}
}

// closeUplink closes the stream to the leader and all sessions, which depend on it.
func (h *hub) closeUplink(u *uplink) {
	if h.uplink != u || u == nil {
		return
	}
	h.uplink = nil
	h.liveAssembler.Reset()
	u.out.close()
	u.cancel()
	for _, s := range h.sessions {
		h.closeSession(s)
	}
}
