package tunneler_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"redwingstage.org/stage/acceptor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/tunneler"
	"redwingstage.org/standin/malformer"
)

// carrierEnv makes the test binary a process that carries connections until it is killed.
const carrierEnv = "TUNNELER_TEST_CARRIER"

func TestMain(m *testing.M) {
	if os.Getenv(carrierEnv) != "" {
		t, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0"}, tunneler.Deps{DialServer: dialTCP, Log: logger.New(io.Discard, "error").Component("test")})
		if err != nil {
			panic(err)
		}
		fmt.Println(t.Addr())
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

// startProcess starts a process that carries connections, and returns it with its address.
func startProcess(c *qt.C) (*os.Process, string) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), carrierEnv+"=1")
	stdin, err := cmd.StdinPipe()
	c.Assert(err, qt.IsNil)
	stdout, err := cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	addr, err := bufio.NewReader(stdout).ReadString('\n')
	c.Assert(err, qt.IsNil)
	return cmd.Process, strings.TrimSpace(addr)
}

// serveHalf serves half of an answer, and waits until the connection has ended.
func serveHalf(c *qt.C) string {
	return serve(c, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "half")
		_, _ = io.Copy(io.Discard, conn)
	})
}

// readHalf has a server write half of an answer through the entry at peer, which end then ends, and returns the error that follows.
func readHalf(c *qt.C, peer string, end func()) error {
	conn, err := tunneler.Dial(c.Context(), &net.Dialer{}, peer, serveHalf(c))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "x")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len("half")))
	c.Assert(err, qt.IsNil)
	end()
	_, err = conn.Read(make([]byte, 1))
	return err
}

// start starts a Tunneler that opens connections with dial.
func start(c *qt.C, dial func(ctx context.Context, addr string) (net.Conn, error)) *tunneler.Tunneler {
	t, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0"}, tunneler.Deps{DialServer: dial, Log: logger.New(io.Discard, "error").Component("test")})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(t.Close(), qt.IsNil) })
	return t
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// serve accepts one connection, passes it to f and closes it.
func serve(c *qt.C, f func(conn *net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			f(tcp)
		}
		_ = conn.Close()
	}()
	c.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func dialThrough(c *qt.C, t *tunneler.Tunneler, target string) net.Conn {
	conn, err := tunneler.Dial(c.Context(), &net.Dialer{}, t.Addr(), target)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestCarriesBothWays(t *testing.T) {
	c := qt.New(t)
	addr := serve(c, func(conn *net.TCPConn) {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "got "+line)
	})
	conn := dialThrough(c, start(c, dialTCP), addr)
	_, err := io.WriteString(conn, "a line\n")
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil, qt.Commentf("the server ended the connection in order"))
	c.Check(string(got), qt.Equals, "got a line\n")
}

// An answer without a length that was cut by a reset must not look complete.
func TestResetArrivesAsReset(t *testing.T) {
	c := qt.New(t)
	addr := serve(c, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "half")
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	conn := dialThrough(c, start(c, dialTCP), addr)
	_, err := io.WriteString(conn, "x")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(conn)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// A caller that leaves must be seen at the server.
func TestServerSeesThatCallerLeft(t *testing.T) {
	c := qt.New(t)
	left := make(chan error, 1)
	addr := serve(c, func(conn *net.TCPConn) {
		_, err := conn.Read(make([]byte, 1))
		left <- err
	})
	tn := start(c, dialTCP)
	c.Assert(dialThrough(c, tn, addr).Close(), qt.IsNil)
	c.Check(<-left, qt.Equals, io.EOF)
	for tn.Carried() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestTellsWhoseLinksAreLost(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		name string
		dial func(ctx context.Context, addr string) (net.Conn, error)
		want error
	}{
		{"the server's", func(context.Context, string) (net.Conn, error) {
			return nil, errors.Wrap(tunneler.ErrServer, "refused")
		}, tunneler.ErrServer},
		{"its own", func(context.Context, string) (net.Conn, error) { return nil, errors.New("lost") }, tunneler.ErrPeer},
		{"the server is silent", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, errors.Wrap(tunneler.ErrServer, ctx.Err().Error())
		}, tunneler.ErrServer},
	} {
		tn := start(c, row.dial)
		_, err := tunneler.Dial(c.Context(), &net.Dialer{}, tn.Addr(), "10.0.0.1:80")
		c.Check(errors.Is(err, row.want), qt.IsTrue, qt.Commentf("%s: %v", row.name, err))
	}
}

func TestOtherRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	tn := start(c, func(context.Context, string) (net.Conn, error) { panic("not reached") })
	for _, request := range []string{"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", "CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\nmore"} {
		conn, err := net.Dial("tcp", tn.Addr())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, request)
		c.Assert(err, qt.IsNil)
		line, err := bufio.NewReader(conn).ReadString('\n')
		c.Check(err, qt.IsNil)
		c.Check(line, qt.Equals, "HTTP/1.1 400 Bad Request\r\n")
		c.Check(conn.Close(), qt.IsNil)
	}
}

// An entry that accepts and says nothing must not hold a request longer than it allows.
func TestSilentPeerIsLeft(t *testing.T) {
	c := qt.New(t)
	addr := serve(c, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	ctx, cancel := context.WithTimeout(c.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := tunneler.Dial(ctx, &net.Dialer{}, addr, "10.0.0.1:80")
	c.Check(errors.Is(err, tunneler.ErrPeer), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCloseEndsTunnels(t *testing.T) {
	c := qt.New(t)
	addr := serve(c, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	tn, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0"}, tunneler.Deps{DialServer: dialTCP, Log: logger.New(io.Discard, "error").Component("test")})
	c.Assert(err, qt.IsNil)
	conn := dialThrough(c, tn, addr)
	c.Check(tn.Close(), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
}

// An answer without a length must not look complete when the entry that carries it stops as planned.
func TestCloseResetsTunnels(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		tn, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0"}, tunneler.Deps{DialServer: dialTCP, Log: logger.New(io.Discard, "error").Component("test")})
		c.Assert(err, qt.IsNil)
		err = readHalf(c, tn.Addr(), func() { c.Check(tn.Close(), qt.IsNil) })
		c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// An answer without a length must not look complete when the process of the entry that carries it is killed.
func TestKilledProcessResetsTunnels(t *testing.T) {
	c := qt.New(t)
	process, addr := startProcess(c)
	err := readHalf(c, addr, func() { c.Check(process.Kill(), qt.IsNil) })
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// An answer without a length must not look complete when its tunnel is closed for a newer one.
func TestCrowdResetsOldestTunnel(t *testing.T) {
	c := qt.New(t)
	tn, err := tunneler.New(tunneler.Config{Addr: "127.0.0.1:0", MaxFiles: 1}, tunneler.Deps{DialServer: dialTCP, Log: logger.New(io.Discard, "error").Component("test")})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(tn.Close(), qt.IsNil) })
	err = readHalf(c, tn.Addr(), func() {
		for range acceptor.System.MaxConns(0, 1) {
			conn, err := net.Dial("tcp", tn.Addr())
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = conn.Close() })
		}
	})
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// A head that isn't one of an entry, such as that of another process at its address, opened a connection.
func TestMalformedHeadOpensNoConnection(t *testing.T) {
	c := qt.New(t)
	srv, err := malformer.NewServer()
	c.Assert(err, qt.IsNil)
	c.Cleanup(srv.Close)
	heads := []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "FTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\nX: y\r\n\r\n", "HTTP/1.1 200 OK\n\n"}
	for _, line := range malformer.Lines("Redwing-Framing") {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n", "HTTP/1.1 502 Bad Gateway\r\n"+line+"\r\n\r\n")
	}
	for _, line := range malformer.Bytes() {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n")
	}
	for _, head := range heads {
		srv.SetAnswer(head)
		conn, err := tunneler.Dial(context.Background(), new(net.Dialer), srv.Addr(), "127.0.0.1:1")
		c.Check(err, qt.ErrorIs, tunneler.ErrPeer, qt.Commentf("%q", head))
		if err == nil {
			_ = conn.Close()
		}
	}
}
