package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/lister"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

// shutdownSteps are the steps in progress when a replica shuts down.
var shutdownSteps = []string{
	"change", "change in force", "booking begins", "booking ends", "permit", "lease renewal", "watch", "hand-over",
}

// shutdownGroup is a replica group under load, one of whose replicas shuts down.
type shutdownGroup struct {
	c            *qt.C
	ctx          context.Context
	ctls         []*Controller
	cfgs         []Config
	clients      []*Client
	timeoutVotes atomic.Int64
	stop         chan struct{}
	wg           sync.WaitGroup
	mu           sync.Mutex
	failures     map[string][]string
	rounds       map[string]*atomic.Int64
	// accepted holds the revisions of acknowledged changes, ended the bookings whose end was acknowledged.
	accepted map[string]uint64
	ended    []recorder.Key
}

// voteCounter counts the votes that a replica requests after an election timeout, not those after a hand-over.
type voteCounter struct {
	*carrier.Carrier
	n *atomic.Int64
}

func (v voteCounter) Send(m replicator.Message) {
	if m.Type == replicator.TypeVote && !m.ForceVote {
		v.n.Add(1)
	}
	v.Carrier.Send(m)
}

func (g *shutdownGroup) addFailure(step, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.failures[step]) < 5 {
		g.failures[step] = append(g.failures[step], fmt.Sprintf(format, args...))
	}
}

func newShutdownGroup(ctx context.Context, t *testing.T, c *qt.C, skipHandOver bool) *shutdownGroup {
	g := &shutdownGroup{
		c: c, ctx: ctx, stop: make(chan struct{}), failures: make(map[string][]string), rounds: make(map[string]*atomic.Int64),
		accepted: make(map[string]uint64),
	}
	for _, s := range shutdownSteps {
		g.rounds[s] = new(atomic.Int64)
	}
	var members []runner.Member
	var controls []string
	for i := range 3 {
		cfg := Config{
			ID: uint64(i + 1), Cluster: "test", Addr: freeAddr(c), OperatorsAddr: freeAddr(c), DataFolder: t.TempDir(),
			Tokens: []Token{{Name: "aisyah", Token: testToken}}, Store: registrar.StoreLimits{Rate: 1000, Parallel: 8},
		}
		g.cfgs = append(g.cfgs, cfg)
		members = append(members, runner.Member{ID: cfg.ID, Addr: cfg.Addr})
		controls = append(controls, cfg.Addr)
	}
	for i := range g.cfgs {
		cfg := &g.cfgs[i]
		cfg.Members = members
		ctl, err := New(*cfg, WithLogger(noLogger()), WithLog(func(m runner.StateMachine) (Log, error) {
			carry := carrier.New(cfg.ID, cfg.Cluster)
			r, err := runner.New(
				runner.Config{ID: cfg.ID, Cluster: cfg.Cluster, DataFolder: cfg.DataFolder, InitialMembers: members}, m, voteCounter{carry, &g.timeoutVotes},
			)
			if err != nil {
				return nil, err
			}
			return &quorumLog{Runner: r, carrier: carry, skipHandOver: skipHandOver}, nil
		}))
		c.Assert(err, qt.IsNil)
		g.ctls = append(g.ctls, ctl)
	}
	for i := range 4 {
		cl, err := NewClient(ClientConfig{
			Name: fmt.Sprintf("entry-%d", i), Incarnation: 1, Addr: fmt.Sprint("127.0.9.1:", i+1), Zone: "kl-1", ControlAddrs: controls,
		}, WithClientLogger(noLogger()))
		c.Assert(err, qt.IsNil)
		g.clients = append(g.clients, cl)
	}
	return g
}

// startLoad runs f repeatedly until the load ends.
func (g *shutdownGroup) startLoad(step string, f func(i int)) {
	g.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-g.stop:
				return
			default:
			}
			f(i)
			g.rounds[step].Add(1)
		}
	})
}

