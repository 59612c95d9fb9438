package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
)

// testTimeout bounds waits that only a failing test exhausts.
const testTimeout = 30 * time.Second

// fakeControl is an in-memory control role shared by all entries of a test.
type fakeControl struct {
	mu          sync.Mutex
	catalog     *configurer.Catalog
	roster      *registrar.Roster
	revision    uint64
	updated     chan struct{}
	owners      map[string]registrar.Owner
	servers     []registrar.Server
	entries     []registrar.Entry
	released    []string
	table       *recorder.Table
	quarantine  *quarantiner.Quarantine
	crashes     uint64
	completions int
	locks       map[quarantiner.Digest]chan struct{}
	// begin and end, if set, may lose or delay calls to the record and their results.
	begin func(do func() recorder.BeginReply) (recorder.BeginReply, error)
	end   func(do func()) error
}

func newFakeControl(t testing.TB) *fakeControl {
	doc := configurer.Doc{
		Classes: []configurer.ClassSpec{{Name: "chat", Urgent: true, First: "20s", Total: "60s"}},
		Services: []configurer.ServiceSpec{
			{Name: "base", Kind: configurer.KindModel, Classes: []string{"chat"}},
			{Name: "orders", Kind: configurer.KindPlain, Classes: []string{"chat"}, Calls: []configurer.CallSpec{
				{Method: http.MethodGet, Path: "/stock/*", Idempotent: true},
			}},
		},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		doc.Adapters = append(doc.Adapters, configurer.AdapterSpec{
			Name: name, Service: "base", Current: 2,
			Versions: []configurer.VersionSpec{{Number: 1, Source: "s/" + name + "/1"}, {Number: 2, Source: "s/" + name + "/2"}},
		})
	}
	catalog, err := configurer.NewCatalog(7, doc)
	qt.Assert(t, err, qt.IsNil)
	return &fakeControl{
		catalog: catalog, updated: make(chan struct{}), owners: make(map[string]registrar.Owner),
		table: recorder.New(), quarantine: quarantiner.NewQuarantine(quarantiner.New(quarantiner.Config{}), time.Time{}), locks: make(map[quarantiner.Digest]chan struct{}),
		roster: registrar.NewRoster(0, nil, nil, nil),
	}
}

// assign makes an entry the owner of a server under a new epoch.
func (ctl *fakeControl) assign(s registrar.Server, entry, addr string) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.revision++
	ctl.owners[s.Name] = registrar.Owner{Entry: entry, Addr: addr, Epoch: ctl.revision, Clean: true}
	found := false
	for i := range ctl.servers {
		if ctl.servers[i].Name == s.Name {
			ctl.servers[i], found = s, true
		}
	}
	if !found {
		ctl.servers = append(ctl.servers, s)
	}
	ctl.publish()
}

func (ctl *fakeControl) publish() {
	owners := make(map[string]registrar.Owner, len(ctl.owners))
	for name, o := range ctl.owners {
		owners[name] = o
	}
	ctl.roster = registrar.NewRoster(ctl.revision, append([]registrar.Server{}, ctl.servers...), ctl.entries, owners)
	close(ctl.updated)
	ctl.updated = make(chan struct{})
}

func (ctl *fakeControl) Catalog() *configurer.Catalog { return ctl.catalog }

func (ctl *fakeControl) Roster() *registrar.Roster {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return ctl.roster
}

func (ctl *fakeControl) Standing(d quarantiner.Digest) quarantiner.Standing {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return ctl.quarantine.Standing(time.Now(), d)
}

func (ctl *fakeControl) Updated() <-chan struct{} {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return ctl.updated
}

func (ctl *fakeControl) LeaseEnd() time.Time { return time.Now().Add(time.Hour) }

func (ctl *fakeControl) Announce(registrar.Server) {}

func (ctl *fakeControl) Permit(context.Context, registrar.LoadRequest) (registrar.Permit, error) {
	return registrar.Permit{ID: 1, Expires: time.Now().Add(time.Minute)}, nil
}

func (ctl *fakeControl) ReturnPermit(registrar.Permit, bool) {}

func (ctl *fakeControl) ReportCrash(_ context.Context, _ string, ds []quarantiner.Digest) error {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.crashes++
	ctl.quarantine.ReportCrash(time.Now(), quarantiner.Crash{Reporter: "test", Number: ctl.crashes}, ds)
	ctl.publishStandings()
	return nil
}

