package controller

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"redwingstage.org/serving/auditor"
	"redwingstage.org/serving/configurer"
)

const (
	// maxRequestBytes bounds an operator's request body.
	maxRequestBytes = 6 << 20
	// exportPageSize is the number of audit records that an export reads at a time.
	exportPageSize = 500

	contentTypeJSON   = "application/json"
	contentTypeNDJSON = "application/x-ndjson"
)

type tokenHash [sha256.Size]byte

// hashTokens keys names by token hash, so that look-up time reveals nothing about tokens.
func hashTokens(tokens []Token) map[tokenHash]string {
	out := make(map[tokenHash]string, len(tokens))
	for _, t := range tokens {
		out[sha256.Sum256([]byte(t.Token))] = t.Name
	}
	return out
}

// opRequest is an operator's call as it is forwarded to the leader.
type opRequest struct {
	Op       opKind            `cbor:"1,keyasint"`
	Operator string            `cbor:"2,keyasint"`
	From     string            `cbor:"3,keyasint"`
	Args     map[string]string `cbor:"4,keyasint,omitempty"`
	Body     []byte            `cbor:"5,keyasint,omitempty"`
	// ElapsedMillis is the time that the call has taken so far.
	ElapsedMillis int64 `cbor:"6,keyasint,omitempty"`
}

// isRepeatable reports whether the call is idempotent: changes are deduplicated by their ids, the others set an end state.
func (r opRequest) isRepeatable() bool { return r.Op != opAddReplica && r.Op != opRemoveReplica }

// isChange reports whether the call writes to the log.
func (r opRequest) isChange() bool {
	switch r.Op {
	case opApply, opDelete, opDrain, opUndrain, opAddReplica, opRemoveReplica:
		return true
	}
	return false
}

// opResponse is the response to an operator's call.
type opResponse struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
	// Next is the export's cursor, 0 at its end.
	Next uint64 `cbor:"3,keyasint,omitempty"`

	// leaderLost is set if this replica no longer leads, so that the call is for the next leader; it isn't sent.
	leaderLost bool
	// maybeExecuted is set if the call may have been executed; it isn't sent.
	maybeExecuted bool
}

type opKind string

const (
	opApply         opKind = "apply"
	opDelete        opKind = "delete"
	opWait          opKind = "wait"
	opClasses       opKind = "classes"
	opServices      opKind = "services"
	opAdapters      opKind = "adapters"
	opStatus        opKind = "status"
	opAudit         opKind = "audit"
	opExport        opKind = "export"
	opDrains        opKind = "drains"
	opDrain         opKind = "drain"
	opUndrain       opKind = "undrain"
	opAddReplica    opKind = "add-replica"
	opRemoveReplica opKind = "remove-replica"
)

// errorBody is the JSON body of every error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code     string               `json:"code"`
	Message  string               `json:"message"`
	Findings []configurer.Finding `json:"findings,omitempty"`
	Revision uint64               `json:"revision,omitempty"`
	Winner   *recordJSON          `json:"winner,omitempty"`
}

func failure(status int, d errorDetail) opResponse { return success(status, errorBody{d}) }

func success(status int, v any) opResponse {
	body, err := json.Marshal(v)
	if err != nil {
		return opResponse{Status: http.StatusInternalServerError, Body: []byte(`{"error":{"code":"internal","message":"answer"}}`)}
	}
	return opResponse{Status: status, Body: body}
}

// newAPI returns the operators' API.
func (c *Controller) newAPI() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit: maxRequestBytes, Immutable: true, ReadTimeout: maxInForceTimeout + readHeaderTimeout, StrictRouting: true,
		ErrorHandler: sendError,
	})
	app.Use(c.authenticate)
	app.Post("/v1/apply", c.operatorHandler(opApply))
	app.Delete("/v1/:kind<regex(^(classes|services|adapters)$)>/:name", c.operatorHandler(opDelete))
	app.Delete("/v1/adapters/:name/versions/:number", c.operatorHandler(opDelete))
	app.Get("/v1/wait", c.operatorHandler(opWait))
	app.Get("/v1/classes/:name?", c.operatorHandler(opClasses))
	app.Get("/v1/services/:name?", c.operatorHandler(opServices))
	app.Get("/v1/adapters/:name?", c.operatorHandler(opAdapters))
	app.Get("/v1/status", c.operatorHandler(opStatus))
	app.Get("/v1/audit", c.operatorHandler(opAudit))
	app.Get("/v1/audit/export", c.export)
	app.Get("/v1/drains", c.operatorHandler(opDrains))
	app.Post("/v1/drains", c.operatorHandler(opDrain))
	app.Delete("/v1/drains/:kind/:name", c.operatorHandler(opUndrain))
	app.Post("/v1/replicas", c.operatorHandler(opAddReplica))
	app.Delete("/v1/replicas/:id", c.operatorHandler(opRemoveReplica))
	return app
}

