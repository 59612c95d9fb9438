package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/runner"
)

// transferTimeout bounds the transfer of leadership when the leader shuts down.
const transferTimeout = 2 * time.Second

// quorumLog is the log on disk, replicated through the listener at Config.Addr.
type quorumLog struct {
	*runner.Runner
	carrier *carrier.Carrier
	// skipHandOver skips the transfer of leadership, to show that its test can fail.
	skipHandOver bool
}

// joiningTransport is the transport of a joining replica: it uses the configured members until the log lists the members.
type joiningTransport struct {
	*carrier.Carrier
	seeds []runner.Member
}

// SetPeers implements runner.Transport.
func (s *joiningTransport) SetPeers(addrs map[uint64]string) {
	if len(addrs) == 0 {
		addrs = make(map[uint64]string, len(s.seeds))
		for _, m := range s.seeds {
			addrs[m.ID] = m.Addr
		}
	}
	s.Carrier.SetPeers(addrs)
}

// openLog opens the log in the data folder.
func (c *Controller) openLog(m runner.StateMachine) (Log, error) {
	if c.cfg.DataFolder == "" {
		return nil, errors.New("control settings: folder is missing")
	}
	t := carrier.New(c.cfg.ID, c.cfg.Cluster, carrier.WithErrorHandler(func(peer uint64, err error) {
		c.logger.Debug().Uint64("replica", peer).Err(err).Msg("control: stream to a replica broke")
	}))
	cfg := runner.Config{ID: c.cfg.ID, Cluster: c.cfg.Cluster, DataFolder: c.cfg.DataFolder}
	s := &joiningTransport{Carrier: t}
	if hasMember(c.cfg.Members, c.cfg.ID) {
		cfg.InitialMembers = c.cfg.Members
	} else {
		s.seeds = c.cfg.Members
	}
	r, err := runner.New(cfg, m, s)
	if err != nil {
		_ = t.Close()
		return nil, err
	}
	return &quorumLog{Runner: r, carrier: t}, nil
}

// Handler returns the path and handler of the replicas' streams.
func (l *quorumLog) Handler() (string, http.Handler) { return carrier.Path, l.carrier.Handler() }

// HandOver transfers leadership to another replica if one can take it.
func (l *quorumLog) HandOver() {
	if st := l.Status(); !l.skipHandOver && st.IsLeader(time.Now()) && len(st.Members) > 1 {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		// Without a transfer the others elect a leader after the election timeout.
		_ = l.Transfer(ctx)
	}
}

// Close stops the replica, after a transfer of leadership if it leads.
func (l *quorumLog) Close() error {
	l.HandOver()
	err := l.Runner.Close()
	if e := l.carrier.Close(); e != nil {
		err = errors.Join(err, e)
	}
	return err
}

// Done is closed when the replica has stopped, by Close or a fault of its data folder.
func (c *Controller) Done() <-chan struct{} {
	if l, ok := c.log.(*quorumLog); ok {
		return l.Done()
	}
	return c.ctx.Done()
}

// Err returns the fault that stopped the replica, once Done is closed.
func (c *Controller) Err() error {
	if l, ok := c.log.(*quorumLog); ok {
		return l.Err()
	}
	return nil
}