func (ctl *fakeControl) ReportCompletion(_ context.Context, d quarantiner.Digest, seen uint64) error {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.quarantine.ReportCompletion(time.Now(), d, seen) {
		ctl.completions++
	}
	ctl.publishStandings()
	return nil
}

// publishStandings publishes the standings under a new revision.
func (ctl *fakeControl) publishStandings() {
	ctl.revision++
	ctl.quarantine.Changes(time.Now())
	ctl.quarantine.Published(ctl.revision)
	ctl.publish()
}

func (ctl *fakeControl) LockSuspect(ctx context.Context, d quarantiner.Digest) (func(), error) {
	ctl.mu.Lock()
	l := ctl.locks[d]
	if l == nil {
		l = make(chan struct{}, 1)
		ctl.locks[d] = l
	}
	ctl.mu.Unlock()
	select {
	case l <- struct{}{}:
		return func() { <-l }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (ctl *fakeControl) BeginBooking(_ context.Context, b recorder.Begin) (recorder.BeginReply, error) {
	return ctl.beginUnlessDead(b, new(atomic.Bool))
}

// beginUnlessDead begins nothing for a process that is dead.
func (ctl *fakeControl) beginUnlessDead(b recorder.Begin, dead *atomic.Bool) (recorder.BeginReply, error) {
	do := func() recorder.BeginReply {
		ctl.mu.Lock()
		defer ctl.mu.Unlock()
		if dead.Load() {
			return recorder.BeginReply{Decision: recorder.DecisionUnknown}
		}
		return ctl.table.Begin(time.Now(), b)
	}
	if ctl.begin != nil {
		return ctl.begin(do)
	}
	return do(), nil
}

func (ctl *fakeControl) EndBooking(_ context.Context, e recorder.End) error {
	do := func() {
		ctl.mu.Lock()
		defer ctl.mu.Unlock()
		ctl.table.End(time.Now(), e)
	}
	if ctl.end != nil {
		return ctl.end(do)
	}
	do()
	return nil
}

func (ctl *fakeControl) ReleaseServer(_ context.Context, server string, pinned []configurer.Target) error {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.released = append(ctl.released, server)
	o := ctl.owners[server]
	for _, e := range ctl.entries {
		if e.Name != o.Entry {
			ctl.revision++
			ctl.owners[server] = registrar.Owner{Entry: e.Name, Addr: e.Addr, Epoch: ctl.revision, Clean: true, Pinned: pinned}
			ctl.publish()
			return nil
		}
	}
	return nil
}

// startEntry starts an entry that is closed at the test's end; its silence timeouts are long unless opts set others.
func (ctl *fakeControl) startEntry(t testing.TB, name string, opts ...Option) *Dispatcher {
	return ctl.startEntryWith(t, name, ctl, opts...)
}

func (ctl *fakeControl) startEntryWith(t testing.TB, name string, control Control, opts ...Option) *Dispatcher {
	cfg := Config{Name: name, Incarnation: 1, CallersAddr: "127.0.0.1:0", PeersAddr: "127.0.0.1:0", MetricsAddr: "127.0.0.1:0"}
	d, err := New(cfg, control, append([]Option{longSilence()}, opts...)...)
	qt.Assert(t, err, qt.IsNil)
	ctl.mu.Lock()
	ctl.entries = append(ctl.entries, registrar.Entry{Name: name, Incarnation: 1, Addr: d.Peers()})
	ctl.mu.Unlock()
	t.Cleanup(func() {
		limit := testTimeout
		if m, ok := control.(ownerControl); ok && m.dead.Load() {
			limit = time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = d.Close(ctx)
	})
	return d
}

// errLost is the error of a lost message.
var errLost = errors.New("lost")

// longSilence sets silence timeouts that outlast a delayed server, for tests in which no server is silent.
func longSilence() Option {
	return WithSender(sender.New(sender.WithReadTimeouts(testTimeout, testTimeout)))
}

// shortSilence sets short silence timeouts.
func shortSilence() []Option {
	return []Option{
		WithSender(sender.New(sender.WithReadTimeouts(150*time.Millisecond, 300*time.Millisecond), sender.WithMaxAnswer(1<<16))),
		WithDecider(scheduler.New(scheduler.Config{PlainServiceTimeout: 400 * time.Millisecond}, 1)),
	}
}

// waitServed waits until the entry serves the path.
func waitServed(t testing.TB, d *Dispatcher, path string) {
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + d.Callers() + path)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no answer to %s", path)
}
