package operator

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/stage/certifier"
	"redwingstage.org/stage/parser"
)

const (
	// dialTimeout bounds one attempt to connect to a replica.
	dialTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 4 << 10
)

func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return c, nil
}

func dialPlain(addr string) (net.Conn, error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	return parser.NewConn(c, maxHeadBytes), nil
}

// tlsConn is a connection over TLS.
type tlsConn struct{ *parser.Conn }

// Handshake is how fasthttp tells that a connection has TLS; the handshake was made.
func (*tlsConn) Handshake() error { return nil }

// dialTLS completes the handshake, so that a replica without a trusted certificate gets neither token nor change.
func dialTLS(addr string, cfg *tls.Config) (net.Conn, error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	secure, err := certifier.Handshake(ctx, c, addr, cfg)
	if err != nil {
		return nil, &dialError{err: errors.Join(err, c.Close())}
	}
	return &tlsConn{parser.NewConn(secure, maxHeadBytes)}, nil
}
