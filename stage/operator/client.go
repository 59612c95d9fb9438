package operator

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Limits of a call to the operators' API.
const (
	// attemptTimeout is added to a call's wait for its change to be in force.
	attemptTimeout = 5 * time.Second
	// maxRounds is how often all replicas are tried.
	maxRounds = 3
	// roundBackoff between two rounds lets an election end.
	roundBackoff = time.Second
)

// client calls the operators' API of any control replica; replicas forward calls to their leader.
type client struct {
	addrs          []string
	token          string
	scheme         string
	http           *fasthttp.Client
	sleep          func(time.Duration)
	preferredIndex int // index of the replica that answered last
}

// newClient returns a client that uses TLS unless tlsCfg is nil.
func newClient(addrs []string, token string, tlsCfg *tls.Config, sleep func(time.Duration)) *client {
	c := &client{addrs: addrs, token: token, scheme: "http://", sleep: sleep, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, // client.send retries what is safe to repeat
		MaxConnsPerHost:           1,
		Dial:                      dialPlain,
	}}
	if tlsCfg != nil {
		c.scheme = "https://"
		c.http.Dial = func(addr string) (net.Conn, error) { return dialTLS(addr, tlsCfg) }
	}
	return c
}

func (c *client) close() { c.http.CloseIdleConnections() }

// apiCall is one call with its parameters.
type apiCall struct {
	method string
	path   string
	query  url.Values
	body   any
	wait   time.Duration
	// changeID is the id of the requested change; it is empty for reads.
	changeID string
	// expectedRevision is the revision that an apply builds on.
	expectedRevision *uint64
}

// send tries the replicas in turn until one answers or the deadline passes; retries keep the change id, so it's applied once.
func (c *client) send(req apiCall) ([]byte, error) {
	body, err := encodeBody(req.body)
	if err != nil {
		return nil, err
	}
	uncertain := false
	var lastErr error
	deadline := time.Now().Add(req.wait + maxRounds*attemptTimeout)
	for round := range maxRounds {
		if round > 0 {
			c.sleep(roundBackoff)
		}
		for i := range c.addrs {
			remaining := time.Until(deadline)
			if remaining <= 0 {
				break
			}
			idx := (c.preferredIndex + i) % len(c.addrs)
			b, err := c.attempt(c.addrs[idx], req, body, min(req.wait+attemptTimeout, remaining))
			if err == nil || !isRetryable(err) {
				c.preferredIndex = idx
				return b, err
			}
			uncertain = uncertain || mayBeAccepted(err)
			lastErr = err
		}
	}
	if uncertain && req.changeID != "" {
		return nil, &uncertainError{changeID: req.changeID, expectedRevision: req.expectedRevision, lastErr: lastErr}
	}
	return nil, &unreachableError{lastErr: lastErr}
}

func encodeBody(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return b, nil
}

// isRetryable reports whether another replica, or the same one later, may accept the call.
func isRetryable(err error) bool {
	var api *apiError
	if !errors.As(err, &api) {
		return true
	}
	return api.detail.Code == codeNoLeader || api.detail.Code == codeUncertain || api.status == http.StatusBadGateway
}

// dialError means that no connection was made, so nothing was sent.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the connection error.
func (e *dialError) Unwrap() error { return e.err }

// mayBeAccepted reports whether a failed attempt's change may have been accepted.
func mayBeAccepted(err error) bool {
	var d *dialError
	var api *apiError
	switch {
	case errors.As(err, &d):
		return false
	case errors.As(err, &api):
		return api.detail.Code != codeNoLeader
	}
	return true
}

func (c *client) attempt(addr string, req apiCall, body []byte, timeout time.Duration) ([]byte, error) {
	r, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(resp)
	r.SetRequestURI(c.scheme + addr + req.path)
	r.URI().SetQueryString(req.query.Encode())
	r.Header.SetMethod(req.method)
	r.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		r.Header.SetContentType("application/json")
		r.SetBody(body)
	}
	if err := c.http.DoTimeout(r, resp, timeout); err != nil {
		return nil, errors.Wrapf(err, "call %s", addr)
	}
	b := append([]byte(nil), resp.Body()...)
	if status := resp.StatusCode(); status/100 != 2 {
		return nil, readError(addr, status, b)
	}
	return b, nil
}

func readError(addr string, status int, b []byte) error {
	var body errorBody
	if err := json.Unmarshal(b, &body); err != nil || body.Error.Code == "" {
		return errors.Errorf("call %s: status %d without an error that can be read", addr, status)
	}
	return &apiError{status: status, detail: body.Error}
}
