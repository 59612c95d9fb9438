package sender

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
)

const (
	maxReport    = 4 << 20
	orderTimeout = 4 * time.Second
)

// Order tells an engine to load or unload an adapter's version.
type Order struct {
	Attempt string
	Addr    string
	// Name is "adapter@version".
	Name string
	// Path is where the engine finds the weights, or "" to unload.
	Path  string
	Fence uint64
	Wait  time.Duration
}

// Errors that Load and Unload return for refused orders.
var (
	// ErrOldFence means that the engine has seen the higher fence number of a newer owner.
	ErrOldFence = errors.New("the engine refused an old fence number")
	// ErrBusy means that the engine keeps the adapter because it serves requests.
	ErrBusy = errors.New("the engine protects the adapter")
)

// Report is a backend server's load report.
type Report struct {
	Incarnation string   `json:"incarnation"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Resident    []string `json:"resident"`
	Serving     []string `json:"serving"`
	Leaving     bool     `json:"leaving"`
	AgeMS       int      `json:"age_ms"`
}

// DeadError means that the connection was refused: the process is gone, as opposed to slow.
type DeadError struct{ err error }

// Error implements error.
func (d *DeadError) Error() string { return "no process listens: " + d.err.Error() }

// Unwrap returns the cause.
func (d *DeadError) Unwrap() error { return d.err }

type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

type cancelOrder struct {
	Attempt string `json:"attempt"`
}

// Load makes the engine load the adapter and returns the incarnation that confirmed it.
func (s *Sender) Load(ctx context.Context, o Order) (string, error) {
	return s.order(ctx, o, "/v1/load_lora_adapter", loraOrder{Name: o.Name, Path: o.Path})
}

// Unload makes the engine unload the adapter.
func (s *Sender) Unload(ctx context.Context, o Order) error {
	_, err := s.order(ctx, o, "/v1/unload_lora_adapter", loraOrder{Name: o.Name})
	return err
}

func (s *Sender) order(ctx context.Context, o Order, path string, body any) (string, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return "", errors.Wrap(err, "encode order")
	}
	reply, err := s.short(ctx, shortCall{
		method: http.MethodPost, path: path, addr: o.Addr, attempt: o.Attempt, body: payload, fence: o.Fence, wait: o.Wait,
	})
	if err != nil {
		return "", err
	}
	refused := parseRefusal(reply.body).Error
	switch {
	case reply.status == http.StatusOK:
		return reply.incarnation, nil
	case reply.status == http.StatusConflict && refused.Type == "fence":
		return reply.incarnation, ErrOldFence
	case reply.status == http.StatusConflict && refused.Type == "busy":
		return reply.incarnation, ErrBusy
	}
	return reply.incarnation, errors.Errorf("%s: status %d: %s", path, reply.status, refused.Message)
}

// Cancel cancels an attempt; a nil error means that it no longer runs, as confirmed by the returned incarnation.
func (s *Sender) Cancel(ctx context.Context, addr, attempt, own string) (string, error) {
	payload, err := json.Marshal(cancelOrder{Attempt: attempt})
	if err != nil {
		return "", errors.Wrap(err, "encode cancel")
	}
	reply, err := s.short(ctx, shortCall{method: http.MethodPost, path: "/v1/cancel", addr: addr, attempt: own, body: payload})
	if err != nil {
		return "", err
	}
	if reply.status != http.StatusOK {
		return "", errors.Errorf("cancel: status %d", reply.status)
	}
	return reply.incarnation, nil
}

// Poll requests a server's load report.
func (s *Sender) Poll(ctx context.Context, addr, attempt string) (Report, error) {
	reply, err := s.short(ctx, shortCall{method: http.MethodGet, path: "/load", addr: addr, attempt: attempt})
	if err != nil {
		return Report{}, err
	}
	if reply.status != http.StatusOK {
		return Report{}, errors.Errorf("load report: status %d", reply.status)
	}
	var r Report
	if err := json.Unmarshal(reply.body, &r); err != nil {
		return Report{}, errors.Wrap(err, "load report")
	}
	return r, nil
}

type shortCall struct {
	method, path, addr, attempt string
	body                        []byte
	fence                       uint64
	wait                        time.Duration
}

type shortReply struct {
	status      int
	incarnation string
	body        []byte
}

// short sends a control call on a new connection, so that a stalled one can't delay it.
func (s *Sender) short(ctx context.Context, call shortCall) (shortReply, error) {
	c, err := s.pool.take(ctx, call.addr, true)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return shortReply{}, &DeadError{err: err}
	}
	if err != nil {
		return shortReply{}, err
	}
	defer c.discard()
	stop := context.AfterFunc(ctx, c.discard)
	defer stop()
	c.silence = orderTimeout
	if call.wait > 0 {
		c.silence = call.wait
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.method)
	req.SetRequestURI(call.path)
	req.Header.SetHost(call.addr)
	req.SetConnectionClose()
	req.Header.Set(marker.Attempt, call.attempt)
	if call.fence > 0 {
		req.Header.Set(marker.Fence, strconv.FormatUint(call.fence, 10))
	}
	if call.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.body)
	}
	if s.frozen != nil {
		s.frozen()
	}
	// A process that was suspended may get here long after its lease expired, before the context's timer has fired.
	if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) {
		return shortReply{}, context.DeadlineExceeded
	}
	if err := req.Write(c.bw); err != nil {
		return shortReply{}, err
	}
	if err := c.bw.Flush(); err != nil {
		return shortReply{}, err
	}
	if err := resp.ReadLimitBody(c.br, maxReport); err != nil {
		return shortReply{}, err
	}
	if got := string(resp.Header.Peek(marker.Attempt)); got != call.attempt {
		return shortReply{}, errors.Wrapf(errCrossed, "%s: answer names attempt %q", call.path, got)
	}
	return shortReply{
		status:      resp.StatusCode(),
		incarnation: string(resp.Header.Peek(marker.Incarnation)),
		body:        append([]byte{}, resp.Body()...),
	}, nil
}
