package rehearser

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/operator"
)

// TestRelayedSettings checks that the relayed settings differ only in the control replicas' addresses, and that relays listen there.
func TestRelayedSettings(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "answers.json")
	c.Assert(os.WriteFile(file, fmt.Appendf(nil, deploymentAnswers, 100), 0o600), qt.IsNil)
	folder := filepath.Join(dir, "run")
	code := operator.Run(operator.Env{In: &bytes.Buffer{}, Out: io.Discard, Err: io.Discard}, []string{"init", "--answers", file, folder})
	c.Assert(code, qt.Equals, operator.OK)
	r, err := New(Config{Folder: folder, Engines: 1, Servers: 1, LoopbackNet: 100, PersistLedgers: true})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(r.Close(), qt.IsNil) }()
	c.Assert(r.StartRelays(context.Background()), qt.IsNil)
	seen := make(map[string]bool)
	for _, e := range r.entries {
		args := r.specs[e.Name()].Args
		s, err := loader.Load(args[len(args)-1])
		c.Assert(err, qt.IsNil)
		c.Assert([]string{s.Name(), s.Zone(), s.PeersAddr(), s.Entry().CallersAddr()}, qt.DeepEquals,
			[]string{e.Name(), e.Zone(), e.PeersAddr(), e.Entry().CallersAddr()})
		c.Assert(s.Entry().ControlAddrs(), qt.HasLen, len(e.Entry().ControlAddrs()))
		for _, addr := range s.Entry().ControlAddrs() {
			c.Assert(seen[addr], qt.IsFalse)
			seen[addr] = true
			conn, err := net.Dial("tcp", addr)
			c.Assert(err, qt.IsNil)
			conn.Close()
		}
	}
	c.Assert(r.specs["orders-1"].Args, qt.Contains, filepath.Join(folder, "ledger", "orders-1"))
}
