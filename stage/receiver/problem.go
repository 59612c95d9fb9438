package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/streamer"
)

const minRetryAfter = time.Second

// problem is an error response to a caller.
type problem struct {
	status     int
	code       string
	param      string
	message    string
	outcome    string
	retryAfter time.Duration
}

// errorBody is the error body of the OpenAI API, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
}

func (p problem) body() []byte {
	kind := "server_error"
	switch {
	case p.status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case p.status < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	d := errorDetail{Message: p.message, Type: kind, Code: p.code, Outcome: p.outcome}
	if p.param != "" {
		d.Param = &p.param
	}
	b, err := json.Marshal(errorBody{Error: d})
	if err != nil {
		return []byte(`{"error":{"message":"internal","type":"server_error","param":null,"code":"internal","outcome":"unknown"}}`)
	}
	return b
}

func (p problem) send(c fiber.Ctx) error {
	if p.retryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int((max(p.retryAfter, minRetryAfter)+time.Second-1)/time.Second)))
	}
	c.Set(fiber.HeaderContentType, "application/json")
	return c.Status(p.status).Send(p.body())
}

// newProblem returns the error response for an incomplete answer.
func newProblem(e streamer.End) problem {
	p := problem{code: string(e.Reason), message: e.Message, outcome: e.Outcome.String(), retryAfter: e.RetryAfter}
	if p.code == "" {
		p.code = string(streamer.ReasonBroken)
	}
	if e.Outcome == retrier.NotRun {
		p.status = notRunStatus(e.Reason)
		if p.status == http.StatusServiceUnavailable && p.retryAfter == 0 {
			p.retryAfter = minRetryAfter
		}
		return p
	}
	p.status = http.StatusBadGateway
	switch e.Reason {
	case streamer.ReasonSilent, streamer.ReasonDeadline, streamer.ReasonRunning:
		p.status = http.StatusGatewayTimeout
	}
	return p
}

func notRunStatus(r streamer.Reason) int {
	switch r {
	case streamer.ReasonConflict:
		return http.StatusConflict
	case streamer.ReasonQuarantine:
		return http.StatusUnprocessableEntity
	case streamer.Reason(scheduler.ReasonFull), streamer.Reason(scheduler.ReasonLate):
		return http.StatusTooManyRequests
	case streamer.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
