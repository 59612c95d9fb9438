package governor

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/acceptor"
	"redwingstage.org/stage/logger"
)

const (
	// proposeTimeout bounds the wait for a command; the operator tries another replica after 1 s without a response.
	proposeTimeout = 3 * time.Second
	// confirmTimeout bounds the wait for the quorum before a read.
	confirmTimeout = time.Second
	// ackWait bounds how long the acknowledgement of a document waits for entries to apply it.
	ackWait = 500 * time.Millisecond
	// defaultSyncTime and defaultTolerated apply where the settings have none.
	defaultSyncTime  = 4 * time.Second
	defaultTolerated = 2
)

// ErrNoLeader means that no leader is known.
var ErrNoLeader = errors.New("no leader is known now")

// NotLeaderError means that another replica leads.
type NotLeaderError struct {
	// Host is the leader's IP address.
	Host string
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "the leader is at " + e.Host }

// Config identifies this replica and its peers.
type Config struct {
	Node string
	Zone string
	// Addr is the listen address for entries and other replicas, as ip:port.
	Addr string
	// DataFolder is the data folder.
	DataFolder string
	// Seeds are the Addr values of some replicas.
	Seeds []string
	// SyncTime is the time after its start in which a new replica must be able to take the place of a lost one; 0 means 4 s.
	SyncTime time.Duration
	// Tolerated is the number of replicas that may be lost with their disks at once, from 1 to 3; 0 means 2.
	Tolerated int
	// NewDeployment is set if the whole deployment is new, so that the seeds are the group's initial members.
	NewDeployment bool
	// ApplyTime is the time from a version's acknowledgement until it must be in force at all entries; 0 means DefaultApplyTime.
	ApplyTime time.Duration
	// Quota are the tolerances of client accounts' quotas.
	Quota limiter.Bounds
	// MemoryLimit is the memory of the process in bytes, MaxFiles its file descriptors; 0 if unknown.
	MemoryLimit int64
	MaxFiles    int
}

// Deps are the dependencies of a Governor.
type Deps struct {
	// Decode parses the operator's document.
	Decode  func(Doc) (*matcher.Table, error)
	Engines Engines
	Log     *logger.Logger
	// FileSystem stores the replica's log; nil means the operating system's.
	FileSystem journaler.FileSystem
	// Dialer opens the connections to other replicas; nil stands for the DialContext of a net.Dialer.
	Dialer encoder.DialFunc
	// build is what the replica knows of commands, nil for this build.
	build *build
}

// replaceAfter returns how long a voter may be silent: an election and the exchange must fit into SyncTime with it.
func (cfg Config) replaceAfter() time.Duration {
	sync := cfg.SyncTime
	if sync == 0 {
		sync = defaultSyncTime
	}
	return max(sync/4, electionTimeout)
}

// voters returns the number of voters that tolerates the loss of cfg.Tolerated disks.
func (cfg Config) voters() int {
	tolerated := cfg.Tolerated
	if tolerated == 0 {
		tolerated = defaultTolerated
	}
	return min(2*tolerated+1, replicator.MaxMembers)
}

// Governor is a running control replica.
type Governor struct {
	cfg        Config
	deps       Deps
	log        *logger.Component
	ctx        context.Context
	cancel     context.CancelFunc
	wg         conc.WaitGroup
	membership *membership
	hub        *hub
	server     *http.Server
}

// New starts a replica: it is listening when New returns and joins its group in the background.
func New(cfg Config, deps Deps) (*Governor, error) {
	ln, err := acceptor.System.Listen(context.Background(), cfg.Addr, cfg.MemoryLimit)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Addr)
	}
	g := &Governor{cfg: cfg, deps: deps, log: deps.Log.Component("control")}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.membership = newMembership(cfg, deps, g.log)
	g.hub = newHub(g.ctx, cfg, deps, g.membership, g.log, g.wg.Go)
	g.membership.onStateChange, g.membership.onWrite = g.hub.stateChanged, g.hub.metrics.observeWrite
	mux := http.NewServeMux()
	mux.Handle(carrier.Path, http.HandlerFunc(g.membership.serveLog))
	g.registerHandlers(mux)
	g.server = newServer(mux, cfg.MemoryLimit)
	g.wg.Go(func() {
		if err := g.server.Serve(acceptor.New(ln, acceptor.System.MaxConns(cfg.MemoryLimit, cfg.MaxFiles))); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener ended", err)
		}
	})
	g.wg.Go(func() { g.membership.run(g.ctx) })
	g.wg.Go(func() { g.membership.watchLeader(g.ctx) })
	g.wg.Go(g.hub.run)
	g.wg.Go(g.hub.follow)
	g.wg.Go(func() { g.watchHub(g.ctx) })
	return g, nil
}