// change applies one change through the operators' API of a replica, or of the next one if it gets no response.
func (g *shutdownGroup) change(step, id string, replica int, doc configurer.Doc, wait bool) {
	expect, name, conflicts := uint64(0), id, 0
	for {
		body, err := json.Marshal(applyBody{Change: id, Expect: &expect, Doc: doc, Wait: wait, Timeout: "60s"})
		g.c.Check(err, qt.IsNil)
		code, text, err := g.post(replica, body)
		if err != nil {
			// A new connection to a stopped replica got no response; the next replica has the answer.
			replica = (replica + 1) % len(g.cfgs)
			continue
		}
		var applied appliedBody
		var failure errorBody
		switch code {
		case http.StatusOK:
			g.c.Check(json.Unmarshal(text, &applied), qt.IsNil)
			if wait && !applied.InForce {
				g.addFailure(step, "%s: accepted and not in force", id)
			}
			g.mu.Lock()
			g.accepted[id] = applied.Revision
			g.mu.Unlock()
			return
		case http.StatusConflict:
			g.c.Check(json.Unmarshal(text, &failure), qt.IsNil)
			// A conflict is final for its change id, so the retry gets a new one.
			conflicts++
			expect, id = failure.Error.Revision, fmt.Sprintf("%s.%d", name, conflicts)
		default:
			g.addFailure(step, "%s at replica %d: %d %s", id, replica+1, code, text)
			return
		}
	}
}

