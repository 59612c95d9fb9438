package operator

import (
	"context"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
)

// TestTLSConnections calls replicas with and without TLS; the token must not reach a replica whose certificate isn't trusted.
func TestTLSConnections(t *testing.T) {
	tests := []struct {
		name   string
		host   string // the certificate is for 127.0.0.1
		secure bool
		ca     bool
		code   Code
		calls  int64
		errs   string
	}{
		{"trusted", "127.0.0.1", true, true, OK, 1, ""},
		{"certificate for another address", "127.0.0.2", true, true, Unreachable, 0, "x509"},
		{"replica without TLS", "127.0.0.1", false, true, Unreachable, 0, "first record does not look like a TLS handshake"},
		{"command line without TLS", "127.0.0.1", true, false, Unreachable, 0, "no control replica can take the call"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			var calls atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				_, _ = w.Write([]byte(`{"items":[]}`))
			}))
			ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", tt.host+":0")
			c.Assert(err, quicktest.IsNil)
			c.Assert(srv.Listener.Close(), quicktest.IsNil)
			srv.Listener = ln
			sameCert := httptest.NewTLSServer(nil) // has the same certificate
			defer sameCert.Close()
			if tt.secure {
				srv.StartTLS()
			} else {
				srv.Start()
			}
			defer srv.Close()
			s := newTestCLI(c, ln.Addr().String())
			argv := []string{"get", "classes"}
			if tt.ca {
				authority := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: sameCert.Certificate().Raw})
				argv = append(argv, "--ca", s.writeFile("ca.pem", string(authority)))
			}
			code, _, errs := s.run(argv...)
			c.Assert(code, quicktest.Equals, tt.code, quicktest.Commentf("%s", errs))
			c.Assert(calls.Load(), quicktest.Equals, tt.calls)
			c.Assert(errs, quicktest.Contains, tt.errs)
		})
	}
	c := quicktest.New(t)
	s := newTestCLI(c, "127.0.0.1:1")
	code, _, errs := s.run("status", "--ca", s.writeFile("ca.pem", "none"))
	c.Assert(code, quicktest.Equals, Usage)
	c.Assert(errs, quicktest.Equals, "redwingstage: --ca: certificates of authorities: ca.pem holds no certificate in PEM\n")
}
