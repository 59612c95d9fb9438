package launcher

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFreeAddr checks that addresses are unique and unused, so that nothing else binds them before their user does.
func TestFreeAddr(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	for range 200 {
		addr, err := FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(seen[addr], qt.IsFalse, qt.Commentf("%s twice", addr))
		seen[addr] = true
		a := netip.MustParseAddrPort(addr)
		c.Assert(a.Addr().IsLoopback(), qt.IsTrue)
		c.Assert(a.Addr(), qt.Not(qt.Equals), netip.MustParseAddr("127.0.0.1"))
		_, err = net.Dial("tcp", addr)
		c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
		ln, err := net.Listen("tcp", addr)
		c.Assert(err, qt.IsNil)
		c.Assert(ln.Close(), qt.IsNil)
	}
}

func TestHost(t *testing.T) {
	tests := []struct {
		pid  int
		want string
	}{
		{1, "127.1.0.1"},
		{70_000, "127.2.17.112"},
		{pidMask, "127.64.255.255"},
	}
	for _, tt := range tests {
		qt.Check(t, host(tt.pid), qt.Equals, tt.want)
	}
}
