package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/stage/acceptor"
	"redwingstage.org/stage/logger"
)

const (
	// requestTimeout bounds the wait for a request for a tunnel, serverTimeout that for the server's connection.
	requestTimeout = time.Second
	serverTimeout  = 250 * time.Millisecond
	// endTimeout bounds the wait for the other end once one has ended.
	endTimeout   = time.Second
	copyBytes    = 8 << 10
	maxHeadBytes = 1 << 10
)

// Config is the configuration of a Tunneler.
type Config struct {
	// Addr is the address of the listener, as ip:port.
	Addr string
	// MemoryLimit is the memory of the process in bytes, MaxFiles its file descriptors; 0 if unknown.
	MemoryLimit int64
	MaxFiles    int
}

// Deps are the dependencies of a Tunneler.
type Deps struct {
	// DialServer opens a connection over this entry's own links to the server at an address; it returns ErrServer if only this server
	// can't be reached, and other errors if there is no such server or the links are lost.
	DialServer func(ctx context.Context, addr string) (net.Conn, error)
	Log        *logger.Component
}

// Tunneler accepts connections of other entries and carries each to the backend server that it asks for.
type Tunneler struct {
	deps     Deps
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New starts a Tunneler.
func New(cfg Config, deps Deps) (*Tunneler, error) {
	ln, err := acceptor.System.Listen(context.Background(), cfg.Addr, cfg.MemoryLimit)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Addr)
	}
	t := &Tunneler{deps: deps, listener: acceptor.New(ln, acceptor.System.MaxConns(cfg.MemoryLimit, cfg.MaxFiles)), conns: make(map[net.Conn]bool)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(func() {
		for {
			c, err := t.listener.Accept()
			switch {
			case t.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				t.deps.Log.Error("accept a tunnel", err)
				time.Sleep(10 * time.Millisecond)
			default:
				t.wg.Go(func() { t.serve(c) })
			}
		}
	})
	return t, nil
}

// Addr returns the address of the listener.
func (t *Tunneler) Addr() string { return t.listener.Addr().String() }

// Carried returns the number of connections that are open.
func (t *Tunneler) Carried() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Close ends all tunnels.
func (t *Tunneler) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.mu.Lock()
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
	return err
}

// add records an open connection; false means that the Tunneler was closed.
func (t *Tunneler) add(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
	return t.ctx.Err() == nil
}

func (t *Tunneler) remove(c net.Conn) {
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	_ = c.Close()
}

// serve opens the connection that the other entry asks for, and carries it until both ends have ended.
func (t *Tunneler) serve(c net.Conn) {
	defer t.remove(c)
	if !t.add(c) || c.SetDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	br := bufio.NewReaderSize(io.LimitReader(c, maxHeadBytes), maxHeadBytes)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	isFramed := req.Header.Get(framing) == framed
	if req.Method != http.MethodConnect || br.Buffered() > 0 {
		respond(c, http.StatusBadRequest, false)
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, serverTimeout)
	defer cancel()
	server, err := t.deps.DialServer(ctx, req.Host)
	switch {
	case errors.Is(err, ErrServer):
		respond(c, http.StatusBadGateway, false)
		return
	case err != nil:
		respond(c, http.StatusServiceUnavailable, false)
		return
	}
	defer t.remove(server)
	// Only the server's end may look like an end in order, not that of this process.
	setLinger(c, 0)
	if !t.add(server) || !respond(c, http.StatusOK, isFramed) || c.SetDeadline(time.Time{}) != nil {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { carry(server, c, false) })
	carry(c, server, isFramed)
	wg.Wait()
}

// respond writes a response without a body; isFramed says that what the server sends follows in frames.
func respond(c net.Conn, status int, isFramed bool) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if status != http.StatusOK {
		head += "Content-Length: 0\r\n"
	}
	if isFramed {
		head += framing + ": " + framed + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n")
	return err == nil
}

// carry copies from src to dst, in frames if isFramed, until one of them ends, and ends dst as src ended: an answer without a length
// that was cut must not look complete.
func carry(dst, src net.Conn, isFramed bool) {
	var err error
	if isFramed {
		err = copyFrames(dst, src)
	} else {
		// A plain copy: the kernel's own needs more descriptors.
		_, err = io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, make([]byte, copyBytes))
	}
	if err != nil {
		reset(dst)
		// What its peer hasn't read yet still arrives if it was ended in order before.
		_ = src.Close()
		return
	}
	setLinger(dst, -1)
	if w, ok := underlying(dst).(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = dst.SetReadDeadline(time.Now().Add(endTimeout))
}

// reset ends a connection such that its peer sees an error.
func reset(c net.Conn) {
	setLinger(c, 0)
	_ = c.Close()
}

// setLinger sets what closing c does, also when the process ends: a reset if sec is 0, an end in order if it is negative.
func setLinger(c net.Conn, sec int) {
	if l, ok := underlying(c).(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(sec)
	}
}

// underlying returns the connection that c wraps, or c.
func underlying(c net.Conn) net.Conn {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c
}
