package controller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/configurer"
)

const (
	// defaultInForceTimeout and maxInForceTimeout bound the wait for a change to be in force.
	defaultInForceTimeout = 18 * time.Second
	maxInForceTimeout     = 60 * time.Second
	// leaderTimeout bounds a call's wait for a leader.
	leaderTimeout      = 3 * time.Second
	leaderPollInterval = 50 * time.Millisecond
)

// operate executes an operator's call at the leader.
func (c *Controller) operate(ctx context.Context, req opRequest) opResponse {
	startedAt, maybeExecuted := time.Now(), false
	deadline := startedAt.Add(leaderTimeout)
	for {
		st, triedAt := c.log.Status(), time.Now()
		req.ElapsedMillis = triedAt.Sub(startedAt).Milliseconds()
		switch {
		case st.IsLeader(triedAt):
			r := c.execute(ctx, req)
			if !r.leaderLost || !req.isRepeatable() {
				return r
			}
			maybeExecuted = maybeExecuted || r.maybeExecuted
		case st.Leader != 0 && st.Leader != st.ID:
			r, err := c.forward(ctx, st, req)
			if err == nil {
				return r
			}
			// The leader may have executed the call before the connection broke.
			maybeExecuted = maybeExecuted || !notExecuted(err)
			if maybeExecuted && !req.isRepeatable() {
				return uncertain(err)
			}
		}
		now := time.Now()
		if now.Sub(triedAt) > leaderPollInterval && now.Sub(startedAt) < maxInForceTimeout {
			// A leader was executing the call until now.
			deadline = now.Add(leaderTimeout)
		}
		if now.Before(deadline) && waiter.Wait(ctx, leaderPollInterval) {
			continue
		}
		if maybeExecuted && req.isChange() {
			return uncertain(errNoLeader)
		}
		return noLeader()
	}
}

// noLeader is the response to a call that no leader executed. A leader that hands over executes none, so the call is retried.
func noLeader() opResponse {
	r := failure(http.StatusServiceUnavailable, errorDetail{Code: "no_leader", Message: errNoLeader.Error()})
	r.leaderLost = true
	return r
}

// markLeaderLost marks a response for a retry at the next leader if this replica no longer leads.
func (c *Controller) markLeaderLost(r opResponse) opResponse {
	r.leaderLost = !c.log.Status().IsLeader(time.Now())
	r.maybeExecuted = r.leaderLost
	return r
}

// uncertain is the response to a call that may have been executed.
func uncertain(err error) opResponse {
	return failure(http.StatusServiceUnavailable, errorDetail{Code: "uncertain", Message: err.Error()})
}

// notExecuted reports whether a forwarded call was certainly not executed: the other replica reported it, or it accepted no
// connection.
func notExecuted(err error) bool {
	if connect.IsWireError(err) {
		return connect.CodeOf(err) == connect.CodeUnavailable
	}
	var op *net.OpError
	return errors.Is(err, errNoLeader) || errors.As(err, &op) && op.Op == "dial"
}

// forward sends a call to the leader.
func (c *Controller) forward(ctx context.Context, st runner.Status, req opRequest) (opResponse, error) {
	for _, m := range st.Members {
		if m.ID != st.Leader {
			continue
		}
		fctx, cancel := context.WithTimeout(ctx, maxInForceTimeout+leaderTimeout)
		defer cancel()
		conn := encoder.NewClient()
		defer conn.Close()
		client := connect.NewClient[opRequest, opResponse](conn, "http://"+m.Addr+pathOperate, encoder.ConnectOption())
		res, err := client.CallUnary(fctx, connect.NewRequest(&req))
		if err != nil {
			var netErr interface{ Timeout() bool }
			if errors.As(err, &netErr) && netErr.Timeout() {
				return opResponse{}, connect.NewError(connect.CodeDeadlineExceeded, err)
			}
			return opResponse{}, err
		}
		return *res.Msg, nil
	}
	return opResponse{}, connect.NewError(connect.CodeUnavailable, errNoLeader)
}

// serveOperate serves operators' calls that other replicas forward.
func (c *Controller) serveOperate(ctx context.Context, req *connect.Request[opRequest]) (*connect.Response[opResponse], error) {
	if !c.log.Status().IsLeader(time.Now()) {
		return nil, connect.NewError(connect.CodeUnavailable, errNoLeader)
	}
	c.forwardedCalls.Add(1)
	defer c.forwardedCalls.Add(-1)
	r := c.execute(ctx, *req.Msg)
	if r.leaderLost && req.Msg.isRepeatable() {
		code := connect.CodeUnavailable
		if r.maybeExecuted {
			code = connect.CodeAborted
		}
		return nil, connect.NewError(code, errNoLeader)
	}
	return connect.NewResponse(&r), nil
}

// execute executes a call at this replica, the leader.
func (c *Controller) execute(ctx context.Context, req opRequest) opResponse {
	if err := c.log.ReadBarrier(ctx); err != nil {
		return noLeader()
	}
	switch req.Op {
	case opApply:
		return c.apply(ctx, req)
	case opDelete:
		return c.remove(ctx, req)
	case opWait:
		return c.wait(ctx, req)
	case opClasses, opServices, opAdapters:
		return c.get(req)
	case opStatus:
		return c.status(ctx)
	case opAudit, opExport:
		return c.readAudit(req)
	case opDrains:
		return c.listDrains()
	case opDrain, opUndrain:
		return c.drain(ctx, req)
	case opAddReplica, opRemoveReplica:
		return c.changeReplica(ctx, req)
	default:
		return failure(http.StatusNotFound, errorDetail{Code: "not_found", Message: "no such call"})
	}
}

// findings collects the invalid parameters of a call.
type findings []configurer.Finding

func (f *findings) add(path, reason string) {
	*f = append(*f, configurer.Finding{Path: path, Reason: reason})
}

func (f findings) response() opResponse {
	return failure(http.StatusBadRequest, errorDetail{
		Code: "malformed", Message: strconv.Itoa(len(f)) + " findings", Findings: f,
	})
}

// number parses an unsigned parameter; a missing one is def.
func (f *findings) number(args map[string]string, name string, def uint64) uint64 {
	s, ok := args[name]
	if !ok || s == "" {
		return def
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.add(strings.TrimPrefix(name, "path."), strconv.Quote(s)+" is not a whole number")
	}
	return n
}

// limit parses the page size.
func (f *findings) limit(args map[string]string) int {
	n := f.number(args, "limit", defaultPageSize)
	if n < 1 || n > maxPageSize {
		f.add("limit", "must be from 1 to "+strconv.Itoa(maxPageSize))
	}
	return int(min(n, maxPageSize))
}

// timeout parses the bound of a call's wait.
func (f *findings) timeout(path, s string) time.Duration {
	if s == "" {
		return defaultInForceTimeout
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > maxInForceTimeout {
		f.add(path, strconv.Quote(s)+` is not a duration such as "18s", at most `+maxInForceTimeout.String())
		return defaultInForceTimeout
	}
	return d
}

// timestamp parses a time parameter.
func (f *findings) timestamp(args map[string]string, name string) time.Time {
	s := args[name]
	if s == "" {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		f.add(name, strconv.Quote(s)+" is not a time such as 2026-03-02T09:00:00Z")
	}
	return at
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
