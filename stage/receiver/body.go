package receiver

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"redwingstage.org/stage/collector"
)

// bodyKey is the key of a request's body among the values of its context.
type bodyKey struct{}

// collectBody reads a request's body within the budget of all connections before its handler runs. The HTTP library would allocate what
// is announced, on any number of connections, and inflate what is encoded, without a limit.
func (r *Receiver) collectBody(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return c.Next()
	}
	if e := c.Get(fiber.HeaderContentEncoding); e != "" && !strings.EqualFold(e, "identity") {
		return r.refuseUnread(c, problem{
			status: http.StatusUnsupportedMediaType, code: "bad_request", param: fiber.HeaderContentEncoding, message: "bodies with an encoding are not read",
		})
	}
	memory := r.memory.Open(func() { _ = ctx.Conn().SetReadDeadline(time.Unix(1, 0)) })
	defer memory.Close()
	// A length of -1 means chunks.
	length := ctx.Request.Header.ContentLength()
	body, err := memory.ReadAll(stream, length, r.cfg.MaxBody)
	evicted := !memory.Serve()
	switch {
	case evicted || errors.Is(err, collector.ErrNoRoom):
		return r.refuseUnread(c, problem{
			status: http.StatusServiceUnavailable, code: "memory", message: collector.ErrNoRoom.Error(), retryAfter: minRetryAfter,
		})
	case errors.Is(err, collector.ErrTooLarge):
		return r.refuseUnread(c, problem{status: http.StatusRequestEntityTooLarge, code: "bad_request", message: err.Error()})
	case err != nil || len(body) < length:
		return r.refuseUnread(c, problem{status: http.StatusRequestTimeout, code: "bad_request", message: "the body did not arrive"})
	}
	c.Locals(bodyKey{}, body)
	return c.Next()
}

// refuseUnread refuses a request whose body may still be arriving, and closes its connection.
func (r *Receiver) refuseUnread(c fiber.Ctx, p problem) error {
	if lc, ok := c.RequestCtx().Conn().(*conn); ok {
		lc.unreadBody.Store(true)
	}
	c.RequestCtx().SetConnectionClose()
	return r.refuse(c, p)
}

// body returns the request's body.
func body(c fiber.Ctx) []byte {
	b, _ := c.Locals(bodyKey{}).([]byte)
	return b
}
