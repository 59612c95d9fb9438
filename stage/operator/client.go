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

// Timing of a call to the operators' API.
const (
	// slack bounds one attempt, in addition to the time that a call may wait for its change to be in force.
	slack = 5 * time.Second
	// rounds is the number of times that all replicas are tried.
	rounds = 3
	// pause is the wait between two rounds, so that an election can end.
	pause = time.Second
)

// client calls the operators' API of any control replica; replicas forward calls to their leader.
type client struct {
	addrs  []string
	token  string
	scheme string
	http   *fasthttp.Client
	sleep  func(time.Duration)
	first  int // index of the replica that answered last
}

// newClient returns a client that uses TLS unless secure is nil.
func newClient(addrs []string, token string, secure *tls.Config, sleep func(time.Duration)) *client {
	c := &client{addrs: addrs, token: token, scheme: "http://", sleep: sleep, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, // the client itself retries, as it knows which calls are safe to repeat
		MaxConnsPerHost:           1,
		Dial:                      dial,
	}}
	if secure != nil {
		c.scheme = "https://"
		c.http.Dial = func(addr string) (net.Conn, error) { return dialTLS(addr, secure) }
	}
	return c
}

func (c *client) close() { c.http.CloseIdleConnections() }

// call holds the parameters of one API call.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	wait   time.Duration
	// change is the id of the requested change; it is empty for reads.
	change string
	// expect is the revision that an apply is based on.
	expect *uint64
}

// do sends a call to the replicas in turn until one answers or the deadline passes; retries keep the change id, so it's applied once.
func (c *client) do(req call) ([]byte, error) {
	body, err := encodeBody(req.body)
	if err != nil {
		return nil, err
	}
	sent := false
	var last error
	deadline := time.Now().Add(req.wait + rounds*slack)
	for round := range rounds {
		if round > 0 {
			c.sleep(pause)
		}
		for i := range c.addrs {
			left := time.Until(deadline)
			if left <= 0 {
				break
			}
			k := (c.first + i) % len(c.addrs)
			b, err := c.try(c.addrs[k], req, body, min(req.wait+slack, left))
			if err == nil || !isPassing(err) {
				c.first = k
				return b, err
			}
			sent = sent || maySent(err)
			last = err
		}
	}
	if sent && req.change != "" {
		return nil, &uncertainError{change: req.change, expect: req.expect, last: last}
	}
	return nil, &unreachableError{last: last}
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

// isPassing reports whether a retry at another replica, or later at the same one, may succeed.
func isPassing(err error) bool {
	var api *apiError
	if !errors.As(err, &api) {
		return true
	}
	return api.detail.Code == codeNoLeader || api.detail.Code == codeUncertain || api.status == http.StatusBadGateway
}

// dialError reports that no connection was established, so nothing was sent.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause of the failed connection.
func (e *dialError) Unwrap() error { return e.err }

// maySent reports whether a change may have been accepted although its attempt failed.
func maySent(err error) bool {
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

func (c *client) try(addr string, req call, body []byte, timeout time.Duration) ([]byte, error) {
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