func (g *shutdownGroup) post(replica int, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(g.ctx, http.MethodPost, "http://"+g.cfgs[replica].OperatorsAddr+"/v1/apply", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+testToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, text, err
}

func changeDoc(name string, version int) configurer.Doc {
	return configurer.Doc{Adapters: []configurer.AdapterSpec{{
		Name: name, Service: "base", Current: version, Versions: []configurer.VersionSpec{{Number: version, Source: "s", Digest: "d"}},
	}}}
}

// startLoads starts the load of the steps, at all entries and through the API of each replica.
func (g *shutdownGroup) startLoads() {
	for replica := range g.cfgs {
		g.startLoad("change", func(i int) {
			g.change("change", fmt.Sprintf("c-%d-%d", replica, i), replica, changeDoc(fmt.Sprintf("by-%d-%d", replica, i/100), i%100+1), false)
		})
		g.startLoad("change in force", func(i int) {
			g.change("change in force", fmt.Sprintf("w-%d-%d", replica, i), replica, changeDoc(fmt.Sprintf("waits-%d-%d", replica, i/100), i%100+1), true)
		})
	}
	for n, cl := range g.clients {
		g.startLoad("booking begins", func(i int) { g.book(cl, fmt.Sprintf("b-%d-%d", n, i)) })
		g.startLoad("permit", func(int) {
			p, err := cl.Permit(g.ctx, registrar.LoadRequest{Server: "engine-0", Urgent: true})
			if err != nil {
				g.addFailure("permit", "entry %d: %v", n, err)
				return
			}
			cl.ReturnPermit(p, true)
		})
		catalog, roster := uint64(0), uint64(0)
		g.startLoad("watch", func(int) {
			updated := cl.Updated()
			if r := cl.Catalog().Revision(); r < catalog {
				g.addFailure("watch", "entry %d went back from catalog %d to %d", n, catalog, r)
			} else {
				catalog = r
			}
			if r := cl.Roster().Revision(); r < roster {
				g.addFailure("watch", "entry %d went back from roster %d to %d", n, roster, r)
			} else {
				roster = r
			}
			select {
			case <-updated:
			case <-g.stop:
			}
		})
	}
}

// book begins and ends a booking.
func (g *shutdownGroup) book(cl *Client, name string) {
	key := recorder.Key{Caller: "gym", Service: "orders", Key: name}
	begun, err := cl.BeginBooking(g.ctx, recorder.Begin{Key: key, Attempt: name})
	if err != nil || begun.Decision != recorder.DecisionRun {
		g.addFailure("booking begins", "%s: decision %d, %v", name, begun.Decision, err)
		return
	}
	end := recorder.End{Key: key, Attempt: name, Outcome: recorder.OutcomeDone, Answer: recorder.Answer{Status: 201, Body: []byte(name)}}
	if err := cl.EndBooking(g.ctx, end); err != nil {
		g.addFailure("booking ends", "%s: %v", name, err)
		return
	}
	g.mu.Lock()
	g.ended = append(g.ended, key)
	g.mu.Unlock()
	g.rounds["booking ends"].Add(1)
}

// epochs returns the ownership epochs of the servers.
func (g *shutdownGroup) epochs() map[string]uint64 {
	out := make(map[string]uint64)
	g.clients[0].Roster().Owners(func(s string, o registrar.Owner) { out[s] = o.Epoch })
	return out
}

// awaitRounds waits until each load has made 12 more rounds.
func (g *shutdownGroup) awaitRounds() {
	for _, s := range shutdownSteps {
		if s == "lease renewal" || s == "hand-over" {
			continue
		}
		for goal := g.rounds[s].Load() + 12; g.rounds[s].Load() < goal; {
			if g.ctx.Err() != nil {
				g.addFailure(s, "no more rounds")
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// run loads the group, shuts the leader or a follower down, and returns the failures by step.
func (g *shutdownGroup) run(role string) map[string][]string {
	defer func() {
		for _, cl := range g.clients {
			_ = cl.Close()
		}
		for _, ctl := range g.ctls {
			_ = ctl.Close()
		}
	}()
	stopAnnounce := make(chan struct{})
	defer close(stopAnnounce)
	go func() {
		for {
			for i := range 4 {
				g.clients[i].Announce(registrar.Server{Name: fmt.Sprint("engine-", i), Kind: configurer.KindModel, Addr: "127.0.9.2:1", Zone: "kl-1", Service: "base", Incarnation: "i"})
			}
			select {
			case <-stopAnnounce:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	g.change("change", "first", 0, sampleDoc(), true)
	awaitUpdate(g.ctx, g.c, g.clients[0], func() bool {
		n := map[string]int{}
		g.clients[0].Roster().Owners(func(_ string, o registrar.Owner) { n[o.Entry]++ })
		return len(n) == 4
	})
	epochs := g.epochs()
	g.startLoads()
	g.awaitRounds()
	g.timeoutVotes.Store(0)
	leader := int(g.ctls[0].log.Status().Leader) - 1
	stopped := leader
	if role == "follower" {
		stopped = (leader + 1) % 3
	}
	ctl := g.ctls[stopped]
	g.ctls = slices.Delete(slices.Clone(g.ctls), stopped, stopped+1)
	g.c.Check(ctl.Close(), qt.IsNil)
	g.awaitRounds()
	if n := g.timeoutVotes.Load(); n > 0 {
		g.addFailure("hand-over", "%d votes were requested after an election timeout", n)
	}
	close(g.stop)
	g.wg.Wait()
	g.verify(epochs)
	return g.failures
}

// verify checks that nothing acknowledged was lost.
func (g *shutdownGroup) verify(epochs map[string]uint64) {
	last := uint64(0)
	byRevision := make(map[uint64]string)
	for id, revision := range g.accepted {
		if other, ok := byRevision[revision]; ok {
			g.addFailure("change", "%s and %s both made revision %d", other, id, revision)
		}
		byRevision[revision] = id
		last = max(last, revision)
	}
	for _, cl := range g.clients {
		awaitUpdate(g.ctx, g.c, cl, func() bool { return cl.Catalog().Revision() >= last })
	}
	g.verifyBookings()
	awaitUpdate(g.ctx, g.c, g.clients[0], func() bool { return len(g.epochs()) == 4 })
	for server, epoch := range g.epochs() {
		if epochs[server] != epoch {
			g.addFailure("lease renewal", "%s is owned under epoch %d after %d", server, epoch, epochs[server])
		}
	}
}

// verifyBookings begins all ended bookings again, which must return their answers.
func (g *shutdownGroup) verifyBookings() {
	const callers = 64
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := caller; i < len(g.ended); i += callers {
				key := g.ended[i]
				begun, err := g.clients[i%len(g.clients)].BeginBooking(g.ctx, recorder.Begin{Key: key, Attempt: fmt.Sprint("again", i)})
				if err != nil || begun.Decision != recorder.DecisionDone || string(begun.Answer.Body) != key.Key {
					g.addFailure("booking ends", "%s: %+v, %v", key.Key, begun, err)
				}
			}
		})
	}
	wg.Wait()
}

// TestShutdown shuts the leader or a follower down under load: each call is answered, nothing acknowledged is lost, and
// leadership is transferred without an election timeout.
func TestShutdown(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
			defer cancel()
			failures := newShutdownGroup(ctx, t, c, false).run(role)
			for _, step := range shutdownSteps {
				t.Run(step, func(t *testing.T) { qt.Assert(t, failures[step], qt.HasLen, 0) })
			}
		})
	}
}

// TestShutdownWithoutHandOver must detect a missing hand-over.
func TestShutdownWithoutHandOver(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	failures := newShutdownGroup(ctx, t, qt.New(t), true).run("leader")
	qt.Assert(t, failures["hand-over"], qt.HasLen, 1)
}

// shutdownCells are the cells of TestShutdown.
func shutdownCells() []lister.Cell {
	var cells []lister.Cell
	for _, role := range []string{"leader", "follower"} {
		for _, step := range shutdownSteps {
			cells = append(cells, lister.Cell{
				Rule: 7, Step: step, Fault: role + " shuts down", Seeds: 1, Package: "redwingstage.org/stage/controller",
				Test: "TestShutdown/" + role + "/" + strings.ReplaceAll(step, " ", "_"),
			})
		}
	}
	return cells
}
