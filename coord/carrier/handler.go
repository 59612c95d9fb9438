package carrier

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/replicator"
)

const (
	clusterHeader = "Redwingstage-Cluster"
	fromHeader    = "Redwingstage-From"
	toHeader      = "Redwingstage-To"
	addrHeader    = "Redwingstage-Addr"
)

// inbound is the receiving side of a stream.
type inbound struct {
	w    http.ResponseWriter
	done chan struct{}
}

// end makes a pending read of the stream fail.
func (in *inbound) end() {
	_ = http.NewResponseController(in.w).SetReadDeadline(time.Unix(1, 0))
}

func setHeaders(h http.Header, cluster string, from, to uint64) {
	h.Set(clusterHeader, cluster)
	h.Set(fromHeader, strconv.FormatUint(from, 10))
	h.Set(toHeader, strconv.FormatUint(to, 10))
}

// check returns the sender of a stream that is meant for this replica.
func (c *Carrier) check(h http.Header) (uint64, error) {
	if got := h.Get(clusterHeader); got != c.cluster {
		return 0, errors.Errorf("the stream is for cluster %q, this is %q", got, c.cluster)
	}
	if got := h.Get(toHeader); got != strconv.FormatUint(c.id, 10) {
		return 0, errors.Errorf("the stream is for replica %q, this is %d", got, c.id)
	}
	from, err := strconv.ParseUint(h.Get(fromHeader), 10, 64)
	if err != nil || from == 0 || from == c.id {
		return 0, errors.Errorf("the stream is from replica %q", h.Get(fromHeader))
	}
	return from, nil
}

// Handler returns the handler of the peers' streams, to be mounted at Path.
func (c *Carrier) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, err := c.check(r.Header)
		if err != nil {
			// The connect handler repeats the check and answers in its protocol.
			c.handler.ServeHTTP(w, r)
			return
		}
		in := &inbound{w: w, done: make(chan struct{})}
		if !c.enter(from, r.Header.Get(addrHeader), in) {
			http.Error(w, "the replica is closing", http.StatusServiceUnavailable)
			return
		}
		defer c.leave(from, in)
		c.handler.ServeHTTP(w, r)
	})
}

// enter makes in the stream of a peer; an older one, which may have gone silent, is ended.
func (c *Carrier) enter(from uint64, addr string, in *inbound) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if old := c.inbound[from]; old != nil {
		old.end()
	}
	c.inbound[from] = in
	if c.joining && c.peers[from] == nil && addr != "" && len(c.peers) < replicator.MaxMembers {
		c.addPeer(from, addr)
	}
	c.wg.Go(func() { <-in.done })
	return true
}

func (c *Carrier) leave(from uint64, in *inbound) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inbound[from] == in {
		delete(c.inbound, from)
	}
	close(in.done)
}

// carry receives the messages of one stream.
func (c *Carrier) carry(_ context.Context, s *connect.ClientStream[frame]) (*connect.Response[ack], error) {
	from, err := c.check(s.RequestHeader())
	if err != nil {
		return nil, connect.NewError(connect.CodePermissionDenied, err)
	}
	receive := c.receive.Load()
	if receive == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the replica is starting"))
	}
	for s.Receive() {
		c.mu.Lock()
		p := c.peers[from]
		c.mu.Unlock()
		if p != nil {
			p.heard.Store(time.Now().UnixNano())
		}
		m, err := s.Msg().message(from, c.id)
		if err == nil {
			err = (*receive)(m)
		}
		if err != nil {
			c.report(from, err)
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&ack{}), nil
}
