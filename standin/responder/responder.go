package responder

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"redwingstage.org/standin/faulter"
)

// errorBody is the body of an error in the OpenAI API's format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// WriteError writes an error response without a code.
func WriteError(ctx *fasthttp.RequestCtx, status int, errType, message string) {
	WriteErrorCode(ctx, status, errType, "", message)
}

// WriteErrorCode writes an error response with a code.
func WriteErrorCode(ctx *fasthttp.RequestCtx, status int, errType, code, message string) {
	ctx.SetStatusCode(status)
	WriteJSON(ctx, errorBody{Error: errorDetail{Message: message, Type: errType, Code: code}})
}

// WriteJSON writes v as the JSON body, or status 500 if it can't be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// InjectAnswerFault injects the answer fault: the connection is cut within the body or the answer is sent twice.
func InjectAnswerFault(ctx *fasthttp.RequestCtx, answer faulter.AnswerFault) {
	c, ok := ctx.Conn().(*faulter.Conn)
	if !ok {
		return
	}
	if answer == faulter.Truncated {
		c.TruncateNext()
	}
	if answer == faulter.Doubled {
		c.DoubleNext()
	}
}

// FaultTarget is a server that ServeAdmin controls.
type FaultTarget interface {
	SetFaults(faulter.Faults) error
	Faults() faulter.Faults
	Leave()
	Departure() *Departure
	Crash()
}

// ServeAdmin serves the calls that set faults, leave and crash, and reports whether the call was one of them.
func ServeAdmin(ctx *fasthttp.RequestCtx, t FaultTarget) bool {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /faults":
		WriteJSON(ctx, t.Faults())
	case "POST /faults":
		f, err := faulter.Parse(ctx.PostBody())
		if err == nil {
			err = t.SetFaults(f)
		}
		if err != nil {
			WriteError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		}
	case "POST /leave":
		t.Leave()
	case "GET /departure":
		WriteJSON(ctx, t.Departure().report(time.Now()))
	case "POST /crash":
		t.Crash()
	default:
		return false
	}
	return true
}
