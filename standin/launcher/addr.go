package launcher

import (
	"context"
	"net"

	"github.com/go-faster/errors"
)

// FreeAddr returns an address of loopback that nobody listens on at the moment.
func FreeAddr(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	return ln.Addr().String(), ln.Close()
}
