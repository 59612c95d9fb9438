package operator

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/stage/certifier"
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

// dialTLS completes the handshake, so that a replica without a trusted certificate gets neither token nor change.
func dialTLS(addr string, cfg *tls.Config) (net.Conn, error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	tlsConn, err := certifier.Handshake(ctx, c, addr, cfg)
	if err != nil {
		return nil, &dialError{err: errors.Join(err, c.Close())}
	}
	return tlsConn, nil
}
