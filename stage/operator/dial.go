package operator

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// dialTimeout bounds one attempt to connect to a replica.
const dialTimeout = 2 * time.Second

func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return c, nil
}
