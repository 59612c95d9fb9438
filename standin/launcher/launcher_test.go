package launcher

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLauncher(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	l := New(dir)
	spec := Spec{Name: "a", Path: "/bin/sh", Args: []string{"-c", "echo started; exec sleep 60"}}
	c.Assert(l.Start(spec), qt.IsNil)
	c.Assert(l.Start(spec), qt.ErrorMatches, `process "a" runs already`)
	c.Assert(l.Suspend("a"), qt.IsNil)
	c.Assert(l.Resume("a"), qt.IsNil)
	first, err := l.PID("a")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Restart("a"), qt.IsNil)
	second, err := l.PID("a")
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.Not(qt.Equals), first)
	c.Assert(l.Stop("a"), qt.ErrorMatches, "signal: terminated")
	c.Assert(l.Start(Spec{Name: "b", Path: "/bin/sh", Args: []string{"-c", "echo out"}}), qt.IsNil)
	exited, err := l.Exited("b")
	c.Assert(err, qt.IsNil)
	<-exited
	b, err := os.ReadFile(filepath.Join(dir, "b.log"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, "out\n")
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(l.Kill("c"), qt.ErrorMatches, `no process "c" was started`)
	c.Assert(l.Start(Spec{Name: "d", Path: filepath.Join(dir, "none")}), qt.ErrorMatches, `start "d": .*no such file.*`)
}
