package carrier

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
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

// abort fails a pending read of the stream.
func (in *inbound) abort() {
	_ = http.NewResponseController(in.w).SetReadDeadline(time.Unix(1, 0))
}

func setHeaders(h http.Header, cluster string, from, to uint64) {
	h.Set(clusterHeader, cluster)
	h.Set(fromHeader, strconv.FormatUint(from, 10))
	h.Set(toHeader, strconv.FormatUint(to, 10))
}

// checkHeaders returns the sender of a stream addressed to this replica.
func (c *Carrier) checkHeaders(h http.Header) (uint64, error) {
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
		from, err := c.checkHeaders(r.Header)
		if err != nil {
			// The connect handler repeats the check and responds in its protocol.
			c.handler.ServeHTTP(w, r)
			return
		}
		in := &inbound{w: w, done: make(chan struct{})}
		if !c.addInbound(from, r.Header.Get(addrHeader), in) {
			http.Error(w, "the replica is closing", http.StatusServiceUnavailable)
			return
		}
		defer c.removeInbound(from, in)
		c.handler.ServeHTTP(w, r)
	})
}

// addInbound registers a peer's stream and ends its older one, which may be unresponsive.
func (c *Carrier) addInbound(from uint64, addr string, in *inbound) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if old := c.inbound[from]; old != nil {
		old.abort()
	}
	c.inbound[from] = in
	if c.peers[from] == nil && addr != "" && len(c.peers) < maxPeers {
		c.addPeer(from, addr)
	}
	c.wg.Go(func() { <-in.done })
	return true
}

func (c *Carrier) removeInbound(from uint64, in *inbound) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inbound[from] == in {
		delete(c.inbound, from)
	}
	close(in.done)
}

// receiveStream receives the messages of one stream.
func (c *Carrier) receiveStream(_ context.Context, s *connect.ClientStream[frame]) (*connect.Response[ack], error) {
	from, err := c.checkHeaders(s.RequestHeader())
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
			p.lastReceived.Store(time.Now().UnixNano())
		}
		m, err := s.Msg().message(from, c.id)
		if err == nil {
			err = (*receive)(m)
		}
		if err != nil {
			c.onError(from, err)
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&ack{}), nil
}
