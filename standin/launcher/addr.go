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

// The free addresses of a process are 127.a.b.c:port, where a.b.c is made of its id, from 127.1.0.0 to 127.64.255.255.
const (
	pidMask  = 1<<22 - 1
	hostBase = 127<<24 | 1<<16
	// The ports lie below those that Linux gives to dialling sockets and to listeners without a port.
	firstPort = 10_000
	portCount = 20_000
)

var given atomic.Uint32

// FreeAddr returns an address of loopback that nobody listens on, on an IP address that only this process uses.
// It returns no address twice, so that nobody else binds it before its user does, or while its user restarts.
func FreeAddr(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	for range portCount {
		addr := net.JoinHostPort(host(os.Getpid()), strconv.Itoa(firstPort+int((given.Add(1)-1)%portCount)))
		ln, err := lc.Listen(ctx, "tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // Somebody listens on this port of all addresses.
		}
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		return addr, ln.Close()
	}
	return "", errors.New("find a free port: all are in use")
}

// host returns the IP address of loopback for a process id.
func host(pid int) string {
	n := uint32(hostBase + pid&pidMask)
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}).String()
}
