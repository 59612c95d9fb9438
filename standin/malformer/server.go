package malformer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// Server reads one request on each connection, answers it with bytes as they are, and closes the connection.
type Server struct {
	ln     net.Listener
	answer atomic.Value
	wg     conc.WaitGroup
	close  sync.Once
}

// NewServer starts a Server on a loopback address.
func NewServer() (*Server, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln}
	s.answer.Store("")
	s.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				// A close with unread bytes would reset the connection.
				_, _ = io.Copy(io.Discard, r.Body)
				text, _ := s.answer.Load().(string)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	})
	return s, nil
}

// Addr returns the address as ip:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// SetAnswer sets the bytes of further answers.
func (s *Server) SetAnswer(text string) { s.answer.Store(text) }

// Close ends the server.
func (s *Server) Close() {
	s.close.Do(func() { _ = s.ln.Close() })
	s.wg.Wait()
}
