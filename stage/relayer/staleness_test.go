package relayer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// An entry whose replica had lost the leader probed the others one after another. With silent ones among them it found the
// one with a leader only after a document had to be in force.
func TestSilentReplicasAreProbedAtOnce(t *testing.T) {
	const replicas = 8
	var waiting sync.WaitGroup
	waiting.Add(replicas)
	together := make(chan struct{})
	go func() {
		defer close(together)
		waiting.Wait()
	}()
	met := make(chan bool, replicas)
	c := &controlClient{entry: &Relayer{deps: Deps{Dialer: func(ctx context.Context, _, _ string) (net.Conn, error) {
		waiting.Done()
		select {
		case <-together:
			met <- true
		case <-ctx.Done():
			met <- false
		}
		return nil, errors.New("silent")
	}}}}
	for i := range replicas {
		c.seeds = append(c.seeds, fmt.Sprintf("10.0.0.%d:1", i))
	}
	qt.Check(t, c.findLeader(context.Background(), "10.0.1.1:1"), qt.Equals, "")
	for range replicas {
		qt.Check(t, <-met, qt.IsTrue)
	}
}
