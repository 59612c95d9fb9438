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
	"sync/atomic"
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
	clusterName = "redwingstage"
	// heartbeatInterval and electionTimeout keep a leader change well below the time in which a change must be in force.
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	// carrierTimeout must be between heartbeatInterval and electionTimeout.
	carrierTimeout = 450 * time.Millisecond
	// snapshotCommands and snapshotBytes keep the journal far below a small disk.
	snapshotCommands = 2000
	snapshotBytes    = 8 << 20
	// resignTimeout bounds the wait at a shutdown until another replica votes instead: some elections and two changes, and
	// less than the time after which a process is killed.
	resignTimeout = 5 * time.Second
	// reopenPause is the wait before a log that failed is opened again.
	reopenPause = 300 * time.Millisecond
	// joinPause is the wait between two rounds of join requests.
	joinPause   = 250 * time.Millisecond
	joinTimeout = 700 * time.Millisecond
	// rejoinAfter is how long a member is without a leader before it checks with the group whether it is still a member.
	rejoinAfter  = 2 * electionTimeout
	identityFile = "identity.json"
	pathJoin     = "/redwingstage.governor/Join"
)

// identity is the replica's ID, stored beside its log.
type identity struct {
	ID uint64 `json:"id"`
}

// membership keeps this replica in the group: it joins, opens the log, and rejoins with a new ID after disk loss.
type membership struct {
	cfg           Config
	dialer        encoder.DialFunc
	logger        *logger.Component
	fs            journaler.FileSystem
	onStateChange func()
	// onWrite gets the time that each write to the journal took.
	onWrite func(took time.Duration)
	// neededLevel is the highest level of a command that was held back.
	neededLevel atomic.Uint64
	build       build

	mu      sync.Mutex
	runner  *runner.Runner
	carrier *carrier.Carrier
	machine *machine
	// knownAddrs are the known addresses of replicas, including the seeds.
	knownAddrs []string
	// joins are failed requests to join since the last one that succeeded, by address.
	joins map[string]joinOutcome
}

func newMembership(cfg Config, deps Deps, l *logger.Component) *membership {
	var fs journaler.FileSystem = journaler.OSFileSystem{}
	if deps.FileSystem != nil {
		fs = deps.FileSystem
	}
	ms := &membership{
		cfg: cfg, dialer: deps.Dialer, logger: l, fs: fs, knownAddrs: slices.Clone(cfg.Seeds), machine: newMachine(func() {}, func(uint64, error) {}),
		joins: make(map[string]joinOutcome), build: thisBuild(),
	}
	if deps.build != nil {
		ms.build = *deps.build
	}
	return ms
}

// log returns the open log, or nil.
func (ms *membership) log() *runner.Runner {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.runner
}

// state returns the state as applied here.
func (ms *membership) state() *replicatedState {
	ms.mu.Lock()
	m := ms.machine
	ms.mu.Unlock()
	return m.current()
}

func (ms *membership) isLeaving(k tracker.Key) bool { return slices.Contains(ms.state().Leaving, k) }

