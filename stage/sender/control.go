package sender

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
)

const (
	maxControlReplyBytes = 4 << 20
	controlTimeout       = 4 * time.Second
)

// AdapterOrder orders an engine to load or unload an adapter's version.
type AdapterOrder struct {
	Attempt string
	Addr    string
	// Name is "adapter@version".
	Name string
	// Path is where the engine finds the weights, or "" to unload.
	Path    string
	Fence   uint64
	Timeout time.Duration
}

// Errors of refused orders.
var (
	// ErrOldFence means that the engine has seen a newer owner's fence number.
	ErrOldFence = errors.New("the engine refused an old fence number")
	// ErrBusy means that the engine keeps an adapter that serves requests.
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

// NotListeningError means that the connection was refused: the process has ended and isn't just slow.
type NotListeningError struct{ err error }

// Error implements error.
func (e *NotListeningError) Error() string { return "no process listens: " + e.err.Error() }

// Unwrap returns the cause.
func (e *NotListeningError) Unwrap() error { return e.err }

type adapterRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

type cancelRequest struct {
	Attempt string `json:"attempt"`
}

// Load makes the engine load the adapter and returns the incarnation that confirmed it.
func (s *Sender) Load(ctx context.Context, o AdapterOrder) (string, error) {
	return s.sendOrder(ctx, o, "/v1/load_lora_adapter", adapterRequest{Name: o.Name, Path: o.Path})
}

// Unload makes the engine unload the adapter.
func (s *Sender) Unload(ctx context.Context, o AdapterOrder) error {
	_, err := s.sendOrder(ctx, o, "/v1/unload_lora_adapter", adapterRequest{Name: o.Name})
	return err
}

func (s *Sender) sendOrder(ctx context.Context, o AdapterOrder, path string, body any) (string, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return "", errors.Wrap(err, "encode order")
	}
	reply, err := s.sendControl(ctx, controlCall{
		method: http.MethodPost, path: path, addr: o.Addr, attempt: o.Attempt, body: payload, fence: o.Fence, timeout: o.Timeout,
	})
	if err != nil {
		return "", err
	}
	serverErr := parseErrorResponse(reply.body).Error
	switch {
	case reply.status == http.StatusOK:
		return reply.incarnation, nil
	case reply.status == http.StatusConflict && serverErr.Type == "fence":
		return reply.incarnation, ErrOldFence
	case reply.status == http.StatusConflict && serverErr.Type == "busy":
		return reply.incarnation, ErrBusy
	}
	return reply.incarnation, errors.Errorf("%s: status %d: %s", path, reply.status, serverErr.Message)
}

// Cancel returns nil once the attempt no longer runs, and the incarnation that confirmed it.
func (s *Sender) Cancel(ctx context.Context, addr, attempt, ownAttempt string) (string, error) {
	payload, err := json.Marshal(cancelRequest{Attempt: attempt})
	if err != nil {
		return "", errors.Wrap(err, "encode cancel")
	}
	reply, err := s.sendControl(ctx, controlCall{method: http.MethodPost, path: "/v1/cancel", addr: addr, attempt: ownAttempt, body: payload})
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
	reply, err := s.sendControl(ctx, controlCall{method: http.MethodGet, path: "/load", addr: addr, attempt: attempt})
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

type controlCall struct {
	method, path, addr, attempt string
	body                        []byte
	fence                       uint64
	timeout                     time.Duration
}

type controlReply struct {
	status      int
	incarnation string
	body        []byte
}

// sendControl sends a control call on a new connection, so that a stalled one can't delay it.
func (s *Sender) sendControl(ctx context.Context, call controlCall) (controlReply, error) {
	c, err := s.pool.take(ctx, call.addr, true)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return controlReply{}, &NotListeningError{err: err}
	}
	if err != nil {
		return controlReply{}, err
	}
	defer c.discard()
	stop := context.AfterFunc(ctx, c.discard)
	defer stop()
	c.readTimeout = controlTimeout
	if call.timeout > 0 {
		c.readTimeout = call.timeout
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.method)
	req.SetRequestURI(call.path)
	req.Header.SetHost(call.addr)
	req.SetConnectionClose()
	req.Header.Set(marker.Attempt, call.attempt)
	if call.fence > 0 {
		req.Header.Set(marker.FencingEpoch, strconv.FormatUint(call.fence, 10))
	}
	if call.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.body)
	}
	if s.beforeControlWrite != nil {
		s.beforeControlWrite()
	}
	// A suspended process may get here long after its lease, before the context's timer has fired.
	if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) {
		return controlReply{}, context.DeadlineExceeded
	}
	if err := req.Write(c.bw); err != nil {
		return controlReply{}, err
	}
	if err := c.bw.Flush(); err != nil {
		return controlReply{}, err
	}
	h, err := readHead(c.br)
	if err != nil {
		return controlReply{}, err
	}
	if string(h.Peek(marker.Attempt)) != call.attempt {
		return controlReply{}, errors.Wrapf(errMismatch, "%s: attempt", call.path)
	}
	body, err := io.ReadAll(io.LimitReader(newBody(c.br, h, call.method), maxControlReplyBytes+1))
	if err != nil {
		return controlReply{}, err
	}
	if len(body) > maxControlReplyBytes {
		return controlReply{}, errOversized
	}
	return controlReply{status: h.StatusCode(), incarnation: string(h.Peek(marker.Incarnation)), body: body}, nil
}
