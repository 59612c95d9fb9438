package launcher

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
)

// FreeAddr returns addresses 127.a.b.c:port, where a.b.c is derived from the process id, from 127.1.0.0 to 127.64.255.255.
const (
	pidMask  = 1<<22 - 1
	hostBase = 127<<24 | 1<<16
	// The ports are below Linux's ephemeral port range.
	firstPort = 10_000
	portCount = 20_000
)

var addrCount atomic.Uint32

// FreeAddr returns an unused loopback address, on an IP address that only this process uses. It returns an address again
// only after 20,000 others, so that nothing else binds it before its user does, or while its user restarts.
func FreeAddr(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	for range portCount {
		addr := net.JoinHostPort(host(os.Getpid()), strconv.Itoa(firstPort+int((addrCount.Add(1)-1)%portCount)))
		ln, err := lc.Listen(ctx, "tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // The port is in use, for example by a listener on all addresses.
		}
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		return addr, ln.Close()
	}
	return "", errors.New("find a free port: all are in use")
}

// host returns the loopback IP address for a process id.
func host(pid int) string {
	n := uint32(hostBase + pid&pidMask)
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}).String()
}