// addresses returns the addresses of the known replicas.
func (ms *membership) addresses() []string {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	out := slices.Clone(ms.knownAddrs)
	if ms.runner != nil {
		for _, m := range ms.runner.Status().Members {
			if !slices.Contains(out, m.Addr) {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

func (ms *membership) addPeers(list []Peer) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, p := range list {
		if p.Addr != "" && !slices.Contains(ms.knownAddrs, p.Addr) {
			ms.knownAddrs = append(ms.knownAddrs, p.Addr)
		}
	}
}

// serveLog serves log streams from other replicas.
func (ms *membership) serveLog(w http.ResponseWriter, r *http.Request) {
	ms.mu.Lock()
	c := ms.carrier
	ms.mu.Unlock()
	if c == nil {
		http.Error(w, "the log is closed", http.StatusServiceUnavailable)
		return
	}
	c.Handler().ServeHTTP(w, r)
}

// propose appends a command and returns its result.
func (ms *membership) propose(ctx context.Context, cmd command) (result, error) {
	r := ms.log()
	if r == nil {
		return result{}, &RefusedError{Reason: reasonNoLog, Err: ErrNoLeader}
	}
	if err := ms.checkLevel(&cmd); err != nil {
		return result{}, err
	}
	data, err := encoder.Marshal(cmd)
	if err != nil {
		return result{}, err
	}
	out, err := r.Propose(ctx, data)
	if err != nil {
		return result{}, err
	}
	return readResult(out)
}

// checkLevel returns a RefusedError for a command that the group doesn't know yet, and makes the leader raise the group's level.
func (ms *membership) checkLevel(cmd *command) error {
	level, needed := ms.state().Level, ms.build.levelOf(cmd)
	if needed <= level || cmd.Level > 0 {
		return nil
	}
	for {
		old := ms.neededLevel.Load()
		if old >= needed || ms.neededLevel.CompareAndSwap(old, needed) {
			return &RefusedError{Reason: reasonHeldBack, Err: &heldBackError{needed: needed, level: level}}
		}
	}
}

// readResult returns the result of a command, or an error for one that no replica could decode.
func readResult(out runner.Result) (result, error) {
	var res result
	if err := encoder.Unmarshal(out.Data, &res); err != nil {
		return result{}, errors.Wrapf(err, "result of command %d", out.Index)
	}
	if res.IsUnreadable {
		return result{}, errors.Errorf("command %d can't be decoded and changed nothing", out.Index)
	}
	return res, nil
}

// transferLeadership makes another replica lead before a shutdown.
func (ms *membership) transferLeadership() {
	r := ms.log()
	if r == nil || r.Status().Leader != r.Status().ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	if err := r.Transfer(ctx); err != nil {
		ms.logger.Error("transfer the leadership", err)
	}
}

// resign gives this replica's vote to a standing-by learner before a shutdown.
func (ms *membership) resign() {
	r := ms.log()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := r.Resign(ctx); err != nil {
		ms.logger.Error("give up the vote", err)
	}
}

// run keeps the log open until ctx ends.
func (ms *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := ms.runLog(ctx)
		if ctx.Err() != nil {
			return
		}
		if isOfLaterBuild(err) {
			// A later build continues with this folder. Opening the log again here would only disturb the group's elections.
			ms.logger.Error("the log stays closed until a later build is started", err)
			<-ctx.Done()
			return
		}
		ms.logger.Error("the log ended, it is opened again", err)
		if mustRejoin(err) {
			// The group exists, so that nobody founds it again.
			ms.cfg.NewDeployment = false
			if err := ms.wipe(); err != nil {
				ms.logger.Error("empty the data folder", err)
			}
		}
		waiter.Wait(ctx, reopenPause)
	}
}

// isOfLaterBuild reports whether the log has a command or a snapshot that this build doesn't know.
func isOfLaterBuild(err error) bool {
	var unknown *encoder.UnknownFieldError
	var later *laterLevelError
	return errors.As(err, &unknown) || errors.As(err, &later)
}

// mustRejoin reports whether the data folder must be wiped before joining again.
func mustRejoin(err error) bool {
	var lost *replicator.LostDiskError
	var damage *journaler.DamageError
	var mismatch *journaler.FolderError
	return errors.As(err, &lost) || errors.As(err, &damage) || errors.As(err, &mismatch) || errors.Is(err, errRemoved)
}

var errRemoved = errors.New("the group has removed this replica")

// runLog joins the group, opens the log and returns when the log ends.
func (ms *membership) runLog(ctx context.Context) error {
	id, members, err := ms.identify(ctx)
	if err != nil {
		return err
	}
	c := carrier.New(id, clusterName, carrier.WithResponseTimeout(carrierTimeout), carrier.WithDialer(ms.dialer))
	m := newMachine(ms.onStateChange, func(index uint64, err error) {
		ms.logger.Error("apply command "+strconv.FormatUint(index, 10), err)
	})
	m.level = ms.build.level
	r, err := runner.New(runner.Config{
		ID: id, Cluster: clusterName, DataFolder: filepath.Join(ms.cfg.DataFolder, "log"), InitialMembers: members,
		HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		ReplaceAfter: ms.cfg.replaceAfter(), Voters: ms.cfg.voters(),
	}, m, c, runner.WithFileSystem(ms.fs), runner.WithSnapshotEvery(snapshotCommands, snapshotBytes), runner.WithObserver(ms.memberLogger()), runner.WithWriteObserver(ms.writeEnded))
	if err != nil {
		return errors.Join(err, c.Close())
	}
	ms.mu.Lock()
	ms.runner, ms.carrier, ms.machine = r, c, m
	ms.mu.Unlock()
	ms.logger.Info("log is open", strconv.FormatUint(id, 10))
	ms.logger.Info("members at the start", describeMembers(r.Status().Members))
	cause := ms.watchMembership(ctx, r, id)
	ms.mu.Lock()
	ms.runner, ms.carrier = nil, nil
	ms.mu.Unlock()
	if err := r.Close(); err != nil {
		ms.logger.Error("close the log", err)
	}
	if err := c.Close(); err != nil {
		ms.logger.Error("close the transport", err)
	}
	return cause
}

// memberLogger returns an observer of the log that logs each change of the group's members and of its elections.
func (ms *membership) memberLogger() func(runner.Status) {
	logged := ""
	var old *runner.Status
	return func(st runner.Status) {
		if s := describeMembers(st.Members); s != logged {
			logged = s
			ms.logger.Info("members changed", s)
		}
		for _, l := range electionLines(old, st) {
			if l.isWarning {
				ms.logger.Warn(l.msg, l.subject)
			} else {
				ms.logger.Info(l.msg, l.subject)
			}
		}
		old = &st
	}
}

// describeMembers lists the IDs of voters and learners.
func describeMembers(members []runner.Member) string {
	voters, learners := "voters", ", learners"
	for _, m := range members {
		if id := " " + strconv.FormatUint(m.ID, 10); m.Learner {
			learners += id
		} else {
			voters += id
		}
	}
	return voters + learners
}

// watchMembership waits until the log ends; a replica that isn't a member or has no leader requests to join again.
func (ms *membership) watchMembership(ctx context.Context, r *runner.Runner, id uint64) error {
	ticker := time.NewTicker(joinPause)
	defer ticker.Stop()
	lastLed := time.Now()
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
			lastLed = time.Now()
			continue
		}
		if id <= uint64(len(ms.cfg.Seeds)) && len(st.Members) == 0 || member && time.Since(lastLed) < rejoinAfter {
			continue
		}
		assigned, ok := ms.requestJoin(ctx, id)
		if ok && assigned != id {
			return errRemoved
		}
	}
}

