package governor

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/logger"
)

const (
	cluster = "redwingstage"
	// heartbeat and election keep a leader change well below the time within which a committed change must be in force.
	heartbeat = 150 * time.Millisecond
	election  = 700 * time.Millisecond
	// carrierSilence must be between the heartbeat and the election timeout.
	carrierSilence = 450 * time.Millisecond
	// snapshotEvery and snapshotBytes keep the journal far below a small disk.
	snapshotEvery = 2000
	snapshotBytes = 8 << 20
	// reopenPause is the wait before a log that failed is opened again.
	reopenPause = 300 * time.Millisecond
	// joinPause is the wait between two rounds of join requests.
	joinPause   = 250 * time.Millisecond
	joinTimeout = 700 * time.Millisecond
	// orphaned is how long a member is without a leader before it asks the group whether it is still a member.
	orphaned     = 4 * time.Second
	identityFile = "identity.json"
	pathJoin     = "/redwingstage.governor/Join"
)

// identity is the replica's ID, stored beside its log.
type identity struct {
	ID uint64 `json:"id"`
}

// seat maintains this replica's membership: it joins the group, opens the log, and rejoins with a new ID after disk loss.
type seat struct {
	cfg            Config
	logPart        *logger.Part
	machineChanged func()

	mu      sync.Mutex
	current *runner.Runner
	carrier *carrier.Carrier
	machine *machine
	// peers are the known addresses of replicas, including the seeds.
	peers []string
}

func newSeat(cfg Config, l *logger.Part) *seat {
	return &seat{cfg: cfg, logPart: l, peers: slices.Clone(cfg.Seeds), machine: newMachine(func() {})}
}

// log returns the open log, or nil.
func (s *seat) log() *runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// state returns the replicated state as applied on this replica.
func (s *seat) state() *durable {
	s.mu.Lock()
	m := s.machine
	s.mu.Unlock()
	return m.now()
}

func (s *seat) hasLeft(k tracker.Key) bool { return slices.Contains(s.state().Left, k) }

// addresses returns the addresses of the known replicas.
func (s *seat) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.peers)
	if s.current != nil {
		for _, m := range s.current.Status().Members {
			if !slices.Contains(out, m.Addr) {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

// learn adds the addresses of replicas.
func (s *seat) learn(list []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range list {
		if p.Addr != "" && !slices.Contains(s.peers, p.Addr) {
			s.peers = append(s.peers, p.Addr)
		}
	}
}

// carry serves log streams from other replicas.
func (s *seat) carry(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	c := s.carrier
	s.mu.Unlock()
	if c == nil {
		http.Error(w, "the log is closed", http.StatusServiceUnavailable)
		return
	}
	c.Handler().ServeHTTP(w, r)
}

// propose appends a command and returns its result.
func (s *seat) propose(ctx context.Context, cmd command) (result, error) {
	r := s.log()
	if r == nil {
		return result{}, ErrNoLeader
	}
	data, err := encoder.Marshal(cmd)
	if err != nil {
		return result{}, err
	}
	out, err := r.Propose(ctx, data)
	if err != nil {
		return result{}, err
	}
	var res result
	err = encoder.Unmarshal(out.Data, &res)
	return res, err
}

// handOver transfers the leadership to another replica before a shutdown.
func (s *seat) handOver() {
	r := s.log()
	if r == nil || r.Status().Leader != r.Status().ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), election)
	defer cancel()
	if err := r.Transfer(ctx); err != nil {
		s.logPart.Error("transfer the leadership", err)
	}
}

// run keeps the log open until ctx ends.
func (s *seat) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.sit(ctx)
		if ctx.Err() != nil {
			return
		}
		s.logPart.Error("the log ended, reopening it", err)
		if isLost(err) {
			if err := s.wipe(); err != nil {
				s.logPart.Error("empty the data folder", err)
			}
		}
		waiter.Wait(ctx, reopenPause)
	}
}

// isLost reports whether the replica must wipe its data folder and rejoin the group.
func isLost(err error) bool {
	var lost *replicator.LostDiskError
	var damage *journaler.DamageError
	var folder *journaler.FolderError
	return errors.As(err, &lost) || errors.As(err, &damage) || errors.As(err, &folder) || errors.Is(err, errRemoved)
}

var errRemoved = errors.New("the group has removed this replica")

// sit joins the group, opens the log and returns when the log ends.
func (s *seat) sit(ctx context.Context) error {
	id, members, err := s.identify(ctx)
	if err != nil {
		return err
	}
	c := carrier.New(id, cluster, carrier.WithSilence(carrierSilence))
	m := newMachine(s.machineChanged)
	r, err := runner.New(runner.Config{
		ID: id, Cluster: cluster, Folder: filepath.Join(s.cfg.Folder, "log"), Members: members, Heartbeat: heartbeat, Election: election,
	}, m, c, runner.WithSnapshotEvery(snapshotEvery, snapshotBytes))
	if err != nil {
		return errors.Join(err, c.Close())
	}
	s.mu.Lock()
	s.current, s.carrier, s.machine = r, c, m
	s.mu.Unlock()
	s.logPart.Info("log is open", strconv.FormatUint(id, 10))
	cause := s.hold(ctx, r, id)
	s.mu.Lock()
	s.current, s.carrier = nil, nil
	s.mu.Unlock()
	if err := r.Close(); err != nil {
		s.logPart.Error("close the log", err)
	}
	if err := c.Close(); err != nil {
		s.logPart.Error("close the transport", err)
	}
	return cause
}

