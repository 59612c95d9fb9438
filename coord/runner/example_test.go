package runner_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
)

// This example embeds a replicated counter: three replicas, each with a data folder and an HTTP server. In production
// each replica runs in its own process.
func Example() {
	folder, err := os.MkdirTemp("", "counter")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	var members []runner.Member
	var listeners []net.Listener
	for id := uint64(1); id <= 3; id++ {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return
		}
		listeners = append(listeners, lis)
		members = append(members, runner.Member{ID: id, Addr: lis.Addr().String()})
	}
	var replicas []*runner.Runner
	for i, mb := range members {
		transport := carrier.New(mb.ID, "example")
		r, err := runner.New(runner.Config{
			ID: mb.ID, Cluster: "example", DataFolder: filepath.Join(folder, strconv.Itoa(i)), InitialMembers: members,
		}, &counter{}, transport)
		if err != nil {
			fmt.Println(err)
			return
		}
		mux := http.NewServeMux()
		mux.Handle(carrier.Path, transport.Handler())
		server := encoder.NewServer(mux)
		go func() { _ = server.Serve(listeners[i]) }()
		defer func() { _, _, _ = r.Close(), transport.Close(), server.Close() }()
		replicas = append(replicas, r)
	}

	// The replica with the lowest ID bootstraps the group as its first leader. Commands are retried until there is one.
	ctx := context.Background()
	add := func(n uint64) uint64 {
		for {
			for _, r := range replicas {
				res, err := r.Propose(ctx, binary.BigEndian.AppendUint64(nil, n))
				if err == nil {
					return binary.BigEndian.Uint64(res.Data)
				}
			}
		}
	}
	fmt.Println(add(40))
	fmt.Println(add(2))
	// Output:
	// 40
	// 42
}
