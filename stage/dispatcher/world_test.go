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

// hang bounds waits that only a failing test exhausts.
const hang = 30 * time.Second

// world is an in-memory control role shared by all entries of a test.
type world struct {
	mu       sync.Mutex
	catalog  *configurer.Catalog
	roster   *registrar.Roster
	revision uint64
	updated  chan struct{}
	owners   map[string]registrar.Owner
	servers  []registrar.Server
	entries  []registrar.Entry
	released []string
	table    *recorder.Table
	board    *quarantiner.Board
	crashes  uint64
	absolved int
	locks    map[quarantiner.Digest]chan struct{}
	// begin and end, if set, may lose or delay calls to the record and their results.
	begin func(do func() recorder.Begun) (recorder.Begun, error)
	end   func(do func()) error
}

func newWorld(t testing.TB) *world {
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
	return &world{
		catalog: catalog, updated: make(chan struct{}), owners: make(map[string]registrar.Owner),
		table: recorder.New(), board: quarantiner.NewBoard(quarantiner.New(quarantiner.Config{}), time.Time{}), locks: make(map[quarantiner.Digest]chan struct{}),
		roster: registrar.NewRoster(0, nil, nil, nil),
	}
}

// assign makes an entry the owner of a server under a new epoch.
func (w *world) assign(s registrar.Server, entry, addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.owners[s.Name] = registrar.Owner{Entry: entry, Addr: addr, Epoch: w.revision, Clean: true}
	found := false
	for i := range w.servers {
		if w.servers[i].Name == s.Name {
			w.servers[i], found = s, true
		}
	}
	if !found {
		w.servers = append(w.servers, s)
	}
	w.publish()
}

func (w *world) publish() {
	owners := make(map[string]registrar.Owner, len(w.owners))
	for name, o := range w.owners {
		owners[name] = o
	}
	w.roster = registrar.NewRoster(w.revision, append([]registrar.Server{}, w.servers...), w.entries, owners)
	close(w.updated)
	w.updated = make(chan struct{})
}

func (w *world) Catalog() *configurer.Catalog { return w.catalog }

func (w *world) Roster() *registrar.Roster {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.roster
}

func (w *world) Standing(d quarantiner.Digest) quarantiner.Standing {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.board.Standing(time.Now(), d)
}

func (w *world) Updated() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updated
}

func (w *world) LeaseEnd() time.Time { return time.Now().Add(time.Hour) }

func (w *world) Announce(registrar.Server) {}

func (w *world) Permit(context.Context, registrar.PermitAsk) (registrar.Permit, error) {
	return registrar.Permit{ID: 1, Expires: time.Now().Add(time.Minute)}, nil
}

func (w *world) Return(registrar.Permit, bool) {}

func (w *world) Accuse(_ context.Context, _ string, ds []quarantiner.Digest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes++
	w.board.Accuse(time.Now(), quarantiner.Crash{Reporter: "test", Number: w.crashes}, ds)
	w.judge()
	return nil
}

func (w *world) Absolve(_ context.Context, d quarantiner.Digest, seen uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.board.Absolve(time.Now(), d, seen) {
		w.absolved++
	}
	w.judge()
	return nil
}

// judge publishes the standings under a new revision.
func (w *world) judge() {
	w.revision++
	w.board.Changes(time.Now())
	w.board.Published(w.revision)
	w.publish()
}

func (w *world) Lock(ctx context.Context, d quarantiner.Digest) (func(), error) {
	w.mu.Lock()
	l := w.locks[d]
	if l == nil {
		l = make(chan struct{}, 1)
		w.locks[d] = l
	}
	w.mu.Unlock()
	select {
	case l <- struct{}{}:
		return func() { <-l }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *world) Begin(_ context.Context, b recorder.Begin) (recorder.Begun, error) {
	return w.beginBy(b, new(atomic.Bool))
}

// beginBy begins nothing for a process that is dead.
func (w *world) beginBy(b recorder.Begin, dead *atomic.Bool) (recorder.Begun, error) {
	do := func() recorder.Begun {
		w.mu.Lock()
		defer w.mu.Unlock()
		if dead.Load() {
			return recorder.Begun{Verdict: recorder.VerdictUnknown}
		}
		return w.table.Begin(time.Now(), b)
	}
	if w.begin != nil {
		return w.begin(do)
	}
	return do(), nil
}

func (w *world) End(_ context.Context, e recorder.End) error {
	do := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.table.End(time.Now(), e)
	}
	if w.end != nil {
		return w.end(do)
	}
	do()
	return nil
}

func (w *world) Release(_ context.Context, server string, pinned []configurer.Target) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = append(w.released, server)
	o := w.owners[server]
	for _, e := range w.entries {
		if e.Name != o.Entry {
			w.revision++
			w.owners[server] = registrar.Owner{Entry: e.Name, Addr: e.Addr, Epoch: w.revision, Clean: true, Pinned: pinned}
			w.publish()
			return nil
		}
	}
	return nil
}

// startEntry starts an entry that is closed at the test's end; its silence timeouts are long unless opts set others.
func (w *world) startEntry(t testing.TB, name string, opts ...Option) *Dispatcher {
	return w.startEntryUnder(t, name, w, opts...)
}

func (w *world) startEntryUnder(t testing.TB, name string, control Control, opts ...Option) *Dispatcher {
	cfg := Config{Name: name, Incarnation: 1, Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	d, err := New(cfg, control, append([]Option{patient()}, opts...)...)
	qt.Assert(t, err, qt.IsNil)
	w.mu.Lock()
	w.entries = append(w.entries, registrar.Entry{Name: name, Incarnation: 1, Addr: d.Peers()})
	w.mu.Unlock()
	t.Cleanup(func() {
		limit := hang
		if m, ok := control.(mortal); ok && m.dead.Load() {
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

// patient sets silence timeouts that outlast a delayed server, for tests in which no server is silent.
func patient() Option { return WithSender(sender.New(sender.WithSilence(hang, hang))) }

// quick sets short silence timeouts.
func quick() []Option {
	return []Option{
		WithSender(sender.New(sender.WithSilence(150*time.Millisecond, 300*time.Millisecond), sender.WithMaxAnswer(1<<16))),
		WithDecider(scheduler.New(scheduler.Config{SilentPlain: 400 * time.Millisecond}, 1)),
	}
}

// adopted waits until the entry serves the path.
func adopted(t testing.TB, d *Dispatcher, path string) {
	deadline := time.Now().Add(hang)
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