func (c *Controller) serveAPI(l net.Listener) {
	err := c.api.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil && c.ctx.Err() == nil {
		c.logger.Error().Err(err).Msg("control: operators' listener ended")
	}
}

func sendError(ctx fiber.Ctx, err error) error {
	d, status := errorDetail{Code: "internal", Message: err.Error()}, http.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
		d.Code = "malformed"
		if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
			d.Code = "not_found"
		}
	}
	return sendResponse(ctx, failure(status, d))
}

func sendResponse(ctx fiber.Ctx, r opResponse) error {
	ctx.Set(fiber.HeaderContentType, contentTypeJSON)
	return ctx.Status(r.Status).Send(r.Body)
}

// authenticate requires a known bearer token.
func (c *Controller) authenticate(ctx fiber.Ctx) error {
	token, ok := strings.CutPrefix(ctx.Get(fiber.HeaderAuthorization), "Bearer ")
	name, known := c.tokens[sha256.Sum256([]byte(token))]
	if !ok || !known {
		return sendResponse(ctx, failure(http.StatusUnauthorized, errorDetail{Code: "unauthorized", Message: "a known bearer token is needed"}))
	}
	ctx.Locals(localOperator, name)
	return ctx.Next()
}

type localKey int

const localOperator localKey = 1

// newOpRequest copies an operator's call out of fiber's buffers.
func newOpRequest(ctx fiber.Ctx, op opKind) opRequest {
	args := ctx.Queries()
	for _, name := range ctx.Route().Params {
		if v := ctx.Params(name); v != "" {
			args["path."+name] = v
		}
	}
	operator, _ := ctx.Locals(localOperator).(string)
	return opRequest{Op: op, Operator: operator, From: ctx.IP(), Args: args, Body: append([]byte(nil), ctx.Body()...)}
}

// operatorHandler handles a call at the leader.
func (c *Controller) operatorHandler(op opKind) fiber.Handler {
	return func(ctx fiber.Ctx) error {
		r := c.operate(c.ctx, newOpRequest(ctx, op))
		c.metrics.operatorCalls.WithLabelValues(string(op), http.StatusText(r.Status)).Inc()
		return sendResponse(ctx, r)
	}
}

// export streams the audit trail, one record per line.
func (c *Controller) export(ctx fiber.Ctx) error {
	req := newOpRequest(ctx, opExport)
	first := c.operate(c.ctx, req)
	if first.Status != http.StatusOK {
		return sendResponse(ctx, first)
	}
	ctx.Set(fiber.HeaderContentType, contentTypeNDJSON)
	return ctx.SendStreamWriter(func(w *bufio.Writer) {
		r := first
		for {
			if _, err := w.Write(r.Body); err != nil {
				return
			}
			if r.Next == 0 {
				return
			}
			req.Args["after"] = formatUint(r.Next)
			if r = c.operate(c.ctx, req); r.Status != http.StatusOK {
				// The error line marks the export as incomplete.
				_, _ = w.Write(append(r.Body, '\n'))
				return
			}
		}
	})
}

// recordJSON is the JSON of an audit record.
type recordJSON struct {
	Seq      uint64         `json:"seq"`
	Revision uint64         `json:"revision"`
	At       string         `json:"at"`
	Operator string         `json:"operator"`
	From     string         `json:"from"`
	Change   string         `json:"change"`
	Action   auditor.Action `json:"action"`
	Items    []itemJSON     `json:"items"`
}

type itemJSON struct {
	Kind   configurer.ObjectKind `json:"kind"`
	Name   string                `json:"name"`
	Before any                   `json:"before,omitempty"`
	After  any                   `json:"after,omitempty"`
}
