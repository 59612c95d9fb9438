package responder

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"redwingstage.org/standin/faulter"
)

// problem is the body of an error in the form of the OpenAI API.
type problem struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// Fail answers with an error.
func Fail(ctx *fasthttp.RequestCtx, status int, kind, text string) {
	FailCode(ctx, status, kind, "", text)
}

// FailCode answers with an error that has a code.
func FailCode(ctx *fasthttp.RequestCtx, status int, kind, code, text string) {
	ctx.SetStatusCode(status)
	JSON(ctx, problem{Error: detail{Message: text, Type: kind, Code: code}})
}

// JSON answers with a value.
func JSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Spoil has the connection cut within the answer's body or the answer sent twice.
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

// Target is a server whose faults can be switched on.
type Target interface {
	SetFaults(faulter.Faults) error
	Faults() faulter.Faults
	Leave()
	Departure() *Departure
	Crash()
}

// Admin serves the calls that switch faults and reports whether the call was one of them.
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
