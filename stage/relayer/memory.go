package relayer

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/logger"
)

const (
	// retryAfterNoRoom is when a request that found no room may come again.
	retryAfterNoRoom = time.Second
	// newConnTime is how long a connection may be open before its first request without being closed ahead of unfinished requests.
	newConnTime = time.Second
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// admitConn adds a caller's connection. Beyond the bound another one is closed for it; false means that all have requests in service.
func (e *Relayer) admitConn(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) >= e.maxConns {
		old := e.connToClose(time.Now())
		if old == nil {
			e.metrics.closedConns.Inc()
			return false
		}
		delete(e.conns, old)
		_ = old.Close()
		e.metrics.closedConns.Inc()
	}
	e.conns[c] = connState{since: time.Now()}
	return true
}

// connToClose returns the connection that is closed for another one, nil if there is none: the one that has been idle longest, or, if
// none has been for newConnTime, the one that was opened or whose request has been arriving longest. e.mu must be held.
func (e *Relayer) connToClose(now time.Time) net.Conn {
	var idle, oldest net.Conn
	for c, s := range e.conns {
		if s.busy && !s.receiving {
			continue
		}
		if !s.busy && now.Sub(s.since) >= newConnTime && (idle == nil || s.since.Before(e.conns[idle].since)) {
			idle = c
		}
		if oldest == nil || s.since.Before(e.conns[oldest].since) {
			oldest = c
		}
	}
	if idle != nil {
		return idle
	}
	return oldest
}

// endReceiving records that a connection's request is complete, so that it isn't closed for another connection.
func (e *Relayer) endReceiving(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.conns[c]; ok {
		s.receiving = false
		e.conns[c] = s
	}
}

// receiveBody reads a request's body within the budget of all connections; the request must close its memory if there is no error.
func (e *Relayer) receiveBody(c net.Conn, br *bufio.Reader, req *request, limit int) error {
	req.memory = e.memory.Open(func() { _ = c.SetDeadline(past) })
	err := req.readBody(br, limit)
	if evicted := !req.memory.Serve(); evicted {
		err = collector.ErrNoRoom
	}
	if isNoRoom(err) {
		e.log.Request(logger.Request{
			ID: req.get(e.headers.AttemptID), Outcome: "refused", Reason: err.Error(), Status: http.StatusServiceUnavailable,
			Basis: req.decision.basis(),
		})
	}
	if err != nil {
		req.body = nil
		req.memory.Close()
	}
	return err
}

// noRoomResult is the result of an attempt whose response finds no room; the server isn't at fault.
func noRoomResult(err error) attemptResult {
	r := unknownResult("answer", err)
	r.result, r.isBroken = balancer.NoEvidence, false
	return r
}

// isNoRoom reports whether an error is the entry's own lack of room.
func isNoRoom(err error) bool { return errors.Is(err, collector.ErrNoRoom) }
