package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/booker"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/sender"
	"redwingstage.org/stage/streamer"
)

const (
	testTimeout    = 20 * time.Second
	isolationLimit = time.Second
)

// fixture is an owner with a decider that records events, a control role and an engine, all set by tests.
type fixture struct {
	mu            sync.Mutex
	events        []scheduler.Event
	eventTimes    []time.Time
	actions       []scheduler.Action
	roster        *registrar.Roster
	catalog       *configurer.Catalog
	leaseEnd      time.Time
	updated       chan struct{}
	report        sender.Report
	orders        []string
	refusesOrders bool
	permit        func(context.Context) (registrar.Permit, error)
	// permitRequests are the permit requests to the control role, and returnedPermits the permits returned to it.
	permitRequests  []registrar.LoadRequest
	returnedPermits []string
	// unloadPolls is how many calls of HasNoUnloadsInFlight still report an unload order in flight.
	unloadPolls int
	releases    int
	completions []string
	// reportsFail makes the engine's reports fail; sendsJobs sends jobs at once, and reportsDone reports those that completed.
	reportsFail, sendsJobs, reportsDone bool
	engine                              *httptest.Server
	owner                               *Owner
}

func newFixture(t *testing.T) *fixture {
	// Registered first, so that it runs after the owner and the engine are closed.
	t.Cleanup(func() { goleak.VerifyNone(t) })
	catalog, err := configurer.NewCatalog(1, configurer.Doc{
		Services: []configurer.ServiceSpec{{Name: "base", Kind: configurer.KindModel}},
		Adapters: []configurer.AdapterSpec{{Name: "a", Service: "base", Current: 1, Versions: []configurer.VersionSpec{{Number: 1, Source: "s"}}}},
	})
	qt.Assert(t, err, qt.IsNil)
	f := &fixture{
		updated: make(chan struct{}), leaseEnd: time.Now().Add(time.Hour), catalog: catalog,
		report: sender.Report{Incarnation: "i1", Resident: []string{"a@1"}, Serving: []string{"a@1"}},
	}
	f.engine = httptest.NewServer(http.HandlerFunc(f.serveEngine))
	f.assign(registrar.Owner{Entry: "near", Epoch: 3, OrderAfter: time.Millisecond}, false)
	snd := sender.New()
	f.owner = New(booker.Identity{Entry: "near", Incarnation: 1}, Deps{
		Control: f, Decider: f, Sender: snd, Booker: booker.New(nil, booker.Identity{}),
		Meter: meter.New(prometheus.NewRegistry()), Log: logger.New(io.Discard, "error").Component("owner"),
	}, WithIsolationLimit(isolationLimit))
	t.Cleanup(func() {
		f.owner.Close()
		f.engine.Close()
	})
	return f
}