// identify returns the replica's ID: the stored one, an initial member's, or one that the group assigns.
func (ms *membership) identify(ctx context.Context) (uint64, []runner.Member, error) {
	if err := os.MkdirAll(ms.cfg.DataFolder, 0o755); err != nil {
		return 0, nil, errors.Wrap(err, "make the data folder")
	}
	path := filepath.Join(ms.cfg.DataFolder, identityFile)
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return 0, nil, errors.Wrap(err, "read the identity")
	}
	if err == nil {
		var known identity
		if err := json.Unmarshal(data, &known); err == nil && known.ID != 0 {
			return known.ID, ms.initialMembers(known.ID), nil
		}
	}
	// Without an identity, the rest of the folder belongs to no member and must not be used.
	if err := ms.wipe(); err != nil {
		return 0, nil, err
	}
	id := uint64(slices.Index(ms.cfg.Seeds, ms.cfg.Addr) + 1)
	if !ms.cfg.NewDeployment || id == 0 {
		if id, err = ms.joinGroup(ctx); err != nil {
			return 0, nil, err
		}
	}
	if err := ms.store(path, identity{ID: id}); err != nil {
		return 0, nil, err
	}
	return id, ms.initialMembers(id), nil
}

// initialMembers returns the initial members if this replica is one of them.
func (ms *membership) initialMembers(id uint64) []runner.Member {
	if id > uint64(len(ms.cfg.Seeds)) || id > uint64(maxInitialID) || ms.cfg.Seeds[id-1] != ms.cfg.Addr {
		return nil
	}
	out := make([]runner.Member, 0, len(ms.cfg.Seeds))
	for i, addr := range ms.cfg.Seeds {
		out = append(out, runner.Member{ID: uint64(i + 1), Addr: addr})
	}
	return out
}

// store writes the identity and syncs it to disk.
func (ms *membership) store(path string, v identity) error {
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
		err = journaler.OSFileSystem{}.SyncFolder(ms.cfg.DataFolder)
	}
	if err != nil {
		return errors.Wrap(err, "store the identity")
	}
	return nil
}

// wipe empties the data folder. It removes the identity first, so that a partly removed log is never used.
func (ms *membership) wipe() error {
	if err := os.Remove(filepath.Join(ms.cfg.DataFolder, identityFile)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove the identity")
	}
	if err := (journaler.OSFileSystem{}).SyncFolder(ms.cfg.DataFolder); err != nil {
		return errors.Wrap(err, "sync the data folder")
	}
	if err := os.RemoveAll(filepath.Join(ms.cfg.DataFolder, "log")); err != nil {
		return errors.Wrap(err, "remove the log")
	}
	return nil
}

// joinGroup requests an ID from the known replicas until one assigns it.
func (ms *membership) joinGroup(ctx context.Context) (uint64, error) {
	for ctx.Err() == nil {
		if id, ok := ms.requestJoin(ctx, 0); ok {
			return id, nil
		}
		waiter.Wait(ctx, joinPause)
	}
	return 0, ctx.Err()
}

// requestJoin calls each known replica once, and the leader to which it redirects.
func (ms *membership) requestJoin(ctx context.Context, id uint64) (uint64, bool) {
	for _, addr := range ms.addresses() {
		if addr == ms.cfg.Addr {
			continue
		}
		for range 2 {
			reply, err := ms.callJoin(ctx, addr, id)
			if err == nil && reply.ID != 0 {
				ms.clearJoins()
				return reply.ID, true
			}
			if ctx.Err() == nil {
				ms.recordJoin(time.Now(), addr, reply, err)
			}
			if err != nil {
				break
			}
			if reply.Redirect == "" || reply.Redirect == ms.cfg.Addr {
				break
			}
			addr = reply.Redirect
			ms.addPeers([]Peer{{Addr: addr}})
		}
	}
	return 0, false
}

func (ms *membership) callJoin(ctx context.Context, addr string, id uint64) (joinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	client := encoder.NewClient(encoder.WithDialer(ms.dialer))
	defer client.Close()
	call := connect.NewClient[joinRequest, joinReply](client, "http://"+addr+pathJoin, encoder.ConnectOption())
	res, err := call.CallUnary(ctx, connect.NewRequest(&joinRequest{Addr: ms.cfg.Addr, ID: id, Level: ms.build.level}))
	if err != nil {
		return joinReply{}, err
	}
	return *res.Msg, nil
}
