package starter

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/operator"
	"redwingstage.org/standin/issuer"
	"redwingstage.org/standin/launcher"
)

const controlJSON = `{"role":"control","name":"control-1","id":1,"cluster":"tebing","zone":"kl-1","zones":["kl-1"],
"folder":"data","peers":"%s","operators":"%s","metrics":"%s","members":[{"id":1,"addr":"%[1]s"}],"tokens":"tokens.json",
"tls":{"cert":"c.pem","key":"k.pem"},"store":{"rate":3.5,"parallel":3,"inflight":24,"load":"250ms"}}`

const secret = "0123456789abcdef"

// TestOperatorsByTLS starts a control replica with TLS and calls it with the command line.
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

	operators := netip.MustParseAddrPort(s.Control().OperatorsAddr())
	cert, key, err := issuer.Issue(issuer.Certificate{Serial: 1, Addr: operators.Addr(), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)})
	c.Assert(err, qt.IsNil)
	write("c.pem", string(cert))
	write("k.pem", string(key))
	p, err := Start(s, log)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(p.Close(), qt.IsNil) }()
	argv := []string{"get", "classes", "--addrs", s.Control().OperatorsAddr(), "--token", path("token")}
	out, err := operator.Output(strings.NewReader(""), append(argv, "--ca", path("c.pem"))...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	_, err = operator.Output(strings.NewReader(""), argv...)
	c.Assert(err, qt.ErrorMatches, "(?s)redwingstage: exit code 3: .*")
}
