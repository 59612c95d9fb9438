package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/parser"
)

// Errors of Dial.
var (
	// ErrPeer means that the other entry can't be reached or carries nothing now; another one may.
	ErrPeer = errors.New("the other entry carries no connection")
	// ErrServer means that the other entry's own links reach servers, but not this one.
	ErrServer = errors.New("the server can't be reached through the other entry either")
)

// Dial opens a connection to the server at target, as ip:port, through the entry whose tunnels are at peer. A read returns io.EOF only
// if the server ended the connection in order; io.ErrUnexpectedEOF means that the other entry or an older build of it did.
func Dial(ctx context.Context, dialer *net.Dialer, peer, target string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, errors.Wrap(ErrPeer, err.Error())
	}
	isFramed, err := connect(ctx, c, target)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &conn{Conn: c, isFramed: isFramed}, nil
}

// connect asks the other side for a connection to target; isFramed reports whether what the server sends comes in frames.
func connect(ctx context.Context, c net.Conn, target string) (isFramed bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", http.MethodConnect, target, target, framing, framed); err != nil {
		return false, errors.Wrap(ErrPeer, err.Error())
	}
	// What follows the head belongs to the server's connection.
	raw, err := parser.PeekHead(bufio.NewReaderSize(singleByteReader{c}, maxHeadBytes), maxHeadBytes)
	var head parser.Response
	if err == nil {
		head, err = parser.ParseResponse(raw)
	}
	if err != nil {
		return false, errors.Wrap(ErrPeer, err.Error())
	}
	if !stop() {
		return false, errors.Wrap(ErrPeer, context.Cause(ctx).Error())
	}
	switch head.Status() {
	case http.StatusOK:
		return head.Get(framing) == framed, nil
	case http.StatusBadGateway:
		return false, ErrServer
	}
	return false, errors.Wrapf(ErrPeer, "status %d", head.Status())
}

// singleByteReader reads one byte at a time.
type singleByteReader struct{ r io.Reader }

func (r singleByteReader) Read(p []byte) (int, error) { return r.r.Read(p[:min(len(p), 1)]) }