func (f *fixture) serveEngine(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/hang" {
		<-r.Context().Done()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Header().Set(marker.Attempt, r.Header.Get(marker.Attempt))
	w.Header().Set(marker.Incarnation, f.report.Incarnation)
	if r.URL.Path == "/load" && f.reportsFail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(f.report)
		return
	}
	f.orders = append(f.orders, r.URL.Path+" "+r.Header.Get(marker.FencingEpoch))
	if f.refusesOrders {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"error":{"type":"fence","code":"old_fence"}}`))
	}
}

func (f *fixture) assign(o registrar.Owner, leaving bool) {
	f.change(func() {
		s := registrar.Server{
			Name: "e1", Kind: configurer.KindModel, Addr: strings.TrimPrefix(f.engine.URL, "http://"),
			Service: "base", Incarnation: "i1", Slots: 2, Batch: 2, Leaving: leaving,
		}
		f.roster = registrar.NewRoster(o.Epoch, []registrar.Server{s}, nil, map[string]registrar.Owner{"e1": o})
	})
}

func (f *fixture) change(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
	close(f.updated)
	f.updated = make(chan struct{})
}

func (f *fixture) Handle(now time.Time, ev scheduler.Event) []scheduler.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events, f.eventTimes = append(f.events, ev), append(f.eventTimes, now)
	actions := f.actions
	f.actions = nil
	switch ev := ev.(type) {
	case scheduler.Arrived:
		if f.sendsJobs {
			actions = append(actions, scheduler.Send{Job: ev.Job, Epoch: 3})
		}
	case scheduler.Ended:
		if f.reportsDone && ev.OK {
			actions = append(actions, scheduler.ReportCompletion{Attempt: ev.Attempt})
		}
	}
	return actions
}

// waitEvent returns once an event was recorded whose printed form contains pattern.
func (f *fixture) waitEvent(t *testing.T, pattern string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if f.sawEvent(pattern) {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]int{}
	for _, ev := range f.events {
		seen[fmt.Sprintf("%T%+v", ev, ev)]++
	}
	t.Fatalf("no event like %s in %v", pattern, seen)
}

func (f *fixture) sawEvent(pattern string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ev := range f.events {
		if strings.Contains(fmt.Sprintf("%T%+v", ev, ev), pattern) {
			return true
		}
	}
	return false
}

// firstEventAt returns the time of the first event whose printed form contains pattern.
func (f *fixture) firstEventAt(t *testing.T, pattern string) time.Time {
	t.Helper()
	f.waitEvent(t, pattern)
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.events, func(ev scheduler.Event) bool { return strings.Contains(fmt.Sprintf("%T%+v", ev, ev), pattern) })
	return f.eventTimes[i]
}

func (f *fixture) Catalog() *configurer.Catalog                     { return f.catalog }
func (f *fixture) Standing(quarantiner.Digest) quarantiner.Standing { return quarantiner.Clear }

func (f *fixture) ReturnPermit(p registrar.Permit, used bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returnedPermits = append(f.returnedPermits, fmt.Sprint(p.ID, used))
}

func (f *fixture) Roster() *registrar.Roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster
}

func (f *fixture) Updated() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updated
}

func (f *fixture) LeaseEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseEnd
}

func (f *fixture) Permit(ctx context.Context, a registrar.LoadRequest) (registrar.Permit, error) {
	f.mu.Lock()
	f.permitRequests = append(f.permitRequests, a)
	permit := f.permit
	f.mu.Unlock()
	if permit == nil {
		return registrar.Permit{}, net.ErrClosed
	}
	return permit(ctx)
}

func (f *fixture) ReportCrash(context.Context, string, []quarantiner.Digest) error { return nil }

func (f *fixture) ReportCompletion(_ context.Context, d quarantiner.Digest, seen uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completions = append(f.completions, fmt.Sprint(d[0], " ", seen))
	return nil
}

func (f *fixture) ReleaseServer(context.Context, string, []configurer.Target) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	if f.unloadPolls > 0 {
		f.events = append(f.events, scheduler.ServerEnded{Server: "released under an unload order"})
		f.eventTimes = append(f.eventTimes, time.Now())
	}
	return nil
}

func (f *fixture) HasNoUnloadsInFlight(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unloadPolls--
	return f.unloadPolls < 0
}

func (f *fixture) Load(string) float64 { return 0.5 }

func (f *fixture) IsSlow(time.Time, string) bool { return true }

// A hand-over during an unload order would let the new owner serve on the adapter that the order then evicts.
func TestHandoverWaitsForUnloadOrders(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	f.change(func() { f.unloadPolls = 3 })
	qt.Assert(t, f.owner.Drain(context.Background()), qt.IsNil)
	qt.Check(t, f.sawEvent("released under an unload order"), qt.IsFalse)
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Check(t, f.releases, qt.Equals, 1)
}

// Answers carry the scheduler's load and straggler state of a server, so that other entries can route around it.
func TestFeedback(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	var got streamer.Feedback
	for deadline := time.Now().Add(testTimeout); !got.Known && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		got = f.owner.feedback("e1")
	}
	qt.Check(t, got, qt.Equals, streamer.Feedback{Known: true, Load: 0.5, Slow: true})
	qt.Check(t, f.owner.feedback("e2"), qt.Equals, streamer.Feedback{})
}

const target = "a@1"

// A takeover without a hand-over pins all residents until the isolation limit has passed and the engine reports them idle.
func TestTakeoverInheritsPins(t *testing.T) {
	begun := time.Now()
	f := newFixture(t)
	f.waitEvent(t, "Pinned:["+target+"]")
	f.waitEvent(t, "scheduler.Reported")
	f.change(func() { f.report.Serving = nil })
	unpinned := f.firstEventAt(t, "scheduler.InheritedPinEnded{Server:e1 Target:"+target)
	qt.Check(t, unpinned.Before(begun.Add(isolationLimit)), qt.IsFalse, qt.Commentf("after %v", unpinned.Sub(begun)))
}

// A server that reports that it is leaving gets no new requests, even if the roster doesn't list it as leaving.
func TestLeavingIsReportedByTheServer(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "Leaving:false")
	f.change(func() { f.report.Leaving = true })
	f.waitEvent(t, "Leaving:true")
}

func TestRestartIsReportedByTheServer(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	f.change(func() { f.report.Incarnation = "i2" })
	f.waitEvent(t, "scheduler.ServerEnded{Server:e1 Crashed:true NotWritten:[]}")
	f.waitEvent(t, "Incarnation:i2")
}

// A roster that lags behind the server's own report isn't taken as another restart, which would make its running requests suspect.
func TestRestartIsHandledOnce(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	f.change(func() { f.report.Incarnation = "i2" })
	f.waitEvent(t, "Incarnation:i2")
	f.change(func() { f.events = nil })
	f.assign(registrar.Owner{Entry: "near", Epoch: 3, OrderAfter: time.Millisecond}, true)
	f.waitEvent(t, "Incarnation:i2 Slots:2 Batch:2 Fenced:false Leaving:true")
	qt.Check(t, f.sawEvent("scheduler.ServerEnded"), qt.IsFalse)
}

func (f *fixture) serve(uri string) streamer.End {
	return f.owner.Serve(context.Background(), &streamer.Request{
		Target: configurer.Target{Service: "base"}, Kind: configurer.KindPlain, Idempotent: true, Method: http.MethodGet, URI: uri,
		Digest: quarantiner.Digest{7}, Arrived: time.Now(),
	}, "e1", true, streamer.New(1<<10))
}

// An attempt that the scheduler had already failed ends with its server's process, although no second failure follows.
func TestFailedAttemptEndsWithItsProcess(t *testing.T) {
	f := newFixture(t)
	f.change(func() { f.sendsJobs = true })
	f.waitEvent(t, "scheduler.Reported")
	ended := make(chan streamer.End, 1)
	go func() { ended <- f.serve("/hang") }()
	f.waitEvent(t, "scheduler.Arrived")
	f.change(func() {
		f.reportsFail = true
		for _, ev := range f.events {
			if ev, ok := ev.(scheduler.Arrived); ok {
				f.actions = []scheduler.Action{scheduler.Fail{Attempt: ev.Job.Attempt, BecameSuspect: true}}
			}
		}
	})
	f.waitEvent(t, "scheduler.Tick")
	f.change(func() { f.reportsFail, f.report.Incarnation = false, "i2" })
	f.waitEvent(t, "scheduler.Ended")
	qt.Check(t, (<-ended).Reason, qt.Equals, streamer.ReasonQuarantineChanged)
}

// A suspect that completed is reported with the roster revision from before its run.
func TestReportCompletion(t *testing.T) {
	f := newFixture(t)
	f.change(func() { f.sendsJobs, f.reportsDone = true, true })
	f.waitEvent(t, "scheduler.Reported")
	qt.Assert(t, f.serve("/x").Outcome, qt.Equals, retrier.Done)
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		n := len(f.completions)
		f.mu.Unlock()
		if n > 0 {
			break
		}
	}
	qt.Check(t, f.completions, qt.DeepEquals, []string{"7 3"})
}

// Orders carry the epoch; none is written after the lease has ended or a newer owner has sent one.
func TestOrdersEndWithTheLease(t *testing.T) {
	load := scheduler.Load{Server: "e1", Target: configurer.Target{Service: "base", Adapter: "a", Version: 1}, Epoch: 3, Order: 9}
	tests := []struct {
		name   string
		change func(f *fixture)
		want   []string
		event  string
	}{
		{"valid", func(*fixture) {}, []string{"/v1/load_lora_adapter 3"}, "Order:9 OK:true"},
		{"lapsed", func(f *fixture) { f.leaseEnd = time.Now() }, nil, "Order:9 OK:false"},
		{"old epoch", func(f *fixture) {
			f.actions = []scheduler.Action{scheduler.Load{Server: "e1", Target: load.Target, Epoch: 2, Order: 9}}
		}, nil, "Order:9 OK:false"},
		{"refused", func(f *fixture) { f.refusesOrders = true }, []string{"/v1/load_lora_adapter 3"}, "scheduler.Released"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.waitEvent(t, "scheduler.Reported")
			f.change(func() {
				time.Sleep(2 * time.Millisecond)
				f.actions = []scheduler.Action{load}
				tt.change(f)
			})
			f.waitEvent(t, tt.event)
			f.mu.Lock()
			defer f.mu.Unlock()
			qt.Check(t, f.orders, qt.DeepEquals, tt.want)
		})
	}
}

// An isolated owner first stops ordering, and releases its servers after the isolation limit.
func TestIsolation(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	ended := time.Now()
	f.change(func() { f.leaseEnd = ended })
	lost, released := f.firstEventAt(t, "scheduler.LeaseLost"), f.firstEventAt(t, "scheduler.Released")
	qt.Check(t, released.Before(ended.Add(isolationLimit)), qt.IsFalse, qt.Commentf("after %v", released.Sub(ended)))
	qt.Check(t, released.After(lost), qt.IsTrue)
	f.change(func() { f.leaseEnd = time.Now().Add(time.Hour) })
	f.assign(registrar.Owner{Entry: "near", Epoch: 4, Clean: true}, false)
	f.waitEvent(t, "Epoch:4")
}

// A permit request that is no longer needed is withdrawn, so that it doesn't delay others in the queue.
func TestPermitIsWithdrawn(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	requested, ended := make(chan struct{}), make(chan error, 1)
	load := configurer.Target{Service: "base", Adapter: "a", Version: 1}
	f.change(func() {
		f.permit = func(ctx context.Context) (registrar.Permit, error) {
			close(requested)
			<-ctx.Done()
			ended <- ctx.Err()
			return registrar.Permit{}, ctx.Err()
		}
		f.actions = []scheduler.Action{scheduler.RequestPermit{Server: "e1", Target: load}}
	})
	<-requested
	f.change(func() {
		f.permit = func(context.Context) (registrar.Permit, error) { return registrar.Permit{ID: 7}, nil }
		f.actions = []scheduler.Action{scheduler.WithdrawPermit{Server: "e1", Target: load}}
	})
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
	qt.Check(t, f.sawEvent("scheduler.Denied"), qt.IsFalse)
	f.change(func() { f.actions = []scheduler.Action{scheduler.RequestPermit{Server: "e1", Target: load}} })
	f.waitEvent(t, "scheduler.Granted{Server:e1 Target:"+target+" Permit:{ID:7")
}

// An answer that can't be delivered in full to its caller isn't reported as done.
func TestUndeliveredAnswer(t *testing.T) {
	f := newFixture(t)
	f.change(func() { f.sendsJobs, f.refusesOrders = true, true })
	f.waitEvent(t, "scheduler.Reported")
	for _, tt := range []struct {
		name   string
		sink   *streamer.Stream
		reason streamer.Reason
	}{
		{"larger than the buffer", streamer.New(8), streamer.ReasonSlow},
		{"caller gone", abandonedStream(), streamer.ReasonCancelled},
	} {
		t.Run(tt.name, func(t *testing.T) {
			end := f.owner.Serve(context.Background(), &streamer.Request{
				Target: configurer.Target{Service: "base"}, Kind: configurer.KindPlain, Idempotent: true, Method: http.MethodGet,
				URI: "/x", Arrived: time.Now(),
			}, "e1", true, tt.sink)
			qt.Check(t, end.Outcome, qt.Equals, retrier.Unknown)
			qt.Check(t, end.Reason, qt.Equals, tt.reason)
		})
	}
}

func abandonedStream() *streamer.Stream {
	s := streamer.New(1 << 10)
	s.Abandon()
	return s
}
