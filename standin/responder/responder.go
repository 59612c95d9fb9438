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

// Fail writes an error response without a code.
func Fail(ctx *fasthttp.RequestCtx, status int, errType, message string) {
	FailCode(ctx, status, errType, "", message)
}

// FailCode writes an error response with a code.
func FailCode(ctx *fasthttp.RequestCtx, status int, errType, code, message string) {
	ctx.SetStatusCode(status)
	JSON(ctx, errorBody{Error: errorDetail{Message: message, Type: errType, Code: code}})
}

// JSON writes v as the JSON body, or status 500 if it can't be encoded.
func JSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Spoil injects the answer fault: the connection is cut within the body or the answer is sent twice.
func Spoil(ctx *fasthttp.RequestCtx, answer faulter.Answer) {
	c, ok := ctx.Conn().(*faulter.Conn)
	if !ok {
		return
	}
	if answer == faulter.Truncated {
		c.CutBody()
	}
	if answer == faulter.Doubled {
		c.DoubleNext()
	}
}

// Target is a server that Admin controls.
type Target interface {
	SetFaults(faulter.Faults) error
	Faults() faulter.Faults
	Leave()
	Departure() *Departure
	Crash()
}

// Admin serves the calls that set faults, leave and crash, and reports whether the call was one of them.
func Admin(ctx *fasthttp.RequestCtx, t Target) bool {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /faults":
		JSON(ctx, t.Faults())
	case "POST /faults":
		f, err := faulter.Parse(ctx.PostBody())
		if err == nil {
			err = t.SetFaults(f)
		}
		if err != nil {
			Fail(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		}
	case "POST /leave":
		t.Leave()
	case "GET /departure":
		JSON(ctx, t.Departure().report(time.Now()))
	case "POST /crash":
		t.Crash()
	default:
		return false
	}
	return true
}
