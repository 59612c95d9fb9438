package certifier

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingstage.org/standin/issuer"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// logLines is a Logger that records all lines.
type logLines []string

func (l *logLines) Info(msg, detail string)     { *l = append(*l, msg+": "+detail) }
func (l *logLines) Error(msg string, err error) { *l = append(*l, msg+": "+err.Error()) }

// fixture is a folder with a self-signed certificate for 127.0.0.1.
type fixture struct {
	*quicktest.C
	dir string
	log logLines
	now time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: quicktest.New(t), dir: t.TempDir(), now: start}
	f.issue(1, start.Add(time.Hour))
	return f
}

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

// write replaces a file and sets its time, so that any file system's resolution shows the change.
func (f *fixture) write(name, content string, at time.Time) {
	f.Assert(os.WriteFile(f.path(name), []byte(content), 0o600), quicktest.IsNil)
	f.Assert(os.Chtimes(f.path(name), at, at), quicktest.IsNil)
}

// issue writes a certificate with a serial number, which also sets the files' time.
func (f *fixture) issue(serial int64, expiry time.Time) {
	cert, key, err := issuer.Issue(issuer.Certificate{
		Serial: serial, Addr: netip.MustParseAddr("127.0.0.1"), NotBefore: start.Add(-time.Hour), NotAfter: expiry,
	})
	f.Assert(err, quicktest.IsNil)
	at := start.Add(time.Duration(serial) * time.Second)
	f.write("c.pem", string(cert), at)
	f.write("k.pem", string(key), at)
}

func (f *fixture) newCertifier() (*Certifier, error) {
	return New(f.path("c.pem"), f.path("k.pem"), &f.log, WithClock(func() time.Time { return f.now }))
}

// handshake connects a client that trusts c.pem and returns the server certificate's serial number.
func (f *fixture) handshake(c *Certifier, addr string) (int64, error) {
	cfg, err := ClientConfig(f.path("c.pem"))
	f.Assert(err, quicktest.IsNil)
	cfg.Time = func() time.Time { return f.now }
	// A socket buffers writes; on a net.Pipe both sides would block, each writing a TLS alert.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, quicktest.IsNil)
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		serverConn, err := ln.Accept()
		if err != nil {
			return
		}
		_ = tls.Server(serverConn, c.ServerConfig()).HandshakeContext(context.Background())
		_ = serverConn.Close()
	}()
	defer func() { <-serverDone }()
	defer func() { _ = ln.Close() }()
	clientConn, err := net.Dial("tcp", ln.Addr().String())
	f.Assert(err, quicktest.IsNil)
	defer func() { _ = clientConn.Close() }()
	tlsConn, err := Handshake(context.Background(), clientConn, addr, cfg)
	if err != nil {
		return 0, err
	}
	return tlsConn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestHandshake(t *testing.T) {
	f := newFixture(t)
	c, err := f.newCertifier()
	f.Assert(err, quicktest.IsNil)
	serial, err := f.handshake(c, "127.0.0.1:7070")
	f.Assert(err, quicktest.IsNil)
	f.Assert(serial, quicktest.Equals, int64(1))
	_, err = f.handshake(c, "127.0.0.2:7070")
	f.Assert(err, quicktest.ErrorMatches, `TLS with 127.0.0.2:7070: .*not 127.0.0.2`)
	f.issue(2, start.Add(time.Hour))
	_, err = f.handshake(c, "127.0.0.1:7070")
	f.Assert(err, quicktest.ErrorMatches, `TLS with 127.0.0.1:7070: .*x509.*`, quicktest.Commentf("another authority"))
}

func TestReloadOfReplacedFiles(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(*fixture)
		elapsed time.Duration
		serial  string
		log     string
	}{
		{"unchanged", func(*fixture) {}, checkInterval, "1", ""},
		{"new pair", func(f *fixture) { f.issue(2, start.Add(time.Hour)) }, checkInterval, "2", "uses a new certificate"},
		{"before the next check", func(f *fixture) { f.issue(2, start.Add(time.Hour)) }, checkInterval - 1, "1", ""},
		{"only key replaced", func(f *fixture) { f.write("k.pem", "k", start) }, checkInterval, "1", "keeping the old certificate"},
		{"certificate removed", func(f *fixture) { f.Assert(os.Remove(f.path("c.pem")), quicktest.IsNil) }, checkInterval, "1", "keeping the old certificate"},
		{"expired", func(f *fixture) { f.issue(3, start.Add(time.Second)) }, checkInterval, "3", "expired on 2026-03-02T09:00:01Z"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			c, err := f.newCertifier()
			f.Assert(err, quicktest.IsNil)
			tt.change(f)
			f.now = f.now.Add(tt.elapsed)
			f.Assert(c.certificate().Leaf.SerialNumber.String(), quicktest.Equals, tt.serial)
			f.Assert(strings.Join(f.log, "\n"), quicktest.Contains, tt.log)
			f.Assert(len(f.log) > 0, quicktest.Equals, tt.log != "")
		})
	}
}

func TestInvalidFiles(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*fixture)
		err    string
	}{
		{"no certificate", func(f *fixture) { f.Assert(os.Remove(f.path("c.pem")), quicktest.IsNil) }, `certificate: stat .*c\.pem.*`},
		{"no key", func(f *fixture) { f.Assert(os.Remove(f.path("k.pem")), quicktest.IsNil) }, `key of the certificate: stat .*k\.pem.*`},
		{"no PEM", func(f *fixture) { f.write("c.pem", "c", start) }, `certificate .*c\.pem with key .*k\.pem: .*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			tt.change(f)
			_, err := f.newCertifier()
			f.Assert(err, quicktest.ErrorMatches, tt.err)
		})
	}
	f := newFixture(t)
	_, err := ClientConfig(f.path("none.pem"))
	f.Assert(err, quicktest.ErrorMatches, `certificates of authorities: .*none\.pem.*`)
	_, err = ClientConfig(f.path("k.pem"))
	f.Assert(err, quicktest.ErrorMatches, `.*k\.pem holds no certificate in PEM`)
}