// hold waits until the log ends; while the replica isn't a member or has no leader, it asks to join again.
func (s *seat) hold(ctx context.Context, r *runner.Runner, id uint64) error {
	ticker := time.NewTicker(joinPause)
	defer ticker.Stop()
	led := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Done():
			return r.Err()
		case <-ticker.C:
		}
		st := r.Status()
		member := slices.ContainsFunc(st.Members, func(m runner.Member) bool { return m.ID == id })
		if st.Leader != 0 && member {
			led = time.Now()
			continue
		}
		if id <= uint64(len(s.cfg.Seeds)) && len(st.Members) == 0 || member && time.Since(led) < orphaned {
			continue
		}
		got, ok := s.askToJoin(ctx, id)
		if ok && got != id {
			return errRemoved
		}
	}
}

// identify returns the replica's ID: the stored one, an initial member's, or one that the group assigns.
func (s *seat) identify(ctx context.Context) (uint64, []runner.Member, error) {
	if err := os.MkdirAll(s.cfg.Folder, 0o755); err != nil {
		return 0, nil, errors.Wrap(err, "make the data folder")
	}
	path := filepath.Join(s.cfg.Folder, identityFile)
	data, err := os.ReadFile(path)
	if err == nil {
		var known identity
		if err := json.Unmarshal(data, &known); err == nil && known.ID != 0 {
			return known.ID, s.founders(known.ID), nil
		}
	}
	// Without an identity, the rest of the folder belongs to no member and must not be used.
	if err := s.wipe(); err != nil {
		return 0, nil, err
	}
	id := uint64(slices.Index(s.cfg.Seeds, s.cfg.Addr) + 1)
	if !s.cfg.First || id == 0 {
		if id, err = s.joinGroup(ctx); err != nil {
			return 0, nil, err
		}
	}
	if err := s.store(path, identity{ID: id}); err != nil {
		return 0, nil, err
	}
	return id, s.founders(id), nil
}

// founders returns the initial members if this replica is one of them.
func (s *seat) founders(id uint64) []runner.Member {
	if id > uint64(len(s.cfg.Seeds)) || id > uint64(firstID) || s.cfg.Seeds[id-1] != s.cfg.Addr {
		return nil
	}
	out := make([]runner.Member, 0, len(s.cfg.Seeds))
	for i, addr := range s.cfg.Seeds {
		out = append(out, runner.Member{ID: uint64(i + 1), Addr: addr})
	}
	return out
}

// store writes the identity and syncs it to disk.
func (s *seat) store(path string, v identity) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "store the identity")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = journaler.Disk{}.SyncFolder(s.cfg.Folder)
	}
	if err != nil {
		return errors.Wrap(err, "store the identity")
	}
	return nil
}

// wipe empties the data folder. It removes the identity first, so that a partly removed log is never used.
func (s *seat) wipe() error {
	if err := os.Remove(filepath.Join(s.cfg.Folder, identityFile)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove the identity")
	}
	if err := (journaler.Disk{}).SyncFolder(s.cfg.Folder); err != nil {
		return errors.Wrap(err, "sync the data folder")
	}
	if err := os.RemoveAll(filepath.Join(s.cfg.Folder, "log")); err != nil {
		return errors.Wrap(err, "remove the log")
	}
	return nil
}

// joinGroup asks the known replicas for an ID until one assigns it.
func (s *seat) joinGroup(ctx context.Context) (uint64, error) {
	for ctx.Err() == nil {
		if id, ok := s.askToJoin(ctx, 0); ok {
			return id, nil
		}
		waiter.Wait(ctx, joinPause)
	}
	return 0, ctx.Err()
}

// askToJoin asks each known replica once, and the leader to which it redirects.
func (s *seat) askToJoin(ctx context.Context, id uint64) (uint64, bool) {
	for _, addr := range s.addresses() {
		if addr == s.cfg.Addr {
			continue
		}
		for range 2 {
			reply, err := s.callJoin(ctx, addr, id)
			if err != nil {
				break
			}
			if reply.ID != 0 {
				return reply.ID, true
			}
			if reply.Redirect == "" || reply.Redirect == s.cfg.Addr {
				break
			}
			addr = reply.Redirect
			s.learn([]Peer{{Addr: addr}})
		}
	}
	return 0, false
}

func (s *seat) callJoin(ctx context.Context, addr string, id uint64) (joinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	client := encoder.NewClient()
	defer client.CloseIdleConnections()
	call := connect.NewClient[joinAsk, joinReply](client, "http://"+addr+pathJoin, encoder.Option())
	res, err := call.CallUnary(ctx, connect.NewRequest(&joinAsk{Addr: s.cfg.Addr, ID: id}))
	if err != nil {
		return joinReply{}, err
	}
	return *res.Msg, nil
}
