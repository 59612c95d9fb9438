package governor

import (
	"context"
	"strings"
	"sync"
	"time"
)

// PathSession is the URL path of sessions.
const PathSession = pathSession

// LogBuffer collects the log lines of several processes.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all lines.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Await waits until a line contains all parts, at most d.
func (b *LogBuffer) Await(d time.Duration, parts ...string) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for line := range strings.Lines(b.String()) {
			found := 0
			for _, p := range parts {
				if strings.Contains(line, p) {
					found++
				}
			}
			if found == len(parts) {
				return true
			}
		}
	}
	return false
}

// Leads reports whether the replica leads.
func (g *Governor) Leads() bool { return g.checkLeading() == nil }

// LoseLeader ends the follower's session with the leader and keeps it from opening another one, as when it is cut off from
// the other replicas while entries still reach it.
func (g *Governor) LoseLeader(leader *Governor) {
	g.membership.mu.Lock()
	id := g.membership.runner.Status().ID
	g.membership.runner, g.membership.carrier = nil, nil
	g.membership.mu.Unlock()
	done := make(chan struct{})
	leader.hub.post(func(time.Time) {
		defer close(done)
		for s := range leader.hub.relaySessions {
			if s.isRelay() && s.hello.Replica == id {
				leader.hub.closeSession(s, endBroken)
			}
		}
	})
	<-done
}

// Relays reports whether the replica accepts sessions with entries.
func (g *Governor) Relays() bool {
	connected := make(chan bool, 1)
	return g.hub.post(func(time.Time) { connected <- g.hub.relay.isConnected(time.Now()) }) && <-connected
}

// CallJoin requests an ID from the replica at addr.
func CallJoin(ctx context.Context, addr string) error {
	_, err := newMembership(Config{Addr: "127.0.0.1:1"}, Deps{}, nil).callJoin(ctx, addr, 0)
	return err
}

// PowerOff ends the replica as a loss of power does: it gives up neither its leadership nor its vote.
func (g *Governor) PowerOff() error {
	g.cancel()
	err := g.server.Close()
	g.wg.Wait()
	return err
}

// LeaderAddr returns the address of the leader that this replica redirects to, or "".
func (g *Governor) LeaderAddr() string {
	r := g.membership.log()
	if r == nil {
		return ""
	}
	s := r.Status()
	for _, m := range s.Members {
		if m.ID == s.Leader && s.Leader != s.ID {
			return m.Addr
		}
	}
	return ""
}
