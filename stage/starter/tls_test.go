package starter

import (
	"context"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/operator"
	"redwingstage.org/standin/launcher"
)

const controlJSON = `{"role":"control","name":"control-1","id":1,"cluster":"tebing","zone":"kl-1","zones":["kl-1"],
"folder":"data","peers":"%s","operators":"%s","metrics":"%s","members":[{"id":1,"addr":"%[1]s"}],"tokens":"tokens.json",
"tls":{"cert":"c.pem","key":"k.pem"},"store":{"rate":3.5,"parallel":3,"inflight":24,"load":"250ms"}}`

const secret = "0123456789abcdef"

// TestOperatorsByTLS starts a control replica from its settings and calls it with the command line.
func TestOperatorsByTLS(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	write := func(name, content string) {
		c.Assert(os.WriteFile(path(name), []byte(content), 0o600), qt.IsNil)
	}
	var addrs []any
	for range 3 {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		addrs = append(addrs, addr)
	}
	write("control.json", fmt.Sprintf(controlJSON, addrs...))
	write("tokens.json", `{"tokens":[{"name":"aisyah","token":"`+secret+`"}]}`)
	write("token", secret)
	s, err := loader.Load(path("control.json"))
	c.Assert(err, qt.IsNil)
	log := logger.New(io.Discard, "error")

	_, err = Start(s, log)
	c.Assert(err, qt.ErrorMatches, "operators' listener: certificate: stat .*c.pem: .*")

	cert, key := certificate(c)
	write("c.pem", cert)
	write("k.pem", key)
	p, err := Start(s, log)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(p.Close(), qt.IsNil) }()
	argv := []string{"get", "classes", "--addrs", s.Control().Operators(), "--token", path("token")}
	out, err := operator.Call(strings.NewReader(""), append(argv, "--ca", path("c.pem"))...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	_, err = operator.Call(strings.NewReader(""), argv...)
	c.Assert(err, qt.ErrorMatches, "(?s)redwingstage: exit code 3: .*")
}

// certificate returns the one that httptest shows on 127.0.0.1, with its key.
func certificate(c *qt.C) (cert, key string) {
	srv := httptest.NewTLSServer(nil)
	defer srv.Close()
	b, err := x509.MarshalPKCS8PrivateKey(srv.TLS.Certificates[0].PrivateKey)
	c.Assert(err, qt.IsNil)
	cert = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw}))
	return cert, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b}))
}