// AddPeers adds addresses of replicas, as ip:port, that this one may ask for its group.
func (g *Governor) AddPeers(addrs []string) {
	peers := make([]Peer, 0, len(addrs))
	for _, addr := range addrs {
		peers = append(peers, Peer{Addr: addr})
	}
	g.membership.addPeers(peers)
}

// Close transfers the leadership, gives up the vote if a learner can take it, and stops the replica.
func (g *Governor) Close() error {
	g.hub.shutDown()
	g.membership.transferLeadership()
	g.membership.resign()
	g.cancel()
	err := g.server.Close()
	g.wg.Wait()
	return err
}

// checkLeading returns nil if this replica leads under its quorum's lease.
func (g *Governor) checkLeading() error {
	r := g.membership.log()
	if r == nil {
		return &RefusedError{Reason: reasonNoLog, Err: ErrNoLeader}
	}
	return checkStatus(r.Status(), time.Now())
}

// LeadsLog reports whether this replica is the log's leader, with or without its quorum's lease.
func (g *Governor) LeadsLog() bool {
	r := g.membership.log()
	if r == nil {
		return false
	}
	s := r.Status()
	return s.Leader == s.ID
}

// Registerer returns the registry whose metrics the replica's listener serves.
func (g *Governor) Registerer() prometheus.Registerer { return g.hub.metrics.registry }

// PutDoc replaces the operator's document by one of a higher version. It returns once that is committed and in force at
// all entries, or ackWait after the commit.
func (g *Governor) PutDoc(ctx context.Context, doc Doc) error {
	if err := g.propose(ctx, command{Doc: &doc}); err != nil {
		return err
	}
	g.hub.awaitVersion(ctx, doc.Version)
	return nil
}

// Doc returns the newest committed document.
func (g *Governor) Doc(ctx context.Context) (Doc, error) {
	if err := g.checkLeading(); err != nil {
		return Doc{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := g.membership.log()
	if r == nil {
		return Doc{}, &RefusedError{Reason: reasonNoLog, Err: ErrNoLeader}
	}
	if err := r.ReadBarrier(ctx); err != nil {
		return Doc{}, refuse(errors.Wrap(err, "confirm the lead"), reasonUnconfirmed)
	}
	return g.membership.state().Doc, nil
}

// PutVersion commits a new version of an adapter; it returns an InputError for names that other processes couldn't read.
func (g *Governor) PutVersion(ctx context.Context, v tracker.Resident) error {
	if err := checkAdapter(v.Adapter); err != nil {
		return err
	}
	return g.propose(ctx, command{Version: &v})
}

// Announce records a backend server's announcement; it returns an InputError for one that other processes couldn't read.
func (g *Governor) Announce(ctx context.Context, in tracker.Instance) error {
	if err := checkInstance(in); err != nil {
		return err
	}
	if err := g.checkLeading(); err != nil {
		return err
	}
	if in.Leaving {
		return g.MarkLeaving(ctx, in.Key)
	}
	if err := g.recordSoftware(ctx, resumer.Version{Service: in.Service, Software: in.Software}); err != nil {
		return err
	}
	g.hub.post(func(now time.Time) { g.hub.announce(now, in) })
	return nil
}

// MarkLeaving marks an incarnation of a backend server as leaving; it returns once that is committed.
//
// A key whose StartedMS is 0 means the latest known incarnation.
func (g *Governor) MarkLeaving(ctx context.Context, k tracker.Key) error {
	if err := checkText("id", k.ID); err != nil {
		return err
	}
	if k.StartedMS == 0 {
		k = g.hub.latestKey(k.ID)
	}
	if g.membership.isLeaving(k) {
		return g.checkLeading()
	}
	if err := g.propose(ctx, command{Leaving: &k}); err != nil {
		return err
	}
	g.log.Info("backend server leaves", k.ID)
	return nil
}

func (g *Governor) propose(ctx context.Context, cmd command) error {
	if err := g.checkLeading(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := g.membership.propose(ctx, cmd); err != nil {
		return refuse(err, reasonNotAppended)
	}
	return nil
}

var _ runner.StateMachine = (*machine)(nil)
